package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"burdocklift/hangup"
)

// httpService adapts an HTTP server to kernel.Service.
type httpService struct {
	listener net.Listener
	handler  http.Handler

	once sync.Once
	http *http.Server
}

func (s *httpService) server() *http.Server {
	s.once.Do(func() {
		s.http = &http.Server{
			Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			ConnContext: hangup.ConnContext,
		}
	})
	return s.http
}

// Run implements kernel.Service.
func (s *httpService) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.server().Serve(s.listener) }()
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return nil
		}
		return err
	case <-ctx.Done():
	}
	err := s.server().Close()
	if serveErr := <-ended; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

// shutdown closes the listener and waits for requests in flight.
func (s *httpService) shutdown(ctx context.Context) error { return s.server().Shutdown(ctx) }
