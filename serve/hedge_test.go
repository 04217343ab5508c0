package serve_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/proto"
	"burdocklift/serve"
)

const (
	usualTime = 10 * time.Millisecond
	slowID    = "slow" // of the request that the first target does not answer in time
	slowTime  = 500 * time.Millisecond
)

// slowRequest sets what the targets without keys reply to the request with slowID. All others
// take usualTime.
type slowRequest struct {
	first, second func(ctx context.Context) (serve.Response, error)
	runs          atomic.Int32
	gauges        map[string]int64 // of the caller's node at the end
	cancelled     atomic.Int32
}

func (q *slowRequest) reply(ctx context.Context, req *serve.Request) (serve.Response, error) {
	if req.ID != slowID {
		time.Sleep(usualTime)
		return serve.Response{Status: 200}, nil
	}
	defer func() {
		if ctx.Err() != nil {
			q.cancelled.Add(1)
		}
	}()
	if q.runs.Add(1) == 1 {
		return q.first(ctx)
	}
	return q.second(ctx)
}

// endAfter returns a reply after a time, unless it is cancelled before.
func endAfter(d time.Duration, status int, err error) func(ctx context.Context) (serve.Response, error) {
	return func(ctx context.Context) (serve.Response, error) {
		select {
		case <-time.After(d):
			return serve.Response{Status: status}, err
		case <-ctx.Done():
			return serve.Response{}, ctx.Err()
		}
	}
}

// runHedged sends a slow request of a route in a site with two targets without keys after
// enough usual ones.
func runHedged(t *testing.T, share float64, q *slowRequest, route string, prepare func(s *site)) (res serve.Result, took time.Duration) {
	t.Helper()
	runInSiteWith(t, func(s *site) { s.hedges = share }, func(_ *testing.T, s *site) {
		s.launch(context.Background(), "c1", "archive")
		time.Sleep(12 * time.Second) // a new target is in slow start for 10 s
		for _, name := range []string{"b1", "c1"} {
			s.targets[name].reply = q.reply
		}
		usual := func(n int) {
			for i := range n {
				s.routers["a1"].Serve(context.Background(), newRequest(fmt.Sprint(i), "read"))
			}
		}
		usual(600)
		if route == "list" {
			for range 600 {
				s.routers["a1"].Serve(context.Background(), newRequest("1", route))
			}
		}
		prepare(s)
		usual(20)
		begin := time.Now()
		res = s.routers["a1"].Serve(context.Background(), newRequest(slowID, route))
		took = time.Since(begin)
		time.Sleep(time.Second)
		q.gauges = s.routers["a1"].Metrics().Snapshot().Gauges
	})
	return res, took
}

// Guards against a copy that is not sent, one whose answer has to wait for the first target,
// a loser that is not cancelled, and sends that leave out the loser.
func TestHedgedRequest(t *testing.T) {
	t.Run("copy wins", func(t *testing.T) {
		q := &slowRequest{first: endAfter(slowTime, 200, nil), second: endAfter(usualTime, 200, nil)}
		res, took := runHedged(t, 0.1, q, "read", func(*site) {})
		assertResult(t, res, proto.Answered, serve.ReasonAnswered)
		assertCopies(t, q, res, 2, 1)
		assertGauges(t, q, 1, 1)
		if took >= slowTime/2 {
			t.Errorf("request took %v", took)
		}
	})
	t.Run("first wins", func(t *testing.T) {
		q := &slowRequest{first: endAfter(100*time.Millisecond, 200, nil), second: endAfter(slowTime, 200, nil)}
		res, took := runHedged(t, 0.1, q, "read", func(*site) {})
		assertResult(t, res, proto.Answered, serve.ReasonAnswered)
		assertCopies(t, q, res, 2, 1)
		assertGauges(t, q, 1, 0)
		if took >= slowTime/2 {
			t.Errorf("request took %v", took)
		}
	})
}

