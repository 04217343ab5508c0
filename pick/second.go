package pick

import (
	"math"
	"slices"
	"time"
)

// Second is what is expected of a copy of a request that runs at a first target.
type Second struct {
	Time   time.Duration // until the answer of the copy
	Free   bool          // its target has a free slot
	Load   float64       // ratio of requests to slots over the candidates, infinite if unknown
	Queued bool          // requests wait at the first target's node
}

// Second chooses the target for a copy of a request as PickExpected does, among the
// candidates other than the first target, but does not count the copy: Take does. It returns
// false if there are no others.
func (p *Picker) Second(class, first string, candidates []Candidate) (Candidate, Second, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaults()
	others := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Name == first })
	if len(others) == 0 {
		return Candidate{}, Second{}, false
	}
	now := p.clock.Now()
	best := p.leastExpected(now, class, others)
	o := best.outlook
	s := Second{
		Time: time.Duration(o.time() * float64(time.Second)), Free: o.ahead+1 <= o.slots && !best.target.ejected(now),
		Load: p.load(now, candidates), Queued: p.queued(now, first),
	}
	return others[best.index], s, true
}

// Take counts a request in flight at a candidate that Second returned, as Pick does.
func (p *Picker) Take(c Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaults()
	now := p.clock.Now()
	p.target(now, c.Name, true).count(now)
}

// load returns the ratio of requests to slots by recent replies.
func (p *Picker) load(now time.Time, candidates []Candidate) float64 {
	requests, slots := 0.0, 0.0
	for _, c := range candidates {
		t := p.targets[c.Name]
		if t == nil || t.report.load.Limit <= 0 {
			continue
		}
		w := t.report.weight(now, groupLifetime)
		requests += w * float64(t.report.load.Running+t.report.load.Waiting)
		slots += w * float64(t.report.load.Limit)
	}
	if slots == 0 {
		return math.Inf(1)
	}
	return requests / slots
}

// queued reports whether requests wait at a target's node, by its last reply if that is
// recent, or by what this node itself sent to it.
func (p *Picker) queued(now time.Time, name string) bool {
	t := p.targets[name]
	if t == nil {
		return false
	}
	limit := t.report.load.Limit
	return t.report.weight(now, reportLifetime) > 0 && t.report.load.Waiting > 0 || limit > 0 && t.inFlight > limit
}
