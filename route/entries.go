package route

import (
	"time"

	"burdocklift/dedup"
	"burdocklift/proto"
	"burdocklift/shard"
)

// handoverTimeout bounds the wait for a handover once its epoch has started on
// this host. The previous owner serves no requests under the new epoch, so the
// floor of the idempotency table is safe without the handover.
const handoverTimeout = 2 * time.Second

// pendingHandover is a handover of an entry to this host that is not complete.
type pendingHandover struct {
	service    string
	key        string
	shard      uint32
	epoch      uint64
	from       proto.HostID
	ownedSince time.Time // when this host was first seen as the owner; zero if not yet
}

// Entries applies ownership changes of the published views to the idempotency
// table. It must be used by a single goroutine.
type Entries struct {
	router       *Router
	view         *shard.View
	self         proto.HostID
	pending      map[uint32]pendingHandover
	pendingDrops map[uint32]pendingHandover
}

// NewEntries returns an Entries for the views of the router.
func (r *Router) NewEntries() *Entries {
	return &Entries{router: r, view: &shard.View{}, pending: make(map[uint32]pendingHandover), pendingDrops: make(map[uint32]pendingHandover)}
}

// Step applies the current view. If the view is unchanged and no handover is
// pending, the only cost is a pointer comparison.
func (e *Entries) Step(now time.Time) {
	table := e.router.IDs()
	if table == nil {
		return
	}
	view := e.router.control.View()
	if e.self != view.Self() {
		// A new incarnation compares all entries again.
		e.self, e.view = view.Self(), &shard.View{}
	}
	if view != e.view {
		view.Changes(e.view, func(c shard.Change) { e.applyChange(now, table, view, c) })
		e.view = view
	}
	e.resolvePending(now, table)
	e.dropMoved(table)
}

// applyChange starts, awaits or releases an entry after its ownership changed.
func (e *Entries) applyChange(now time.Time, table *dedup.Table, view *shard.View, c shard.Change) {
	scope := Scope(c.Shard, c.Key)
	p := pendingHandover{service: c.Service, key: c.Key, shard: c.Shard, from: c.Old.ID}
	ownsNow, ownedBefore := c.New.ID == e.self && !e.self.IsZero(), c.Old.ID == e.self && !e.self.IsZero()
	switch {
	case ownsNow && c.New.Epoch > c.Old.Epoch:
		delete(e.pendingDrops, scope)
		p.epoch, p.ownedSince = c.New.Epoch, now
		if !ownedBefore && hostAlive(view, c.Old.ID) {
			// A live owner gives the entry away only after its chunks are confirmed.
			table.Expect(scope, p.epoch)
			e.pending[scope] = p
		}
		beginEpoch(now, table, scope, c.Key != "", p.epoch)
	case !ownsNow && c.New.Next == e.self && !e.self.IsZero():
		delete(e.pendingDrops, scope)
		p.epoch, p.from = c.New.Epoch+1, c.New.ID
		table.Expect(scope, p.epoch)
		e.pending[scope] = p
	case !ownsNow && (ownedBefore || c.Old.Next == e.self && !e.self.IsZero()):
		delete(e.pending, scope)
		e.pendingDrops[scope] = p
	}
}

// hostAlive reports whether the host is known and not marked as failed.
func hostAlive(view *shard.View, id proto.HostID) bool {
	h, ok := view.Host(id)
	return ok && h.Member.State != proto.Marked
}

// resolvePending stops waiting for handovers that are complete, superseded or
// will not arrive, for entries that this host already owns.
func (e *Entries) resolvePending(now time.Time, table *dedup.Table) {
	for scope, p := range e.pending {
		o := e.view.Ownership(p.service, p.shard, p.key)
		switch {
		case o.ID != e.self && o.Next != e.self:
			delete(e.pending, scope)
		case o.ID != e.self || o.Epoch < p.epoch:
		case o.Epoch > p.epoch || !hostAlive(e.view, p.from) || !p.ownedSince.IsZero() && now.Sub(p.ownedSince) >= handoverTimeout:
			// Serve starts the epoch if the handover is complete; otherwise
			// GiveUp takes effect.
			table.Serve(now, scope, o.Epoch)
			table.GiveUp(now, scope, p.epoch)
			delete(e.pending, scope)
		case p.ownedSince.IsZero():
			p.ownedSince = now
			e.pending[scope] = p
		}
	}
}

// dropMoved discards the idempotency records of entries that moved to another
// host once no request of the entry is in flight.
func (e *Entries) dropMoved(table *dedup.Table) {
	for scope := range e.pendingDrops {
		if table.Drop(scope) == nil {
			delete(e.pendingDrops, scope)
		}
	}
}
