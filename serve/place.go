package serve

import (
	"strings"
	"time"

	"burdocklift/fleet"
	"burdocklift/place"
)

// regionRetryAfter is the retry-after of a request that no target in the regions of its
// route may run. A target that starts announces itself within 0.9 s.
const regionRetryAfter = time.Second

// work returns the request as work to be placed. The route is that of the newest rules which
// this node knows: those of the node that forwarded the request may be older.
func (r *Router) work(v *fleet.View, j *job) place.Work {
	w := place.Work{Regions: j.regions}
	if set := v.Rules(); set != nil {
		path, _, _ := strings.Cut(j.request.Path, "?")
		if route, ok := set.Match(j.request.Host, path); ok {
			w.Regions = route.Regions
		}
	}
	return w
}

// refuseHere returns the refusal of a request that the local target may not run because of
// its region, and true.
func (r *Router) refuseHere(v *fleet.View, j *job, now time.Duration) (Result, bool) {
	here := place.Target{DataCentre: r.cfg.DataCentre, Region: r.cfg.Region}
	return r.refusePlace(j, v.Policy().Check(r.work(v, j), here), now)
}

// refusePlace returns the refusal of a request that a target may not take, and true.
func (r *Router) refusePlace(j *job, d place.Denial, now time.Duration) (Result, bool) {
	switch d {
	case place.Region:
		return notRun(ReasonRegion, j.retryAfter(regionRetryAfter, now)), true
	case place.Draining:
		return notRun(ReasonNoTarget, ownerRetryAfter), true
	}
	return Result{}, false
}

// refusedByPlace reports whether a result tells that the target may not take the request, which
// says nothing about the target's health.
func refusedByPlace(res Result) bool { return res.Reason == ReasonRegion }

// refuseUnplaced returns the refusal of a request without a key that no target may take. Of the
// targets of its service, all that it could reach would be forbidden.
func (r *Router) refuseUnplaced(v *fleet.View, j *job, now time.Duration) Result {
	denials := make(map[place.Denial]bool)
	w := r.work(v, j)
	v.Members(func(m fleet.Member) {
		if m.Target != nil && m.Target.Service == j.service && !m.Revoked {
			denials[v.Policy().Check(w, place.Target{DataCentre: m.DataCentre, Region: m.Region})] = true
		}
	})
	if !denials[place.Allowed] && denials[place.Region] {
		res, _ := r.refusePlace(j, place.Region, now)
		return res
	}
	return notRun(ReasonNoTarget, notReadyRetryAfter)
}
