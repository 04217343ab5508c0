package triage

import (
	"math"
	"time"
)

// windowWeight is the weight of a new request in the window over which demand is
// averaged.
const windowWeight = 0.1

// load is the demand for a resource by urgency. It tells overload that lasts from a burst:
// a burst waits in the queue and ends in time, while under lasting overload the queue only
// makes every caller wait until just before its deadline. Overload lasts once requests
// have found the queue too long for their deadlines for as long as callers have time. It
// ends when nothing waits and less is asked for, over that time, than the resource can
// give. The zero value is no load.
type load struct {
	byUrgency map[int]*demand
}

// demand is an exponentially decaying sum of what requests of one urgency asked for.
type demand struct {
	sum     float64
	window  time.Duration // mean time that callers have, over which the sum decays
	updated time.Duration
	// The queue was last too long in the span from fullSince to fullUntil.
	fullSince, fullUntil time.Duration
	lasting              bool
}

// add records a request that has a time left until its deadline.
func (l *load) add(urgency int, amount float64, left, now time.Duration) {
	d, ok := l.byUrgency[urgency]
	if !ok {
		if l.byUrgency == nil {
			l.byUrgency = make(map[int]*demand)
		}
		d = &demand{window: left, updated: now, fullUntil: now - left - 1}
		l.byUrgency[urgency] = d
	}
	d.sum = d.sum*d.decay(now) + amount
	d.updated = now
	d.window += time.Duration(windowWeight * float64(left-d.window))
}

func (d *demand) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-d.updated) / float64(max(d.window, 1)))
}

// rate returns what is asked for in a second by requests of an urgency and more urgent
// ones, which go first.
func (l *load) rate(urgency int, now time.Duration) float64 {
	rate := 0.0
	for u, d := range l.byUrgency {
		if u >= urgency {
			rate += d.sum * d.decay(now) / max(d.window, 1).Seconds()
		}
	}
	return rate
}

// queueTooLong records that a request was refused because of those ahead of it.
func (l *load) queueTooLong(urgency int, capacity float64, now time.Duration) {
	d, ok := l.byUrgency[urgency]
	if !ok || l.rate(urgency, now) <= capacity {
		return
	}
	if now-d.fullUntil > d.window {
		d.fullSince = now
	}
	d.fullUntil = now
	d.lasting = d.lasting || now-d.fullSince > d.window
}

// idle records that nothing waits for the resource.
func (l *load) idle(capacity float64, now time.Duration) {
	for urgency, d := range l.byUrgency {
		if d.lasting && l.rate(urgency, now) <= capacity {
			d.lasting = false
		}
	}
}

// lasts reports whether overload lasts for requests of an urgency.
func (l *load) lasts(urgency int) bool {
	d, ok := l.byUrgency[urgency]
	return ok && d.lasting
}
