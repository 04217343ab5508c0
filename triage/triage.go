// Package triage limits the requests that a target runs at once and orders and
// sheds those that wait. It is meant for overloads that last for seconds (a burst
// of callers, a hot key, a slow or cold target): served in order of arrival,
// all requests would be answered late; here as many as the target can run are
// answered within their latency objective, and the others are refused at once
// with a retry-after delay.
package triage

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// ErrRefused means that no slot is expected to be free soon enough for the
// request. The request did not run.
var ErrRefused = errors.New("no slot is free soon enough for the request")

const (
	// meanWeight is the weight of a new service time in the moving average of its
	// class.
	meanWeight = 0.1
	// initialMean is the service time assumed for a class without observations.
	initialMean = 200 * time.Millisecond
	// waitFactor pads estimated waits, as service times vary.
	waitFactor = 1.1
	// arrivalDecay is the time after which arrived work counts for 1/e of itself. It
	// spans a few service times.
	arrivalDecay = 500 * time.Millisecond
	// loadHorizon is how long the recent load is expected to last. A request whose
	// deadline is later can run after it.
	loadHorizon = 700 * time.Millisecond
	// maxReservedShare bounds the share of the slots that is set aside for requests
	// that go first.
	maxReservedShare = 0.85
	// lateWaitShare is the share of its latency objective for which a request may
	// wait once it can't be answered within the objective any more.
	lateWaitShare = 0.5
	// ReturnedAfter is the age at which a request counts as a retry: callers retry
	// no sooner than they were told, and first attempts arrive within some
	// milliseconds.
	ReturnedAfter = 80 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry-after delay before jitter.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retryJitter is the largest random share added to the retry-after delay, so
	// that callers refused together do not retry together.
	retryJitter = 0.4
	// limitRecoveryInterval is the time after which a limit that was lowered on the
	// target's refusals rises by one.
	limitRecoveryInterval = 500 * time.Millisecond
)

// Request describes a request that needs a slot. Moments are given as the elapsed
// time of the node's clock.
type Request struct {
	Class   string
	Urgency int           // higher goes first
	Age     time.Duration // since the caller's first attempt
	Aim     time.Duration // moment up to which an answer meets the latency objective
	Ends    time.Duration // moment at which the caller gives up
}

func (r Request) isRetry() bool { return r.Age >= ReturnedAfter }

// Refusal is the error of a refused request. After is the retry-after delay.
type Refusal struct{ After time.Duration }

// Error implements error.
func (r Refusal) Error() string {
	return ErrRefused.Error() + ", retry after " + r.After.String()
}

// Is reports whether the target is ErrRefused, for errors.Is.
func (r Refusal) Is(target error) bool { return target == ErrRefused }

// Desk limits the requests in flight at one target and queues those that wait
// for a slot. The zero value has no slots. It is safe for concurrent use.
type Desk struct {
	mu           sync.Mutex
	slots        int
	limit        int           // at most slots
	limitChanged time.Duration // when the limit last changed
	running      int
	queue        []*Waiter
	means        map[string]time.Duration // service time by class
	arrivals     map[int]*decayingWork    // by urgency
}

// decayingWork is the exponentially decaying sum of the work that arrived with
// requests of one urgency.
type decayingWork struct {
	work    float64 // seconds
	updated time.Duration
}

// decayed returns the sum at a moment not before the last update.
func (w *decayingWork) decayed(now time.Duration) float64 {
	return w.work * math.Exp(-float64(now-w.updated)/float64(arrivalDecay))
}

// recordArrival adds the expected work of a new request.
func (d *Desk) recordArrival(r Request, now time.Duration) {
	w, ok := d.arrivals[r.Urgency]
	if !ok {
		if d.arrivals == nil {
			d.arrivals = make(map[int]*decayingWork)
		}
		w = &decayingWork{}
		d.arrivals[r.Urgency] = w
	}
	w.work = w.decayed(now) + d.meanServiceTime(r.Class).Seconds()
	w.updated = now
}

// reservedShare returns the expected share of the slots that go to later arrivals
// ahead of this request: more urgent ones and, if this one will miss its
// objective, equally urgent ones that can meet theirs.
func (d *Desk) reservedShare(r Request, now time.Duration) float64 {
	late := now+d.meanServiceTime(r.Class) > r.Aim
	sum := 0.0
	for urgency, w := range d.arrivals {
		if urgency > r.Urgency || late && urgency == r.Urgency {
			sum += w.decayed(now)
		}
	}
	reserved := min(sum/arrivalDecay.Seconds()/float64(max(d.limit, 1)), maxReservedShare)
	share := min(1, float64(loadHorizon)/float64(max(r.Ends-now, 1)))
	return reserved * share * share
}

// Waiter is a queued request.
type Waiter struct {
	request Request
	arrived time.Duration
	done    chan error
}

// Done returns a channel that delivers nil when the request holds a slot, or a
// Refusal.
func (w *Waiter) Done() <-chan error { return w.done }

// Start sets the number of slots of a target that has just started.
func (d *Desk) Start(slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots, d.limit = slots, slots
}

