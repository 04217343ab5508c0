package pick

import (
	"math"
	"time"
)

const (
	// reportLifetime is the age at which the figures of a reply say nothing of the target
	// any more. Their weight falls linearly, as queues fill and empty within it.
	reportLifetime = time.Second
	// groupLifetime is the same for the mean load of the targets on a path, which changes
	// more slowly. It stands in for a target without a recent reply.
	groupLifetime = 5 * time.Second
	// slowdownTime is for how long a target that has just named another pace is expected to
	// keep it. Short slowdowns last 0.4 s; what lasts is in the service times.
	slowdownTime = 300 * time.Millisecond
	// unknownLoad is the ratio of requests to slots that is assumed before any reply: busy,
	// with a slot free. Its weight is a tenth of that of one recent reply.
	unknownLoad       = 0.8
	unknownLoadWeight = 0.1
	// paceLifetime is how long after a target of the service named its pace the choice
	// goes by expected times.
	paceLifetime = time.Minute
	// maxTimes bounds the classes whose service times are kept of a target. Their names
	// come from the rules.
	maxTimes = 64
	// timeWeight is the weight of a new service time in the mean over classes, by which
	// the work ahead of a request is estimated.
	timeWeight = 0.2
	// ownTimeShare is the part of its own service time by which targets are compared, beside
	// the load of its slots. By the service time alone, requests go to the fastest target
	// until they would have to wait there: the median was 0.25 s instead of 0.20 s at three
	// quarters of the capacity (TestUnevenTargets).
	ownTimeShare = 0.1
)

// pathCost is the multiple of a path's latency, both ways, that taking the path must gain.
// Paths between data centres share links; the one between regions carries 60 Mbit/s for all
// traffic together. A longer path only has to gain its own latency if it leads away from targets
// to which other requests are confined. With 16 for regions, 0.002 of the requests crossed where one region had
// more of them, with 20 0.0002, and none by own counts (TestUnevenTargets).
var pathCost = [PathCount]float64{SameRegion: 4, OtherRegion: 20}

// Load is what a target's node says of the target in a reply.
type Load struct {
	Running, Waiting int
	Limit            int           // of requests that may run at once
	ServiceTime      time.Duration // mean of the class, 0 if not known
	// Pace is the present service time by the lasting one: 3 for a target that needs three
	// times as long just now, 0 if the target does not say.
	Pace float64
}

// ratio returns the number of requests by slots.
func (l Load) ratio() float64 { return float64(l.Running+l.Waiting) / float64(max(l.Limit, 1)) }

// report is the last Load of a target.
type report struct {
	load  Load
	at    time.Time // zero for none
	since int       // requests sent to the target since then that are in flight
	mean  float64   // service time over all classes, in seconds
	times map[string]time.Duration
}

// add records a load. One without a service time leaves the earlier one of the class.
func (r *report) add(class string, l Load, now time.Time) {
	r.load, r.at, r.since = l, now, 0
	if l.ServiceTime <= 0 {
		return
	}
	if r.mean == 0 {
		r.mean = l.ServiceTime.Seconds()
	}
	r.mean += timeWeight * (l.ServiceTime.Seconds() - r.mean)
	if r.times == nil {
		r.times = make(map[string]time.Duration)
	}
	if _, ok := r.times[class]; ok || len(r.times) < maxTimes {
		r.times[class] = l.ServiceTime
	}
}

// weight returns the weight of a report at its age, from 1 to 0 at the end of a lifetime.
func (r *report) weight(now time.Time, lifetime time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return max(0, 1-float64(now.Sub(r.at))/float64(lifetime))
}

// Report records what a target's node said of the target in the reply to a request of a
// class, or what this node knows of the target on its own host.
func (p *Picker) Report(name, class string, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaults()
	now := p.clock.Now()
	// Only a choice makes targets known: their slow start depends on which were known first.
	if t := p.targets[name]; t != nil {
		t.report.add(class, l, now)
	}
	if l.Pace > 0 {
		p.paceAt = now
	}
}

