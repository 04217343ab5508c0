package serve_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
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

// fakeTarget is a target whose responses are set by a test.
type fakeTarget struct {
	mu    sync.Mutex
	runs  []string // IDs in the order of arrival
	times []time.Time
	down  atomic.Bool
	reply func(ctx context.Context, req *serve.Request) (serve.Response, error)
}

func (t *fakeTarget) Run(ctx context.Context, req *serve.Request, _ span.Incarnation, _ time.Duration) (serve.Response, serve.Advice, error) {
	t.mu.Lock()
	t.runs, t.times = append(t.runs, req.ID), append(t.times, time.Now())
	t.mu.Unlock()
	resp, err := t.reply(ctx, req)
	if err != nil && !errors.Is(err, serve.ErrRejected) {
		return resp, serve.Advice{}, err
	}
	return resp, t.Advice(resp.Header), err
}

// Advice reads the limit and the departure from the headers of the tests.
func (t *fakeTarget) Advice(h http.Header) serve.Advice {
	a := serve.Advice{Known: true, Leaving: h.Get("Leaving") != ""}
	if limit, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		a.Limit, a.Limited = limit, true
	}
	a.Pace, _ = strconv.ParseFloat(h.Get("Pace"), 64) // 0 without the header
	return a
}

func (t *fakeTarget) NotListening() bool { return t.down.Load() }

func (t *fakeTarget) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

func ok(context.Context, *serve.Request) (serve.Response, error) {
	return serve.Response{Status: 200}, nil
}

func failWith(err error) func(context.Context, *serve.Request) (serve.Response, error) {
	return func(context.Context, *serve.Request) (serve.Response, error) { return serve.Response{}, err }
}

// site has two nodes with one target each: "a1" of a service with keys, "b1" of
// one without. Each is in a data centre and a region of its own.
type site struct {
	routers map[string]*serve.Router
	targets map[string]*fakeTarget
	leaving chan struct{}
	net     *emul.Net
	ledger  *emul.Ledger
	stops   map[string]func() // end a node and wait for its end
	prepare func(target *fakeTarget)
	connect func(name string, peers *peer.Transport) // called before a node runs, if not nil
	hedges  float64                                  // share of requests that may get a copy
	// coldUntil holds the time.Time up to which the target beside a node says that it is cold.
	coldUntil sync.Map
}

func runInSite(t *testing.T, test func(t *testing.T, s *site)) {
	t.Helper()
	runInSiteWith(t, func(*site) {}, test)
}

// runInSiteWith changes a site before its nodes start.
func runInSiteWith(t *testing.T, change func(s *site), test func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &site{
			routers: make(map[string]*serve.Router), targets: make(map[string]*fakeTarget),
			leaving: make(chan struct{}), net: emul.NewNet(), stops: make(map[string]func()),
		}
		change(s)
		ledger := emul.NewLedger(time.Millisecond)
		ledger.Put("rules", nil)
		s.ledger = ledger
		for name, service := range map[string]string{"a1": "desk", "b1": "archive"} {
			s.launch(ctx, name, service)
		}
		time.Sleep(8 * time.Second)
		test(t, s)
		cancel()
		for _, stop := range s.stops {
			stop()
		}
	})
}

// launch starts a node that restart can end. Without a service, there is no target beside it.
func (s *site) launch(ctx context.Context, name, service string) {
	ctx, cancel := context.WithCancel(ctx)
	end := s.start(ctx, name, service, s.ledger)
	s.stops[name] = func() { cancel(); <-end }
}

// restart ends a node at once and starts it again beside the same target, whose new stand-in
// is prepared before the node runs.
func (s *site) restart(t *testing.T, name, service string, prepare func(target *fakeTarget)) {
	t.Helper()
	s.stops[name]()
	s.prepare = prepare
	s.launch(context.Background(), name, service)
	s.prepare = nil
	time.Sleep(4 * time.Second)
}

