package admit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	service    = 10 * time.Millisecond
	deadlineMs = 100 // deadline of every request, from its arrival
)

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

// simClock is a clock that only the simulation advances. A fake clock with timers
// would take most of the test's time under the race detector.
type simClock struct {
	clockwork.Clock
	now time.Time
}

func (c *simClock) Now() time.Time { return c.now }

// sim is a discrete-event simulation of one target that runs len(free)
// requests at once and queues the rest internally in order of arrival.
type sim struct {
	clock   *simClock
	service time.Duration
	rng     *rand.Rand
	freeAt  []time.Time
	queue   events
	stats   map[string]*outcome
}

type outcome struct {
	offered, inTime int
	latency         []time.Duration
}

func (o *outcome) p99() time.Duration {
	slices.Sort(o.latency)
	return o.latency[len(o.latency)*99/100]
}

func newSim(slots int, seed uint64) *sim {
	return &sim{
		clock: &simClock{now: time.Unix(0, 0)}, service: service, rng: rand.New(rand.NewPCG(seed, seed)),
		freeAt: make([]time.Time, slots), stats: make(map[string]*outcome),
	}
}

func (s *sim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{s.clock.Now().Add(d), do})
}

// serve runs a request at the target and calls done with its latency there.
func (s *sim) serve(done func(time.Duration)) {
	now := s.clock.Now()
	i := 0
	for j := range s.freeAt {
		if s.freeAt[j].Before(s.freeAt[i]) {
			i = j
		}
	}
	if s.freeAt[i].Before(now) {
		s.freeAt[i] = now
	}
	s.freeAt[i] = s.freeAt[i].Add(s.exp(s.service))
	d := s.freeAt[i].Sub(now)
	s.after(d, func() { done(d) })
}

// offer generates Poisson arrivals at a rate per second.
func (s *sim) offer(rate float64, r Request, arrive func(Request, func(time.Duration))) {
	key := r.Class + r.Tenant
	if s.stats[key] == nil {
		s.stats[key] = new(outcome)
	}
	o := s.stats[key]
	var next func()
	next = func() {
		start := s.clock.Now()
		r.Deadline = start.Add(deadlineMs * time.Millisecond)
		o.offered++
		arrive(r, func(time.Duration) {
			d := s.clock.now.Sub(start)
			o.latency = append(o.latency, d)
			if d <= deadlineMs*time.Millisecond {
				o.inTime++
			}
		})
		s.after(s.exp(time.Duration(float64(time.Second)/rate)), next)
	}
	s.after(0, next)
}

func (s *sim) runFor(d time.Duration, each func()) {
	end := s.clock.Now().Add(d)
	for s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.clock.now = e.at
		e.do()
		each()
	}
}

// withLimiter returns an arrival function that passes requests through a Limiter
// without goroutines, and a step function that starts granted waiters.
func (s *sim) withLimiter(l *Limiter) (arrive func(Request, func(time.Duration)), step func()) {
	type pending struct {
		w    *waiter
		done func(time.Duration)
	}
	var waiting []pending
	start := func(k *Ticket, done func(time.Duration)) {
		s.serve(func(d time.Duration) {
			done(d)
			k.Release(Result{Latency: d, Success: true})
		})
	}
	arrive = func(r Request, done func(time.Duration)) {
		l.mu.Lock()
		k, w, _ := l.admit(l.now(), r)
		l.mu.Unlock()
		if k != nil {
			start(k, done)
		} else if w != nil {
			waiting = append(waiting, pending{w, done})
		}
	}
	return arrive, func() {
		waiting = slices.DeleteFunc(waiting, func(p pending) bool {
			if p.w.ticket != nil {
				start(p.w.ticket, p.done)
			}
			return p.w.ticket != nil || p.w.err != nil
		})
	}
}

