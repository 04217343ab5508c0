// Package link limits the traffic over a paid link between two regions to a rate
// budget. Each node of a region has an equal part of the budget and lends the rate
// that it does not need to nodes that need more, separately for each direction.
package link

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/proto"
)

// Direction is the direction of traffic over the link, as seen from the node's
// region.
type Direction uint8

// Directions of traffic.
const (
	Out Direction = iota
	In
)

const directions = 2

func (d Direction) String() string {
	switch d {
	case Out:
		return "out"
	case In:
		return "in"
	}
	return fmt.Sprintf("direction(%d)", uint8(d))
}

// PriorityLevels is the number of priorities. Lower priorities are shed first.
const PriorityLevels = 4

// Config sets the budget of a link. Zero fields get the defaults.
type Config struct {
	Node proto.HostID
	// Rate is the budget of the region pair in each direction, in bytes per second;
	// default 3,750,000 (30 Mbit/s).
	Rate int
	// Burst is the part of a node's share that is the size of its token bucket. The
	// rest is the refill rate, so that no second carries more than the share. Default
	// 0.1.
	Burst float64
	// Reserve is the part of the bucket that each priority leaves to higher ones, and
	// the highest priority to control traffic; default 0.7, 0.5, 0.3 and 0.1.
	Reserve [PriorityLevels]float64
	// LoanLifetime is the lifetime of a loan on the lender's clock; default 2 s.
	LoanLifetime time.Duration
	// Skew bounds the difference of two hosts' clocks; default 250 ms.
	Skew time.Duration
	// SettleTime is the time after which a configuration is in force on all nodes
	// (5 s) and earlier loans have expired; default 8 s. A node's own part rises
	// only after that time. Until then, a node that has just started uses
	// startShare of its own part, as loans of an earlier incarnation may still be
	// in use.
	SettleTime time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Rate, 3_750_000)
	setDefault(&c.Burst, 0.1)
	setDefault(&c.Reserve, [PriorityLevels]float64{0.7, 0.5, 0.3, 0.1})
	setDefault(&c.LoanLifetime, 2*time.Second)
	setDefault(&c.Skew, 250*time.Millisecond)
	setDefault(&c.SettleTime, 8*time.Second)
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// classTraffic counts the bytes of one class of requests.
type classTraffic struct{ passed, shed [directions]int64 }

// Budget is a node's share of a link's budget. It is safe for concurrent use.
//
// Bytes are charged by the node that sends them, so that each byte is charged once:
// requests and answers are charged to Out of the sender's region. In is for traffic
// whose sender is not a node, such as the platform's store.
type Budget struct {
	cfg   Config
	clock clockwork.Clock

	mu         sync.Mutex
	own        int // own part of the budget in each direction, in bytes per second
	pendingOwn int // own part from pendingAt on, if not zero
	pendingAt  time.Time
	nextChange time.Time // next time at which a rate changes, if not zero
	filledAt   time.Time // time of the last refill
	buckets    [directions]bucket
	classes    map[string]*classTraffic
	reports    map[proto.HostID]receivedReport
	lent       []Loan // Expiry is on this node's clock and includes the skew
	borrowed   map[loanKey]Loan
	seq        uint64
	lastRound  time.Time
}

// bucket is the token bucket of one direction, with the demand for it.
type bucket struct {
	rate       int // the node's share, in bytes per second
	tokens     float64
	sent       [PriorityLevels]int     // bytes sent since the last round
	requested  [PriorityLevels]int     // bytes sent or shed since the last round
	neededRate [PriorityLevels]float64 // rate needed, in bytes per second
}

// New returns the budget of a node among the given number of nodes of its region.
func New(cfg Config, nodes int, clock clockwork.Clock) *Budget {
	now := clock.Now()
	b := &Budget{
		cfg: cfg.withDefaults(), clock: clock, filledAt: now, lastRound: now,
		classes: make(map[string]*classTraffic), reports: make(map[proto.HostID]receivedReport), borrowed: make(map[loanKey]Loan),
	}
	b.SetNodes(nodes)
	b.own = int(startShare * float64(b.pendingOwn))
	b.updateRates(now)
	return b
}

// SetNodes sets the number of nodes of the region in the inventory. A smaller own
// part takes effect at once, a larger one after Config.SettleTime.
func (b *Budget) SetNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.advance()
	own := b.cfg.Rate / max(1, nodes)
	switch {
	case own == b.pendingOwn:
		return
	case own > b.own:
		b.pendingOwn, b.pendingAt = own, now.Add(b.cfg.SettleTime)
	default:
		b.own, b.pendingOwn, b.pendingAt = own, 0, time.Time{}
	}
	b.updateRates(now)
}

