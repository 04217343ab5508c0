package owner

import (
	"testing"
	"time"

	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/store"
)

// newDrainingCore returns a core that drains the first entry of one of its
// pages for a handover to another host.
func newDrainingCore(t *testing.T, to int) (f *fakeCluster, c *Core, ref Ref) {
	t.Helper()
	f = newFakeCluster(24)
	c = f.coreOf(6)
	for i := range uint32(clusterPages) {
		key := proto.PageKey(simService, i)
		if s := c.pages.entries[key].rec.Shards; c.pages.entries[key].rec.Owners[s[0].Owner] == c.id {
			ref = Ref{Service: simService, Shard: i * proto.PageShards}
			break
		}
	}
	if ref.Service == "" {
		t.Fatal("the host owns no first entry of a page")
	}
	f.plan(c, ref, to)
	return f, c, ref
}

func levelMove(ref Ref, from, to proto.HostID) plan.Move {
	return plan.Move{Kind: plan.Level, Page: ref.Shard / proto.PageShards, Shard: ref.Shard, Key: ref.Key, From: from, To: to}
}

// plan writes a move of an entry of c to the host with the given number.
func (f *fakeCluster) plan(c *Core, ref Ref, to int) {
	c.Plan(f.now, ref.Service, []plan.Move{levelMove(ref, c.id, f.members[to].ID)}, clusterFx{f, c})
	f.advance(c, 200*time.Millisecond)
}

func (f *fakeCluster) advance(c *Core, d time.Duration) {
	c.nextWitnessCheck = f.now.Add(time.Hour)
	f.run([]*Core{c}, f.now.Add(d), func() {})
}

func (f *fakeCluster) owner(t *testing.T, ref Ref) proto.HostID {
	t.Helper()
	p, err := proto.DecodePage(f.records[proto.PageKey(ref.Service, ref.Shard/proto.PageShards)].Value)
	if err != nil {
		t.Fatal(err)
	}
	return p.Owners[findEntry(p, ref).Owner]
}

// Guards against a late answer to the drain of a cancelled move releasing the
// entry in a later move while requests are still in flight here.
func TestLateDrainAnswer(t *testing.T) {
	f, c, ref := newDrainingCore(t, 13)
	first := f.members[13]
	first.State = proto.Leaving
	key := proto.GroupKey(first.Place.DataCentre, first.ID.Name)
	g, err := proto.DecodeGroup(f.records[key].Value)
	if err != nil {
		t.Fatal(err)
	}
	m, _ := g.Member(first.ID)
	m.State = proto.Leaving
	f.put(key, g)
	c.Observe(f.now, f.records[key], clusterFx{f, c})
	f.advance(c, 200*time.Millisecond)
	f.plan(c, ref, 14)
	if len(f.drains) != 2 || f.resumed == 0 {
		t.Fatalf("drains %v, resumed %d; want two drains and a resume between", f.drains, f.resumed)
	}
	c.Drained(f.now, ref, first.ID, 2, clusterFx{f, c})
	f.advance(c, 200*time.Millisecond)
	if got := f.owner(t, ref); got != c.id {
		t.Errorf("owner after the late answer = %v, want %v", got, c.id)
	}
	// The cancellation has raised the epoch to 2.
	c.Drained(f.now, ref, f.members[14].ID, 3, clusterFx{f, c})
	f.advance(c, 200*time.Millisecond)
	if got := f.owner(t, ref); got != f.members[14].ID {
		t.Errorf("owner after the answer = %v, want %v", got, f.members[14].ID)
	}
}

// Guards against an entry that stays drained during an outage although its
// release was certainly not written, and against one that is served here although
// its release may have taken effect.
func TestReleaseInOutage(t *testing.T) {
	for _, c := range []struct {
		err     error
		resumed bool
	}{{store.ErrUnavailable, true}, {store.ErrUncertain, false}} {
		t.Run(c.err.Error(), func(t *testing.T) {
			f, core, ref := newDrainingCore(t, 13)
			f.swapErr = c.err
			core.Drained(f.now, ref, f.members[13].ID, 2, clusterFx{f, core})
			f.advance(core, 100*time.Millisecond)
			if got := f.resumed > 0; got != c.resumed {
				t.Errorf("resumed = %v, want %v", got, c.resumed)
			}
		})
	}
}

