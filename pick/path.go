package pick

import (
	"sync"
	"time"
)

// Path is the kind of way from a node to a target.
type Path int

// Paths, nearest first.
const (
	SameHost Path = iota
	SameDataCentre
	SameRegion
	OtherRegion
	pathCount = iota
)

// defaultLatency is the one-way latency of each path until calls have been measured: the
// figures of the platform's network.
var defaultLatency = [pathCount]time.Duration{0, 500 * time.Microsecond, 4900 * time.Microsecond, 8 * time.Millisecond}

const (
	// latencyRange bounds measured latencies to so many times the default, up or down, so
	// that a busy host or a wrong figure of another node does not pass for distance.
	latencyRange = 4
	// latencyRise is the share by which a measured latency approaches a higher sample. A
	// lower one counts at once, as most of what exceeds the least is waiting.
	latencyRise = 0.01
	// maxPathEntries bounds the data centres whose latencies are kept. Their names come
	// from the records of other nodes.
	maxPathEntries = 64
)

// Latencies holds the measured one-way latencies from this node to data centres. The zero
// value is empty. It is safe for concurrent use.
type Latencies struct {
	mu     sync.Mutex
	oneWay map[string]time.Duration // by data centre
}

// Observe records the time that a call took on the way, in both directions together.
func (l *Latencies) Observe(dataCentre string, p Path, bothWays time.Duration) {
	if p <= SameHost || p >= pathCount {
		return
	}
	sample := min(max(bothWays/2, defaultLatency[p]/latencyRange), defaultLatency[p]*latencyRange)
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.oneWay[dataCentre]
	switch {
	case !ok && len(l.oneWay) >= maxPathEntries:
		return
	case !ok || sample < known:
		known = sample
	default:
		known += time.Duration(latencyRise * float64(sample-known))
	}
	if l.oneWay == nil {
		l.oneWay = make(map[string]time.Duration)
	}
	l.oneWay[dataCentre] = known
}

// OneWay returns the one-way latency to a data centre.
func (l *Latencies) OneWay(dataCentre string, p Path) time.Duration {
	if l != nil && p > SameHost {
		l.mu.Lock()
		defer l.mu.Unlock()
		if known, ok := l.oneWay[dataCentre]; ok {
			return known
		}
	}
	return defaultLatency[p]
}
