package route

import (
	"context"
	"net/http"
	"time"

	"burdocklift/proto"
	"burdocklift/retry"
	"burdocklift/shard"
)

const (
	// patience is how long a request waits for another owner after the known one
	// failed, before it tries the known one again within the retry budget.
	patience = 300 * time.Millisecond
	// watchAfter is the age at which an attempt is checked for a lost owner.
	// Most attempts end earlier and cost only the timer.
	watchAfter = 50 * time.Millisecond
)

// enter takes a request from its entry to the owner. An attempt that did not
// run, or that may run again, may be followed by others.
func (r *Router) enter(ctx context.Context, req *request) Result {
	if !req.service.Keyed {
		return r.enterUnkeyed(ctx, req)
	}
	policy := r.policy(req)
	policy.Budget().RecordFirst()
	var tried shard.Decision
	number, redirected := 1, false
	for {
		d, ok := r.route(ctx, req)
		if !ok {
			return notRun(ReasonNoOwner, http.StatusServiceUnavailable)
		}
		tried = d
		res := r.attempt(ctx, req, d)
		r.attempted(req, res)
		if res.Outcome == proto.Answered || ctx.Err() != nil || !repeats(req, res) {
			return res
		}
		// The one redirect is free: it follows a change of owner, which is rare.
		if res.Outcome == proto.NotRun && !redirected && r.awaitOther(ctx, req, tried, res.Epoch, patience) {
			redirected = true
			continue
		}
		v := r.decide(policy, req, res, number)
		if !v.ShouldRetry() {
			if res.Outcome == proto.NotRun && !redirected && r.awaitOther(ctx, req, tried, res.Epoch, 0) {
				redirected = true
				continue
			}
			return res
		}
		if res.Outcome == proto.Unknown {
			// Attempts that did not run are paced by patience and bounded by the
			// budget; a takeover may need more of them than the limit allows.
			number++
		}
		if !r.sleep(ctx, v.Delay) {
			return res
		}
	}
}

func (r *Router) decide(p *retry.Policy, req *request, res Result, number int) retry.Decision {
	return p.Decide(retry.Attempt{
		Number: number, Outcome: res.Outcome, Idempotent: !req.class.Once,
		Remaining: req.deadline.Sub(r.clock.Now()),
	})
}

// repeats reports whether another attempt may succeed and is permitted. Work
// that a target shed is not repeated, as that would add to the overload.
func repeats(req *request, res Result) bool {
	if res.Outcome == proto.Unknown {
		return !req.class.Once && res.Reason == ReasonLost
	}
	switch res.Reason {
	case ReasonNotOwner, ReasonUnreachable, ReasonNoLease, ReasonStopping, ReasonDraining:
		return true
	}
	return false
}

// route waits for a known owner.
func (r *Router) route(ctx context.Context, req *request) (shard.Decision, bool) {
	for {
		d, ok := r.control.View().Route(req.service.Name, req.key)
		if ok && d.Owner != nil {
			return d, true
		}
		if !r.sleep(ctx, ownerPoll) {
			return d, false
		}
	}
}

// awaitOther waits until the view shows another owner than the one tried, and
// at least the epoch that this one reported. Zero stands for no limit but the
// request's deadline.
func (r *Router) awaitOther(ctx context.Context, req *request, tried shard.Decision, epoch uint64, limit time.Duration) bool {
	began := r.clock.Now()
	for {
		d, _ := r.control.View().Route(req.service.Name, req.key)
		if d.Owner != nil && d.Epoch >= epoch && (d.OwnerID != tried.OwnerID || d.Epoch > tried.Epoch) {
			return true
		}
		if limit > 0 && r.clock.Since(began) >= limit || !r.sleep(ctx, ownerPoll) {
			return false
		}
	}
}

// attempt sends a request to its owner. If the owner is lost meanwhile and the
// request may run again, the attempt is abandoned.
func (r *Router) attempt(ctx context.Context, req *request, d shard.Decision) Result {
	if !req.class.Once {
		watched, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := r.watch(watched, cancel, req, d)
		defer stop()
		ctx = watched
	}
	if d.Local {
		return r.own(ctx, req)
	}
	return r.forward(ctx, req, d.Owner, d.Epoch)
}

// watch cancels an attempt once a takeover has given the key to another host.
func (r *Router) watch(ctx context.Context, cancel context.CancelFunc, req *request, d shard.Decision) (stop func()) {
	t := r.clock.AfterFunc(watchAfter, func() {
		for {
			view := r.control.View()
			now, _ := view.Route(req.service.Name, req.key)
			h, known := view.Host(d.OwnerID)
			if now.OwnerID != d.OwnerID && (!known || h.Member.State == proto.Marked) {
				cancel()
				return
			}
			if !r.sleep(ctx, watchAfter) {
				return
			}
		}
	})
	return func() { t.Stop() }
}
