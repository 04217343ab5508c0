package shard

import (
	"maps"
	"slices"

	"burdocklift/proto"
)

// Builder creates views from an earlier one. Parts that did not change are
// shared between views. The zero value starts with an empty view.
type Builder struct {
	view View
}

// View returns the current snapshot, which later changes do not affect.
func (b *Builder) View() *View {
	v := b.view
	v.hosts = maps.Clone(b.view.hosts)
	v.tables = maps.Clone(b.view.tables)
	return &v
}

// SetSelf sets the local host.
func (b *Builder) SetSelf(id proto.HostID) { b.view.self = id }

// SetHosts replaces the known hosts.
func (b *Builder) SetHosts(members []proto.Member) {
	hosts := make(map[proto.HostID]*Host, len(members))
	for _, m := range members {
		hosts[m.ID] = &Host{Member: m}
	}
	b.view.hosts = hosts
}

// SetService adds a keyed service with its number of shards, which must be a
// power of two. A service that exists is not changed.
func (b *Builder) SetService(service string, shards uint32) {
	if _, ok := b.view.tables[service]; ok {
		return
	}
	tables := maps.Clone(b.view.tables)
	if tables == nil {
		tables = make(map[string]*Table)
	}
	tables[service] = &Table{
		service: service,
		shards:  shards,
		pages:   make([]*page, PageCount(shards)),
	}
	b.view.tables = tables
}

// PageCount returns the number of pages of a service with the given number of
// shards.
func PageCount(shards uint32) int {
	return int((shards + proto.PageShards - 1) / proto.PageShards)
}

// SetPage replaces a page of a service if the given store index is newer and
// reports whether it did.
func (b *Builder) SetPage(r *proto.Page, index uint64) bool {
	t, ok := b.view.tables[r.Service]
	if !ok || int(r.Index) >= len(t.pages) {
		return false
	}
	old := t.pages[r.Index]
	if old != nil && old.index >= index {
		return false
	}
	p := &page{index: index, owners: slices.Clone(r.Owners), shards: slices.Clone(r.Shards)}
	if len(r.Hot) > 0 {
		p.hot = make(map[string]proto.Entry, len(r.Hot))
		for _, h := range r.Hot {
			p.hot[h.Key] = h.Entry
		}
	}
	next := &Table{service: t.service, shards: t.shards, pages: slices.Clone(t.pages)}
	next.pages[r.Index] = p
	b.view.tables = maps.Clone(b.view.tables)
	b.view.tables[r.Service] = next
	return true
}
