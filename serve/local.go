package serve

import (
	"cmp"
	"context"
	"errors"
	"math"
	"time"

	"burdocklift/fleet"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/triage"
)

const (
	// ownerRetryAfter is the retry-after while a key has no owner yet, or its
	// owner changes: half of the longest time between two heartbeats of a target.
	ownerRetryAfter = 400 * time.Millisecond
	// drainMargin is how long before the end of its drain period a leaving target
	// stops getting requests.
	drainMargin = 300 * time.Millisecond
	// minRetryAfter is the retry-after where another node can serve the request at once, or
	// the time until there is room is not known.
	minRetryAfter = 100 * time.Millisecond
	// leavingRetryAfter is the retry-after for requests without keys to a leaving
	// target: other targets take them over at once.
	leavingRetryAfter = 100 * time.Millisecond
)

// job is a request with its routing and its deadlines by the clock of this
// node.
type job struct {
	request    *Request
	service    string
	class      string
	urgency    int
	keyed      bool
	idempotent bool
	regions    []string // of the route, empty for all
	deadline   time.Duration
	triedNodes []string           // nodes whose targets received the request
	identity   poison.Fingerprint // zero until fingerprint is called
	hedge      string             // for logs: what became of the copy, empty without one
	asked      *askedNode         // nil if there can be no copy
}

// retryAfter returns the retry-after delay of a request that may run after a time. The caller
// does not return after its deadline.
func (j *job) retryAfter(wait, now time.Duration) time.Duration {
	return max(0, min(wait, j.deadline-now))
}

// runLocal runs a request on the local target.
func (r *Router) runLocal(ctx context.Context, j *job) Result {
	if res, refused := r.refuseHere(r.cfg.Fleet.View(), j, r.cfg.Clock.Elapsed()); refused {
		return res
	}
	t, refusal := r.awaitTarget(ctx, j)
	if t == nil {
		return refusal
	}
	r.resetAdmission(t)
	if refusal, ok := r.acquireSlot(ctx, j); !ok {
		return refusal
	}
	defer r.cfg.Uplink.Reserve(r.sizes.large(j.class))()
	now := r.cfg.Clock.Elapsed()
	j.deadline = r.beforeEnd(j.deadline)
	if ctx.Err() != nil || r.aborted.Err() != nil || j.request.callerLeft() {
		r.admission.Release(j.class, 0, false, now)
		return notRun(ReasonCallerGone, 0)
	}
	v := r.cfg.Fleet.View()
	if res, refused := r.refuseHere(v, j, now); refused {
		r.admission.Release(j.class, 0, false, now)
		return res
	}
	if current := v.Target(); current == nil || current.Incarnation != t.Incarnation || r.drainOver(v, now) ||
		j.keyed && !v.Holds(j.request.Key, now) {
		r.admission.Release(j.class, 0, false, now)
		return notRun(ReasonNotOwner, ownerRetryAfter)
	}
	// A request that is not idempotent is not cancelled when its caller disconnects.
	if !j.idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), j.deadline-now)
		defer cancel()
		defer context.AfterFunc(r.aborted, cancel)()
	}
	pace := r.admission.Present(now)
	response, err := r.runGuarded(ctx, j, t, j.deadline-now)
	end := r.cfg.Clock.Elapsed()
	success := err == nil && response.Status < 500
	if errors.Is(err, ErrFull) {
		r.admission.LowerLimit(end)
	}
	r.admission.ReleaseAtPace(j.class, end-now, triage.Lasting(end-now, pace, r.admission.Present(end)), success, end)
	if success {
		r.cfg.Fleet.RecordServiceTime(end - now)
	}
	res := r.classify(ctx, j, t, response, err)
	r.observeSize(j.class, res)
	return res
}

// classify returns the result for the response or the error of the target.
func (r *Router) classify(ctx context.Context, j *job, t *fleet.Target, resp Response, err error) Result {
	now := r.cfg.Clock.Elapsed()
	switch {
	case err == nil:
		return Result{Outcome: proto.Answered, Reason: ReasonAnswered, Response: resp, Sends: 1}
	case errors.Is(err, ErrNotListening):
		// An error means that the fleet's control loop, and with it the node, has ended.
		_ = r.cfg.Fleet.MarkTargetEnded(context.WithoutCancel(ctx), t.Incarnation)
		return notRun(ReasonNoTarget, ownerRetryAfter)
	case errors.Is(err, ErrNotSent):
		return notRun(ReasonNoTarget, ownerRetryAfter)
	case errors.Is(err, poison.ErrQuarantined):
		return notRun(ReasonQuarantined, j.retryAfter(math.MaxInt64, now))
	case errors.Is(err, poison.ErrSuspectRunning):
		return notRun(ReasonQuarantined, suspectRetryAfter)
	case errors.Is(err, ErrRejected):
		after := r.admission.RetryAfter(triage.Request{Class: j.class, Urgency: j.urgency, Deadline: j.deadline}, now)
		res := notRun(ReasonRejected, cmp.Or(after, minRetryAfter))
		res.Sends = 1
		return res
	case errors.Is(err, ErrTooLarge):
		return Result{Outcome: proto.Unknown, Reason: ReasonTooLarge, Sends: 1}
	case errors.Is(err, context.DeadlineExceeded):
		return Result{Outcome: proto.Unknown, Reason: ReasonTimeout, Sends: 1}
	case errors.Is(err, context.Canceled):
		return Result{Outcome: proto.Unknown, Reason: ReasonCallerGone, Sends: 1}
	}
	return Result{Outcome: proto.Unknown, Reason: ReasonNoResponse, Sends: 1}
}

