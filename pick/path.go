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
	// PathCount is the number of paths.
	PathCount = iota
)

// defaultLatency is the one-way latency of each path until calls have been measured: the
// figures of the platform's network.
var defaultLatency = [PathCount]time.Duration{0, 500 * time.Microsecond, 4900 * time.Microsecond, 8 * time.Millisecond}

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

// leastLatency returns a latency below which none is taken for that of a path.
func leastLatency(p Path) time.Duration { return defaultLatency[p] / latencyRange }

// pathOf returns the path between two places on different hosts.
func pathOf(dataCentre, region, otherCentre, otherRegion string) Path {
	switch {
	case region != otherRegion:
		return OtherRegion
	case dataCentre != otherCentre:
		return SameRegion
	}
	return SameDataCentre
}

// Latencies holds the measured one-way latencies from a node to data centres. It is safe for
// concurrent use.
type Latencies struct {
	dataCentre, region string // of the node

	mu     sync.Mutex
	oneWay map[string]time.Duration // by data centre
}

// NewLatencies returns the default latencies from a node in a data centre and region.
func NewLatencies(dataCentre, region string) *Latencies {
	return &Latencies{dataCentre: dataCentre, region: region, oneWay: make(map[string]time.Duration)}
}

// PathTo returns the path to another node.
func (l *Latencies) PathTo(dataCentre, region string) Path {
	return pathOf(l.dataCentre, l.region, dataCentre, region)
}

// Observe records the time that a call to a node took on the way, in both directions
// together.
func (l *Latencies) Observe(dataCentre, region string, bothWays time.Duration) {
	p := l.PathTo(dataCentre, region)
	sample := min(max(bothWays/2, leastLatency(p)), defaultLatency[p]*latencyRange)
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
