package route

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdocklift/proto"
)

// maxWorkAfterDeparture is how long a target may work on a request that may be
// repeated after its caller has left.
const maxWorkAfterDeparture = 500 * time.Millisecond

// text returns a request as it is on the wire.
func text(t *testing.T, method string) string {
	t.Helper()
	return method + " /permit/p/k HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + proto.HeaderID + ": " + newID(t) + "\r\n\r\n"
}

func (w *cluster) dial(ingress int) net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", w.hosts[ingress].caller)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() }) // it may be closed already
	return c
}

func (w *cluster) write(c net.Conn, text string) {
	w.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		w.t.Fatal(err)
	}
}

// Guards against requests that reach a target although their caller had left
// before the node read them.
func TestCallerLeavesBeforeItsRequestIsRead(t *testing.T) {
	for ingress, name := range []string{"at the owner", "forwarded"} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				w := newCluster(t, 2, "permit", echo)
				const requests = 100
				w.hosts[ingress].callers.Hold()
				for range requests {
					c := w.dial(ingress)
					w.write(c, text(t, method))
					if err := c.Close(); err != nil {
						t.Fatal(err)
					}
				}
				w.hosts[ingress].callers.Release()
				time.Sleep(200 * time.Millisecond)
				if n := w.runs(); n > 0 {
					t.Errorf("%d of %d requests of callers that had left reached the target", n, requests)
				}
			})
		}
	}
}

// Guards against a target that works on for a caller that has left after it sent
// more than its request.
func TestCallerLeavesAfterFurtherBytes(t *testing.T) {
	for ingress, name := range []string{"at the owner", "forwarded"} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan time.Time, 1)
			w := newCluster(t, 2, "permit", func(_ *host, _ http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
				case <-time.After(3 * time.Second):
				}
				ended <- time.Now()
			})
			c := w.dial(ingress)
			w.write(c, text(t, "GET"))
			eventually(t, "request at the target", func() bool { return w.runs() == 1 })
			w.write(c, "GET /per")
			time.Sleep(50 * time.Millisecond)
			if err := c.Close(); err != nil {
				t.Fatal(err)
			}
			left := time.Now()
			if late := (<-ended).Sub(left); late > maxWorkAfterDeparture {
				t.Errorf("target worked for %v after the caller had left", late)
			}
		})
	}
}

// Guards against once-only requests that wait for a slot on behalf of a caller that
// has left, and against a retry that does not run then.
func TestQueuedOnceOnlyRequestOfDepartedCaller(t *testing.T) {
	for ingress, name := range []string{"at the owner", "forwarded"} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			w := newCluster(t, 2, "permit", func(h *host, rw http.ResponseWriter, r *http.Request) {
				<-release
				echo(h, rw, r)
			})
			owner := w.hosts[0].router
			rules := *owner.rules.Load()
			rules.Limits.Slots = 1
			owner.SetRules(&rules)
			first := w.sendAsync(ingress, "POST", "/permit/p/k", "", proto.HeaderID, newID(t))
			eventually(t, "request at the target", func() bool { return w.runs() == 1 })
			id := newID(t)
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+w.hosts[ingress].caller+"/permit/p/k", strings.NewReader(""))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(proto.HeaderID, id)
			left := make(chan error, 1)
			go func() {
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					err = fmt.Errorf("status %d", resp.StatusCode)
					_ = resp.Body.Close() // the test has failed already
				}
				left <- err
			}()
			limiter := owner.target.Load().limiter
			eventually(t, "second request waits", func() bool { return limiter.Waiting() == 1 })
			cancel()
			if err := <-left; !errors.Is(err, context.Canceled) {
				t.Errorf("caller ended with %v, want %v", err, context.Canceled)
			}
			for end := time.Now().Add(time.Second); limiter.Waiting() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if limiter.Waiting() > 0 {
				t.Error("request still waits 1 s after its caller has left")
			}
			close(release)
			(<-first).want(t, proto.Answered, "")
			time.Sleep(50 * time.Millisecond)
			if n := w.runs(); n != 1 {
				t.Errorf("%d requests ran, want 1", n)
			}
			w.send(ingress, "POST", "/permit/p/k", "", proto.HeaderID, id).want(t, proto.Answered, "")
			if n := w.runs(); n != 2 {
				t.Errorf("%d requests ran with the retry, want 2", n)
			}
		})
	}
}
