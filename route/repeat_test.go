package route

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/proto"
)

// rawTarget serves each connection with a function and returns its address.
func rawTarget(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) string {
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
	return "http://" + l.Addr().String() + "/"
}

// readRequest reads a request to its end, and returns false at the end of the connection.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// Guards against a request that counts as refused although the target runs it, since the
// target writes an earlier refusal once more on a kept connection.
func TestRefusalWrittenAgain(t *testing.T) {
	refusal := "HTTP/1.1 412 Precondition Failed\r\n" + proto.HeaderOutcome + ": " + string(proto.NotRun) + "\r\nContent-Length: 0\r\n\r\n"
	var seen, runs atomic.Int32
	url := rawTarget(t, func(c net.Conn, r *bufio.Reader) {
		refused := false
		for readRequest(r) {
			if seen.Add(1) == 1 {
				refused = true
				_, _ = io.WriteString(c, refusal) // the test sees a failure at the other end
				continue
			}
			runs.Add(1)
			if refused {
				_, _ = io.WriteString(c, refusal)
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newClient(1)
	for i, want := range []int{http.StatusPreconditionFailed, http.StatusOK, http.StatusOK} {
		resp, _, err := exchange(t.Context(), client, http.MethodPost, url, http.Header{}, []byte("x"), 1<<20, nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("request %d: response %v, %v, want status %d; the target ran %d requests", i, resp, err, want, runs.Load())
		}
	}
}

// Guards against an answer that looks whole although the target stopped within its head.
func TestHeadCutOff(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 10\r\n\r\n0123456789",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\nConnection: close\r\n\r\n0123456789",
	} {
		head := strings.Index(whole, "\r\n\r\n") + 4
		for cut := 1; cut < head; cut++ {
			t.Run(fmt.Sprintf("%d of %d bytes", cut, head), func(t *testing.T) {
				url := rawTarget(t, func(c net.Conn, r *bufio.Reader) {
					if readRequest(r) {
						_, _ = io.WriteString(c, whole[:cut])
					}
				})
				resp, body, err := exchange(t.Context(), newClient(1), http.MethodPost, url, http.Header{}, []byte("x"), 1<<20, nil)
				if err == nil {
					t.Errorf("answer counts as whole after %q: status %d, body %q", whole[:cut], resp.StatusCode, body)
				}
				if errors.Is(err, errNotSent) {
					t.Errorf("request counts as not sent after %q", whole[:cut])
				}
			})
		}
	}
}