// setSilent makes the store leave a node without an answer.
func (s *site) setSilent(name string, silent bool) {
	s.ledger.SetFaults(emul.LedgerFaults{Silent: map[string]bool{name: silent}})
}

// stallingRules are rules whose decoding stops the control loop for stallTime.
var stallingRules = []byte("stall")

const stallTime = time.Second

// regionRules returns rules of a version whose routes name regions, for example
// "regions 2 r-a r-b".
func regionRules(version int, regions ...string) []byte {
	return fmt.Appendf(nil, "regions %d %s", version, strings.Join(regions, " "))
}

// coldRules are rules with a service whose cold targets tolerate 15 requests a second.
var coldRules = []byte("cold")

func decodeRules(b []byte) (*rules.Set, error) {
	version, regions := uint64(1), []string(nil)
	if fields := strings.Fields(string(b)); len(fields) > 1 && fields[0] == "regions" {
		n, err := strconv.Atoi(fields[1])
		if err != nil {
			return nil, err
		}
		version, regions = uint64(n), fields[2:]
	}
	if bytes.Equal(b, stallingRules) {
		time.Sleep(stallTime)
	}
	route := func(name, service string, idempotent bool) rules.Route {
		return rules.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Services: []rules.WeightedService{{Service: service, Weight: 1}},
			Idempotent: idempotent, Timeout: 2 * time.Second, MaxAttempts: 2, Regions: regions,
		}
	}
	coldRate := 0.0
	if bytes.Equal(b, coldRules) {
		coldRate = 15
	}
	single := route("list", "archive", true)
	single.MaxAttempts = 1
	return rules.New(version, rules.Limits{}, []rules.Route{
		single,
		route("look", "desk", true), route("pay", "desk", false), route("read", "archive", true), route("fetch", "archive", false),
	}, []rules.Service{{Name: "desk", Sharded: true}, {Name: "archive", ColdRate: coldRate}})
}

func (s *site) start(ctx context.Context, name, service string, ledger *emul.Ledger) chan struct{} {
	c := clock.NewBubble()
	peers := peer.New(c)
	peers.SetDialer(s.net.Dialer(name))
	log := slog.New(slog.DiscardHandler)
	f := fleet.New(fleet.Config{
		Name: name, Address: name, DataCentre: name, Region: "r-" + name[:1], Store: ledger.Client(name), Peers: peers, Clock: c,
		Log: log, RulesKey: "rules", Rules: decodeRules, EvacuationPrefix: "evacuate/",
		ColdFactor: 1.5, ColdSlack: 8,
	})
	target := &fakeTarget{reply: ok}
	if s.prepare != nil {
		s.prepare(target)
	}
	s.targets[name] = target
	s.routers[name] = serve.New(serve.Config{
		Name: name, DataCentre: name, Region: "r-" + name[:1], Fleet: f, Peers: peers, Target: target, Clock: c,
		Log: log, RetryRatio: 1, RetrySlack: 20, DrainPeriod: 2 * time.Second,
		Hedges: s.hedges,
	})
	if s.connect != nil {
		s.connect(name, peers)
	}
	l := s.net.Listen(name)
	ended := make(chan struct{}, 3)
	go func() { _ = peers.Run(ctx, l); ended <- struct{}{} }()
	go func() { _ = f.Run(ctx); ended <- struct{}{} }()
	go func() { s.sendHeartbeats(ctx, f, name, service); ended <- struct{}{} }()
	end := make(chan struct{})
	go func() {
		for range 3 {
			<-ended
		}
		close(end)
	}()
	return end
}

