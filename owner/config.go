package owner

import (
	"time"

	"burdocklift/proto"
)

// Config is the initial configuration of a core.
type Config struct {
	Name      string
	Place     proto.Place
	Addresses proto.Addresses
	Timing    proto.Timing
	// RunID is a random number that differs between runs of the process; it
	// identifies the writes of this run.
	RunID uint64
	// MinIncarnation is the lowest incarnation to join under, a Unix time in
	// milliseconds.
	MinIncarnation uint64
	// ClockBase is the time that the gate stores times relative to.
	ClockBase time.Time
	// TakeoverDelay is the grace period of a suspected host before its lease is
	// revoked.
	TakeoverDelay time.Duration
}

// Target describes the local target as registered by its announcement.
type Target struct {
	Service      string
	Slots        int
	Connections  int
	ChecksGrants bool
}

// Phase is the state of the local host's membership.
type Phase uint8

// Phases of membership.
const (
	Loading Phase = iota // records have not been read yet
	Idle                 // no target has announced itself
	Joining              // the member record is being written
	Member               // the host is a member
	Leaving              // entries are being handed over
	Gone                 // the member record is removed
)

// SetTakeoverDelay sets the grace period of a suspected host before its takeover.
func (c *Core) SetTakeoverDelay(d time.Duration) { c.cfg.TakeoverDelay = d }

// SetTarget sets the local target. The host joins once its target is known.
func (c *Core) SetTarget(t Target) {
	c.target, c.targetKnown = t, true
}

// Leave starts a graceful leave: entries are handed over, then the member
// record is removed. Phase reports Gone at the end.
func (c *Core) Leave() { c.leaveRequested = true }

// SetTargetDown sets whether the local target is down. The member record carries
// the state to the other hosts, which plan no entries for a host whose target is
// down.
func (c *Core) SetTargetDown(down bool) { c.targetDown = down }

// writeTargetDown writes a change of the target's state to the member record.
func (c *Core) writeTargetDown(now time.Time, fx Effects) {
	own, ok := c.members[c.id]
	if !ok || c.writingTargetDown || own.TargetDown == c.targetDown {
		return
	}
	c.writingTargetDown = true
	id, down := c.id, c.targetDown
	c.groups.edit(now, c.groupKey(), change[proto.Group]{
		apply: func(g *proto.Group) bool {
			m, ok := g.Member(id)
			if !ok || m.State == proto.Marked || m.TargetDown == down {
				return false
			}
			m.TargetDown = down
			return true
		},
		done: func(time.Time, Effects) { c.writingTargetDown = false },
	}, fx)
}

// targetDownGrace is how long a host keeps its entries after its target went
// down, so that a target that crashes and restarts at once causes no moves.
const targetDownGrace = time.Second

// handOverIfTargetDown hands the entries of a host whose target stays down over
// to other hosts, without waiting for the next step of the planner.
func (c *Core) handOverIfTargetDown(now time.Time, fx Effects) {
	if !c.targetDown || !c.members[c.id].TargetDown {
		c.downSince = time.Time{}
		return
	}
	if c.downSince.IsZero() {
		c.downSince = now
	}
	if now.Sub(c.downSince) >= targetDownGrace+c.cfg.TakeoverDelay && !now.Before(c.nextHandOver) {
		c.handOver(now, fx)
	}
}
