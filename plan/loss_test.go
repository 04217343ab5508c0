package plan

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"burdocklift/proto"
)

// statelessPlacements are placements for comparison that compute the owner of each
// shard from the list of hosts alone.
var statelessPlacements = map[string]func(shards int, hosts []Host) []proto.HostID{
	"modulo hash":      modulo,
	"ring, 1 point":    func(n int, hosts []Host) []proto.HostID { return ring(n, hosts, 1) },
	"ring, 100 points": func(n int, hosts []Host) []proto.HostID { return ring(n, hosts, 100) },
}

func modulo(shards int, hosts []Host) []proto.HostID {
	out := make([]proto.HostID, shards)
	for i := range out {
		out[i] = hosts[splitMix64(uint64(i)+1)%uint64(len(hosts))].ID
	}
	return out
}

func ring(shards int, hosts []Host, points int) []proto.HostID {
	owners, hashes := map[uint64]proto.HostID{}, []uint64{}
	for _, h := range hosts {
		for i := range points {
			hash := xxhash.Sum64String(fmt.Sprint(h.ID.Name, "#", i))
			owners[hash], hashes = h.ID, append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	out := make([]proto.HostID, shards)
	for i := range out {
		at, _ := slices.BinarySearch(hashes, splitMix64(uint64(i)+1))
		out[i] = owners[hashes[at%len(hashes)]]
	}
	return out
}

// loseHosts removes hosts, lets the others take over their entries and returns the
// number of pages written.
func (f *fleetSim) loseHosts(gone func(proto.HostID) bool) int {
	f.hosts = slices.DeleteFunc(f.hosts, func(h HostLoad) bool { return gone(h.ID) })
	var live []Host
	for _, h := range f.hosts {
		live = append(live, h.Host)
	}
	written := 0
	for i, p := range f.pages {
		n := countEntries(f.pages)
		if next := Successors(p, gone, live, func(id proto.HostID) int { return n[id] }); next != nil {
			f.pages[i] = next
			written++
		}
	}
	return written
}

// The loss of a host must move only the entries of that host, and the planner's
// steps after it must add little churn. The log shows the churn of stateless
// placements for comparison.
func TestSingleLossChurn(t *testing.T) {
	for _, s := range workloads {
		t.Run(s.name, func(t *testing.T) {
			f := newFleet(s)
			f.runSteps(12)
			before, all, owned := f.pages, f.hosts, countEntries(f.pages)
			var lost proto.HostID
			total, lower := 0, 0
			for victim := range 5 {
				f.pages, f.hosts, lost = slices.Clone(before), slices.Clone(all), all[(2*victim+1)*s.hosts/10].ID
				f.loseHosts(func(id proto.HostID) bool { return id == lost })
				if shards, keys := Churn(before, f.pages); shards+keys != owned[lost] {
					t.Errorf("the takeover moved %d entries, want the %d lost ones", shards+keys, owned[lost])
				}
				peak, moved, other := f.imbalance(), 0, 0
				after := countEntries(f.pages)
				for _, m := range f.runSteps(12) {
					switch {
					case m.From == m.To:
					case after[m.From] > owned[m.From]:
						moved++
					default: // off a host that took over no entry
						other++
					}
				}
				total += moved
				lower += owned[lost]
				t.Logf("%s: %d entries lost; the planner then moved %d off their new owners and %d others in 2 min; imbalance %.3f after the loss, %.3f at the end",
					s.name, owned[lost], moved, other, peak, f.imbalance())
			}
			t.Logf("%s: churn %.3f of the lower bound over 5 losses", s.name, ratio(lower+total, lower))
			if float64(total) > 0.1*float64(lower) {
				t.Errorf("the planner moved %d entries after the loss of %d", total, lower)
			}
			hosts := testHosts(s.hosts, s.dataCentres, s.regions, 12)
			rest := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.ID == lost })
			for name, place := range statelessPlacements {
				old, now := place(s.pages*proto.PageShards, hosts), place(s.pages*proto.PageShards, rest)
				moved, forced, n, most := 0, 0, map[proto.HostID]int{}, 0
				for i := range old {
					if n[now[i]]++; old[i] != now[i] {
						moved++
					}
					if old[i] == lost {
						forced++
					}
					most = max(most, n[now[i]])
				}
				t.Logf("%s, %s: churn %.3f of the lower bound (%d of %d shards); shards max/mean %.3f after the loss",
					s.name, name, ratio(moved, max(forced, 1)), moved, forced, ratio(most*len(rest), len(old)))
			}
		})
	}
}

// assertDataCentreLoss checks how many pages the loss of a data centre affects
// after the initial placement, and logs the number after changes of the hot keys.
func (f *fleetSim) assertDataCentreLoss(t *testing.T) {
	t.Helper()
	places := map[proto.HostID]string{}
	for _, h := range f.hosts {
		places[h.ID] = h.Place.DataCentre
	}
	gone := func(id proto.HostID) bool { return places[id] == "dc1" }
	placed := Initial(f.name, f.workload.pages, testHosts(f.workload.hosts, f.dataCentres, f.regions, 12))
	initial, shifted := len(AffectedPages(placed, gone)), f.loseHosts(gone)
	peak := f.imbalance()
	f.runSteps(12)
	t.Logf("%s: loss of a data centre affects %d of %d pages after the initial placement, %d after the changes of the hot keys; imbalance %.3f after the loss, %.3f after 2 min",
		f.name, initial, len(placed), shifted, peak, f.imbalance())
	if initial > f.maxAffected || f.imbalance() > 1.15 {
		t.Errorf("%d pages affected, limit %d; imbalance %.3f after 2 min", initial, f.maxAffected, f.imbalance())
	}
}

// BenchmarkSuccessors measures the CPU time of the takeover of a data centre at
// 1,200 hosts.
func BenchmarkSuccessors(b *testing.B) {
	f := newFleet(large)
	var live []Host
	lost := map[proto.HostID]bool{}
	for _, h := range f.hosts {
		if lost[h.ID] = h.Place.DataCentre == "dc1"; !lost[h.ID] {
			live = append(live, h.Host)
		}
	}
	n := countEntries(f.pages)
	for b.Loop() {
		for _, p := range f.pages {
			Successors(p, func(id proto.HostID) bool { return lost[id] }, live, func(id proto.HostID) int { return n[id] })
		}
	}
}
