package fleet

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// coldEndMargin is added to the end of a coldness, as targets round what remains of it to
	// a tenth of a second.
	coldEndMargin = 50 * time.Millisecond
	// coldSettleTime is the time after an event that may have made a target cold, in which
	// its heartbeats may be from before the event.
	coldSettleTime = 300 * time.Millisecond
	// minColdRecord is the shortest remaining coldness that is written to the node's record:
	// the other nodes learn of it after up to 0.1 s, and each write costs.
	minColdRecord = 500 * time.Millisecond
	// coldRecordSpread is the time over which nodes whose targets end their coldness together
	// spread the writes that say so: those of a data centre often start at the same moment.
	coldRecordSpread = 500 * time.Millisecond
)

// coldForever is the end of a coldness whose end is not known.
const coldForever = time.Duration(math.MaxInt64)

// Cold is how many requests the target beside a node gets because it is cold. The zero value
// is no limit.
type Cold struct {
	Pace  float64       // requests a second that it gets at an even pace
	Bound int           // largest number of requests in any second
	Until time.Duration // on the node's clock; the largest value if it is not known
}

// coldness is what a node knows of the coldness of its target. In the zero value nothing is
// known: the target counts as cold.
type coldness struct {
	known     bool
	until     time.Duration // when the target is warm, if known
	settledAt time.Duration // up to then heartbeats may tell the state before an event
	clearAt   time.Duration // when the record says that the coldness has ended, or zero
}

// end returns when the target is no longer cold.
func (c *coldness) end() time.Duration {
	if !c.known {
		return coldForever
	}
	return c.until
}

// observe applies what a heartbeat says.
func (c *coldness) observe(remaining, now time.Duration) {
	if !c.known && now < c.settledAt {
		return
	}
	c.known, c.until = true, now
	if remaining > 0 {
		c.until = now + remaining + coldEndMargin
	}
}

// forget makes the target count as cold until a later heartbeat says otherwise.
func (c *coldness) forget(now time.Duration) { *c = coldness{settledAt: now + coldSettleTime} }

// ForgetColdness makes the target beside this node count as cold until a later heartbeat says
// otherwise, after an event that may have made it cold.
func (f *Fleet) ForgetColdness(ctx context.Context) error {
	return f.post(ctx, f.forgetColdness)
}

func (f *Fleet) forgetColdness(now time.Duration) {
	f.local.coldness.forget(now)
	if f.rules != nil && f.coldRate(f.local.heartbeat.Service) == 0 {
		return // nothing depends on it
	}
	f.recordCold(now)
	f.publish()
}

// Cold returns the limit of the target beside this node while it is cold. It is zero for a
// service without a limit of cold targets, and once the target is warm. A node that does not
// know the rules yet may get requests from others; the slack is part of any limit.
func (v *View) Cold(now time.Duration) Cold {
	until := v.local.coldness.end()
	if !v.local.present || now >= until {
		return Cold{}
	}
	pace, bound := v.coldSlack, int(v.coldSlack)
	if v.rules != nil {
		s, _ := v.rules.Service(v.local.heartbeat.Service)
		pace, bound = s.ColdLimit(v.coldFactor, v.coldSlack)
	}
	if pace == 0 {
		return Cold{}
	}
	return Cold{Pace: pace, Bound: bound, Until: until}
}

// recordCold takes the coldness of the target over into this node's record: once when it
// begins, if it lasts, and once when it has ended. A lost target gets nothing anyway.
func (f *Fleet) recordCold(now time.Duration) {
	l := &f.local
	left := l.coldness.end() - now
	switch {
	case !l.present || l.heartbeat.Lost || l.heartbeat.Cold == (left > 0):
		l.coldness.clearAt = 0
		return
	case left > 0:
		if left < minColdRecord || f.coldRate(l.heartbeat.Service) == 0 {
			return
		}
	case l.coldness.clearAt == 0:
		l.coldness.clearAt = now + rand.N(coldRecordSpread)
		return
	case now < l.coldness.clearAt:
		return
	}
	l.heartbeat.Cold = left > 0
	l.coldness.clearAt = 0
	eventTargetCold.Log(context.Background(), f.cfg.Log, slog.String("target", l.heartbeat.Incarnation.Target),
		slog.Bool("cold", left > 0), slog.Bool("known", l.coldness.known), slog.Int64("left_ms", l.leftMs(now)))
}

// leftMs returns the remaining coldness in milliseconds, as far as it is known.
func (l *localTarget) leftMs(now time.Duration) int64 {
	if !l.coldness.known {
		return 0
	}
	return max(0, l.coldness.until-now).Milliseconds()
}

// coldRate returns how many requests a second a cold target of a service may get, or 0 for no
// limit.
func (f *Fleet) coldRate(service string) float64 {
	if f.rules == nil {
		return 0
	}
	s, _ := f.rules.Service(service)
	pace, _ := s.ColdLimit(f.cfg.ColdFactor, f.cfg.ColdSlack)
	return pace
}
