// Package shard maps keys to shards and shards to owners. A View is an
// immutable snapshot that request goroutines read without locks.
package shard

import (
	"github.com/cespare/xxhash/v2"

	"burdocklift/proto"
)

// ForKey returns the shard of a key. The number of shards must be a power of
// two.
func ForKey(key string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(key)) & (shards - 1)
}

// Host is a node and its target, as known to request routing.
type Host struct {
	Member proto.Member
}

// Serving reports whether new work may be sent to the host's target.
func (h *Host) Serving() bool {
	return h.Member.State == proto.Active && !h.Member.TargetDown
}

// page is the immutable in-memory form of a page record.
type page struct {
	index  uint64 // store index of the record
	owners []proto.HostID
	shards []proto.Entry
	hot    map[string]proto.Entry
}

// Table holds the pages of one keyed service.
type Table struct {
	service string
	shards  uint32
	pages   []*page
}

// Shards returns the number of shards of the service.
func (t *Table) Shards() uint32 { return t.shards }

// Complete reports whether every page is loaded.
func (t *Table) Complete() bool {
	for _, p := range t.pages {
		if p == nil {
			return false
		}
	}
	return true
}

// Decision is the result of routing a key. Owner is nil if the key has no known
// owner.
type Decision struct {
	Owner   *Host
	OwnerID proto.HostID
	Shard   uint32
	Epoch   uint64
	Local   bool
	Hot     bool
	Moving  bool // the owner is handing the entry over to another host
}

// View is an immutable snapshot of hosts and ownership.
type View struct {
	self   proto.HostID
	hosts  map[proto.HostID]*Host
	tables map[string]*Table
}

// Self returns the local host.
func (v *View) Self() proto.HostID { return v.self }

// Host returns a host by its identifier.
func (v *View) Host(id proto.HostID) (*Host, bool) {
	h, ok := v.hosts[id]
	return h, ok
}

// Hosts returns the known hosts. The caller must not modify the map.
func (v *View) Hosts() map[proto.HostID]*Host { return v.hosts }

// Table returns the table of a keyed service.
func (v *View) Table(service string) (*Table, bool) {
	t, ok := v.tables[service]
	return t, ok
}

// Route finds the owner of a key of a keyed service. It reports false if the
// service is unknown.
func (v *View) Route(service, key string) (Decision, bool) {
	t, ok := v.tables[service]
	if !ok {
		return Decision{}, false
	}
	d := Decision{Shard: ForKey(key, t.shards)}
	p := t.pages[d.Shard/proto.PageShards]
	if p == nil {
		return d, true
	}
	e := p.shards[d.Shard%proto.PageShards]
	if len(p.hot) > 0 {
		if h, ok := p.hot[key]; ok {
			e, d.Hot = h, true
		}
	}
	v.resolve(&d, p, e)
	return d, true
}

// Entry returns the ownership of a shard, or of a hot key if key is not empty.
func (v *View) Entry(service string, shard uint32, key string) (Decision, bool) {
	t, ok := v.tables[service]
	if !ok || shard >= t.shards || t.pages[shard/proto.PageShards] == nil {
		return Decision{}, false
	}
	p := t.pages[shard/proto.PageShards]
	d := Decision{Shard: shard}
	e := p.shards[shard%proto.PageShards]
	if key != "" {
		h, ok := p.hot[key]
		if !ok {
			return Decision{}, false
		}
		e, d.Hot = h, true
	}
	v.resolve(&d, p, e)
	return d, true
}

// resolve fills in the owner of an entry.
func (v *View) resolve(d *Decision, p *page, e proto.Entry) {
	d.OwnerID = p.owners[e.Owner]
	d.Owner = v.hosts[d.OwnerID]
	d.Epoch = e.Epoch
	d.Moving = e.Next > 0
	d.Local = d.OwnerID == v.self
}
