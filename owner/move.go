package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/shard"
)

// move is the handover of one entry from this host to its next owner.
type move struct {
	next    proto.HostID
	epoch   uint64 // epoch under which the next owner will serve
	writing bool   // a release or cancellation is being written
}

// Plan writes the planner's moves to the pages of a service. The owner of each
// entry executes its move. A move whose entry has changed meanwhile is dropped.
func (c *Core) Plan(now time.Time, service string, moves []plan.Move, fx Effects) {
	byPage := make(map[string][]plan.Move)
	for _, m := range moves {
		key := proto.PageKey(service, m.Page)
		byPage[key] = append(byPage[key], m)
	}
	for _, key := range sortedKeys(byPage) {
		c.pages.edit(now, key, change[proto.Page]{apply: func(p *proto.Page) bool {
			if len(p.Shards) == 0 {
				return false
			}
			feasible := slices.DeleteFunc(slices.Clone(byPage[key]), func(m plan.Move) bool {
				to, ok := c.members[m.To]
				return !m.To.IsZero() && (!ok || to.State != proto.Active)
			})
			next := plan.Apply(p, feasible)
			if next == nil {
				return false
			}
			*p = *next
			return true
		}}, fx)
	}
	c.publishView()
}

// Pages returns the known pages of a service, ordered by index. The caller must
// not modify them.
func (c *Core) Pages(service string) []*proto.Page {
	var pages []*proto.Page
	for i := range shard.Pages(c.services[service]) {
		if p, ok := c.pages.entries[proto.PageKey(service, uint32(i))]; ok && p.rec != nil {
			pages = append(pages, p.rec)
		}
	}
	return pages
}

func findEntry(p *proto.Page, ref Ref) *proto.Entry {
	if ref.Key != "" {
		i := slices.IndexFunc(p.Hot, func(h proto.HotEntry) bool { return h.Key == ref.Key })
		if i < 0 {
			return nil
		}
		return &p.Hot[i].Entry
	}
	i := ref.Shard % proto.PageShards
	if p.Index != ref.Shard/proto.PageShards || int(i) >= len(p.Shards) {
		return nil
	}
	return &p.Shards[i]
}

// maxVerifyAge bounds the age of the last answer of the store when a drain
// starts. A drained entry is unavailable until its release is written, so a drain
// must not start during a store outage.
const maxVerifyAge = 500 * time.Millisecond

// advanceMoves starts drains for entries with a next owner and ends the drains of
// entries whose planned move has been dropped or changed.
func (c *Core) advanceMoves(now time.Time, fx Effects) {
	if c.phase != Member && c.phase != Leaving {
		return
	}
	if c.movesDirty {
		c.movesDirty = false
		c.plannedMoves = c.findPlannedMoves()
	}
	if len(c.plannedMoves) == 0 && len(c.moves) == 0 {
		return
	}
	for _, ref := range sortedRefs(c.moves) {
		if next, ok := c.plannedMoves[ref]; (!ok || next != c.moves[ref].next) && !c.moves[ref].writing {
			delete(c.moves, ref)
			fx.Resume(ref)
		}
	}
	for _, ref := range sortedRefs(c.plannedMoves) {
		next := c.plannedMoves[ref]
		if m, ok := c.members[next]; !ok || m.State != proto.Active {
			c.cancelMove(now, ref, next, fx)
			continue
		}
		p := c.pages.entry(proto.PageKey(ref.Service, ref.Shard/proto.PageShards))
		if c.moves[ref] == nil && c.pages.verify(now, p, now.Add(-maxVerifyAge), fx) {
			m := &move{next: next, epoch: c.epochOf(ref) + 1}
			c.moves[ref] = m
			fx.Drain(ref, next, m.epoch)
		}
	}
}