// Guards against goodput that collapses under overload because slots are spent on
// requests that miss their deadline. The naive policy is an unbounded FIFO queue.
func TestOverload(t *testing.T) {
	for _, site := range []struct {
		name     string
		slots    int
		top, low float64 // offered load over capacity
		seed     uint64
	}{
		{"Authority", 12, 1.2, 0.8, 7},
		{"Authority", 12, 1.2, 0.8, 8},
		{"Authority", 12, 2, 0, 9},
		{"Cascadia", 9, 1.2, 0.8, 7},
		{"Cascadia", 9, 1.2, 0.8, 8},
		{"Cascadia", 9, 2, 0, 9},
	} {
		const seconds = 10
		capacity := float64(site.slots) / service.Seconds()
		measure := func(policy string, s *sim, arrive func(Request, func(time.Duration)), step func()) (float64, time.Duration) {
			s.offer(site.top*capacity, Request{Class: "top", Priority: 2}, arrive)
			if site.low > 0 {
				s.offer(site.low*capacity, Request{Class: "low"}, arrive)
			}
			s.runFor(seconds*time.Second, step)
			top := s.stats["top"]
			goodput := float64(top.inTime) / (capacity * seconds)
			t.Logf("%s, seed %d, top class offered %.1f of capacity, %s: goodput %.3f, p99 of answers %v, deadline %d ms",
				site.name, site.seed, site.top, policy, goodput, top.p99().Round(100*time.Microsecond), deadlineMs)
			return goodput, top.p99()
		}
		s := newSim(site.slots, site.seed)
		naive, naiveP99 := measure("unbounded FIFO", s, func(_ Request, done func(time.Duration)) { s.serve(done) }, func() {})
		s = newSim(site.slots, site.seed)
		arrive, step := s.withLimiter(New(Config{Slots: site.slots, Clock: s.clock}))
		ours, p99 := measure("limiter", s, arrive, step)
		if ours < 0.95 || p99 > deadlineMs*time.Millisecond {
			t.Errorf("%s: goodput %.3f, want at least 0.95, and p99 %v, want at most the deadline", site.name, ours, p99)
		}
		if naive >= 0.95 && naiveP99 <= deadlineMs*time.Millisecond {
			t.Errorf("%s: the unbounded FIFO queue meets the bounds, so the load does not separate the policies", site.name)
		}
	}
}

// Guards against a limit that follows wrong reports (the target reports 12 slots,
// runs 4, and later 12), and against one that stays low when all requests become
// slower.
func TestWrongSlots(t *testing.T) {
	measure := func(fixed bool) (limits [3]float64, p99 time.Duration) {
		s := newSim(4, 7)
		l := New(Config{Slots: 12, SlowStart: 2 * time.Second, Clock: s.clock})
		arrive, step := s.withLimiter(l)
		s.offer(100, Request{Class: "top", Priority: 2}, arrive)
		s.offer(1800, Request{Class: "low"}, arrive)
		mean := func() float64 {
			sum, n := 0.0, 0
			s.runFor(20*time.Second, func() {
				if fixed {
					l.controller.limit, l.controller.probing = 12, false
				}
				if l.Limit() > 12 {
					t.Fatalf("limit = %d, want at most the 12 reported slots", l.Limit())
				}
				sum += float64(l.Limit())
				n++
				step()
			})
			return sum / float64(n)
		}
		mean()
		s.stats["top"].latency = nil
		limits[0] = mean()
		p99 = s.stats["top"].p99()
		if fixed {
			return limits, p99
		}
		s.freeAt = append(s.freeAt, make([]time.Time, 8)...)
		mean()
		limits[1] = mean()
		s.service *= 3
		mean()
		limits[2] = mean()
		return limits, p99
	}
	got, p99 := measure(false)
	_, fixedP99 := measure(true)
	t.Logf("seed 7: mean limit %.1f with 4 of 12 reported slots, %.1f after recovery, %.1f with service time times 3", got[0], got[1], got[2])
	t.Logf("seed 7: p99 of the top class with 4 of 12 slots: %v, with a fixed limit %v", p99.Round(100*time.Microsecond), fixedP99.Round(100*time.Microsecond))
	if got[0] > 6 || got[1] < 11 || got[2] < 10 {
		t.Errorf("mean limits = %.1f, want at most 6, then at least 11, then at least 10", got)
	}
	if p99 >= fixedP99 {
		t.Errorf("p99 = %v, want less than %v with a fixed limit", p99, fixedP99)
	}
}

// Guards against a flood from one tenant that starves another tenant of its class.
func TestFlood(t *testing.T) {
	s := newSim(12, 7)
	arrive, step := s.withLimiter(New(Config{Slots: 12, MaxQueued: 64, Clock: s.clock}))
	s.offer(12000, Request{Class: "c", Tenant: "flood"}, arrive)
	s.offer(400, Request{Class: "c", Tenant: "calm"}, arrive)
	s.runFor(10*time.Second, step)
	o := s.stats["ccalm"]
	share := float64(o.inTime) / float64(o.offered)
	t.Logf("seed 7: tenant with a third of capacity beside a flood of 10 times: %.3f answered in time", share)
	if share < 0.95 {
		t.Errorf("share of the calm tenant's requests answered in time = %.3f, want at least 0.95", share)
	}
}
