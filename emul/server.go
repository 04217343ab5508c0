package emul

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// relisten is the interval at which a returning target tries its address.
const relisten = 50 * time.Millisecond

// Server serves a target and emulates the crashes of its process: the address
// refuses connections while the target is away.
type Server struct {
	target  *Target
	address string
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu   sync.Mutex
	http *http.Server
}

// Serve serves a target at an address; port 0 picks a free port.
func Serve(t *Target, address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("serve target: %w", err)
	}
	s := &Server{target: t, address: l.Addr().String()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	t.mu.Lock()
	t.onCrash = s.crash
	t.mu.Unlock()
	s.serve(l)
	return s, nil
}

// Address returns the address, which a crash does not change.
func (s *Server) Address() string { return s.address }

func (s *Server) serve(l net.Listener) {
	h := &http.Server{
		Handler: s.target, ReadHeaderTimeout: 5 * time.Second,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil { // Close came before the return of a crashed target
		_ = l.Close()
		return
	}
	s.http = h
	s.tasks.Go(func() { _ = h.Serve(l) })
}

func (s *Server) current() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http
}

// crash cuts off the connections and brings the target back later.
func (s *Server) crash() {
	// An error of Close has no consequence: the listener is closed anyway.
	_ = s.current().Close()
	s.tasks.Go(func() {
		wait := s.target.cfg.Crash
		for {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(wait):
			}
			l, err := net.Listen("tcp", s.address)
			if err == nil {
				s.target.restart()
				s.serve(l)
				return
			}
			wait = relisten
		}
	})
}

// Close ends the server at once and cuts off requests in flight.
func (s *Server) Close() error {
	s.cancel()
	s.target.Thaw()
	err := s.current().Close()
	s.tasks.Wait()
	return err
}

// Shutdown ends the server after the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.cancel()
	return s.current().Shutdown(ctx)
}
