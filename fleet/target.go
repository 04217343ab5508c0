package fleet

import (
	"context"
	"log/slog"
	"time"

	"burdocklift/span"
)

// Heartbeat takes in what the target says of itself and returns which keys it
// is to hold.
func (f *Fleet) Heartbeat(ctx context.Context, b Heartbeat) (HeartbeatReply, error) {
	var reply HeartbeatReply
	err := f.post(ctx, func(now time.Duration) {
		if f.local.stale(b) {
			eventHeartbeatStale.Log(ctx, f.cfg.Log, slog.String("target", b.Life.Target), slog.Uint64("sequence", b.Sequence))
			return
		}
		before := f.local.beat.Target
		if d, ok := f.left[b.Life.Target]; ok && b.Life.StartedAt <= d.born {
			b.Leaving = true
		}
		f.local.hear(b, now)
		if b.Leaving && f.left[b.Life.Target].at > 0 {
			f.local.leftAt = min(f.local.leftAt, f.left[b.Life.Target].at)
		}
		if before != f.local.beat.Target {
			f.logTarget(before)
		}
		if f.synced {
			reply = f.local.reply(f.ranges[b.Service], f.cfg.Name, f.right.until, now)
		}
		f.publish()
	})
	return reply, err
}

// departure is what is known of a target that leaves.
type departure struct {
	at   time.Duration
	born int64 // lives that started later, in Unix milliseconds, are others
}

// maxDepartures bounds the departures that are remembered. One target at a time
// runs beside a node.
const maxDepartures = 256

// inherit takes over from an earlier run of this node that its target leaves.
func (f *Fleet) inherit(m Member) {
	if m.Run == f.run || m.Target == nil || !m.Target.Leaving {
		return
	}
	life := m.Target.Life
	f.left[life.Target] = departure{at: 1, born: life.StartedAt}
	if f.local.present && f.local.beat.Life == life {
		f.local.beat.Leaving, f.local.leftAt = true, 1
	}
}

// end makes this node another run, as its record of this one says that its right has
// ended or is gone: others take it that the run confirms nothing any more.
func (f *Fleet) end(m Member) {
	if m.Run != f.run {
		return
	}
	f.run = max(f.run+1, f.cfg.Clock.Now().UnixMilli())
	if f.right.lease == m.Lease {
		f.right.lease = 0
	}
}

// ownTarget is what this node's record says of the target beside it. A node that
// has started again keeps what its earlier run said, until the target is silent for
// as long as counts as lost.
func (f *Fleet) ownTarget(now time.Duration) *Target {
	if f.local.present {
		return f.local.target()
	}
	earlier := f.members[f.cfg.Name].Target
	if earlier == nil {
		return nil
	}
	t := *earlier
	t.Lost = t.Lost || now-f.started > lostAfter
	return &t
}

// Leave notes that the target takes no new work.
func (f *Fleet) Leave(ctx context.Context, target string) error {
	return f.post(ctx, func(now time.Duration) {
		if _, ok := f.left[target]; !ok && len(f.left) < maxDepartures {
			f.left[target] = departure{at: now, born: f.cfg.Clock.Now().UnixMilli()}
		}
		if !f.local.present || f.local.beat.Life.Target != target || f.local.beat.Leaving {
			return
		}
		before := f.local.beat.Target
		f.local.beat.Leaving = true
		f.local.leftAt = now
		f.logTarget(before)
		f.publish()
	})
}

// Ended notes that no process listens at the target's address any more, so that
// it holds nothing. A target that leaves closes its address before its work ends, so
// that nothing follows for it.
func (f *Fleet) Ended(ctx context.Context, life span.Incarnation) error {
	return f.post(ctx, func(now time.Duration) {
		if !f.local.present || f.local.beat.Life != life || f.local.beat.Lost || f.local.beat.Leaving {
			return
		}
		before := f.local.beat.Target
		f.local.lose(now)
		f.logTarget(before)
		f.publish()
	})
}

func (f *Fleet) logTarget(before Target) {
	t := f.local.beat.Target
	eventTargetChanged.Log(context.Background(), f.cfg.Log,
		slog.String("target", t.Life.Target), slog.String("earlier", before.Life.Target),
		slog.Int64("born", t.Life.StartedAt), slog.Bool("leaving", t.Leaving), slog.Bool("lost", t.Lost))
}

// tick notices what time alone changes.
func (f *Fleet) tick(now time.Duration) {
	if f.local.present && !f.local.beat.Lost && now-f.local.heard > lostAfter {
		before := f.local.beat.Target
		f.local.beat.Lost = true
		f.logTarget(before)
		f.publish()
	}
}
