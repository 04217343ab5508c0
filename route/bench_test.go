package route

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/conf"
	"burdocklift/lease"
	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/shard"
)

// staticControl is a fixed control state of a given size, without control
// traffic.
type staticControl struct {
	view *shard.View
	gate *lease.Gate
}

func (f *staticControl) View() *shard.View { return f.view }
func (f *staticControl) Gate() *lease.Gate { return f.gate }

func rulesWithShards(tb testing.TB, shards int) *conf.Rules {
	tb.Helper()
	rules, err := conf.ParseRules("rules", fmt.Appendf(nil, `version = 1
[[service]]
name = "permit"
keyed = true
shards = %d
key = { from = "path", segment = 3 }
[[service.class]]
name = "lookup"
methods = ["GET"]
once = false
[[service.class]]
name = "fee"
methods = ["POST"]
prefix = "/fee"
once = true
`, shards))
	if err != nil {
		tb.Fatal(err)
	}
	return rules
}

// newStaticControl assigns all shards to the given number of hosts; the first
// is local.
func newStaticControl(hosts, shards int) *staticControl {
	now := time.Now()
	f := &staticControl{gate: lease.NewGate(now)}
	f.gate.SetEnd(now.Add(time.Hour))
	var b shard.Builder
	var members []proto.Member
	var placed []plan.Host
	for i := range hosts {
		place := proto.Place{DataCentre: fmt.Sprintf("dc%d", i%6), Region: fmt.Sprintf("r%d", i%3)}
		id := proto.HostID{Name: fmt.Sprintf("host%04d", i), Incarnation: 1}
		members = append(members, proto.Member{ID: id, Place: place, Service: "permit", Slots: 12})
		placed = append(placed, plan.Host{ID: id, Place: place, Slots: 12})
	}
	b.SetSelf(members[0].ID)
	b.SetHosts(members)
	b.SetService("permit", uint32(shards))
	for _, p := range plan.Initial("permit", shard.PageCount(uint32(shards)), placed) {
		b.SetPage(p, 1)
	}
	f.view = b.View()
	return f
}

// BenchmarkDecision measures the routing decision, which is on the path of
// every request. Its limit is 1 µs and no allocation at 1,200 hosts and 65,536
// shards.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ hosts, shards int }{{5, 1024}, {120, 8192}, {1200, 65536}} {
		b.Run(fmt.Sprintf("hosts=%d/shards=%d", size.hosts, size.shards), func(b *testing.B) {
			f := newStaticControl(size.hosts, size.shards)
			rules := rulesWithShards(b, size.shards)
			paths := make([]string, 4096)
			for i := range paths {
				paths[i] = fmt.Sprintf("/permit/fee/key%d", i*7919)
			}
			now := time.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				path := paths[i%len(paths)]
				service, _, ok := rules.Match(http.MethodPost, path)
				if !ok {
					b.Fatal("no match")
				}
				key, _ := service.Key(path, nil, "")
				if d, ok := f.view.Route(service.Name, key); !ok || d.Owner == nil || !f.gate.Valid(now) {
					b.Fatal("no owner")
				}
			}
		})
	}
}

// BenchmarkPath compares a direct call to a target with the same call through
// the owner's node and through another node, in one run.
func BenchmarkPath(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer target.Close()
	f := newStaticControl(1, 1024)
	owner := New(f, clockwork.NewRealClock(), proto.Place{})
	owner.SetRules(rulesWithShards(b, 1024))
	owner.SetTarget("permit", strings.TrimPrefix(target.URL, "http://"), 12, 110)
	caller := httptest.NewServer(http.HandlerFunc(owner.ServeCaller))
	defer caller.Close()
	peer := httptest.NewServer(http.HandlerFunc(owner.ServePeer))
	defer peer.Close()
	ingress := New(newRemoteControl(strings.TrimPrefix(peer.URL, "http://")), clockwork.NewRealClock(), proto.Place{})
	ingress.SetRules(rulesWithShards(b, 1024))
	other := httptest.NewServer(http.HandlerFunc(ingress.ServeCaller))
	defer other.Close()
	for _, c := range []struct{ name, url string }{
		{"direct", target.URL}, {"owner", caller.URL}, {"forwarded", other.URL},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := newClient(0)
			var took []time.Duration
			for b.Loop() {
				began := time.Now()
				resp, _, err := exchange(b.Context(), client, http.MethodGet, c.url+"/permit/p/k1", http.Header{}, nil, 1<<20, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(err, resp)
				}
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2]), "p50-ns")
		})
	}
}

// newRemoteControl has one remote host that owns all shards.
func newRemoteControl(peer string) *staticControl {
	f := newStaticControl(1, 1024)
	h, _ := f.view.Host(f.view.Self())
	h.Member.Addresses.Peer = peer
	var b shard.Builder
	b.SetSelf(proto.HostID{Name: "ingress", Incarnation: 1})
	b.SetHosts([]proto.Member{h.Member})
	b.SetService("permit", 1024)
	for _, p := range plan.Initial("permit", 1, []plan.Host{{ID: h.Member.ID, Slots: 12}}) {
		b.SetPage(p, 1)
	}
	f.view = b.View()
	return f
}
