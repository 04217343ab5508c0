// Package admit implements admission control for a target: it decides which
// requests run now, which are queued and which are refused. It counts the node's
// own requests in flight, as the load that a target reports lags and may be wrong.
package admit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Errors that callers test with errors.Is. All of them mean that the request
// did not run.
var (
	ErrDeadline = errors.New("deadline cannot be met")
	ErrFull     = errors.New("admission queue is full")
	ErrShed     = errors.New("shed from the full queue in favour of another request")
	ErrDraining = errors.New("target is draining")
)

// ErrResumed means that Resume returned the target to service before its drain
// ended.
var ErrResumed = errors.New("target returned to service before the drain ended")

// Defaults of Config.
const (
	DefaultSlots       = 12
	DefaultConnections = 110
	DefaultMaxQueued   = 1024
)

// Config holds the settings of a Limiter. Zero fields take their defaults.
type Config struct {
	Slots       int             // requests that the target reports to run at once
	Connections int             // connections that the target accepts
	MaxQueued   int             // bound on waiting requests
	SlowStart   time.Duration   // time in which the limit rises from 1 to all slots; zero starts with all
	Clock       clockwork.Clock // the system's clock by default
}

// Request describes a request that needs a slot. Higher priorities are served
// first. A zero Deadline means no deadline.
type Request struct {
	Tenant, Class string
	Priority      int
	Deadline      time.Time
}

// Result is the result of an admitted request. A zero Latency means the time since
// the ticket was granted.
type Result struct {
	Latency time.Duration
	Success bool
}

// Limiter bounds the requests in flight at one target and queues the rest. The
// zero value uses the defaults of Config. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	config     Config
	clock      clockwork.Clock
	started    time.Time
	inFlight   int
	otherConns int // connections without a ticket
	draining   bool
	drained    chan struct{} // closed when a drain ends
	queue      queue
	controller limitController
	counts     counters
}

// New returns a limiter whose slow start begins now.
func New(c Config) *Limiter {
	l := &Limiter{config: c}
	l.setup()
	return l
}

// setup applies the defaults on first use.
func (l *Limiter) setup() {
	if l.clock != nil {
		return
	}
	c := &l.config
	c.Slots = orDefault(c.Slots, DefaultSlots)
	c.Connections = orDefault(c.Connections, DefaultConnections)
	c.MaxQueued = orDefault(c.MaxQueued, DefaultMaxQueued)
	l.clock = c.Clock
	if l.clock == nil {
		l.clock = clockwork.NewRealClock()
	}
	l.started = l.clock.Now()
	l.controller.limit = float64(c.Slots)
}

func orDefault(n, d int) int {
	if n <= 0 {
		return d
	}
	return n
}

// Ticket is the right to run one request at the target.
type Ticket struct {
	limiter        *Limiter
	estimate       *estimate
	counts         *Counts
	granted        time.Time
	baselineSample bool
	released       bool
}

// Acquire waits until the target may run the request and returns a ticket. It
// fails with ErrDeadline, ErrFull, ErrShed or ErrDraining, or with the context's
// error; the request then did not run and is not queued.
func (l *Limiter) Acquire(ctx context.Context, r Request) (*Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, l.canceled(r, err)
	}
	l.mu.Lock()
	t, w, err := l.admit(l.now(), r)
	l.mu.Unlock()
	if w == nil {
		return t, err
	}
	var expired <-chan time.Time
	if !r.Deadline.IsZero() {
		timer := l.clock.NewTimer(l.clock.Until(w.latestStart))
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case <-w.done:
		return w.ticket, w.err
	case <-expired:
		err = r.wrap(ErrDeadline)
	case <-ctx.Done():
		err = l.canceled(r, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.done:
		// The request was granted or refused before it was canceled. An unused
		// ticket is released to the next waiter.
		if w.ticket != nil {
			w.ticket.release(l.clock.Now(), Result{}, false)
			w.ticket.counts.Canceled++
		}
	default:
		l.queue.remove(w)
		if errors.Is(err, ErrDeadline) {
			w.counts.Deadline++
		} else {
			w.counts.Canceled++
		}
	}
	return nil, err
}

// now returns the time and makes the zero value ready for use.
func (l *Limiter) now() time.Time {
	l.setup()
	return l.clock.Now()
}

func (l *Limiter) canceled(r Request, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", r.wrap(ErrDeadline), err)
	}
	return r.wrap(err)
}

func (r Request) wrap(err error) error {
	return fmt.Errorf("admit request of class %q, tenant %q: %w", r.Class, r.Tenant, err)
}

