package fleet_test

import (
	"testing"
	"time"

	"burdocklift/emul"
	"burdocklift/span"
)

// takeoverTime bounds how long keys are without a holder after the loss of their host: 2 s
// to notice the loss, 2.8 s until the right has certainly ended, a write and a heartbeat
// of the new owner.
const takeoverTime = 6500 * time.Millisecond

// Guards against moves of keys when all nodes are killed and restart while their targets
// keep running. The planning node took nodes that had not received a heartbeat yet for
// nodes without a target, and a lost node for the only one with a target.
func TestAllNodesKilled(t *testing.T) {
	onSite(t, func(w *site) {
		for _, h := range hosts { // spreads the heartbeats over the interval
			time.Sleep(heartbeatInterval + heartbeatInterval/time.Duration(len(hosts)))
			w.crashTarget(h)
			w.startTarget(h)
		}
		time.Sleep(3 * time.Second)
		lost, rest := hosts[0], hosts[1:]
		for _, h := range rest { // calls to the lost host time out
			w.net.Cut(lost, h, true)
		}
		w.killNode(lost)
		w.crashTarget(lost)
		kept := w.heldKeys()
		for _, h := range rest {
			w.killNode(h)
		}
		time.Sleep(600 * time.Millisecond)
		for _, h := range rest {
			w.startNode(h)
		}
		time.Sleep(100 * time.Millisecond)
		// The nodes' records still have no target while the store is down.
		w.setFaults(func(f *emul.LedgerFaults) { f.Down = true })
		w.after(heartbeatInterval, func() { w.setFaults(func(f *emul.LedgerFaults) { f.Down = false }) })
		time.Sleep(2 * heartbeatInterval)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if n := w.heldKeys(); n < kept {
				t.Errorf("%v: %d keys are held, want at least the %d held before", w.clock.Elapsed(), n, kept)
				return
			}
		}
	})
}

// Guards against a takeover that waits for as long as an outage of the store may last,
// because the witnesses of the lost host are lost as well and cannot refuse. Their own
// rights have ended, which is enough.
func TestWitnessesLost(t *testing.T) {
	onSite(t, func(w *site) {
		m, ok := w.node("b2").View().Member("c1")
		if !ok || len(m.Witnesses) < 3 {
			t.Fatalf("witnesses of c1 are %v", m.Witnesses)
		}
		for _, witness := range m.Witnesses[:2] {
			w.killNode(witness.Name)
			w.crashTarget(witness.Name)
		}
		time.Sleep(2 * time.Second) // before c1 replaces its witnesses
		w.killNode("c1")
		w.crashTarget("c1")
		assertHeldWithin(t, w, takeoverTime+3*time.Second) // the right of c1 ends after those of its witnesses
	})
}

// Guards against a wait for the end of the lost host's right that begins only when its
// keys have moved.
func TestTakeoverTime(t *testing.T) {
	for _, host := range []string{"a1", "b1", "c1"} { // a1 is the planning node
		t.Run(host, func(t *testing.T) {
			onSite(t, func(w *site) {
				w.killNode(host)
				w.crashTarget(host)
				limit := takeoverTime
				if host == "a1" {
					limit += time.Second // until another node is the planning node
				}
				assertHeldWithin(t, w, limit)
			})
		})
	}
}

// Guards against treating a host as lost that only the planning node does not reach. All
// other nodes reach it, so it keeps serving.
func TestUnreachedByPlanner(t *testing.T) {
	onSite(t, func(w *site) {
		w.net.Cut("a1", "c1", true)
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			if n := w.heldKeys(); n < span.MaxKey/2 {
				t.Errorf("%d keys are held, want at least half", n)
				return
			}
		}
		w.net.Cut("a1", "c1", false)
		time.Sleep(4 * time.Second)
		assertAllHeld(t, w)
	})
}
