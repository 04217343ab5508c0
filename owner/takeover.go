package owner

import (
	"maps"
	"slices"
	"time"

	"burdocklift/lease"
	"burdocklift/plan"
	"burdocklift/proto"
)

const (
	// refuseInterval is the initial backoff before an unanswered Refuse is sent
	// again. It doubles up to maxRefuseInterval, as any number of hosts may end up
	// coordinating a takeover that waits for an unreachable witness.
	refuseInterval    = 50 * time.Millisecond
	maxRefuseInterval = 2 * time.Second
)

type takeoverStep uint8

const (
	stepMark takeoverStep = iota
	stepRefuse
	stepReassign
	stepRemove
)

// takeover revokes the lease of one lost host and reassigns its entries.
type takeover struct {
	member      proto.Member
	step        takeoverStep
	revocation  lease.Revocation
	nextRequest time.Time
	backoff     time.Duration // between Refuse messages
}

func (c *Core) startTakeover(now time.Time, member proto.Member, fx Effects) {
	if c.takeovers[member.ID] != nil || c.leaseEnded[member.ID] {
		return
	}
	t := &takeover{member: member}
	c.takeovers[member.ID] = t
	fx.Event(Event{Kind: TakeoverStarted, Host: member.ID})
	if member.State == proto.Marked {
		t.step = stepRefuse
		return
	}
	key := proto.GroupKey(member.Place.DataCentre, member.ID.Name)
	c.groups.edit(now, key, change[proto.Group]{
		apply: func(g *proto.Group) bool {
			m, ok := g.Member(member.ID)
			if !ok || m.State == proto.Marked {
				return false
			}
			m.State = proto.Marked
			return true
		},
		done: func(now time.Time, fx Effects) {
			rec := c.groups.entries[key].rec
			if rec == nil {
				delete(c.takeovers, member.ID)
				return
			}
			m, ok := rec.Member(member.ID)
			switch {
			case !ok: // a member is removed only after its lease has ended
				c.setLeaseEnded(member.ID)
				t.step = stepReassign
			case m.State == proto.Marked:
				// The witnesses of the marked record apply: the host can no longer
				// change them.
				t.member = *m
				t.step = stepRefuse
				fx.Event(Event{Kind: HostMarked, Host: member.ID})
			default:
				delete(c.takeovers, member.ID)
			}
			c.advanceTakeovers(now, fx)
		},
		// A host that has returned during a store outage is not taken over. If the
		// mark takes effect nevertheless, the scan for orphans finds it.
		withdraw: func(now time.Time, _ bool, _ Effects) bool {
			if c.isSuspected(now, member.ID) {
				return false
			}
			delete(c.takeovers, member.ID)
			return true
		},
	}, fx)
}

func (c *Core) setLeaseEnded(id proto.HostID) {
	c.leaseEnded[id] = true
	c.scanDirty = true
}

// handleRefuse handles a coordinator's request to refuse further renewals of a
// marked host.
func (c *Core) handleRefuse(now time.Time, from proto.HostID, m proto.Refuse, fx Effects) {
	var remaining time.Duration
	switch {
	case c.isSelf(m.Witness):
		remaining = c.witness.Refuse(now, m.Host)
	case c.predecessors[m.Witness]:
		// The process that granted the lease has ended, as this one has its address.
		remaining = c.witness.RefuseForPredecessor(now, m.Host)
	default:
		return
	}
	c.send(now, from, proto.Refused{Host: m.Host, Witness: m.Witness, Remaining: remaining}, fx)
}

func (c *Core) handleRefused(now time.Time, m proto.Refused) {
	t := c.takeovers[m.Host]
	if t == nil || t.step != stepRefuse || !slices.Contains(t.member.Witnesses, m.Witness) {
		return
	}
	t.revocation.AddRefusal(now, c.cfg.Timing, m.Witness, m.Remaining)
}

func (c *Core) advanceTakeovers(now time.Time, fx Effects) {
	if len(c.takeovers) == 0 {
		return
	}
	ids := slices.SortedFunc(maps.Keys(c.takeovers), lease.CompareIDs)
	for _, id := range ids {
		if t := c.takeovers[id]; t.step == stepRefuse {
			c.requestRefusals(now, id, t, fx)
		}
	}
	c.reassign(now, fx)
	for _, id := range ids {
		t := c.takeovers[id]
		if t == nil || t.step != stepReassign || c.pagesOwned[id] > 0 {
			continue
		}
		t.step = stepRemove
		fx.Event(Event{Kind: TakeoverEnded, Host: id})
	}
	for _, id := range ids {
		// The record stays while the address of the member is needed to revoke the
		// lease of a host that it is a witness of.
		if t := c.takeovers[id]; t != nil && t.step == stepRemove && !c.isWitness(id) {
			delete(c.takeovers, id)
			c.removeMember(now, t.member, nil, fx)
		}
	}
}

func (c *Core) requestRefusals(now time.Time, id proto.HostID, t *takeover, fx Effects) {
	if end, ok := t.revocation.EndsAt(t.member.Witnesses); ok && !now.Before(end) {
		t.step = stepReassign
		c.setLeaseEnded(id)
		return
	}
	if now.Before(t.nextRequest) {
		return
	}
	t.backoff = min(max(2*t.backoff, refuseInterval), maxRefuseInterval)
	t.nextRequest = now.Add(t.backoff)
	for _, w := range t.member.Witnesses {
		if !t.revocation.HasRefused(w) {
			c.send(now, w, proto.Refuse{Host: id, Witness: w}, fx)
		}
	}
}

// reassign assigns the entries of hosts whose lease has ended to live hosts. One
// change of a page is in flight at a time; it covers all such hosts known when it
// is applied.
func (c *Core) reassign(now time.Time, fx Effects) {
	for _, p := range c.pages.sorted() {
		if p.rec == nil || c.reassigning[p.key] ||
			!slices.ContainsFunc(c.pageOwners[p.key], func(id proto.HostID) bool { return c.leaseEnded[id] }) {
			continue
		}
		c.reassigning[p.key] = true
		key := p.key
		c.pages.edit(now, key, change[proto.Page]{
			apply: c.replaceOwners,
			done:  func(time.Time, Effects) { delete(c.reassigning, key) },
		}, fx)
	}
}

// replaceOwners replaces the owners on a page whose lease has certainly ended.
func (c *Core) replaceOwners(p *proto.Page) bool {
	counts := c.entryCounts()
	ended := func(id proto.HostID) bool { return c.leaseEnded[id] }
	next := plan.Successors(p, ended, c.liveHosts(p.Service), func(id proto.HostID) int { return counts[id] })
	if next == nil {
		return false
	}
	next.Compact()
	*p = *next
	return true
}

// removeMember deletes the record of a member that can no longer serve and owns
// no entries.
func (c *Core) removeMember(now time.Time, member proto.Member, done func(time.Time, Effects), fx Effects) {
	if member.Place.DataCentre == "" {
		return // known only as an owner on a page
	}
	key := proto.GroupKey(member.Place.DataCentre, member.ID.Name)
	c.groups.edit(now, key, change[proto.Group]{
		apply: func(g *proto.Group) bool {
			n := len(g.Members)
			if _, ok := g.Member(member.ID); ok {
				g.Floor = max(g.Floor, member.ID.Incarnation)
			}
			g.Members = slices.DeleteFunc(g.Members, func(m proto.Member) bool { return m.ID == member.ID })
			return len(g.Members) != n
		},
		done: done,
	}, fx)
}
