package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"burdocklift/budget"
	"burdocklift/terse"
	"burdocklift/uplink"
)

// conn is one connection. Only the side that opened it makes calls.
type conn struct {
	raw        net.Conn
	transport  *Transport
	tomb       tomb.Tomb
	learner    terse.Learner // strings in calls of this side
	memory     terse.Memory  // strings in calls of the other side
	writeToken chan struct{} // holds a token while a frame is written

	mu           sync.Mutex
	lastStream   uint64                        // ID of the last call made
	pending      map[uint64]*pendingCall       // calls of this side
	cancels      map[uint64]context.CancelFunc // calls of the other side
	lastReceived time.Duration                 // time of the last frame
	lastSent     time.Duration                 // time of the last piece of a frame to the other side
	lastLarge    time.Duration                 // when the last large frame to the other side began or ended
	sendingLarge bool                          // a large frame is being written
	pongPending  bool                          // a ping has not been answered yet
	sendsParts   bool                          // the other side accepts replies in parts
	accepted     Features                      // of the other side, once it has answered the first ping
}

// pendingCall is a call without a complete reply.
type pendingCall struct {
	reply chan []byte // closed if there was no memory for the reply
	hold  *budget.Hold
	parts []byte // of the reply
}

func newConn(raw net.Conn, t *Transport) *conn {
	c := &conn{
		raw: raw, transport: t, lastReceived: t.clock.Elapsed(), writeToken: make(chan struct{}, 1),
		pending: make(map[uint64]*pendingCall), cancels: make(map[uint64]context.CancelFunc),
	}
	c.tomb.Go(c.readLoop)
	return c
}

func (c *conn) alive() bool { return c.tomb.Alive() }

func (c *conn) close(reason error) {
	c.tomb.Kill(reason)
	_ = c.raw.Close() // ends readLoop; the tomb keeps the reason
}

// send writes a frame after those that are being written. If the context ends
// before that, it returns ErrNotSent.
func (c *conn) send(ctx context.Context, f frame) error {
	select {
	case c.writeToken <- struct{}{}:
		defer func() { <-c.writeToken }()
	case <-c.tomb.Dying():
		return c.tomb.Err()
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return c.write(f)
}

// write writes a frame. The caller holds the token.
func (c *conn) write(f frame) error {
	large := f.size() > initialBody
	if large {
		c.setSendingLarge(true)
		defer c.setSendingLarge(false)
	}
	for _, piece := range f.pieces() {
		if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := c.raw.Write(piece); err != nil {
			c.close(err)
			return err
		}
		c.mu.Lock()
		c.lastSent = c.transport.clock.Elapsed()
		c.mu.Unlock()
	}
	if f.size() <= uplink.LargeBytes && f.kind != framePart {
		c.transport.uplink.Count(f.size())
	}
	return nil
}

// setSendingLarge tells that a large frame is being written, behind which pings wait.
func (c *conn) setSendingLarge(sending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendingLarge = sending
	c.lastLarge = c.transport.clock.Elapsed()
}

// sendCall sends a call. A large one waits until the link is free for it.
func (c *conn) sendCall(ctx context.Context, f frame) error {
	if f.size() <= uplink.LargeBytes {
		return c.send(ctx, f)
	}
	t := c.transport.uplink.Begin(f.size())
	defer t.End()
	if err := t.Await(ctx, f.size()); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return c.send(ctx, f)
}

// sendReply sends a reply. A large one is sent in parts as the link becomes free, and
// no further once the context ends, as the caller has cancelled the call or the
// connection is lost.
func (c *conn) sendReply(ctx context.Context, f frame) error {
	if len(f.body) <= uplink.LargeBytes {
		return c.send(context.Background(), f)
	}
	c.mu.Lock()
	inParts := c.sendsParts
	c.mu.Unlock()
	t := c.transport.uplink.Begin(len(f.body))
	defer t.End()
	rest := f.body
	for inParts && len(rest) > uplink.ChunkBytes {
		if err := t.Await(ctx, uplink.ChunkBytes); err != nil {
			return err
		}
		if err := c.send(ctx, frame{kind: framePart, stream: f.stream, body: rest[:uplink.ChunkBytes]}); err != nil {
			return err
		}
		rest = rest[uplink.ChunkBytes:]
	}
	if err := t.Await(ctx, len(rest)); err != nil {
		return err
	}
	f.body = rest
	return c.send(ctx, f)
}

func (c *conn) call(ctx context.Context, m Method, body []byte) ([]byte, error) {
	return c.callFrame(ctx, frame{kind: frameCall, method: m, body: body})
}

// callFrame makes the call of a frame. The memory of its reply is kept by the hold in the
// context, if there is one.
func (c *conn) callFrame(ctx context.Context, f frame) ([]byte, error) {
	hold := budget.From(ctx)
	if hold == nil {
		hold = c.transport.account.Open()
		defer hold.Close()
	}
	reply := make(chan []byte, 1)
	c.mu.Lock()
	if len(c.pending) == 0 {
		c.lastReceived = c.transport.clock.Elapsed()
	}
	c.lastStream++
	stream := c.lastStream
	c.pending[stream] = &pendingCall{reply: reply, hold: hold}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, stream)
		c.mu.Unlock()
	}()
	f.stream = stream
	err := c.sendCall(ctx, f)
	switch {
	case errors.Is(err, ErrNotSent):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	select {
	case b, ok := <-reply:
		if !ok {
			return nil, fmt.Errorf("%w: %w", ErrNoReply, budget.ErrExhausted)
		}
		return b, nil
	case <-c.tomb.Dying():
		return nil, fmt.Errorf("%w: connection lost: %w", ErrNoReply, c.tomb.Err())
	case <-ctx.Done():
		if err := c.send(context.WithoutCancel(ctx), frame{kind: frameCancel, stream: stream}); err != nil {
			return nil, fmt.Errorf("%w: %w: cancel: %w", ErrNoReply, ctx.Err(), err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoReply, ctx.Err())
	}
}

// checkLiveness pings the other node, or closes the connection, if calls are
// pending and nothing was received for too long.
func (c *conn) checkLiveness() {
	c.mu.Lock()
	idle := c.transport.clock.Elapsed() - max(c.lastReceived, c.lastLarge)
	hasPending := len(c.pending) > 0
	c.mu.Unlock()
	if !hasPending || idle < pingIdleTime {
		return
	}
	if idle > closeIdleTime && !c.sendsLarge() {
		c.close(errors.New("nothing received from the other node for too long"))
		return
	}
	select {
	case c.writeToken <- struct{}{}:
		defer func() { <-c.writeToken }()
		_ = c.write(frame{kind: framePing}) // a failure closes the connection
	default: // the other node receives the frame that is being written
	}
}

func (c *conn) readLoop() error {
	defer c.transport.forget(c)
	defer c.cancelAll()
	r := bufio.NewReader(c.raw)
	for {
		f, hold, err := c.receive(r)
		if err != nil {
			hold.Close()
			_ = c.raw.Close() // replies can no longer be received
			return err
		}
		c.noteReceived()
		c.handle(f, hold)
	}
}

// checkCaller cancels the calls of the other side if it must have vanished: a node
// that waits for replies sends pings, and gives a silent connection up sooner.
// The connection stays open, as the other side may also have nothing to wait for.
func (c *conn) checkCaller() {
	c.mu.Lock()
	silent := c.transport.clock.Elapsed() - max(c.lastReceived, c.lastSent)
	c.mu.Unlock()
	if silent > callerSilence {
		c.cancelAll()
	}
}

// cancelAll cancels the calls of the other side.
func (c *conn) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
}

