package serve_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/proto"
	"burdocklift/rules"
	"burdocklift/serve"
	"burdocklift/span"
)

// script is a stand-in of a target that answers as a test says.
type script struct {
	mu    sync.Mutex
	runs  []string // IDs in order
	ended atomic.Bool
	reply func(ctx context.Context, c *serve.Call) (serve.Answer, error)
}

func (s *script) Run(ctx context.Context, c *serve.Call, _ span.Incarnation, _ time.Duration) (serve.Answer, error) {
	s.mu.Lock()
	s.runs = append(s.runs, c.ID)
	s.mu.Unlock()
	return s.reply(ctx, c)
}

func (s *script) Refuses() bool { return s.ended.Load() }

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

func ok(context.Context, *serve.Call) (serve.Answer, error) { return serve.Answer{Status: 200}, nil }

func fails(err error) func(context.Context, *serve.Call) (serve.Answer, error) {
	return func(context.Context, *serve.Call) (serve.Answer, error) { return serve.Answer{}, err }
}

// site is two nodes with a target each: "a1" of a service with keys, "b1" of
// one without.
type site struct {
	routers map[string]*serve.Router
	targets map[string]*script
	leaving chan struct{}
	net     *emul.Net
	ledger  *emul.Ledger
}

func inSite(t *testing.T, test func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &site{
			routers: make(map[string]*serve.Router), targets: make(map[string]*script),
			leaving: make(chan struct{}), net: emul.NewNet(),
		}
		ledger := emul.NewLedger(time.Millisecond)
		ledger.Put("rules", nil)
		s.ledger = ledger
		var ends []chan struct{}
		for name, service := range map[string]string{"a1": "desk", "b1": "archive"} {
			ends = append(ends, s.start(ctx, name, service, ledger))
		}
		time.Sleep(8 * time.Second)
		test(t, s)
		cancel()
		for _, end := range ends {
			<-end
		}
	})
}

func decode([]byte) (*rules.Set, error) {
	route := func(name, service string, repeats bool) rules.Route {
		return rules.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Services: []rules.WeightedService{{Service: service, Weight: 1}},
			Idempotent: repeats, Timeout: 2 * time.Second, LatencyObjective: 500 * time.Millisecond, MaxAttempts: 2,
		}
	}
	return rules.New(1, rules.Limits{}, []rules.Route{
		route("look", "desk", true), route("pay", "desk", false), route("read", "archive", true),
	}, []rules.Service{{Name: "desk", Sharded: true}, {Name: "archive"}})
}

func (s *site) start(ctx context.Context, name, service string, ledger *emul.Ledger) chan struct{} {
	c := clock.NewBubble()
	peers := peer.New(c)
	peers.SetDialer(s.net.Dialer(name))
	log := slog.New(slog.DiscardHandler)
	f := fleet.New(fleet.Config{
		Name: name, Address: name, DataCentre: name, Region: "r", Store: ledger.Client(name), Peers: peers, Clock: c,
		Log: log, RulesKey: "rules", Rules: decode,
	})
	target := &script{reply: ok}
	s.targets[name] = target
	s.routers[name] = serve.New(serve.Config{
		Name: name, DataCentre: name, Region: "r", Fleet: f, Peers: peers, Target: target, Clock: c,
		Log: log, RetryRatio: 1, RetrySlack: 20, Drain: 2 * time.Second,
	})
	l := s.net.Listen(name)
	ended := make(chan struct{}, 3)
	go func() { _ = peers.Run(ctx, l); ended <- struct{}{} }()
	go func() { _ = f.Run(ctx); ended <- struct{}{} }()
	go func() { s.beat(ctx, f, name, service); ended <- struct{}{} }()
	end := make(chan struct{})
	go func() {
		for range 3 {
			<-ended
		}
		close(end)
	}()
	return end
}

