package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"burdocklift/platform/stand"
)

// drainTime is the time after the acknowledgement of a leave within which a target
// may still get requests; it is in the nodes' settings.
const drainTime = 2 * time.Second

// drainSlack is added for requests on their way at its end.
const drainSlack = 500 * time.Millisecond

// Checker holds what callers and targets saw, and notes each broken promise.
type Checker struct {
	mu       sync.Mutex
	requests map[string]*request
	targets  map[*stand.Target]bool
	grants   map[grant]bool // all so far
	broken   []string
	notes    []string
	counts   map[string]int // by status, or "error"
	began    time.Time
}

// grant is keys that a target was given.
type grant struct {
	target string
	keys   stand.KeyRange
}

type request struct {
	repeats bool
	runs    int
	refused int // status that promises that it has not run
	ended   bool
	planned bool // its connection ended during a planned stop
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		requests: make(map[string]*request), targets: make(map[*stand.Target]bool),
		grants: make(map[grant]bool), counts: make(map[string]int), began: time.Now(),
	}
}

// breaks notes a broken promise. The lock is held.
func (c *Checker) breaks(promise, format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%7.3f s %s: ", time.Since(c.began).Seconds(), promise)+fmt.Sprintf(format, args...))
}

// Broken returns the broken promises so far.
func (c *Checker) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// Counts returns how requests ended.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		out[k] = n
	}
	return out
}

// Sends notes that a caller sends a request.
func (c *Checker) Sends(id string, repeats bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &request{repeats: repeats}
}

// Began notes that a target begins a request.
func (c *Checker) Began(t *stand.Target, r stand.Execution) {
	left, leaving := t.DrainAcked()
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.requests[r.ID]
	if !ok {
		c.breaks("UNASKED", "%s runs request %s that nobody sent", t.ID(), r.ID)
		return
	}
	q.runs++
	if q.runs > 1 && !q.repeats {
		c.breaks("TWICE", "request %s runs %d times, now at %s", r.ID, q.runs, t.ID())
	}
	if q.refused != 0 {
		c.breaks("REFUSED", "request %s runs at %s after status %d", r.ID, t.ID(), q.refused)
	}
	if q.planned {
		c.breaks("LOST", "request %s runs at %s and was cut by a planned stop", r.ID, t.ID())
	}
	if late := time.Since(left); leaving && late > drainTime+drainSlack {
		c.breaks("DRAIN", "request %s reaches %s %v after it said that it leaves", r.ID, t.ID(), late)
	}
}

// Held notes that the keys of a target have changed.
func (c *Checker) Held(t *stand.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mine := t.Holds()
	c.targets[t] = true
	for _, k := range mine {
		c.granted(grant{t.ID(), k})
	}
	for o := range c.targets {
		if o == t {
			continue
		}
		for _, h := range o.Holds() {
			for _, k := range mine {
				if h.From <= k.To && k.From <= h.To {
					c.breaks("OWNER", "keys %d to %d (epoch %d) are given to %s, %d to %d (epoch %d) are held by %s",
						k.From, k.To, k.Epoch, t.ID(), h.From, h.To, h.Epoch, o.ID())
				}
			}
		}
	}
}

// granted notes keys that a target was given, and that their epoch is above all with which
// other targets had them. The lock is held.
func (c *Checker) granted(g grant) {
	if c.grants[g] {
		return
	}
	for o := range c.grants {
		if o.target != g.target && o.keys.From <= g.keys.To && g.keys.From <= o.keys.To && o.keys.Epoch >= g.keys.Epoch {
			c.breaks("EPOCH", "keys %d to %d are given to %s with epoch %d, %s had %d to %d with %d",
				g.keys.From, g.keys.To, g.target, g.keys.Epoch, o.target, o.keys.From, o.keys.To, o.keys.Epoch)
		}
	}
	c.grants[g] = true
}

// Answer notes how a request ended for its caller: with a status and a whole answer,
// or with an error. Planned tells that it was sent in a calm time to a node that was
// told to stop.
func (c *Checker) Answer(id string, a stand.Response, err error, planned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	q.ended = true
	if err != nil {
		c.counts["error"]++
		if planned {
			q.planned = true
			if q.runs > 0 {
				c.breaks("LOST", "request %s ran and was cut by a planned stop: %v", id, err)
			}
		}
		return
	}
	c.counts[fmt.Sprint(a.Status)]++
	switch a.Status {
	case 200:
		if a.ID != id || a.Body != stand.ResponseBody(id) {
			c.breaks("MIXED", "request %s gets the answer of %q, %d bytes: %.40q", id, a.ID, len(a.Body), a.Body)
		}
		if q.runs == 0 {
			c.breaks("MIXED", "request %s is answered and has not run", id)
		}
	case 408, 421, 429, 503:
		q.refused = a.Status
		if q.runs > 0 {
			c.breaks("REFUSED", "request %s has run and is answered %d: %s", id, a.Status, strings.TrimSpace(a.Body))
		}
	case 502, 504:
	default:
		c.breaks("DENIED", "request %s is answered %d: %s", id, a.Status, strings.TrimSpace(a.Body))
	}
}

// Rules notes what a run of a node said to a request on a route that came with a
// version: whether it knows the route.
func (c *Checker) Rules(node string, version int, knows bool, known *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if knows {
		*known = max(*known, version)
	} else if *known >= version {
		c.breaks("CONFIG", "%s knew version %d and denies a route of version %d", node, *known, version)
	}
}

// Note notes what belongs to a promise that may be broken.
func (c *Checker) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes = append(c.notes, fmt.Sprintf(format, args...))
}

// Notes returns all notes.
func (c *Checker) Notes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.notes...)
}

// Breaks notes a promise that was found broken elsewhere.
func (c *Checker) Breaks(promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks(promise, format, args...)
}
