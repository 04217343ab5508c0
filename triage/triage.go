// Package triage limits the requests that a target runs at once and orders and
// sheds those that wait. It is meant for overloads that last for seconds (a burst
// of callers, a hot key, a slow or cold target): a request waits if it can end
// before its caller's deadline, and is refused as soon as it can't, with a
// retry-after delay.
package triage

import (
	"cmp"
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
	// retryJitter is the largest random share added to the retry-after delay, so
	// that callers refused together do not retry together.
	retryJitter = 0.4
	// returnDivisor is the part of the remaining time after which a caller is told to
	// return while overload lasts. A slot that becomes free is then taken at once, so
	// attempts that follow each other closely find the same queue.
	returnDivisor = 3
	// limitRecoveryInterval is the time after which a limit that was lowered because
	// the target rejected requests rises by one.
	limitRecoveryInterval = 500 * time.Millisecond
)

// Request describes a request that needs a slot. The deadline is given as the
// elapsed time of the node's clock.
type Request struct {
	Class    string
	Urgency  int           // higher goes first
	Deadline time.Duration // moment at which the caller gives up
	// Nested is set for a call that a target makes for a request that it runs. It goes ahead of
	// equally urgent new requests: to refuse it wastes the work that was done already.
	Nested bool
	// Transfer is the expected time to send the answer, if it is large, and Backlog the
	// time for which the link is busy with those of earlier requests.
	Transfer, Backlog time.Duration
}

// Refusal is the error of a refused request. RetryAfter is a hint for the caller, zero
// if no room can help: too little time is left to run the request.
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
	times        map[string]serviceTime // by class
	slotLoad     load                   // in seconds of slots
	startLoad    load                   // in starts
	linkLoad     load                   // in seconds of the link
	starts       bucket
	pace         pace
	cold         coldWindow
	slotReturns  map[int]time.Duration // by urgency, when the last refused caller was told to return
	returns      time.Duration         // when the last caller that the rate refused was told to return
}

// Waiter is a queued request.
type Waiter struct {
	request Request
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
	l.refreshCold(now)
	t := l.times[r.Class]
	left := r.Deadline - now
	free := l.running < l.limit && len(l.queue) == 0
	// An estimate that is too high would refuse every request that could correct it, so
	// a free slot tests one that no request has confirmed for as long as it says.
	if t.mean > left && (!free || now-t.updated <= t.mean) {
		return nil, Refusal{}
	}
	if r.Transfer > 0 {
		l.linkLoad.add(r.Urgency, r.Transfer.Seconds(), left, now)
		tail := max(r.Backlog-t.mean, 0) + r.Transfer
		if refusal, refused := l.refuseTransfer(r, tail, now); refused {
			return nil, refusal
		}
		r.Deadline -= tail
	}
	l.followRank(r)
	l.slotLoad.add(r.Urgency, t.mean.Seconds(), left, now)
	l.startLoad.add(r.Urgency, 1, left, now)
	if free && l.takeStart(now) {
		l.running++
		l.slotLoad.idle(float64(l.limit), now)
		l.startLoad.idle(l.startRate(), now)
		return nil, nil
	}
	wait := l.estimateQueueWait(r, now)
	if now+wait+t.bound() > r.Deadline {
		l.queueTooLong(r.Urgency, now)
		return nil, l.refusal(r, wait, now)
	}
	if wait > t.mean && l.overloadLasts(r.Urgency) && !r.Nested {
		return nil, l.refusal(r, wait, now)
	}
	w := &Waiter{request: r, done: make(chan error, 1)}
	l.queue = append(l.queue, w)
	l.dispatch(now)
	return w, nil
}

// followRank gives those that wait the rank of a new request of their class. Else a class that
// has just been recognized as nested calls would overtake itself.
func (l *Limiter) followRank(r Request) {
	for _, w := range l.queue {
		if w.request.Class == r.Class {
			w.request.Nested = r.Nested
		}
	}
}

