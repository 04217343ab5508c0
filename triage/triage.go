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
	// maxReservedShare bounds the share of the slots that is reserved for later
	// arrivals that go first.
	maxReservedShare = 0.85
	// lateWaitShare is the share of its latency objective for which a request may
	// wait once it can't be answered within the objective any more.
	lateWaitShare = 0.5
	// RetryAge is the age at which a request counts as a retry: callers retry
	// no sooner than they were told, and first attempts arrive within some
	// milliseconds.
	RetryAge = 80 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry-after delay before jitter.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retryJitter is the largest random share added to the retry-after delay, so
	// that callers refused together do not retry together.
	retryJitter = 0.4
	// firstTransferShare is the part of the time to its objective within which the answer
	// to a first attempt has to be sent.
	firstTransferShare = 0.8
	// idleBacklog is the backlog up to which a link counts as nearly idle.
	idleBacklog = 100 * time.Millisecond
	// limitRecoveryInterval is the time after which a limit that was lowered because
	// the target rejected requests rises by one.
	limitRecoveryInterval = 500 * time.Millisecond
)

// Request describes a request that needs a slot. Moments are given as the elapsed
// time of the node's clock.
type Request struct {
	Class     string
	Urgency   int           // higher goes first
	Age       time.Duration // since the caller's first attempt
	Objective time.Duration // moment up to which an answer meets the latency objective
	Deadline  time.Duration // moment at which the caller gives up
	// Transfer is the expected time to send the answer, if it is large, and Backlog the
	// time for which the link is busy with those of earlier requests.
	Transfer, Backlog time.Duration
}

func (r Request) isRetry() bool { return r.Age >= RetryAge }

// Refusal is the error of a refused request. RetryAfter is a hint for the caller.
type Refusal struct {
	RetryAfter time.Duration
	Rate       bool // the rate of starts decided, not the slots
	Transfer   bool // the time to send the answer decided, not the slots
}

// Error implements error.
func (r Refusal) Error() string {
	return ErrRefused.Error() + ", retry after " + r.RetryAfter.String()
}

// Is makes errors.Is report that a Refusal is ErrRefused.
func (r Refusal) Is(target error) bool { return target == ErrRefused }

// Limiter limits the requests in flight at one target and queues those that wait
// for a slot. The zero value has no slots. It is safe for concurrent use.
type Limiter struct {
	mu           sync.Mutex
	slots        int
	limit        int           // of requests in flight, at most slots
	limitChanged time.Duration // when the limit last changed
	running      int           // requests in flight
	queue        []*Waiter
	means        map[string]time.Duration // service time by class
	arrivals     map[int]*decayingWork    // by urgency
	starts       bucket
	returns      time.Duration // when the last caller that the rate refused was told to return
}

// decayingWork is the exponentially decaying sum of the work that arrived with
// requests of one urgency.
type decayingWork struct {
	work    float64 // seconds
	count   float64 // requests
	updated time.Duration
}

// decay returns the factor by which the sums have decayed at a moment not before the last
// update.
func (w *decayingWork) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-w.updated) / float64(arrivalDecay))
}

// recordArrival adds the expected work of a new request.
func (l *Limiter) recordArrival(r Request, now time.Duration) {
	w, ok := l.arrivals[r.Urgency]
	if !ok {
		if l.arrivals == nil {
			l.arrivals = make(map[int]*decayingWork)
		}
		w = &decayingWork{}
		l.arrivals[r.Urgency] = w
	}
	decay := w.decay(now)
	w.work = w.work*decay + l.meanServiceTime(r.Class).Seconds()
	w.count = w.count*decay + 1
	w.updated = now
}