// findPlannedMoves returns the entries of this host that name a next owner.
func (c *Core) findPlannedMoves() map[Ref]proto.HostID {
	wanted := make(map[Ref]proto.HostID)
	for _, p := range c.pages.entries {
		if p.rec == nil || !slices.Contains(p.rec.Owners, c.id) {
			continue
		}
		p.rec.EachEntry(func(s uint32, key string, e *proto.Entry) {
			if e.Next > 0 && p.rec.Owners[e.Owner] == c.id {
				wanted[c.refOf(p.rec, s, key)] = p.rec.Owners[e.Next-1]
			}
		})
	}
	return wanted
}

func (c *Core) refOf(p *proto.Page, s uint32, key string) Ref {
	if key != "" {
		s = shard.Of(key, c.services[p.Service])
	}
	return Ref{Service: p.Service, Shard: s, Key: key}
}

func (c *Core) epochOf(ref Ref) uint64 {
	p, ok := c.pages.entries[proto.PageKey(ref.Service, ref.Shard/proto.PageShards)]
	if !ok || p.rec == nil {
		return 0
	}
	if e := findEntry(p.rec, ref); e != nil {
		return e.Epoch
	}
	return 0
}

// Drained reports that no requests are in flight for an entry and that its state
// has reached the next owner. The entry is then released to that owner. next and
// epoch are those of the Drain call that is answered: a late answer for a
// cancelled move must not release the entry in a later one.
func (c *Core) Drained(now time.Time, ref Ref, next proto.HostID, epoch uint64, fx Effects) {
	m := c.moves[ref]
	if m == nil || m.writing || m.next != next || m.epoch != epoch {
		return
	}
	m.writing = true
	self := c.id
	released := false
	key := proto.PageKey(ref.Service, ref.Shard/proto.PageShards)
	c.pages.edit(now, key, change[proto.Page]{
		apply: func(p *proto.Page) bool {
			e := findEntry(p, ref)
			if e == nil || e.Next == 0 || e.Epoch+1 != epoch || p.Owners[e.Owner] != self || p.Owners[e.Next-1] != next {
				return false
			}
			e.Owner, e.Next, e.Epoch = e.Next-1, 0, e.Epoch+1
			p.Compact()
			released = true
			return true
		},
		done: func(_ time.Time, fx Effects) {
			c.endMove(ref, m, fx)
			if released {
				fx.Event(Event{Kind: EntryMoved, Host: next, Ref: ref})
			}
		},
		// If the release was certainly not written, this host keeps the entry and
		// serves it.
		withdraw: func(_ time.Time, notWritten bool, fx Effects) bool {
			if notWritten {
				c.endMove(ref, m, fx)
				c.pages.entry(key).verified = time.Time{}
			}
			return notWritten
		},
	}, fx)
	c.publishView()
}

// endMove deletes a move and ends its drain, so that the entry is served again if
// this host still owns it.
func (c *Core) endMove(ref Ref, m *move, fx Effects) {
	c.movesDirty = true
	if c.moves[ref] == m {
		delete(c.moves, ref)
		fx.Resume(ref)
	}
}

// DrainFailed reports that an entry could not be drained or handed over; the
// move is cancelled.
func (c *Core) DrainFailed(now time.Time, ref Ref, next proto.HostID, epoch uint64, fx Effects) {
	if m := c.moves[ref]; m != nil && m.next == next && m.epoch == epoch {
		c.cancelMove(now, ref, m.next, fx)
	}
}

