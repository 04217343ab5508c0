package stats

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// MaxTenants bounds the tenants with metrics of their own.
	MaxTenants = 64
	// MaxClasses bounds the classes with metrics of their own. Class names come
	// from the rules, so a site stays far below it.
	MaxClasses = 64
	// Other sums up the tenants or classes over the bound.
	Other = "other"
)

// Set holds the metrics of a node. The zero value is ready to use. All
// metrics are also in the go-metrics registry that Registry returns.
type Set struct {
	once     sync.Once
	registry metrics.Registry
	classes  table
	tenants  table
}

// table is a bounded map that is copied on each insertion, so that readers
// need no lock.
type table struct {
	mu      sync.Mutex
	entries atomic.Pointer[map[string]*entry]
}

type entry struct {
	name     string
	sample   *Sample
	registry metrics.Registry
	mu       sync.Mutex
	outcomes atomic.Pointer[map[string]metrics.Counter]
}

// Registry returns the registry that holds all metrics.
func (s *Set) Registry() metrics.Registry {
	s.once.Do(func() { s.registry = metrics.NewRegistry() })
	return s.registry
}

// Observe counts the end of a request. An empty tenant is not counted.
func (s *Set) Observe(class, tenant, outcome string, latency time.Duration) {
	r := s.Registry()
	us := latency.Microseconds()
	c := s.classes.get(r, "class.", class, MaxClasses)
	c.sample.Update(us)
	c.counter(outcome).Inc(1)
	if tenant != "" {
		t := s.tenants.get(r, "tenant.", tenant, MaxTenants)
		t.sample.Update(us)
		t.counter(outcome).Inc(1)
	}
}

// SetGauge sets a value such as a queue length.
func (s *Set) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge("gauge."+name, s.Registry()).Update(value)
}

func (t *table) get(r metrics.Registry, prefix, name string, limit int) *entry {
	if m := t.entries.Load(); m != nil {
		if e, ok := (*m)[name]; ok {
			return e
		}
		if len(*m) > limit {
			return (*m)[Other]
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*entry)
	if m := t.entries.Load(); m != nil {
		maps.Copy(next, *m)
	}
	if len(next) >= limit && next[name] == nil {
		name = Other
	}
	e := next[name]
	if e == nil {
		e = &entry{name: prefix + name, sample: NewSample(), registry: r}
		_ = r.Register(prefix+name+".latency", metrics.NewHistogram(e.sample))
		next[name] = e
		t.entries.Store(&next)
	}
	return e
}

func (e *entry) counter(outcome string) metrics.Counter {
	if m := e.outcomes.Load(); m != nil {
		if c, ok := (*m)[outcome]; ok {
			return c
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]metrics.Counter)
	if m := e.outcomes.Load(); m != nil {
		maps.Copy(next, *m)
	}
	c, ok := next[outcome]
	if !ok {
		c = metrics.GetOrRegisterCounter(e.name+"."+outcome, e.registry)
		next[outcome] = c
		e.outcomes.Store(&next)
	}
	return c
}

// Line is the metrics of one class or tenant.
type Line struct {
	Name     string           `json:"name"`
	Outcomes map[string]int64 `json:"outcomes"`
	Latency  Summary          `json:"latency_ms"`
}

// Snapshot is the JSON form of a Set.
type Snapshot struct {
	Classes []Line           `json:"classes"`
	Tenants []Line           `json:"tenants"`
	Gauges  map[string]int64 `json:"gauges"`
}

// Snapshot returns the metrics at this moment, ordered by name.
func (s *Set) Snapshot() Snapshot {
	snap := Snapshot{Classes: s.classes.lines(), Tenants: s.tenants.lines(), Gauges: make(map[string]int64)}
	s.Registry().Each(func(name string, m any) {
		if g, ok := m.(metrics.Gauge); ok {
			snap.Gauges[name[len("gauge."):]] = g.Value()
		}
	})
	return snap
}

// MarshalJSON implements json.Marshaler.
func (s *Set) MarshalJSON() ([]byte, error) { return json.Marshal(s.Snapshot()) }

func (t *table) lines() []Line {
	lines := []Line{}
	m := t.entries.Load()
	if m == nil {
		return lines
	}
	for _, name := range slices.Sorted(maps.Keys(*m)) {
		e := (*m)[name]
		line := Line{Name: name, Outcomes: make(map[string]int64), Latency: Summarize(e.sample)}
		if outcomes := e.outcomes.Load(); outcomes != nil {
			for outcome, c := range *outcomes {
				line.Outcomes[outcome] = c.Count()
			}
		}
		lines = append(lines, line)
	}
	return lines
}
