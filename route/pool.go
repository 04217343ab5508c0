package route

import (
	"context"
	"errors"
	"net/http"

	"burdocklift/pick"
	"burdocklift/proto"
	"burdocklift/shard"
)

// handleUnkeyed sends a request to one of the hosts of a service without keys.
func (r *Router) handleUnkeyed(ctx context.Context, req *request) Result {
	policy := r.policy(req)
	policy.Budget().RecordFirst()
	for number := 1; ; number++ {
		res := r.attemptUnkeyed(ctx, req)
		r.recordAttempt(req, res)
		if res.Outcome == proto.Answered || ctx.Err() != nil || !retryableUnkeyed(req, res) {
			return res
		}
		v := r.decideRetry(policy, req, res, number)
		if !v.ShouldRetry() || !r.sleep(ctx, v.Delay) {
			return res
		}
	}
}

// retryableUnkeyed reports whether an attempt at another host is permitted and
// may succeed. A host without a target is also retried, since other hosts may
// have one.
func retryableUnkeyed(req *request, res Result) bool {
	return retryable(req, res) || res.Outcome == proto.NotRun && res.Reason == ReasonNoTarget
}

// attemptUnkeyed sends a request to a host selected by the picker.
func (r *Router) attemptUnkeyed(ctx context.Context, req *request) Result {
	view := r.control.View()
	var candidates []pick.Candidate
	hosts := make(map[string]*shard.Host)
	for _, h := range view.Hosts() {
		if h.Member.Service == req.service.Name && h.Serving() {
			name := h.Member.ID.String()
			hosts[name] = h
			candidates = append(candidates, pick.Candidate{
				Name: name, DataCentre: h.Member.Place.DataCentre, Region: h.Member.Place.Region, Slots: h.Member.Slots,
			})
		}
	}
	c, ok := r.picker.Pick(candidates)
	if !ok {
		return notRun(ReasonNoTarget, http.StatusServiceUnavailable)
	}
	var res Result
	defer func() {
		r.picker.Done(c, pick.Result{
			Success:   res.Outcome == proto.Answered && res.Status < http.StatusInternalServerError,
			Busy:      res.Reason == ReasonQueueFull || res.Reason == ReasonShed || res.Reason == ReasonDeadlineUnmeetable,
			Abandoned: res.Reason == ReasonCallerLeft || errors.Is(ctx.Err(), context.Canceled),
		})
	}()
	if h := hosts[c.Name]; h.Member.ID == view.Self() {
		res = r.serveAsOwner(ctx, req)
	} else {
		res = r.forward(ctx, req, h, 0)
	}
	return res
}