func assertGauges(t *testing.T, q *slowRequest, sent, won int64) {
	t.Helper()
	if g := q.gauges; g["hedges_sent"] != sent || g["hedges_won"] != won {
		t.Errorf("gauges count %d copies sent and %d won, want %d and %d", g["hedges_sent"], g["hedges_won"], sent, won)
	}
}

func assertCopies(t *testing.T, q *slowRequest, res serve.Result, runs, cancelled int) {
	t.Helper()
	if n := int(q.runs.Load()); n != runs || res.Sends != runs {
		t.Errorf("%d targets got the request, and %d sends were counted, want %d", n, res.Sends, runs)
	}
	if n := int(q.cancelled.Load()); n != cancelled {
		t.Errorf("%d of the targets were told that the request is cancelled, want %d", n, cancelled)
	}
}

// Guards against an outcome "not run" of a request of which one copy may have run, and against
// a refusal or an error of one copy that hides the answer of the other.
func TestOutcomeOfCopies(t *testing.T) {
	late, soon := 200*time.Millisecond, usualTime
	for _, c := range []struct {
		name          string
		first, second func(ctx context.Context) (serve.Response, error)
		outcome       proto.Outcome
	}{
		{"first unknown, copy not run", endAfter(late, 0, errBroken), endAfter(soon, 0, serve.ErrRejected), proto.Unknown},
		{"first not run, copy unknown", endAfter(late, 0, serve.ErrRejected), endAfter(soon, 0, errBroken), proto.Unknown},
		{"neither ran", endAfter(late, 0, serve.ErrRejected), endAfter(soon, 0, serve.ErrRejected), proto.NotRun},
		{"first answered, copy not run", endAfter(late, 200, nil), endAfter(soon, 0, serve.ErrRejected), proto.Answered},
		{"first fails, copy answered", endAfter(late, 0, errBroken), endAfter(late, 200, nil), proto.Answered},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &slowRequest{first: c.first, second: c.second}
			res, _ := runHedged(t, 0.1, q, "read", func(*site) {})
			if res.Outcome != c.outcome {
				t.Errorf("outcome is %s, want %s", res.Outcome, c.outcome)
			}
			assertCopies(t, q, res, 2, 0)
		})
	}
}

// Guards against copies without permission, or to targets that may not take the request.
func TestNoCopy(t *testing.T) {
	for _, c := range []struct {
		name    string
		share   float64
		route   string
		prepare func(s *site)
	}{
		{"off", 0, "read", func(*site) {}},
		{"not idempotent", 0.1, "fetch", func(*site) {}},
		{"one attempt", 0.1, "list", func(*site) {}},
		{"budget spent", 0.0001, "read", func(*site) {}},
		{"other region is forbidden", 0.1, "read", func(s *site) { s.ledger.Put("rules", regionRules(2, "r-a", "r-b")); time.Sleep(time.Second) }},
		{"other data centre is evacuated", 0.1, "read", func(s *site) { s.ledger.Put("evacuate/c1", []byte("{}")); time.Sleep(time.Second) }},
		{"other target is cold", 0.1, "read", func(s *site) {
			s.ledger.Put("rules", coldRules)
			s.coldUntil.Store("c1", time.Now().Add(time.Minute))
			time.Sleep(2 * time.Second)
		}},
		{"other target is gone", 0.1, "read", func(s *site) { s.stops["c1"](); time.Sleep(10 * time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &slowRequest{first: endAfter(slowTime, 200, nil), second: endAfter(usualTime, 200, nil)}
			res, _ := runHedged(t, c.share, q, c.route, c.prepare)
			assertResult(t, res, proto.Answered, serve.ReasonAnswered)
			assertCopies(t, q, res, 1, 0)
			if _, ok := q.gauges["hedges_sent"]; ok != (c.share > 0) {
				t.Errorf("gauges of copies are there: %v", ok)
			}
			if over := q.gauges["hedges_over_budget"] > 0; over != (c.name == "budget spent") {
				t.Errorf("copies over the budget are counted: %v", over)
			}
		})
	}
}
