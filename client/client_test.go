package client_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/client"
	"burdocklift/clock"
)

const (
	idHeader     = "Request-Id"
	answerMemory = 16 << 20
)

// serve starts a target that handles each connection with a function.
func serve(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) *client.Pool {
	t.Helper()
	return serveWith(t, answerMemory, handle)
}

// serveWith is serve with another memory for answers, in bytes.
func serveWith(t *testing.T, memory int64, handle func(c net.Conn, r *bufio.Reader)) *client.Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	p := client.NewPool(l.Addr().String(), idHeader, memory, clock.New())
	t.Cleanup(p.Close)
	return p
}

// readRequest returns the ID of the next request, or false at the end.
func readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false
	}
	return req.Header.Get(idHeader), true
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) } // the test sees a failure at the other end

func do(p *client.Pool, id string) (client.Answer, error) {
	return p.Do(context.Background(), &client.Request{
		Method: http.MethodPost, Path: "/x", Host: "h", ID: id, Header: http.Header{idHeader: {id}}, Body: []byte("body"),
	})
}

func assertAnswer(t *testing.T, p *client.Pool, id, body string) {
	t.Helper()
	a, err := do(p, id)
	if err != nil || string(a.Body) != body {
		t.Errorf("request %s got %q, %v, want %q", id, a.Body, err, body)
	}
}

func assertUnclear(t *testing.T, p *client.Pool, id string) {
	t.Helper()
	if a, err := do(p, id); !errors.Is(err, client.ErrUnclear) {
		t.Errorf("request %s got %q, %v, want an unclear outcome", id, a.Body, err)
	}
}

// Guards against an answer that reaches another request, when the target
// answers twice, late or under another ID.
func TestStrayAnswers(t *testing.T) {
	t.Run("second answer comes at once", func(t *testing.T) {
		p := serve(t, func(c net.Conn, r *bufio.Reader) {
			for {
				id, ok := readRequest(r)
				if !ok {
					return
				}
				write(c, answer(id, id)+answer(id, "old"))
			}
		})
		assertAnswer(t, p, "a", "a")
		assertAnswer(t, p, "b", "b")
	})
	t.Run("second answer comes with the next one", func(t *testing.T) {
		p := serve(t, func(c net.Conn, r *bufio.Reader) {
			last := ""
			for {
				id, ok := readRequest(r)
				if !ok {
					return
				}
				if last != "" {
					write(c, answer(last, "old"))
				}
				write(c, answer(id, id))
				last = id
			}
		})
		assertAnswer(t, p, "a", "a")
		assertAnswer(t, p, "b", "b")
		assertAnswer(t, p, "c", "c")
	})
	t.Run("answer of an unknown request", func(t *testing.T) {
		p := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, ok := readRequest(r); ok {
				write(c, answer("z", "z"))
			}
		})
		assertUnclear(t, p, "a")
	})
}

// Guards against a part of an answer that counts as whole.
func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"cut":      "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 9\r\n\r\nhalf",
		"no HTTP":  "\x00\x01\x02",
		"no reply": "",
	} {
		t.Run(name, func(t *testing.T) {
			p := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); ok {
					write(c, text)
				}
			})
			assertUnclear(t, p, "a")
		})
	}
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n\r\nrest"
	t.Run("without length, closed", func(t *testing.T) {
		p := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, ok := readRequest(r); ok {
				write(c, head)
			}
		})
		assertAnswer(t, p, "a", "rest")
	})
	t.Run("without length, reset", func(t *testing.T) {
		p := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, ok := readRequest(r); !ok {
				return
			}
			write(c, head)
			tcp, ok := c.(*net.TCPConn)
			if !ok || tcp.SetLinger(0) != nil {
				t.Error("connection cannot be reset")
			}
		})
		assertUnclear(t, p, "a")
	})
}

// Guards against a request that counts as sent although nobody listens, and
// against a request that is sent on a connection that the target has closed.
func TestConnections(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := client.NewPool(l.Addr().String(), idHeader, answerMemory, clock.New())
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := do(p, "a"); !errors.Is(err, client.ErrNotSent) {
			t.Errorf("error is %v", err)
		}
	})
	t.Run("closed while idle", func(t *testing.T) {
		closed := make(chan struct{}, 2)
		var dials atomic.Int32
		p := serve(t, func(c net.Conn, r *bufio.Reader) {
			dials.Add(1)
			id, ok := readRequest(r)
			if !ok {
				return
			}
			write(c, answer(id, id))
			_ = c.Close() // at once, as a target that forgets the connection
			closed <- struct{}{}
		})
		assertAnswer(t, p, "a", "a")
		<-closed
		time.Sleep(20 * time.Millisecond) // until the end has reached this side
		assertAnswer(t, p, "b", "b")
		if n := dials.Load(); n != 2 {
			t.Errorf("%d connections were opened", n)
		}
	})
}

// Guards against work that goes on at the target after its caller has left.
func TestCancel(t *testing.T) {
	left := make(chan struct{})
	p := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			if _, ok := readRequest(r); !ok {
				close(left)
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := p.Do(ctx, &client.Request{Method: http.MethodGet, Path: "/", Host: "h", ID: "a"})
	if !errors.Is(err, client.ErrUnclear) || !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v", err)
	}
	<-left
}
