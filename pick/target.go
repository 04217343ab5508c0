package pick

import "time"

const (
	// failureWeight is the weight of an outcome in the failure rate: 6 failures in
	// a row exceed the ejection threshold.
	failureWeight     = 1.0 / 8
	ejectionThreshold = 0.5
	minOutcomes       = 5 // needed for an ejection

	// returnFailureRate is the failure rate of a target after an ejection, so that
	// it is ejected again after fewer failures.
	returnFailureRate = 0.25

	busyTime             = 100 * time.Millisecond // for which a busy target counts as fully loaded
	successOverride      = 2 * time.Second        // for which a success overrides an unhealthy report
	ejectionBackoffReset = time.Minute            // time since the last ejection after which the backoff starts anew
	unusedTargetTTL      = 10 * time.Minute       // after which the state of an unused target is dropped
	slowStartMinShare    = 0.1                    // share of its slots at the beginning of a slow start
)

// target is the state that the node observed of one target.
type target struct {
	inFlight     int
	failureRate  float64 // exponential moving average
	outcomes     int     // since the last ejection
	ejections    int     // in a row
	ejectedUntil time.Time
	slowStartEnd time.Time
	busyUntil    time.Time
	lastSuccess  time.Time
	lastUsed     time.Time
	report       report // for PickExpected
}

func (p *Picker) target(now time.Time, name string, hasHistory bool) *target {
	t := p.targets[name]
	if t == nil {
		t = new(target)
		// When the node starts, all targets are new to it; none needs a slow start.
		if hasHistory {
			t.slowStartEnd = now.Add(max(p.config.SlowStart, 0))
		}
		p.targets[name] = t
	}
	t.lastUsed = now
	return t
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// ejectionEnd returns the end of the current ejection, or the zero time.
func (t *target) ejectionEnd(now time.Time) time.Time {
	if t.ejected(now) {
		return t.ejectedUntil
	}
	return time.Time{}
}

// capacity returns the number of slots with which the target counts.
func (p *Picker) capacity(now time.Time, t *target, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	if c.Unhealthy && now.Sub(t.lastSuccess) > successOverride {
		return min(slots, 1)
	}
	left := t.slowStartEnd.Sub(now)
	if left <= 0 {
		return slots
	}
	share := 1 - float64(left)/float64(p.config.SlowStart)
	return slots * max(slowStartMinShare, share)
}

// observe records an outcome and ejects the target if its failure rate is above
// the threshold.
func (p *Picker) observe(now time.Time, t *target, success bool) {
	t.outcomes++
	if success {
		t.lastSuccess = now
		t.failureRate -= t.failureRate * failureWeight
		return
	}
	t.failureRate += (1 - t.failureRate) * failureWeight
	if t.failureRate <= ejectionThreshold || t.outcomes < minOutcomes || t.ejected(now) {
		return
	}
	if now.Sub(t.ejectedUntil) > ejectionBackoffReset {
		t.ejections = 0
	}
	d := p.config.MaxEjection
	if t.ejections < 16 {
		d = min(d, p.config.BaseEjection<<t.ejections)
	}
	t.ejections++
	t.failureRate, t.outcomes = returnFailureRate, 0
	t.ejectedUntil = now.Add(d)
	t.slowStartEnd = t.ejectedUntil.Add(max(p.config.SlowStart, 0))
}

// dropUnused drops the state of targets that left the pool, so that restarts
// under new names don't fill the memory.
func (p *Picker) dropUnused(now time.Time, pool int) {
	if len(p.targets) <= 2*pool+16 {
		return
	}
	for name, t := range p.targets {
		if t.inFlight == 0 && now.Sub(t.lastUsed) > unusedTargetTTL {
			delete(p.targets, name)
		}
	}
}
