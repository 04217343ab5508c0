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
