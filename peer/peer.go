// Package peer carries calls between nodes. Calls are multiplexed over one
// persistent connection in each direction, in binary frames with CBOR bodies,
// because traffic between regions is the scarcest resource of a site.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/client"
	"burdocklift/clock"
	"burdocklift/uplink"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotSent means that the other node did not receive the call.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoReply means that the call was sent and no reply arrived.
	ErrNoReply = errors.New("no reply to a call that was sent")

	errHandlerPanic = errors.New("handler panicked")
)

const (
	// dialTimeout bounds the dialing of a connection; another region is 8 ms
	// away.
	dialTimeout = 250 * time.Millisecond
	// dialBackoff is how long calls to a node fail at once after a failed dial.
	dialBackoff = 300 * time.Millisecond
	// writeTimeout bounds the writing of a frame to a node that does not read.
	writeTimeout = 2 * time.Second
	// pingIdleTime is how long a connection with pending calls may receive
	// nothing before a ping is sent, and closeIdleTime how long before it is
	// closed. A packet that is lost once is retransmitted within 0.3 s.
	pingIdleTime  = 300 * time.Millisecond
	closeIdleTime = 1000 * time.Millisecond
	// callerSilence is how long an accepted connection may carry nothing before
	// the calls on it are cancelled. The calling node has closed its side by then,
	// as it checks every pingIdleTime.
	callerSilence = closeIdleTime + 2*pingIdleTime
)

// Method identifies the handler of a call.
type Method byte

// Handler answers a call. Its context ends when the caller cancels the call or
// the connection is lost.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Transport holds the connections of a node to other nodes, and the handlers of
// their calls.
type Transport struct {
	clock     clock.Clock
	handlers  map[Method]Handler
	dial      Dialer
	uplink    *uplink.Scheduler // nil without a limit
	features  Features          // of this node
	onPanic   func(m Method, reason any, stack []byte)
	runCtx    context.Context // ends with Run
	cancelRun context.CancelFunc

	mu       sync.Mutex
	links    map[string]*link // by address
	accepted map[*conn]struct{}
}

