package route

import (
	"context"
	"net/http"

	"burdocklift/pick"
	"burdocklift/proto"
	"burdocklift/shard"
)

// enterUnkeyed sends a request to one of the hosts of a service without keys.
func (r *Router) enterUnkeyed(ctx context.Context, req *request) Result {
	policy := r.policy(req)
	policy.Budget().RecordFirst()
	for number := 1; ; number++ {
		res := r.attemptAny(ctx, req)
		r.attempted(req, res)
		if res.Outcome == proto.Answered || ctx.Err() != nil || !repeatsAny(req, res) {
			return res
		}
		v := r.decide(policy, req, res, number)
		if !v.ShouldRetry() || !r.sleep(ctx, v.Delay) {
			return res
		}
	}
}

// repeatsAny reports whether another host may succeed. A host without a target
// is no reason to give up, as others have one.
func repeatsAny(req *request, res Result) bool {
	return repeats(req, res) || res.Outcome == proto.NotRun && res.Reason == ReasonNoTarget
}

func (r *Router) attemptAny(ctx context.Context, req *request) Result {
	view := r.control.View()
	var fit []pick.Candidate
	hosts := make(map[string]*shard.Host)
	for _, h := range view.Hosts() {
		if h.Member.Service == req.service.Name && h.Serving() {
			name := h.Member.ID.String()
			hosts[name] = h
			fit = append(fit, pick.Candidate{
				Name: name, DataCentre: h.Member.Place.DataCentre, Region: h.Member.Place.Region, Slots: h.Member.Slots,
			})
		}
	}
	c, ok := r.picker.Pick(fit)
	if !ok {
		return notRun(ReasonNoTarget, http.StatusServiceUnavailable)
	}
	var res Result
	defer func() {
		r.picker.Done(c, pick.Result{
			Success: res.Outcome == proto.Answered && res.Status < http.StatusInternalServerError,
			Busy:    res.Reason == ReasonQueue || res.Reason == ReasonShed || res.Reason == ReasonOverload,
		})
	}()
	if h := hosts[c.Name]; h.Member.ID == view.Self() {
		res = r.own(ctx, req)
	} else {
		res = r.forward(ctx, req, h, 0)
	}
	return res
}
