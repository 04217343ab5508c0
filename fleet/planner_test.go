package fleet

import (
	"testing"

	"burdocklift/span"
)

// Guards against a target with only a few quick answers being given several times its
// share of the keys.
func TestCapacity(t *testing.T) {
	member := func(name string) Member {
		return Member{Name: name, Target: &Target{Incarnation: span.Incarnation{Target: name}, Slots: 10}}
	}
	report := func(name string, done int, mean float64) Report {
		return Report{Name: name, Incarnation: span.Incarnation{Target: name}, Answered: done, ServiceSeconds: mean * float64(done)}
	}
	var p planner
	p.init(0)
	for range 20 {
		p.observeServiceTimes(report("average", 40, 0.2))
		p.observeServiceTimes(report("slow", 40, 0.4))
	}
	p.observeServiceTimes(report("few quick answers", 2, 0.02))
	average := p.capacity(member("average"), p.meanServiceTime(), 15)
	assertRatio := func(name string, from, to float64) {
		t.Helper()
		if r := p.capacity(member(name), p.meanServiceTime(), 15) / average; r < from || r > to {
			t.Errorf("target %q has the capacity of %.2f average ones, want %.2f to %.2f", name, r, from, to)
		}
	}
	assertRatio("slow", 0.45, 0.6)
	assertRatio("few quick answers", 0.6, 1.1)
	assertRatio("new", 0.6, 0.8)
	limited := member("average")
	limited.Target.Limit = 7
	if c := p.capacity(limited, p.meanServiceTime(), 15); c != 7 {
		t.Errorf("capacity is %v a second, want the limit of 7 that the target names", c)
	}
	cold := member("average")
	cold.Target.Cold = true
	if c := p.capacity(cold, p.meanServiceTime(), 15); c != 15 {
		t.Errorf("capacity of a cold target is %v a second, want the 15 that it tolerates", c)
	}
}
