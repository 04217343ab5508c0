package fleet_test

import (
	"testing"
	"time"

	"burdocklift/fleet"
	"burdocklift/span"
)

// ownedKey returns a key that the target beside a node owns.
func ownedKey(t *testing.T, w *site, node string) int {
	t.Helper()
	for key := 0; key <= span.MaxKey; key += 256 {
		if r, _, ok := w.node("a1").View().Owner(desk, key); ok && r.Node == node {
			return key
		}
	}
	t.Fatalf("target beside %s owns no keys", node)
	return 0
}

// Guards against a heartbeat from before a restart that arrives late: the restarted node
// would take it for the news that its target holds nothing, and let the next owner hold
// the keys at the same time.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	onSite(t, func(w *site) {
		key := ownedKey(t, w, "b1")
		if err := w.node("b1").BeginStop(w.ctx); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
			if r, _, _ := w.node("b1").View().Owner(desk, key); r.HasNextOwner() {
				break
			}
			if time.Now().After(deadline) {
				t.Fatal("keys of the stopping node got no next owner")
			}
		}
		w.mu.Lock()
		target := w.targets["b1"]
		target.silent = true
		held := len(target.holds) > 0 && w.clock.Elapsed() < target.holdUntil
		w.mu.Unlock()
		if !held {
			t.Fatal("target released its keys before the restart")
		}
		w.killNode("b1")
		w.startNode("b1")
		late := fleet.Heartbeat{Target: fleet.Target{Incarnation: target.inc, Service: desk, Slots: 12}, Sequence: 1}
		for range 3 {
			time.Sleep(50 * time.Millisecond)
			if _, err := w.node("b1").Heartbeat(w.ctx, late); err != nil {
				t.Fatal(err)
			}
			late.Sequence++
		}
		time.Sleep(3 * time.Second)
	})
}
