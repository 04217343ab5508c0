package serve_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"burdocklift/serve"
)

// offer sends requests for the service without keys to its node at a rate for a time, and
// returns how many ended for each reason.
func (s *site) offer(name string, perSecond int, d time.Duration) map[serve.Reason]int {
	var mu sync.Mutex
	var callers sync.WaitGroup
	reasons := make(map[serve.Reason]int)
	for i := range int(d.Seconds() * float64(perSecond)) {
		callers.Go(func() {
			req := newRequest(fmt.Sprint(name, time.Now().UnixNano(), i), "read")
			req.Remaining = 500 * time.Millisecond
			res := s.routers[name].Serve(context.Background(), req)
			mu.Lock()
			defer mu.Unlock()
			reasons[res.Reason]++
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return reasons
}

// arrivals returns the times at which a stand-in of a target got requests.
func (t *fakeTarget) arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.times)
}

func assertAtMost(t *testing.T, bound int, times []time.Time) {
	t.Helper()
	for i, at := range times {
		n := 0
		for _, earlier := range times[:i+1] {
			if at.Sub(earlier) < time.Second {
				n++
			}
		}
		if n > bound {
			t.Fatalf("%d requests in the second up to %v, at most %d are allowed", n, at, bound)
		}
	}
}

// Guards against more requests than a cold target tolerates: it got all that its slots took,
// and as many again from the next run of its node.
func TestColdTarget(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.ledger.Put("rules", coldRules)
		time.Sleep(time.Second)
		s.coldUntil.Store("b1", time.Now().Add(20*time.Second))
		time.Sleep(2 * time.Second)
		reasons := s.offer("b1", 100, 3*time.Second)
		if reasons[serve.ReasonAnswered] < 60 || reasons[serve.ReasonLimited] < 200 {
			t.Errorf("of 300 requests to a cold target: %v, want at least 60 answered and 200 over the limit", reasons)
		}
		var firstRun sync.WaitGroup
		firstRun.Go(func() { s.offer("b1", 100, 3*time.Second) })
		time.Sleep(2 * time.Second)
		s.stops["b1"]()
		firstRun.Wait()
		old := s.targets["b1"]
		s.launch(context.Background(), "b1", "archive")
		time.Sleep(100 * time.Millisecond)
		s.offer("b1", 100, 4*time.Second)
		times := append(old.arrivals(), s.targets["b1"].arrivals()...)
		if n := len(s.targets["b1"].arrivals()); n < 40 {
			t.Errorf("%d requests reached the target from the second run, want at least 40", n)
		}
		assertAtMost(t, 30, times)
		s.coldUntil.Delete("b1")
		time.Sleep(2 * time.Second)
		if reasons := s.offer("b1", 100, 2*time.Second); reasons[serve.ReasonAnswered] != 200 {
			t.Errorf("of 200 requests to a warm target: %v, want all answered", reasons)
		}
	})
}

// Guards against load for a target that crashed and listens again under the same id before its
// next heartbeat.
func TestTargetRestartsUnderSameID(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.ledger.Put("rules", coldRules)
		time.Sleep(time.Second)
		b := s.targets["b1"]
		b.reply = func(context.Context, *serve.Request) (serve.Response, error) {
			time.Sleep(20 * time.Millisecond)
			return serve.Response{}, errBroken // all connections at the same moment
		}
		s.offer("b1", 1000, 2*time.Millisecond)
		b.reply = ok
		begin := len(b.arrivals())
		s.coldUntil.Store("b1", time.Now().Add(5*time.Second))
		s.offer("b1", 100, 4*time.Second)
		assertAtMost(t, 30, b.arrivals()[begin:])
		if n := len(b.arrivals()) - begin; n < 45 {
			t.Errorf("%d requests reached the target in 4 s, want at least 45", n)
		}
	})
}

// Guards against work without keys that goes to a cold target beside a warm one with free
// slots.
func TestWorkGoesToWarmTarget(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.ledger.Put("rules", coldRules)
		s.launch(context.Background(), "b2", "archive")
		time.Sleep(12 * time.Second) // a new target is in slow start for 10 s
		s.offer("a1", 40, 2*time.Second)
		warm := len(s.targets["b2"].arrivals())
		s.coldUntil.Store("b2", time.Now().Add(20*time.Second))
		time.Sleep(2 * time.Second)
		s.offer("a1", 40, 2*time.Second)
		cold := len(s.targets["b2"].arrivals()) - warm
		if warm < 25 || cold > warm*9/10 {
			t.Errorf("target got %d of 80 requests while it was cold, and %d before", cold, warm)
		}
	})
}

// Guards against work that is refused beside a warm target with free slots, since the few
// targets that were tried for it were cold.
func TestWorkPassesColdTargets(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.ledger.Put("rules", coldRules)
		for i := range 16 {
			name := fmt.Sprint("c", i)
			s.coldUntil.Store(name, time.Now().Add(time.Minute))
			s.launch(context.Background(), name, "archive")
		}
		time.Sleep(12 * time.Second) // a new target is in slow start for 10 s
		s.coldUntil.Store("b1", time.Now())
		if reasons := s.offer("a1", 1000, 2*time.Second); reasons[serve.ReasonAnswered] < 1960 {
			t.Errorf("of 2,000 requests beside a warm target: %v, want nearly all answered", reasons)
		}
	})
}
