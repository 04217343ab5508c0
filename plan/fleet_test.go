package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/proto"
)

// workload is a service under Zipf load whose 110 hottest keys change.
type workload struct {
	name                        string
	hosts, dataCentres, regions int
	pages, keys                 int
	exponent, rate              float64
	// maxSteps limits the steps to settle, maxAffected the pages affected by the loss
	// of a data centre.
	maxSteps, maxAffected int
}

// The exponent for 1,200 hosts is the largest (in tenths) at which the hottest
// key, 72% of the mean host's load, still fits on a host.
var (
	authority = workload{name: "authority", hosts: 5, dataCentres: 4, regions: 2, pages: 1, keys: 1_000_000, exponent: 0.99, rate: 15_000, maxSteps: 4, maxAffected: 1}
	cascadia  = workload{name: "cascadia", hosts: 6, dataCentres: 4, regions: 2, pages: 1, keys: 1_000_000, exponent: 0.99, rate: 18_000, maxSteps: 4, maxAffected: 1}
	large     = workload{name: "large", hosts: 1200, dataCentres: 6, regions: 3, pages: 64, keys: 980_000_000, exponent: 0.7, rate: 5_300_000, maxSteps: 4, maxAffected: 12}
	workloads = []workload{authority, cascadia, large}
)

const hotKeys = 110

// fleetSim runs the planner in steps of 10 s under a simulated workload.
type fleetSim struct {
	workload
	rng       *rand.Rand
	pages     []*proto.Page
	hosts     []HostLoad
	shardBase []float64 // load of each shard except that of the hottest keys
	hot       []string  // by rank
	now       time.Time
	planner   Planner
	lastLoads map[proto.HostID]float64
}

func newFleet(s workload) *fleetSim {
	f := &fleetSim{workload: s, rng: rand.New(rand.NewPCG(1, uint64(s.hosts))), shardBase: make([]float64, s.pages*proto.PageShards)}
	hosts := testHosts(s.hosts, s.dataCentres, s.regions, 12)
	for _, h := range hosts {
		f.hosts = append(f.hosts, HostLoad{Host: h})
	}
	f.pages = Initial("permits", s.pages, hosts)
	// Keys of ranks 111 to 200,000 are on random shards; the tail is spread evenly.
	const single = 200_000
	for i := hotKeys + 1; i <= single; i++ {
		f.shardBase[f.rng.IntN(len(f.shardBase))] += f.zipfRate(i)
	}
	exp := 1 - s.exponent
	tail := (math.Pow(float64(s.keys), exp) - math.Pow(single, exp)) / exp * f.zipfRate(1)
	for i := range f.shardBase {
		f.shardBase[i] += tail / float64(len(f.shardBase))
	}
	f.shift(0)
	return f
}

// zipfRate returns the load of the key with this rank. The normalizing sum over the
// ranks is approximated by its integral.
func (f *fleetSim) zipfRate(rank int) float64 {
	exp := 1 - f.exponent
	return f.rate * math.Pow(float64(rank), -f.exponent) / ((math.Pow(float64(f.keys), exp)-1)/exp + 0.5)
}

// shift replaces the hottest keys with others.
func (f *fleetSim) shift(n int) {
	f.hot = nil
	for i := range hotKeys {
		f.hot = append(f.hot, fmt.Sprintf("hot-%d-%d", n, i))
	}
}

func (f *fleetSim) shardOf(key string) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(len(f.shardBase)))
}

func (f *fleetSim) isolated() map[string]proto.HostID {
	owners := map[string]proto.HostID{}
	for _, p := range f.pages {
		for _, h := range p.Hot {
			owners[h.Key] = p.Owners[h.Entry.Owner]
		}
	}
	return owners
}

// loads returns the current load of each host and shard, without noise.
func (f *fleetSim) loads() (map[proto.HostID]float64, []float64) {
	shards, hosts := slices.Clone(f.shardBase), map[proto.HostID]float64{}
	isolated := f.isolated()
	for i, key := range f.hot {
		if owner, ok := isolated[key]; ok {
			hosts[owner] += f.zipfRate(i + 1)
		} else {
			shards[f.shardOf(key)] += f.zipfRate(i + 1)
		}
	}
	for _, p := range f.pages {
		for i, e := range p.Shards {
			hosts[p.Owners[e.Owner]] += shards[int(p.Index)*proto.PageShards+i]
		}
	}
	return hosts, shards
}

func (f *fleetSim) imbalance() float64 {
	hosts, _ := f.loads()
	loads := slices.Clone(f.hosts)
	for i := range loads {
		loads[i].Rate = hosts[loads[i].ID]
	}
	return Imbalance(loads)
}

