package serve

import (
	"maps"
	"slices"
	"strings"
	"time"

	"burdocklift/fleet"
	"burdocklift/place"
)

// regionRetryAfter is the retry-after of a request that no target in the regions of its
// route may run. A target that starts announces itself within 0.9 s.
const regionRetryAfter = time.Second

// evacuatedRetryAfter is the retry-after of a request for a target of an evacuated data centre.
// Keys that have not moved yet do so within about one heartbeat.
const evacuatedRetryAfter = 500 * time.Millisecond

// work returns the request as work to be placed, not bound to a target. The route is that of
// the newest rules which this node knows: those of the node that forwarded the request may be
// older.
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

// refuseHere returns the refusal of a request that has arrived at the node of its target and
// may not run there, because of its region or an evacuation, and true.
func (r *Router) refuseHere(v *fleet.View, j *job, now time.Duration) (Result, bool) {
	here := place.Target{DataCentre: r.cfg.DataCentre, Region: r.cfg.Region}
	w := r.work(v, j)
	w.Bound = true
	return r.refusePlace(j, v.Policy().Check(w, here, now), now)
}

// refusePlace returns the refusal of a request that a target may not take, and true.
func (r *Router) refusePlace(j *job, d place.Denial, now time.Duration) (Result, bool) {
	switch d {
	case place.Region:
		return notRun(ReasonRegion, j.retryAfter(regionRetryAfter, now)), true
	case place.Evacuated:
		return notRun(ReasonEvacuated, j.retryAfter(evacuatedRetryAfter, now)), true
	case place.Draining:
		return notRun(ReasonNoTarget, ownerRetryAfter), true
	}
	return Result{}, false
}

// refusedByPlace reports whether a result tells that the target may not take the request, which
// says nothing about the target's health.
func refusedByPlace(res Result) bool {
	return res.Reason == ReasonRegion || res.Reason == ReasonEvacuated
}

// refuseUnplaced returns the refusal of a request without a key that no target may take. Of the
// targets of its service, all that it could reach would be forbidden.
func (r *Router) refuseUnplaced(v *fleet.View, j *job, now time.Duration) Result {
	denials := make(map[place.Denial]bool)
	w := r.work(v, j)
	v.Members(func(m fleet.Member) {
		if m.Target != nil && m.Target.Service == j.service && !m.Revoked {
			denials[v.Policy().Check(w, place.Target{DataCentre: m.DataCentre, Region: m.Region}, now)] = true
		}
	})
	if !denials[place.Allowed] {
		for _, d := range []place.Denial{place.Evacuated, place.Region} {
			if res, refused := r.refusePlace(j, d, now); refused && denials[d] {
				return res
			}
		}
	}
	return notRun(ReasonNoTarget, notReadyRetryAfter)
}

// setEvacuationGauges sets the metrics of evacuations. Those of evacuations that have ended
// become zero.
func (r *Router) setEvacuationGauges() {
	v := r.cfg.Fleet.View()
	evacuations := v.Policy().Evacuations()
	r.mu.Lock()
	ended := slices.DeleteFunc(slices.Clone(r.evacuated), func(dc string) bool { _, ok := evacuations[dc]; return ok })
	r.evacuated = slices.Sorted(maps.Keys(evacuations))
	r.mu.Unlock()
	for _, dc := range ended {
		r.stats.SetGauge("evacuation_"+dc+"_since", 0)
		r.stats.SetGauge("evacuation_"+dc+"_targets", 0)
	}
	for dc, e := range evacuations {
		r.stats.SetGauge("evacuation_"+dc+"_since", e.Since.Unix())
		r.stats.SetGauge("evacuation_"+dc+"_targets", r.targetsInUse(v, dc))
	}
}

// targetsInUse returns how many targets of a data centre own keys, or run requests that this
// node knows of.
func (r *Router) targetsInUse(v *fleet.View, dataCentre string) int64 {
	running, _, _ := r.admission.Load()
	owners, n := v.KeyOwners(), int64(0)
	v.Members(func(m fleet.Member) {
		if m.DataCentre != dataCentre || m.Target == nil || m.Target.Lost {
			return
		}
		if owners[m.Name] || m.Name == r.cfg.Name && running > 0 || r.picker(m.Target.Service).InFlight(m.Name) > 0 {
			n++
		}
	})
	return n
}
