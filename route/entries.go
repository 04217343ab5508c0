package route

import (
	"time"

	"burdocklift/dedup"
	"burdocklift/proto"
	"burdocklift/shard"
)

// awaitLimit bounds the wait for a handover after its epoch has begun here.
// The earlier owner serves nothing after the epoch, so the floor is safe then.
const awaitLimit = 2 * time.Second

// awaited is a handover to this host that is not complete.
type awaited struct {
	service string
	key     string
	shard   uint32
	epoch   uint64
	from    proto.HostID
	since   time.Time // when this host was first seen as the owner, or zero
}

// Entries keeps the idempotency table in step with the published views. It is
// used by one goroutine.
type Entries struct {
	router  *Router
	view    *shard.View
	self    proto.HostID
	waiting map[uint32]awaited
	drops   map[uint32]awaited
}

// NewEntries returns the follower of the router's views.
func (r *Router) NewEntries() *Entries {
	return &Entries{router: r, view: &shard.View{}, waiting: make(map[uint32]awaited), drops: make(map[uint32]awaited)}
}

// Step adopts the current view. It does nothing but compare two pointers if the
// view is the same and no handover is awaited.
func (e *Entries) Step(now time.Time) {
	ids := e.router.IDs()
	if ids == nil {
		return
	}
	view := e.router.control.View()
	if e.self != view.Self() {
		// Under a new incarnation, all entries are compared anew.
		e.self, e.view = view.Self(), &shard.View{}
	}
	if view != e.view {
		view.Changes(e.view, func(c shard.Change) { e.change(now, ids, view, c) })
		e.view = view
	}
	e.giveUp(now, ids)
	e.drop(ids)
}

func (e *Entries) change(now time.Time, ids *dedup.Table, view *shard.View, c shard.Change) {
	scope := Scope(c.Shard, c.Key)
	w := awaited{service: c.Service, key: c.Key, shard: c.Shard, from: c.Old.ID}
	mine, was := c.New.ID == e.self && !e.self.IsZero(), c.Old.ID == e.self && !e.self.IsZero()
	switch {
	case mine && c.New.Epoch > c.Old.Epoch:
		delete(e.drops, scope)
		w.epoch, w.since = c.New.Epoch, now
		if !was && serving(view, c.Old.ID) {
			// An owner that lives gave the entry away after its chunks were confirmed.
			ids.ExpectHandover(scope, w.epoch)
			e.waiting[scope] = w
		}
		beginEpoch(now, ids, scope, c.Key != "", w.epoch)
	case !mine && c.New.Next == e.self && !e.self.IsZero():
		delete(e.drops, scope)
		w.epoch, w.from = c.New.Epoch+1, c.New.ID
		ids.ExpectHandover(scope, w.epoch)
		e.waiting[scope] = w
	case !mine && (was || c.Old.Next == e.self && !e.self.IsZero()):
		delete(e.waiting, scope)
		e.drops[scope] = w
	}
}

func serving(view *shard.View, id proto.HostID) bool {
	h, ok := view.Host(id)
	return ok && h.Member.State != proto.Marked
}

// giveUp ends the wait for handovers that will not come, for entries that this
// host owns already.
func (e *Entries) giveUp(now time.Time, ids *dedup.Table) {
	for scope, w := range e.waiting {
		o := e.view.Ownership(w.service, w.shard, w.key)
		switch {
		case o.ID != e.self && o.Next != e.self:
			delete(e.waiting, scope)
		case o.ID != e.self || o.Epoch < w.epoch:
		case o.Epoch > w.epoch || !serving(e.view, w.from) || !w.since.IsZero() && now.Sub(w.since) >= awaitLimit:
			// Serve begins a complete handover; ServeWithoutHandover has an effect otherwise.
			ids.Serve(now, scope, o.Epoch)
			ids.ServeWithoutHandover(now, scope, w.epoch)
			delete(e.waiting, scope)
		case w.since.IsZero():
			w.since = now
			e.waiting[scope] = w
		}
	}
}

// drop frees the ids of entries that moved away, once no request is in flight.
func (e *Entries) drop(ids *dedup.Table) {
	for scope := range e.drops {
		if ids.Drop(scope) == nil {
			delete(e.drops, scope)
		}
	}
}
