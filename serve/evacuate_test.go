package serve_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"burdocklift/proto"
	"burdocklift/serve"
	"burdocklift/store"
)

// Times after the request to evacuate a data centre: when all nodes know of it, and when its
// targets get nothing more.
const (
	evacuationKnown = 100 * time.Millisecond
	evacuationDone  = 3 * time.Second
)

// evacuate asks for the evacuation of a data centre and waits until all nodes know of it.
func (s *site) evacuate(dataCentre string) {
	s.ledger.Put("evacuate/"+dataCentre, nil)
	time.Sleep(evacuationKnown)
}

func (s *site) withdraw(t *testing.T, dataCentre string) {
	t.Helper()
	if _, err := s.ledger.Client("operator").Commit(context.Background(), store.Txn{Deletes: []string{"evacuate/" + dataCentre}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
}

func (s *site) send(entry, id, route string) serve.Result {
	return s.routers[entry].Serve(context.Background(), newRequest(id, route))
}

// Guards against work without keys that still goes to an evacuated data centre once a node knows
// of the evacuation, as long as there are other targets, and that does not return.
func TestEvacuatedUnkeyed(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		defer s.addTarget("c1")()
		s.evacuate("b1")
		for i := range 20 {
			for _, entry := range []string{"a1", "b1", "c1"} {
				assertResult(t, s.send(entry, fmt.Sprint(entry, i), "fetch"), proto.Answered, serve.ReasonAnswered)
			}
		}
		assertRuns(t, s, "b1", 0)
		assertRuns(t, s, "c1", 60)
		s.withdraw(t, "b1")
		for i := range 40 {
			assertResult(t, s.send("a1", fmt.Sprint("later", i), "fetch"), proto.Answered, serve.ReasonAnswered)
		}
		if s.targets["b1"].count() == 0 {
			t.Error("the target gets no requests after the end of the evacuation")
		}
	})
}

// Guards against requests that reach the target of an evacuated data centre after the time that
// operators rely on: those of a node that does not know of the evacuation, and those for keys that
// have no other owner. Until then these run, as their keys may be about to move.
func TestEvacuatedTargetCloses(t *testing.T) {
	for _, c := range []struct {
		node, route, service string
		key                  int
	}{{"a1", "pay", "desk", 5}, {"b1", "fetch", "archive", -1}} {
		t.Run(c.route, func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				s.evacuate(c.node)
				if res := forwardAsEarlierNode(t, s, c.node, c.route, c.service, c.key); res.Reason != serve.ReasonAnswered {
					t.Errorf("forwarded request ended with %s, want an answer while keys may move", res.Reason)
				}
				ran := 1
				if c.key >= 0 {
					assertResult(t, s.send("a1", "1", c.route), proto.Answered, serve.ReasonAnswered)
					assertResult(t, s.send("b1", "2", c.route), proto.Answered, serve.ReasonAnswered)
					ran = 3
				} else {
					assertRefused(t, s.send("a1", "1", c.route), serve.ReasonEvacuated)
				}
				time.Sleep(evacuationDone)
				for _, entry := range []string{"a1", "b1"} {
					assertRefused(t, s.send(entry, entry, c.route), serve.ReasonEvacuated)
				}
				if res := forwardAsEarlierNode(t, s, c.node, c.route, c.service, c.key); res.Reason != serve.ReasonEvacuated || res.RetryAfter <= 0 || res.Sends > 0 {
					t.Errorf("forwarded request ended with %+v, want a refusal", res)
				}
				assertRuns(t, s, c.node, ran)
				s.net.Cut("a1", "b1", true) // the other node refuses by itself
				assertRefused(t, s.send(map[string]string{"a1": "b1", "b1": "a1"}[c.node], "cut", c.route), serve.ReasonEvacuated)
				s.net.Cut("a1", "b1", false)
				time.Sleep(4 * time.Second)
				s.withdraw(t, c.node)
				assertResult(t, s.send("b1", "3", c.route), proto.Answered, serve.ReasonAnswered)
			})
		})
	}
}

// Guards against requests that wait for a slot of an evacuated target and reach it after the time
// that operators rely on.
func TestEvacuationDuringWait(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.evacuate("a1")
		s.targets["a1"].reply = func(ctx context.Context, req *serve.Request) (serve.Response, error) {
			time.Sleep(500 * time.Millisecond)
			return ok(ctx, req)
		}
		time.Sleep(2100 * time.Millisecond)
		results := make(chan serve.Result, 4)
		for i := range 3 { // two run, the last one waits
			go func() { results <- s.send("b1", fmt.Sprint(i), "pay") }()
			time.Sleep(100 * time.Millisecond)
		}
		reasons := make(map[serve.Reason]int)
		for range 3 {
			reasons[(<-results).Reason]++
		}
		if reasons[serve.ReasonAnswered] != 2 || reasons[serve.ReasonEvacuated] != 1 {
			t.Errorf("results are %v, want 2 answered and 1 refused", reasons)
		}
		assertRuns(t, s, "a1", 2)
	})
}

// Guards against a region that is left, or a wrong reason, when the only data centre of the
// allowed region is evacuated.
func TestOnlyAllowedDataCentreEvacuated(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		defer s.addTarget("c1")()
		s.setRegions(2, "r-b")
		s.evacuate("b1")
		for _, entry := range []string{"a1", "b1", "c1"} {
			assertRefused(t, s.send(entry, entry, "read"), serve.ReasonEvacuated)
		}
		assertRuns(t, s, "b1", 0)
		assertRuns(t, s, "c1", 0)
	})
}

// Guards against evacuations that operators can't see in the metrics.
func TestEvacuationMetrics(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		gauge := func(name string) int64 { return s.routers["b1"].Metrics().Snapshot().Gauges["evacuation_a1_"+name] }
		if n := gauge("since"); n != 0 {
			t.Errorf("evacuation began at %d, want none", n)
		}
		s.evacuate("a1")
		if age := time.Now().Unix() - gauge("since"); age < 0 || age > 1 || gauge("targets") != 1 {
			t.Errorf("evacuation began %d s ago and has %d targets in use, want 0 or 1 and 1", age, gauge("targets"))
		}
		s.withdraw(t, "a1")
		if gauge("since") != 0 || gauge("targets") != 0 {
			t.Errorf("evacuation that has ended began at %d and has %d targets in use", gauge("since"), gauge("targets"))
		}
	})
}
