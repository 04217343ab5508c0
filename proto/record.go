package proto

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Store keys. All records of the system have the prefix Prefix.
const (
	Prefix       = "burdocklift/"
	KeyInventory = Prefix + "conf/inventory"
	KeyRules     = Prefix + "conf/rules"
	KeyPlanner   = Prefix + "planner"
	groupPrefix  = Prefix + "group/"
	pagePrefix   = Prefix + "page/"
)

const (
	// GroupsPerDataCentre is the number of groups that the hosts of a data
	// centre are divided into. It limits the writes that mark the hosts of a
	// lost data centre; at 200 hosts a group has 12 or 13 members.
	GroupsPerDataCentre = 16
	// PageShards is the number of consecutive shards in one page record.
	PageShards = 1024
	// MaxHot is the maximum number of hot keys in one page record.
	MaxHot = 64
)

// Stamp identifies the write that produced a record, so that a writer whose
// reply was lost can read the record to determine whether its write took
// effect.
type Stamp struct {
	Writer HostID `cbor:"1,keyasint" json:"writer"`
	Seq    uint64 `cbor:"2,keyasint" json:"seq"`
}

// State is the state of a member in its group record.
type State uint8

// Member states. Marked is the terminal state of an incarnation.
const (
	Active State = iota
	Leaving
	Marked
)

func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Leaving:
		return "leaving"
	case Marked:
		return "marked"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Member is the entry of a node in its group record.
type Member struct {
	ID           HostID    `cbor:"1,keyasint" json:"id"`
	Place        Place     `cbor:"2,keyasint" json:"place"`
	Addresses    Addresses `cbor:"3,keyasint" json:"addresses"`
	Service      string    `cbor:"4,keyasint" json:"service"`
	Slots        int       `cbor:"5,keyasint" json:"slots"`
	Connections  int       `cbor:"6,keyasint" json:"connections"`
	ChecksGrants bool      `cbor:"7,keyasint" json:"checks_grants"`
	Witnesses    []HostID  `cbor:"8,keyasint" json:"witnesses"`
	State        State     `cbor:"9,keyasint" json:"state"`
	// TargetDown reports that the node runs but its target does not serve.
	TargetDown bool `cbor:"10,keyasint,omitempty" json:"target_down,omitempty"`
}

// Group is the record of a group of hosts of one data centre. A restarted host
// may be listed twice, with its marked old incarnation and its new one.
type Group struct {
	Stamp   Stamp    `cbor:"1,keyasint" json:"stamp"`
	Members []Member `cbor:"2,keyasint" json:"members"`
	// Floor is the highest incarnation of a removed member. A new member uses
	// a higher one, so that no incarnation is reused after a removal.
	Floor uint64 `cbor:"3,keyasint,omitempty" json:"floor,omitempty"`
}

// Member returns the member with the given identifier.
func (g *Group) Member(id HostID) (*Member, bool) {
	for i := range g.Members {
		if g.Members[i].ID == id {
			return &g.Members[i], true
		}
	}
	return nil, false
}

// Clone returns a copy that shares no memory with the original.
func (g *Group) Clone() *Group {
	c := &Group{Stamp: g.Stamp, Members: slices.Clone(g.Members), Floor: g.Floor}
	for i := range c.Members {
		c.Members[i].Witnesses = slices.Clone(c.Members[i].Witnesses)
	}
	return c
}

// Entry is the ownership of one shard or hot key. Owner and Next are indexes in
// Page.Owners; Next is one more than the index, and zero if no move is planned.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Owner uint16
	Next  uint16
	Epoch uint64
}

// HotEntry is the ownership of a single hot key.
type HotEntry struct {
	Key   string `cbor:"1,keyasint" json:"key"`
	Entry Entry  `cbor:"2,keyasint" json:"entry"`
}

// Page is the record of PageShards consecutive shards of a service.
type Page struct {
	Stamp   Stamp      `cbor:"1,keyasint" json:"stamp"`
	Service string     `cbor:"2,keyasint" json:"service"`
	Index   uint32     `cbor:"3,keyasint" json:"index"`
	Owners  []HostID   `cbor:"4,keyasint" json:"owners"`
	Shards  []Entry    `cbor:"5,keyasint" json:"shards"`
	Hot     []HotEntry `cbor:"6,keyasint,omitempty" json:"hot,omitempty"`
}

// Clone returns a copy that shares no memory with the original.
func (p *Page) Clone() *Page {
	c := *p
	c.Owners = slices.Clone(p.Owners)
	c.Shards = slices.Clone(p.Shards)
	c.Hot = slices.Clone(p.Hot)
	return &c
}

// OwnerIndex returns the index of a host in Owners; it appends the host if
// needed.
func (p *Page) OwnerIndex(id HostID) uint16 {
	if i := slices.Index(p.Owners, id); i >= 0 {
		return uint16(i)
	}
	p.Owners = append(p.Owners, id)
	return uint16(len(p.Owners) - 1)
}

// EachEntry calls fn for the entry of every shard and hot key. For a shard the
// key is empty; for a hot key the shard is zero.
func (p *Page) EachEntry(fn func(shard uint32, key string, e *Entry)) {
	for i := range p.Shards {
		fn(p.Index*PageShards+uint32(i), "", &p.Shards[i])
	}
	for i := range p.Hot {
		fn(0, p.Hot[i].Key, &p.Hot[i].Entry)
	}
}

// Owns reports whether a host is the owner or next owner of an entry of the
// page.
func (p *Page) Owns(id HostID) bool {
	i := slices.Index(p.Owners, id)
	if i < 0 {
		return false
	}
	found := false
	p.EachEntry(func(_ uint32, _ string, e *Entry) {
		found = found || int(e.Owner) == i || int(e.Next) == i+1
	})
	return found
}

// Compact removes the hosts that no entry refers to from Owners.
func (p *Page) Compact() {
	used := make([]bool, len(p.Owners))
	p.EachEntry(func(_ uint32, _ string, e *Entry) {
		used[e.Owner] = true
		if e.Next > 0 {
			used[e.Next-1] = true
		}
	})
	index := make([]uint16, len(p.Owners))
	kept := p.Owners[:0:0]
	for i, u := range used {
		if u {
			index[i] = uint16(len(kept))
			kept = append(kept, p.Owners[i])
		}
	}
	p.Owners = kept
	p.EachEntry(func(_ uint32, _ string, e *Entry) {
		e.Owner = index[e.Owner]
		if e.Next > 0 {
			e.Next = index[e.Next-1] + 1
		}
	})
}

// GroupKey returns the store key of the group of a host.
func GroupKey(dataCentre, host string) string {
	return fmt.Sprintf("%s%s/%d", groupPrefix, dataCentre, xxhash.Sum64String(host)%GroupsPerDataCentre)
}

// PageKey returns the store key of a page.
func PageKey(service string, index uint32) string {
	return fmt.Sprintf("%s%s/%d", pagePrefix, service, index)
}

// IsGroupKey reports whether a store key is that of a group record.
func IsGroupKey(key string) bool { return strings.HasPrefix(key, groupPrefix) }

// IsPageKey reports whether a store key is that of a page record.
func IsPageKey(key string) bool { return strings.HasPrefix(key, pagePrefix) }
