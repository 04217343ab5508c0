package triage

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// workload is a generated load: arrival and service times of requests.
type workload struct {
	arrivals     []time.Duration
	serviceTimes []time.Duration
}

// burst returns a load of 1.5 times the capacity of a target's slots.
func burst(seed uint64, slots int, mean time.Duration, length time.Duration) workload {
	r := rand.New(rand.NewPCG(seed, 1))
	var w workload
	gap := float64(mean) / float64(slots) / 1.5
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * gap) {
		w.arrivals = append(w.arrivals, at)
		w.serviceTimes = append(w.serviceTimes, time.Duration((0.7+0.6*r.Float64())*float64(mean)))
	}
	return w
}

const (
	testSlots     = 12
	testWork      = 220 * time.Millisecond
	testObjective = 600 * time.Millisecond
	testDeadline  = 4 * time.Second
)

// simulate runs a workload through a Limiter and returns how many requests were
// answered within their objective, answered later, and refused.
func simulate(t *testing.T, load workload) (inTime, late, refused int) {
	t.Helper()
	var l Limiter
	l.SetSlots(testSlots)
	type running struct {
		ends  time.Duration
		index int
	}
	var active []running
	waiting := map[int]*Waiter{}
	start := func(i int, now time.Duration) { active = append(active, running{now + load.serviceTimes[i], i}) }
	collect := func(now time.Duration) {
		for i, w := range waiting {
			select {
			case err := <-w.Done():
				delete(waiting, i)
				if err == nil {
					start(i, now)
				} else {
					refused++
				}
			default:
			}
		}
	}
	finish := func(until time.Duration) {
		for len(active) > 0 {
			next := slices.MinFunc(active, func(a, b running) int { return int(a.ends - b.ends) })
			if next.ends > until {
				return
			}
			active = slices.DeleteFunc(active, func(a running) bool { return a.index == next.index })
			if next.ends <= load.arrivals[next.index]+testObjective {
				inTime++
			} else {
				late++
			}
			l.Release("lookup", load.serviceTimes[next.index], true, next.ends)
			collect(next.ends)
		}
	}
	for i, at := range load.arrivals {
		finish(at)
		w, err := l.Acquire(Request{Class: "lookup", Objective: at + testObjective, Deadline: at + testDeadline}, at)
		switch {
		case err != nil:
			refused++
		case w != nil:
			waiting[i] = w
		default:
			start(i, at)
		}
		collect(at)
	}
	finish(time.Hour)
	return inTime, late, refused
}

// simulateFIFO is the baseline: requests run in order of arrival.
func simulateFIFO(load workload) (inTime, late int) {
	free := make([]time.Duration, testSlots)
	for i, at := range load.arrivals {
		slices.Sort(free)
		begin := max(free[0], at)
		if begin+load.serviceTimes[i] > at+testDeadline {
			continue
		}
		free[0] = begin + load.serviceTimes[i]
		if free[0] <= at+testObjective {
			inTime++
		} else {
			late++
		}
	}
	return inTime, late
}

// Guards against a queue that answers nearly all requests late during a burst.
func TestBurst(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		load := burst(seed, testSlots, testWork, 6*time.Second)
		fifo, _ := simulateFIFO(load)
		inTime, late, refused := simulate(t, load)
		if inTime+late+refused != len(load.arrivals) {
			t.Errorf("seed %d: %d of %d requests have an outcome", seed, inTime+late+refused, len(load.arrivals))
		}
		capacity := int(6 * time.Second / testWork * testSlots)
		t.Logf("seed %d: %d requests, capacity %d: within objective %d, late %d, refused %d; in order of arrival, within objective %d", seed, len(load.arrivals), capacity, inTime, late, refused, fifo)
		if inTime < capacity*8/10 {
			t.Errorf("seed %d: %d requests answered within objective, want at least 0.8 of capacity %d", seed, inTime, capacity)
		}
		if inTime < 2*fifo {
			t.Errorf("seed %d: %d requests answered within objective, want at least twice the %d in order of arrival", seed, inTime, fifo)
		}
	}
}

func newSaturated(t *testing.T, slots int) *Limiter {
	t.Helper()
	var l Limiter
	l.SetSlots(slots)
	for range slots {
		if w, err := l.Acquire(Request{Objective: time.Second, Deadline: 2 * time.Second}, 0); w != nil || err != nil {
			t.Fatalf("request is queued or refused although a slot is free: %v", err)
		}
	}
	return &l
}

func enqueue(t *testing.T, l *Limiter, r Request, now time.Duration) *Waiter {
	t.Helper()
	w, err := l.Acquire(r, now)
	if err != nil || w == nil {
		t.Fatalf("request is not queued: %v", err)
	}
	return w
}

func assertGranted(t *testing.T, w *Waiter, want bool) {
	t.Helper()
	select {
	case err := <-w.Done():
		if want != (err == nil) {
			t.Errorf("slot is granted or refused against expectation, error is %v", err)
		}
	default:
		if want {
			t.Error("request is still queued")
		}
	}
}

// Guards against less urgent requests that run before urgent ones, against
// refusing a retry that came when told, and against queueing a request that
// can't meet its deadline.
func TestOrder(t *testing.T) {
	t.Run("urgent first", func(t *testing.T) {
		l := newSaturated(t, 2)
		low := enqueue(t, l, Request{Urgency: -2, Objective: time.Second, Deadline: 2 * time.Second}, 0)
		high := enqueue(t, l, Request{Urgency: -1, Objective: time.Second, Deadline: 2 * time.Second}, 0)
		l.Release("", testWork, true, 10*time.Millisecond)
		assertGranted(t, high, true)
		assertGranted(t, low, false)
	})
	t.Run("late retry is queued", func(t *testing.T) {
		l := newSaturated(t, 2)
		late := enqueue(t, l, Request{Age: time.Second, Objective: -time.Second, Deadline: 2 * time.Second}, 0)
		l.Release("", testWork, true, 10*time.Millisecond)
		assertGranted(t, late, true)
	})
	t.Run("request that can't meet its deadline is refused with retry-after", func(t *testing.T) {
		l := newSaturated(t, 2)
		_, err := l.Acquire(Request{Objective: 50 * time.Millisecond, Deadline: 100 * time.Millisecond}, 0)
		var refusal Refusal
		if !errors.Is(err, ErrRefused) || !errors.As(err, &refusal) || refusal.RetryAfter < minRetryAfter {
			t.Errorf("error is %v, want a Refusal with at least the lowest retry-after delay", err)
		}
	})
}

// Guards against a slot that leaks when a queued request is cancelled.
func TestCancel(t *testing.T) {
	l := newSaturated(t, 1)
	w := enqueue(t, l, Request{Objective: time.Second, Deadline: 2 * time.Second}, 0)
	if !l.Cancel(w) {
		t.Error("queued request is not removed")
	}
	l.Release("", testWork, true, 0)
	if running, waiting, _ := l.Load(); running != 0 || waiting != 0 {
		t.Errorf("%d requests run and %d wait after all have ended, want none", running, waiting)
	}
}

// Guards against a limit that stays low after a single rejection by the target.
func TestLimitRecovers(t *testing.T) {
	l := newSaturated(t, 4)
	l.LowerLimit(0)
	if _, _, limit := l.Load(); limit != 3 {
		t.Errorf("limit is %d after a rejection, want 3", limit)
	}
	enqueue(t, l, Request{Objective: 2 * time.Second, Deadline: 4 * time.Second}, 2*limitRecoveryInterval)
	if _, _, limit := l.Load(); limit != 4 {
		t.Errorf("limit is %d after recovery, want 4", limit)
	}
}
