package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/peer"
	"burdocklift/proto"
	"burdocklift/serve"
)

// setRegions puts rules in force whose routes name regions.
func (s *site) setRegions(version int, regions ...string) {
	s.ledger.Put("rules", regionRules(version, regions...))
	time.Sleep(time.Second)
}

// addTarget starts a node with a target of the service without keys, and returns the function
// that ends it.
func (s *site) addTarget(name string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	end := s.start(ctx, name, "archive", s.ledger)
	time.Sleep(4 * time.Second)
	return func() { cancel(); <-end }
}

func assertRefused(t *testing.T, res serve.Result, reason serve.Reason) {
	t.Helper()
	assertResult(t, res, proto.NotRun, reason)
	if res.RetryAfter <= 0 || res.Sends > 0 {
		t.Errorf("retry-after is %v after %d sends, want a positive one after none", res.RetryAfter, res.Sends)
	}
}

func assertRuns(t *testing.T, s *site, name string, want int) {
	t.Helper()
	if n := s.targets[name].count(); n != want {
		t.Errorf("target %s got %d requests, want %d", name, n, want)
	}
}

// Guards against requests that are served, or whose bodies are sent, outside the regions of
// their route when these have no target, or not the owner of the key.
func TestRefusedOutsideRegions(t *testing.T) {
	for _, c := range []struct{ route, entry, region string }{
		{"read", "a1", "r-a"}, {"read", "b1", "r-a"}, {"fetch", "a1", "r-x"}, {"look", "b1", "r-b"}, {"pay", "a1", "r-b"},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				s.setRegions(2, c.region)
				assertRefused(t, s.routers[c.entry].Serve(context.Background(), newRequest("1", c.route)), serve.ReasonRegion)
				assertRuns(t, s, "a1", 0)
				assertRuns(t, s, "b1", 0)
			})
		})
	}
}

// Guards against a body that the node of the caller sends to the owner of a key outside the
// regions of the route, which then refuses it. The owner does not answer here.
func TestBodyStaysInRegions(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.setRegions(2, "r-b")
		s.net.Cut("a1", "b1", true)
		start := time.Now()
		assertRefused(t, s.routers["b1"].Serve(context.Background(), newRequest("1", "pay")), serve.ReasonRegion)
		if took := time.Since(start); took > 0 {
			t.Errorf("refused after %v, want at once", took)
		}
	})
}

// Guards against requests without keys that are refused because the targets which are tried
// are all outside the regions of the route, or in evacuated data centres.
func TestChoiceIsAmongAllowed(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		for i := range 8 {
			defer s.addTarget(fmt.Sprint("b", i+2))()
		}
		defer s.addTarget("c1")()
		s.setRegions(2, "r-c")
		for i := range 20 {
			res := s.routers["a1"].Serve(context.Background(), newRequest(fmt.Sprint(i), "fetch"))
			assertResult(t, res, proto.Answered, serve.ReasonAnswered)
		}
		assertRuns(t, s, "c1", 20)
		s.setRegions(3)
		for i := range 9 {
			s.evacuate(fmt.Sprint("b", i+1))
		}
		for i := range 20 {
			res := s.routers["b1"].Serve(context.Background(), newRequest(fmt.Sprint("evacuated", i), "fetch"))
			assertResult(t, res, proto.Answered, serve.ReasonAnswered)
		}
		assertRuns(t, s, "c1", 40)
	})
}

// Guards against first attempts, retries and large answers, which prefer the local target, that
// go to a target outside the regions of the route.
func TestAttemptsStayInRegions(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		defer s.addTarget("c1")()
		s.setRegions(2, "r-c", "r-x")
		large := make([]byte, 1<<20)
		s.targets["c1"].reply = func(_ context.Context, _ *serve.Request) (serve.Response, error) {
			if s.targets["c1"].count()%6 == 1 { // within the retry budget
				return serve.Response{}, errBroken
			}
			return serve.Response{Status: 200, Body: large}, nil
		}
		for i := range 20 {
			for _, entry := range []string{"a1", "b1", "c1"} {
				res := s.routers[entry].Serve(context.Background(), newRequest(fmt.Sprint(entry, i), "read"))
				assertResult(t, res, proto.Answered, serve.ReasonAnswered)
				time.Sleep(100 * time.Millisecond)
			}
		}
		assertRuns(t, s, "b1", 0)
		assertRuns(t, s, "c1", 72)
	})
}

