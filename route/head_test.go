package route

import (
	"net/http"
	"strings"
	"testing"

	"burdocklift/proto"
)

// Guards against the head of a response that takes the memory of the host.
func TestHeadOverTheLimit(t *testing.T) {
	w := newCluster(t, 1, "permit", func(h *host, rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Long", strings.Repeat("x", 256<<10))
		echo(h, rw, r)
	})
	w.send(0, "POST", "/permit/p/k", "", proto.HeaderID, newID(t)).want(t, proto.Unknown, ReasonResponseLost)
}

// Guards against the status of a failing target that reaches the caller as an answer, or ends
// the connection of the caller, as net/http refuses to write it.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20", "101"} {
		t.Run(status, func(t *testing.T) {
			w := newCluster(t, 2, "permit", func(_ *host, rw http.ResponseWriter, _ *http.Request) {
				conn, buf, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = buf.WriteString("HTTP/1.1 " + status + " None\r\nContent-Length: 0\r\n\r\n")
				_ = buf.Flush()
				_ = conn.Close()
			})
			for ingress := range 2 {
				w.send(ingress, "POST", "/permit/p/k", "", proto.HeaderID, newID(t)).want(t, proto.Unknown, ReasonResponseLost)
			}
		})
	}
}
