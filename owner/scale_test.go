package owner

import (
	"fmt"
	"testing"
	"time"

	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/store"
)

const clusterPages = 64

// fakeCluster runs a few real cores among hosts that exist only as records and
// renew nothing. The test takes the part of their witnesses: it sends reports of
// silence and answers Refuse messages.
type fakeCluster struct {
	now           time.Time
	members       []proto.Member
	records       map[string]store.Record
	index         uint64
	calls         map[OpKind]int
	bytes         int
	queue         []queuedOp
	unreachable   map[proto.HostID]bool
	sent          []queuedMessage
	drains        []proto.HostID
	resumed       int
	getErr        error         // error of reads, if set
	loseReplies   bool          // writes take effect but end with ErrUncertain
	swapErr       error         // error of writes, if set; they then have no effect
	writeInterval time.Duration // minimum time between two writes at the store
	lastWrite     time.Time     // time of the last write
}

type queuedOp struct {
	core *Core
	op   Op
	at   time.Time
}

type queuedMessage struct {
	core *Core
	from proto.HostID
	m    proto.Message
	at   time.Time
}

type clusterFx struct {
	f *fakeCluster
	c *Core
}

func (x clusterFx) Send(to proto.HostID, m proto.Message) {
	r, ok := m.(proto.Refuse)
	if !ok || x.f.unreachable[to] {
		return
	}
	// A live witness answers after 16 ms with the remaining time of the lease.
	x.f.sent = append(x.f.sent, queuedMessage{x.c, to, proto.Refused{Host: r.Host, Witness: to, Remaining: 170 * time.Millisecond}, x.f.now.Add(16 * time.Millisecond)})
}

func (x clusterFx) Store(op Op) {
	x.f.calls[op.Kind]++
	at := x.f.now.Add(10 * time.Millisecond)
	if op.Kind == Swap {
		if next := x.f.lastWrite.Add(x.f.writeInterval); next.After(at) {
			at = next
		}
		x.f.lastWrite = at
	}
	x.f.queue = append(x.f.queue, queuedOp{x.c, op, at})
}

func (clusterFx) Publish(store.Record, []proto.HostID)       {}
func (x clusterFx) Drain(_ Ref, next proto.HostID, _ uint64) { x.f.drains = append(x.f.drains, next) }
func (x clusterFx) Resume(Ref)                               { x.f.resumed++ }
func (clusterFx) Event(Event)                                {}

func (f *fakeCluster) put(key string, v any) {
	value, err := proto.EncodeRecord(v)
	if err != nil {
		panic(err)
	}
	f.index++
	f.records[key] = store.Record{Key: key, Index: f.index, Value: value}
}

// newFakeCluster returns a cluster of hosts in six data centres and three regions.
func newFakeCluster(hosts int) *fakeCluster {
	f := &fakeCluster{
		now: time.Unix(1_700_000_000, 0), records: make(map[string]store.Record), calls: make(map[OpKind]int),
		unreachable: make(map[proto.HostID]bool),
	}
	var planned []plan.Host
	for i := range hosts {
		dc := i % 6
		f.members = append(f.members, proto.Member{
			ID:    proto.HostID{Name: fmt.Sprintf("h%04d", i), Incarnation: 1_700_000_000_000},
			Place: proto.Place{DataCentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("region%d", dc/2)}, Service: simService, Slots: 12,
			Addresses: proto.Addresses{Caller: "10.0.0.1:80", Peer: "10.0.0.1:81", Control: "10.0.0.1:82", Operator: "10.0.0.1:83"},
		})
		// One witness in the same data centre, one in the other data centre of the
		// region and one in another region.
		for _, w := range []int{i + 6, i + 1 - 2*(i%2), i + 2} {
			f.members[i].Witnesses = append(f.members[i].Witnesses, proto.HostID{Name: fmt.Sprintf("h%04d", (w+hosts)%hosts), Incarnation: 1_700_000_000_000})
		}
		planned = append(planned, plan.Host{ID: f.members[i].ID, Place: f.members[i].Place, Slots: 12})
	}
	groups := make(map[string]*proto.Group)
	for _, m := range f.members {
		key := proto.GroupKey(m.Place.DataCentre, m.ID.Name)
		if groups[key] == nil {
			groups[key] = &proto.Group{}
		}
		groups[key].Members = append(groups[key].Members, m)
	}
	for _, key := range sortedKeys(groups) {
		f.put(key, groups[key])
	}
	for _, p := range plan.Initial(simService, clusterPages, planned) {
		f.put(proto.PageKey(p.Service, p.Index), p)
	}
	return f
}

