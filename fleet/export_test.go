package fleet

import (
	"context"
	"fmt"
	"time"
)

// Freeze stops the control loop for a time, as a paused process would.
func (f *Fleet) Freeze(d time.Duration) {
	go func() {
		select {
		case f.steps <- step{run: func(time.Duration) { time.Sleep(d) }}:
		case <-f.done:
		}
	}()
}

// SkipRightWait makes a node take over keys without waiting for the end of the earlier
// owner's right.
func (f *Fleet) SkipRightWait() {
	f.revoker.skipRightWait = true
	f.planner.lostAfter = 1300 * time.Millisecond
}

// Dump describes what a node knows.
func (f *Fleet) Dump() string {
	out := ""
	_ = f.post(context.Background(), func(now time.Duration) {
		out = fmt.Sprintf("lease %d right %v synced %v busy %v until %v leads %v local present %v lost %v leaving %v incarnation %v holds %v\n",
			f.grantRight.lease, f.grantRight.validUntil-now, f.synced, f.writer.busy, f.writer.nextAttempt-now, f.planner.leads.Load(), f.local.present, f.local.heartbeat.Lost, f.local.heartbeat.Leaving, f.local.heartbeat.Incarnation, f.local.heartbeat.Holds)
		for s, m := range f.ranges {
			out += fmt.Sprintf("  %s rev %d rules %v\n", s, f.items[prefixRanges+s].Rev, f.rules != nil)
			for _, r := range m.Ranges {
				out += fmt.Sprintf("    %d-%d epoch %d owner %v at %s prior %v\n", r.From, r.To, r.Epoch, r.Owner, r.Node, r.Prior)
			}
		}
		for n, m := range f.members {
			out += fmt.Sprintf("  member %s lease %d target %+v\n", n, m.Lease, m.Target)
		}
	})
	return out
}
