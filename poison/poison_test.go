package poison

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"burdocklift/proto"
	_ "burdocklift/seeds"
)

func init() {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
}

type registry interface {
	Start(f Fingerprint) error
	Finish(f Fingerprint) []Notice
	RecordCrash() []Notice
	Merge(n ...Notice)
}

// baseline is a naive registry that quarantines all requests that were in flight
// at two crashes.
type baseline struct{ *Registry }

func (b baseline) Start(f Fingerprint) error {
	b.suspectRunning = false
	return b.Registry.Start(f)
}

func testFingerprint(n int) Fingerprint { return Fingerprint{Content: Hash(n + 1), ID: Hash(n + 1001)} }

func newRegistries(n, bound int) ([]*Registry, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	var rs []*Registry
	for i := range n {
		rs = append(rs, NewRegistry(Config{Origin: proto.HostID{Name: fmt.Sprint(i)}, MaxEntries: bound}, clock))
	}
	return rs, clock
}

// simulateCrashes sends poison requests, one after the other, and random harmless
// requests through random nodes. Callers retry until a request is answered or
// quarantined, and each notice arrives before a retry. It returns the highest
// number of crashes by one poison request and how often a harmless request was
// refused as quarantined.
func simulateCrashes(rs []registry, poisons int, pick func(n int) int) (maxCrashes, falselyQuarantined int) {
	const harmless = 8
	at := make(map[int]int) // node that runs the request
	send := func(f int) {
		node := pick(len(rs))
		if _, ok := at[f]; ok {
			return
		}
		err := rs[node].Start(testFingerprint(f))
		if err == nil {
			at[f] = node
		}
		if errors.Is(err, ErrQuarantined) && f < harmless {
			falselyQuarantined++
		}
	}
	broadcast := func(n []Notice) {
		for i := range rs {
			rs[i].Merge(n...)
		}
	}
	for p := harmless; p < harmless+poisons; p++ {
		count := 0
		for range 60 {
			if f := pick(harmless + 2); f >= harmless {
				send(p)
			} else if node, ok := at[f]; ok && pick(3) == 0 {
				delete(at, f)
				broadcast(rs[node].Finish(testFingerprint(f)))
			} else {
				send(f)
			}
			if node, ok := at[p]; ok && pick(3) == 0 {
				count++
				maps.DeleteFunc(at, func(_, n int) bool { return n == node })
				broadcast(rs[node].RecordCrash())
			}
		}
		// The guarantee holds for one poison request at a time, so all other suspects
		// complete before the next one.
		if node, ok := at[p]; ok {
			count++
			broadcast(rs[node].RecordCrash())
			maps.DeleteFunc(at, func(_, n int) bool { return n == node })
		}
		maxCrashes = max(maxCrashes, count)
		for f, node := range at {
			broadcast(rs[node].Finish(testFingerprint(f)))
		}
		clear(at)
		for f := range harmless {
			if rs[0].Start(testFingerprint(f)) == nil {
				broadcast(rs[0].Finish(testFingerprint(f)))
			}
		}
	}
	return maxCrashes, falselyQuarantined
}

// Guards against harmless requests that are quarantined because they were in
// flight with a poison request, and against a third crash by one request, also
// when it is retried through other nodes.
func TestOnlyPoisonIsQuarantined(t *testing.T) {
	check := func(t *rapid.T, as func(*Registry) registry) (int, int) {
		rs, _ := newRegistries(rapid.IntRange(1, 4).Draw(t, "nodes"), 0)
		picks := rapid.SliceOfN(rapid.IntRange(0, 719), 50, 300).Draw(t, "picks")
		i, out := 0, make([]registry, len(rs))
		for j, r := range rs {
			out[j] = as(r)
		}
		return simulateCrashes(out, 4, func(n int) int { i++; return (picks[i%len(picks)] + i/len(picks)) % n })
	}
	rapid.Check(t, func(t *rapid.T) {
		if maxCrashes, falselyQuarantined := check(t, func(r *Registry) registry { return r }); maxCrashes > crashLimit || falselyQuarantined > 0 {
			t.Fatalf("%d crashes by one request, want at most 2; %d harmless requests quarantined, want none", maxCrashes, falselyQuarantined)
		}
	})
	failed := 0
	sample := rapid.Custom(func(t *rapid.T) int {
		_, falselyQuarantined := check(t, func(r *Registry) registry { return baseline{r} })
		return falselyQuarantined
	})
	for seed := range 50 {
		if sample.Example(seed) > 0 {
			failed++
		}
	}
	if t.Logf("baseline registries quarantine harmless requests in %d of 50 runs", failed); failed == 0 {
		t.Fatal("the simulation does not make a baseline registry quarantine harmless requests")
	}
}

