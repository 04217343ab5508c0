package fleet_test

import (
	"bytes"
	"testing"
	"time"

	"burdocklift/fleet"
	"burdocklift/span"
)

// countRecords returns how many versions of a node's record were written within a time.
func countRecords(w *site, node string, d time.Duration) int {
	key, writes := "burdocklift/node/"+node, 0
	last := w.ledger.Value(key)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := w.ledger.Value(key); !bytes.Equal(now, last) {
			writes, last = writes+1, now
		}
	}
	return writes
}

func assertRecordedCold(t *testing.T, w *site, observer, node string, want bool) {
	t.Helper()
	if m, _ := w.node(observer).View().Member(node); m.Target == nil || m.Target.Cold != want {
		t.Errorf("node %s reads the target %+v of %s, want cold %v", observer, m.Target, node, want)
	}
}

// coldLeft returns how long the target of a node still counts as cold.
func coldLeft(w *site, node string) time.Duration {
	now := w.clock.Elapsed()
	if c := w.node(node).View().Cold(now); c != (fleet.Cold{}) {
		return c.Until - now
	}
	return 0
}

// Guards against nodes that do not learn of a cold target, and against a write at each
// heartbeat of one.
func TestColdTargetRecorded(t *testing.T) {
	onSite(t, func(w *site) {
		w.ledger.Put("rules", []byte{2, 15})
		if n := countRecords(w, "b1", 3*time.Second); n != 0 {
			t.Errorf("%d writes of the record of a warm target, want none", n)
		}
		w.mu.Lock()
		w.targets["b1"].coldUntil = w.clock.Elapsed() + 4*time.Second
		w.mu.Unlock()
		writes := countRecords(w, "b1", 2*time.Second)
		assertRecordedCold(t, w, "a1", "b1", true)
		if left := coldLeft(w, "b1"); left < 1900*time.Millisecond || left > 2200*time.Millisecond {
			t.Errorf("target counts as cold for another %v, want about 2 s", left)
		}
		if c := w.node("b1").View().Cold(w.clock.Elapsed()); c.Pace != 22.5 || c.Bound != 30 {
			t.Errorf("limit is %+v, want 15 x 1.5 and 8 more in any second", c)
		}
		writes += countRecords(w, "b1", 4*time.Second)
		assertRecordedCold(t, w, "a1", "b1", false)
		if left := coldLeft(w, "b1"); left != 0 {
			t.Errorf("target counts as cold for another %v after its coldness", left)
		}
		if writes != 2 {
			t.Errorf("%d writes of the record of a target that was cold once, want 2", writes)
		}
	})
}

// Guards against a target that gets the requests of a warm one although its state is not
// known, after a refused connection and after the end of an evacuation, and against one that
// stays cold although its heartbeats say otherwise.
func TestUnknownColdness(t *testing.T) {
	onSite(t, func(w *site) {
		w.ledger.Put("rules", []byte{2, 15})
		time.Sleep(time.Second)
		if left := coldLeft(w, "b1"); left != 0 {
			t.Fatalf("warm target counts as cold for %v", left)
		}
		assertUnknown := func(event string, err error) {
			t.Helper()
			if left := coldLeft(w, "b1"); err != nil || left < time.Hour {
				t.Errorf("%s: target counts as cold for %v, want no known end; %v", event, left, err)
			}
		}
		assertUnknown("event", w.node("b1").ForgetColdness(w.ctx))
		time.Sleep(1500 * time.Millisecond) // heartbeats come every 0.87 s, and those of the first 0.3 s do not count
		if left := coldLeft(w, "b1"); left != 0 {
			t.Errorf("target counts as cold for %v after a heartbeat said otherwise", left)
		}
		inc := w.node("b1").View().Target().Incarnation
		w.crashTarget("b1")
		assertUnknown("refused connection", w.node("b1").MarkTargetEnded(w.ctx, inc))
		restarted := w.startTarget("b1")
		w.mu.Lock()
		restarted.coldUntil = w.clock.Elapsed() + 3*time.Second
		w.mu.Unlock()
		time.Sleep(time.Second)
		if left := coldLeft(w, "b1"); left < 1900*time.Millisecond || left > 2100*time.Millisecond {
			t.Errorf("restarted target counts as cold for %v, want 2 s", left)
		}
	})
}

// Guards against keys that stay with a cold target which tolerates a fraction of their load.
func TestKeysLeaveColdTarget(t *testing.T) {
	onSite(t, func(w *site) {
		w.ledger.Put("rules", []byte{2, 10})
		load := func() { // at 200 ms of each request, a warm target takes 60 in a second
			w.addLoad(0, span.MaxKey, 8*time.Second)
			for range 80 {
				for _, h := range hosts {
					w.node(h).RecordServiceTime(200 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		load()
		held := func() (keys int) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, k := range w.targets["b1"].holds {
				keys += k.To - k.From + 1
			}
			return keys
		}
		before := held()
		w.mu.Lock()
		w.targets["b1"].coldUntil = w.clock.Elapsed() + 20*time.Second
		w.mu.Unlock()
		load()
		if after := held(); after > before/2 {
			t.Errorf("cold target holds %d keys, and %d while it was warm", after, before)
		}
	})
}
