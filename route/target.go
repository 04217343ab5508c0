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
	// announcementTimeout is the time without an announcement after which the
	// target counts as down; three announcements are then missing.
	announcementTimeout = 3 * time.Second
	// leaveGrace is how long a leaving target still receives work while its
	// entries move. New work to a leaving target must stop within 2 s.
	leaveGrace = time.Second
	// slowStart is the time over which a newly started target ramps up to all
	// of its slots.
	slowStart = 5 * time.Second
)

// localTarget is the target on the router's own host.
type localTarget struct {
	service       string
	address       string
	client        *http.Client
	limiter       *admit.Limiter
	leaving       atomic.Bool
	lastAnnounced atomic.Int64 // Unix time in nanoseconds; zero if the target never announced itself

	slots, connections atomic.Int64 // as announced by the target
}

// stale reports whether the target has stopped announcing itself.
func (t *localTarget) stale(now time.Time) bool {
	seen := t.lastAnnounced.Load()
	return seen > 0 && now.UnixNano()-seen > int64(announcementTimeout)
}

// setCapacity applies the announced slots and connections, unless the rules
// override them.
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

// SetTarget sets the local target. An empty address means that there is none.
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

// HandleAnnouncement applies an announcement of the local target. From then on,
// the target must repeat its announcement or it counts as down.
func (r *Router) HandleAnnouncement(a proto.Announcement) {
	r.SetTarget(a.Service, a.Address, a.Slots, a.Connections)
	t := r.target.Load()
	t.lastAnnounced.Store(r.clock.Now().UnixNano())
	switch {
	case a.Leaving && t.leaving.CompareAndSwap(false, true):
		r.clock.AfterFunc(leaveGrace, func() {
			if !t.leaving.Load() {
				return
			}
			ended, cancel := context.WithCancel(context.Background())
			cancel() // refuses new work without waiting for requests in flight
			_ = t.limiter.Drain(ended)
		})
	case !a.Leaving && t.leaving.CompareAndSwap(true, false):
		t.limiter.Resume()
	}
}

// admit waits for a slot of the target and dispatches the request. A suspected
// request holds no slot while it waits for another suspect.
func (r *Router) admit(ctx context.Context, req *request, t *localTarget, d shard.Decision) Result {
	f := fingerprint(req)
	for {
		res, wait := r.tryAdmit(ctx, req, t, d, f)
		if !wait {
			return res
		}
		if !r.pause(ctx, req, t.limiter.Estimate(req.class.Name), ownerPollInterval) {
			return waitedInVain(ctx)
		}
	}
}

// tryAdmit acquires a slot and dispatches the request once. If wait is set, the
// request did not run because another suspect is running.
func (r *Router) tryAdmit(ctx context.Context, req *request, t *localTarget, d shard.Decision, f poison.Fingerprint) (res Result, wait bool) {
	wanted := admit.Request{Tenant: req.tenant, Class: req.class.Name, Priority: req.class.Priority, Deadline: req.deadline}
	ticket, err := t.limiter.Acquire(ctx, wanted)
	if err != nil {
		res = admissionRefusal(err)
		res.RetryAfter = t.limiter.QueueDelay(wanted)
		return res, false
	}
	res = notRun(ReasonNoTarget, http.StatusServiceUnavailable)
	defer func() { ticket.Release(admit.Result{Success: res.Outcome == proto.Answered}) }()
	if d.Owner != nil {
		// Another host may have taken over the entry while the request was
		// queued.
		now, _ := r.control.View().Route(req.service.Name, req.key)
		if !now.Local || now.Epoch != d.Epoch {
			res = notOwner(now)
			return res, false
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) || req.callerLeft() {
		res = notRun(ReasonCallerLeft, http.StatusServiceUnavailable)
		return res, false
	}
	res, wait = r.runGuarded(t, f, func() (Result, error) { return r.dispatch(ctx, req, t, d) })
	return res, wait
}

// admissionRefusal maps an admission error to a result; the request did not
// run.
func admissionRefusal(err error) Result {
	reason := ReasonDeadlineExceeded
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
	case errors.Is(err, admit.ErrDeadline):
		reason = ReasonDeadlineUnmeetable
	case errors.Is(err, admit.ErrFull):
		reason = ReasonQueueFull
	case errors.Is(err, admit.ErrShed):
		reason = ReasonShed
	case errors.Is(err, admit.ErrDraining):
		reason = ReasonDraining
	}
	return notRun(reason, http.StatusServiceUnavailable)
}