// Guards against states that differ between nodes by the order or the number of
// deliveries of notices.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs, clock := newRegistries(2, 0)
		notice := rapid.Custom(func(t *rapid.T) Notice {
			return Notice{
				Hash: Hash(rapid.IntRange(1, 3).Draw(t, "hash")), Round: rapid.Uint64Range(0, 2).Draw(t, "round"),
				Origin: proto.HostID{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin")},
				Count:  rapid.IntRange(0, 3).Draw(t, "count"),
				Expiry: clock.Now().Add(time.Duration(rapid.IntRange(-1, 9).Draw(t, "expiry")) * time.Minute).UnixMilli(),
			}
		})
		notices := rapid.SliceOf(notice).Draw(t, "notices")
		rs[0].Merge(notices...)
		rs[1].Merge(append(slices.Clone(notices), rapid.Permutation(notices).Draw(t, "order")...)...)
		if a, b := rs[0].List(), rs[1].List(); !reflect.DeepEqual(a, b) {
			t.Fatalf("states differ between nodes: %v, %v", a, b)
		}
	})
}

// Guards against a lift that older notices undo, against a quarantine that ends
// when a copy in flight completes, and against entries that outlive their expiry or
// exceed the bound.
func TestLiftExpiryAndBound(t *testing.T) {
	rs, clock := newRegistries(2, 4)
	f := testFingerprint(1)
	var old []Notice
	for range crashLimit {
		if err := rs[0].Start(f); err != nil {
			t.Fatal(err)
		}
		old = append(old, rs[0].RecordCrash()...)
	}
	rs[1].Merge(old...)
	rs[0].running[f] = 1 // a copy in flight when the notice arrived
	rs[0].Finish(f)
	// A retry with another idempotency key has the same content.
	if err := rs[1].Start(Fingerprint{Content: f.Content, ID: 5}); !errors.Is(err, ErrQuarantined) {
		t.Fatal("retry through another node is not refused as quarantined:", err)
	}
	if n := len(rs[0].List()); n != len(f.hashes()) {
		t.Fatal("copy in flight ended the quarantine; hashes left:", n)
	}
	for _, h := range f.hashes() {
		n, err := rs[1].Lift(h)
		if err != nil {
			t.Fatal(err)
		}
		rs[0].Merge(n)
	}
	rs[1].Merge(old...)
	if err := errors.Join(rs[0].Start(f), rs[1].Start(f)); err != nil {
		t.Fatal("lifted request is refused:", err)
	}
	rs[0].RecordCrash()
	clock.Advance(time.Hour)
	if n := len(rs[0].List()); n != 0 {
		t.Fatal("entries are listed after their expiry:", n)
	}
	for n := range 9 {
		if err := rs[0].Start(testFingerprint(n)); err != nil {
			t.Fatal(err)
		}
	}
	rs[0].RecordCrash()
	if n := len(rs[0].List()); n > 4 {
		t.Fatal("number of entries is above the bound of 4:", n)
	}
}

// Guards against equal fingerprints of different requests whose fields are equal
// when concatenated.
func TestFingerprintSeparatesFields(t *testing.T) {
	a := NewFingerprint("s", "GET", "/a", "b", nil, uuid.Nil)
	if a == NewFingerprint("s", "GET", "/", "ab", nil, uuid.Nil) || a.ID != 0 {
		t.Fatal("fingerprints don't separate path from key, or an ID is set without an idempotency key")
	}
}