// sendHeartbeats sends the heartbeats of a target that holds what it is
// granted.
func (s *site) sendHeartbeats(ctx context.Context, f *fleet.Fleet, name, service string) {
	if service == "" {
		return
	}
	b := fleet.Heartbeat{Target: fleet.Target{Incarnation: span.Incarnation{Target: name, StartedAt: 1}, Service: service, Slots: 2}}
	for ctx.Err() == nil {
		b.Sequence++
		b.ColdRemaining = 0
		if until, ok := s.coldUntil.Load(name); ok {
			b.ColdRemaining = max(0, time.Until(until.(time.Time)))
		}
		select {
		case <-s.leaving:
			b.Leaving = service == "desk"
		default:
		}
		reply, err := f.Heartbeat(ctx, b)
		if err == nil && reply.Hold > 0 {
			b.Holds = nil
			for _, g := range reply.Grants {
				b.Holds = append(b.Holds, g.KeyRange)
			}
		}
		select {
		case <-time.After(800 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func newRequest(id, route string) *serve.Request {
	return &serve.Request{ID: id, Method: "POST", Host: "h", Path: "/" + route + "/x", Remaining: 3 * time.Second, Key: 5, HasKey: true, Origin: "o"}
}

func assertResult(t *testing.T, res serve.Result, outcome proto.Outcome, reason serve.Reason) {
	t.Helper()
	if res.Outcome != outcome || res.Reason != reason {
		t.Errorf("outcome is %s for reason %s, want %s for reason %s", res.Outcome, res.Reason, outcome, reason)
	}
}

var errBroken = errors.New("connection reset")

// Guards against outcomes that claim less or more than is certain, on the node
// of the target and on another one.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		route   string
		reply   func(context.Context, *serve.Request) (serve.Response, error)
		outcome proto.Outcome
		reason  serve.Reason
		runs    int
	}{
		{"look", ok, proto.Answered, serve.ReasonAnswered, 1},
		{"read", ok, proto.Answered, serve.ReasonAnswered, 1},
		{"pay", failWith(errBroken), proto.Unknown, serve.ReasonNoResponse, 1}, // may have run, so it is not sent twice
		{"look", failWith(errBroken), proto.Unknown, serve.ReasonNoResponse, 2},
		{"pay", failWith(serve.ErrRejected), proto.NotRun, serve.ReasonRejected, 2},
		{"pay", failWith(serve.ErrNotSent), proto.NotRun, serve.ReasonNoTarget, 1},
		{"pay", failWith(serve.ErrTooLarge), proto.Unknown, serve.ReasonTooLarge, 1},
		{"look", failWith(serve.ErrTooLarge), proto.Unknown, serve.ReasonTooLarge, 2},
		{"none", ok, proto.NotRun, serve.ReasonNoRoute, 0},
	} {
		for _, entry := range []string{"a1", "b1"} {
			t.Run(fmt.Sprint(c.route, " ", c.reason, " from ", entry), func(t *testing.T) {
				runInSite(t, func(t *testing.T, s *site) {
					target := s.targets["a1"]
					if c.route == "read" {
						target = s.targets["b1"]
					}
					target.reply = c.reply
					assertResult(t, s.routers[entry].Serve(context.Background(), newRequest("1", c.route)), c.outcome, c.reason)
					if n := target.count(); n != c.runs {
						t.Errorf("target received the request %d times, want %d", n, c.runs)
					}
				})
			})
		}
	}
}

// Guards against a refusal that reports "not run" although an earlier attempt
// may have run.
func TestRefusalAfterUnclearAttempt(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		first := true
		s.targets["a1"].reply = func(context.Context, *serve.Request) (serve.Response, error) {
			if first {
				first = false
				return serve.Response{}, errBroken
			}
			return serve.Response{}, serve.ErrNotSent
		}
		res := s.routers["a1"].Serve(context.Background(), newRequest("1", "look"))
		assertResult(t, res, proto.Unknown, serve.ReasonNoTarget)
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
		{"unknown, then rejected", []error{errBroken, serve.ErrRejected}, proto.Unknown, serve.ReasonRejected},
		{"unknown, then not sent", []error{errBroken, serve.ErrNotSent}, proto.Unknown, serve.ReasonNoTarget},
		{"rejected, then not sent", []error{serve.ErrRejected, serve.ErrNotSent}, proto.NotRun, serve.ReasonNoTarget},
		{"rejected twice", []error{serve.ErrRejected, serve.ErrRejected}, proto.NotRun, serve.ReasonRejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				next := 0
				s.targets["a1"].reply = func(context.Context, *serve.Request) (serve.Response, error) {
					next++
					return serve.Response{}, c.replies[next-1]
				}
				assertResult(t, s.routers["b1"].Serve(context.Background(), newRequest("1", "look")), c.outcome, c.reason)
			})
		})
	}
}

