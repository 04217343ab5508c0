// Package nested tells calls that targets make for a request that they run from new requests of
// callers. Neither carries a mark, but nested calls of a class come from the hosts of one
// service only, those whose targets make them, while callers use all hosts.
//
// It answers loads in which nested calls compete with new requests for the slots of a service:
// refusing a nested call fails a request whose work is mostly done.
package nested

import (
	"math"
	"sync"
	"time"
)

const (
	// falseShare is the probability at most with which a class of callers' requests is taken
	// for nested calls, as chance let all of them come from hosts of one service.
	falseShare = 1e-4
	// halfLife is the time after which an observation counts half, so that new rules and
	// other uses of a route take effect.
	halfLife = 10 * time.Second
	// minCompared is how many recent requests of other classes the shares are taken from at
	// least: with a few, chance decides.
	minCompared = 100
	// maxClasses bounds the classes that are remembered; when it is reached, all are forgotten.
	maxClasses = 1024
)

// Detector observes where the requests of each class come from. The zero value is ready to use
// and safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	classes map[string]*class
}

// class holds how many recent requests of a class came from the hosts of each service.
type class struct {
	total   float64
	origins map[string]float64
	updated time.Duration
	nested  bool
}

// Observe records a request of a class that came from a host of a service, and reports whether
// it counts as a nested call.
func (d *Detector) Observe(name, origin string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[name]
	if c == nil {
		if d.classes == nil || len(d.classes) >= maxClasses {
			d.classes = make(map[string]*class)
		}
		c = &class{origins: make(map[string]float64), updated: now}
		d.classes[name] = c
	}
	c.decay(now)
	c.total++
	c.origins[origin]++
	if len(c.origins) > 1 {
		c.nested = false
		return false
	}
	if !c.nested {
		c.nested = d.unlikely(c.total, origin)
	}
	return c.nested
}

// decay lets earlier observations fade. One from another service than the others is forgotten
// only after several half-lives, so that a class of callers does not count as nested by chance.
func (c *class) decay(now time.Duration) {
	if now-c.updated < halfLife/10 {
		return
	}
	factor := math.Exp2(-float64(now-c.updated) / float64(halfLife))
	c.updated = now
	c.total *= factor
	for origin, n := range c.origins {
		if n *= factor; n < falseShare {
			delete(c.origins, origin)
		} else {
			c.origins[origin] = n
		}
	}
}

// unlikely reports whether a number of requests of callers would hardly all come from the hosts
// of one service. Where requests of callers start is taken from the classes that come from
// several; without any, there is nothing to compare with.
func (d *Detector) unlikely(count float64, origin string) bool {
	total, same := 0.0, 0.0
	for _, c := range d.classes {
		if len(c.origins) > 1 {
			total += c.total
			same += c.origins[origin]
		}
	}
	if total < minCompared {
		return false
	}
	return math.Pow(same/total, count) < falseShare
}
