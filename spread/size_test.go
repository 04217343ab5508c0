package spread

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/store"
)

// fleetRecords returns the group and page records of a fleet over six data centres.
func fleetRecords(t testing.TB, hosts int) (f *fleetSim) {
	f = &fleetSim{t: t, rng: rand.New(rand.NewPCG(1, 0)), now: startTime, records: make(map[string][]store.Record)}
	groups := make(map[string]*proto.Group)
	var placed []plan.Host
	for i := range hosts {
		m := proto.Member{
			ID:    proto.HostID{Name: fmt.Sprintf("h%04d", i), Incarnation: 1_700_000_000_000},
			Place: proto.Place{DataCentre: fmt.Sprintf("dc%d", i%6), Region: fmt.Sprintf("r%d", i%6/2)}, Service: "permit", Slots: 12,
			Addresses: proto.Addresses{Caller: "10.0.0.1:80", Peer: "10.0.0.1:81", Control: "10.0.0.1:82", Operator: "10.0.0.1:83"},
		}
		for _, w := range []int{i + 6, i + 1 - 2*(i%2), i + 2} {
			m.Witnesses = append(m.Witnesses, proto.HostID{Name: fmt.Sprintf("h%04d", w%hosts), Incarnation: 1_700_000_000_000})
		}
		key := proto.GroupKey(m.Place.DataCentre, m.ID.Name)
		if groups[key] == nil {
			groups[key] = &proto.Group{}
		}
		groups[key].Members = append(groups[key].Members, m)
		placed = append(placed, plan.Host{ID: m.ID, Place: m.Place, Slots: 12})
	}
	for key, g := range groups {
		f.write(key, encode(t, g))
	}
	for _, p := range plan.Initial("permit", 64, placed) {
		f.write(proto.PageKey(p.Service, p.Index), encode(t, p))
	}
	return f
}

// countingEffects counts the messages that an engine sends and ignores its
// other actions.
type countingEffects struct{ sent, bytes int }

func (q *countingEffects) Send(to proto.HostID, m proto.Message) {
	if b, err := proto.Encode(to, to, m); err == nil {
		q.sent, q.bytes = q.sent+1, q.bytes+len(b)
	}
}
func (*countingEffects) Watch(string, uint64) {}
func (*countingEffects) Unwatch(string)       {}
func (*countingEffects) List()                {}
func (*countingEffects) Get(string)           {}
func (*countingEffects) Apply(store.Record)   {}
func (*countingEffects) Configured(Documents) {}

// BenchmarkSize measures the slopes in docs/CAPACITY.md for one engine over the
// number of hosts, with 64 pages at each size.
func BenchmarkSize(b *testing.B) {
	x, y := make(map[string][]float64), make(map[string][]float64)
	add := func(name string, hosts int, v float64) {
		x[name], y[name] = append(x[name], float64(hosts)), append(y[name], v)
	}
	live := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, hosts := range []int{75, 300, 1200} {
		for range 3 {
			f := fleetRecords(b, hosts)
			q := &countingEffects{}
			records := f.list()
			size := 0
			for _, r := range records {
				size += len(r.Value)
			}
			before := live()
			e := New(Config{Place: proto.Place{DataCentre: "dc0", Region: "r0"}, Control: "h0000", Rand: rand.New(rand.NewPCG(1, 0))})
			e.Read(startTime, records, true, q)
			e.SetSelf(startTime, proto.HostID{Name: "h0000", Incarnation: 1_700_000_000_000}, q)
			e.Tick(startTime, q)
			add("heap B, without the records", hosts, live()-before)
			add("records", hosts, float64(len(records)))
			add("records B", hosts, float64(size))
			now := startTime
			for range 500 { // the first ticks start the watches and lists
				now = now.Add(20 * time.Millisecond)
				e.Tick(now, q)
			}
			q.bytes, q.sent = 0, 0
			began := time.Now()
			for range 5000 {
				now = now.Add(20 * time.Millisecond)
				e.Tick(now, q)
			}
			add("tick ns", hosts, float64(time.Since(began).Nanoseconds())/5000)
			add("idle sent B/s", hosts, float64(q.bytes)/100)
			runtime.KeepAlive(e)
		}
	}
	for _, name := range []string{"heap B, without the records", "records", "records B", "tick ns", "idle sent B/s"} {
		a, slope := stat.LinearRegression(x[name], y[name], nil, false)
		b.Logf("%s: %.4g; %.4g + %.4g per host, R2 %.3f", name, y[name], a, slope, stat.RSquared(x[name], y[name], nil, a, slope))
	}
}

// BenchmarkEncode reports the encoded size of each control message, with host
// names of 5 bytes.
func BenchmarkEncode(b *testing.B) {
	id := proto.HostID{Name: "h0007", Incarnation: 1_700_000_000_000}
	heavy := make([]proto.HeavyLoad, 16)
	for i := range heavy {
		heavy[i] = proto.HeavyLoad{Shard: uint32(60_000 + i), Rate: 123.5}
	}
	sums := [proto.DigestBuckets]uint64{}
	for i := range sums {
		sums[i] = 1<<63 + uint64(i)
	}
	pairs := make([]proto.Pair, 10)
	for i := range pairs {
		pairs[i] = proto.Pair{Key: proto.PageKey("permit", 40), Index: 1_000_000}
	}
	for _, m := range []proto.Message{
		proto.Renew{Seq: 1 << 20},
		proto.Grant{Seq: 1 << 20},
		proto.Suspect{Hosts: []proto.HostID{id}},
		proto.Refuse{Host: id, Witness: id},
		proto.Refused{Host: id, Witness: id, Remaining: 170 * time.Millisecond},
		proto.Update{Key: proto.PageKey("permit", 40), Index: 1_000_000, Base: 999_999, Sum: 1 << 63, Value: make([]byte, 20)},
		proto.Digest{Sums: sums},
		proto.Pairs{Mask: 1, Have: pairs},
		proto.Fetch{Have: pairs[:1]},
		proto.Load{Rate: 4417, Heavy: heavy},
		proto.Load{Rate: 4417},
	} {
		b.Run(fmt.Sprintf("%T", m), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				v, err := proto.Encode(id, id, m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(v)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
