package owner

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"burdocklift/proto"
)

var sizes = []int{75, 300, 1200}

// samples holds the results of one metric, with the number of hosts of each.
type samples struct{ x, y []float64 }

var measured = make(map[string]*samples)

func sample(b *testing.B, name string, hosts int, v float64) {
	b.ReportMetric(v, name)
	if measured[name] == nil {
		measured[name] = &samples{}
	}
	measured[name].x = append(measured[name].x, float64(hosts))
	measured[name].y = append(measured[name].y, v)
}

func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkSize measures the costs of a core by the number of hosts, with 64 pages
// at each size, for the slopes of docs/CAPACITY.md. Run it with -benchtime 20x, so
// that each size has the same number of runs.
func BenchmarkSize(b *testing.B) {
	for _, hosts := range sizes {
		f := newFakeCluster(hosts)
		victim := hosts / 2
		dc := f.members[victim].Place.DataCentre
		b.Run(fmt.Sprintf("heap/hosts=%d", hosts), func(b *testing.B) {
			var c *Core
			before := liveHeap()
			for b.Loop() {
				c = f.coreOf(1)
			}
			sample(b, "heap-B", hosts, liveHeap()-before)
			runtime.KeepAlive(c)
		})
		c := f.coreOf(1)
		fx := clusterFx{f, c}
		timed := func(name string, n int, fn func(i int)) {
			b.Run(fmt.Sprintf("%s/hosts=%d", name, hosts), func(b *testing.B) {
				var took time.Duration
				runs := 0
				for b.Loop() {
					began := time.Now()
					for i := range n {
						fn(runs*n + i)
					}
					took += time.Since(began)
					runs++
				}
				sample(b, name+"-ns", hosts, float64(took.Nanoseconds())/float64(runs*n))
			})
		}
		var holders []proto.HostID
		for _, m := range f.members {
			if slices.Contains(m.Witnesses, c.id) {
				holders = append(holders, m.ID)
			}
		}
		timed("tick", 500, func(i int) {
			f.now = f.now.Add(20 * time.Millisecond)
			if i%10 == 0 {
				for _, w := range f.members[1].Witnesses {
					c.Receive(f.now, w, proto.Grant{Seq: c.holder.LastSeq()}, fx)
				}
				for _, id := range holders {
					c.Receive(f.now, id, proto.Renew{Seq: uint64(i)}, fx)
				}
			}
			c.Tick(f.now, fx)
		})
		timed("view", 100, func(int) {
			c.viewDirty, c.hostsDirty = true, true
			c.publishView()
		})
		key := proto.PageKey(simService, 3)
		index := f.index
		timed("page", 50, func(int) {
			index++
			r := f.records[key]
			r.Index = index
			c.Observe(f.now, r, fx)
		})
		timed("group", 50, func(int) {
			index++
			r := f.records[proto.GroupKey(dc, f.members[victim].ID.Name)]
			r.Index = index
			c.Observe(f.now, r, fx)
		})
		b.Run(fmt.Sprintf("takeover/hosts=%d", hosts), func(b *testing.B) {
			var took time.Duration
			runs := 0
			for b.Loop() {
				took += takeoverTime(b, hosts, victim)
				runs++
			}
			sample(b, "takeover-ns", hosts, float64(took.Nanoseconds())/float64(runs))
		})
	}
	for _, name := range sortedKeys(measured) {
		s := measured[name]
		a, slope := stat.LinearRegression(s.x, s.y, nil, false)
		b.Logf("%s: %.4g + %.4g per host, R2 %.3f, %d samples", name, a, slope, stat.RSquared(s.x, s.y, nil, a, slope), len(s.x))
	}
}

// takeoverTime returns the elapsed time of a takeover at its coordinator, including
// the time of the fake store.
func takeoverTime(b *testing.B, hosts, victim int) time.Duration {
	f := newFakeCluster(hosts)
	m := f.members[victim]
	f.unreachable[m.ID] = true
	first := f.coreOf(1).coordinatorCandidates(m.Place.DataCentre)[0]
	var c *Core
	for i := range f.members {
		if f.members[i].ID == first {
			c = f.coreOf(i)
		}
	}
	c.nextWitnessCheck = f.now.Add(time.Hour)
	began := time.Now()
	end := f.now.Add(700 * time.Millisecond)
	f.run([]*Core{c}, end, func() {
		for _, w := range m.Witnesses {
			c.Receive(f.now, w, proto.Suspect{Hosts: []proto.HostID{m.ID}}, clusterFx{f, c})
		}
	})
	took := time.Since(began)
	if left, _ := f.unserved(map[proto.HostID]bool{m.ID: true}); left != 0 {
		b.Fatalf("%d entries still belong to the lost host", left)
	}
	return took
}
