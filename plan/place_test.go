package plan

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"burdocklift/proto"
	_ "burdocklift/seeds"
)

func testHost(i, dataCentres, regions, slots int) Host {
	dc := i % dataCentres
	return Host{
		ID:    proto.HostID{Name: fmt.Sprintf("h%04d", i), Incarnation: 1},
		Place: proto.Place{DataCentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("r%d", dc*regions/dataCentres)},
		Slots: slots,
	}
}

func testHosts(n, dataCentres, regions, slots int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = testHost(i, dataCentres, regions, slots)
	}
	return out
}

func countEntries(pages []*proto.Page) map[proto.HostID]int {
	n := map[proto.HostID]int{}
	for _, p := range pages {
		p.EachEntry(func(_ uint32, _ string, e *proto.Entry) { n[p.Owners[e.Owner]]++ })
	}
	return n
}

func assertDecodes(t rapid.TB, p *proto.Page) {
	t.Helper()
	b, err := proto.EncodeRecord(p)
	if err == nil {
		_, err = proto.DecodePage(b)
	}
	if err != nil || len(p.Hot) > proto.MaxHot {
		t.Fatalf("page %d with %d hot keys: %v", p.Index, len(p.Hot), err)
	}
}

// Every shard must have an owner, each host a number of shards in proportion to
// its slots, and each page must be decodable.
func TestInitialIsProportional(t *testing.T) {
	for _, c := range []struct{ hosts, pages int }{{1, 1}, {5, 1}, {6, 1}, {7, 2}, {1200, 64}} {
		t.Run(fmt.Sprintf("%d hosts", c.hosts), func(t *testing.T) {
			hosts := testHosts(c.hosts, 6, 3, 12)
			hosts[0].Slots = 24
			pages := Initial("permits", c.pages, hosts)
			n := countEntries(pages)
			for _, h := range hosts {
				want := float64(c.pages*proto.PageShards*h.Slots) / float64(12*(c.hosts+1))
				if got := float64(n[h.ID]); got < want-1 || got > want+1 {
					t.Errorf("host %v owns %v shards, want %v", h.ID, got, want)
				}
			}
			for _, p := range pages {
				assertDecodes(t, p)
				p.EachEntry(func(shard uint32, _ string, e *proto.Entry) {
					if e.Epoch != 1 || e.Next != 0 {
						t.Errorf("shard %d starts as %+v", shard, *e)
					}
				})
			}
		})
	}
	if got := Initial("permits", 1, nil); got != nil {
		t.Errorf("Initial without hosts = %v, want nil", got)
	}
}