// Guards against a change to a record that cannot be decoded causing conflicts and
// reads without backoff.
func TestUndecodableRecord(t *testing.T) {
	f, c, ref := newDrainingCore(t, 13)
	key := proto.PageKey(ref.Service, ref.Shard/proto.PageShards)
	f.index++
	f.records[key] = store.Record{Key: key, Index: f.index, Value: []byte{0xff}}
	clear(f.calls)
	c.Drained(f.now, ref, f.members[13].ID, 2, clusterFx{f, c})
	f.advance(c, 2*time.Second)
	if n := f.calls[Get] + f.calls[Swap]; n > 8 {
		t.Errorf("%d store operations in 2 s, want at most 8", n)
	}
}

// Guards against a restarted witness that refuses a host for its predecessor and
// then grants a renewal of that host.
func TestPredecessorRefuses(t *testing.T) {
	f := newFakeCluster(24)
	c := f.coreOf(6)
	old, host := proto.HostID{Name: c.id.Name, Incarnation: 1}, f.members[0].ID
	c.predecessors[old] = true
	c.Receive(f.now, f.members[1].ID, proto.Refuse{Host: host, Witness: old}, clusterFx{f, c})
	if c.witness.Renew(f.now, host) {
		t.Error("the successor of a witness granted after it refused")
	}
}

// Guards against a drain that starts during a store outage: the entry would be
// unavailable until the outage ends.
func TestNoDrainInOutage(t *testing.T) {
	f, c, ref := newDrainingCore(t, 13)
	f.drains, f.getErr = nil, store.ErrUnavailable
	key := proto.PageKey(ref.Service, ref.Shard/proto.PageShards)
	p, err := proto.DecodePage(f.records[key].Value)
	if err != nil {
		t.Fatal(err)
	}
	i := ref.Shard%proto.PageShards + 1
	p.Shards[i].Next = p.OwnerIndex(f.members[13].ID) + 1
	f.put(key, p)
	f.now = f.now.Add(time.Second)
	c.Observe(f.now, f.records[key], clusterFx{f, c})
	f.advance(c, time.Second)
	if len(f.drains) > 0 {
		t.Errorf("%d drains started without an answer of the store", len(f.drains))
	}
	f.getErr = nil
	f.advance(c, 3*time.Second)
	if len(f.drains) != 1 {
		t.Errorf("%d drains after the store answers, want 1", len(f.drains))
	}
}

// Guards against a witness set with a majority in another region, which loses its
// quorum in a partition between regions.
func TestWitnessQuality(t *testing.T) {
	f := newFakeCluster(24)
	c := f.coreOf(0) // region0 has dc0 and dc1
	id := func(i int) proto.HostID { return f.members[i].ID }
	near, far := []proto.HostID{id(6), id(1), id(2)}, []proto.HostID{id(6), id(2), id(4)}
	if c.witnessScore(near) <= c.witnessScore(far) {
		t.Errorf("quality of %v = %d, of %v = %d", near, c.witnessScore(near), far, c.witnessScore(far))
	}
}

// Guards against repeating a change endlessly although it took effect, because the
// reply to each write is lost.
func TestEveryWriteReplyLost(t *testing.T) {
	f, c, ref := newDrainingCore(t, 13)
	clear(f.calls)
	f.loseReplies = true
	c.Drained(f.now, ref, f.members[13].ID, 2, clusterFx{f, c})
	f.advance(c, 2*time.Second)
	if len(c.moves) > 0 || f.calls[Swap] != 1 || f.owner(t, ref) != f.members[13].ID {
		t.Errorf("%d moves open after %d writes and %d reads", len(c.moves), f.calls[Swap], f.calls[Get])
	}
}