func (c *conn) handle(f frame, hold *budget.Hold) {
	switch f.kind {
	case frameCall:
		ctx := context.WithValue(budget.With(context.Background(), hold), memoryKey{}, &c.memory)
		ctx, cancel := context.WithCancel(ctx)
		c.mu.Lock()
		c.cancels[f.stream] = cancel
		c.mu.Unlock()
		c.tomb.Go(func() error {
			defer hold.Close()
			c.serve(ctx, f)
			return nil
		})
	case frameReply:
		c.mu.Lock()
		p := c.pending[f.stream]
		delete(c.pending, f.stream)
		c.mu.Unlock()
		if p != nil {
			p.reply <- append(p.parts, f.body...)
		}
	case framePart:
		c.receivePart(f)
	case frameCancel:
		c.mu.Lock()
		cancel := c.cancels[f.stream]
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case framePong:
		c.mu.Lock()
		c.accepted = Features(f.method)
		c.mu.Unlock()
	case framePing:
		if f.method&acceptsParts != 0 {
			c.mu.Lock()
			c.sendsParts = true
			c.mu.Unlock()
		}
		c.answerPing()
	}
}

// receivePart keeps a part of a reply, unless the call has been given up.
func (c *conn) receivePart(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[f.stream]
	if p == nil {
		return
	}
	if len(p.parts)+len(f.body) > maxFrameBody {
		c.close(fmt.Errorf("%w: reply of over %d bytes", errInvalidFrame, maxFrameBody))
		return
	}
	p.parts = append(p.parts, f.body...)
}

// answerPing answers a ping without keeping readLoop from reading cancellations.
// Pings that arrive before the answer is written share it.
func (c *conn) answerPing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pongPending {
		return
	}
	c.pongPending = true
	c.tomb.Go(func() error {
		_ = c.send(context.Background(), frame{kind: framePong, method: Method(c.transport.features)}) // a failure closes the connection
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pongPending = false
		return nil
	})
}

// runHandler runs a handler. A panic ends the connection of its call, not the process.
func (c *conn) runHandler(ctx context.Context, h Handler, f frame) (reply []byte, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("%w: %v", errHandlerPanic, reason)
			if c.transport.onPanic != nil {
				c.transport.onPanic(f.method, reason, debug.Stack())
			}
		}
	}()
	return h(ctx, f.body)
}

func (c *conn) serve(ctx context.Context, f frame) {
	defer func() {
		c.mu.Lock()
		cancel := c.cancels[f.stream]
		delete(c.cancels, f.stream)
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}()
	h := c.transport.handlers[f.method]
	if h == nil {
		c.close(fmt.Errorf("%w: unknown method %d", errInvalidFrame, f.method))
		return
	}
	reply, err := c.runHandler(ctx, h, f)
	if err != nil && ctx.Err() != nil {
		return // the caller has cancelled the call; others on this connection continue
	}
	if err != nil {
		c.close(fmt.Errorf("handle method %d: %w", f.method, err))
		return
	}
	_ = c.sendReply(ctx, frame{kind: frameReply, stream: f.stream, body: reply}) // a failure closes the connection
}
