// Package peer carries calls between nodes. Calls are multiplexed over one
// persistent connection in each direction, in binary frames with CBOR bodies,
// because traffic between regions is the scarcest resource of a site.
package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/budget"
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
	// ownConnection is the size in bytes of a call above which it gets a connection of its
	// own: a link of 10 Mbit/s carries it in 0.8 s.
	ownConnection = 1 << 20
	// framePause bounds the time in which nothing arrives of a frame that has begun.
	framePause = 2 * time.Second
	// callOverhead is the memory in bytes for a call besides its body.
	callOverhead = 4 << 10
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
	account   *budget.Account   // nil without a limit
	maxConns  int               // accepted connections, 0 for no limit
	onLimit   func(error)       // is told of refused connections, nil for nobody
	refusals  map[Method]func() []byte
	features  Features // of this node
	onPanic   func(m Method, reason any, stack []byte)
	runCtx    context.Context // ends with Run
	cancelRun context.CancelFunc

	mu       sync.Mutex
	links    map[string]*link // by address
	accepted map[*conn]struct{}
	alone    map[*conn]struct{} // connections for one large call each
}

// New returns a Transport without handlers.
func New(c clock.Clock) *Transport {
	runCtx, cancelRun := context.WithCancel(context.Background())
	return &Transport{
		clock: c, handlers: make(map[Method]Handler), dial: dialTCP, runCtx: runCtx, cancelRun: cancelRun,
		links: make(map[string]*link), accepted: make(map[*conn]struct{}), alone: make(map[*conn]struct{}),
		refusals: make(map[Method]func() []byte),
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

// SetLimits sets the account for frames, and how many connections of other nodes are
// accepted, 0 for no limit. The function is told of connections that are not accepted. It
// must be called before Run.
func (t *Transport) SetLimits(a *budget.Account, conns int, onLimit func(error)) {
	t.account, t.maxConns, t.onLimit = a, conns, onLimit
}

// HandleRefusal sets the reply to calls of a method for which there is no memory. Without
// it, the connection of such a call is closed. It must be called before Run.
func (t *Transport) HandleRefusal(m Method, reply func() []byte) { t.refusals[m] = reply }

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

func (t *Transport) call(ctx context.Context, address string, m Method, body []byte, more ...[]byte) ([]byte, error) {
	pieces := append([][]byte{body}, more...)
	return t.Exchange(ctx, address, frame{more: pieces}.size(), func(Remote) (Method, [][]byte, error) { return m, pieces, nil })
}

// dialAlone opens a connection for one large call, so that the other calls to the node don't
// wait until the link has carried it.
func (t *Transport) dialAlone(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := t.dial(ctx, address)
	if err == nil {
		err = announceParts(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := newConn(raw, t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.alone[c] = struct{}{}
	return c, nil
}

// closeAlone closes the connection of a large call.
func (t *Transport) closeAlone(c *conn) {
	t.mu.Lock()
	delete(t.alone, c)
	t.mu.Unlock()
	c.close(net.ErrClosed)
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
			if Exhausted(err) {
				t.reportLimit(err)
				time.Sleep(acceptPause)
				continue
			}
			if err != nil {
				acceptErrs <- err
				return
			}
			if c := t.accept(raw); c == nil {
				t.reportLimit(fmt.Errorf("%w: %d connections of other nodes", ErrConnections, t.maxConns))
				_ = raw.Close() // nothing was sent on it
			}
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

// ErrConnections means that there are too many connections.
var ErrConnections = errors.New("too many connections")

// acceptPause is the time after which a listener accepts again when the process or the
// host had no descriptor or memory left for a connection.
const acceptPause = 50 * time.Millisecond

// Exhausted reports whether an error of a listener tells of a lack that may pass.
func Exhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (t *Transport) reportLimit(err error) {
	if t.onLimit != nil {
		t.onLimit(err)
	}
}

// accept serves the calls on a connection that another node has opened. It returns nil if
// there are too many. Those on which nothing was received for the longest time give way,
// unless calls are in flight on them.
func (t *Transport) accept(raw net.Conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxConns > 0 && len(t.accepted) >= t.maxConns {
		idle := t.idlest()
		if idle == nil {
			return nil
		}
		idle.close(ErrConnections)
		delete(t.accepted, idle)
	}
	c := newConn(raw, t)
	t.accepted[c] = struct{}{}
	return c
}

// idlest returns the accepted connection without calls in flight on which nothing was
// received for the longest time, or nil.
func (t *Transport) idlest() *conn {
	var idlest *conn
	var since time.Duration
	for c := range t.accepted {
		c.mu.Lock()
		last, busy := c.lastReceived, len(c.cancels) > 0
		c.mu.Unlock()
		if !busy && (idlest == nil || last < since) {
			idlest, since = c, last
		}
	}
	return idlest
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
	alone := slices.Collect(maps.Keys(t.alone))
	t.mu.Unlock()
	for _, c := range alone {
		c.checkLiveness()
	}
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
	for c := range t.accepted {
		c.close(net.ErrClosed)
	}
	for c := range t.alone {
		c.close(net.ErrClosed)
	}
	for _, l := range t.links {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.close(net.ErrClosed)
		}
		l.mu.Unlock()
	}
}