// reservedShare returns the expected share of the slots that go to later arrivals
// ahead of this request: more urgent ones and, if this one will miss its
// objective, equally urgent ones that can meet theirs.
func (l *Limiter) reservedShare(r Request, now time.Duration) float64 {
	late := now+l.meanServiceTime(r.Class) > r.Objective
	work, count := 0.0, 0.0
	for urgency, w := range l.arrivals {
		if urgency > r.Urgency || late && urgency == r.Urgency {
			work += w.work * w.decay(now)
			count += w.count * w.decay(now)
		}
	}
	reserved := work / arrivalDecay.Seconds() / float64(max(l.limit, 1))
	if l.starts.rate > 0 {
		reserved = max(reserved, count/arrivalDecay.Seconds()/l.starts.rate)
	}
	reserved = min(reserved, maxReservedShare)
	share := min(1, float64(loadHorizon)/float64(max(r.Deadline-now, 1)))
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

// SetSlots sets the number of slots of a target that has just started.
func (l *Limiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots, l.limit = slots, slots
}

// Acquire requests a slot. It returns a waiter if the request is queued, neither
// waiter nor error if it holds a slot now, or a Refusal.
func (l *Limiter) Acquire(r Request, now time.Duration) (*Waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raiseLimit(now)
	serviceTime := l.meanServiceTime(r.Class)
	if r.Transfer > 0 {
		tail := max(r.Backlog-serviceTime, 0) + r.Transfer
		if !worthSending(r, now+serviceTime+tail, now) {
			return nil, transferRefusal(r)
		}
		r.Objective -= tail
		r.Deadline -= tail
	}
	if l.running < l.limit && len(l.queue) == 0 {
		if now+serviceTime/2 > r.Deadline {
			return nil, Refusal{RetryAfter: 0}
		}
	}
	if l.running < l.limit && len(l.queue) == 0 && l.starts.take(now) {
		l.running++
		l.recordArrival(r, now)
		return nil, nil
	}
	maxWait := time.Duration(lateWaitShare * float64(max(r.Objective-now, 0)+r.Age))
	if !l.worthWaiting(r, l.estimateQueueWait(r, now), maxWait, now) {
		return nil, l.refusal(r, now)
	}
	l.recordArrival(r, now)
	w := &Waiter{request: r, arrived: now, done: make(chan error, 1)}
	l.queue = append(l.queue, w)
	l.dispatch(now)
	return w, nil
}

// worthWaiting reports whether a request should stay queued for an estimated
// wait. It must end before its deadline, and either meet its objective, be a
// retry, or wait for less than maxWait.
func (l *Limiter) worthWaiting(r Request, wait, maxWait, now time.Duration) bool {
	end := now + wait + l.meanServiceTime(r.Class)
	switch {
	case end > r.Deadline:
		return false
	case end <= r.Objective || r.isRetry():
		return true
	}
	return wait < maxWait
}

// Release returns a slot. A success updates the mean service time of the class.
func (l *Limiter) Release(class string, took time.Duration, success bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if success {
		mean, ok := l.means[class]
		if !ok {
			mean = took
		}
		if l.means == nil {
			l.means = make(map[string]time.Duration)
		}
		l.means[class] = mean + time.Duration(meanWeight*float64(took-mean))
	}
	l.dispatch(now)
}

// LowerLimit lowers the limit after the target rejected a request for lack of
// slots although the limit was kept: the target may still run requests that this
// node sent before the node restarted.
func (l *Limiter) LowerLimit(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = max(1, min(l.limit, l.running)-1)
	l.limitChanged = now
}

// Cancel removes a queued request. It returns false if the request has already
// been granted a slot or refused; a granted slot must then be returned.
func (l *Limiter) Cancel(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.queue, w)
	if i < 0 {
		return false
	}
	l.queue = slices.Delete(l.queue, i, i+1)
	return true
}

// Load returns the number of requests that run and that wait, and the limit of
// those that may run at once.
func (l *Limiter) Load() (running, waiting, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.queue), l.limit
}

func (l *Limiter) raiseLimit(now time.Duration) {
	if l.limit < l.slots && now-l.limitChanged > limitRecoveryInterval {
		l.limit++
		l.limitChanged = now
	}
}