// beat sends the heartbeats of a target that does as it is told.
func (s *site) beat(ctx context.Context, f *fleet.Fleet, name, service string) {
	b := fleet.Heartbeat{Target: fleet.Target{Life: span.Incarnation{Target: name, StartedAt: 1}, Service: service, Slots: 2}}
	for ctx.Err() == nil {
		b.Sequence++
		select {
		case <-s.leaving:
			b.Leaving = service == "desk"
		default:
		}
		reply, err := f.Heartbeat(ctx, b)
		if err == nil && reply.Hold > 0 {
			b.Holds = nil
			for _, g := range reply.Grants {
				b.Holds = append(b.Holds, g.Keys)
			}
		}
		select {
		case <-time.After(800 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func call(id, route string) *serve.Call {
	return &serve.Call{ID: id, Method: "POST", Host: "h", Path: "/" + route + "/x", Left: 3 * time.Second, Key: 5, HasKey: true, Origin: "o"}
}

func assertResult(t *testing.T, res serve.Result, outcome proto.Outcome, reason serve.Reason) {
	t.Helper()
	if res.Outcome != outcome || res.Reason != reason {
		t.Errorf("result is %s because of %s, want %s because of %s", res.Outcome, res.Reason, outcome, reason)
	}
}

var errBroken = errors.New("connection reset")

// Guards against outcomes that say less or more than is certain, from the node
// beside the target and from another one.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		route   string
		reply   func(context.Context, *serve.Call) (serve.Answer, error)
		outcome proto.Outcome
		reason  serve.Reason
		runs    int
	}{
		{"look", ok, proto.Answered, serve.ReasonAnswered, 1},
		{"read", ok, proto.Answered, serve.ReasonAnswered, 1},
		{"pay", fails(errBroken), proto.Unknown, serve.ReasonBroken, 1}, // may have run: not sent twice
		{"look", fails(errBroken), proto.Unknown, serve.ReasonBroken, 2},
		{"pay", fails(serve.ErrRejected), proto.NotRun, serve.ReasonRejected, 2},
		{"pay", fails(serve.ErrNotSent), proto.NotRun, serve.ReasonTarget, 1},
		{"none", ok, proto.NotRun, serve.ReasonRoute, 0},
	} {
		for _, entry := range []string{"a1", "b1"} {
			t.Run(fmt.Sprint(c.route, " ", c.reason, " from ", entry), func(t *testing.T) {
				inSite(t, func(t *testing.T, s *site) {
					target := s.targets["a1"]
					if c.route == "read" {
						target = s.targets["b1"]
					}
					target.reply = c.reply
					assertResult(t, s.routers[entry].Serve(context.Background(), call("1", c.route)), c.outcome, c.reason)
					if n := target.count(); n != c.runs {
						t.Errorf("target got the request %d times, want %d", n, c.runs)
					}
				})
			})
		}
	}
}

// Guards against a refusal that says "not run" after an earlier attempt that
// may have run.
func TestRefusalAfterUnclearAttempt(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		first := true
		s.targets["a1"].reply = func(context.Context, *serve.Call) (serve.Answer, error) {
			if first {
				first = false
				return serve.Answer{}, errBroken
			}
			return serve.Answer{}, serve.ErrNotSent
		}
		res := s.routers["a1"].Serve(context.Background(), call("1", "look"))
		assertResult(t, res, proto.Unknown, serve.ReasonTarget)
	})
}

// Guards against a "not run" of the last attempt that hides an earlier one that
// may have run, and against an "unknown" where no attempt can have run.
func TestOutcomeOfSeveralAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []error
		outcome proto.Outcome
		reason  serve.Reason
	}{
		{"unclear, then rejected", []error{errBroken, serve.ErrRejected}, proto.Unknown, serve.ReasonRejected},
		{"unclear, then not sent", []error{errBroken, serve.ErrNotSent}, proto.Unknown, serve.ReasonTarget},
		{"rejected, then not sent", []error{serve.ErrRejected, serve.ErrNotSent}, proto.NotRun, serve.ReasonTarget},
		{"rejected twice", []error{serve.ErrRejected, serve.ErrRejected}, proto.NotRun, serve.ReasonRejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSite(t, func(t *testing.T, s *site) {
				next := 0
				s.targets["a1"].reply = func(context.Context, *serve.Call) (serve.Answer, error) {
					next++
					return serve.Answer{}, c.replies[next-1]
				}
				assertResult(t, s.routers["b1"].Serve(context.Background(), call("1", "look")), c.outcome, c.reason)
			})
		})
	}
}

