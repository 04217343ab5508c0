package route

import (
	"net/http"
	"testing"

	"burdocklift/proto"
)

// channelObserver sends the calls it receives to channels.
type channelObserver struct {
	requests chan CompletedRequest
	attempts chan proto.Outcome
}

func (c *channelObserver) Request(f CompletedRequest) { c.requests <- f }

func (c *channelObserver) Attempt(_, _ string, outcome proto.Outcome, _ Reason) {
	c.attempts <- outcome
}

// Guards against requests that are counted twice, counted on the peer address
// or not counted, and against retries that are not counted.
func TestObserver(t *testing.T) {
	w := newCluster(t, 2, "permit", func(h *host, rw http.ResponseWriter, r *http.Request) {
		if h.runs.Load() == 1 {
			truncateResponse(rw)
		}
		echo(h, rw, r)
	})
	c := &channelObserver{requests: make(chan CompletedRequest, 9), attempts: make(chan proto.Outcome, 9)}
	for _, h := range w.hosts {
		h.router.SetObserver(c)
	}
	w.send(1, "GET", "/permit/p/k", "").want(t, proto.Answered, "")
	w.send(1, "POST", "/permit/p/k", "x", proto.HeaderID, newID(t), "Content-Length", "1").want(t, proto.Answered, "")
	f := <-c.requests
	if f.Service != "permit" || f.Class != "lookup" || f.Outcome != proto.Answered || f.Latency <= 0 {
		t.Fatalf("got %+v", f)
	}
	if f = <-c.requests; f.Class != "fee" {
		t.Fatalf("got %+v", f)
	}
	got := []proto.Outcome{<-c.attempts, <-c.attempts, <-c.attempts}
	if got[0] != proto.Unknown || got[1] != proto.Answered || len(c.attempts) != 0 || len(c.requests) != 0 {
		t.Fatalf("attempts %v", got)
	}
}
