package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/emul"
	"burdocklift/fleet"
	"burdocklift/place"
	"burdocklift/span"
	"burdocklift/store"
)

// evacuationTime is the time from the acknowledgement of an evacuation until no target gets
// anything more.
const evacuationTime = 5 * time.Second

// withdraw removes the record of an evacuation.
func (w *site) withdraw(t *testing.T, dataCentre string) {
	t.Helper()
	if _, err := w.ledger.Client("operator").Commit(w.ctx, store.Txn{Deletes: []string{evacuate + dataCentre}}); err != nil {
		t.Fatal(err)
	}
}

func (w *site) views() map[string]*fleet.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	views := make(map[string]*fleet.View, len(w.nodes))
	for name, n := range w.nodes {
		views[name] = n.fleet.View()
	}
	return views
}

// assertClosed fails for each node that would send work to targets of a data centre, or would
// not, against what is wanted.
func assertClosed(t *testing.T, w *site, dataCentre string, want bool) {
	t.Helper()
	for name, v := range w.views() {
		d := v.Policy().Check(place.Work{Bound: true}, place.Target{DataCentre: dataCentre}, w.clock.Elapsed())
		if closed := d == place.Evacuated; closed != want {
			t.Errorf("%s sends nothing to %s: %v, want %v", name, dataCentre, closed, want)
		}
	}
}

// assertEvacuated fails if nodes still send work to targets of a data centre after the time that
// an evacuation may take, or if these still own keys.
func assertEvacuated(t *testing.T, w *site, dataCentre, owners string) {
	t.Helper()
	assertClosed(t, w, dataCentre, true)
	assertOwnersIn(t, w, owners)
	assertAllHeld(t, w)
}

// assertUnknownCold fails if other targets than those of some data centres, named by letters,
// count as cold until a heartbeat says otherwise, or if these do not.
func assertUnknownCold(t *testing.T, w *site, dataCentres string) {
	t.Helper()
	now := w.clock.Elapsed()
	for name, v := range w.views() {
		if cold := v.Cold(now).Until-now > time.Hour; cold != strings.Contains(dataCentres, name[:1]) {
			t.Errorf("target of %s counts as cold: %v", name, cold)
		}
	}
}

// Guards against targets of an evacuated data centre that own keys or get work after the time
// that operators rely on, against a second owner, and against an evacuation that doesn't end.
func TestEvacuation(t *testing.T) {
	t.Run("one data centre", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put("rules", []byte{2, 15})
			w.ledger.Put(evacuate+"dc-a", nil) // the planning node is there
			time.Sleep(evacuationTime)
			assertEvacuated(t, w, "dc-a", "bc")
			assertUnknownCold(t, w, "")
			w.withdraw(t, "dc-a")
			time.Sleep(200 * time.Millisecond)
			assertUnknownCold(t, w, "a")
			time.Sleep(1300 * time.Millisecond)
			assertClosed(t, w, "dc-a", false)
			assertUnknownCold(t, w, "")
		})
	})
	t.Run("two data centres, the second one after the keys have moved there", func(t *testing.T) {
		for _, after := range []time.Duration{0, 700 * time.Millisecond, 4 * time.Second} {
			onSite(t, func(w *site) {
				w.ledger.Put(evacuate+"dc-a", nil)
				time.Sleep(after)
				w.ledger.Put(evacuate+"dc-c", nil)
				time.Sleep(evacuationTime)
				assertEvacuated(t, w, "dc-a", "b")
				assertClosed(t, w, "dc-c", true)
			})
		}
	})
	t.Run("all data centres", func(t *testing.T) {
		onSite(t, func(w *site) {
			for _, dc := range []string{"dc-a", "dc-b", "dc-c"} {
				w.ledger.Put(evacuate+dc, nil)
				time.Sleep(time.Second)
			}
			time.Sleep(evacuationTime)
			assertClosed(t, w, "dc-b", true)
			assertAllHeld(t, w) // the last ones stay
		})
	})
	t.Run("the only data centre in the regions of the routes", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put("rules", []byte{2, 'c'})
			time.Sleep(4 * time.Second)
			w.ledger.Put(evacuate+"dc-c", nil)
			time.Sleep(evacuationTime)
			assertEvacuated(t, w, "dc-c", "c")
		})
	})
	t.Run("planning node lost", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put(evacuate+"dc-c", nil)
			time.Sleep(100 * time.Millisecond)
			w.killNode("a1")
			w.crashTarget("a1")
			time.Sleep(10 * time.Second)
			assertEvacuated(t, w, "dc-c", "ab")
		})
	})
	t.Run("leases lapse", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put(evacuate+"dc-a", nil)
			time.Sleep(evacuationTime)
			w.ledger.Lapse() // each node lists the records of this system
			time.Sleep(3 * time.Second)
			assertEvacuated(t, w, "dc-a", "bc")
		})
	})
	t.Run("withdrawn while nodes list all records", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put(evacuate+"dc-a", nil)
			time.Sleep(evacuationTime)
			w.setFaults(func(f *emul.LedgerFaults) {
				f.Silent = map[string]bool{"a1": true, "a2": true, "b1": true, "b2": true, "c1": true}
			})
			time.Sleep(2 * time.Second)
			w.withdraw(t, "dc-a")
			w.ledger.Compact()
			w.setFaults(func(f *emul.LedgerFaults) { f.Silent = nil })
			time.Sleep(4 * time.Second)
			assertClosed(t, w, "dc-a", false)
		})
	})
}

