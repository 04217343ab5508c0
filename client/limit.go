package client

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"

	"burdocklift/budget"
)

// ErrTooLarge means that an answer is longer than this side can hold. It comes
// with ErrUnclear.
var ErrTooLarge = errors.New("answer is too large")

const (
	// MaxHead bounds the status line and the headers of an answer in bytes.
	MaxHead = 64 << 10
	// smallBody is the size in bytes up to which a body is read without regard to
	// the other bodies.
	smallBody = 64 << 10
	// maxBody bounds a body in bytes, also on hosts with much memory: the node of the
	// caller, which gets it whole, may be on a smaller one.
	maxBody = 8 << 20
	// largestShare is the part of the memory for answers that a single body may
	// take.
	largestShare = 2
	// firstBuffer is the size in bytes of the first buffer for a body.
	firstBuffer = 512
)

// limitedConn is a connection on which a limited number of bytes may be read.
type limitedConn struct {
	net.Conn
	left int64
	// recorded gets a copy of the bytes that are read while it is not nil.
	recorded *bytes.Buffer
}

// Read implements io.Reader. It returns ErrTooLarge once the limit is reached.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	if c.recorded != nil {
		c.recorded.Write(b[:n])
	}
	return n, err
}

// readHead reads the head of an answer of at most MaxHead bytes, beyond what has
// been buffered before. It returns ErrHead for one that http.ReadResponse accepts, but
// that is none in the protocol or does not say clearly where its body ends.
func (c *conn) readHead(method string) (*http.Response, error) {
	var raw bytes.Buffer
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	raw.Write(buffered)
	c.limit.left, c.limit.recorded = MaxHead, &raw
	defer func() { c.limit.left, c.limit.recorded = math.MaxInt64, nil }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := checkHead(raw.Bytes(), resp.StatusCode); err != nil {
		return nil, err
	}
	return resp, nil
}

// bodyBudget is the memory for the bodies that are being read, without the small
// ones. It is lent to bodies with a stated length first, as the others may be without
// end.
type bodyBudget struct {
	size int64

	mu    sync.Mutex
	used  int64
	reads map[*bodyRead]struct{} // that hold a part of the budget
}

// bodyRead is a body that is being read.
type bodyRead struct {
	measured bool         // its length was stated
	abort    func()       // ends the reading
	hold     *budget.Hold // of the request, which keeps the memory until the answer was passed on
	held     int64        // by hold, for this body
	reserved int64
	evicted  bool // its part went to another body
}

// reserve reports whether a body may take a number of bytes in all. If there are not as
// many, the largest body that has to give way ends.
func (b *bodyBudget) reserve(r *bodyRead, total int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := total - r.reserved
	for !r.evicted && b.used+n > b.size {
		largest := b.largest(r, total)
		if largest == nil {
			return false
		}
		largest.evicted = true
		b.free(largest)
		largest.abort()
	}
	if r.evicted {
		return false
	}
	if b.reads == nil {
		b.reads = make(map[*bodyRead]struct{})
	}
	b.reads[r] = struct{}{}
	r.reserved += n
	b.used += n
	return true
}

// largest returns the largest body that gives way to one that wants a number of bytes in
// all, or nil. A body without a stated length gives way to one with it, and to a smaller
// one.
func (b *bodyBudget) largest(r *bodyRead, total int64) *bodyRead {
	var largest *bodyRead
	for o := range b.reads {
		givesWay := o != r && !o.measured && (r.measured || o.reserved > total)
		if givesWay && (largest == nil || o.reserved > largest.reserved) {
			largest = o
		}
	}
	return largest
}

// release returns the part of a body that has been read or given up, and reports whether
// it had gone to another one.
func (b *bodyBudget) release(r *bodyRead) (evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(r)
	return r.evicted
}

func (b *bodyBudget) free(r *bodyRead) {
	b.used -= r.reserved
	r.reserved = 0
	delete(b.reads, r)
}

// readBody reads the body of an answer to its end. The buffer grows with the bytes
// that have arrived, whatever length the answer claims. The function abort makes reading
// fail.
func (b *bodyBudget) readBody(r *http.Response, hold *budget.Hold, abort func()) ([]byte, error) {
	limit := min(max(b.size/largestShare, smallBody), maxBody)
	if r.Body != http.NoBody && r.ContentLength > limit {
		return nil, fmt.Errorf("%w: length %d, at most %d bytes are accepted", ErrTooLarge, r.ContentLength, limit)
	}
	read := &bodyRead{measured: r.ContentLength >= 0, abort: abort, hold: hold}
	body, err := b.readAll(r.Body, read, limit)
	evicted := b.release(read)
	if evicted || err != nil {
		hold.Shrink(read.held) // the request may be sent once more
	}
	if evicted {
		return nil, fmt.Errorf("%w: memory for more than %d bytes went to other answers", ErrTooLarge, len(body))
	}
	if err != nil {
		return nil, err
	}
	return body, nil
}

// readAll reads a body to its end. With an error it returns what has been read before.
func (b *bodyBudget) readAll(body io.Reader, read *bodyRead, limit int64) ([]byte, error) {
	out := make([]byte, 0, firstBuffer)
	for {
		if len(out) == cap(out) {
			size := min(2*int64(cap(out)), limit+1)
			if size > smallBody && !b.reserve(read, size-smallBody) {
				return out, fmt.Errorf("%w: no memory for more than %d bytes", ErrTooLarge, len(out))
			}
			if err := read.hold.Grow(size-int64(cap(out)), budget.Answer); err != nil {
				return out, fmt.Errorf("%w: %w", ErrTooLarge, err)
			}
			read.held += size - int64(cap(out))
			out = append(make([]byte, 0, size), out...)
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case int64(len(out)) > limit:
			return out, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, fmt.Errorf("body of %d bytes is not whole: %w", len(out), err)
		}
	}
}
