package serve

import (
	"context"
	"errors"
	"time"

	"burdocklift/fleet"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/triage"
)

const (
	// ownerAfter is when callers are told to return whose key has no owner yet.
	ownerAfter = 400 * time.Millisecond
	// drainMargin is kept from the time in which a target that leaves may still
	// get requests.
	drainMargin = 300 * time.Millisecond
	// minAfter and maxAfter bound the advice to callers.
	minAfter = 100 * time.Millisecond
	maxAfter = 2 * time.Second
	// leavingAfter is when callers return whose target leaves: others take over
	// its requests at once.
	leavingAfter = 100 * time.Millisecond
)

// job is a request as the node beside its target sees it.
type job struct {
	call    *Call
	service string
	class   string
	urgency int
	keyed   bool
	repeats bool
	age     time.Duration // since the caller's first attempt
	aim     time.Duration // moment up to which an answer has its full value
	ends    time.Duration // by this node's clock
	tried   []string      // nodes whose targets got the request
}

// runLocal runs a request on the target beside this node.
func (r *Router) runLocal(ctx context.Context, j *job) Result {
	t, refusal := r.awaitTarget(ctx, j)
	if t == nil {
		return refusal
	}
	r.prepare(t)
	if refusal, ok := r.enter(ctx, j); !ok {
		return refusal
	}
	now := r.cfg.Clock.Elapsed()
	if ctx.Err() != nil || r.cut.Err() != nil {
		r.desk.Release(j.class, 0, false, now)
		return notRun(ReasonGone, 0)
	}
	v := r.cfg.Fleet.View()
	if current := v.Target(); current == nil || current.Life != t.Life || r.left(v, now) ||
		j.keyed && !v.Holds(j.call.Key, now) {
		r.desk.Release(j.class, 0, false, now)
		return notRun(ReasonMoved, ownerAfter)
	}
	// A request that must not run twice is not broken off when its caller leaves.
	if !j.repeats {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), j.ends-now)
		defer cancel()
		defer context.AfterFunc(r.cut, cancel)()
	}
	answer, err := r.run(ctx, j, t, j.ends-now)
	end := r.cfg.Clock.Elapsed()
	success := err == nil && answer.Status < 500
	if errors.Is(err, ErrFull) {
		r.desk.LowerLimit(end)
	}
	r.desk.Release(j.class, end-now, success, end)
	if success {
		r.cfg.Fleet.Worked(end - now)
	}
	return r.classify(ctx, t, answer, err)
}

func (r *Router) classify(ctx context.Context, t *fleet.Target, a Answer, err error) Result {
	switch {
	case err == nil:
		return Result{Outcome: proto.Answered, Reason: ReasonAnswered, Answer: a, Sends: 1}
	case errors.Is(err, ErrRefused):
		// An error means that the control loop has ended, and the node with it.
		_ = r.cfg.Fleet.Ended(context.WithoutCancel(ctx), t.Life)
		return notRun(ReasonTarget, ownerAfter)
	case errors.Is(err, ErrNotSent):
		return notRun(ReasonTarget, ownerAfter)
	case errors.Is(err, poison.ErrQuarantined):
		return notRun(ReasonQuarantined, maxAfter)
	case errors.Is(err, poison.ErrSuspectRunning):
		return notRun(ReasonQuarantined, suspectAfter)
	case errors.Is(err, ErrRejected):
		res := notRun(ReasonRejected, minAfter)
		res.Sends = 1
		return res
	case errors.Is(err, context.DeadlineExceeded):
		return Result{Outcome: proto.Unknown, Reason: ReasonTimeout, Sends: 1}
	case errors.Is(err, context.Canceled):
		return Result{Outcome: proto.Unknown, Reason: ReasonGone, Sends: 1}
	}
	return Result{Outcome: proto.Unknown, Reason: ReasonBroken, Sends: 1}
}

// enter waits for a slot of the target. It returns false and the refusal if
// there is none in time.
func (r *Router) enter(ctx context.Context, j *job) (Result, bool) {
	w, err := r.desk.Acquire(triage.Request{
		Class: j.class, Urgency: j.urgency, Age: j.age, Objective: j.aim, Deadline: j.ends,
	}, r.cfg.Clock.Elapsed())
	if w != nil {
		timer := r.cfg.Clock.NewTimer(j.ends - r.cfg.Clock.Elapsed())
		defer timer.Stop()
		select {
		case err = <-w.Done():
		case <-timer.Chan():
			err = r.abandon(j, w, triage.ErrRefused)
		case <-ctx.Done():
			err = r.abandon(j, w, ctx.Err())
		}
	}
	var refusal triage.Refusal
	switch {
	case err == nil:
		return Result{}, true
	case errors.As(err, &refusal):
		return notRun(ReasonFull, refusal.RetryAfter), false
	case errors.Is(err, triage.ErrRefused), errors.Is(err, context.DeadlineExceeded):
		return notRun(ReasonFull, minAfter), false
	}
	return notRun(ReasonGone, 0), false
}

// abandon takes back a request that waits, or leaves a slot granted meanwhile.
func (r *Router) abandon(j *job, w *triage.Waiter, reason error) error {
	if !r.desk.Cancel(w) {
		if err := <-w.Done(); err != nil {
			return err
		}
		r.desk.Release(j.class, 0, false, r.cfg.Clock.Elapsed())
	}
	return reason
}

// prepare sets the slots anew for each life of the target.
func (r *Router) prepare(t *fleet.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == t.Life {
		return
	}
	r.life = t.Life
	r.desk.SetSlots(t.Slots)
}

// awaitTarget returns the target as soon as it may run the request.
func (r *Router) awaitTarget(ctx context.Context, j *job) (*fleet.Target, Result) {
	for {
		v := r.cfg.Fleet.View()
		t := v.Target()
		if t == nil || t.Service != j.service || t.Lost {
			return nil, notRun(ReasonTarget, ownerAfter)
		}
		if !j.keyed {
			if t.Leaving {
				return nil, notRun(ReasonTarget, leavingAfter)
			}
			return t, Result{}
		}
		owned, _, ok := v.Owner(j.service, j.call.Key)
		if !ok || owned.Node != r.cfg.Name || owned.Owner != t.Life {
			return nil, notRun(ReasonMoved, ownerAfter)
		}
		now := r.cfg.Clock.Elapsed()
		if r.left(v, now) {
			return nil, notRun(ReasonTarget, ownerAfter)
		}
		if v.Holds(j.call.Key, now) {
			r.gaps.held(owned.Epoch)
			return t, Result{}
		}
		wait, after := r.gaps.wait(owned.Epoch, j, now)
		if at, ok := v.Settles(owned); ok && at > now+wait {
			wait, after = 0, min(at-now, maxAfter)
		}
		if wait <= 0 {
			return nil, notRun(ReasonGrant, after)
		}
		timer := r.cfg.Clock.NewTimer(wait)
		select {
		case <-v.Changed():
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return nil, notRun(ReasonGone, 0)
		}
		timer.Stop()
	}
}
