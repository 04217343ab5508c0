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

// IdempotencySync applies ownership changes of the published views to the
// idempotency table. It must be used by a single goroutine.
type IdempotencySync struct {
	router       *Router
	view         *shard.View
	self         proto.HostID
	pending      map[uint32]pendingHandover
	pendingDrops map[uint32]pendingHandover
}

// NewIdempotencySync returns an IdempotencySync for the views of the router.
func (r *Router) NewIdempotencySync() *IdempotencySync {
	return &IdempotencySync{router: r, view: &shard.View{}, pending: make(map[uint32]pendingHandover), pendingDrops: make(map[uint32]pendingHandover)}
}

// Sync applies the current view. If the view is unchanged and no handover is
// pending, the only cost is a pointer comparison.
func (s *IdempotencySync) Sync(now time.Time) {
	table := s.router.IdempotencyTable()
	if table == nil {
		return
	}
	view := s.router.control.View()
	if s.self != view.Self() {
		// A new incarnation compares all entries again.
		s.self, s.view = view.Self(), &shard.View{}
	}
	if view != s.view {
		view.Changes(s.view, func(c shard.Change) { s.applyChange(now, table, view, c) })
		s.view = view
	}
	s.resolvePending(now, table)
	s.dropMoved(table)
}

// applyChange starts, awaits or releases an entry after its ownership changed.
func (s *IdempotencySync) applyChange(now time.Time, table *dedup.Table, view *shard.View, c shard.Change) {
	scope := Scope(c.Shard, c.Key)
	p := pendingHandover{service: c.Service, key: c.Key, shard: c.Shard, from: c.Old.ID}
	ownsNow, ownedBefore := c.New.ID == s.self && !s.self.IsZero(), c.Old.ID == s.self && !s.self.IsZero()
	switch {
	case ownsNow && c.New.Epoch > c.Old.Epoch:
		delete(s.pendingDrops, scope)
		p.epoch, p.ownedSince = c.New.Epoch, now
		if !ownedBefore && hostAlive(view, c.Old.ID) {
			// A live owner gives the entry away only after its chunks are confirmed.
			table.ExpectHandover(scope, p.epoch)
			s.pending[scope] = p
		}
		beginEpoch(now, table, scope, c.Key != "", p.epoch)
	case !ownsNow && c.New.Next == s.self && !s.self.IsZero():
		delete(s.pendingDrops, scope)
		p.epoch, p.from = c.New.Epoch+1, c.New.ID
		table.ExpectHandover(scope, p.epoch)
		s.pending[scope] = p
	case !ownsNow && (ownedBefore || c.Old.Next == s.self && !s.self.IsZero()):
		delete(s.pending, scope)
		s.pendingDrops[scope] = p
	}
}

// hostAlive reports whether the host is known and not marked as failed.
func hostAlive(view *shard.View, id proto.HostID) bool {
	h, ok := view.Host(id)
	return ok && h.Member.State != proto.Marked
}

// resolvePending stops waiting for handovers that are complete, superseded or
// will not arrive, for entries that this host already owns.
func (s *IdempotencySync) resolvePending(now time.Time, table *dedup.Table) {
	for scope, p := range s.pending {
		o := s.view.Ownership(p.service, p.shard, p.key)
		switch {
		case o.ID != s.self && o.Next != s.self:
			delete(s.pending, scope)
		case o.ID != s.self || o.Epoch < p.epoch:
		case o.Epoch > p.epoch || !hostAlive(s.view, p.from) || !p.ownedSince.IsZero() && now.Sub(p.ownedSince) >= handoverTimeout:
			// Serve starts the epoch if the handover is complete; otherwise
			// ServeWithoutHandover takes effect.
			table.Serve(now, scope, o.Epoch)
			table.ServeWithoutHandover(now, scope, p.epoch)
			delete(s.pending, scope)
		case p.ownedSince.IsZero():
			p.ownedSince = now
			s.pending[scope] = p
		}
	}
}

// dropMoved discards the idempotency records of entries that moved to another
// host once no request of the entry is in flight.
func (s *IdempotencySync) dropMoved(table *dedup.Table) {
	for scope := range s.pendingDrops {
		if table.Drop(scope) == nil {
			delete(s.pendingDrops, scope)
		}
	}
}
