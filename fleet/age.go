package fleet

import (
	"context"
	"log/slog"
	"time"
)

// freshness tells how old the records are that a node knows. It is owned by the loop.
type freshness struct {
	confirmedAt time.Duration // when the store last confirmed that there is no newer record
	relay       string        // name of the relay, of this node if it watches the store, or empty
}

// age returns the time since the store last confirmed what this node knows.
func (fr *freshness) age(now time.Duration) time.Duration { return now - fr.confirmedAt }

// ageMs returns the age in milliseconds for other nodes, at least 1, as those of earlier
// versions send none.
func (fr *freshness) ageMs(now time.Duration) int64 { return max(fr.age(now).Milliseconds(), 1) }

// confirm records that nothing was newer than what this node knows at a time.
func (fr *freshness) confirm(at time.Duration) { fr.confirmedAt = max(fr.confirmedAt, at) }

// confirmThrough records the age of what another node knows, in milliseconds or 0 if it did
// not say, if this node knows as much.
func (f *Fleet) confirmThrough(rev uint64, ageMs int64, now time.Duration) {
	if ageMs > 0 && f.knownRev >= rev {
		f.freshness.confirm(now - time.Duration(ageMs)*time.Millisecond)
	}
}

// noteRelay logs a change of the relay.
func (f *Fleet) noteRelay(ctx context.Context, relay string, now time.Duration) {
	if relay == f.freshness.relay {
		return
	}
	eventRelayChanged.Log(ctx, f.cfg.Log, slog.String("relay", relay), slog.String("earlier", f.freshness.relay),
		slog.Uint64("rev", f.knownRev), slog.Int64("age_ms", f.freshness.age(now).Milliseconds()))
	f.freshness.relay = relay
}
