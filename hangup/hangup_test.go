package hangup_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"burdocklift/hangup"
)

// Guards against a caller that counts as gone while it waits, and against one that
// has left unnoticed, also with bytes that nobody has read.
func TestClosed(t *testing.T) {
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, sent string
		leave      func(c *net.TCPConn) error
		closed     bool
	}{
		{"waits", request, func(*net.TCPConn) error { return nil }, false},
		{"waits with a further request", request + request, func(*net.TCPConn) error { return nil }, false},
		{"closes", request, (*net.TCPConn).Close, true},
		{"closes after a further request", request + request, (*net.TCPConn).Close, true},
		{"closes its sending side", request, (*net.TCPConn).CloseWrite, true},
		{"resets", request, func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			begun, left, got := make(chan struct{}, 1), make(chan struct{}), make(chan bool, 2)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case begun <- struct{}{}:
					<-left
					got <- hangup.Closed(r.Context())
				default: // the further request
				}
			}))
			s.Config.ConnContext = hangup.ConnContext
			s.Start()
			defer s.Close()
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }() // it may be closed already
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			<-begun
			if err := c.leave(conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // until the end has reached the other side
			close(left)
			if closed := <-got; closed != c.closed {
				t.Errorf("closed is %v, want %v", closed, c.closed)
			}
		})
	}
	t.Run("without a connection", func(t *testing.T) {
		if hangup.Closed(context.Background()) {
			t.Error("a caller without a connection has left")
		}
	})
}