// Guards against requests that outlast their timeout, and against idempotent
// requests that continue after their caller has disconnected. Requests that are
// not idempotent must continue.
func TestTimeoutAndCancel(t *testing.T) {
	hang := func(ended chan<- time.Time) func(context.Context, *serve.Request) (serve.Response, error) {
		return func(ctx context.Context, _ *serve.Request) (serve.Response, error) {
			<-ctx.Done()
			ended <- time.Now()
			return serve.Response{}, fmt.Errorf("no response: %w", ctx.Err())
		}
	}
	for _, entry := range []string{"a1", "b1"} {
		t.Run("timeout from "+entry, func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				ended := make(chan time.Time, 1)
				s.targets["a1"].reply = hang(ended)
				start := time.Now()
				res := s.routers[entry].Serve(context.Background(), newRequest("1", "look"))
				assertResult(t, res, proto.Unknown, serve.ReasonTimeout)
				if took := time.Since(start); took > 2100*time.Millisecond || took < 1900*time.Millisecond {
					t.Errorf("answered after %v, want the route's timeout of 2 s", took)
				}
				<-ended
			})
		})
		for route, idempotent := range map[string]bool{"look": true, "pay": false} {
			t.Run(route+" cancelled from "+entry, func(t *testing.T) {
				runInSite(t, func(t *testing.T, s *site) {
					ended := make(chan time.Time, 1)
					s.targets["a1"].reply = hang(ended)
					ctx, cancel := context.WithCancel(context.Background())
					cancelledAt := time.Now().Add(300 * time.Millisecond)
					time.AfterFunc(300*time.Millisecond, cancel)
					done := make(chan serve.Result, 1)
					go func() { done <- s.routers[entry].Serve(ctx, newRequest("1", route)) }()
					if after := (<-ended).Sub(cancelledAt); (after < 500*time.Millisecond) != idempotent {
						t.Errorf("request ended %v after the caller disconnected", after)
					}
					<-done
				})
			})
		}
	}
}

// Guards against a request that crashes every target to which its caller sends
// it: its key moves to another target after each crash.
func TestQuarantine(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		ctx, cancel := context.WithCancel(context.Background())
		end := s.start(ctx, "a2", "desk", s.ledger)
		defer func() { cancel(); <-end }()
		time.Sleep(3 * time.Second)
		crashes := 0
		for _, name := range []string{"a1", "a2"} {
			target := s.targets[name]
			target.reply = func(_ context.Context, req *serve.Request) (serve.Response, error) {
				if req.Path != "/pay/poison" {
					return serve.Response{Status: 200}, nil
				}
				crashes++
				target.down.Store(true)
				time.AfterFunc(500*time.Millisecond, func() { target.down.Store(false) })
				return serve.Response{}, errBroken
			}
		}
		owners := make(map[string]bool)
		for i := range 8 {
			before := []int{s.targets["a1"].count(), s.targets["a2"].count()}
			req := newRequest(fmt.Sprint(i), "pay")
			req.Path = "/pay/poison"
			res := s.routers["b1"].Serve(context.Background(), req)
			if crashes == 2 && res.Outcome == proto.NotRun {
				assertResult(t, res, proto.NotRun, serve.ReasonQuarantined)
			}
			for j, name := range []string{"a1", "a2"} {
				if s.targets[name].count() > before[j] {
					owners[name] = true
				}
			}
			time.Sleep(2 * time.Second)
			assertResult(t, s.routers["b1"].Serve(context.Background(), newRequest("harmless", "pay")), proto.Answered, serve.ReasonAnswered)
		}
		if crashes != 2 || len(owners) != 2 {
			t.Errorf("request crashed targets %d times and reached %d targets, want 2 and 2", crashes, len(owners))
		}
	})
}

