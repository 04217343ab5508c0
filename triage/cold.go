package triage

import (
	"math"
	"time"
)

const (
	// coldWindowSpan is the time over which the starts at a cold target are limited. It is
	// longer than the second of the bound: a node that gets 16 ms of each 100 ms of a processor
	// may send a request some 0.2 s after its start was counted.
	coldWindowSpan = time.Second + 250*time.Millisecond
	// coldBoundShare is the share of the bound that is used. The rest covers requests that
	// are delayed for longer than the window allows.
	coldBoundShare = 0.9
	// longestColdWait is the estimated wait for a start at a target that takes nothing while
	// it is cold, and of which it is not known for how long.
	longestColdWait = time.Minute
)

// Forever is the end of a coldness whose end is not known.
const Forever = time.Duration(math.MaxInt64)

// ColdLimit limits the starts at a target that is cold. The zero value is no limit.
type ColdLimit struct {
	Pace  float64       // starts a second that are spread evenly
	Bound int           // largest number of starts in any second
	Until time.Duration // when the target is no longer cold, on the node's clock
}

// coldWindow limits the starts at a cold target: at most a share of the bound in each
// coldWindowSpan, which also counts starts from before the target became cold, at an even
// pace with short bursts. The zero value does not limit.
type coldWindow struct {
	source func() ColdLimit
	limit  ColdLimit
	active bool
	pace   bucket
	starts []time.Duration // those of the last coldWindowSpan, in order
	openAt time.Duration   // until when an earlier run of the node may have used up the bound
}

// FollowCold makes the limiter ask for the limit of a cold target at each decision. What was
// sent before this call is not known, so that the bound counts as used up by then. The
// function must not call the limiter.
func (l *Limiter) FollowCold(source func() ColdLimit, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.source, l.cold.openAt = source, now+coldWindowSpan
}

// ColdStarts returns how many requests started in about the last second, and how many may at
// most while the target is cold; -1 if it is not.
func (l *Limiter) ColdStarts(now time.Duration) (starts, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshCold(now)
	l.cold.drop(now)
	if !l.cold.active {
		return len(l.cold.starts), -1
	}
	return len(l.cold.starts), l.cold.planned()
}

// refreshCold reads the limit of a cold target. Overload and announced returns of a limit do
// not outlast it.
func (l *Limiter) refreshCold(now time.Duration) {
	if !l.cold.refresh(now) {
		return
	}
	l.returns = 0
	if l.startRate() == 0 {
		l.startLoad = load{}
	}
}

// refresh returns true if a limit began or ended.
func (c *coldWindow) refresh(now time.Duration) bool {
	if c.source == nil {
		return false
	}
	was := c.active
	c.limit = c.source()
	c.active = c.limit.Pace > 0 && now < c.limit.Until
	if !c.active {
		c.pace.set(0, now)
	} else if c.pace.rate != max(c.limit.Pace, minRate) {
		c.pace.set(c.limit.Pace, now)
	}
	return c.active != was
}

// planned returns the number of starts that are allowed in a window.
func (c *coldWindow) planned() int {
	return max(min(c.limit.Bound, 1), int(coldBoundShare*float64(c.limit.Bound)))
}

// rate returns the lasting rate of starts, or 0 if there is no limit.
func (c *coldWindow) rate() float64 {
	if !c.active {
		return 0
	}
	return max(minRate, min(c.pace.rate, float64(c.planned())/coldWindowSpan.Seconds()))
}

// drop removes the starts that have left the window.
func (c *coldWindow) drop(now time.Duration) {
	n := 0
	for n < len(c.starts) && c.starts[n]+coldWindowSpan <= now {
		n++
	}
	c.starts = c.starts[n:]
}

// ready reports whether a request may start now.
func (c *coldWindow) ready(now time.Duration) bool {
	if !c.active {
		return true
	}
	c.drop(now)
	return now >= c.openAt && len(c.starts) < c.planned() && c.pace.wait(0, now) == 0
}

// record counts a start, also while there is no limit.
func (c *coldWindow) record(now time.Duration) {
	if c.source == nil {
		return
	}
	c.drop(now)
	if n := len(c.starts); n > 0 {
		now = max(now, c.starts[n-1]) // callers read the clock before they wait for the limiter
	}
	c.starts = append(c.starts, now)
	c.pace.take(now)
}

// wait returns the time until a request with a number of others ahead of it may start, and
// whether that is only because the limit has ended by then.
func (c *coldWindow) wait(ahead int, now time.Duration) (wait time.Duration, ends bool) {
	if !c.active {
		return 0, false
	}
	wait = max(c.windowWait(ahead, now), c.pace.wait(float64(ahead), now))
	if closed := c.openAt - now; closed > 0 {
		behind := max(0, float64(ahead)+1-c.pace.burst()) / c.pace.rate
		wait = max(wait, closed+time.Duration(behind*float64(time.Second)))
	}
	if left := c.limit.Until - now; left < wait {
		return left, true
	}
	return wait, false
}

// windowWait returns the time until the window has room for a request behind others, if all
// of them start as soon as it has.
func (c *coldWindow) windowWait(ahead int, now time.Duration) time.Duration {
	size := c.planned()
	if size == 0 {
		return longestColdWait
	}
	c.drop(now)
	free := max(0, size-len(c.starts))
	if ahead < free {
		return 0
	}
	// A request takes the place of the start that is size starts earlier.
	later := ahead - free
	rounds := time.Duration(later/size+1) * coldWindowSpan
	last := c.starts[max(0, len(c.starts)-size):]
	if i := later % size; i < len(last) {
		return max(0, last[i]+rounds-now)
	}
	return rounds
}

// takeStart takes a start, if the target allows one now.
func (l *Limiter) takeStart(now time.Duration) bool {
	if !l.cold.ready(now) || !l.starts.take(now) {
		return false
	}
	l.cold.record(now)
	return true
}

// startRate returns how many requests may start in a second, or 0 for no limit.
func (l *Limiter) startRate() float64 {
	cold := l.cold.rate()
	if l.starts.rate == 0 || cold == 0 {
		return max(l.starts.rate, cold)
	}
	return min(l.starts.rate, cold)
}

// startWait returns the time until a request with a number of others ahead of it may start.
func (l *Limiter) startWait(ahead int, now time.Duration) time.Duration {
	wait, _ := l.cold.wait(ahead, now)
	return max(wait, l.starts.wait(float64(ahead), now))
}
