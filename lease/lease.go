// Package lease implements the lease of a host. The holder renews its lease with a
// quorum of witnesses, which grant or refuse renewals and report silent holders.
// The state machines do no I/O and use the clock of their own host.
package lease

import (
	"sync/atomic"
	"time"

	"burdocklift/proto"
)

// Quorum returns the number of grants that a holder with n witnesses needs.
func Quorum(n int) int { return n/2 + 1 }

// BlockingQuorum returns the number of witnesses of n whose refusal makes a quorum
// of grants impossible.
func BlockingQuorum(n int) int { return n - Quorum(n) + 1 }

// Gate tells request goroutines whether the host may dispatch. It is safe for
// concurrent use. The zero value is closed.
type Gate struct {
	base time.Time
	end  atomic.Int64
}

// NewGate returns a closed gate that stores times relative to base.
func NewGate(base time.Time) *Gate { return &Gate{base: base} }

// SetEnd sets the time until which requests may be dispatched.
func (g *Gate) SetEnd(end time.Time) {
	if end.IsZero() {
		g.end.Store(0)
		return
	}
	g.end.Store(int64(end.Sub(g.base)))
}

// Valid reports whether requests may be dispatched at a time.
func (g *Gate) Valid(now time.Time) bool { return int64(now.Sub(g.base)) < g.end.Load() }

// Remaining returns the time until the gate closes. It is not positive while the
// gate is closed.
func (g *Gate) Remaining(now time.Time) time.Duration {
	return time.Duration(g.end.Load()) - now.Sub(g.base)
}

// CompareIDs orders identifiers by name and incarnation.
func CompareIDs(a, b proto.HostID) int {
	if a.Name != b.Name {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}