// Guards against a slot limit that falls although the target has free slots:
// each rejection lowered the limit, and it recovered by only two slots a second.
func TestRejectionsWithRoom(t *testing.T) {
	for _, c := range []struct {
		reason error
		limit  int64
	}{{serve.ErrRejected, 2}, {serve.ErrFull, 1}} {
		t.Run(c.reason.Error(), func(t *testing.T) {
			runInSite(t, func(t *testing.T, s *site) {
				n := 0
				s.targets["a1"].reply = func(context.Context, *serve.Request) (serve.Response, error) {
					if n++; n%3 == 0 {
						return serve.Response{}, c.reason
					}
					return serve.Response{Status: 200}, nil
				}
				for i := range 30 {
					s.routers["a1"].Serve(context.Background(), newRequest(fmt.Sprint(i), "pay"))
					time.Sleep(100 * time.Millisecond)
				}
				if limit := s.routers["a1"].Metrics().Snapshot().Gauges["slots_limit"]; limit != c.limit {
					t.Errorf("slot limit is %d of 2, want %d", limit, c.limit)
				}
			})
		})
	}
}

// Guards against a retry on the target that failed the request while another
// one would have served it.
func TestRepeatGoesElsewhere(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		ctx, cancel := context.WithCancel(context.Background())
		end := s.start(ctx, "b2", "archive", s.ledger)
		defer func() { cancel(); <-end }()
		time.Sleep(3 * time.Second)
		for _, reason := range []error{serve.ErrRejected, errBroken} {
			s.targets["b1"].reply = func(ctx context.Context, req *serve.Request) (serve.Response, error) {
				if !strings.HasSuffix(req.ID, "0") {
					return ok(ctx, req)
				}
				return serve.Response{}, reason
			}
			for i := range 100 {
				res := s.routers["b1"].Serve(context.Background(), newRequest(fmt.Sprint(i), "read"))
				assertResult(t, res, proto.Answered, serve.ReasonAnswered)
				time.Sleep(20 * time.Millisecond)
			}
		}
	})
}

// Guards against requests that reach a target long after it announced that it
// leaves.
func TestLeavingTarget(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		close(s.leaving)
		time.Sleep(900 * time.Millisecond) // the next heartbeat
		time.Sleep(1800 * time.Millisecond)
		before := s.targets["a1"].count()
		res := s.routers["b1"].Serve(context.Background(), newRequest("1", "look"))
		if res.Outcome != proto.NotRun || s.targets["a1"].count() != before {
			t.Errorf("outcome is %s for reason %s, target received %d requests, want a refusal and none", res.Outcome, res.Reason, s.targets["a1"].count()-before)
		}
	})
}

// Guards against more requests in flight than the target has slots, and against
// an abort that leaves requests without a response.
func TestSlotsAndStop(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		release := make(chan struct{})
		s.targets["a1"].reply = func(ctx context.Context, _ *serve.Request) (serve.Response, error) {
			select {
			case <-release:
				return serve.Response{Status: 200}, nil
			case <-ctx.Done():
				return serve.Response{}, ctx.Err()
			}
		}
		results := make(chan serve.Result, 4)
		for i := range 4 {
			go func() { results <- s.routers["b1"].Serve(context.Background(), newRequest(fmt.Sprint(i), "pay")) }()
		}
		time.Sleep(100 * time.Millisecond)
		if n := s.targets["a1"].count(); n != 2 {
			t.Errorf("%d requests in flight on 2 slots, want 2", n)
		}
		s.routers["a1"].Abort()
		counts := map[proto.Outcome]int{}
		for range 4 {
			counts[(<-results).Outcome]++
		}
		if counts[proto.NotRun] != 2 || counts[proto.Unknown] != 2 {
			t.Errorf("outcomes after the abort are %v, want 2 not run and 2 unknown", counts)
		}
		close(release)
	})
}
