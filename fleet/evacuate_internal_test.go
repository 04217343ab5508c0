package fleet

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/peer"
	"burdocklift/place"
	"burdocklift/store"
)

const evacuatedKey = "evacuate/dc"

// inBubble runs a test with a fleet whose loop does not run.
func inBubble(t *testing.T, test func(t *testing.T, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewBubble()
		test(t, New(Config{
			Name: "n", Address: "n", DataCentre: "dc", Store: emul.NewLedger(0).Client("n"), Peers: peer.New(c), Clock: c,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), RulesKey: "rules", EvacuationPrefix: "evacuate/",
		}))
	})
}

func assertInForce(t *testing.T, f *Fleet, want bool) {
	t.Helper()
	if _, ok := f.View().Policy().Evacuations()["dc"]; ok != want {
		t.Errorf("evacuation is in force: %v, want %v", ok, want)
	}
}

// Guards against an evacuation that ends because of a listing that can't have its record: one of
// other keys only, or one of a store that was restored from an older copy.
func TestListingsKeepEvacuation(t *testing.T) {
	inBubble(t, func(t *testing.T, f *Fleet) {
		f.applyChanges([]store.Item{{Key: evacuatedKey, Rev: 90}}, 100, fromWatch)
		f.applyListing(nil, prefixOwn, 110)
		assertInForce(t, f, true)
		f.applyListing(nil, "", 80)
		assertInForce(t, f, true)
		f.applyListing([]store.Item{{Key: evacuatedKey, Rev: 85}}, "", 95) // the operator has written it again
		assertInForce(t, f, true)
		f.applyListing(nil, "", 120)
		assertInForce(t, f, false)
	})
}

// Guards against targets that get work for longer than the evacuation may take since the node
// learns of it late, and against a gate that closes before keys can move.
func TestEvacuationClosesInTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		synced     bool
		age, limit time.Duration
		want       time.Duration
	}{
		{"usual", true, time.Second, 5 * time.Second, 2500 * time.Millisecond},
		{"default", true, time.Second, 0, 2500 * time.Millisecond},
		{"no answer of the store for 3 s", true, 3 * time.Second, 5 * time.Second, 1500 * time.Millisecond},
		{"no answer of the store for a minute", true, time.Minute, 5 * time.Second, 0},
		{"short time", true, 0, 2 * time.Second, time.Second},
		{"first records", false, 0, 5 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *Fleet) {
				time.Sleep(time.Hour)
				now := f.cfg.Clock.Elapsed()
				f.synced, f.cfg.EvacuationTime = c.synced, c.limit
				f.freshness.confirm(now - c.age)
				f.applyChanges([]store.Item{{Key: evacuatedKey, Rev: 90}}, 100, fromWatch)
				if got := f.policy.Evacuations()["dc"].ClosesAt - now; got != c.want {
					t.Errorf("closes after %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against invalid keys of operators that end a node's loop or evacuate everything.
func TestEvacuationOfNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, f *Fleet) {
		f.applyChanges([]store.Item{{Key: "evacuate/", Rev: 90}, {Key: "evacuate/x/y", Rev: 91}, {Key: "evacuate/x", Rev: 92, Removed: true}}, 100, fromWatch)
		if d := f.View().Policy().Check(place.Work{}, place.Target{DataCentre: "dc"}, time.Hour); d != place.Allowed {
			t.Errorf("denial is %v, want none", d)
		}
	})
}

// Guards against nodes of this version that miss an evacuation because a node of an earlier
// version, which does not read its record, passes changes on to them.
func TestEvacuationBehindEarlierRelay(t *testing.T) {
	inBubble(t, func(t *testing.T, f *Fleet) {
		f.mustReload.Store(false)
		f.replyVersions["old"], f.replyVersions["new"] = 1, evacuationVersion
		for _, c := range []struct {
			relay   string
			watches bool
		}{{"new", false}, {"old", true}, {"new", false}, {"n", false}} {
			f.setWatchesAlone(c.relay)
			if f.watches() != c.watches || f.mustReload.Swap(false) != c.watches {
				t.Errorf("node watches the store: %v behind the relay %s, want %v after a listing", f.watches(), c.relay, c.watches)
			}
		}
		f.setWatchesAlone("old")
		runStep := func(call func() ([]byte, error)) {
			t.Helper()
			go func() { s := <-f.steps; s.run(f.cfg.Clock.Elapsed()) }()
			if _, err := call(); err != nil {
				t.Fatal(err)
			}
		}
		body, err := cbor.Marshal(changeSet{After: 0, Rev: 50})
		if err != nil {
			t.Fatal(err)
		}
		runStep(func() ([]byte, error) { return f.handleChanges(t.Context(), body) })
		if f.knownRev != 0 {
			t.Errorf("node takes all records up to %d for known", f.knownRev)
		}
	})
}

// Guards against records of evacuations for nodes of earlier versions, which log them as invalid.
func TestEarlierVersionGetsNoEvacuations(t *testing.T) {
	for version, want := range map[uint8]int{0: 0, 1: 0, evacuationVersion: 1} {
		inBubble(t, func(t *testing.T, f *Fleet) {
			f.applyChanges([]store.Item{{Key: evacuatedKey, Rev: 5}}, 5, fromWatch)
			f.versions["other"] = version
			if n, _ := f.changesFor("other", 1, 0); len(n.Items) != want {
				t.Errorf("node of version %d gets %d records, want %d", version, len(n.Items), want)
			}
			go func() { s := <-f.steps; s.run(f.cfg.Clock.Elapsed()) }()
			request, err := cbor.Marshal(copyRequest{After: 1, Version: version})
			if err != nil {
				t.Fatal(err)
			}
			body, err := f.handleCopy(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			var r copyReply
			if err := cbor.Unmarshal(body, &r); err != nil {
				t.Fatal(err)
			}
			if len(r.Items) != want || r.Version != protocolVersion {
				t.Errorf("copy for version %d has %d records and version %d, want %d and %d", version, len(r.Items), r.Version, want, protocolVersion)
			}
		})
	}
}
