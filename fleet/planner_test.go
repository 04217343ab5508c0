package fleet

import (
	"testing"

	"burdocklift/span"
)

// Guards against keys that go to targets which only had a few quick requests:
// they were given several times their share.
func TestCapacity(t *testing.T) {
	member := func(name string) Member {
		return Member{Name: name, Target: &Target{Life: span.Incarnation{Target: name}, Slots: 10}}
	}
	report := func(name string, done int, mean float64) Report {
		return Report{Name: name, Life: span.Incarnation{Target: name}, Done: done, Work: mean * float64(done)}
	}
	var p planner
	p.init(0)
	for range 20 {
		p.observe(report("average", 40, 0.2))
		p.observe(report("slow", 40, 0.4))
	}
	p.observe(report("lucky", 2, 0.02))
	average := p.capacity(member("average"), p.mean())
	assertRatio := func(name string, from, to float64) {
		t.Helper()
		if r := p.capacity(member(name), p.mean()) / average; r < from || r > to {
			t.Errorf("%s target counts as %.2f average ones, want %.2f to %.2f", name, r, from, to)
		}
	}
	assertRatio("slow", 0.45, 0.6)
	assertRatio("lucky", 0.6, 1.1)
	assertRatio("new", 0.6, 0.8)
}
