package main

import (
	"sync"
	"time"

	"burdocklift/platform/stand"
)

const (
	// limitWindow is the span in which requests are counted, of which one and a half times
	// what a limit allows and limitSlack more may reach a target.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// applyTime is the time after which a change of rules is in force on a node that the
	// store answers, and applySlack is added for requests on their way.
	applyTime  = 2 * time.Second
	applySlack = 500 * time.Millisecond
)

// Advice holds what targets said of themselves in responses, and which requests they got
// then. The zero value is ready to use.
type Advice struct {
	mu      sync.Mutex
	targets map[*stand.Target]*said
}

// said is what one target says.
type said struct {
	limit    float64 // requests a second
	since    time.Time
	until    time.Time              // zero for as long as it names the limit
	arrivals []arrival              // since the limit is named
	told     map[*Machine]time.Time // when a response that tells of a departure went to a machine
	leaving  bool
}

// arrival is a request that reached a target.
type arrival struct {
	at    time.Time
	entry *Machine
}

// of returns the state of a target. The lock is held.
func (a *Advice) of(t *stand.Target) *said {
	if a.targets == nil {
		a.targets = make(map[*stand.Target]*said)
	}
	if a.targets[t] == nil {
		a.targets[t] = &said{told: make(map[*Machine]time.Time)}
	}
	return a.targets[t]
}

// Limited notes that a target names a limit from now on, which it does only once.
func (a *Advice) Limited(t *stand.Target, perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.of(t)
	s.limit, s.since = perSecond, time.Now()
}

// Unlimited notes that a target names its limit no more.
func (a *Advice) Unlimited(t *stand.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(t).until = time.Now()
}

// Leaving notes that the responses of a target tell that it leaves.
func (a *Advice) Leaving(t *stand.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(t).leaving = true
}

// Began notes that a target gets a request that a caller sent to the node of a machine.
func (a *Advice) Began(c *Checker, t *stand.Target, id string, entry *Machine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.of(t)
	now := time.Now()
	if s.limit > 0 && s.until.IsZero() {
		s.arrivals = append(s.arrivals, arrival{now, entry})
	}
	told, ok := s.told[entry]
	if ok && now.Sub(told) > drainTime+drainSlack && !entry.Disturbed(told, now) {
		c.Breaks("DRAIN", "request %s reaches %s from %s %v after a response told there that it leaves", id, t.ID(), entry.name, now.Sub(told))
	}
}

// Ended notes that a response of a target goes to a machine.
func (a *Advice) Ended(t *stand.Target, entry *Machine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.of(t)
	if _, ok := s.told[entry]; s.leaving && !ok {
		s.told[entry] = time.Now()
	}
}

// Check breaks the promise LIMIT for each target that got more requests in some span than it
// allows. It returns how many targets named a limit, and the largest share of what is allowed.
func (a *Advice) Check(c *Checker) (limited int, most float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for t, s := range a.targets {
		if s.limit == 0 {
			continue
		}
		limited++
		allowed := limitFactor*s.limit*limitWindow.Seconds() + limitSlack
		share := 0.0
		for i, first := range s.arrivals {
			if first.at.Before(s.since.Add(contactTime)) {
				continue
			}
			n := 0.0
			for _, r := range s.arrivals[i:] {
				if r.at.Sub(first.at) < limitWindow && !r.entry.Disturbed(s.since, r.at) {
					n++
				}
			}
			share = max(share, n/allowed)
		}
		if most = max(most, share); share > 1 {
			c.Breaks("LIMIT", "%s names %.1f requests a second and got %.2f of what that allows in %v", t.ID(), s.limit, share, limitWindow)
		}
	}
	return limited, most
}