// queueTooLong records that a request was refused because of those ahead of it.
func (l *Limiter) queueTooLong(urgency int, now time.Duration) {
	l.slotLoad.queueTooLong(urgency, float64(l.limit), now)
	if rate := l.startRate(); rate > 0 {
		l.startLoad.queueTooLong(urgency, rate, now)
	}
}

// overloadLasts reports whether requests of an urgency wait for one service time at most.
// That keeps all slots busy; a longer queue would serve no more callers, and each of them
// later.
func (l *Limiter) overloadLasts(urgency int) bool {
	return l.slotLoad.lasts(urgency) || l.startRate() > 0 && l.startLoad.lasts(urgency)
}

// SetEnd sets the moment at which all requests in flight end, also those that wait now.
func (l *Limiter) SetEnd(at, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.queue {
		w.request.Deadline = min(w.request.Deadline, at)
	}
	l.dispatch(now)
}

// OverloadLasts reports whether requests of any urgency wait for one service time at most,
// as overload lasts.
func (l *Limiter) OverloadLasts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for urgency := range l.slotLoad.byUrgency {
		if l.overloadLasts(urgency) {
			return true
		}
	}
	return false
}

// Expiry returns the moment from which a waiting request can't end before its
// deadline, even if it starts at once.
func (l *Limiter) Expiry(w *Waiter) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return w.request.Deadline - l.times[w.request.Class].bound() + 1
}

// TimeToRun returns the time to run a request of a class behind a number of others like
// it that do not wait here yet.
func (l *Limiter) TimeToRun(class string, others int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.times[class]
	return time.Duration(others)*t.mean/time.Duration(max(l.limit, 1)) + t.bound()
}

// Release returns a slot. A success updates the service time of the class.
func (l *Limiter) Release(class string, took time.Duration, success bool, now time.Duration) {
	l.ReleaseAtPace(class, took, took, success, now)
}