// Enter requests a slot. It returns a waiter if the request is queued, neither
// waiter nor error if it holds a slot now, or a Refusal.
func (d *Desk) Enter(r Request, now time.Duration) (*Waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raiseLimit(now)
	service := d.meanServiceTime(r.Class)
	if d.running < d.limit && len(d.queue) == 0 {
		if now+service/2 > r.Ends {
			return nil, Refusal{After: 0}
		}
		d.running++
		d.recordArrival(r, now)
		return nil, nil
	}
	maxWait := time.Duration(lateWaitShare * float64(max(r.Aim-now, 0)+r.Age))
	if !d.worthWaiting(r, d.estimateQueueWait(r, now), maxWait, now) {
		return nil, Refusal{After: d.retryAfter()}
	}
	d.recordArrival(r, now)
	w := &Waiter{request: r, arrived: now, done: make(chan error, 1)}
	d.queue = append(d.queue, w)
	d.dispatch(now)
	return w, nil
}

// worthWaiting reports whether a request should stay queued for an estimated
// wait. It must end before its deadline, and either meet its objective, be a
// retry, or wait for less than maxWait.
func (d *Desk) worthWaiting(r Request, wait, maxWait, now time.Duration) bool {
	end := now + wait + d.meanServiceTime(r.Class)
	switch {
	case end > r.Ends:
		return false
	case end <= r.Aim || r.isRetry():
		return true
	}
	return wait < maxWait
}

// Leave returns a slot. A success updates the mean service time of the class.
func (d *Desk) Leave(class string, took time.Duration, success bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if success {
		mean, ok := d.means[class]
		if !ok {
			mean = took
		}
		if d.means == nil {
			d.means = make(map[string]time.Duration)
		}
		d.means[class] = mean + time.Duration(meanWeight*float64(took-mean))
	}
	d.dispatch(now)
}

// Full lowers the limit after the target refused a request for lack of slots
// although the limit was kept: it may still run requests that this node sent
// before it restarted.
func (d *Desk) Full(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = max(1, min(d.limit, d.running)-1)
	d.limitChanged = now
}

// Abandon removes a queued request. It returns false if the request has already
// been granted a slot or refused; a granted slot must then be returned.
func (d *Desk) Abandon(w *Waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.Index(d.queue, w)
	if i < 0 {
		return false
	}
	d.queue = slices.Delete(d.queue, i, i+1)
	return true
}

// Load returns the number of requests that run and that wait, and the limit of
// those that may run at once.
func (d *Desk) Load() (running, waiting, limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, len(d.queue), d.limit
}

func (d *Desk) raiseLimit(now time.Duration) {
	if d.limit < d.slots && now-d.limitChanged > limitRecoveryInterval {
		d.limit++
		d.limitChanged = now
	}
}

// dispatch grants free slots to the first queued requests and refuses those that
// are no longer worth queueing, as later arrivals may have gone ahead of them.
func (d *Desk) dispatch(now time.Duration) {
	slices.SortStableFunc(d.queue, func(a, b *Waiter) int {
		switch {
		case d.before(a.request, b.request, now):
			return -1
		case d.before(b.request, a.request, now):
			return 1
		}
		return 0
	})
	free, ahead := d.limit-d.running, time.Duration(0)
	d.queue = slices.DeleteFunc(d.queue, func(w *Waiter) bool {
		service := d.meanServiceTime(w.request.Class)
		if free > 0 {
			if now+service > w.request.Ends {
				w.done <- Refusal{After: d.retryAfter()}
				return true
			}
			free--
			d.running++
			w.done <- nil
			return true
		}
		maxWait := time.Duration(lateWaitShare*float64(w.request.Aim-w.arrived)) - (now - w.arrived)
		if !d.worthWaiting(w.request, d.estimateWait(w.request, ahead, now), maxWait, now) {
			w.done <- Refusal{After: d.retryAfter()}
			return true
		}
		ahead += service
		return false
	})
}

// before reports whether a goes ahead of b in the queue. The order is by urgency,
// then requests that can meet their objective, then retries, then the earlier
// objective.
func (d *Desk) before(a, b Request, now time.Duration) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	if at, bt := now+d.meanServiceTime(a.Class) <= a.Aim, now+d.meanServiceTime(b.Class) <= b.Aim; at != bt {
		return at
	}
	if a.isRetry() != b.isRetry() {
		return a.isRetry()
	}
	return a.Aim < b.Aim
}

// estimateQueueWait estimates how long a new request waits for a slot, from the
// work queued ahead of it.
func (d *Desk) estimateQueueWait(r Request, now time.Duration) time.Duration {
	ahead := time.Duration(0)
	for _, w := range d.queue {
		if !d.before(r, w.request, now) {
			ahead += d.meanServiceTime(w.request.Class)
		}
	}
	return d.estimateWait(r, ahead, now)
}

// estimateWait estimates how long a request with the given work ahead of it waits
// for a slot.
func (d *Desk) estimateWait(r Request, ahead, now time.Duration) time.Duration {
	work := ahead + d.meanServiceTime(r.Class) // one more service time for the requests that run
	return time.Duration(waitFactor * float64(work) / float64(max(d.limit, 1)) / (1 - d.reservedShare(r, now)))
}

// retryAfter returns the delay after which a caller that is refused now should
// retry: the time to run the queued requests, plus jitter.
func (d *Desk) retryAfter() time.Duration {
	work := initialMean
	for _, w := range d.queue {
		work += d.meanServiceTime(w.request.Class)
	}
	wait := min(max(work/time.Duration(max(d.limit, 1)), minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}

func (d *Desk) meanServiceTime(class string) time.Duration {
	if m, ok := d.means[class]; ok {
		return m
	}
	return initialMean
}
