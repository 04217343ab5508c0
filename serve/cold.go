package serve

import (
	"burdocklift/fleet"
	"burdocklift/triage"
)

// coldSlots is the number of slots with which a cold target counts when a target is chosen: it
// takes a fraction of the requests of a warm one, and what it refuses costs a call.
const coldSlots = 1

// coldLimit returns the limit of the local target while it is cold.
func (r *Router) coldLimit() triage.ColdLimit {
	return triage.ColdLimit(r.cfg.Fleet.View().Cold(r.cfg.Clock.Elapsed()))
}

// slotsFor returns the number of slots with which a target counts when one is chosen.
func (r *Router) slotsFor(v *fleet.View, m fleet.Member) int {
	cold := m.Target.Cold
	if m.Name == r.cfg.Name {
		cold = v.Cold(r.cfg.Clock.Elapsed()).Pace > 0 // the record follows later
	}
	if cold {
		return min(coldSlots, m.Target.Slots)
	}
	return m.Target.Slots
}

// setColdGauges publishes the starts of the last second, and how many are allowed while the
// local target is cold, or -1.
func (r *Router) setColdGauges() {
	starts, limit := r.admission.ColdStarts(r.cfg.Clock.Elapsed())
	r.stats.SetGauge("starts_in_window", int64(starts))
	r.stats.SetGauge("cold_limit", int64(limit))
}
