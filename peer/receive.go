package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"burdocklift/budget"
)

// frameReader reads the body of a frame from a connection. A pause of over framePause ends
// the connection: what has arrived would be kept for ever.
type frameReader struct {
	conn   *conn
	reader *bufio.Reader
	hold   *budget.Hold
}

// Read implements io.Reader.
func (r frameReader) Read(b []byte) (int, error) {
	if r.reader.Buffered() == 0 {
		if err := r.conn.raw.SetReadDeadline(time.Now().Add(framePause)); err != nil {
			return 0, err
		}
	}
	n, err := r.reader.Read(b)
	r.hold.Progress(n)
	r.conn.noteReceived()
	return n, err
}

func (c *conn) noteReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = c.transport.clock.Elapsed()
}

// sendsLarge reports whether a large frame is being written and makes progress. Its write
// deadline ends the connection otherwise.
func (c *conn) sendsLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sendingLarge && c.transport.clock.Elapsed()-c.lastSent < closeIdleTime
}

// receive reads frames up to one that is to be handled. The hold has its memory if it is a
// call. Frames for which there is no memory are refused.
func (c *conn) receive(r *bufio.Reader) (frame, *budget.Hold, error) {
	for {
		f, length, err := readFrameHead(r)
		if err != nil {
			return frame{}, nil, err
		}
		c.noteReceived()
		hold, err := c.reserve(f, length)
		if err != nil {
			if err := c.refuse(r, f, length, err); err != nil {
				return frame{}, nil, err
			}
			continue
		}
		if f.body, err = c.receiveBody(r, hold, length); err != nil {
			return frame{}, hold, err
		}
		return f, hold, nil
	}
}

// receiveBody reads the body of a frame.
func (c *conn) receiveBody(r *bufio.Reader, hold *budget.Hold, length int) ([]byte, error) {
	if length <= r.Buffered() {
		return readBody(r, length)
	}
	hold.Begin(func() { _ = c.raw.Close() }) // ends the reading
	body, err := readBody(frameReader{c, r, hold}, length)
	if endErr := hold.End(); endErr != nil {
		return nil, fmt.Errorf("frame of %d bytes: %w", length, endErr)
	}
	return body, errors.Join(err, c.raw.SetReadDeadline(time.Time{}))
}

// errUnwanted means that nobody waits for a reply.
var errUnwanted = errors.New("reply is not awaited")

// reserve reserves the memory for a frame. It returns the hold of a call.
func (c *conn) reserve(f frame, length int) (*budget.Hold, error) {
	switch f.kind {
	case frameCall:
		hold, kind := c.transport.account.Open(), budget.Body
		if c.transport.refusals[f.method] == nil {
			kind = budget.Answer // calls between nodes, without which no request is served
		}
		return hold, hold.Grow(int64(length)+callOverhead, kind)
	case frameReply, framePart:
		c.mu.Lock()
		p := c.pending[f.stream]
		c.mu.Unlock()
		if p == nil {
			return nil, errUnwanted
		}
		return nil, p.hold.Grow(int64(length), budget.Answer)
	}
	if length > 0 {
		return nil, fmt.Errorf("%w: kind %d with a body of %d bytes", errInvalidFrame, f.kind, length)
	}
	return nil, nil
}

// refuse reads over the body of a frame for which there is no memory, and tells who waits
// for it. It sends the refusal itself, so that a node that sends calls and does not read
// replies is not read any further.
func (c *conn) refuse(r *bufio.Reader, f frame, length int, reason error) error {
	if errors.Is(reason, errInvalidFrame) {
		return reason
	}
	if f.kind != frameCall {
		c.mu.Lock()
		p := c.pending[f.stream]
		delete(c.pending, f.stream)
		c.mu.Unlock()
		if p != nil {
			close(p.reply)
		}
	}
	if _, err := io.CopyN(io.Discard, frameReader{c, r, nil}, int64(length)); err != nil {
		return err
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if f.kind != frameCall {
		return nil
	}
	reply := c.transport.refusals[f.method]
	if reply == nil {
		return fmt.Errorf("call of method %d: %w", f.method, reason)
	}
	return c.send(context.Background(), frame{kind: frameReply, stream: f.stream, body: reply()})
}
