package main

import (
	"sync"
	"time"

	"burdocklift/platform/stand"
)

const (
	// maxWorkAfterLeave is how long a target may work on a request that may be
	// repeated, or still receive any request, after its caller has left.
	maxWorkAfterLeave = 500 * time.Millisecond
	// maxLateArrivals and maxLateShare bound what may be later: requests that reach
	// a target, and those at work of the ones that would have lasted so long.
	maxLateArrivals = 3
	maxLateShare    = 0.25
	// minLate is the number of requests at work late that is no chance.
	minLate = 2
)

// Departures holds the requests whose callers left. The zero value is ready to use.
type Departures struct {
	mu       sync.Mutex
	requests map[string]*departure
	running  map[string]execution
}

type departure struct {
	entry   *Machine
	repeats bool
	left    time.Time
	runs    []execution
}

type execution struct {
	machine    *Machine
	began, end time.Time
	work       time.Duration
}

// Left notes that the caller of a request has left.
func (d *Departures) Left(id string, entry *Machine, repeats bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = make(map[string]*departure)
	}
	d.requests[id] = &departure{entry: entry, repeats: repeats, left: time.Now()}
}

// Began notes that a target begins a request.
func (d *Departures) Began(m *Machine, e stand.Execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = make(map[string]execution)
	}
	d.running[e.ID] = execution{machine: m, began: time.Now(), work: e.Work}
}

// Ended notes that a target has ended its work on a request.
func (d *Departures) Ended(e stand.Execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.running[e.ID]
	delete(d.running, e.ID)
	if q := d.requests[e.ID]; q != nil {
		x.end = time.Now()
		q.runs = append(q.runs, x)
	}
}

// Check notes work for callers that had left. Requests whose machines were disturbed
// meanwhile don't count. It returns the numbers of departures and of late work.
func (d *Departures) Check(check *Checker, disturbed func(m *Machine, from, to time.Time) bool) (all, lasting, late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	arrivals := 0
	for id, q := range d.requests {
		limit := q.left.Add(maxWorkAfterLeave)
		for _, x := range q.runs {
			to := x.end
			if to.Before(limit) {
				to = limit
			}
			if disturbed(q.entry, q.left, to) || disturbed(x.machine, q.left, to) {
				continue
			}
			all++
			if x.began.After(limit) {
				arrivals++
				check.Note("request %s reaches %s %v after its caller left %s, at %v", id, x.machine.name, x.began.Sub(q.left), q.entry.name, q.left.Sub(check.began))
			}
			if !q.repeats || !x.began.Add(x.work).After(limit) {
				continue
			}
			lasting++
			if x.end.After(limit) {
				late++
				check.Note("%s works on request %s until %v after its caller left %s, at %v", x.machine.name, id, x.end.Sub(q.left), q.entry.name, q.left.Sub(check.began))
			}
		}
	}
	if arrivals > maxLateArrivals {
		check.Breaks("GONE", "%d requests reach a target over %v after their callers left", arrivals, maxWorkAfterLeave)
	}
	if late >= minLate && float64(late) > maxLateShare*float64(lasting) {
		check.Breaks("GONE", "targets work on %d of %d requests over %v after their callers left", late, lasting, maxWorkAfterLeave)
	}
	return all, lasting, late
}