// ReleaseAtPace is Release for a target that names its pace. The mean service time of the
// class goes by the time that the request would have taken at the lasting pace, so that a
// short slowdown does not refuse what can end; the bound goes by what it took, as the next
// request may meet a slowdown too.
func (l *Limiter) ReleaseAtPace(class string, took, lasting time.Duration, success bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if success {
		if l.times == nil {
			l.times = make(map[string]serviceTime)
		}
		l.times[class] = l.times[class].observe(took, now).correct(lasting - took)
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
// can't end before their deadline any more, as later arrivals may have gone ahead of
// them.
func (l *Limiter) dispatch(now time.Duration) {
	l.refreshCold(now)
	slices.SortStableFunc(l.queue, func(a, b *Waiter) int { return byRank(a.request, b.request) })
	free, ahead, aheadCount := l.limit-l.running, time.Duration(0), 0
	l.queue = slices.DeleteFunc(l.queue, func(w *Waiter) bool {
		r := w.request
		t := l.times[r.Class]
		if free > 0 && now+t.bound() <= r.Deadline && l.takeStart(now) {
			free--
			l.running++
			w.done <- nil
			return true
		}
		wait := l.estimateWait(ahead+t.mean, aheadCount, now)
		if now+wait+t.bound() > r.Deadline {
			l.queueTooLong(r.Urgency, now)
			w.done <- l.refusal(r, wait, now)
			return true
		}
		ahead += t.mean
		aheadCount++
		return false
	})
}

// byRank orders the queue: by urgency, then nested calls first. Requests of equal rank keep
// their order of arrival, so that those that were let in are not passed over by callers who
// come with less time.
func byRank(a, b Request) int {
	if c := cmp.Compare(b.Urgency, a.Urgency); c != 0 || a.Nested == b.Nested {
		return c
	}
	if a.Nested {
		return -1
	}
	return 1
}

// estimateQueueWait estimates how long a new request waits for a slot, from the
// work queued ahead of it.
func (l *Limiter) estimateQueueWait(r Request, now time.Duration) time.Duration {
	work, count := l.workThrough(r)
	return l.estimateWait(work, count, now)
}

// workThrough returns the work of a request and of those that wait ahead of it, and how many
// these are.
func (l *Limiter) workThrough(r Request) (work time.Duration, ahead int) {
	work = l.times[r.Class].mean
	for _, w := range l.queue {
		if byRank(w.request, r) <= 0 {
			work += l.times[w.request.Class].mean
			ahead++
		}
	}
	return work, ahead
}

// RetryAfter returns the retry-after delay of a request that the target rejected although
// its limit was kept: the time in which the slots run it and those ahead of it. Other callers
// are not told to return behind it, as the node itself may repeat the request.
func (l *Limiter) RetryAfter(r Request, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshCold(now)
	work, ahead := l.workThrough(r)
	wait := max(work/time.Duration(max(l.limit, 1)), l.startWait(ahead, now))
	if l.overloadLasts(r.Urgency) {
		wait = max(wait, (r.Deadline-now)/returnDivisor)
	}
	return jitter(min(wait, r.Deadline-now))
}

// estimateWait estimates how long a request waits for a slot and a start. The work is
// its own and that of a number of requests ahead of it: the slots run all of it by the
// time at which a request behind would start.
func (l *Limiter) estimateWait(work time.Duration, ahead int, now time.Duration) time.Duration {
	inSlots := work / time.Duration(max(l.limit, 1))
	slot := time.Duration(0)
	if l.running >= l.limit || l.startRate() == 0 {
		slot = inSlots
	}
	if wait, ends := l.cold.wait(ahead, now); ends {
		slot = max(slot, wait+inSlots) // all that wait for the end of the limit find the slots free
	}
	return max(slot, l.startWait(ahead, now))
}

// refusal returns the refusal of a request that would wait for a time. The caller may
// return when those ahead of it have started, and those that were told to return before it.
func (l *Limiter) refusal(r Request, wait, now time.Duration) Refusal {
	if l.startWait(len(l.queue), now) > 0 {
		return Refusal{RetryAfter: l.returnTime(r, now), Rate: true}
	}
	if l.overloadLasts(r.Urgency) {
		wait = max(wait, (r.Deadline-now)/returnDivisor)
	} else {
		wait = l.waitBehindReturns(r, wait, now)
	}
	return Refusal{RetryAfter: jitter(min(wait, r.Deadline-now))}
}

// waitBehindReturns returns the time after which the caller of a request that would wait for
// a time finds room, if those that were refused before it, and are as urgent, return as they
// were told. Callers that will have given up by then do not count.
func (l *Limiter) waitBehindReturns(r Request, wait, now time.Duration) time.Duration {
	at := now + wait
	work := l.times[r.Class].mean / time.Duration(max(l.limit, 1))
	for urgency, last := range l.slotReturns {
		if urgency >= r.Urgency {
			at = max(at, last+work)
		}
	}
	if at < r.Deadline {
		if l.slotReturns == nil {
			l.slotReturns = make(map[int]time.Duration)
		}
		l.slotReturns[r.Urgency] = at
	}
	return at - now
}

// refuseTransfer refuses a request whose answer could not be sent in time, as the link
// needs a time for it once the target has answered. While overload of the link lasts, an
// answer waits for at most as long as the request takes, which keeps the link busy. The
// caller may return when the link has sent what was announced.
func (l *Limiter) refuseTransfer(r Request, tail, now time.Duration) (Refusal, bool) {
	t := l.times[r.Class]
	if r.Backlog <= t.mean {
		l.linkLoad.idle(1, now)
	}
	// The sizes of the answers that the link sends first vary by about their mean.
	deviation := time.Duration(math.Sqrt(float64(r.Backlog) * float64(r.Transfer)))
	late := now+t.bound()+tail+deviation > r.Deadline
	if late {
		l.linkLoad.queueTooLong(r.Urgency, 1, now)
	}
	after := r.Backlog
	if l.linkLoad.lasts(r.Urgency) {
		late = late || tail-r.Transfer > t.mean+r.Transfer
		after = max(after, (r.Deadline-now)/returnDivisor)
	}
	return Refusal{RetryAfter: jitter(min(after, r.Deadline-now)), Transfer: true}, late
}

func jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}
