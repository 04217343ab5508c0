package plan

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"burdocklift/proto"
)

// takeoverLoadBound limits the entries of a successor to this multiple of its
// share by slots. With 1.06 the entries of a single host lost out of 1,200 just
// fit on the other owners of the page. With 1.1 some of these exceeded the
// planner's overload limit, and the planner then moved a quarter as many shards
// again as the loss did.
const takeoverLoadBound = 1.06

// Successors returns a copy of the page in which every entry of a dead host has a
// live owner, with the epoch raised by one, and no entry names a dead host as
// its next owner. A planned move of a reassigned entry is dropped. It returns
// nil if nothing changes or there is no live host.
//
// The owner is chosen by rendezvous hashing weighted by slots, first among live
// hosts that already own entries of the page, then among all live hosts. load
// returns the number of entries that a host owns over all pages of the service;
// a host takes over entries only while it is below takeoverLoadBound times its
// share.
func Successors(p *proto.Page, dead func(proto.HostID) bool, live []Host, load func(proto.HostID) int) *proto.Page {
	deadOwner := make([]bool, len(p.Owners))
	for i, id := range p.Owners {
		deadOwner[i] = dead(id)
	}
	lost := make([]int, len(p.Owners))
	changed, reassigned := false, 0
	p.EachEntry(func(_ uint32, _ string, e *proto.Entry) {
		if deadOwner[e.Owner] {
			lost[e.Owner]++
			reassigned++
			changed = true
		}
		changed = changed || e.Next > 0 && deadOwner[e.Next-1]
	})
	if !changed {
		return nil
	}
	cs := newCandidates(live, dead, load)
	if len(cs) == 0 {
		return nil
	}
	total, slots := 0, 0
	for _, c := range cs {
		total += c.load
		slots += c.weight
	}
	for i, n := range lost {
		if n > 0 {
			total += max(n, load(p.Owners[i]))
		}
	}
	for _, c := range cs {
		c.bound = int(math.Ceil(takeoverLoadBound * float64(total) * float64(c.weight) / float64(slots)))
	}

	out := p.Clone()
	local := localCandidates(p, cs, reassigned)
	out.EachEntry(func(shard uint32, key string, e *proto.Entry) {
		if e.Next > 0 && deadOwner[e.Next-1] {
			e.Next = 0
		}
		if !deadOwner[e.Owner] {
			return
		}
		c := highestRanked(local, shard, key, true)
		if c == nil {
			c = highestRanked(cs, shard, key, false)
		}
		c.load++
		c.assigned++
		*e = proto.Entry{Owner: out.OwnerIndex(c.host.ID), Epoch: e.Epoch + 1}
	})
	out.Compact()
	return out
}

type candidate struct {
	hash     uint64
	weight   int
	load     int
	bound    int
	assigned int // entries of this page that it takes over
	quota    int // limit on assigned in the choice among the owners of the page
	host     Host
}

func newCandidates(live []Host, dead func(proto.HostID) bool, load func(proto.HostID) int) []*candidate {
	all := make([]candidate, 0, len(live)) // contiguous, as the takeover of a whole page scans them 1,024 times
	cs := make([]*candidate, 0, len(live))
	for _, h := range live {
		if !dead(h.ID) {
			// The incarnation is not hashed, so that a restarted host keeps its rank.
			all = append(all, candidate{host: h, weight: h.weight(), hash: xxhash.Sum64String(h.ID.Name), load: load(h.ID)})
			cs = append(cs, &all[len(all)-1])
		}
	}
	slices.SortFunc(cs, func(a, b *candidate) int { return compareHosts(a.host, b.host) })
	return cs
}

// localCandidates returns the candidates that own entries of the page, with a
// quota in proportion to their slots. A host that owns hot keys has few but heavy
// entries, and without the quota would take over most of the lost ones.
func localCandidates(p *proto.Page, cs []*candidate, lost int) []*candidate {
	owns := make(map[proto.HostID]bool, len(p.Owners))
	p.EachEntry(func(_ uint32, _ string, e *proto.Entry) { owns[p.Owners[e.Owner]] = true })
	var local []*candidate
	slots := 0
	for _, c := range cs {
		if owns[c.host.ID] {
			local = append(local, c)
			slots += c.weight
		}
	}
	for _, c := range local {
		c.quota = int(math.Ceil(takeoverLoadBound * float64(lost) * float64(c.weight) / float64(slots)))
	}
	return local
}

// highestRanked returns the first candidate in rendezvous order for an entry that
// is below its bound and, if local, below its quota; or nil. The bounds add up to
// at least the total load, so there is always one among all live hosts.
func highestRanked(cs []*candidate, shard uint32, key string, local bool) *candidate {
	entry := splitMix64(uint64(shard) + 1)
	if key != "" {
		entry = xxhash.Sum64String(key)
	}
	var best *candidate
	var bestHash uint64
	for _, c := range cs {
		if c.load >= c.bound || local && c.assigned >= c.quota {
			continue
		}
		hash := splitMix64(c.hash ^ entry)
		if best == nil || ranksBefore(hash, c.weight, bestHash, best.weight) {
			best, bestHash = c, hash
		}
	}
	return best
}

// ranksBefore compares the weighted rendezvous scores -weight/ln(u) of two hashes,
// each mapped to a uniform number u. Equal weights are compared without the
// logarithm, which would take most of the time of the takeover of a whole page.
func ranksBefore(a uint64, weightA int, b uint64, weightB int) bool {
	if weightA == weightB {
		return a > b
	}
	return math.Log(unitInterval(a))*float64(weightB) > math.Log(unitInterval(b))*float64(weightA)
}

// unitInterval maps a hash to a number in the open interval (0, 1).
func unitInterval(hash uint64) float64 { return (float64(hash>>12) + 0.5) / (1 << 52) }

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
