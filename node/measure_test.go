package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdocklift/owner"
	"burdocklift/proto"
	"burdocklift/shard"
)

// Guards against measures that miss or repeat a change. The naive version
// compares the owners of all shards of the records at each step.
func TestMeasures(t *testing.T) {
	const shards, seed = 1024, 7
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	var hosts []proto.HostID
	var members []proto.Member
	for _, name := range []string{"a", "b", "c", "d"} {
		hosts = append(hosts, proto.HostID{Name: name, Incarnation: 1})
		members = append(members, proto.Member{ID: hosts[len(hosts)-1], Service: "permit", Slots: 12})
	}
	page := &proto.Page{Service: "permit", Owners: hosts, Shards: make([]proto.Entry, shards)}
	for i := range page.Shards {
		page.Shards[i].Owner = uint16(i % 4)
	}
	var b shard.Builder
	b.SetSelf(hosts[0])
	b.SetHosts(members)
	b.SetService("permit", shards)
	b.SetPage(page, 1)
	m := newMeasures(nil)
	now := time.Unix(1000, 0)
	m.step(now, b.View(), true)
	churn := 0
	for step := range 50 {
		older := page
		page = page.Clone()
		for range random.IntN(20) {
			page.Shards[random.IntN(shards)].Owner = uint16(random.IntN(4))
		}
		for i, e := range page.Shards {
			if e.Owner != older.Shards[i].Owner {
				churn++
			}
		}
		lost := step%5 == 1
		members[3].State = proto.Active
		if lost {
			members[3].State = proto.Marked
		}
		b.SetHosts(members)
		b.SetPage(page, uint64(step+2))
		now = now.Add(time.Second)
		m.step(now, b.View(), true)
		if got := m.services["permit"].churn; got != churn {
			t.Fatalf("step %d: churn is %d, want %d", step, got, churn)
		}
		owned := 0
		for _, e := range page.Shards {
			if e.Owner == 3 {
				owned++
			}
		}
		if got := m.entries()[hosts[3]]; got != owned {
			t.Fatalf("step %d: d owns %d entries, want %d", step, got, owned)
		}
		if got := m.services["permit"].absent; lost && got != owned || !lost && got != 0 {
			t.Fatalf("step %d: %d entries are unavailable, d owns %d", step, got, owned)
		}
	}
	// A lapsed lease of this host makes its own entries unavailable.
	total := m.services["permit"].total
	m.step(now.Add(time.Second), b.View(), false)
	m.step(now.Add(3*time.Second), b.View(), false)
	own := m.entries()[hosts[0]]
	if got := m.services["permit"].total - total; got != time.Duration(own)*2*time.Second {
		t.Errorf("unavailable time grew by %v for %d entries and 2 s", got, own)
	}
}

// Guards against an event of the control core that has no number.
func TestEvents(t *testing.T) {
	for k := range owner.RecordInvalid + 1 {
		if events[k] == nil {
			t.Errorf("event kind %d has no numbered event", k)
		}
	}
}

// BenchmarkMeasures is a step without changes at 1,200 hosts and 65,536 shards.
func BenchmarkMeasures(b *testing.B) {
	const hosts, shards = 1200, 65536
	var builder shard.Builder
	var members []proto.Member
	for i := range hosts {
		members = append(members, proto.Member{ID: proto.HostID{Name: fmt.Sprint("host", i), Incarnation: 1}, Service: "permit"})
	}
	builder.SetHosts(members)
	builder.SetService("permit", shards)
	for n := range shard.Pages(shards) {
		page := &proto.Page{Service: "permit", Index: uint32(n), Shards: make([]proto.Entry, proto.PageShards)}
		for i := range page.Shards {
			page.Shards[i].Owner = page.OwnerIndex(members[(n*proto.PageShards+i)/55%hosts].ID)
		}
		builder.SetPage(page, 1)
	}
	m, now := newMeasures(nil), time.Unix(1000, 0)
	view := builder.View()
	m.step(now, view, true)
	for b.Loop() {
		now = now.Add(measureInterval)
		m.step(now, view, true)
	}
}