// Guards against keys that have not moved when the targets of an evacuated data centre get
// nothing more, so that requests for them are refused although there are other targets.
func TestKeysMoveBeforeTargetsClose(t *testing.T) {
	var names []string
	for _, dc := range []string{"a", "b", "c", "d"} {
		for i := range 5 {
			names = append(names, fmt.Sprint(dc, i+1))
		}
	}
	for _, dc := range []string{"a", "d"} {
		onHosts(t, names, func(w *site) {
			start := time.Now()
			w.ledger.Put(evacuate+"dc-"+dc, nil)
			owned := func() bool {
				for node := range w.node("b1").View().KeyOwners() {
					if strings.HasPrefix(node, dc) {
						return true
					}
				}
				return false
			}
			for owned() || w.heldKeys() <= span.MaxKey {
				if time.Since(start) > 2500*time.Millisecond {
					t.Fatalf("keys are owned in dc-%s: %v, and %d are held, after %v", dc, owned(), w.heldKeys(), time.Since(start))
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Logf("keys of dc-%s are held elsewhere after %v", dc, time.Since(start))
			assertClosed(t, w, "dc-"+dc, false)
		})
	}
}

// Guards against nodes that the store does not answer, and which therefore go on sending work
// to an evacuated data centre, and against keys that stay there.
func TestEvacuationWhileStoreAnswersSome(t *testing.T) {
	for name, silent := range map[string][]string{
		"not the evacuated ones": {"a1", "a2"}, "not the planning node and a relay": {"a1", "b1"}, "one data centre": {"b1", "b2", "c1"},
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(w *site) {
				w.setFaults(func(f *emul.LedgerFaults) {
					f.Silent = make(map[string]bool)
					for _, n := range silent {
						f.Silent[n] = true
					}
				})
				w.ledger.Put(evacuate+"dc-a", nil)
				time.Sleep(evacuationTime)
				assertClosed(t, w, "dc-a", true)
				assertOwnersIn(t, w, "bc")
			})
		})
	}
}

// Guards against a node that starts during an evacuation and lets its target, or others of the
// data centre, get work as if it had just begun.
func TestStartDuringEvacuation(t *testing.T) {
	onSite(t, func(w *site) {
		w.ledger.Put(evacuate+"dc-a", nil)
		time.Sleep(evacuationTime)
		w.killNode("a2")
		w.killNode("c1")
		w.startNode("a2")
		w.startNode("c1")
		for range 100 {
			for name, v := range w.views() {
				d := v.Policy().Check(place.Work{Bound: true}, place.Target{DataCentre: "dc-a"}, w.clock.Elapsed())
				if v.Rules() != nil && d != place.Evacuated {
					t.Fatalf("%s has rules and sends work to dc-a", name)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.startNode("a3")
		w.startTarget("a3")
		time.Sleep(4 * time.Second)
		assertEvacuated(t, w, "dc-a", "bc")
	})
}

// Guards against an evacuation that begins anew, so that targets get work once more, when its
// record is written again.
func TestEvacuationWrittenAgain(t *testing.T) {
	onSite(t, func(w *site) {
		w.ledger.Put(evacuate+"dc-a", nil)
		time.Sleep(evacuationTime)
		before := w.node("b1").View().Policy().Evacuations()["dc-a"]
		for range 30 {
			w.ledger.Put(evacuate+"dc-a", []byte("again"))
			time.Sleep(100 * time.Millisecond)
			assertClosed(t, w, "dc-a", true)
		}
		if after := w.node("b1").View().Policy().Evacuations()["dc-a"]; after != before {
			t.Errorf("evacuation is %+v after its record was written again, want %+v", after, before)
		}
	})
}

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// Guards against evacuations that leave no trace in the log.
func TestEvacuationIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var log lines
		w := newSiteWithLog(ctx, t, []string{"a1", "a2"}, slog.NewTextHandler(&log, nil))
		defer w.stop()
		time.Sleep(6 * time.Second)
		w.ledger.Put(evacuate+"dc-a", nil)
		time.Sleep(evacuationTime)
		w.withdraw(t, "dc-a")
		time.Sleep(time.Second)
		for message, want := range map[string]int{"evacuation began": 2, "evacuation ended": 2, "keys not evacuated": 1} {
			if n := log.count(fmt.Sprintf("msg=%q", message)); n != want {
				t.Errorf("%d lines %q, want %d", n, message, want)
			}
		}
	})
}
