package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"burdocklift/proto"
	"burdocklift/serve"
)

// saying returns a reply of a target that names a limit, or none if it is zero.
func saying(limit *float64) func(context.Context, *serve.Request) (serve.Response, error) {
	return func(ctx context.Context, _ *serve.Request) (serve.Response, error) {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return serve.Response{}, ctx.Err()
		}
		h := http.Header{}
		if *limit > 0 {
			h.Set("Limit", strconv.FormatFloat(*limit, 'f', -1, 64))
		}
		return serve.Response{Status: 200, Header: h}, nil
	}
}

// load sends requests from both nodes for a time and returns their results.
func load(s *site, route, prefix string, perSecond int, d time.Duration) []serve.Result {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []serve.Result
	for i := range int(d.Seconds() * float64(perSecond)) {
		entry := s.routers[[]string{"a1", "b1"}[i%2]]
		wg.Go(func() {
			res := entry.Serve(context.Background(), newRequest(fmt.Sprint(prefix, i), route))
			mu.Lock()
			defer mu.Unlock()
			results = append(results, res)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return results
}

// assertLimited fails if a target got more requests in any 4 s after a time than one and a
// half times its limit allows, and 5.
func assertLimited(t *testing.T, target *fakeTarget, limit float64, after time.Time) {
	t.Helper()
	target.mu.Lock()
	defer target.mu.Unlock()
	allowed := int(1.5*4*limit) + 5
	for i := range target.times {
		n := 0
		for _, at := range target.times[i:] {
			if at.Sub(target.times[i]) < 4*time.Second {
				n++
			}
		}
		if target.times[i].After(after) && n > allowed {
			t.Fatalf("target got %d requests in 4 s, its limit allows %d", n, allowed)
		}
	}
}

// Guards against a target that gets more requests than the limit that it names, from all
// nodes together, and against a limit that outlasts its cause.
func TestTargetLimit(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		limit := 0.0
		target := s.targets["a1"]
		target.reply = saying(&limit)
		load(s, "look", "before", 40, 2*time.Second)
		limit = 8
		results := load(s, "look", "limited", 40, 10*time.Second)
		assertLimited(t, target, limit, time.Now().Add(-8*time.Second))
		answered, refused := 0, 0
		for _, res := range results {
			switch {
			case res.Outcome == proto.Answered:
				answered++
			case res.Reason == serve.ReasonLimited && res.RetryAfter > 0:
				refused++
			default:
				t.Errorf("request ended with %s, %s, retry after %v", res.Outcome, res.Reason, res.RetryAfter)
			}
		}
		if answered < 72 || refused < 200 {
			t.Errorf("%d requests answered and %d refused, want 80 answered in 10 s and the others refused", answered, refused)
		}
		limit = 0
		load(s, "look", "ending", 40, time.Second)
		for _, res := range load(s, "look", "after", 40, 2*time.Second) {
			assertResult(t, res, proto.Answered, serve.ReasonAnswered)
		}
	})
}

// Guards against a limit that is forgotten when the node of the target restarts.
func TestLimitOutlastsRestart(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		limit := 4.0
		s.targets["a1"].reply = saying(&limit)
		load(s, "look", "first", 40, 4*time.Second)
		s.restart(t, "a1", "desk", func(target *fakeTarget) {
			target.reply = failWith(context.DeadlineExceeded) // tells this run of the node nothing
		})
		load(s, "look", "second", 40, 5*time.Second)
		assertLimited(t, s.targets["a1"], limit, time.Time{})
	})
}

// Guards against callers that are told to return at a time at which they are refused again
// although no other load has come up.
func TestRetryAfterOfLimitIsTrue(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		limit := 5.0
		s.targets["a1"].reply = saying(&limit)
		load(s, "look", "learn", 20, 2*time.Second)
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				req := newRequest(fmt.Sprint("burst", i), "pay")
				res := s.routers["b1"].Serve(context.Background(), req)
				if res.Outcome != proto.NotRun {
					return
				}
				time.Sleep(res.RetryAfter)
				again := newRequest(fmt.Sprint("again", i), "pay")
				again.Remaining = req.Remaining - res.RetryAfter
				if again.Remaining < 300*time.Millisecond {
					return // its caller has given up
				}
				assertResult(t, s.routers["b1"].Serve(context.Background(), again), proto.Answered, serve.ReasonAnswered)
			})
		}
		wg.Wait()
	})
}

// Guards against a target that gets requests for longer than its drain period after its
// responses said that it leaves, also if its node forgets that.
func TestTargetLeavesByResponse(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("node restarts %v", restart), func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				s.setSilent("a1", restart) // so that its record does not tell of the departure
				target := s.targets["a1"]
				target.reply = func(context.Context, *serve.Request) (serve.Response, error) {
					return serve.Response{Status: 200, Header: http.Header{"Leaving": {"1"}}}, nil
				}
				res := s.routers["b1"].Serve(context.Background(), newRequest("1", "look"))
				assertResult(t, res, proto.Answered, serve.ReasonAnswered)
				said := time.Now()
				if restart {
					s.setSilent("a1", false)
					s.restart(t, "a1", "desk", func(target *fakeTarget) { target.reply = ok })
				}
				for time.Since(said) < 6*time.Second {
					s.routers["b1"].Serve(context.Background(), newRequest(fmt.Sprint(time.Now()), "look"))
					time.Sleep(50 * time.Millisecond)
				}
				target = s.targets["a1"]
				target.mu.Lock()
				defer target.mu.Unlock()
				for _, at := range target.times {
					if late := at.Sub(said); late > 2*time.Second {
						t.Fatalf("target got a request %v after it said that it leaves", late)
					}
				}
			})
		})
	}
}

// Guards against a limit that is not heard of because the target only rejects requests.
func TestLimitOfRejections(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.targets["a1"].reply = func(context.Context, *serve.Request) (serve.Response, error) {
			return serve.Response{Header: http.Header{"Limit": {"1"}}}, serve.ErrRejected
		}
		load(s, "look", "r", 20, 5*time.Second)
		assertLimited(t, s.targets["a1"], 1, time.Time{})
	})
}