// Guards against requests that are held past their time, and against work for a
// caller that has left: what may be repeated is broken off, what must run once
// is not.
func TestTimeAndCancel(t *testing.T) {
	hang := func(ended chan<- time.Time) func(context.Context, *serve.Call) (serve.Answer, error) {
		return func(ctx context.Context, _ *serve.Call) (serve.Answer, error) {
			<-ctx.Done()
			ended <- time.Now()
			return serve.Answer{}, fmt.Errorf("no answer: %w", ctx.Err())
		}
	}
	for _, entry := range []string{"a1", "b1"} {
		t.Run("timeout from "+entry, func(t *testing.T) {
			inSite(t, func(t *testing.T, s *site) {
				ended := make(chan time.Time, 1)
				s.targets["a1"].reply = hang(ended)
				start := time.Now()
				res := s.routers[entry].Serve(context.Background(), call("1", "look"))
				assertResult(t, res, proto.Unknown, serve.ReasonTimeout)
				if took := time.Since(start); took > 2100*time.Millisecond || took < 1900*time.Millisecond {
					t.Errorf("answered after %v, the route's time-out is 2 s", took)
				}
				<-ended
			})
		})
		for route, soon := range map[string]bool{"look": true, "pay": false} {
			t.Run(route+" cancelled from "+entry, func(t *testing.T) {
				inSite(t, func(t *testing.T, s *site) {
					ended := make(chan time.Time, 1)
					s.targets["a1"].reply = hang(ended)
					ctx, cancel := context.WithCancel(context.Background())
					left := time.Now().Add(300 * time.Millisecond)
					time.AfterFunc(300*time.Millisecond, cancel)
					done := make(chan serve.Result, 1)
					go func() { done <- s.routers[entry].Serve(ctx, call("1", route)) }()
					if after := (<-ended).Sub(left); (after < 500*time.Millisecond) != soon {
						t.Errorf("work ended %v after the caller had left", after)
					}
					<-done
				})
			})
		}
	}
}

// Guards against a request that crashes every target to which its caller sends it:
// its key moves on after each crash.
func TestQuarantine(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		ctx, cancel := context.WithCancel(context.Background())
		end := s.start(ctx, "a2", "desk", s.ledger)
		defer func() { cancel(); <-end }()
		time.Sleep(3 * time.Second)
		crashes := 0
		for _, name := range []string{"a1", "a2"} {
			target := s.targets[name]
			target.reply = func(_ context.Context, c *serve.Call) (serve.Answer, error) {
				if c.Path != "/pay/poison" {
					return serve.Answer{Status: 200}, nil
				}
				crashes++
				target.ended.Store(true)
				time.AfterFunc(500*time.Millisecond, func() { target.ended.Store(false) })
				return serve.Answer{}, errBroken
			}
		}
		owners := make(map[string]bool)
		for i := range 8 {
			before := []int{s.targets["a1"].count(), s.targets["a2"].count()}
			c := call(fmt.Sprint(i), "pay")
			c.Path = "/pay/poison"
			res := s.routers["b1"].Serve(context.Background(), c)
			if crashes == 2 && res.Outcome == proto.NotRun {
				assertResult(t, res, proto.NotRun, serve.ReasonQuarantined)
			}
			for j, name := range []string{"a1", "a2"} {
				if s.targets[name].count() > before[j] {
					owners[name] = true
				}
			}
			time.Sleep(2 * time.Second)
			assertResult(t, s.routers["b1"].Serve(context.Background(), call("beside", "pay")), proto.Answered, serve.ReasonAnswered)
		}
		if crashes != 2 || len(owners) != 2 {
			t.Errorf("%d crashes of %d targets, want 2 of 2", crashes, len(owners))
		}
	})
}

