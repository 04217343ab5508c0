package serve

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"burdocklift/fleet"
	"burdocklift/span"
)

// targetLimit is the limit that the local target names in its responses. It lasts for as
// long as the target names it. The zero value is no limit.
type targetLimit struct {
	mu      sync.Mutex
	rate    float64       // requests a second, 0 for none
	namedAt time.Duration // when the target last named it
	known   bool          // the target has answered this run of the node
}

// reset forgets the limit of an earlier incarnation, and calls a function with the new one.
func (l *targetLimit) reset(apply func(rate float64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.namedAt, l.known = 0, 0, false
	apply(0)
}

// inherit takes over the limit that an earlier run of the node recorded, until the target
// has answered this one. If that changes the limit, it calls a function before any further
// change.
func (l *targetLimit) inherit(rate float64, now time.Duration, apply func(rate float64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known || rate == l.rate {
		return
	}
	l.rate, l.namedAt = rate, now
	apply(rate)
}

// follow applies what a response says to a request that was sent at a time. If that changes
// the limit, it calls a function before any further change, and returns true. A response
// without a limit ends it only if the request was sent after the last response that named
// it, as responses overtake each other.
func (l *targetLimit) follow(a Advice, sent, now time.Duration, apply func(rate float64)) (rate float64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.rate
	l.known = true
	switch {
	case a.Limited:
		l.rate, l.namedAt = max(a.Limit, leastLimit), now
	case sent > l.namedAt:
		l.rate = 0
	}
	if l.rate == before {
		return l.rate, false
	}
	apply(l.rate)
	return l.rate, true
}

// leastLimit stands for a limit of zero, which would read as none. Per second.
const leastLimit = 0.001

// follow applies the advice of the local target.
func (r *Router) follow(ctx context.Context, inc span.Incarnation, a Advice, sent time.Duration) {
	if !a.Known {
		return
	}
	now := r.cfg.Clock.Elapsed()
	r.mu.Lock()
	current := r.incarnation == inc
	r.mu.Unlock()
	if current {
		r.followPace(ctx, inc, a.Pace, now)
		setRate := func(rate float64) { r.admission.SetRate(rate, now) }
		if rate, changed := r.limit.follow(a, sent, now, setRate); changed {
			eventTargetLimited.Log(ctx, r.cfg.Log, slog.String("target", inc.Target), slog.Float64("limit", rate))
			// An error means that the fleet's control loop, and with it the node, has ended.
			_ = r.cfg.Fleet.SetTargetLimit(ctx, inc, rate)
		}
	}
	if a.Leaving && r.leaving.add(inc, now) {
		// An error means that the fleet's control loop, and with it the node, has ended.
		_ = r.cfg.Fleet.MarkTargetLeaving(ctx, inc.Target)
	}
}

// maxDepartures bounds the departures that a node remembers.
const maxDepartures = 1024

// departures holds the targets that said in a response which this node passed on that they
// leave. Their own nodes may forget it when they restart. The zero value is empty.
type departures struct {
	mu    sync.Mutex
	since map[span.Incarnation]time.Duration
}

// add records a departure, and reports whether it is a new one.
func (d *departures) add(inc span.Incarnation, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.since[inc]; ok {
		return false
	}
	if d.since == nil || len(d.since) >= maxDepartures {
		d.since = make(map[span.Incarnation]time.Duration)
	}
	d.since[inc] = now
	return true
}

// over reports whether a target has been leaving for longer than a time.
func (d *departures) over(inc span.Incarnation, limit, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.since[inc]
	return ok && now-since > limit
}

// noteDeparture records what a response of another node's target says.
func (r *Router) noteDeparture(m fleet.Member, resp Response) {
	if m.Target != nil && r.cfg.Target.Advice(resp.Header).Leaving {
		r.leaving.add(m.Target.Incarnation, r.cfg.Clock.Elapsed())
	}
}
