package route

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"burdocklift/admit"
	"burdocklift/conf"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/shard"
)

const (
	// silence is the time without an announcement after which the target counts
	// as not serving; three announcements are then missing.
	silence = 3 * time.Second
	// leaveGrace is how long a target that leaves still gets work, while its
	// entries move. The bound for new work to a leaving target is 2 s.
	leaveGrace = time.Second
	// slowStart is the time in which a target that has just started gets all of
	// its slots.
	slowStart = 5 * time.Second
)

// localTarget is the target on the router's own host.
type localTarget struct {
	service string
	address string
	client  *http.Client
	limiter *admit.Limiter
	leaving atomic.Bool
	seen    atomic.Int64 // Unix time in nanoseconds; zero if it never announced itself

	slots, connections atomic.Int64 // as announced
}

// silent reports whether the announcements have stopped.
func (t *localTarget) silent(now time.Time) bool {
	seen := t.seen.Load()
	return seen > 0 && now.UnixNano()-seen > int64(silence)
}

// setCapacity applies what the target announced, unless rules override it.
func (t *localTarget) setCapacity(rules *conf.Rules) {
	slots, connections := int(t.slots.Load()), int(t.connections.Load())
	if rules != nil && rules.Limits.Slots > 0 {
		slots = rules.Limits.Slots
	}
	if rules != nil && rules.Limits.Connections > 0 {
		connections = rules.Limits.Connections
	}
	t.limiter.SetCapacity(slots, connections)
}

// SetTarget names the local target. An empty address means that there is none.
func (r *Router) SetTarget(service, address string, slots, connections int) {
	if address == "" {
		r.target.Store(nil)
		return
	}
	t := r.target.Load()
	if t == nil || t.service != service || t.address != address {
		cfg := admit.Config{Clock: r.clock, SlowStart: r.slowStart}
		if rules := r.rules.Load(); rules != nil {
			cfg.MaxQueued = rules.Limits.Queue
		}
		t = &localTarget{service: service, address: address, client: newClient(connections), limiter: admit.New(cfg)}
	}
	t.slots.Store(int64(slots))
	t.connections.Store(int64(connections))
	t.setCapacity(r.rules.Load())
	r.target.Store(t)
}

// Announced takes an announcement of the local target, which from then on must
// repeat it.
func (r *Router) Announced(a proto.Announcement) {
	r.SetTarget(a.Service, a.Address, a.Slots, a.Connections)
	t := r.target.Load()
	t.seen.Store(r.clock.Now().UnixNano())
	switch {
	case a.Leaving && t.leaving.CompareAndSwap(false, true):
		r.clock.AfterFunc(leaveGrace, func() {
			if !t.leaving.Load() {
				return
			}
			ended, cancel := context.WithCancel(context.Background())
			cancel() // refuses new work and does not wait for the rest
			_ = t.limiter.Drain(ended)
		})
	case !a.Leaving && t.leaving.CompareAndSwap(true, false):
		t.limiter.Resume()
	}
}

// admit waits for a slot of the target and dispatches the request. A suspect
// waits without a slot while another one runs.
func (r *Router) admit(ctx context.Context, req *request, t *localTarget, d shard.Decision) Result {
	f := fingerprint(req)
	for {
		res, wait := r.admitOnce(ctx, req, t, d, f)
		if !wait {
			return res
		}
		if !r.sleep(ctx, ownerPoll) {
			return notRun(ReasonExpired, http.StatusServiceUnavailable)
		}
	}
}

func (r *Router) admitOnce(ctx context.Context, req *request, t *localTarget, d shard.Decision, f poison.Fingerprint) (res Result, wait bool) {
	ticket, err := t.limiter.Acquire(ctx, admit.Request{
		Tenant: req.tenant, Class: req.class.Name, Priority: req.class.Priority, Deadline: req.deadline,
	})
	if err != nil {
		return refusal(err), false
	}
	res = notRun(ReasonNoTarget, http.StatusServiceUnavailable)
	defer func() { ticket.Release(admit.Result{Success: res.Outcome == proto.Answered}) }()
	if d.Owner != nil {
		// The entry may have been taken over while the request waited.
		now, _ := r.control.View().Route(req.service.Name, req.key)
		if !now.Local || now.Epoch != d.Epoch {
			res = notOwner(now)
			return res, false
		}
	}
	res, wait = r.guard(t, f, func() (Result, error) { return r.dispatch(ctx, req, t, d) })
	return res, wait
}

// refusal maps the errors of admission, after which the request did not run.
func refusal(err error) Result {
	reason := ReasonExpired
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
	case errors.Is(err, admit.ErrDeadline):
		reason = ReasonOverload
	case errors.Is(err, admit.ErrFull):
		reason = ReasonQueue
	case errors.Is(err, admit.ErrShed):
		reason = ReasonShed
	case errors.Is(err, admit.ErrDraining):
		reason = ReasonDraining
	}
	return notRun(reason, http.StatusServiceUnavailable)
}
