package fleet

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"burdocklift/place"
	"burdocklift/span"
	"burdocklift/store"
)

const (
	// defaultEvacuationTime is the time within which no request reaches targets of an evacuated
	// data centre any more, if the configuration names none.
	defaultEvacuationTime = 5 * time.Second
	// evacuationGrace is how long after a node learned of an evacuation targets of the data
	// centre still get requests that can't go elsewhere at once. All nodes know records within
	// 2 s, and keys move within 1.3 s after that.
	evacuationGrace = 2500 * time.Millisecond
	// evacuationMargin is kept between the last request to such a target and the end of the
	// evacuation time. A request takes 17 ms to the node of the target at most, and the answer of
	// the store to the operator's write as long.
	evacuationMargin = 500 * time.Millisecond
)

// setPolicy derives the policy from the rules in force.
func (f *Fleet) setPolicy() {
	earlier := f.policy
	f.policy = place.New(f.rules, earlier.Evacuations())
	for _, service := range f.policy.Conflicts() {
		if !slices.Contains(earlier.Conflicts(), service) {
			eventNoCommonRegion.Log(context.Background(), f.cfg.Log, slog.String("service", service))
		}
	}
}

// isEvacuation reports whether a key is that of a request to evacuate a data centre.
func (f *Fleet) isEvacuation(key string) bool {
	return f.cfg.EvacuationPrefix != "" && strings.HasPrefix(key, f.cfg.EvacuationPrefix)
}

// applyEvacuation applies a request to evacuate a data centre, or its withdrawal. A record that
// is written again changes nothing.
func (f *Fleet) applyEvacuation(it store.Item, from source) error {
	dataCentre := strings.TrimPrefix(it.Key, f.cfg.EvacuationPrefix)
	if dataCentre == "" {
		return fmt.Errorf("%w: %s: expected a data centre at the end of the key", ErrRecord, it.Key)
	}
	now := f.cfg.Clock.Elapsed()
	e, known := f.policy.Evacuations()[dataCentre]
	if known != it.Removed {
		return nil
	}
	evacuations := maps.Clone(f.policy.Evacuations())
	attrs := []slog.Attr{slog.String("data_centre", dataCentre), slog.Uint64("rev", it.Rev), slog.String("source", string(from))}
	if it.Removed {
		delete(evacuations, dataCentre)
		if dataCentre == f.cfg.DataCentre {
			f.local.coldness.forget(now) // targets that return may be cold
		}
		attrs = append(attrs, slog.Int64("lasted_ms", f.cfg.Clock.Since(e.Since).Milliseconds()))
		eventEvacuationEnded.Log(context.Background(), f.cfg.Log, attrs...)
	} else {
		if evacuations == nil {
			evacuations = make(map[string]place.Evacuation)
		}
		e = place.Evacuation{Since: f.cfg.Clock.Now(), ClosesAt: f.evacuationClosesAt(now)}
		evacuations[dataCentre] = e
		attrs = append(attrs, slog.Int64("closes_ms", (e.ClosesAt-now).Milliseconds()))
		eventEvacuationBegan.Log(context.Background(), f.cfg.Log, attrs...)
	}
	f.policy = f.policy.WithEvacuations(evacuations)
	return nil
}

// evacuationClosesAt returns when targets get nothing more after an evacuation of which this node
// learns now. The record may have been written at any time since the store last confirmed what
// this node knows; a node that has just started finds it closed.
func (f *Fleet) evacuationClosesAt(now time.Duration) time.Duration {
	if !f.synced {
		return now
	}
	limit := cmp.Or(f.cfg.EvacuationTime, defaultEvacuationTime)
	latest := f.freshness.confirmedAt + limit - evacuationMargin
	return min(now+min(evacuationGrace, limit/2), max(latest, now))
}

// leaveEvacuated makes the owners in evacuated data centres leave if others can take their keys.
func (f *Fleet) leaveEvacuated(service string, owners []span.Owner) {
	evacuated := func(o span.Owner) bool {
		_, ok := f.policy.Evacuations()[f.members[o.Node].DataCentre]
		return ok
	}
	if len(f.policy.Evacuations()) == 0 || !slices.ContainsFunc(owners, evacuated) {
		delete(f.planner.keptLogged, service)
		return
	}
	others := slices.DeleteFunc(slices.Clone(owners), evacuated)
	if !slices.ContainsFunc(others, span.Owner.CanReceive) {
		if !f.planner.keptLogged[service] {
			f.planner.keptLogged[service] = true
			eventKeysNotEvacuated.Log(context.Background(), f.cfg.Log, slog.String("service", service))
		}
		return
	}
	delete(f.planner.keptLogged, service)
	for i := range owners {
		owners[i].Leaving = owners[i].Leaving || evacuated(owners[i])
	}
}
