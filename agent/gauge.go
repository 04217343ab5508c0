package agent

import (
	"context"
	"fmt"
	"sync"
)

// gauge counts requests in flight. The zero value is zero.
type gauge struct {
	mu    sync.Mutex
	count int
	zero  chan struct{} // closed when the count becomes zero, nil if nobody waits
}

func (g *gauge) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

func (g *gauge) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count--; g.count == 0 && g.zero != nil {
		close(g.zero)
		g.zero = nil
	}
}

// wait waits until no request is in flight.
func (g *gauge) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.zero == nil {
		g.zero = make(chan struct{})
	}
	zero := g.zero
	g.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		return fmt.Errorf("%d requests of callers are still in flight: %w", g.count, ctx.Err())
	}
}
