package triage

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// coldRun replays load on one target in steps of a millisecond of a fake clock.
type coldRun struct {
	rng      *rand.Rand
	now      time.Duration
	limiter  *Limiter
	running  []time.Duration // ends of requests
	waiting  []coldCaller
	starts   []time.Duration
	late     int // started although they could not end in time
	refused  int
	lingered int // refused after half of their time
	other    int // refused for another reason than the rate
}

type coldCaller struct {
	w          *Waiter
	at, giveUp time.Duration
}

const (
	coldCallerTime  = 1500 * time.Millisecond
	coldServiceTime = 60 * time.Millisecond
)

// firstDeploymentLimit is the limit of a target that tolerates 15 requests a second while it
// is cold, of which one and a half times as many and 8 are allowed.
func firstDeploymentLimit(until time.Duration) ColdLimit {
	return ColdLimit{Pace: 22.5, Bound: 30, Until: until}
}

// restart replaces the limiter, as after a restart of the node.
func (c *coldRun) restart(limit func() ColdLimit) {
	c.limiter, c.waiting, c.running = &Limiter{}, nil, nil
	c.limiter.FollowCold(limit, c.now)
	c.limiter.SetSlots(8)
	c.limiter.Release("c", coldServiceTime, true, c.now)
	c.limiter.running = 0
}

// play sends a number of requests a second for a time.
func (c *coldRun) play(perSecond float64, d time.Duration) {
	for end := c.now + d; c.now < end; c.now += time.Millisecond {
		kept := c.running[:0]
		for _, at := range c.running {
			if at > c.now {
				kept = append(kept, at)
				continue
			}
			c.limiter.Release("c", coldServiceTime, true, c.now)
		}
		c.running = kept
		if c.rng.Float64() < perSecond/1000 {
			w, err := c.limiter.Acquire(Request{Class: "c", Deadline: c.now + coldCallerTime}, c.now)
			caller := coldCaller{w: w, at: c.now, giveUp: c.now + coldCallerTime}
			if w != nil {
				c.waiting = append(c.waiting, caller)
			} else {
				c.end(caller, err)
			}
		}
		c.limiter.Dispatch(c.now)
		queue := c.waiting[:0]
		for _, caller := range c.waiting {
			select {
			case err := <-caller.w.Done():
				c.end(caller, err)
			default:
				queue = append(queue, caller)
			}
		}
		c.waiting = queue
	}
}

func (c *coldRun) end(caller coldCaller, err error) {
	if err == nil {
		c.starts = append(c.starts, c.now)
		c.running = append(c.running, c.now+coldServiceTime)
		if c.now+coldServiceTime > caller.giveUp {
			c.late++
		}
		return
	}
	c.refused++
	if c.now-caller.at > coldCallerTime/2 {
		c.lingered++
	}
	var refusal Refusal
	if !errors.As(err, &refusal) || !refusal.Rate {
		c.other++
	}
}

// assertWithinBound fails if a second that ends with a start in a span has more requests than
// the bound, also if a request reaches the target up to 0.25 s late.
func (c *coldRun) assertWithinBound(t *testing.T, from, to time.Duration, bound int) {
	t.Helper()
	for i, at := range c.starts {
		if at < from || at >= to {
			continue
		}
		n := 0
		for _, earlier := range c.starts[:i+1] {
			if earlier > at-time.Second-250*time.Millisecond {
				n++
			}
		}
		if n > bound {
			t.Fatalf("%d requests in the 1.25 s up to %v, at most %d are allowed", n, at, bound)
		}
	}
}

func (c *coldRun) startsBetween(from, to time.Duration) (n int) {
	for _, at := range c.starts {
		if from <= at && at < to {
			n++
		}
	}
	return n
}

func newColdRun(seed uint64) *coldRun {
	return &coldRun{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour}
}