// forwardedRequest is a request as nodes of earlier versions forward it.
type forwardedRequest struct {
	_                                  struct{} `cbor:",toarray"`
	ID, Method, Host, Path             string
	Header                             http.Header
	Body                               []byte
	Key                                int
	Origin, Service, Class             string
	Urgency                            int
	Idempotent                         bool
	Remaining, Objective, AgeOfRequest int64
}

type forwardedResult struct {
	_          struct{} `cbor:",toarray"`
	Outcome    uint8
	Reason     serve.Reason
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter int64
	Sends      int
}

// forwardAsEarlierNode forwards a request to a node without regard to regions.
func forwardAsEarlierNode(t *testing.T, s *site, name, route, service string, key int) forwardedResult {
	t.Helper()
	peers := peer.New(clock.NewBubble())
	peers.SetDialer(s.net.Dialer("earlier"))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = peers.Run(ctx, s.net.Listen("earlier")); close(ended) }()
	defer func() { cancel(); <-ended }()
	limit := time.Second.Microseconds()
	res, err := peer.Call[forwardedResult](ctx, peers, name, serve.MethodServe, forwardedRequest{
		ID: "1", Method: "POST", Host: "h", Path: "/" + route + "/x?y=z", Key: key, Service: service, Class: route,
		Remaining: limit, Objective: limit,
	})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Guards against requests outside the regions of their route that a node forwards which has
// older rules, or which does not know of regions.
func TestTargetsNodeChecksRegions(t *testing.T) {
	for _, c := range []struct {
		node, route, service string
		key                  int
	}{{"a1", "pay", "desk", 5}, {"b1", "fetch", "archive", -1}} {
		t.Run(c.route, func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				if res := forwardAsEarlierNode(t, s, c.node, c.route, c.service, c.key); res.Reason != serve.ReasonAnswered {
					t.Errorf("request without regions ended with reason %s", res.Reason)
				}
				s.setRegions(2, "r-x")
				res := forwardAsEarlierNode(t, s, c.node, c.route, c.service, c.key)
				if res.Outcome != 1 || res.Reason != serve.ReasonRegion || res.RetryAfter <= 0 || res.Sends != 0 {
					t.Errorf("result is %+v, want a refusal for the region", res)
				}
				assertRuns(t, s, c.node, 1)
			})
		})
	}
}

// Guards against a request that waits for a slot while rules come that forbid its target.
func TestRegionsChangeDuringWait(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		s.targets["a1"].reply = func(ctx context.Context, req *serve.Request) (serve.Response, error) {
			time.Sleep(500 * time.Millisecond)
			return ok(ctx, req)
		}
		results := make(chan serve.Result, 3)
		for i := range 3 { // two run, the last one waits
			go func() { results <- s.routers["b1"].Serve(context.Background(), newRequest(fmt.Sprint(i), "pay")) }()
			time.Sleep(10 * time.Millisecond)
		}
		s.ledger.Put("rules", regionRules(2, "r-x"))
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		if res := forwardAsEarlierNode(t, s, "a1", "pay", "desk", 5); res.Reason != serve.ReasonRegion || time.Since(start) > 10*time.Millisecond {
			t.Errorf("request that finds all slots busy ends with %s after %v, want region at once", res.Reason, time.Since(start))
		}
		reasons := make(map[serve.Reason]int)
		for range 3 {
			reasons[(<-results).Reason]++
		}
		synctest.Wait()
		if reasons[serve.ReasonAnswered] != 2 || reasons[serve.ReasonRegion] != 1 {
			t.Errorf("results are %v, want 2 answered and 1 refused for the region", reasons)
		}
		assertRuns(t, s, "a1", 2)
	})
}
