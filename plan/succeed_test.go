package plan

import (
	"math"
	"reflect"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"burdocklift/proto"
)

// drawPages draws a service of one or two pages with moves in progress, hot keys
// and hosts of different capacity.
func drawPages(t *rapid.T) ([]*proto.Page, []Host) {
	hosts := testHosts(rapid.IntRange(1, 24).Draw(t, "hosts"), 4, 2, 0)
	for i := range hosts {
		hosts[i].Slots = rapid.SampledFrom([]int{0, 9, 12, 12, 12}).Draw(t, "slots")
	}
	pages := Initial("permits", rapid.IntRange(1, 2).Draw(t, "pages"), hosts)
	for _, p := range pages {
		for range rapid.IntRange(0, 20).Draw(t, "moves") {
			next := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "next")].ID
			p.Shards[rapid.IntRange(0, proto.PageShards-1).Draw(t, "shard")].Next = p.OwnerIndex(next) + 1
		}
	}
	for _, key := range rapid.SliceOfNDistinct(rapid.StringN(1, 8, 8), 0, 8, rapid.ID).Draw(t, "hot") {
		p := pages[xxhash.Sum64String(key)%uint64(len(pages)*proto.PageShards)/proto.PageShards]
		owner := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "owner")].ID
		p.Hot = append(p.Hot, proto.HotEntry{Key: key, Entry: proto.Entry{Owner: p.OwnerIndex(owner), Epoch: 7}})
	}
	return pages, hosts
}

func entriesOf(p *proto.Page) []proto.Entry {
	var out []proto.Entry
	p.EachEntry(func(_ uint32, _ string, e *proto.Entry) { out = append(out, *e) })
	return out
}

// assertTakeover checks a takeover: only entries of dead hosts change owner,
// their epoch rises by one, and no entry names a dead host.
func assertTakeover(t rapid.TB, before, after *proto.Page, dead func(proto.HostID) bool) {
	t.Helper()
	old, now := entriesOf(before), entriesOf(after)
	for i := range old {
		from, to := before.Owners[old[i].Owner], after.Owners[now[i].Owner]
		switch {
		case dead(to):
			t.Fatalf("entry %d: owner %v is dead", i, to)
		case dead(from) && now[i].Epoch != old[i].Epoch+1:
			t.Fatalf("entry %d: epoch %d after %d, want one more", i, now[i].Epoch, old[i].Epoch)
		case !dead(from) && (from != to || now[i].Epoch != old[i].Epoch):
			t.Fatalf("entry %d of live host %v changed to %v, epoch %d", i, from, to, now[i].Epoch)
		case now[i].Next > 0 && dead(after.Owners[now[i].Next-1]):
			t.Fatalf("entry %d: next owner is dead", i)
		case !dead(from) && old[i].Next > 0 && !dead(before.Owners[old[i].Next-1]) && now[i].Next == 0:
			t.Fatalf("entry %d: a move between live hosts was dropped", i)
		}
	}
}

// A takeover must leave every entry with a live owner, change only entries of dead
// hosts, raise their epochs, respect the load bound and not depend on the order
// of the hosts.
func TestSuccessors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pages, hosts := drawPages(t)
		gone := map[proto.HostID]bool{}
		for range rapid.IntRange(1, max(1, len(hosts)/2)).Draw(t, "losses") {
			gone[hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "dead")].ID] = true
		}
		dead := func(id proto.HostID) bool { return gone[id] }
		n := countEntries(pages)
		load := func(id proto.HostID) int { return n[id] }
		total, slots, alive := 0, 0, 0
		for _, h := range hosts {
			total += n[h.ID]
			if !gone[h.ID] {
				slots += h.weight()
				alive++
			}
		}
		for i, p := range pages {
			before := p.Clone()
			after := Successors(p, dead, hosts, load)
			if alive == 0 {
				if after != nil {
					t.Fatal("a page changed although no host is live")
				}
				continue
			}
			slices.Reverse(hosts)
			if again := Successors(p, dead, hosts, load); !reflect.DeepEqual(again, after) {
				t.Fatal("the result depends on the order of hosts")
			}
			if after == nil {
				after = p
			}
			assertTakeover(t, before, after, dead)
			old := countEntries(pages)
			pages[i] = after
			n = countEntries(pages)
			for _, h := range hosts {
				bound := int(math.Ceil(takeoverLoadBound * float64(total*h.weight()) / float64(max(slots, 1))))
				if !gone[h.ID] && n[h.ID] > max(bound, old[h.ID]) {
					t.Fatalf("host %v owns %d entries, bound %d", h.ID, n[h.ID], bound)
				}
			}
		}
	})
}
