package pick

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// server is a simulated target with one queue in order of arrival, and the state
// that it reports.
type server struct {
	free             []time.Duration // when each slot is free
	failing          bool            // fails every request after 1 ms
	load             int             // as last reported
	reportsNoLoad    bool
	reportsUnhealthy bool
}

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

// simClock is a clock that only the simulation advances. It has no timers: those
// of a fake clock take most of the test's time under the race detector.
type simClock struct {
	clockwork.Clock
	now time.Time
}

func (c *simClock) Now() time.Time { return c.now }

// balancer picks the index of a target for each request of a node and is told the
// outcome.
type balancer struct {
	pick func(node int) int
	done func(node, target int, ok bool)
}

type figures struct {
	p99       time.Duration
	failed    float64
	imbalance float64
}

// simulate runs a load, in percent of the capacity of 4 targets with 12 slots and
// 10 ms mean service time, from 4 nodes for 4 s.
func simulate(seed uint64, servers []*server, percent int, report time.Duration, clock *simClock, b balancer) figures {
	const nodes, end = 4, 4 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	var now time.Duration
	var events eventQueue
	after := func(d time.Duration, do func()) { heap.Push(&events, simEvent{now + d, do}) }
	exp := func(mean time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean)) }
	inFlight := make([]int, len(servers))
	work := make([]float64, len(servers))
	var latency []time.Duration
	total, failed := 0, 0
	send := func() {
		node, serviceTime := rng.IntN(nodes), exp(10*time.Millisecond)
		i := b.pick(node)
		s := servers[i]
		inFlight[i]++
		work[i]++
		total++
		d := time.Millisecond
		if !s.failing {
			k := slices.Index(s.free, slices.Min(s.free))
			s.free[k] = max(s.free[k], now) + serviceTime
			d = s.free[k] - now
		}
		after(d, func() {
			inFlight[i]--
			if s.failing {
				failed++
				d = end // a failure counts as longer than any wait
			}
			latency = append(latency, d)
			b.done(node, i, !s.failing)
		})
	}
	var next, reportLoad func()
	next = func() { send(); after(exp(10*time.Millisecond*100/time.Duration(48*percent)), next) }
	reportLoad = func() {
		for i, s := range servers {
			s.load = inFlight[i]
			if s.reportsNoLoad {
				s.load = 0
			}
		}
		after(report, reportLoad)
	}
	after(0, reportLoad)
	after(0, next)
	for events[0].at < end {
		e := heap.Pop(&events).(simEvent)
		clock.now = clock.now.Add(e.at - now)
		now = e.at
		e.do()
	}
	slices.Sort(latency)
	sum := 0.0
	for _, w := range work {
		sum += w
	}
	return figures{
		p99:    latency[len(latency)*99/100],
		failed: float64(failed) / float64(total), imbalance: slices.Max(work) * float64(len(work)) / sum,
	}
}

// Guards against a Picker that does worse than a baseline policy when reports are
// false. It logs the figures of all policies, also where a baseline is better.
func TestDifferential(t *testing.T) {
	policies := []string{"power of two", "round robin", "random", "least reported load"}
	for _, sc := range []struct {
		name         string
		load         int // percentage of capacity
		report       time.Duration
		change       func(s []*server)
		falseReports bool
	}{
		{"true reports every 1 ms", 85, time.Millisecond, func([]*server) {}, false},
		{"reports lag 500 ms", 85, 500 * time.Millisecond, func([]*server) {}, false},
		{"one target falsely reports no load", 85, 10 * time.Millisecond, func(s []*server) { s[0].reportsNoLoad = true }, true},
		{"two healthy targets report to be unhealthy", 85, 10 * time.Millisecond, func(s []*server) { s[0].reportsUnhealthy, s[1].reportsUnhealthy = true, true }, true},
		{"one target reports 12 slots, has 6", 85, 10 * time.Millisecond, func(s []*server) { s[0].free = s[0].free[:6] }, true},
		{"one target fails all requests, falsely reports no load", 70, 10 * time.Millisecond, func(s []*server) { s[0].failing, s[0].reportsNoLoad = true, true }, true},
		{"one target fails all requests, falsely reports no load", 85, 10 * time.Millisecond, func(s []*server) { s[0].failing, s[0].reportsNoLoad = true, true }, true},
	} {
		for _, seed := range []uint64{1, 2} {
			got := make([]figures, len(policies))
			for i, name := range policies {
				servers := make([]*server, 4)
				for k := range servers {
					servers[k] = &server{free: make([]time.Duration, 12)}
				}
				sc.change(servers)
				clock := &simClock{now: time.Unix(0, 0)}
				got[i] = simulate(seed, servers, sc.load, sc.report, clock, policy(name, seed, servers, clock))
				t.Logf("seed %d, load %d%%, %s, %s: p99 %v, failed %.3f, imbalance %.2f", seed, sc.load, sc.name, name, got[i].p99.Round(100*time.Microsecond), got[i].failed, got[i].imbalance)
			}
			for i, baseline := range got[1:] {
				if sc.falseReports && (got[0].failed > baseline.failed || got[0].p99 > baseline.p99) {
					t.Errorf("seed %d, %s: p99 or failures are above those of %s", seed, sc.name, policies[i+1])
				}
			}
		}
	}
}

// policy returns a balancer: one Picker per node, or a baseline policy. The
// baselines ignore health reports, which gives them an advantage here.
func policy(name string, seed uint64, servers []*server, clock *simClock) balancer {
	rng := rand.New(rand.NewPCG(seed, 2))
	none := func(int, int, bool) {}
	turn := make([]int, 4)
	switch name {
	case "round robin":
		return balancer{func(n int) int { turn[n]++; return (turn[n] + n) % len(servers) }, none}
	case "random":
		return balancer{func(int) int { return rng.IntN(len(servers)) }, none}
	case "least reported load":
		return balancer{func(int) int {
			best := rng.IntN(len(servers))
			for i, s := range servers {
				if s.load < servers[best].load {
					best = i
				}
			}
			return best
		}, none}
	}
	cs := pool(len(servers))
	index := make(map[string]int)
	pickers := make([]*Picker, 4)
	for i, s := range servers {
		cs[i].Unhealthy = s.reportsUnhealthy
		index[cs[i].Name] = i
	}
	for n := range pickers {
		pickers[n] = New(Config{Clock: clock, Seed: seed + uint64(n)})
	}
	return balancer{
		func(n int) int { c, _ := pickers[n].Pick(cs); return index[c.Name] },
		func(n, i int, ok bool) { pickers[n].Done(cs[i], Result{Success: ok}) },
	}
}