// coreOf returns a core that runs as the member with the given number.
func (f *fakeCluster) coreOf(i int) *Core {
	m := f.members[i]
	c := New(Config{Name: m.ID.Name, Place: m.Place, Timing: proto.DefaultTiming(), ClockBase: f.now})
	c.SetServices(map[string]uint32{simService: clusterPages * proto.PageShards})
	c.id, c.phase = m.ID, Member
	c.aliases[m.ID] = true
	c.holder.SetWitnesses(m.Witnesses)
	for _, key := range sortedKeys(f.records) {
		c.Observe(f.now, f.records[key], clusterFx{f, c})
	}
	return c
}

// run advances the time and the cores, and answers their store operations.
func (f *fakeCluster) run(cores []*Core, until time.Time, each func()) {
	for ; f.now.Before(until); f.now = f.now.Add(2 * time.Millisecond) {
		due := f.queue
		f.queue = nil
		for _, q := range due {
			if f.now.Before(q.at) {
				f.queue = append(f.queue, q)
				continue
			}
			q.core.Done(f.now, f.answer(q.op, cores), clusterFx{f, q.core})
		}
		sent := f.sent
		f.sent = nil
		for _, m := range sent {
			if f.now.Before(m.at) {
				f.sent = append(f.sent, m)
				continue
			}
			m.core.Receive(f.now, m.from, m.m, clusterFx{f, m.core})
		}
		if f.now.UnixMilli()%20 == 0 {
			for _, c := range cores {
				c.Tick(f.now, clusterFx{f, c})
			}
			each()
		}
	}
}

func (f *fakeCluster) answer(op Op, cores []*Core) Result {
	r, ok := f.records[op.Key]
	switch {
	case op.Kind == Get && f.getErr != nil:
		return Result{ID: op.ID, Err: f.getErr}
	case op.Kind == Get && ok:
		return Result{ID: op.ID, Records: []store.Record{r}}
	case op.Kind == Get:
		return Result{ID: op.ID, Err: store.ErrNotFound}
	case op.Kind == List:
		return Result{ID: op.ID}
	case f.swapErr != nil:
		return Result{ID: op.ID, Err: f.swapErr}
	case r.Index != op.Index:
		return Result{ID: op.ID, Err: store.ErrConflict}
	}
	f.index++
	f.bytes += len(op.Value)
	r = store.Record{Key: op.Key, Index: f.index, Value: op.Value}
	f.records[op.Key] = r
	for _, c := range cores {
		c.Observe(f.now, r, clusterFx{f, c})
	}
	if f.loseReplies {
		return Result{ID: op.ID, Err: store.ErrUncertain}
	}
	return Result{ID: op.ID, Index: f.index}
}

// unserved returns the number of entries that lost hosts own, and the number of
// moved entries by their new owner.
func (f *fakeCluster) unserved(lost map[proto.HostID]bool) (left int, churn map[proto.HostID]int) {
	churn = make(map[proto.HostID]int)
	for key, r := range f.records {
		if !proto.IsPageKey(key) {
			continue
		}
		p, err := proto.DecodePage(r.Value)
		if err != nil {
			panic(err)
		}
		p.EachEntry(func(_ uint32, _ string, e *proto.Entry) {
			if lost[p.Owners[e.Owner]] {
				left++
			}
			if e.Epoch > 1 {
				churn[p.Owners[e.Owner]]++
			}
		})
	}
	return left, churn
}

