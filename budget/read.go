package budget

import (
	"context"
	"errors"
	"io"
)

const (
	// firstBuffer is the size in bytes of the first buffer for a message without a stated
	// length.
	firstBuffer = 512
	// trustedBytes is how much of a message of a stated length arrives before memory is
	// taken for all of it, so that a stated length alone takes none. Up to there the buffer
	// is doubled.
	trustedBytes = 1 << 20
)

// Read reads a message to its end or until it has limit+1 bytes. A negative length means
// that none is stated. All memory for a stated length is reserved before the first byte is
// read; the buffer itself grows with what has arrived. The hold keeps what the message
// takes, also after an error.
func Read(ctx context.Context, h *Hold, r io.Reader, length, limit int64, k Kind) ([]byte, error) {
	stated := length >= 0
	if !stated || length > limit {
		length = limit + 1
	}
	if stated {
		if err := h.Wait(ctx, length, k); err != nil {
			return nil, err
		}
	}
	var out []byte
	for {
		if int64(len(out)) == length {
			return out, nil
		}
		if len(out) == cap(out) {
			size := min(max(2*int64(cap(out)), firstBuffer), length)
			if stated && int64(cap(out)) >= trustedBytes {
				size = length
			}
			old := int64(cap(out))
			if err := h.reserve(ctx, size, k, stated); err != nil {
				return out, err
			}
			out = append(make([]byte, 0, size), out...)
			if !stated {
				h.Shrink(old)
			}
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case errors.Is(err, io.EOF) && stated && int64(len(out)) < length:
			return out, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, err
		}
	}
}

// reserve reserves memory for a larger buffer of a message without a stated length.
func (h *Hold) reserve(ctx context.Context, size int64, k Kind, stated bool) error {
	if stated {
		return nil
	}
	return h.Wait(ctx, size, k)
}
