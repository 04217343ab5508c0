package route

import (
	"net"
	"net/http"
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
				for range requests {
					c := w.dial(ingress)
					w.write(c, text(t, method))
					if err := c.Close(); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(200 * time.Millisecond)
				if n := w.runs(); n > requests/20 {
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