// dispatch grants free slots to the first queued requests and refuses those that
// are no longer worth queueing, as later arrivals may have gone ahead of them.
func (l *Limiter) dispatch(now time.Duration) {
	slices.SortStableFunc(l.queue, func(a, b *Waiter) int {
		switch {
		case l.before(a.request, b.request, now):
			return -1
		case l.before(b.request, a.request, now):
			return 1
		}
		return 0
	})
	free, ahead, aheadCount := l.limit-l.running, time.Duration(0), 0
	l.queue = slices.DeleteFunc(l.queue, func(w *Waiter) bool {
		serviceTime := l.meanServiceTime(w.request.Class)
		if free > 0 && now+serviceTime > w.request.Deadline {
			w.done <- l.refusal(w.request, now)
			return true
		}
		if free > 0 && l.starts.take(now) {
			free--
			l.running++
			w.done <- nil
			return true
		}
		maxWait := time.Duration(lateWaitShare*float64(w.request.Objective-w.arrived)) - (now - w.arrived)
		if !l.worthWaiting(w.request, l.estimateWait(w.request, ahead, aheadCount, now), maxWait, now) {
			w.done <- l.refusal(w.request, now)
			return true
		}
		ahead += serviceTime
		aheadCount++
		return false
	})
}

// before reports whether a goes ahead of b in the queue. The order is by urgency,
// then requests that can meet their objective, then retries, then the earlier
// objective.
func (l *Limiter) before(a, b Request, now time.Duration) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	if aMeets, bMeets := now+l.meanServiceTime(a.Class) <= a.Objective, now+l.meanServiceTime(b.Class) <= b.Objective; aMeets != bMeets {
		return aMeets
	}
	if a.isRetry() != b.isRetry() {
		return a.isRetry()
	}
	return a.Objective < b.Objective
}

// estimateQueueWait estimates how long a new request waits for a slot, from the
// work queued ahead of it.
func (l *Limiter) estimateQueueWait(r Request, now time.Duration) time.Duration {
	ahead, count := time.Duration(0), 0
	for _, w := range l.queue {
		if !l.before(r, w.request, now) {
			ahead += l.meanServiceTime(w.request.Class)
			count++
		}
	}
	return l.estimateWait(r, ahead, count, now)
}

// estimateWait estimates how long a request waits for a slot and a start, with the given
// work of a number of requests ahead of it.
func (l *Limiter) estimateWait(r Request, ahead time.Duration, count int, now time.Duration) time.Duration {
	reserved := l.reservedShare(r, now)
	slot := time.Duration(0)
	if l.running >= l.limit || l.starts.rate == 0 {
		work := ahead + l.meanServiceTime(r.Class) // one more service time for the requests that run
		slot = time.Duration(waitFactor * float64(work) / float64(max(l.limit, 1)) / (1 - reserved))
	}
	start := time.Duration(float64(l.starts.wait(float64(count), now)) / (1 - reserved))
	return max(slot, start)
}

// refusal returns the refusal of a request.
func (l *Limiter) refusal(r Request, now time.Duration) Refusal {
	if l.starts.wait(float64(len(l.queue)), now) > 0 {
		return Refusal{RetryAfter: l.returnTime(r, now), Rate: true}
	}
	return Refusal{RetryAfter: l.retryAfter()}
}

// worthSending reports whether a request is accepted whose answer is expected to have
// been sent at a moment. A link that is full of answers that come too late carries
// none in time, so only those are accepted that meet their objective, and others while
// the link is nearly idle. First attempts leave room for requests that return.
func worthSending(r Request, sent, now time.Duration) bool {
	limit := r.Objective
	if !r.isRetry() {
		limit = now + time.Duration(firstTransferShare*float64(r.Objective-now))
	}
	return sent <= limit || r.Backlog <= idleBacklog && sent <= r.Deadline
}

// transferRefusal returns the refusal of a request whose answer would be sent too
// late. The caller returns when the link has sent most of what was announced.
func transferRefusal(r Request) Refusal {
	return Refusal{RetryAfter: jitter(min(max(r.Backlog/2, minRetryAfter), maxRetryAfter)), Transfer: true}
}

// retryAfter returns the delay after which a caller that is refused now should
// retry: the time to run the queued requests, plus jitter.
func (l *Limiter) retryAfter() time.Duration {
	work := initialMean
	for _, w := range l.queue {
		work += l.meanServiceTime(w.request.Class)
	}
	return jitter(min(max(work/time.Duration(max(l.limit, 1)), minRetryAfter), maxRetryAfter))
}

func jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}

func (l *Limiter) meanServiceTime(class string) time.Duration {
	if m, ok := l.means[class]; ok {
		return m
	}
	return initialMean
}