// Uneven reports whether targets of the service named their pace lately, so that
// PickExpected has something to go by.
func (p *Picker) Uneven() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paceAt.IsZero() && p.clock.Now().Sub(p.paceAt) < paceLifetime
}

// PickExpected chooses, as Pick does, but by the expected completion time of a request of a
// class: two candidates near by are drawn at random and the better one is taken, so that
// nodes with the same figures do not all choose the same target. A candidate on a longer
// path is taken only if no nearer one is expected to complete the request as soon, the cost
// of the path to all other traffic included.
func (p *Picker) PickExpected(class string, candidates []Candidate) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaults()
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	now := p.clock.Now()
	best := p.leastExpected(now, class, candidates)
	best.target.count(now)
	return candidates[best.index], true
}

// leastExpected returns the choice among candidates, of which there is at least one.
func (p *Picker) leastExpected(now time.Time, class string, candidates []Candidate) option {
	opts := p.eligible(now, candidates)
	e := newEstimate(now, class, opts)
	var best option
	least := math.Inf(1) // expected time of the best option on nearer paths, drawn or not
	for len(opts) > 0 {
		var group []option
		group, opts = cutNearest(opts)
		path := Path(group[0].distance) + SameDataCentre
		cost := pathCost[path]
		if best.target != nil && candidates[best.index].Contended && !candidates[group[0].index].Contended {
			cost = 0 // what waits near by can't go elsewhere
		}
		if best.target != nil && least < e.fastest+2*max(cost, 1)*leastLatency(path).Seconds() {
			continue // it can't gain enough
		}
		p.place(group, candidates)
		e.assess(group)
		o := p.betterOfTwo(e, group)
		if best.target == nil || o.outlook.time()+cost*o.outlook.latency < least {
			best = o
		}
		for _, o := range group {
			least = min(least, o.outlook.time())
		}
	}
	return best
}

// count counts a request that is sent to the target.
func (t *target) count(now time.Time) {
	t.inFlight++
	t.report.since++
	t.lastUsed = now
}

// pathTo returns the path to a candidate.
func (p *Picker) pathTo(c Candidate) Path {
	if c.Local {
		return SameHost
	}
	return pathOf(p.config.DataCentre, p.config.Region, c.DataCentre, c.Region)
}

// cutNearest cuts sorted options after those at the least distance.
func cutNearest(opts []option) (nearest, rest []option) {
	n := 1
	for n < len(opts) && opts[n].distance == opts[0].distance {
		n++
	}
	return opts[:n], opts[n:]
}

// place sets what the outlooks of options owe to their places.
func (p *Picker) place(group []option, candidates []Candidate) {
	for i := range group {
		c := candidates[group[i].index]
		group[i].outlook = outlook{
			slots: float64(max(c.Slots, 1)), local: c.Local,
			latency: 2 * p.config.Latencies.OneWay(c.DataCentre, p.pathTo(c)).Seconds(),
		}
	}
}

// betterOfTwo draws two options at random, weighted by the requests that they run in a
// second, and returns the better one. The one on this host is compared as well, as its
// figures are exact.
func (p *Picker) betterOfTwo(e *estimate, group []option) option {
	total := 0.0
	for i, o := range group {
		group[i].capacity /= max(o.outlook.class, time.Microsecond.Seconds())
		total += group[i].capacity
	}
	first := p.drawWeighted(group, total, -1)
	best := group[first]
	consider := func(o option) {
		if e.score(o.outlook) < e.score(best.outlook) {
			best = o
		}
	}
	if len(group) > 1 {
		consider(group[p.drawWeighted(group, total-group[first].capacity, first)])
	}
	for _, o := range group {
		if o.outlook.local {
			consider(o)
		}
	}
	return best
}

