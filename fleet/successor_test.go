package fleet_test

import (
	"testing"
	"time"

	"burdocklift/fleet"
	"burdocklift/span"
)

// otherHeartbeat sends the node b1 a heartbeat of another program, which started later than
// the target beside the node.
func otherHeartbeat(t *testing.T, w *site, id string, sequence uint64, leaving bool) {
	t.Helper()
	hb := fleet.Heartbeat{
		Target:   fleet.Target{Incarnation: span.Incarnation{Target: id, StartedAt: 1 << 42}, Service: desk, Slots: 12, Leaving: leaving},
		Sequence: sequence,
	}
	reply, err := w.node("b1").Heartbeat(w.ctx, hb)
	if err != nil || len(reply.Grants) > 0 {
		t.Errorf("the other program is granted %v, error %v", reply.Grants, err)
	}
}

// Guards against a heartbeat of another program that ends the hold of the target beside the
// node: others got its keys while it still held them, and it got none any more.
func TestLaterIncarnationEndsNoHold(t *testing.T) {
	for name, c := range map[string]struct {
		id      string
		leaving bool
		times   int
	}{
		"once":                    {"other", false, 1},
		"once, leaving":           {"other", true, 1},
		"again and again":         {"other", false, 12},
		"under the same id":       {"target-b1", false, 12},
		"same id, leaving":        {"target-b1", true, 1},
		"again and again, leaves": {"other", true, 12},
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(w *site) {
				key := ownedKey(t, w, "b1")
				for i := 0; i < c.times && !t.Failed(); i++ {
					otherHeartbeat(t, w, c.id, uint64(i+1), c.leaving)
					assertHeldThroughout(t, w, time.Second)
				}
				assertHeldThroughout(t, w, 10*time.Second)
				if owner := w.ownerOf(key); owner != "b1" {
					t.Errorf("key %d belongs to %s, want b1", key, owner)
				}
			})
		})
	}
}

// Guards against a restarted target that waits for its keys longer than its earlier
// incarnation can have held them.
func TestRestartedTargetGetsItsKeys(t *testing.T) {
	for name, c := range map[string]struct {
		id          string
		down, bound time.Duration
		refuses     bool // connections, which the node notices
		keeps       bool // its keys, which go to others if it counts as lost
	}{
		"at once":                    {"target-b1", 0, 4 * time.Second, false, true},
		"at once, under another id":  {"other", 0, 4 * time.Second, false, true},
		"a second later":             {"other", time.Second, 3 * time.Second, false, true},
		"after a refused connection": {"other", 200 * time.Millisecond, 3 * time.Second, true, false},
		"after it counted as lost":   {"target-b1", 3 * time.Second, 3 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(w *site) {
				key := ownedKey(t, w, "b1")
				w.mu.Lock()
				inc := w.targets["b1"].inc
				w.mu.Unlock()
				w.crashTarget("b1")
				if c.refuses {
					if err := w.node("b1").MarkTargetEnded(w.ctx, inc); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(c.down)
				w.startTargetAs("b1", c.id)
				assertHeldWithin(t, w, c.bound)
				if owner := w.ownerOf(key); c.keeps && owner != "b1" {
					t.Errorf("key %d belongs to %s, want b1", key, owner)
				}
			})
		})
	}
}
