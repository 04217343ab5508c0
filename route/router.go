package route

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/conf"
	"burdocklift/dedup"
	"burdocklift/hangup"
	"burdocklift/lease"
	"burdocklift/pick"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/retry"
	"burdocklift/shard"
)

const (
	// ownerPollInterval is how often a waiting request checks for a new owner.
	ownerPollInterval = 5 * time.Millisecond
	// maxHops allows one forward and one redirect.
	maxHops = 2
	// maxBufferedBytes bounds the total size of buffered request bodies, since
	// a node has 256 MB of memory in total.
	maxBufferedBytes = 64 << 20
)

// Control provides the state that the control goroutine publishes to request
// handling.
type Control interface {
	View() *shard.View
	Gate() *lease.Gate
}

// Router forwards requests to their owners and dispatches them to the local
// target.
type Router struct {
	meter       func(shard uint32, key string, hot bool)
	control     Control
	clock       clockwork.Clock
	rules       atomic.Pointer[conf.Rules]
	peerClient  *http.Client
	target      atomic.Pointer[localTarget]
	inFlight    InFlightCounter
	stopped     atomic.Bool
	active      atomic.Int64
	buffered    atomic.Int64
	idempotency atomic.Pointer[dedup.Table]
	picker      *pick.Picker
	observer    Observer
	// quarantine protects the local target from requests that crash it.
	quarantine  *poison.Guard
	sendNotices func([]poison.Notice)
	place       proto.Place
	linkBudgets regionBudgets
	// slowStart is the time over which a new target ramps up to all of its
	// slots.
	slowStart time.Duration

	// answerTimes are those of requests that entered the system here.
	answerTimes answerTimes

	mu       sync.Mutex
	policies map[classKey]*retry.Policy
}

// classKey identifies a class of a service.
type classKey struct{ service, class string }

// New returns a router without rules and without a target.
func New(control Control, clock clockwork.Clock, place proto.Place) *Router {
	r := &Router{
		control: control, clock: clock, peerClient: newClient(0),
		picker:   pick.New(pick.Config{DataCentre: place.DataCentre, Region: place.Region, Clock: clock}),
		policies: make(map[classKey]*retry.Policy), slowStart: slowStart,
		sendNotices: func([]poison.Notice) {}, place: place,
	}
	r.quarantine = poison.NewGuard(clock, func(n []poison.Notice) { r.sendNotices(n) })
	return r
}

// SetRules applies rules to requests that arrive from now on. The first call
// sets the retention and the clock skew of the idempotency table.
func (r *Router) SetRules(rules *conf.Rules) {
	if r.idempotency.Load() == nil {
		cfg := dedup.Config{Skew: rules.Limits.Skew}
		for _, s := range rules.Services {
			for _, c := range s.Classes {
				if c.Once {
					cfg.Retention = max(cfg.Retention, c.Retention)
				}
			}
		}
		r.idempotency.Store(dedup.New(cfg))
	}
	r.rules.Store(rules)
	if t := r.target.Load(); t != nil {
		t.setCapacity(rules)
	}
}

// policy returns the retry policy of a class.
func (r *Router) policy(req *request) *retry.Policy {
	k := req.classKey()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.policies[k]
	if p == nil {
		// The error is ignored: the share was validated with the rules, and a
		// rejected share falls back to the default.
		b, _ := retry.NewBudget(r.rules.Load().Limits.RetryShare, retry.MaxBurst)
		p = retry.NewPolicy(b, nil, 0)
		r.policies[k] = p
	}
	return p
}

// InFlight returns the counts of requests in flight on the local target.
func (r *Router) InFlight() *InFlightCounter { return &r.inFlight }

// Stop makes the router refuse new requests with the outcome proto.NotRun.
func (r *Router) Stop() { r.stopped.Store(true) }

// ActiveRequests returns the number of requests being handled.
func (r *Router) ActiveRequests() int { return int(r.active.Load()) }

// ServeCaller handles a request from a caller.
func (r *Router) ServeCaller(w http.ResponseWriter, hr *http.Request) {
	r.serve(w, hr, fromCaller, r.handleIngress)
}

// ServePeer handles a request forwarded by another node. It never forwards the
// request again.
func (r *Router) ServePeer(w http.ResponseWriter, hr *http.Request) {
	r.serve(w, hr, fromPeer, func(ctx context.Context, req *request) Result {
		res := r.serveAsOwner(ctx, req)
		r.chargeResponse(req, res)
		return res
	})
}

func (r *Router) serve(w http.ResponseWriter, hr *http.Request, from origin, handle func(context.Context, *request) Result) {
	r.active.Add(1)
	defer r.active.Add(-1)
	began := r.clock.Now()
	req, refused := r.accept(hr, from)
	if refused != nil {
		refused.write(w)
		return
	}
	res := r.handle(w, hr, req, handle)
	// The observer is called before the response is written to the caller.
	r.observeRequest(req, from, res, began)
	res.write(w)
}

// handle buffers the body and runs the request within its deadline.
func (r *Router) handle(w http.ResponseWriter, hr *http.Request, req *request, handle func(context.Context, *request) Result) Result {
	limit := int64(r.rules.Load().Limits.Body)
	size := hr.ContentLength
	if size < 0 {
		size = limit
	}
	defer r.buffered.Add(-size)
	if r.buffered.Add(size) > maxBufferedBytes {
		return notRun(ReasonBuffersFull, http.StatusServiceUnavailable)
	}
	if refused := req.readBody(w, hr, limit); refused != nil {
		return *refused
	}
	ctx, stop := hangup.Watch(hr.Context(), r.clock)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	res := handle(ctx, req)
	if res.Outcome == proto.NotRun && req.uncertain != nil {
		// An earlier attempt may have run, so the outcome cannot be proto.NotRun.
		return *req.uncertain
	}
	if res.Outcome == proto.NotRun && res.Status == http.StatusServiceUnavailable && ctx.Err() != nil {
		res.Reason = ReasonDeadlineExceeded
	}
	return res
}

// accept parses a request, or refuses it while the router is starting or
// stopping.
func (r *Router) accept(hr *http.Request, from origin) (*request, *Result) {
	if r.stopped.Load() {
		res := notRun(ReasonStopping, http.StatusServiceUnavailable)
		return nil, &res
	}
	rules := r.rules.Load()
	if rules == nil {
		res := notRun(ReasonStarting, http.StatusServiceUnavailable)
		return nil, &res
	}
	return parse(hr, from, rules, r.clock.Now())
}

// sleep waits for d and reports false if the context ended first.
func (r *Router) sleep(ctx context.Context, d time.Duration) bool {
	t := r.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.Chan():
		return true
	}
}