// Guards against a takeover among 1,200 hosts that takes 1 s or more, moves more
// entries than those of the lost hosts, or needs more writes than the bound, also
// if the store limits the rate of writes. The coordinators run real cores;
// witnesses report 400 to 600 ms after the last renewal.
func TestLossAtScale(t *testing.T) {
	for _, c := range []struct {
		name      string
		lost      func(i int) bool
		maxWrites int
		gap       time.Duration
	}{
		{"host", func(i int) bool { return i == 600 }, 6, 0},
		{"rack of 20", func(i int) bool { return i%6 == 2 && i < 120 }, 60, 0},
		{"data centre of 200", func(i int) bool { return i%6 == 2 }, 300, 0},
		{"data centre of 200, 400 writes a second", func(i int) bool { return i%6 == 2 }, 300, 2500 * time.Microsecond},
		{"data centre of 200, 200 writes a second", func(i int) bool { return i%6 == 2 }, 300, 5 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeCluster(1200)
			f.writeInterval = c.gap
			lost := make(map[proto.HostID]bool)
			for i, m := range f.members {
				if c.lost(i) {
					lost[m.ID], f.unreachable[m.ID] = true, true
				}
			}
			probe := f.coreOf(1)
			var cores []*Core
			for _, id := range probe.coordinatorCandidates("dc2")[:2] {
				for i, m := range f.members {
					if m.ID == id && !lost[id] {
						cores = append(cores, f.coreOf(i))
					}
				}
			}
			for _, core := range cores {
				core.leaveRequested = false
				core.nextWitnessCheck = f.now.Add(time.Hour)
			}
			began := f.now
			entries, _ := f.unserved(lost)
			var served time.Duration
			f.run(cores, began.Add(1200*time.Millisecond), func() {
				for i, m := range f.members {
					// The last renewal was up to 200 ms before the loss.
					silent := 400*time.Millisecond - time.Duration(i*7%200)*time.Millisecond
					if !lost[m.ID] || f.now.Sub(began) < silent {
						continue
					}
					for _, w := range m.Witnesses {
						if !lost[w] && f.now.Sub(began) < 700*time.Millisecond {
							cores[0].Receive(f.now, w, proto.Suspect{Hosts: []proto.HostID{m.ID}}, clusterFx{f, cores[0]})
						}
					}
				}
				if left, _ := f.unserved(lost); left > 0 {
					served = f.now.Sub(began) + 20*time.Millisecond
				}
			})
			left, churn := f.unserved(lost)
			moved := 0
			for _, n := range churn {
				moved += n
			}
			naive := 0 // entries that modulo placement over the remaining hosts would move
			for i := range clusterPages * proto.PageShards {
				if i%1200 != i%(1200-len(lost)) {
					naive++
				}
			}
			t.Logf("%s: worst entry %v, entries %d, moved %d (naive %d), store writes %d, reads %d, %d KB written",
				c.name, served, entries, moved, naive, f.calls[Swap], f.calls[Get]+f.calls[List], f.bytes/1024)
			if left != 0 || served >= time.Second || moved != entries || f.calls[Swap] > c.maxWrites {
				t.Errorf("left %d, worst %v, moved %d of %d, %d writes (at most %d)", left, served, moved, entries, f.calls[Swap], c.maxWrites)
			}
		})
	}
}

// BenchmarkTickIdle measures a tick with 1,200 hosts and 64 pages without changes.
func BenchmarkTickIdle(b *testing.B) {
	f := newFakeCluster(1200)
	c := f.coreOf(7)
	fx := clusterFx{f, c}
	var holders []proto.HostID
	for _, m := range f.members {
		for _, w := range m.Witnesses {
			if w == c.id {
				holders = append(holders, m.ID)
			}
		}
	}
	b.ReportAllocs()
	now, n := f.now, uint64(0)
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		if n%10 == 0 { // renewals of 200 ms, in both directions
			for _, w := range f.members[7].Witnesses {
				c.Receive(now, w, proto.Grant{Seq: c.holder.LastSeq()}, fx)
			}
			for _, id := range holders {
				c.Receive(now, id, proto.Renew{Seq: n}, fx)
			}
		}
		n++
		c.Tick(now, fx)
	}
}
