package owner

import (
	"slices"
	"time"

	"burdocklift/lease"
	"burdocklift/proto"
)

const (
	// rejoinDelay is how long a fenced host waits before it rejoins, unless it
	// hears from another host. If an isolated host rejoined at once, it would be
	// given entries that it cannot serve and would be marked repeatedly.
	rejoinDelay = 2 * time.Second
)

func (c *Core) groupKey() string { return proto.GroupKey(c.cfg.Place.DataCentre, c.cfg.Name) }

func (c *Core) advanceMembership(now time.Time, fx Effects) {
	switch c.phase {
	case Idle:
		if c.targetKnown && !c.leaveRequested && (!now.Before(c.rejoinAt) || c.lastHeard.After(c.fencedAt)) {
			c.join(now, fx)
		} else if c.leaveRequested {
			c.phase = Gone
		}
	case Member:
		if c.leaveRequested {
			c.startLeaving(now, fx)
			return
		}
		c.writeTargetDown(now, fx)
		c.handOverIfTargetDown(now, fx)
		c.reviewWitnesses(now, fx)
	case Leaving:
		c.reviewWitnesses(now, fx)
		c.finishLeaving(now, fx)
	case Loading, Joining, Gone:
	}
}

// join writes the member record under a new incarnation. The same write marks
// earlier incarnations of this host, which must never serve again.
func (c *Core) join(now time.Time, fx Effects) {
	c.phase = Joining
	var id proto.HostID
	var witnesses []proto.HostID
	apply := func(g *proto.Group) bool {
		id = proto.HostID{Name: c.cfg.Name, Incarnation: max(c.cfg.MinIncarnation, c.id.Incarnation+1, g.Floor+1)}
		for i := range g.Members {
			m := &g.Members[i]
			if m.ID.Name != c.cfg.Name {
				continue
			}
			m.State = proto.Marked
			id.Incarnation = max(id.Incarnation, m.ID.Incarnation+1)
			if m.Addresses.Control == c.cfg.Addresses.Control && !c.aliases[m.ID] {
				c.predecessors[m.ID] = true
			}
		}
		witnesses = c.chooseWitnesses(now, id)
		g.Members = append(g.Members, c.memberRecord(id, witnesses))
		slices.SortFunc(g.Members, func(a, b proto.Member) int { return lease.CompareIDs(a.ID, b.ID) })
		return true
	}
	c.groups.edit(now, c.groupKey(), change[proto.Group]{apply: apply, done: func(now time.Time, fx Effects) {
		c.id = id
		c.aliases[id] = true
		c.phase = Member
		c.holder = lease.NewHolder(c.cfg.Timing, id.Incarnation)
		c.holder.SetWitnesses(witnesses)
		c.lastGrant = make(map[proto.HostID]time.Time)
		c.nextRenew = now
		c.nextWitnessCheck = now.Add(c.cfg.Timing.Renew)
		c.nextWitnessReview = now
		c.builder.SetSelf(id)
		c.viewDirty, c.movesDirty = true, true
		fx.Event(Event{Kind: HostJoined, Host: id})
		// The member may have been marked while the outcome of the write was unknown.
		c.fenceIfMarked(now, c.groups.entry(c.groupKey()), fx)
	}}, fx)
}

func (c *Core) memberRecord(id proto.HostID, witnesses []proto.HostID) proto.Member {
	return proto.Member{
		ID: id, Place: c.cfg.Place, Addresses: c.cfg.Addresses,
		Service: c.target.Service, Slots: c.target.Slots, Connections: c.target.Connections,
		ChecksGrants: c.target.ChecksGrants, Witnesses: witnesses, State: proto.Active, TargetDown: c.targetDown,
	}
}

// fenceIfMarked fences the local host if its incarnation was marked or removed.
func (c *Core) fenceIfMarked(now time.Time, g *cached[proto.Group], fx Effects) {
	if (c.phase != Member && c.phase != Leaving) || g.key != c.groupKey() {
		return
	}
	if m, ok := g.rec.Member(c.id); ok && m.State != proto.Marked {
		return
	}
	c.fence(now, fx)
}

// fence abandons the current incarnation. The host rejoins under a new one.
func (c *Core) fence(now time.Time, fx Effects) {
	c.fencedAt, c.rejoinAt = now, now.Add(rejoinDelay)
	c.gate.SetEnd(time.Time{})
	c.holder.SetRefused()
	c.writingWitnesses, c.proposed = false, nil
	fx.Event(Event{Kind: HostFenced, Host: c.id})
	for _, ref := range sortedRefs(c.moves) {
		fx.Resume(ref)
	}
	clear(c.moves)
	clear(c.plannedMoves)
	c.phase = Idle
}

func (c *Core) renew(now time.Time, fx Effects) {
	if (c.phase != Member && c.phase != Leaving) || now.Before(c.nextRenew) {
		return
	}
	c.nextRenew = now.Add(c.cfg.Timing.Renew)
	seq, to := c.holder.Renew(now)
	for _, w := range to {
		c.send(now, w, proto.Renew{Seq: seq}, fx)
	}
}

func (c *Core) handleGrant(now time.Time, from proto.HostID, m proto.Grant, fx Effects) {
	if c.phase != Member && c.phase != Leaving {
		return
	}
	if m.Refused {
		if !c.holder.Sent(m.Seq) {
			return // answers a renewal of an earlier incarnation
		}
		// Only a marked incarnation is refused. The host reads the records before it
		// rejoins. If the read fails, the next refusal triggers another.
		c.holder.SetRefused()
		if id := c.id; !c.listing {
			c.list(c.groupKey(), func(now time.Time, ok bool, fx Effects) {
				if ok && c.id == id && (c.phase == Member || c.phase == Leaving) {
					c.fence(now, fx)
				}
			}, fx)
		}
		c.updateGate(now, fx)
		return
	}
	if !c.holder.Grant(from, m.Seq) {
		return
	}
	c.lastGrant[from] = now
	c.updateGate(now, fx)
}

// updateGate sets the end of the lease, less the safety margin, on the gate.
func (c *Core) updateGate(now time.Time, fx Effects) {
	if c.phase != Member && c.phase != Leaving {
		c.gate.SetEnd(time.Time{})
		c.wasValid = false
		return
	}
	end := c.holder.End()
	if !end.IsZero() {
		end = end.Add(-c.cfg.Timing.Margin)
	}
	c.gate.SetEnd(end)
	valid := now.Before(end)
	if valid != c.wasValid {
		kind := LeaseLapsed
		if valid {
			kind = LeaseRecovered
		}
		fx.Event(Event{Kind: kind, Host: c.id})
		c.wasValid = valid
	}
}
