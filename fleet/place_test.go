package fleet_test

import (
	"strings"
	"testing"
	"time"
)

// assertOwnersIn fails for each range with an owner outside some data centres, by the first
// letters of their names.
func assertOwnersIn(t *testing.T, w *site, allowed string) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		for key := 0; key <= 65535; {
			r, _, ok := n.fleet.View().Owner(desk, key)
			if !ok {
				t.Fatalf("%s knows no owner of key %d", n.name, key)
			}
			if !strings.Contains(allowed, r.Node[:1]) {
				t.Fatalf("%s knows %s as the owner of keys %d to %d, want owners in %s", n.name, r.Node, r.From, r.To, allowed)
			}
			key = r.To + 1
		}
	}
}

// Guards against keys with owners outside the regions of the routes that lead to their
// service, after a change of the rules, after a loss and after a start.
func TestOwnersInRegions(t *testing.T) {
	for name, c := range map[string]struct{ regions, allowed string }{
		"one route":                {"a", "a"},
		"intersection":             {"abc|bca|b", "b"},
		"nothing in common":        {"a|b", "abc"},
		"region without a target":  {"x", "abc"}, // the keys stay, and requests are refused
		"more than one allowed":    {"ac", "ac"},
		"all regions by two lists": {"abc|cab", "abc"},
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(w *site) {
				w.ledger.Put("rules", append([]byte{2}, c.regions...))
				time.Sleep(4 * time.Second)
				assertOwnersIn(t, w, c.allowed)
				assertAllHeld(t, w)
			})
		})
	}
	t.Run("takeover", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put("rules", append([]byte{2}, "ab"...))
			time.Sleep(4 * time.Second)
			w.killNode("b1")
			w.crashTarget("b1")
			time.Sleep(8 * time.Second)
			assertOwnersIn(t, w, "ab")
			assertAllHeld(t, w)
		})
	})
	t.Run("new target", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put("rules", append([]byte{2}, "ab"...))
			w.startNode("c2")
			w.startTarget("c2")
			time.Sleep(8 * time.Second)
			assertOwnersIn(t, w, "ab")
		})
	})
	t.Run("restriction ends", func(t *testing.T) {
		onSite(t, func(w *site) {
			w.ledger.Put("rules", append([]byte{2}, "a"...))
			time.Sleep(4 * time.Second)
			w.ledger.Put("rules", []byte{3})
			time.Sleep(4 * time.Second)
			assertOwnersIn(t, w, "abc")
			assertAllHeld(t, w)
		})
	})
}