// acquireSlot waits for a slot of the target. It returns the refusal and false
// if none is free in time, or if the link can't send the answer in time.
func (r *Router) acquireSlot(ctx context.Context, j *job) (Result, bool) {
	transfer, backlog := r.expectedTransfer(j)
	w, err := r.admission.Acquire(triage.Request{
		Class: j.class, Urgency: j.urgency, Deadline: j.deadline, Transfer: transfer, Backlog: backlog,
		Nested: r.nested.Observe(j.class, j.request.Origin, r.cfg.Clock.Elapsed()),
	}, r.cfg.Clock.Elapsed())
	if w != nil {
		err = r.awaitStart(ctx, j, w)
	}
	var refusal triage.Refusal
	switch {
	case err == nil:
		return Result{}, true
	case errors.As(err, &refusal) && refusal.Rate:
		return notRun(ReasonLimited, refusal.RetryAfter), false
	case errors.As(err, &refusal) && refusal.Transfer:
		return notRun(ReasonLink, refusal.RetryAfter), false
	case errors.As(err, &refusal):
		return notRun(ReasonNoSlot, refusal.RetryAfter), false
	case errors.Is(err, triage.ErrRefused), errors.Is(err, context.DeadlineExceeded):
		return notRun(ReasonNoSlot, minRetryAfter), false
	}
	return notRun(ReasonCallerGone, 0), false
}

// awaitStart waits until a queued request may start, is refused or gives up. Slots that
// become free start the next request; that its rate allows it, or that it can't end in
// time any more, is found out here.
func (r *Router) awaitStart(ctx context.Context, j *job, w *triage.Waiter) error {
	timer := r.cfg.Clock.NewTimer(j.deadline - r.cfg.Clock.Elapsed())
	defer timer.Stop()
	for {
		now := r.cfg.Clock.Elapsed()
		next := r.admission.Dispatch(now)
		left := min(r.admission.Expiry(w), j.deadline) - now
		if next > 0 {
			left = min(left, next)
		}
		timer.Reset(left)
		select {
		case err := <-w.Done():
			return err
		case <-timer.Chan():
			if r.cfg.Clock.Elapsed() >= j.deadline {
				return r.cancelWait(j, w, triage.ErrRefused)
			}
		case <-ctx.Done():
			return r.cancelWait(j, w, ctx.Err())
		}
	}
}

// cancelWait withdraws a waiting request, or releases the slot if one was
// granted in the meantime.
func (r *Router) cancelWait(j *job, w *triage.Waiter, reason error) error {
	if !r.admission.Cancel(w) {
		if err := <-w.Done(); err != nil {
			return err
		}
		r.admission.Release(j.class, 0, false, r.cfg.Clock.Elapsed())
	}
	return reason
}

// resetAdmission restarts admission control for each new incarnation of the
// target.
func (r *Router) resetAdmission(t *fleet.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Elapsed()
	setRate := func(rate float64) { r.admission.SetRate(rate, now) }
	if r.incarnation != t.Incarnation {
		r.incarnation = t.Incarnation
		r.admission.SetSlots(t.Slots)
		r.limit.reset(setRate)
	}
	r.limit.inherit(t.Limit, now, setRate)
}

// awaitTarget waits until the local target may run the request. It returns a
// nil target and the refusal if it may not.
func (r *Router) awaitTarget(ctx context.Context, j *job) (*fleet.Target, Result) {
	ahead, waits := 0, false // in the queue for a holder of the key
	defer func() {
		if waits {
			r.unheld.addWaiting(-1)
		}
	}()
	for {
		j.deadline = r.beforeEnd(j.deadline)
		v := r.cfg.Fleet.View()
		t := v.Target()
		if t == nil || t.Service != j.service || t.Lost {
			return nil, notRun(ReasonNoTarget, ownerRetryAfter)
		}
		if !j.keyed {
			if t.Leaving {
				return nil, notRun(ReasonNoTarget, leavingRetryAfter)
			}
			return t, Result{}
		}
		owned, _, ok := v.Owner(j.service, j.request.Key)
		if !ok || owned.Node != r.cfg.Name || owned.Owner != t.Incarnation {
			return nil, notRun(ReasonNotOwner, ownerRetryAfter)
		}
		now := r.cfg.Clock.Elapsed()
		if r.drainOver(v, now) {
			return nil, notRun(ReasonNoTarget, ownerRetryAfter)
		}
		if v.Holds(j.request.Key, now) {
			r.unheld.markHeld(owned.Epoch, now)
			return t, Result{}
		}
		if !waits {
			ahead, waits = r.unheld.addWaiting(1)-1, true
		}
		rightEnd, _ := v.PriorRightsEnd(owned)
		wait, retryAfter := r.unheld.waitTime(unheldRequest{
			epoch: owned.Epoch, deadline: j.deadline, rightEnd: rightEnd,
			needs: r.admission.TimeToRun(j.class, ahead),
		}, now)
		if wait <= 0 {
			return nil, notRun(ReasonNoGrant, j.retryAfter(retryAfter, now))
		}
		timer := r.cfg.Clock.NewTimer(wait)
		select {
		case <-v.Changed():
		case <-timer.Chan():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, notRun(ReasonCallerGone, 0)
		}
	}
}