// SetRate sets the budget of the region pair, in bytes per second. It takes effect
// at the next call of SetNodes.
func (b *Budget) SetRate(rate int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Rate = rate
}

// advance refills the buckets up to now, in steps between rate changes.
func (b *Budget) advance() time.Time {
	now := b.clock.Now()
	for !b.nextChange.IsZero() && !b.nextChange.After(now) {
		b.refill(b.nextChange)
		b.updateRates(b.nextChange)
	}
	b.refill(now)
	return now
}

// refill adds the tokens since the last refill.
func (b *Budget) refill(to time.Time) {
	elapsed := to.Sub(b.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	for d := range b.buckets {
		s := &b.buckets[d]
		s.tokens += float64(s.rate) * (1 - b.cfg.Burst) * elapsed
		s.tokens = min(s.tokens, b.burstBytes(s))
	}
	b.filledAt = to
}

// burstBytes returns the size of a bucket.
func (b *Budget) burstBytes(s *bucket) float64 { return float64(s.rate) * b.cfg.Burst }

// updateRates recomputes the rates: the own part, minus lent rates, plus borrowed
// rates. Tokens above a smaller bucket are lost, as the borrower may accumulate as
// many.
func (b *Budget) updateRates(now time.Time) {
	if b.pendingOwn > 0 && !b.pendingAt.After(now) {
		b.own, b.pendingOwn = b.pendingOwn, 0
	}
	b.nextChange = time.Time{}
	if b.pendingOwn > 0 {
		b.nextChange = b.pendingAt
	}
	rates := [directions]int{b.own, b.own}
	count := func(l Loan, sign int) bool {
		expiry := time.UnixMilli(l.Expiry)
		if !expiry.After(now) {
			return false
		}
		if b.nextChange.IsZero() || expiry.Before(b.nextChange) {
			b.nextChange = expiry
		}
		rates[l.Direction] += sign * l.Rate
		return true
	}
	b.lent = slices.DeleteFunc(b.lent, func(l Loan) bool { return !count(l, -1) })
	maps.DeleteFunc(b.borrowed, func(_ loanKey, l Loan) bool { return !count(l, 1) })
	for d := range b.buckets {
		s := &b.buckets[d]
		s.rate = max(0, rates[d])
		s.tokens = min(s.tokens, b.burstBytes(s))
	}
}

// Allow reports whether a request of a class may send bytes now, and charges or
// counts them as shed. Priorities are 0 to PriorityLevels-1. Bodies larger than
// the bucket must be sent in pieces.
func (b *Budget) Allow(name string, priority, bytes int, d Direction) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	priority = min(max(priority, 0), PriorityLevels-1)
	s := &b.buckets[d]
	s.requested[priority] += bytes
	reserve := b.cfg.Reserve[priority] * b.burstBytes(s)
	c := b.class(name)
	if s.tokens-float64(bytes) < reserve {
		c.shed[d] += int64(bytes)
		return false
	}
	s.tokens -= float64(bytes)
	s.sent[priority] += bytes
	c.passed[d] += int64(bytes)
	return true
}

// ChargeControl charges control traffic, which is never shed. Later requests are shed
// instead.
func (b *Budget) ChargeControl(bytes int, d Direction) {
	b.Charge("control", PriorityLevels-1, bytes, d)
}

// Charge charges bytes that cannot be shed, such as the answer to a request that has
// run. They may leave the bucket with a debt, for which later requests are shed.
func (b *Budget) Charge(name string, priority, bytes int, d Direction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	priority = min(max(priority, 0), PriorityLevels-1)
	s := &b.buckets[d]
	s.tokens -= float64(bytes)
	s.requested[priority] += bytes
	s.sent[priority] += bytes
	b.class(name).passed[d] += int64(bytes)
}

func (b *Budget) class(name string) *classTraffic {
	c := b.classes[name]
	if c == nil {
		c = &classTraffic{}
		b.classes[name] = c
	}
	return c
}

// Count holds the traffic of a class in one direction, in bytes.
type Count struct {
	Class     string
	Direction Direction
	Passed    int64
	Shed      int64
}

// Counts returns the traffic of all classes, ordered by class and direction.
func (b *Budget) Counts() []Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	var counts []Count
	for name, c := range b.classes {
		for d := range c.passed {
			counts = append(counts, Count{name, Direction(d), c.passed[d], c.shed[d]})
		}
	}
	slices.SortFunc(counts, func(x, y Count) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Direction, y.Direction))
	})
	return counts
}

// Share returns the node's current share of the budget, in bytes per second.
func (b *Budget) Share(d Direction) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.buckets[d].rate
}