// admit grants, queues or refuses a request. It returns a waiter if the request is
// queued.
func (l *Limiter) admit(now time.Time, r Request) (*Ticket, *waiter, error) {
	c := l.counts.get(r.Class, r.Tenant)
	if l.draining {
		c.Draining++
		return nil, nil, r.wrap(ErrDraining)
	}
	e := l.controller.estimateOf(r.Class)
	limit := l.limit(now)
	if l.queue.size == 0 && l.inFlight < limit {
		if l.missesDeadline(now, r, e, 0) {
			c.Deadline++
			return nil, nil, r.wrap(ErrDeadline)
		}
		return l.grant(now, e, c), nil, nil
	}
	wait := l.controller.queueDelay(l.queue.ahead(r)+1, limit)
	if l.missesDeadline(now, r, e, wait) {
		c.Deadline++
		return nil, nil, r.wrap(ErrDeadline)
	}
	if l.queue.size >= l.config.MaxQueued {
		victim := l.queue.victim(r)
		if victim == nil {
			c.Full++
			return nil, nil, r.wrap(ErrFull)
		}
		l.queue.remove(victim)
		victim.counts.Shed++
		victim.resolve(nil, victim.request.wrap(ErrShed))
	}
	w := &waiter{request: r, estimate: e, counts: c, done: make(chan struct{})}
	w.latestStart = r.Deadline.Add(-e.upperBound(now))
	c.Queued++
	l.queue.push(w, e.cost())
	l.dispatch(now)
	return nil, w, nil
}

// missesDeadline reports whether the request is expected to end after its deadline
// if it starts after the given wait.
func (l *Limiter) missesDeadline(now time.Time, r Request, e *estimate, wait time.Duration) bool {
	if r.Deadline.IsZero() {
		return false
	}
	return now.Add(wait + e.upperBound(now)).After(r.Deadline)
}

func (l *Limiter) grant(now time.Time, e *estimate, c *Counts) *Ticket {
	l.inFlight++
	c.Admitted++
	return &Ticket{
		limiter: l, estimate: e, counts: c, granted: now,
		baselineSample: l.controller.measuresBaseline(l.inFlight),
	}
}

// dispatch grants free slots to waiting requests. Requests that can no longer meet
// their deadline are refused, as their answers would not be used.
func (l *Limiter) dispatch(now time.Time) {
	limit := l.limit(now)
	for l.queue.size > 0 && l.inFlight < limit {
		w := l.queue.pop()
		if l.missesDeadline(now, w.request, w.estimate, 0) {
			w.counts.Deadline++
			w.resolve(nil, w.request.wrap(ErrDeadline))
			continue
		}
		w.resolve(l.grant(now, w.estimate, w.counts), nil)
	}
}

// Release frees the slot and updates the latency estimates. Further calls have no
// effect.
func (t *Ticket) Release(res Result) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.released {
		return
	}
	now := l.clock.Now()
	if res.Latency <= 0 {
		res.Latency = now.Sub(t.granted)
	}
	if res.Success {
		t.counts.Succeeded++
	} else {
		t.counts.Failed++
	}
	t.release(now, res, true)
}

// release frees the slot and passes it on, or ends a drain. Only requests that ran
// update the estimates.
func (t *Ticket) release(now time.Time, res Result, ran bool) {
	l := t.limiter
	t.released = true
	l.inFlight--
	if ran {
		l.controller.observe(now, t.estimate, res, t.baselineSample, l.config.Slots)
	}
	if l.draining {
		if l.inFlight == 0 {
			l.endDrain()
		}
		return
	}
	l.dispatch(now)
}

// endDrain wakes callers blocked in Drain.
func (l *Limiter) endDrain() {
	if l.drained != nil {
		close(l.drained)
		l.drained = nil
	}
}

// Drain refuses new and waiting requests with ErrDraining and waits until no
// request is in flight. If the context ends first, it returns an error and the
// limiter stays in draining state. It fails with ErrResumed if Resume ends the drain.
func (l *Limiter) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.setup()
	l.draining = true
	for l.queue.size > 0 {
		w := l.queue.pop()
		w.counts.Draining++
		w.resolve(nil, w.request.wrap(ErrDraining))
	}
	if l.inFlight == 0 {
		l.mu.Unlock()
		return nil
	}
	if l.drained == nil {
		l.drained = make(chan struct{})
	}
	drained := l.drained
	l.mu.Unlock()
	select {
	case <-drained:
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.draining {
			return fmt.Errorf("drain target: %w", ErrResumed)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain target with %d requests in flight: %w", l.InFlight(), ctx.Err())
	}
}

// Resume returns a target to service after a drain or a restart. The target is
// cold, so slow start begins again.
func (l *Limiter) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = l.now()
	l.draining = false
	l.endDrain()
	l.controller.limit = float64(l.config.Slots)
}
