package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"burdocklift/budget"
	"burdocklift/clock"
	"burdocklift/peer"
)

const (
	// connBytes is the memory in bytes that a connection takes: two buffers of 4 KiB, the
	// stacks of its goroutines, and a head of 16 KiB.
	connBytes = 32 << 10
	// connMemoryShare is the part of the account for messages that connections of callers
	// may take.
	connMemoryShare = 4
	// callerFileShare, targetFileShare and peerFileShare (in eighths) are the parts of the
	// descriptors for connections of callers, to the target and of other nodes. The rest is
	// for connections to other nodes and to the store, and for probes.
	callerFileShare = 4
	targetFileShare = 8
	peerFileEighths = 3
	// innerConnections bounds the connections of the target's heartbeats, of probes and of
	// readers of metrics, for each of the three. They use one or two.
	innerConnections = 32
	// fewConnections is the least bound on connections, for hosts with few descriptors.
	fewConnections = 16
	// acceptPause is the time after which a listener accepts again when no descriptor was
	// left.
	acceptPause = 50 * time.Millisecond
)

// files returns the descriptor limit of this process.
func files() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the descriptor limit: %w", err)
	}
	return int(min(limit.Cur, 1<<20)), nil
}

// limitedListener accepts a limited number of connections. When there are too many, the one
// on which nothing has moved for the longest time gives way, unless a request runs, else the
// new one is closed.
type limitedListener struct {
	net.Listener
	clock     clock.Clock
	account   *budget.Account
	max       int
	perClient int
	refused   func(error)

	mu      sync.Mutex
	conns   map[*limitedConn]struct{}
	clients map[netip.Addr]int
	dropped int64 // connections that were closed for others, or refused
}

// limitedConn is an accepted connection.
type limitedConn struct {
	*net.TCPConn
	listener *limitedListener
	client   netip.Addr
	hold     *budget.Hold
	close    sync.Once

	// Guarded by the lock of the listener.
	closed bool
	phase  connPhase
	since  time.Duration // of the phase, or of the last progress in it
}

// connPhase is what a connection is used for.
type connPhase int

const (
	awaitsRequest connPhase = iota // none has begun, or its head is being read
	readsBody
	runsRequest
	writesAnswer
)

const (
	// headStall is how long a connection stays without a request before it gives way to a new
	// one: a request that is on its way should not be cut off.
	headStall = time.Second
	// bodyStall and answerStall are how long nothing of a body or an answer moves before its
	// connection gives way to a new one. Callers read answers as they like: targets wait for
	// some seconds as well.
	bodyStall   = time.Second
	answerStall = 5 * time.Second
)

// mayGo reports whether the connection may be closed for another one.
func (c *limitedConn) mayGo(now time.Duration) bool {
	switch c.phase {
	case awaitsRequest:
		return now-c.since >= headStall
	case readsBody:
		return now-c.since >= bodyStall
	case writesAnswer:
		return now-c.since >= answerStall
	}
	return false
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if peer.Exhausted(err) {
			l.refused(err)
			l.dropIdlest(func(*limitedConn) bool { return true })
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return nil, fmt.Errorf("connection of %s is no TCP connection", raw.RemoteAddr())
		}
		c, err := l.admit(tcp)
		if err == nil {
			return c, nil
		}
		l.refused(err)
		_ = tcp.Close() // nothing was sent on it
	}
}

// admit makes room for a connection.
func (l *limitedListener) admit(raw *net.TCPConn) (*limitedConn, error) {
	client, err := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err != nil {
		return nil, fmt.Errorf("address of a client: %w", err)
	}
	c := &limitedConn{TCPConn: raw, listener: l, client: client.Addr(), hold: l.account.Open(), since: l.clock.Elapsed()}
	l.mu.Lock()
	count, own := len(l.conns), l.clients[c.client]
	l.mu.Unlock()
	switch {
	case own >= l.perClient && !l.dropIdlest(func(o *limitedConn) bool { return o.client == c.client }):
		return nil, fmt.Errorf("%w: %d of %s", peer.ErrConnections, own, c.client)
	case own < l.perClient && count >= l.max && !l.dropIdlest(func(*limitedConn) bool { return true }):
		return nil, fmt.Errorf("%w: %d on %s", peer.ErrConnections, count, l.Addr())
	}
	c.hold.Force(connBytes) // the number of connections is bounded
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns, l.clients = make(map[*limitedConn]struct{}), make(map[netip.Addr]int)
	}
	l.conns[c] = struct{}{}
	l.clients[c.client]++
	return c, nil
}

// dropIdlest closes the connection that has waited the longest of those that may be
// closed, and reports whether there was one.
func (l *limitedListener) dropIdlest(may func(*limitedConn) bool) bool {
	l.mu.Lock()
	l.dropped++
	var idlest *limitedConn
	now := l.clock.Elapsed()
	for c := range l.conns {
		if !c.closed && c.mayGo(now) && may(c) && (idlest == nil || c.since < idlest.since) {
			idlest = c
		}
	}
	if idlest != nil {
		idlest.closed = true
	}
	l.mu.Unlock()
	if idlest == nil {
		return false
	}
	_ = idlest.Close() // the server sees that it is closed
	return true
}

// load returns the number of open connections, and of those that were dropped or refused.
func (l *limitedListener) load() (open int, dropped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.dropped
}

// observe is a function for http.Server.ConnState.
func (l *limitedListener) observe(raw net.Conn, s http.ConnState) {
	c, ok := raw.(*limitedConn)
	if ok && s == http.StateIdle {
		c.enter(awaitsRequest)
	}
}

type limitedConnKey struct{}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *limitedConn {
	c, _ := ctx.Value(limitedConnKey{}).(*limitedConn)
	return c
}

// enter tells that a phase begins, or that something has moved in it. It returns false if
// the connection has given way to another one.
func (c *limitedConn) enter(p connPhase) bool {
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.phase, c.since = p, c.listener.clock.Elapsed()
	return !c.closed
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.close.Do(func() {
		l := c.listener
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
		if l.clients[c.client]--; l.clients[c.client] == 0 {
			delete(l.clients, c.client)
		}
		c.hold.Close()
	})
	err := c.TCPConn.Close()
	if errors.Is(err, syscall.ENOTCONN) {
		return nil
	}
	return err
}
