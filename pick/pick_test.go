package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	_ "burdocklift/seeds"
)

func pool(n int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{Name: fmt.Sprint("t", i), Slots: 12}
	}
	return cs
}

// pickUnfinished picks n times without calling Done and returns the picks per
// target.
func pickUnfinished(t rapid.TB, p *Picker, cs []Candidate, n int) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for range n {
		c, ok := p.Pick(cs)
		if !ok {
			t.Fatal("no target chosen")
		}
		got[c.Name]++
	}
	return got
}

// failUntilEjected fails the requests to one target until it is ejected.
func failUntilEjected(p *Picker, cs []Candidate, name string) {
	for i := 0; i < 10000 && !p.Ejected(name); i++ {
		c, _ := p.Pick(cs)
		p.Done(c, Result{Success: c.Name != name})
	}
}

// Guards against traffic over paid links to distant targets while nearer ones have
// free slots, and against overload of near targets while distant ones have free
// slots.
func TestNearestTargetsFirst(t *testing.T) {
	cs := []Candidate{
		{Name: "far", DataCentre: "Bonny", Region: "Rivers", Slots: 10},
		{Name: "region", DataCentre: "Nembe", Region: "Bayelsa", Slots: 10},
		{Name: "local", DataCentre: "Brass", Region: "Bayelsa", Slots: 10},
	}
	p := New(Config{DataCentre: "Brass", Region: "Bayelsa", Clock: clockwork.NewFakeClock()})
	for i, want := range []map[string]int{{"local": 8}, {"local": 8, "region": 8}, {"local": 10, "region": 10, "far": 10}} {
		got := pickUnfinished(t, p, cs, []int{8, 8, 14}[i])
		for name := range want {
			if n := p.InFlight(name); n < want[name]-2 || n > want[name]+2 {
				t.Fatalf("step %d: %s has %d in flight, want %d", i, name, n, want[name])
			}
		}
		if len(got) > len(want) {
			t.Fatalf("step %d: picked %v, want only the targets of %v", i, got, want)
		}
	}
	p = New(Config{DataCentre: "Brass", Region: "Bayelsa", Clock: clockwork.NewFakeClock()})
	c, _ := p.Pick(cs)
	p.Done(c, Result{Busy: true})
	if c, _ = p.Pick(cs); c.Name != "region" {
		t.Fatalf("picked %s, want region, as the local target is busy", c.Name)
	}
}

// Guards against a failing target that isn't ejected, and against one that returns
// with full load or never.
func TestEjection(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(Config{Clock: clock})
	cs := pool(4)
	for _, d := range []time.Duration{1, 2, 4} { // the ejection time doubles
		failUntilEjected(p, cs, "t0")
		clock.Advance(d*time.Second - 1)
		if n := pickUnfinished(t, p, cs, 40)["t0"]; n != 0 {
			t.Fatalf("ejected target got %d requests, want none", n)
		}
		clock.Advance(1)
		if p.Ejected("t0") {
			t.Fatalf("target is still ejected after %d s", d)
		}
		for _, c := range cs {
			for p.InFlight(c.Name) > 0 {
				p.Done(c, Result{Success: true})
			}
		}
	}
	got := pickUnfinished(t, p, cs, 40)["t0"]
	clock.Advance(DefaultSlowStart)
	full := pickUnfinished(t, p, cs, 40)["t0"]
	if got > 4 || full < 12 {
		t.Fatalf("returning target got %d of 40 requests at the start of slow start, want at most 4; got %d after it, want at least 12", got, full)
	}
}

// Guards against health reports or failures that empty the pool: at least half of
// the targets must remain eligible, and a false report must not cost capacity.
func TestPoolIsNeverEmpty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		p := New(Config{Clock: clock, Seed: rapid.Uint64().Draw(rt, "seed")})
		cs := pool(rapid.IntRange(1, 9).Draw(rt, "targets"))
		for i := range cs {
			cs[i].Unhealthy = rapid.Bool().Draw(rt, "unhealthy")
		}
		for range 300 {
			c, ok := p.Pick(cs)
			if !ok {
				rt.Fatal("no target chosen")
			}
			p.Done(c, Result{})
			clock.Advance(time.Millisecond)
		}
		if got := pickUnfinished(rt, p, cs, 400); len(got) < (len(cs)+1)/2 {
			rt.Fatalf("%d of %d targets are eligible, want at least half", len(got), len(cs))
		}
	})
	clock := clockwork.NewFakeClock()
	p := New(Config{Clock: clock})
	cs := pool(4)
	cs[0].Unhealthy, cs[1].Unhealthy = true, true
	for range 200 {
		c, _ := p.Pick(cs)
		p.Done(c, Result{Success: true})
	}
	if got := pickUnfinished(t, p, cs, 40); got["t0"]+got["t1"] < 15 {
		t.Fatalf("requests per target are %v, want at least 15 of 40 at t0 and t1, which are falsely reported unhealthy", got)
	}
}

func BenchmarkPick(b *testing.B) {
	p := New(Config{})
	cs := pool(4)
	b.ReportAllocs()
	for b.Loop() {
		c, _ := p.Pick(cs)
		p.Done(c, Result{Success: true})
	}
}
