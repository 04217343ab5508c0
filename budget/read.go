package budget

import (
	"context"
	"errors"
	"io"
)

const (
	// firstBuffer is the size in bytes of the first buffer for a message.
	firstBuffer = 512
	// trustedBytes is how much of a message of a stated length arrives before memory is
	// taken for all of it, so that a stated length alone takes none. Up to there the buffer
	// is doubled.
	trustedBytes = 1 << 20
	// doubledBytes is the size up to which the buffer of a message without a stated length is
	// doubled. A larger one gets the largest buffer at once, if there is memory, as doubling
	// takes half as much again while the bytes are copied.
	doubledBytes = 4 << 20
)

// Read reads a message of at most limit bytes to its end. A negative length means that none is
// stated. All memory for a stated length is reserved before the first byte is read; the
// buffer itself grows with what has arrived. The hold keeps what the message takes, also
// after an error.
func Read(ctx context.Context, h *Hold, r io.Reader, length, limit int64, k Kind) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	if length >= 0 {
		return readStated(ctx, h, r, length, k)
	}
	var out []byte
	for {
		if int64(len(out)) == limit {
			return out, readEnd(r)
		}
		if len(out) == cap(out) {
			size, err := growBuffer(ctx, h, int64(cap(out)), limit, k)
			if err != nil {
				return out, err
			}
			old := int64(cap(out))
			out = append(make([]byte, 0, size), out...)
			h.Shrink(old)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}

// growBuffer reserves the next buffer of a message without a stated length.
func growBuffer(ctx context.Context, h *Hold, size, limit int64, k Kind) (int64, error) {
	next := min(max(2*size, firstBuffer), limit)
	if size >= doubledBytes && next < limit && h.try(limit, k) {
		return limit, nil
	}
	return next, h.Wait(ctx, next, k)
}

// readEnd returns nil at the end of a message.
func readEnd(r io.Reader) error {
	var b [1]byte
	n, err := io.ReadFull(r, b[:])
	switch {
	case n > 0:
		return ErrTooLong
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}

func readStated(ctx context.Context, h *Hold, r io.Reader, length int64, k Kind) ([]byte, error) {
	if err := h.Wait(ctx, length, k); err != nil {
		return nil, err
	}
	var out []byte
	for int64(len(out)) < length {
		if len(out) == cap(out) {
			size := min(max(2*int64(cap(out)), firstBuffer), length)
			if int64(cap(out)) >= trustedBytes {
				size = length
			}
			out = append(make([]byte, 0, size), out...)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case int64(len(out)) == length:
			return out, nil
		case errors.Is(err, io.EOF):
			return out, io.ErrUnexpectedEOF
		case err != nil:
			return out, err
		}
	}
	return out, nil
}
