package serve_test

import (
	"context"
	"fmt"
	"testing"

	"burdocklift/proto"
	"burdocklift/serve"
)

// Guards against a status of a failing target that a node of an earlier version passes on: the
// forwarding node takes the response for none.
func TestInvalidStatusFromEarlierNode(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				s.targets["b1"].reply = func(context.Context, *serve.Request) (serve.Response, error) {
					return serve.Response{Status: status}, nil
				}
				assertResult(t, s.routers["a1"].Serve(context.Background(), newRequest("1", "fetch")), proto.Unknown, serve.ReasonNoResponse)
			})
		})
	}
}