// Guards against a target that takes less and less work, as it rejects some requests
// although it has room: each rejection lowered its limit, which rose by two a second.
func TestRejectionsWithRoom(t *testing.T) {
	for _, c := range []struct {
		reason error
		limit  int64
	}{{serve.ErrRejected, 2}, {serve.ErrFull, 1}} {
		t.Run(c.reason.Error(), func(t *testing.T) {
			inSite(t, func(t *testing.T, s *site) {
				n := 0
				s.targets["a1"].reply = func(context.Context, *serve.Call) (serve.Answer, error) {
					if n++; n%3 == 0 {
						return serve.Answer{}, c.reason
					}
					return serve.Answer{Status: 200}, nil
				}
				for i := range 30 {
					s.routers["a1"].Serve(context.Background(), call(fmt.Sprint(i), "pay"))
					time.Sleep(100 * time.Millisecond)
				}
				if limit := s.routers["a1"].Metrics().Snapshot().Gauges["slots_limit"]; limit != c.limit {
					t.Errorf("%d of 2 slots are used, want %d", limit, c.limit)
				}
			})
		})
	}
}

// Guards against a request that is repeated at the target that failed it while
// another one would have served it.
func TestRepeatGoesElsewhere(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		ctx, cancel := context.WithCancel(context.Background())
		end := s.start(ctx, "b2", "archive", s.ledger)
		defer func() { cancel(); <-end }()
		time.Sleep(3 * time.Second)
		for _, reason := range []error{serve.ErrRejected, errBroken} {
			s.targets["b1"].reply = func(ctx context.Context, c *serve.Call) (serve.Answer, error) {
				if !strings.HasSuffix(c.ID, "0") {
					return ok(ctx, c)
				}
				return serve.Answer{}, reason
			}
			for i := range 100 {
				res := s.routers["b1"].Serve(context.Background(), call(fmt.Sprint(i), "read"))
				assertResult(t, res, proto.Answered, serve.ReasonAnswered)
				time.Sleep(20 * time.Millisecond)
			}
		}
	})
}

// Guards against requests that reach a target long after it said that it
// leaves.
func TestLeavingTarget(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		close(s.leaving)
		time.Sleep(900 * time.Millisecond) // the next heartbeat
		time.Sleep(1800 * time.Millisecond)
		before := s.targets["a1"].count()
		res := s.routers["b1"].Serve(context.Background(), call("1", "look"))
		if res.Outcome != proto.NotRun || s.targets["a1"].count() != before {
			t.Errorf("result is %s because of %s, target got %d", res.Outcome, res.Reason, s.targets["a1"].count()-before)
		}
	})
}

// Guards against more work at once than the target has slots, and against a
// stop that leaves requests without an answer.
func TestSlotsAndStop(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		release := make(chan struct{})
		s.targets["a1"].reply = func(ctx context.Context, _ *serve.Call) (serve.Answer, error) {
			select {
			case <-release:
				return serve.Answer{Status: 200}, nil
			case <-ctx.Done():
				return serve.Answer{}, ctx.Err()
			}
		}
		results := make(chan serve.Result, 4)
		for i := range 4 {
			go func() { results <- s.routers["b1"].Serve(context.Background(), call(fmt.Sprint(i), "pay")) }()
		}
		time.Sleep(100 * time.Millisecond)
		if n := s.targets["a1"].count(); n != 2 {
			t.Errorf("%d requests run on 2 slots", n)
		}
		s.routers["a1"].Cut()
		counts := map[proto.Outcome]int{}
		for range 4 {
			counts[(<-results).Outcome]++
		}
		if counts[proto.NotRun] != 2 || counts[proto.Unknown] != 2 {
			t.Errorf("outcomes after the cut are %v", counts)
		}
		close(release)
	})
}
