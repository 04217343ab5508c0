package lease

import (
	"slices"
	"time"

	"burdocklift/proto"
)

// Revocation collects the refusals that revoke the lease of a marked host. The zero
// value is ready to use.
type Revocation struct {
	ends map[proto.HostID]time.Time // end of the witness's last grant on the local clock
}

// AddRefusal records the refusal of a witness. remaining is the time, on the
// witness's clock, until its last grant has ended.
func (r *Revocation) AddRefusal(now time.Time, timing proto.Timing, witness proto.HostID, remaining time.Duration) {
	if r.ends == nil {
		r.ends = make(map[proto.HostID]time.Time)
	}
	if _, ok := r.ends[witness]; !ok {
		r.ends[witness] = now.Add(timing.Stretch(remaining))
	}
}

// HasRefused reports whether a witness has refused.
func (r *Revocation) HasRefused(witness proto.HostID) bool {
	_, ok := r.ends[witness]
	return ok
}

// EndsAt returns the time from which the lease has certainly ended: a quorum would
// need a grant of a witness that has refused, and those grants have expired. It
// reports false while too few witnesses have refused.
func (r *Revocation) EndsAt(witnesses []proto.HostID) (time.Time, bool) {
	need := BlockingQuorum(len(witnesses))
	ends := make([]time.Time, 0, len(witnesses))
	for _, w := range witnesses {
		if end, ok := r.ends[w]; ok {
			ends = append(ends, end)
		}
	}
	if len(ends) < need {
		return time.Time{}, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[need-1], true
}
