package client_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a request that counts as refused although the target runs it, since the
// target writes an earlier refusal once more on a kept connection.
func TestRefusalWrittenAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		ids  []string // in the order of sending; the first one is refused, and its refusal written again before the last answer
	}{
		{"next request", []string{"a", "b"}},
		{"later request", []string{"a", "b", "c", "d", "e", "f", "g", "h"}},
		{"same request at once", []string{"a", "a"}},
		{"same request later", []string{"a", "b", "c", "d", "e", "f", "a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs, seen atomic.Int32
			p := serve(t, func(conn net.Conn, r *bufio.Reader) {
				refusedHere := ""
				for {
					id, ok := readRequest(r)
					if !ok {
						return
					}
					n := int(seen.Add(1))
					if n == 1 {
						refusedHere = id
						write(conn, refusal(id))
						continue
					}
					if n == len(c.ids) && refusedHere != "" {
						write(conn, refusal(refusedHere))
						time.Sleep(10 * time.Millisecond)
					}
					runs.Add(1)
					write(conn, answer(id, "done"))
				}
			})
			for i, id := range c.ids {
				a, err := do(p, id)
				if i == 0 {
					if err != nil || a.Status != http.StatusServiceUnavailable {
						t.Fatalf("first request: status %d, %v, want a refusal", a.Status, err)
					}
					continue
				}
				if err == nil && a.Header.Get("Not-Run") != "" {
					t.Errorf("request %d (%s) counts as refused, the target ran %d requests", i, id, runs.Load())
				}
			}
		})
	}
}

// Guards against an answer that looks whole although the target stopped within its head.
func TestHeadCutOff(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 10\r\n\r\n0123456789",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nX: y\r\nConnection: close\r\n\r\n0123456789",
	} {
		head := strings.Index(whole, "\r\n\r\n") + 4
		for cut := 1; cut < head; cut++ {
			t.Run(fmt.Sprintf("%d of %d bytes", cut, head), func(t *testing.T) {
				p := serve(t, func(c net.Conn, r *bufio.Reader) {
					if _, ok := readRequest(r); ok {
						write(c, whole[:cut])
					}
				})
				if a, err := do(p, "a"); err == nil {
					t.Errorf("answer counts as whole after %q: status %d, body %q", whole[:cut], a.Status, a.Body)
				}
			})
		}
	}
}
