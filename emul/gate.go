package emul

import (
	"net"
	"sync"
)

// Gate is a listener that can hold connections back, as a server that is too busy
// to accept them.
type Gate struct {
	net.Listener

	mu   sync.Mutex
	open chan struct{} // closed by Release; nil if connections pass
}

// Hold holds back all connections that are accepted from now on.
func (g *Gate) Hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

// Release lets connections pass again.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if err == nil && open != nil {
		<-open
	}
	return c, err
}
