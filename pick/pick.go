// Package pick balances requests to a service without keys over its targets. It
// relies on the node's own counts of requests in flight and on observed outcomes,
// as the health and load that targets report lag and may be wrong.
package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of Config.
const (
	DefaultSpillRatio   = 0.8
	DefaultBaseEjection = time.Second
	DefaultMaxEjection  = time.Minute
	DefaultSlowStart    = 10 * time.Second
)

// Config holds the settings of a Picker. Zero fields take their defaults.
type Config struct {
	DataCentre, Region string // where the node is
	// Latencies are those from the node, for PickExpected; nil for the defaults.
	Latencies *Latencies

	// SpillRatio is the ratio of requests in flight to slots from which targets at
	// the next distance (same region, then other regions) are eligible too.
	SpillRatio float64
	// Nodes is the number of nodes that send to the same targets. The node's own
	// count is multiplied by it to estimate the load of a data centre.
	Nodes        int
	BaseEjection time.Duration // length of the first ejection; doubles with each further one
	MaxEjection  time.Duration
	SlowStart    time.Duration // time over which the share of a new or returning target rises to the full one; negative for none
	Clock        clockwork.Clock
	Seed         uint64
}

// Candidate is a target that may be chosen. Leaving (draining) targets must not be
// passed as candidates.
type Candidate struct {
	Name, DataCentre, Region string
	Slots                    int // 1 if not positive
	// Unhealthy is the target's own health report. An unhealthy target counts as
	// having one slot until a success shows that the report is wrong.
	Unhealthy bool
	Local     bool // on the node's own host
	// Contended is set if other requests may run only near this target, while this one may run
	// farther away too.
	Contended bool
}

// Result is the outcome of a request.
type Result struct {
	Success bool
	// Busy means that the request did not run for lack of slots. This does not
	// count as a failure, but the target counts as fully loaded for a short time.
	Busy bool
	// Abandoned means that the caller left before there was an outcome, which says
	// nothing about the target.
	Abandoned bool
}

// Picker is a load balancer that chooses by power of two choices. The zero value
// uses the defaults of Config. It is safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	config  Config
	clock   clockwork.Clock
	rng     *rand.Rand
	targets map[string]*target
	scratch []option  // reused by each Pick
	paceAt  time.Time // when a target last named its pace
}

// option is a candidate with its observed state.
type option struct {
	index    int
	target   *target
	capacity float64
	distance int
	outlook  outlook // set by PickExpected
}

// New returns a picker with the given settings.
func New(c Config) *Picker {
	p := &Picker{config: c}
	p.setDefaults()
	return p
}

func (p *Picker) setDefaults() {
	if p.clock != nil {
		return
	}
	c := &p.config
	c.SpillRatio = cmp.Or(c.SpillRatio, DefaultSpillRatio)
	c.Nodes = max(c.Nodes, 1)
	c.BaseEjection = cmp.Or(c.BaseEjection, DefaultBaseEjection)
	c.MaxEjection = cmp.Or(c.MaxEjection, DefaultMaxEjection)
	c.SlowStart = cmp.Or(c.SlowStart, DefaultSlowStart)
	p.clock = c.Clock
	if p.clock == nil {
		p.clock = clockwork.NewRealClock()
	}
	p.rng = rand.New(rand.NewPCG(c.Seed, 0))
	p.targets = make(map[string]*target)
}

// Pick chooses a candidate and counts a request in flight at it; Done must be
// called once for the request. It returns false only if there are no candidates.
func (p *Picker) Pick(candidates []Candidate) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaults()
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	now := p.clock.Now()
	opts := p.eligible(now, candidates)
	opts = p.nearest(now, opts)
	o := p.powerOfTwo(now, opts)
	o.target.inFlight++
	o.target.lastUsed = now
	return candidates[o.index], true
}

// eligible returns the candidates that are not ejected, in order of distance.
// At most half of the pool is excluded; if more are ejected, those whose ejection
// ends first remain eligible.
func (p *Picker) eligible(now time.Time, candidates []Candidate) []option {
	all := p.scratch[:0]
	hasHistory := len(p.targets) > 0
	ejected := 0
	for i, c := range candidates {
		t := p.target(now, c.Name, hasHistory)
		if t.ejected(now) {
			ejected++
		}
		all = append(all, option{
			index: i, target: t, capacity: p.capacity(now, t, c), distance: p.distance(c),
		})
	}
	p.scratch = all
	p.dropUnused(now, len(candidates))
	if ejected > 0 {
		slices.SortStableFunc(all, func(a, b option) int { return a.target.ejectionEnd(now).Compare(b.target.ejectionEnd(now)) })
		all = all[:len(all)-min(ejected, len(all)/2)]
	}
	slices.SortStableFunc(all, func(a, b option) int { return a.distance - b.distance })
	return all
}

func (p *Picker) distance(c Candidate) int {
	switch {
	case c.DataCentre == p.config.DataCentre && c.Region == p.config.Region:
		return 0
	case c.Region == p.config.Region:
		return 1
	}
	return 2
}

// nearest cuts the sorted options after the first distance up to which the load
// is below the spill ratio.
func (p *Picker) nearest(now time.Time, opts []option) []option {
	load, capacity := 0.0, 0.0
	for i, o := range opts {
		if i > 0 && o.distance != opts[i-1].distance && load < p.config.SpillRatio*capacity {
			return opts[:i]
		}
		n := float64(o.target.inFlight * p.config.Nodes)
		if now.Before(o.target.busyUntil) {
			n = max(n, o.capacity)
		}
		load += n
		capacity += o.capacity
	}
	return opts
}

// powerOfTwo draws two options at random, weighted by capacity, and returns the
// one with less load per slot. The first wins a tie, so that a target in slow start
// keeps its small share of the requests to an idle service.
func (p *Picker) powerOfTwo(now time.Time, opts []option) option {
	total := 0.0
	for _, o := range opts {
		total += o.capacity
	}
	first := p.drawWeighted(opts, total, -1)
	if len(opts) == 1 {
		return opts[first]
	}
	second := p.drawWeighted(opts, total-opts[first].capacity, first)
	if opts[second].load(now) < opts[first].load(now) {
		return opts[second]
	}
	return opts[first]
}

// drawWeighted returns the index of a random option other than skip, weighted by
// capacity. The total is the capacity of the options other than skip.
func (p *Picker) drawWeighted(opts []option, total float64, skip int) int {
	x := p.rng.Float64() * total
	last := 0
	for i, o := range opts {
		if i == skip {
			continue
		}
		last = i
		if x -= o.capacity; x < 0 {
			break
		}
	}
	return last
}

func (o option) load(now time.Time) float64 {
	n := float64(o.target.inFlight) / o.capacity
	if now.Before(o.target.busyUntil) {
		n++
	}
	return n
}

// Done records the result of a request for which Pick chose the candidate.
func (p *Picker) Done(c Candidate, res Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[c.Name]
	if t == nil || t.inFlight == 0 {
		return
	}
	t.inFlight--
	t.report.since = max(t.report.since-1, 0)
	now := p.clock.Now()
	t.lastUsed = now
	switch {
	case res.Busy:
		t.busyUntil = now.Add(busyTime)
		return
	case res.Abandoned:
		return
	}
	p.observe(now, t, res.Success)
}

// InFlight returns the node's own count of requests in flight at a target.
func (p *Picker) InFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[name]; t != nil {
		return t.inFlight
	}
	return 0
}

// Ejected reports whether a target is ejected now. It may still be chosen if
// more than half of the pool is ejected.
func (p *Picker) Ejected(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	return t != nil && t.ejected(p.clock.Now())
}