// noisy adds the noise of a Poisson count over 10 s and an error of 1% to a rate.
func (f *fleetSim) noisy(rate float64) float64 {
	return max(0, rate+f.rng.NormFloat64()*(math.Sqrt(rate/10)+rate/100))
}

// reportLoads sends the load reports of an interval. Moves complete 1 s into an
// interval, so a tenth of it is measured with the previous owners.
func (f *fleetSim) reportLoads() {
	f.now = f.now.Add(DefaultInterval)
	hosts, shards := f.loads()
	var heavy []EntryLoad
	for i, rate := range shards {
		if rate > 1.5*f.rate/float64(len(shards)) {
			heavy = append(heavy, EntryLoad{Shard: uint32(i), Rate: f.noisy(rate)})
		}
	}
	for i, key := range f.hot {
		heavy = append(heavy, EntryLoad{Shard: f.shardOf(key), Key: key, Rate: f.noisy(f.zipfRate(i + 1))})
	}
	for _, h := range f.hosts {
		f.planner.Report(f.now, Report{Host: h.ID, Rate: f.noisy(hosts[h.ID]*0.9 + f.lastLoads[h.ID]*0.1), Heavy: heavy})
		heavy = nil
	}
	f.lastLoads = hosts
}

// runSteps runs planner steps and completes their moves.
func (f *fleetSim) runSteps(steps int) []Move {
	var moves []Move
	for range steps {
		moves = append(moves, f.step()...)
	}
	return moves
}

func (f *fleetSim) step() []Move {
	f.reportLoads()
	moves := f.planner.Step(f.now, f.pages, f.hosts)
	for i, p := range f.pages {
		if next := Apply(p, moves); next != nil {
			f.pages[i] = next
		}
		completeMoves(f.pages[i])
	}
	return moves
}

func completeMoves(p *proto.Page) {
	p.EachEntry(func(_ uint32, _ string, e *proto.Entry) {
		if e.Next > 0 {
			*e = proto.Entry{Owner: e.Next - 1, Epoch: e.Epoch + 1}
		}
	})
	p.Compact()
}

func countKinds(moves []Move) map[Kind]int {
	n := map[Kind]int{}
	for _, m := range moves {
		n[m.Kind]++
	}
	return n
}

// After a change of the hottest keys the imbalance must return below 1.15 within
// the limit of steps, and the hot keys must be isolated. The log shows
// the time to settle and the moves.
func TestHotShift(t *testing.T) {
	const shifts, steps = 12, 12
	for _, s := range workloads {
		t.Run(s.name, func(t *testing.T) {
			f := newFleet(s)
			f.runSteps(steps)
			var settled, worst, total float64
			kinds, longest := map[Kind]int{}, 0
			for n := 1; n <= shifts; n++ {
				f.shift(n)
				worst = max(worst, f.imbalance())
				last := 0
				for step := 1; step <= steps; step++ {
					for k, c := range countKinds(f.step()) {
						kinds[k] += c
					}
					if v := f.imbalance(); v > 1.15 {
						last = step + 1
					} else if step >= s.maxSteps {
						settled = max(settled, v)
					}
				}
				for i, key := range f.hot {
					share := f.zipfRate(i+1) / f.rate * float64(s.hosts)
					if hot := f.isolated()[key] != (proto.HostID{}); hot && share < 0.8*defaultHotKeyShare || !hot && share > 1.2*defaultHotKeyShare {
						t.Errorf("key %s with %.3f of a host's load: isolated is %v", key, share, hot)
					}
				}
				longest = max(longest, last)
				total += float64(last)
			}
			t.Logf("%s: peak %.3f, settled at most %.3f, settles in %.1f steps on average, %d at most (10 s each)", s.name, worst, settled, total/shifts, longest)
			for k := Isolate; k <= Colocate; k++ {
				t.Logf("%s: %v %.1f per shift", s.name, k, ratio(kinds[k], shifts))
			}
			if longest > s.maxSteps {
				t.Errorf("imbalance over 1.15 until step %d after a shift, limit %d", longest, s.maxSteps)
			}
			f.assertDataCentreLoss(t)
		})
	}
}

func ratio(n, d int) float64 { return float64(n) / float64(d) }

// BenchmarkBalance measures the CPU time of one planner step at 1,200 hosts; 1.2%
// of one core allows 120 ms every 10 s.
func BenchmarkBalance(b *testing.B) {
	f := newFleet(large)
	f.step()
	f.shift(1)
	f.reportLoads()
	b.ReportAllocs()
	for b.Loop() {
		planner := f.planner // a copy, so that each iteration has the same recent moves
		planner.Step(f.now, f.pages, f.hosts)
	}
}