// New returns a Transport without handlers.
func New(c clock.Clock) *Transport {
	runCtx, cancelRun := context.WithCancel(context.Background())
	return &Transport{
		clock: c, handlers: make(map[Method]Handler), dial: dialTCP, runCtx: runCtx, cancelRun: cancelRun,
		links: make(map[string]*link), accepted: make(map[*conn]struct{}),
	}
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: client.SilenceControl, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

// SetDialer replaces the TCP dialer. It must be called before Run.
func (t *Transport) SetDialer(d Dialer) { t.dial = d }

// SetUplink sets the outgoing link that the connections share with other traffic of
// the host. It must be called before Run.
func (t *Transport) SetUplink(u *uplink.Scheduler) { t.uplink = u }

// OnPanic sets a function that is told of panics of handlers. It must be called before
// Run.
func (t *Transport) OnPanic(f func(m Method, reason any, stack []byte)) { t.onPanic = f }

// Handle sets the handler of a method. It must be called before Run.
func (t *Transport) Handle(m Method, h Handler) { t.handlers[m] = h }

// link holds the connection to one address, of which there is at most one, and
// the state of dialing it.
type link struct {
	mu           sync.Mutex
	conn         *conn
	dialing      chan struct{} // closed when the dial in progress has ended
	backoffUntil time.Duration // until when calls fail at once
	dialErr      error         // of the last failed dial
}

// Call sends a message to the node at an address and decodes its reply.
func Call[T any](ctx context.Context, t *Transport, address string, m Method, message any) (T, error) {
	var out T
	body, err := cbor.Marshal(message)
	if err != nil {
		return out, fmt.Errorf("%w: encode message: %w", ErrNotSent, err)
	}
	reply, err := t.call(ctx, address, m, body)
	if err != nil {
		return out, fmt.Errorf("call %s: %w", address, err)
	}
	if err := cbor.Unmarshal(reply, &out); err != nil {
		return out, fmt.Errorf("call %s: %w: decode reply: %w", address, ErrNoReply, err)
	}
	return out, nil
}

func (t *Transport) call(ctx context.Context, address string, m Method, body []byte) ([]byte, error) {
	return t.Exchange(ctx, address, func(Remote) (Method, []byte, error) { return m, body, nil })
}

// connTo returns an open connection to an address. It waits for a dial in
// progress.
func (t *Transport) connTo(ctx context.Context, address string) (*conn, error) {
	t.mu.Lock()
	l := t.links[address]
	if l == nil {
		l = &link{}
		t.links[address] = l
	}
	t.mu.Unlock()
	for {
		c, dialing, err := t.connOrDial(l, address)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connOrDial returns the open connection of a link, the error of the last dial
// during its backoff, or a channel that is closed when the dial in progress has
// ended.
func (t *Transport) connOrDial(l *link, address string) (*conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.conn != nil && l.conn.alive():
		return l.conn, nil, nil
	case l.dialing != nil:
		return nil, l.dialing, nil
	case t.clock.Elapsed() < l.backoffUntil:
		return nil, nil, l.dialErr
	}
	l.dialing = make(chan struct{})
	go t.dialLink(l, address, l.dialing)
	return nil, l.dialing, nil
}

// dialLink opens the connection of a link and closes done when it has succeeded
// or failed.
func (t *Transport) dialLink(l *link, address string, done chan struct{}) {
	ctx, cancel := context.WithTimeout(t.runCtx, dialTimeout)
	defer cancel()
	raw, err := t.dial(ctx, address)
	if err == nil {
		err = announceParts(raw)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	if err != nil {
		l.backoffUntil, l.dialErr = t.clock.Elapsed()+dialBackoff, err
	} else {
		l.conn = newConn(raw, t)
	}
	close(done)
}

// announceParts tells the node at the other end of a new connection, before any call,
// that this one accepts replies in parts.
func announceParts(raw net.Conn) error {
	err := raw.SetWriteDeadline(time.Now().Add(dialTimeout))
	if err == nil {
		_, err = raw.Write(frame{kind: framePing, method: acceptsParts}.appendTo(nil))
	}
	if err != nil {
		_ = raw.Close() // the connection was not used yet
	}
	return err
}

// Reachable reports whether an address is not in backoff after a failed dial.
func (t *Transport) Reachable(address string) bool {
	t.mu.Lock()
	l := t.links[address]
	t.mu.Unlock()
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.clock.Elapsed() >= l.backoffUntil
}

// Run accepts connections until the context ends.
func (t *Transport) Run(ctx context.Context, listener net.Listener) error {
	defer t.closeAll()
	acceptErrs := make(chan error, 1)
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				acceptErrs <- err
				return
			}
			c := t.accept(raw)
			context.AfterFunc(ctx, func() { c.close(ctx.Err()) })
		}
	}()
	ticks := t.clock.NewTicker(pingIdleTime)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			err := listener.Close()
			if acceptErr := <-acceptErrs; !errors.Is(acceptErr, net.ErrClosed) {
				err = errors.Join(err, acceptErr)
			}
			return err
		case err := <-acceptErrs:
			return fmt.Errorf("accept connections from other nodes: %w", err)
		case <-ticks.Chan():
			t.checkLiveness()
		}
	}
}

// accept serves the calls on a connection that another node has opened.
func (t *Transport) accept(raw net.Conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := newConn(raw, t)
	t.accepted[c] = struct{}{}
	return c
}

// forget removes a connection that has ended.
func (t *Transport) forget(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, c)
}

// checkLiveness pings or closes idle connections with pending calls, and cancels
// the calls of nodes that have vanished.
func (t *Transport) checkLiveness() {
	t.mu.Lock()
	for c := range t.accepted {
		c.checkCaller()
	}
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	t.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		c := l.conn
		l.mu.Unlock()
		if c != nil {
			c.checkLiveness()
		}
	}
}

func (t *Transport) closeAll() {
	t.cancelRun()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.close(net.ErrClosed)
		}
		l.mu.Unlock()
	}
}
