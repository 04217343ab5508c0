package client

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
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
}

// Read implements io.Reader. It returns ErrTooLarge once the limit is reached.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
}

// readHead reads the head of an answer of at most MaxHead bytes, beyond what has
// been buffered before.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.left = MaxHead
	defer func() { c.limit.left = math.MaxInt64 }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// bodyBudget is the memory for the bodies that are being read, without the small
// ones.
type bodyBudget struct {
	size int64
	used atomic.Int64
}

// reserve reports whether a body may take n bytes more.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.size {
		return true
	}
	b.used.Add(-n)
	return false
}

// readBody reads the body of an answer to its end. The buffer grows with the bytes
// that have arrived, whatever length the answer claims.
func (b *bodyBudget) readBody(r *http.Response) ([]byte, error) {
	limit := min(max(b.size/largestShare, smallBody), maxBody)
	if r.Body != http.NoBody && r.ContentLength > limit {
		return nil, fmt.Errorf("%w: length %d, at most %d bytes are accepted", ErrTooLarge, r.ContentLength, limit)
	}
	reserved := int64(0)
	defer func() { b.used.Add(-reserved) }()
	out := make([]byte, 0, firstBuffer)
	for {
		if len(out) == cap(out) {
			size := min(2*int64(cap(out)), limit+1)
			if grown := size - smallBody - reserved; grown > 0 {
				if !b.reserve(grown) {
					return nil, fmt.Errorf("%w: no memory for more than %d bytes", ErrTooLarge, len(out))
				}
				reserved += grown
			}
			out = append(make([]byte, 0, size), out...)
		}
		n, err := r.Body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case int64(len(out)) > limit:
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, fmt.Errorf("body of %d bytes is not whole: %w", len(out), err)
		}
	}
}
