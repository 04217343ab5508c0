package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Disturbance is what a proxy does to its connections.
type Disturbance int

// Disturbances.
const (
	Calm    Disturbance = iota
	Delay               // bytes arrive later, both ways
	Silence             // bytes stop, both ways, and nothing is closed
	OneWay              // bytes of whoever opened the connection stop
)

// delayTime is how long bytes are held back by Delay.
const delayTime = 150 * time.Millisecond

// dialLimit bounds the opening of the second half of a connection.
const dialLimit = time.Second

// Proxy passes connections on to an address and disturbs them.
type Proxy struct {
	listener net.Listener
	to       string
	ended    chan struct{}

	mu      sync.Mutex
	how     Disturbance
	changed chan struct{} // closed at the next change
	conns   map[net.Conn]bool
}

// NewProxy listens on one address for another.
func NewProxy(address, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy for %s: %w", to, err)
	}
	p := &Proxy{
		listener: l, to: to, ended: make(chan struct{}), changed: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	go p.accept()
	return p, nil
}

// Set changes what the proxy does.
func (p *Proxy) Set(how Disturbance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.how = how
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset cuts all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a plain close serves as well
		}
		_ = c.Close() // the copying goroutines see it
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // accept reports its end
	p.Set(Calm)
	p.Reset()
	<-p.ended
}

func (p *Proxy) accept() {
	defer close(p.ended)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		group.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) serve(from net.Conn) {
	to, err := net.DialTimeout("tcp", p.to, dialLimit)
	if err != nil {
		_ = from.Close() // like a port that nobody listens on
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(to, from, true) })
	group.Go(func() { p.copy(from, to, false) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// copy passes bytes on as the present disturbance allows.
func (p *Proxy) copy(to, from net.Conn, forth bool) {
	defer func() { _, _ = to.Close(), from.Close() }() // ends the other direction
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.pass(forth)
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			p.pass(forth)
			return
		}
	}
}

// pass waits until bytes may go on.
func (p *Proxy) pass(forth bool) {
	for {
		p.mu.Lock()
		how, changed := p.how, p.changed
		p.mu.Unlock()
		switch {
		case how == Delay:
			ctx, cancel := context.WithTimeout(context.Background(), delayTime)
			<-ctx.Done()
			cancel()
			return
		case how == Calm, how == OneWay && !forth:
			return
		}
		<-changed
	}
}
