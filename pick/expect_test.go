package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// at returns a candidate with 8 slots.
func at(name, dataCentre, region string) Candidate {
	return Candidate{Name: name, DataCentre: dataCentre, Region: region, Slots: 8}
}

// share returns the part of choices that go to a target, whose node keeps saying the same.
func share(p *Picker, clock *clockwork.FakeClock, cs []Candidate, loads map[string]Load, name string) float64 {
	const rounds = 200
	hits := 0
	for range rounds {
		c, _ := p.PickExpected("a", cs)
		if c.Name == name {
			hits++
		}
		clock.Advance(10 * time.Millisecond)
		p.Done(c, Result{Success: true})
		for target, l := range loads {
			p.Report(target, "a", l)
		}
	}
	return float64(hits) / rounds
}

// Guards against a longer path that is taken for a gain below its cost, or not taken for one
// above it, and against slow or full targets near by that are preferred.
func TestPickExpected(t *testing.T) {
	idle := Load{Running: 2, Limit: 8, ServiceTime: 100 * time.Millisecond}
	waiting := func(n int) Load {
		return Load{Running: 8, Waiting: n, Limit: 8, ServiceTime: 100 * time.Millisecond}
	}
	slow := idle
	slow.Pace = 3
	for _, tc := range []struct {
		name        string
		near, other Load
		otherCentre string
		otherRegion string
		least, most float64 // share of the other target
	}{
		{"full target near by", waiting(8), idle, "dc1", "r1", 0.9, 1},
		{"slow target near by", slow, idle, "dc1", "r1", 0.9, 1},
		{"short queue, other data centre", waiting(1), idle, "dc2", "r1", 0, 0.05},
		{"long queue, other data centre", waiting(8), idle, "dc2", "r1", 0.9, 1},
		{"long queue, other region", waiting(8), idle, "dc3", "r2", 0, 0.05},
		{"very long queue, other region", waiting(48), idle, "dc3", "r2", 0.9, 1},
		{"very long queues, other region", waiting(48), waiting(40), "dc3", "r2", 0, 0.05},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := New(Config{DataCentre: "dc1", Region: "r1", Clock: clock, Seed: 1})
			cs := []Candidate{at("near", "dc1", "r1"), at("other", tc.otherCentre, tc.otherRegion)}
			loads := map[string]Load{"near": tc.near, "other": tc.other}
			share(p, clock, cs, loads, "")
			if got := share(p, clock, cs, loads, "other"); got < tc.least || got > tc.most {
				t.Errorf("%.2f of the requests go to the other target, want %.2f to %.2f", got, tc.least, tc.most)
			}
		})
	}
	t.Run("old figures count nothing", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		p := New(Config{DataCentre: "dc1", Region: "r1", Clock: clock, Seed: 1})
		cs := []Candidate{at("a", "dc1", "r1"), at("b", "dc1", "r1")}
		share(p, clock, cs, map[string]Load{"a": waiting(16), "b": idle}, "")
		clock.Advance(groupLifetime)
		if got := share(p, clock, cs, nil, "a"); got < 0.4 {
			t.Errorf("%.2f of the requests go to a target that was full long ago", got)
		}
	})
}

// Guards against latencies that follow waits, or faulty figures of other nodes, and against
// ones that stay at a figure that was once too low.
func TestLatencies(t *testing.T) {
	const ms = time.Millisecond
	l := NewLatencies("dc1", "r1")
	if got := l.OneWay("dc2", SameRegion); got != defaultLatency[SameRegion] {
		t.Errorf("default is %v", got)
	}
	for range 100 {
		l.Observe("dc2", "r1", 6*ms)
		l.Observe("dc2", "r1", 500*ms)
	}
	if got := l.OneWay("dc2", SameRegion); got < 3*ms || got > 4*ms {
		t.Errorf("latency is %v beside waits, want 3 ms to 4 ms", got)
	}
	l.Observe("dc2", "r1", -time.Hour)
	for range 1000 {
		l.Observe("dc2", "r1", 8*ms)
	}
	if got := l.OneWay("dc2", SameRegion); got < 3900*time.Microsecond || got > 4*ms {
		t.Errorf("latency is %v after a faulty figure, want 4 ms", got)
	}
}

func BenchmarkPickExpected(b *testing.B) {
	for _, n := range []int{24, 300} {
		var cs []Candidate
		for i := range n {
			cs = append(cs, at(fmt.Sprint(i), fmt.Sprint("dc", i%4), fmt.Sprint("r", i%2)))
		}
		p := New(Config{DataCentre: "dc1", Region: "r1", Latencies: NewLatencies("dc1", "r1")})
		b.Run(fmt.Sprint("own counts, targets ", n), func(b *testing.B) {
			for b.Loop() {
				c, _ := p.Pick(cs)
				p.Done(c, Result{Success: true})
			}
		})
		b.Run(fmt.Sprint("expected time, targets ", n), func(b *testing.B) {
			for b.Loop() {
				c, _ := p.PickExpected("a", cs)
				p.Report(c.Name, "a", Load{Running: 2, Limit: 8, ServiceTime: time.Millisecond})
				p.Done(c, Result{Success: true})
			}
		})
	}
}

// Guards against requests that may run anywhere and wait, or make others wait, at targets to
// which other requests are confined, while targets of another region have free slots.
func TestContendedTargets(t *testing.T) {
	idle := Load{Running: 2, Limit: 8, ServiceTime: 100 * time.Millisecond}
	waiting := Load{Running: 8, Waiting: 8, Limit: 8, ServiceTime: 100 * time.Millisecond}
	for _, tc := range []struct {
		name                       string
		near                       Load
		nearContended, farContends bool
		least, most                float64 // share of the other region
	}{
		{"queue at contended targets", waiting, true, false, 0.9, 1},
		{"no queue there", idle, true, false, 0, 0.05},
		{"queue, not contended", waiting, false, false, 0, 0.05},
		{"both contended", waiting, true, true, 0, 0.05},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := New(Config{DataCentre: "dc1", Region: "r1", Clock: clock, Seed: 1})
			cs := []Candidate{at("near", "dc1", "r1"), at("far", "dc3", "r2")}
			cs[0].Contended, cs[1].Contended = tc.nearContended, tc.farContends
			loads := map[string]Load{"near": tc.near, "far": idle}
			share(p, clock, cs, loads, "")
			if got := share(p, clock, cs, loads, "far"); got < tc.least || got > tc.most {
				t.Errorf("%.2f of the requests go to the other region, want %.2f to %.2f", got, tc.least, tc.most)
			}
		})
	}
}
