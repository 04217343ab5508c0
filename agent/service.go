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
	header   int // bound on the request line and headers in bytes

	once sync.Once
	http *http.Server
}

func (s *httpService) server() *http.Server {
	s.once.Do(func() {
		s.http = &http.Server{
			Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: s.header,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return hangup.ConnContext(context.WithValue(ctx, limitedConnKey{}, c), c)
			},
		}
		if l, ok := s.listener.(*limitedListener); ok {
			s.http.ConnState = l.observe
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