// outlook is what is expected of a request at an option. Times are in seconds.
type outlook struct {
	local   bool
	latency float64 // both ways
	slots   float64
	ahead   float64 // requests that run or wait
	class   float64 // service time of the class
	mean    float64 // service time over all classes
	pace    float64 // present service time by the lasting one, 0 if not known
	left    float64 // for how long the pace is expected to last
}

// time returns the expected completion time.
func (o outlook) time() float64 { return o.timeOf(o.class) }

// timeOf returns the expected completion time of a request with an amount of work.
func (o outlook) timeOf(work float64) float64 {
	work += o.mean * max(o.ahead-o.slots+1, 0) / o.slots
	return work + slowdown(work, o.pace, o.left) + o.latency
}

// slowdown returns how much longer an amount of work takes on a target that is slower, or
// faster, by a factor for the time that is left.
func slowdown(work, factor, left float64) float64 {
	if factor <= 0 || left <= 0 {
		return 0
	}
	// In that time, a part 1/factor of it is worked off.
	extra, most := work*(factor-1), left*(1-1/factor)
	if factor < 1 {
		return max(extra, most)
	}
	return min(extra, most)
}

// estimate holds the means by which targets without figures of their own are estimated.
// Times are in seconds.
type estimate struct {
	now   time.Time
	name  string  // of the class
	class float64 // service time of the class
	mean  float64 // service time over all classes
	// fastest is the least service time of the class at any target that is known, 0 if none is.
	fastest float64
}

func newEstimate(now time.Time, class string, opts []option) *estimate {
	e := &estimate{now: now, name: class}
	times, means := 0.0, 0.0
	for _, o := range opts {
		r := &o.target.report
		if t, ok := r.times[class]; ok {
			if e.class == 0 || t.Seconds() < e.fastest {
				e.fastest = t.Seconds()
			}
			e.class += t.Seconds()
			times++
		}
		if r.mean > 0 {
			e.mean += r.mean
			means++
		}
	}
	e.mean /= max(means, 1)
	e.class /= max(times, 1)
	if times == 0 {
		e.class = e.mean
	}
	return e
}

// score returns the figure by which options are compared: the expected completion time, with
// the load of the slots in place of most of the service time, so that all targets are loaded
// alike until requests wait.
func (e *estimate) score(o outlook) float64 {
	return o.timeOf(ownTimeShare*o.class + e.mean*min(o.ahead/o.slots, 1))
}

// assess sets the outlooks of the options on a path.
func (e *estimate) assess(group []option) {
	load, weights := unknownLoad*unknownLoadWeight, unknownLoadWeight
	for _, o := range group {
		w := o.target.report.weight(e.now, groupLifetime)
		load += w * o.target.report.load.ratio()
		weights += w
	}
	load /= weights
	for i := range group {
		e.assessOne(&group[i], load)
	}
}

// assessOne sets the outlook of an option. The load is that of a target without a report.
func (e *estimate) assessOne(o *option, load float64) {
	r, out := &o.target.report, &o.outlook
	if r.load.Limit > 0 {
		out.slots = min(out.slots, float64(r.load.Limit)) // a cold target counts with fewer
	}
	out.class, out.mean = e.class, e.mean
	if r.mean > 0 {
		out.class, out.mean = r.mean, r.mean
	}
	if t, ok := r.times[e.name]; ok {
		out.class = t.Seconds()
	}
	w := r.weight(e.now, reportLifetime)
	out.ahead = w*float64(r.load.Running+r.load.Waiting) + (1-w)*load*out.slots + float64(r.since)
	out.ahead = max(out.ahead, float64(o.target.inFlight))
	if e.now.Before(o.target.busyUntil) {
		out.ahead = max(out.ahead, out.slots)
	}
	if w > 0 {
		out.pace, out.left = r.load.Pace, (slowdownTime - e.now.Sub(r.at)).Seconds()
	}
}