// cancelMove clears the next owner of an entry. This host serves the entry while
// the write is in flight, as the entry was not released.
func (c *Core) cancelMove(now time.Time, ref Ref, next proto.HostID, fx Effects) {
	m := c.moves[ref]
	if m != nil && m.writing {
		return
	}
	if m == nil {
		m = &move{next: next}
		c.moves[ref] = m
	}
	m.writing = true
	fx.Resume(ref)
	self := c.id
	c.pages.edit(now, proto.PageKey(ref.Service, ref.Shard/proto.PageShards), change[proto.Page]{
		apply: func(p *proto.Page) bool {
			e := findEntry(p, ref)
			if e == nil || e.Next == 0 || p.Owners[e.Owner] != self || p.Owners[e.Next-1] != next {
				return false
			}
			// The next owner may hold complete handover state for the next epoch. It
			// must not use that state in a later takeover, as the state lacks the
			// requests that run on this host from now on.
			e.Next, e.Epoch = 0, e.Epoch+1
			p.Compact()
			return true
		},
		done: func(_ time.Time, fx Effects) { c.endMove(ref, m, fx) },
	}, fx)
}

// startLeaving sets the member state to Leaving, so that no host plans entries
// for this one.
func (c *Core) startLeaving(now time.Time, fx Effects) {
	c.phase = Leaving
	c.leavingSince = now
	id := c.id
	c.groups.edit(now, c.groupKey(), change[proto.Group]{apply: func(g *proto.Group) bool {
		m, ok := g.Member(id)
		if !ok || m.State != proto.Active {
			return false
		}
		m.State = proto.Leaving
		return true
	}}, fx)
}

// leaveGrace is how long a leaving host stays a member for the hosts that it is a
// witness of, so that they can replace it first.
const leaveGrace = 5 * time.Second

// finishLeaving hands over all entries of this host, and removes the member
// record once it owns none.
func (c *Core) finishLeaving(now time.Time, fx Effects) {
	if m := c.members[c.id]; m.State != proto.Leaving || now.Before(c.nextHandOver) {
		return
	}
	if c.handOver(now, fx) {
		return
	}
	if len(c.moves) > 0 || c.isWitness(c.id) && now.Sub(c.leavingSince) < leaveGrace {
		return
	}
	id := c.id
	c.phase = Gone
	c.gate.SetEnd(time.Time{})
	c.removeMember(now, c.members[id], func(_ time.Time, fx Effects) {
		fx.Event(Event{Kind: HostLeft, Host: id})
	}, fx)
}

// handOver plans a next owner for each entry of this host and reports whether the
// host still owns any.
func (c *Core) handOver(now time.Time, fx Effects) bool {
	c.nextHandOver = now.Add(scanInterval)
	if c.pagesOwned[c.id] == 0 {
		return false
	}
	for _, p := range c.pages.sorted() {
		if p.rec != nil && !p.busy && c.hasUnplannedEntry(p.rec) {
			c.pages.edit(now, p.key, change[proto.Page]{apply: c.planSuccessors}, fx)
		}
	}
	return true
}

func (c *Core) hasUnplannedEntry(p *proto.Page) bool {
	found := false
	p.EachEntry(func(_ uint32, _ string, e *proto.Entry) {
		found = found || (e.Next == 0 && p.Owners[e.Owner] == c.id)
	})
	return found
}

// planSuccessors sets the next owner of each entry of this host on a page.
func (c *Core) planSuccessors(p *proto.Page) bool {
	counts := c.entryCounts()
	self := func(id proto.HostID) bool { return id == c.id }
	next := plan.Successors(p, self, c.liveHosts(p.Service), func(id proto.HostID) int { return counts[id] })
	if next == nil {
		return false
	}
	changed := false
	assign := func(e *proto.Entry, to proto.HostID) {
		if p.Owners[e.Owner] == c.id && e.Next == 0 && to != c.id {
			e.Next = p.OwnerIndex(to) + 1
			changed = true
		}
	}
	for i := range p.Shards {
		assign(&p.Shards[i], next.Owners[next.Shards[i].Owner])
	}
	for i := range p.Hot {
		assign(&p.Hot[i].Entry, next.Owners[next.Hot[i].Entry.Owner])
	}
	return changed
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedRefs[V any](m map[Ref]V) []Ref {
	return slices.SortedFunc(maps.Keys(m), func(a, b Ref) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Key, b.Key))
	})
}
