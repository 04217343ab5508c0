package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// killAll ends all nodes without a graceful stop. The targets go on.
func (w *site) killAll() {
	for _, h := range hosts {
		w.killNode(h)
	}
}

// startMissing starts all nodes that do not run.
func (w *site) startMissing() {
	w.starting.Lock()
	defer w.starting.Unlock()
	for _, h := range hosts {
		if w.node(h) == nil {
			w.startNode(h)
		}
	}
}

// moveKeys makes a target give its keys to others, and lets it get keys again.
func (w *site) moveKeys(host string) {
	w.leave(host)
	time.Sleep(2500 * time.Millisecond)
	w.mu.Lock()
	w.targets[host].leaving = false
	w.mu.Unlock()
}

// playSeries moves keys, and brings the store back some times from a copy from before all of
// that, each time after further moves. All nodes are killed before the first return, before
// the others, or after the last one.
func playSeries(w *site, returns int, before, between, after bool) {
	began := w.clock.Elapsed()
	w.moveKeys("a2")
	for i := range returns {
		killed := i == 0 && before || i > 0 && between
		if killed {
			w.killAll()
		}
		w.restore(w.clock.Elapsed() - began + time.Second)
		if killed {
			time.Sleep(4 * time.Second) // the holds of all targets end
			w.startMissing()
			time.Sleep(3 * time.Second)
		}
		time.Sleep(time.Second)
		w.moveKeys(hosts[2+i%3])
	}
	if after {
		w.killAll()
		time.Sleep(4 * time.Second)
		w.startMissing()
	}
}

// Guards against epochs that are given out again when the store goes back more than once, each
// time to before the last return, and nobody remembers what came after it: all nodes are
// killed before, between or after the returns.
func TestEpochsRiseOverSeriesOfRestores(t *testing.T) {
	for _, era := range firstEras {
		for kills := range 8 {
			for returns := 1; returns <= 3; returns++ {
				t.Run(fmt.Sprintf("from era %d, kills %03b, %d returns", era, kills, returns), func(t *testing.T) {
					onSiteFromEra(t, era, func(w *site) {
						playSeries(w, returns, kills&1 != 0, kills&2 != 0, kills&4 != 0)
						time.Sleep(restoreHeldWithin)
						assertAllHeld(t, w)
					})
				})
			}
		}
	}
}

// firstEras are those in which the store begins: it names none before its first restore, names
// them from the start, or was restored before the site began.
var firstEras = []uint64{0, 1, 7}

// Guards against epochs that are given out again, and keys with two holders, when the store
// goes back several times within seconds, all nodes are killed in between and heartbeats
// arrive late.
func TestRandomSeriesOfRestores(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			onSiteFromEra(t, firstEras[seed%3], func(w *site) {
				r := rand.New(rand.NewPCG(seed, 3))
				late := rand.New(rand.NewPCG(seed, 4)) // used under the lock of the site
				w.mu.Lock()
				w.heartbeatDelay = func() time.Duration {
					if late.IntN(8) > 0 {
						return 0
					}
					return randomSeconds(late, 0.1, 4)
				}
				w.mu.Unlock()
				for range 2 + r.IntN(4) {
					w.moveKeys(hosts[r.IntN(len(hosts))])
					for range 1 + r.IntN(5) {
						if r.IntN(3) == 0 {
							w.killAll()
							w.after(randomSeconds(r, 0.1, 5), w.startMissing)
						}
						w.restore(randomSeconds(r, 0.2, 12))
						time.Sleep(randomSeconds(r, 0.1, 2))
					}
					time.Sleep(randomSeconds(r, 0.1, 10))
				}
				w.mu.Lock()
				w.heartbeatDelay = nil
				w.mu.Unlock()
				time.Sleep(5 * time.Second)
				w.startMissing()
				time.Sleep(restoreHeldWithin)
				assertAllHeld(t, w)
			})
		})
	}
}
