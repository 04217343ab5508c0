package fleet

import (
	"context"
	"math"
	"time"

	"burdocklift/span"
)

const (
	// limitRecordInterval is the time between two changes of a target's limit in its node's
	// record, so that a limit that varies costs the store few writes.
	limitRecordInterval = 2 * time.Second
	// limitTolerance is the relative change of a limit up to which the record stays.
	limitTolerance = 0.2
)

// SetTargetLimit records the limit that the target beside this node names, in requests a
// second, or 0 for none. A later run of this node and the planning node go by the record.
func (f *Fleet) SetTargetLimit(ctx context.Context, inc span.Incarnation, limit float64) error {
	return f.post(ctx, func(now time.Duration) {
		if !f.local.present || f.local.heartbeat.Incarnation != inc {
			return
		}
		f.local.limit, f.local.limitKnown = limit, true
		f.recordLimit(now)
	})
}

// recordLimit takes the limit of the target over into this node's record, if that is due.
func (f *Fleet) recordLimit(now time.Duration) {
	l := &f.local
	recorded := l.heartbeat.Limit
	similar := (l.limit == 0) == (recorded == 0) && math.Abs(l.limit-recorded) <= limitTolerance*recorded
	if !l.limitKnown || similar || now-l.limitRecordedAt < limitRecordInterval && l.limitRecordedAt > 0 {
		return
	}
	l.heartbeat.Limit, l.limitRecordedAt = l.limit, now
	f.publish()
}

// inheritLimit takes the limit of the target over from this node's record, which an earlier
// run may have written.
func (f *Fleet) inheritLimit(m Member) {
	t := m.Target
	if t != nil && !f.local.limitKnown && t.Incarnation == f.local.heartbeat.Incarnation {
		f.local.heartbeat.Limit = t.Limit
	}
}
