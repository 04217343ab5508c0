package serve_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/proto"
	"burdocklift/serve"
)

// Guards against forwarded requests whose cancellation leaves no trace on the
// node of the target.
func TestCancelledRequestsAreCounted(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.targets["a1"].reply = func(ctx context.Context, _ *serve.Request) (serve.Response, error) {
			<-ctx.Done()
			return serve.Response{}, ctx.Err()
		}
		var cancels []context.CancelFunc
		done := make(chan serve.Result, 3)
		for i := range 3 { // two run, the last one waits
			ctx, cancel := context.WithCancel(context.Background())
			cancels = append(cancels, cancel)
			go func() { done <- s.routers["b1"].Serve(ctx, newRequest(fmt.Sprint(i), "look")) }()
			time.Sleep(10 * time.Millisecond)
		}
		for i := range 3 { // the last one first, so that it gets no slot
			cancels[2-i]()
			<-done
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		for _, c := range s.routers["a1"].Metrics().Snapshot().Classes {
			if c.Name != "cancelled" {
				continue
			}
			if c.Outcomes["running"] != 2 || c.Outcomes["waiting"] != 1 {
				t.Errorf("cancelled requests are counted as %v, want 2 running and 1 waiting", c.Outcomes)
			}
			return
		}
		t.Error("cancelled requests are not counted")
	})
}

// Guards against a target that is avoided for the callers that stay since others
// left before it answered.
func TestDepartedCallersDontCountAgainstTarget(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		ctx, cancel := context.WithCancel(context.Background())
		end := s.start(ctx, "b2", "archive", s.ledger)
		defer func() { cancel(); <-end }()
		time.Sleep(3 * time.Second)
		s.targets["b1"].reply = func(ctx context.Context, req *serve.Request) (serve.Response, error) {
			if strings.HasPrefix(req.ID, "leaves") {
				<-ctx.Done()
				return serve.Response{}, ctx.Err()
			}
			return ok(ctx, req)
		}
		for i := range 60 {
			callerCtx, leave := context.WithTimeout(context.Background(), time.Minute)
			time.AfterFunc(5*time.Millisecond, leave)
			s.routers["a1"].Serve(callerCtx, newRequest(fmt.Sprint("leaves", i), "read"))
			leave()
		}
		before := s.targets["b1"].count()
		for i := range 60 {
			res := s.routers["a1"].Serve(context.Background(), newRequest(fmt.Sprint("stays", i), "read"))
			assertResult(t, res, proto.Answered, serve.ReasonAnswered)
		}
		if n := s.targets["b1"].count() - before; n < 15 {
			t.Errorf("target got %d of 60 requests, want about half", n)
		}
	})
}

// Guards against a request that fails although its caller stays, since the node
// of the target took the caller for gone: after a silence between the two nodes,
// or at the end of its own stop.
func TestOtherNodeTakesCallerForGone(t *testing.T) {
	for _, c := range []struct {
		name, route string
		again       bool // sent once more
		outcome     proto.Outcome
		reason      serve.Reason
	}{
		{"may be repeated", "look", true, proto.Answered, serve.ReasonAnswered},
		{"runs once", "pay", false, proto.Unknown, serve.ReasonNoResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				target := s.targets["a1"]
				target.reply = func(ctx context.Context, req *serve.Request) (serve.Response, error) {
					if target.count() == 1 {
						return serve.Response{}, context.Canceled
					}
					return ok(ctx, req)
				}
				res := s.routers["b1"].Serve(context.Background(), newRequest("1", c.route))
				assertResult(t, res, c.outcome, c.reason)
				if again := target.count() == 2; again != c.again {
					t.Errorf("sent once more is %v, want %v", again, c.again)
				}
			})
		})
	}
}
