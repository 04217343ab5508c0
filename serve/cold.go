package serve

import (
	"context"
	"slices"

	"burdocklift/fleet"
	"burdocklift/pick"
	"burdocklift/triage"
)

// coldSlots is the number of slots with which a cold target counts when a target is chosen: it
// takes a fraction of the requests of a warm one, and what it refuses costs a call.
const coldSlots = 1

// coldLimit returns the limit of the local target while it is cold.
func (r *Router) coldLimit() triage.ColdLimit {
	return triage.ColdLimit(r.cfg.Fleet.View().Cold(r.cfg.Clock.Elapsed()))
}

// forgetColdness makes the local target count as cold after a crash, as it may have restarted
// under the same id.
func (r *Router) forgetColdness(ctx context.Context, service string) {
	if set := r.cfg.Fleet.View().Rules(); set != nil {
		if s, _ := set.Service(service); s.ColdRate == 0 {
			return
		}
	}
	// An error means that the fleet's control loop, and with it the node, has ended.
	_ = r.cfg.Fleet.ForgetColdness(context.WithoutCancel(ctx))
}

// slotsFor returns the number of slots with which a target counts when one is chosen.
func (r *Router) slotsFor(v *fleet.View, m fleet.Member) int {
	if r.isCold(v, m) {
		return min(coldSlots, m.Target.Slots)
	}
	return m.Target.Slots
}

// isCold reports whether the target beside a node is cold.
func (r *Router) isCold(v *fleet.View, m fleet.Member) bool {
	if m.Name == r.cfg.Name {
		return v.Cold(r.cfg.Clock.Elapsed()).Pace > 0 // the record follows later
	}
	return m.Target != nil && m.Target.Cold
}

// skipCold removes the cold targets from the candidates after a cold one has refused a request
// for its limit, if there are others: targets of a data centre are often cold together, and
// only a few are tried.
func (r *Router) skipCold(v *fleet.View, refusing fleet.Member, reason Reason, candidates []pick.Candidate) []pick.Candidate {
	if reason != ReasonLimited || !r.isCold(v, refusing) {
		return candidates
	}
	warm := slices.DeleteFunc(slices.Clone(candidates), func(c pick.Candidate) bool {
		m, _ := v.Member(c.Name)
		return r.isCold(v, m)
	})
	if len(warm) == 0 {
		return candidates
	}
	return warm
}

// setColdGauges publishes the starts of the last second, and how many are allowed while the
// local target is cold, or -1.
func (r *Router) setColdGauges() {
	starts, limit := r.admission.ColdStarts(r.cfg.Clock.Elapsed())
	r.stats.SetGauge("starts_in_window", int64(starts))
	r.stats.SetGauge("cold_limit", int64(limit))
}
