package fleet

import (
	"context"
	"log/slog"
	"time"

	"burdocklift/span"
)

// Heartbeat applies a heartbeat of the target and returns which keys it may hold. A later
// incarnation gets none before the present one has ended.
func (f *Fleet) Heartbeat(ctx context.Context, hb Heartbeat) (HeartbeatReply, error) {
	var reply HeartbeatReply
	err := f.post(ctx, func(now time.Duration) {
		if f.local.isStale(hb) {
			eventHeartbeatStale.Log(ctx, f.cfg.Log, slog.String("target", hb.Incarnation.Target), slog.Uint64("sequence", hb.Sequence))
			return
		}
		if present := f.local.heartbeat.Incarnation; hb.Incarnation != present && f.local.mayStillRun(now) {
			if f.local.keepSuccessor(hb, now) {
				eventTargetNotReplaced.Log(ctx, f.cfg.Log, slog.String("target", hb.Incarnation.Target), slog.Int64("born", hb.Incarnation.StartedAt),
					slog.String("present", present.Target), slog.Int64("present_born", present.StartedAt))
			}
			return
		}
		f.applyHeartbeat(hb, now)
		f.recordCold(now)
		if f.synced && f.mayGrant(hb.Service) {
			reply = f.local.reply(f.ranges[hb.Service], f.cfg.Name, f.grantRight.validUntil, now)
		}
		f.publish()
	})
	return reply, err
}

// applyHeartbeat applies a heartbeat of the present incarnation, or of one that takes its
// place.
func (f *Fleet) applyHeartbeat(hb Heartbeat, heardAt time.Duration) {
	before := f.local.heartbeat.Target
	departure, departed := f.departures[hb.Incarnation.Target]
	if departed && hb.Incarnation.StartedAt <= departure.maxStartedAt {
		hb.Leaving = true
	}
	f.local.receive(hb, heardAt)
	f.inheritLimit(f.members[f.cfg.Name])
	if hb.Leaving && departure.since > 0 {
		f.local.leavingSince = min(f.local.leavingSince, departure.since)
	}
	if before != f.local.heartbeat.Target {
		f.logTarget(before)
	}
}

// replaceTarget lets the later incarnation that waits take the place of the present one once
// that has ended. It reports whether there is such an incarnation.
func (f *Fleet) replaceTarget(now time.Duration) bool {
	s, ok := f.local.recentSuccessor(now)
	if ok && !f.local.mayStillRun(now) {
		f.applyHeartbeat(s.heartbeat, s.heardAt)
		f.recordCold(now)
		f.publish()
	}
	return ok
}

// departure is what is known of a target that leaves.
type departure struct {
	since        time.Duration
	maxStartedAt int64 // latest start of an incarnation that it applies to, in Unix milliseconds
}

// maxDepartures bounds the departures that are kept. One target at a time runs beside a
// node.
const maxDepartures = 256

// inheritLeaving takes over from the record of an earlier run of this node that its target
// is leaving.
func (f *Fleet) inheritLeaving(m Member) {
	if m.Run == f.run || m.Target == nil || !m.Target.Leaving {
		return
	}
	inc := m.Target.Incarnation
	f.departures[inc.Target] = departure{since: 1, maxStartedAt: inc.StartedAt}
	if f.local.present && f.local.heartbeat.Incarnation == inc {
		f.local.heartbeat.Leaving, f.local.leavingSince = true, 1
	}
}

// startNewRun makes this node continue as another run if its record says that the right of
// this run has ended, or was removed: other nodes rely on the ended run to confirm nothing
// any more.
func (f *Fleet) startNewRun(m Member) {
	if m.Run != f.run {
		return
	}
	f.run = max(f.run+1, f.cfg.Clock.Now().UnixMilli())
	if f.grantRight.lease == m.Lease {
		f.grantRight.lease = 0
	}
}

// ownTarget returns the target for this node's record. A restarted node keeps what its
// earlier run recorded, until the target has been silent for targetLostAfter.
func (f *Fleet) ownTarget(now time.Duration) *Target {
	if f.local.present {
		return f.local.target()
	}
	earlier := f.members[f.cfg.Name].Target
	if earlier == nil {
		return nil
	}
	t := *earlier
	t.Lost = t.Lost || now-f.startedAt > targetLostAfter
	return &t
}

// MarkTargetLeaving records that the target takes no new work.
func (f *Fleet) MarkTargetLeaving(ctx context.Context, target string) error {
	return f.post(ctx, func(now time.Duration) {
		if _, ok := f.departures[target]; !ok && len(f.departures) < maxDepartures {
			f.departures[target] = departure{since: now, maxStartedAt: f.cfg.Clock.Now().UnixMilli()}
			if present := f.local.heartbeat.Incarnation.Target; f.local.present && present != target {
				eventOtherDeparture.Log(ctx, f.cfg.Log, slog.String("target", target), slog.String("present", present))
			}
		}
		if !f.local.present || f.local.heartbeat.Incarnation.Target != target || f.local.heartbeat.Leaving {
			return
		}
		before := f.local.heartbeat.Target
		f.local.heartbeat.Leaving = true
		f.local.leavingSince = now
		f.logTarget(before)
		f.publish()
	})
}

// MarkTargetEnded records that no process listens at the target's address any more, so
// that it holds nothing. A leaving target closes its address before its work ends, so the
// call has no effect on it.
func (f *Fleet) MarkTargetEnded(ctx context.Context, inc span.Incarnation) error {
	return f.post(ctx, func(now time.Duration) {
		if !f.local.present || f.local.heartbeat.Incarnation != inc || f.local.heartbeat.Lost || f.local.heartbeat.Leaving {
			return
		}
		before := f.local.heartbeat.Target
		f.local.markEnded(now)
		f.local.coldness.forget(now)
		f.logTarget(before)
		f.publish()
	})
}

func (f *Fleet) logTarget(before Target) {
	t := f.local.heartbeat.Target
	eventTargetChanged.Log(context.Background(), f.cfg.Log,
		slog.String("target", t.Incarnation.Target), slog.String("earlier", before.Incarnation.Target),
		slog.Int64("born", t.Incarnation.StartedAt), slog.Bool("leaving", t.Leaving), slog.Bool("lost", t.Lost))
}

// checkHeartbeat marks the target as lost when its heartbeats have stopped.
func (f *Fleet) checkHeartbeat(now time.Duration) {
	f.recordLimit(now)
	if f.local.coldness.clearAt > 0 || f.local.heartbeat.Cold {
		f.recordCold(now)
	}
	if f.replaceTarget(now) {
		return // the keys of a restarted target stay with it
	}
	if f.local.present && !f.local.heartbeat.Lost && now-f.local.heardAt > targetLostAfter {
		before := f.local.heartbeat.Target
		f.local.heartbeat.Lost = true
		f.logTarget(before)
		f.local.coldness.forget(now)
		f.publish()
	}
}