// Guards against targets that crash because they get more requests than a cold one tolerates
// when all targets of a data centre, and their nodes, return at the same moment under load,
// and against load that waits in vain or is refused although the target could take it.
func TestTargetsReturnCold(t *testing.T) {
	for seed := range uint64(18) {
		c := newColdRun(seed)
		warm := c.now + 3*time.Second
		c.restart(func() ColdLimit { return firstDeploymentLimit(warm) })
		c.play(100, 5*time.Second)
		c.assertWithinBound(t, time.Hour, warm, 30)
		if n := c.startsBetween(time.Hour, time.Hour+time.Second); n != 0 {
			t.Errorf("seed %d: %d requests started in the first second, in which an earlier run may have sent as many as are allowed", seed, n)
		}
		if n := c.startsBetween(time.Hour+time.Second, warm); n < 38 {
			t.Errorf("seed %d: %d requests started in 2 s, want at least 38", seed, n)
		}
		if n := c.startsBetween(warm+time.Second, warm+2*time.Second); n < 80 {
			t.Errorf("seed %d: %d requests started in a second after the target was warm, want 80 of about 100", seed, n)
		}
		if c.late > 0 || c.lingered > 3 || c.other > 0 {
			t.Errorf("seed %d: of %d refused, %d waited for long and %d were not refused for the limit; %d started too late", seed, c.refused, c.lingered, c.other, c.late)
		}
	}
}

// Guards against a second allowance of a cold target whose node restarts.
func TestNodeRestartsBesideColdTarget(t *testing.T) {
	c := newColdRun(3)
	limit := func() ColdLimit { return firstDeploymentLimit(Forever) }
	for range 4 {
		c.restart(limit)
		c.play(100, 1700*time.Millisecond)
	}
	c.assertWithinBound(t, time.Hour, c.now, 30)
	if len(c.starts) < 40 {
		t.Errorf("%d requests started in four runs of 1.7 s, want at least 40", len(c.starts))
	}
}

// Guards against a full allowance on top of what a target got in the second before it said
// that it is cold, and against a limit that outlasts the coldness.
func TestTargetBecomesCold(t *testing.T) {
	c := newColdRun(4)
	limit := ColdLimit{}
	c.restart(func() ColdLimit { return limit })
	c.play(110, 2*time.Second)
	if n := c.startsBetween(time.Hour, c.now); n < 190 {
		t.Fatalf("%d requests started in 2 s at a warm target, want 190 of about 220", n)
	}
	coldAt, until := c.now, c.now+4*time.Second
	limit = firstDeploymentLimit(until)
	c.play(110, 4*time.Second)
	c.assertWithinBound(t, coldAt, until, 30)
	if n := c.startsBetween(coldAt+1200*time.Millisecond, until); n < 55 {
		t.Errorf("%d requests started in the last 2.8 s of the coldness, want at least 55", n)
	}
	c.play(110, 2*time.Second)
	if n := c.startsBetween(until+time.Second, c.now); n < 80 {
		t.Errorf("%d requests started in a second after the coldness, want 80 of about 110", n)
	}
}

// Guards against a start at a target that takes nothing while it is cold, and against a wait
// without end there.
func TestNoAllowance(t *testing.T) {
	l := &Limiter{}
	until := time.Hour + 2*time.Second
	l.FollowCold(func() ColdLimit { return ColdLimit{Pace: 0.5, Until: until} }, 0)
	l.SetSlots(8)
	if _, err := l.Acquire(Request{Deadline: time.Hour + time.Second}, time.Hour); !errors.Is(err, ErrRefused) {
		t.Errorf("request that can't start before its deadline: %v, want a refusal", err)
	}
	w, err := l.Acquire(Request{Deadline: time.Hour + 3*time.Second}, time.Hour)
	if w == nil || err != nil {
		t.Fatalf("request that can start in time is not queued: %v", err)
	}
	if next := l.Dispatch(time.Hour); next != 2*time.Second {
		t.Errorf("next start after %v, want 2 s", next)
	}
	l.Dispatch(until)
	assertGranted(t, w, true)
}
