package retry

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

type simEvent struct {
	at time.Duration
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	*q = (*q)[:n]
	return x
}

// simulateHedging simulates 4 targets with 12 slots and 10 ms mean service time
// for 20 s. It returns p99 and the ratios of all work and of all attempts to those
// of first attempts. A hedge is not cancelled when the other attempt answers, so
// its work counts in full.
func simulateHedging(seed uint64, percent int, hedged, stalls, inherent, uniform bool) (p99 time.Duration, load, attempts float64) {
	const end = 20 * time.Second
	rng := rand.New(rand.NewPCG(seed, 3))
	jitter := rand.New(rand.NewPCG(seed, 4)) // for choices that differ with hedging
	var now time.Duration
	var events eventQueue
	after := func(d time.Duration, do func()) { heap.Push(&events, simEvent{now + d, do}) }
	exp := func(r *rand.Rand, mean time.Duration) time.Duration {
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
	newServiceTime := func(r *rand.Rand) time.Duration { // uniform times are from 5 to 15 ms
		if uniform {
			return time.Duration((0.5 + r.Float64()) * float64(10*time.Millisecond))
		}
		return exp(r, 10*time.Millisecond)
	}
	free := make([][12]time.Duration, 4)
	inFlight := make([]int, len(free))
	var h Hedge
	var b Budget
	var latency []time.Duration
	var first, extra time.Duration
	run := func(i int, work time.Duration, done func()) {
		k := 0
		for j := range free[i] {
			if free[i][j] < free[i][k] {
				k = j
			}
		}
		free[i][k] = max(free[i][k], now) + work
		inFlight[i]++
		after(free[i][k]-now, func() { inFlight[i]--; done() })
	}
	choose := func(skip int) int { // power of two choices
		i, j := jitter.IntN(4), jitter.IntN(4)
		if i == skip || j != skip && inFlight[j] < inFlight[i] {
			i = j
		}
		if i == skip {
			i = (i + 1) % 4
		}
		return i
	}
	send := func() {
		start, answered := now, false
		done := func() {
			if !answered {
				answered = true
				latency = append(latency, now-start)
				h.Observe(now - start)
			}
		}
		work, i := newServiceTime(rng), choose(-1)
		b.RecordFirst()
		first += work
		run(i, work, done)
		wait, ok := h.Delay()
		if !hedged || !ok {
			return
		}
		after(wait, func() {
			load := float64(inFlight[0]+inFlight[1]+inFlight[2]+inFlight[3]) / 48
			if answered || !h.Allow(&b, Attempt{Idempotent: true, NoDeadline: true}, load) {
				return
			}
			hedgeWork := newServiceTime(jitter)
			if inherent {
				hedgeWork = work
			}
			extra += hedgeWork
			run(choose(i), hedgeWork, done)
		})
	}
	var next, stall func()
	next = func() { send(); after(exp(rng, time.Second/time.Duration(48*percent)), next) }
	stall = func() { // a pause of 100 ms, which delays the requests that have not started
		i := rng.IntN(4)
		for k := range free[i] {
			free[i][k] = max(free[i][k], now) + 100*time.Millisecond
		}
		after(exp(rng, time.Second), stall)
	}
	after(0, next)
	if stalls {
		after(0, stall)
	}
	for events[0].at < end {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.do()
	}
	slices.Sort(latency)
	c := b.Counts()
	return latency[len(latency)*99/100], float64(first+extra) / float64(first), float64(c.First+c.Allowed) / float64(c.First)
}

// Guards against hedging that costs work without lowering latency: at low load the
// mean p99 must fall, elsewhere it may rise by 2% at most, and no run may do more
// than 1.1 times the work. All figures are logged, also where hedging does not
// help.
func TestHedging(t *testing.T) {
	const firstSeed, seeds = 11, 8
	for _, c := range []struct {
		name                      string
		percent                   int
		stalls, inherent, uniform bool
		gain                      bool
	}{
		{"time varies by attempt", 40, false, false, false, true},
		{"time varies by attempt", 70, false, false, false, false},
		{"time varies by attempt", 90, false, false, false, false},
		{"targets stall", 40, true, true, false, true},
		{"targets stall", 70, true, true, false, false},
		{"targets stall", 90, true, true, false, false},
		{"uniform times, targets stall", 40, true, true, true, true},
		{"uniform times, targets stall", 70, true, true, true, false},
		{"uniform times, targets stall", 90, true, true, true, false},
		{"time inherent in the request", 70, false, true, false, false},
	} {
		var plain, hedged time.Duration
		var maxWork, attempts float64
		for seed := uint64(firstSeed); seed < firstSeed+seeds; seed++ {
			p, _, _ := simulateHedging(seed, c.percent, false, c.stalls, c.inherent, c.uniform)
			h, work, n := simulateHedging(seed, c.percent, true, c.stalls, c.inherent, c.uniform)
			plain += p / seeds
			hedged += h / seeds
			maxWork = max(maxWork, work)
			attempts = max(attempts, n)
		}
		t.Logf("seeds %d to %d, %s, load %d%%: mean p99 %v, hedged %v, greatest ratio of work %.3f, of attempts %.3f", firstSeed, firstSeed+seeds-1,
			c.name, c.percent, plain.Round(100*time.Microsecond), hedged.Round(100*time.Microsecond), maxWork, attempts)
		if c.gain && hedged >= plain {
			t.Errorf("%s, load %d%%: hedging does not lower p99", c.name, c.percent)
		}
		if float64(hedged) > 1.02*float64(plain) {
			t.Errorf("%s, load %d%%: hedging raises p99 by more than 2%%", c.name, c.percent)
		}
		if maxWork > 1.1 {
			t.Errorf("%s, load %d%%: ratio of work is %.3f, want at most 1.1", c.name, c.percent, maxWork)
		}
	}
}
