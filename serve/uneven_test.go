package serve_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"burdocklift/peer"
	"burdocklift/proto"
	"burdocklift/serve"
)

// pongTime is longer than the first pong of a connection takes.
const pongTime = 10 * time.Millisecond

// Guards against a choice by expected time where targets do not name their pace, and against
// one by own counts where they do.
func TestChoiceByPace(t *testing.T) {
	for name, header := range map[string]http.Header{"named": {"Pace": {"3"}}, "not named": {}} {
		t.Run(name, func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				s.targets["b1"].reply = func(context.Context, *serve.Request) (serve.Response, error) {
					return serve.Response{Status: 200, Header: header}, nil
				}
				for _, entry := range []string{"a1", "a1", "b1", "b1"} {
					time.Sleep(pongTime)
					assertResult(t, s.routers[entry].Serve(context.Background(), newRequest("1", "read")), proto.Answered, serve.ReasonAnswered)
				}
				for node, r := range s.routers {
					if got := r.Uneven("archive"); got != (name == "named") {
						t.Errorf("%s chooses by expected time: %v", node, got)
					}
				}
			})
		})
	}
}

// Guards against terse requests to nodes of earlier versions, which close the connection, and
// against requests in the long form to nodes that know the terse one.
func TestTerseRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		older bool
	}{{"to a node of this version", false}, {"to an earlier node", true}} {
		t.Run(c.name, func(t *testing.T) {
			sent := 0
			change := func(s *site) {
				s.connect = func(name string, peers *peer.Transport) {
					if name != "b1" {
						return
					}
					if c.older {
						peers.Announce(0)
					}
					handle := s.routers[name].HandleTerse
					peers.Handle(serve.MethodServeTerse, func(ctx context.Context, body []byte) ([]byte, error) {
						sent++
						return handle(ctx, body)
					})
				}
			}
			runInSiteWith(t, change, func(t *testing.T, s *site) {
				for range 3 {
					time.Sleep(pongTime)
					assertResult(t, s.routers["a1"].Serve(context.Background(), newRequest("1", "read")), proto.Answered, serve.ReasonAnswered)
				}
				if (sent == 0) != c.older {
					t.Errorf("%d of 3 requests were sent in the terse form", sent)
				}
				if n := s.routers["a1"].Metrics().Snapshot().Gauges["forwarded_bytes_other_region"]; n == 0 {
					t.Error("the metrics count no bytes to the other region")
				}
			})
		})
	}
}
