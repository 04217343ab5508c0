package shard

import (
	"slices"

	"burdocklift/proto"
)

// Change is an entry whose ownership differs between two views.
type Change struct {
	Service string
	Shard   uint32
	Key     string    // hot key, or empty for a shard
	Old     Ownership // zero if the entry was unknown
	New     Ownership // zero if the entry no longer exists
}

// Ownership is the ownership of an entry as stored in its page record.
type Ownership struct {
	ID    proto.HostID
	Next  proto.HostID // zero if no move is planned
	Epoch uint64
}

// Changes calls fn for every entry whose ownership differs from the old view.
// Views share unchanged pages, so only the other pages are compared.
func (v *View) Changes(old *View, fn func(Change)) {
	for service, t := range v.tables {
		oldTable := old.tables[service]
		for i, p := range t.pages {
			var q *page
			if oldTable != nil && i < len(oldTable.pages) {
				q = oldTable.pages[i]
			}
			if p != nil && p != q {
				t.emitChanges(uint32(i), q, p, fn)
			}
		}
	}
}

// emitChanges calls fn for every entry that differs between two versions of a
// page.
func (t *Table) emitChanges(index uint32, old, current *page, fn func(Change)) {
	if old == nil {
		old = &page{}
	}
	emit := func(s uint32, key string, a, b Ownership) {
		if a != b {
			fn(Change{Service: t.service, Shard: s, Key: key, Old: a, New: b})
		}
	}
	same := slices.Equal(old.owners, current.owners)
	for i, e := range current.shards {
		if same && i < len(old.shards) && old.shards[i] == e {
			continue
		}
		var a Ownership
		if i < len(old.shards) {
			a = old.ownership(old.shards[i])
		}
		emit(index*proto.PageShards+uint32(i), "", a, current.ownership(e))
	}
	for key, e := range current.hot {
		var a Ownership
		if o, ok := old.hot[key]; ok {
			a = old.ownership(o)
		}
		emit(ForKey(key, t.shards), key, a, current.ownership(e))
	}
	for key, e := range old.hot {
		if _, ok := current.hot[key]; !ok {
			emit(ForKey(key, t.shards), key, old.ownership(e), Ownership{})
		}
	}
}

// ownership resolves the owner indexes of an entry.
func (p *page) ownership(e proto.Entry) Ownership {
	o := Ownership{ID: p.owners[e.Owner], Epoch: e.Epoch}
	if e.Next > 0 {
		o.Next = p.owners[e.Next-1]
	}
	return o
}

// Ownership returns the ownership of a shard, or of a hot key if key is not
// empty. It is zero if the entry is unknown.
func (v *View) Ownership(service string, shard uint32, key string) Ownership {
	t, ok := v.tables[service]
	if !ok || shard >= t.shards || t.pages[shard/proto.PageShards] == nil {
		return Ownership{}
	}
	p := t.pages[shard/proto.PageShards]
	if key == "" {
		return p.ownership(p.shards[shard%proto.PageShards])
	}
	if e, ok := p.hot[key]; ok {
		return p.ownership(e)
	}
	return Ownership{}
}
