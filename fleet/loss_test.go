package fleet_test

import (
	"testing"
	"time"

	"burdocklift/emul"
	"burdocklift/span"
)

// takeoverTime bounds how long keys are without a holder after the loss of their
// host: 2 s to notice it, 2.8 s until its right has certainly ended, a write and
// a heartbeat of the new owner.
const takeoverTime = 6500 * time.Millisecond

// Guards against keys that move when all nodes are killed and start again while
// their targets run on: the planning node took nodes that had not heard from their
// targets yet for nodes without one, and a lost node for the only one with one.
func TestAllNodesKilled(t *testing.T) {
	inWorld(t, func(w *world) {
		for _, h := range hosts { // heartbeats at different moments
			time.Sleep(beatTime + beatTime/time.Duration(len(hosts)))
			w.crash(h)
			w.startTarget(h)
		}
		time.Sleep(3 * time.Second)
		lost, rest := hosts[0], hosts[1:]
		for _, h := range rest { // calls to the lost host are not answered
			w.net.Cut(lost, h, true)
		}
		w.killNode(lost)
		w.crash(lost)
		kept := w.held()
		for _, h := range rest {
			w.killNode(h)
		}
		time.Sleep(600 * time.Millisecond)
		for _, h := range rest {
			w.startNode(h)
		}
		time.Sleep(100 * time.Millisecond)
		// The nodes' records keep saying that there is no target.
		w.setFaults(func(f *emul.LedgerFaults) { f.Down = true })
		w.later(beatTime, func() { w.setFaults(func(f *emul.LedgerFaults) { f.Down = false }) })
		time.Sleep(2 * beatTime)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if n := w.held(); n < kept {
				t.Errorf("%v: %d keys are held, %d were before", w.clock.Elapsed(), n, kept)
				return
			}
		}
	})
}

// Guards against keys that wait for the right of a lost host for as long as an
// outage of the store may last, as its witnesses are lost as well and can refuse
// nothing. Their own rights have ended.
func TestWitnessesLost(t *testing.T) {
	inWorld(t, func(w *world) {
		m, ok := w.node("b2").View().Member("c1")
		if !ok || len(m.Witnesses) < 3 {
			t.Fatalf("witnesses of c1 are %v", m.Witnesses)
		}
		for _, witness := range m.Witnesses[:2] {
			w.killNode(witness.Name)
			w.crash(witness.Name)
		}
		time.Sleep(2 * time.Second) // before c1 takes other witnesses
		w.killNode("c1")
		w.crash("c1")
		assertUnheldFor(t, w, takeoverTime+3*time.Second) // c1 is waited for after its witnesses
	})
}

// Guards against keys of a lost host that are served again only after a wait that
// begins when they have moved.
func TestTakeoverTime(t *testing.T) {
	for _, host := range []string{"a1", "b1", "c1"} { // a1 plans
		t.Run(host, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.killNode(host)
				w.crash(host)
				limit := takeoverTime
				if host == "a1" {
					limit += time.Second // until another node plans
				}
				assertUnheldFor(t, w, limit)
			})
		})
	}
}

// Guards against the loss of a host that the planning node alone does not reach:
// it goes on serving, as all others reach it.
func TestUnreachedByPlanner(t *testing.T) {
	inWorld(t, func(w *world) {
		w.net.Cut("a1", "c1", true)
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			if n := w.held(); n < span.MaxKey/2 {
				t.Errorf("%d keys are held", n)
				return
			}
		}
		w.net.Cut("a1", "c1", false)
		time.Sleep(4 * time.Second)
		assertAllHeld(t, w)
	})
}