func BenchmarkStartFinish(b *testing.B) {
	rs, _ := newRegistries(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		if err := rs[0].Start(testFingerprint(1)); err != nil {
			b.Fatal(err)
		}
		rs[0].Finish(testFingerprint(1))
	}
}

// Guards against a restarted node that forgets what its earlier run counted, and against
// crashes that other nodes ignore as the restarted node uses an earlier round again.
func TestOwnCrashesOutlastRestart(t *testing.T) {
	rs, clock := newRegistries(2, 0)
	restart := func(run string) {
		earlier := rs[0].Own()
		rs[0] = NewRegistry(Config{Origin: proto.HostID{Name: run}}, clock)
		rs[0].Inherit(earlier...)
	}
	start := func(f Fingerprint, want error) {
		t.Helper()
		if err := rs[0].Start(f); !errors.Is(err, want) {
			t.Fatalf("request is admitted with error %v, want %v", err, want)
		}
	}
	cleared, poison := testFingerprint(1), testFingerprint(2)
	start(cleared, nil)
	rs[1].Merge(rs[0].RecordCrash()...)
	start(cleared, nil)
	rs[1].Merge(rs[0].Finish(cleared)...)
	start(poison, nil)
	rs[1].Merge(rs[0].RecordCrash()...)
	restart("second")
	start(poison, nil)
	rs[1].Merge(rs[0].RecordCrash()...)
	for _, run := range []string{"third", "fourth"} {
		restart(run)
		start(poison, ErrQuarantined)
	}
	start(cleared, nil)
	rs[1].Merge(rs[0].RecordCrash()...)
	if k := rs[1].Known(cleared); k.Crashes != 1 {
		t.Errorf("other node knows %d crashes after the round that was cleared, want 1", k.Crashes)
	}
	clock.Advance(time.Hour)
	if n := rs[0].Own(); len(n) > 0 {
		t.Errorf("%d notices are kept after their expiry", len(n))
	}
}

// Guards against records that grow with the crashes of a target, and in which the requests
// of the last crash push out a quarantined one.
func TestOwnCrashesAreBounded(t *testing.T) {
	rs, clock := newRegistries(1, 0)
	poison := Fingerprint{Content: 1}
	for range crashLimit {
		if err := rs[0].Start(poison); err != nil {
			t.Fatal(err)
		}
		rs[0].RecordCrash()
	}
	clock.Advance(time.Minute)
	for n := range 2 * MaxOwn {
		if err := rs[0].Start(Fingerprint{Content: Hash(n + 2)}); err != nil {
			t.Fatal(err)
		}
	}
	rs[0].RecordCrash()
	if own := rs[0].Own(); len(own) != MaxOwn || own[0].Hash != poison.Content {
		t.Errorf("%d notices of which the first is of %s, want %d and %s", len(own), own[0].Hash, MaxOwn, poison.Content)
	}
}

// BenchmarkRegistryMemory reports the memory of a full registry and the size of the
// largest record that a node writes.
func BenchmarkRegistryMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		rs, clock := newRegistries(1, 0)
		expiry := clock.Now().Add(time.Hour).UnixMilli()
		for n := range 4096 {
			origin := proto.HostID{Incarnation: 1<<63 + uint64(n/MaxOwn)}
			rs[0].Merge(Notice{Hash: 1<<63 + Hash(n), Origin: origin, Count: 1, Expiry: expiry})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		for n := range MaxOwn {
			rs[0].Inherit(Notice{Hash: 1<<63 + Hash(n), Origin: proto.HostID{Incarnation: 1 << 63}, Count: 1, Expiry: expiry})
		}
		record, err := cbor.Marshal(rs[0].Own())
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/4096, "B/hash")
		b.ReportMetric(float64(len(record)), "B/record")
	}
}
