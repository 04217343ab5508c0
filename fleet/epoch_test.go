package fleet

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/rules"
	"burdocklift/span"
	"burdocklift/store"
)

// Guards against epochs of two eras that overlap, that a target can't represent exactly as a
// floating point number, or that rise in a store that was never restored.
func TestEpochsOfEras(t *testing.T) {
	for era, want := range map[uint64]uint64{
		0: 0, store.FirstEra: 0, 2: 1<<32 - 1, 3: 2<<32 - 1, maxEpochEras + 1: maxEpochEras<<32 - 1, maxEpochEras + 2: maxEpochEras<<32 - 1, 1 << 62: maxEpochEras<<32 - 1,
	} {
		if got := lastEpochBefore(era); got != want {
			t.Errorf("last epoch before era %d is %d, want %d", era, got, want)
		}
		if n := lastEpochBefore(era); uint64(float64(n)) != n || uint64(float64(n+epochGap)) != n+epochGap {
			t.Errorf("epochs of era %d from %d on are not exact as floating point numbers", era, n)
		}
	}
}

// inSteps runs a test with a fleet whose steps run at once.
func inSteps(t *testing.T, test func(t *testing.T, f *Fleet)) {
	t.Helper()
	inBubble(t, func(t *testing.T, f *Fleet) {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for s := range f.steps {
				s.run(f.cfg.Clock.Elapsed())
			}
		}()
		test(t, f)
		close(f.steps)
		<-ended
	})
}

// Guards against epochs of an earlier era that are issued in the present one, after a node of
// a version that does not reserve epochs has written the ranges.
func TestEpochsAfterEarlierVersion(t *testing.T) {
	inBubble(t, func(t *testing.T, f *Fleet) {
		set, err := rules.New(1, rules.Limits{}, nil, []rules.Service{{Name: "desk", Sharded: true}})
		if err != nil {
			t.Fatal(err)
		}
		f.enterEra(4, 0)
		f.rules, f.synced = set, true
		f.planner.leads.Store(true)
		f.planner.reloaded = true
		earlier := span.Incarnation{Target: "t", StartedAt: 1}
		later := Target{Incarnation: span.Incarnation{Target: "t", StartedAt: 2}, Service: "desk", Slots: 1}
		f.ranges = map[string]span.Map{"desk": {
			NextEpoch: 1<<20 + 7, Era: 4, Ranges: []span.Range{{To: span.MaxKey, Epoch: 1<<20 + 6, Owner: earlier, Node: "m"}},
		}}
		f.eras.stored["desk"] = 4
		f.members = map[string]Member{"m": {Name: "m", Address: "m", Era: 4, Target: &later}}
		txn, reason := f.rangesTxn(0)
		if len(txn.Writes) != 1 {
			t.Fatalf("no write, reason %q", reason)
		}
		m, err := span.Decode(txn.Writes[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		if r, _ := m.Find(0); r.Epoch <= lastEpochBefore(4) || r.Owner != later.Incarnation {
			t.Errorf("owner is %v with epoch %d, want %v above %d", r.Owner, r.Epoch, later.Incarnation, lastEpochBefore(4))
		}
	})
}

// Guards against a release of an earlier era that arrives late and counts for restored ranges,
// whose owner may hold the keys again.
func TestReleaseOfEarlierEra(t *testing.T) {
	set, err := rules.New(1, rules.Limits{}, nil, []rules.Service{{Name: "desk", Sharded: true}})
	if err != nil {
		t.Fatal(err)
	}
	for era, want := range map[uint64]int{0: 1, 2: 0, 3: 1} { // nodes of the version before name none
		t.Run(fmt.Sprint("era ", era), func(t *testing.T) {
			inSteps(t, func(t *testing.T, f *Fleet) {
				f.rules = set
				f.enterEra(3, 0)
				body, err := cbor.Marshal(releaseRequest{Releases: map[string][]span.Release{"desk": {{To: 9, Epoch: 1}}}, Era: era})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := f.handleReleases(t.Context(), body); err != nil {
					t.Fatal(err)
				}
				if n := len(f.releases.fromPeers["desk"]); n != want {
					t.Errorf("%d releases are kept, want %d", n, want)
				}
			})
		})
	}
}
