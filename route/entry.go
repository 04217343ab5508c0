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
	// ownerChangeWait is how long a request waits for a new owner after an
	// attempt at the known owner failed, before it tries the same owner again
	// within the retry budget.
	ownerChangeWait = 300 * time.Millisecond
	// ownerCheckInterval is the age of an attempt at which the router first
	// checks whether its owner has failed, and the interval of further checks.
	// Most attempts end earlier and cost only the timer.
	ownerCheckInterval = 50 * time.Millisecond
)

// handleIngress sends a request from the ingress node to the owner of its key.
// An attempt that did not run, or that may be repeated safely, may be retried.
func (r *Router) handleIngress(ctx context.Context, req *request) Result {
	if !req.service.Keyed {
		return r.handleUnkeyed(ctx, req)
	}
	policy := r.policy(req)
	policy.Budget().RecordFirst()
	var tried shard.Decision
	number, redirected := 1, false
	for {
		d, ok := r.awaitOwner(ctx, req)
		if !ok {
			return notRun(ReasonNoOwner, http.StatusServiceUnavailable)
		}
		tried = d
		began := r.clock.Now()
		res := r.attempt(ctx, req, d)
		r.recordAttempt(req, res)
		if res.Outcome == proto.Answered {
			r.answerTimes.observe(req.classKey(), r.clock.Since(began))
		}
		if res.Outcome == proto.Answered || ctx.Err() != nil || !retryable(req, res) {
			return res
		}
		// The single redirect is not charged to the retry budget, since it
		// follows a change of owner, which is rare.
		if res.Outcome == proto.NotRun && !redirected && r.awaitOwnerChange(ctx, req, tried, res.Epoch, ownerChangeWait) {
			redirected = true
			continue
		}
		v := r.decideRetry(policy, req, res, number)
		if !v.ShouldRetry() {
			if res.Outcome == proto.NotRun && !redirected && r.awaitOwnerChange(ctx, req, tried, res.Epoch, 0) {
				redirected = true
				continue
			}
			return res
		}
		if res.Outcome == proto.Unknown {
			// Attempts that did not run are paced by ownerChangeWait and
			// bounded by the retry budget only; a takeover may need more of
			// them than the attempt limit allows.
			number++
		}
		if !r.sleep(ctx, v.Delay) {
			return res
		}
	}
}

// decideRetry asks the retry policy whether to make another attempt.
func (r *Router) decideRetry(p *retry.Policy, req *request, res Result, number int) retry.Decision {
	return p.Decide(retry.Attempt{
		Number: number, Outcome: res.Outcome, Idempotent: !req.class.Once,
		Remaining: req.deadline.Sub(r.clock.Now()),
	})
}

// retryable reports whether another attempt is permitted and may succeed. A
// request shed by a target is not retried, as that would add to the overload.
func retryable(req *request, res Result) bool {
	if res.Outcome == proto.Unknown {
		return !req.class.Once && res.Reason == ReasonResponseLost
	}
	switch res.Reason {
	case ReasonNotOwner, ReasonUnreachable, ReasonNoLease, ReasonStopping, ReasonDraining:
		return true
	}
	return false
}

// awaitOwner waits until the owner of the request's key is known, for as long as the request
// can end before its deadline.
func (r *Router) awaitOwner(ctx context.Context, req *request) (shard.Decision, bool) {
	for {
		d, ok := r.control.View().Route(req.service.Name, req.key)
		if ok && d.Owner != nil {
			return d, true
		}
		if !r.pause(ctx, req, r.answerTimes.expected(req.classKey()), ownerPollInterval) {
			return d, false
		}
	}
}

// awaitOwnerChange waits until the view shows another owner or a later epoch
// than the one tried, with at least the epoch that the tried node reported. A
// limit of zero means that the wait is bounded only by the time that the request needs
// before its deadline.
func (r *Router) awaitOwnerChange(ctx context.Context, req *request, tried shard.Decision, epoch uint64, limit time.Duration) bool {
	began := r.clock.Now()
	for {
		d, _ := r.control.View().Route(req.service.Name, req.key)
		if d.Owner != nil && d.Epoch >= epoch && (d.OwnerID != tried.OwnerID || d.Epoch > tried.Epoch) {
			return true
		}
		if limit > 0 && r.clock.Since(began) >= limit || !r.pause(ctx, req, r.answerTimes.expected(req.classKey()), ownerPollInterval) {
			return false
		}
	}
}

// attempt sends a request to its owner. If the owner fails in the meantime and
// the request may be repeated safely, the attempt is cancelled.
func (r *Router) attempt(ctx context.Context, req *request, d shard.Decision) Result {
	if !req.class.Once {
		watched, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := r.cancelOnTakeover(watched, cancel, req, d)
		defer stop()
		ctx = watched
	}
	if d.Local {
		return r.serveAsOwner(ctx, req)
	}
	return r.forward(ctx, req, d.Owner, d.Epoch)
}

// cancelOnTakeover cancels an attempt once the owner has failed and a takeover
// has assigned the key to another host.
func (r *Router) cancelOnTakeover(ctx context.Context, cancel context.CancelFunc, req *request, d shard.Decision) (stop func()) {
	t := r.clock.AfterFunc(ownerCheckInterval, func() {
		for {
			view := r.control.View()
			now, _ := view.Route(req.service.Name, req.key)
			h, known := view.Host(d.OwnerID)
			if now.OwnerID != d.OwnerID && (!known || h.Member.State == proto.Marked) {
				cancel()
				return
			}
			if !r.sleep(ctx, ownerCheckInterval) {
				return
			}
		}
	})
	return func() { t.Stop() }
}
