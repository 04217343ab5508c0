package plan

import "burdocklift/proto"

// Imbalance returns the highest measured load per slot of a serving host divided
// by the mean load per slot. It is 1 if there is no load.
func Imbalance(hosts []HostLoad) float64 {
	rate, slots, most := 0.0, 0, 0.0
	for _, h := range hosts {
		if h.State != Serving || h.Stale {
			continue
		}
		rate += h.Rate
		slots += h.weight()
		most = max(most, h.Rate/float64(h.weight()))
	}
	if rate <= 0 {
		return 1
	}
	return most * float64(slots) / rate
}

// Churn returns the number of shards and of isolated keys whose owner differs
// between before and after. A key that was isolated or merged in between is not
// counted.
func Churn(before, after []*proto.Page) (shards, keys int) {
	owners := make(map[entryID]proto.HostID)
	for _, p := range before {
		eachOwner(p, func(id entryID, owner proto.HostID) { owners[id] = owner })
	}
	for _, p := range after {
		eachOwner(p, func(id entryID, owner proto.HostID) {
			switch old, ok := owners[id]; {
			case !ok || old == owner:
			case id.key != "":
				keys++
			default:
				shards++
			}
		})
	}
	return shards, keys
}

// AffectedPages returns the pages in which one of the hosts owns an entry or is
// the next owner of one. The loss of the hosts costs one write for each of them.
func AffectedPages(pages []*proto.Page, hosts func(proto.HostID) bool) []*proto.Page {
	var out []*proto.Page
	for _, p := range pages {
		touched := false
		p.EachEntry(func(_ uint32, _ string, e *proto.Entry) {
			touched = touched || hosts(p.Owners[e.Owner]) || e.Next > 0 && hosts(p.Owners[e.Next-1])
		})
		if touched {
			out = append(out, p)
		}
	}
	return out
}

func eachOwner(p *proto.Page, fn func(entryID, proto.HostID)) {
	p.EachEntry(func(shard uint32, key string, e *proto.Entry) {
		fn(entryID{shard: shard, key: key}, p.Owners[e.Owner])
	})
}
