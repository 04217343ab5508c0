// Package plan decides which host owns which shard and hot key: initial
// placement, takeover from lost hosts, load balancing and isolation of hot keys.
// All functions are deterministic, do no I/O and start no goroutine.
package plan

import (
	"cmp"
	"slices"

	"burdocklift/proto"
)

// Host is a host that can own shards of a service.
type Host struct {
	ID    proto.HostID
	Place proto.Place
	// Slots is the capacity of the host's target. A host that announces none counts
	// as one slot.
	Slots int
}

func (h Host) weight() int { return max(h.Slots, 1) }

func compareHosts(a, b Host) int {
	return cmp.Or(
		cmp.Compare(a.Place.Region, b.Place.Region),
		cmp.Compare(a.Place.DataCentre, b.Place.DataCentre),
		cmp.Compare(a.ID.Name, b.ID.Name),
		cmp.Compare(a.ID.Incarnation, b.ID.Incarnation),
	)
}

// Initial places the shards of a new service. Each host gets one contiguous
// range in proportion to its slots, in order of region, data centre and name, so
// that a page has few owners and the loss of a data centre affects few pages. It
// returns nil if there is no host.
func Initial(service string, pages int, hosts []Host) []*proto.Page {
	if len(hosts) == 0 || pages <= 0 {
		return nil
	}
	hosts = slices.SortedFunc(slices.Values(hosts), compareHosts)
	total := 0
	for _, h := range hosts {
		total += h.weight()
	}
	shards := pages * proto.PageShards
	out := make([]*proto.Page, pages)
	host, sum := 0, hosts[0].weight()
	for i := range out {
		p := &proto.Page{Service: service, Index: uint32(i), Shards: make([]proto.Entry, proto.PageShards)}
		for j := range p.Shards {
			// The range of a host ends at shards*sum/total, rounded down, where sum
			// includes its slots. Ranges so defined neither overlap nor leave a gap.
			for i*proto.PageShards+j >= shards*sum/total {
				host++
				sum += hosts[host].weight()
			}
			p.Shards[j] = proto.Entry{Owner: p.OwnerIndex(hosts[host].ID), Epoch: 1}
		}
		out[i] = p
	}
	return out
}
