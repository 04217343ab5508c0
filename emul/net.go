package emul

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Net connects nodes in one process without sockets. Paths between hosts can be
// cut, after which open connections are silent and new ones hang.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[[2]string]bool
	healed    chan struct{}
	uplinks   map[string]*uplink // by host
}

// segment is how many bytes of one connection are in the queue of a link at most.
const segment = 64 << 10

// uplink is the outgoing link of a host, which sends in the order of arrival.
type uplink struct {
	rate      float64 // bytes per second
	busyUntil time.Time
}

// SetUplink limits the outgoing link of a host to a rate in bytes per second. It must
// be called before the host opens or accepts connections.
func (n *Net) SetUplink(host string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.uplinks == nil {
		n.uplinks = make(map[string]*uplink)
	}
	n.uplinks[host] = &uplink{rate: rate}
}

// queue puts bytes of a host into the queue of its link, and returns the time until
// they have been sent.
func (n *Net) queue(host string, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.uplinks[host]
	if u == nil {
		return 0
	}
	now := time.Now()
	if u.busyUntil.Before(now) {
		u.busyUntil = now
	}
	u.busyUntil = u.busyUntil.Add(time.Duration(float64(bytes) / u.rate * float64(time.Second)))
	return u.busyUntil.Sub(now)
}

// NewNet returns a network without hosts.
func NewNet() *Net {
	return &Net{listeners: make(map[string]*listener), cuts: make(map[[2]string]bool), healed: make(chan struct{})}
}

type listener struct {
	net      *Net
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Listen opens an address.
func (n *Net) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// Cut ends or restores the paths between two hosts, in both directions.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{min(a, b), max(a, b)}] = cut
	if !cut {
		close(n.healed)
		n.healed = make(chan struct{})
	}
}

func (n *Net) cut(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{min(a, b), max(a, b)}], n.healed
}

// Dialer returns the function by which a host opens connections.
func (n *Net) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if cut, _ := n.cut(from, address); cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
		}
		here, there := net.Pipe()
		select {
		case l.accepted <- &path{Conn: there, net: n, from: address, to: from, closed: make(chan struct{})}:
			return &path{Conn: here, net: n, from: from, to: address, closed: make(chan struct{})}, nil
		case <-l.closed:
			return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// path is one end of a connection.
type path struct {
	net.Conn
	net      *Net
	from, to string
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	deadline time.Time // of writes
}

// SetWriteDeadline implements net.Conn.
func (p *path) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	return p.Conn.SetWriteDeadline(t)
}

// late returns a channel that delivers when the deadline of writes has passed.
func (p *path) late() (<-chan time.Time, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(p.deadline))
	return t.C, func() { t.Stop() }
}

// Close implements net.Conn.
func (p *path) Close() error {
	p.once.Do(func() { close(p.closed) })
	return p.Conn.Close()
}

// Write implements net.Conn. Bytes that meet a cut arrive after it.
func (p *path) Write(b []byte) (int, error) {
	late, stop := p.late()
	defer stop()
	for {
		cut, healed := p.net.cut(p.from, p.to)
		if !cut {
			return p.send(b, late)
		}
		select {
		case <-healed:
		case <-late:
			return 0, os.ErrDeadlineExceeded
		case <-p.closed:
			return 0, net.ErrClosed
		}
	}
}

// send writes over the link of the host.
func (p *path) send(b []byte, late <-chan time.Time) (int, error) {
	sent := 0
	for part := range slices.Chunk(b, segment) {
		if wait := p.net.queue(p.from, len(part)); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-late:
				timer.Stop()
				return sent, os.ErrDeadlineExceeded
			case <-p.closed:
				timer.Stop()
				return sent, net.ErrClosed
			}
		}
		n, err := p.Conn.Write(part)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
