package lease

import (
	"slices"
	"time"

	"burdocklift/proto"
)

// Ending collects the refusals that revoke the lease of a marked host. The zero
// value is ready to use.
type Ending struct {
	ends map[proto.HostID]time.Time // end of the witness's last grant on the local clock
}

// Refused records the refusal of a witness. remaining is the time, on the
// witness's clock, until its last grant has ended.
func (e *Ending) Refused(now time.Time, timing proto.Timing, witness proto.HostID, remaining time.Duration) {
	if e.ends == nil {
		e.ends = make(map[proto.HostID]time.Time)
	}
	if _, ok := e.ends[witness]; !ok {
		e.ends[witness] = now.Add(timing.Stretch(remaining))
	}
}

// Has reports whether a witness has refused.
func (e *Ending) Has(witness proto.HostID) bool {
	_, ok := e.ends[witness]
	return ok
}

// At returns the time from which the lease has certainly ended: a quorum would
// need a grant of a witness that has refused, and those grants have expired. It
// reports false while too few witnesses have refused.
func (e *Ending) At(witnesses []proto.HostID) (time.Time, bool) {
	need := Blocking(len(witnesses))
	ends := make([]time.Time, 0, len(witnesses))
	for _, w := range witnesses {
		if end, ok := e.ends[w]; ok {
			ends = append(ends, end)
		}
	}
	if len(ends) < need {
		return time.Time{}, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[need-1], true
}
