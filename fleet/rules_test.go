package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdocklift/emul"
)

// assertRulesWithin fails for each node that does not have the rules of a version in time.
func assertRulesWithin(t *testing.T, w *site, version uint64, limit time.Duration) {
	t.Helper()
	time.Sleep(limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, n := range w.nodes {
		if v := n.fleet.View().Rules(); v == nil || v.Version() != version {
			t.Errorf("%s has other rules than version %d %v after the change", name, version, limit)
		}
	}
}

// Guards against rules that are late everywhere because the store leaves the relays of all
// data centres, and the nodes next in order, without an answer.
func TestRulesWhileStoreIsSilentToRelays(t *testing.T) {
	var names []string
	silent := make(map[string]bool)
	for _, dc := range []string{"a", "b", "c"} {
		for i := range 6 {
			names = append(names, fmt.Sprint(dc, i+1))
			silent[fmt.Sprint(dc, i+1)] = i < 3
		}
	}
	for _, ago := range []time.Duration{0, 250 * time.Millisecond, 540 * time.Millisecond, time.Second, 3 * time.Second} {
		for name, size := range map[string]int{"short": 1, "long": 300_000} {
			t.Run(fmt.Sprintf("silent for %v, %s list of routes", ago, name), func(t *testing.T) {
				onHosts(t, names, func(w *site) {
					w.setFaults(func(f *emul.LedgerFaults) { f.Silent = silent })
					time.Sleep(ago)
					w.ledger.Put("rules", append([]byte{2}, make([]byte, size-1)...))
					assertRulesWithin(t, w, 2, 2*time.Second)
				})
			})
		}
	}
}

// Guards against rules that are late while the store leaves random halves of the nodes
// without an answer or refuses them, one half after the other.
func TestRulesWhileStoreFailsHalf(t *testing.T) {
	var names []string
	for _, dc := range []string{"a", "b", "c", "d"} {
		for i := range 5 {
			names = append(names, fmt.Sprint(dc, i+1))
		}
	}
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			onHosts(t, names, func(w *site) {
				r := rand.New(rand.NewPCG(seed, 0))
				for version := byte(2); version < 8; version++ {
					half := make(map[string]bool)
					for _, i := range r.Perm(len(names))[:len(names)/2] {
						half[names[i]] = true
					}
					w.setFaults(func(f *emul.LedgerFaults) {
						f.Silent, f.Turned = half, nil
						if r.IntN(3) == 0 {
							f.Silent, f.Turned = nil, half
						}
					})
					time.Sleep(randomSeconds(r, 0, 2))
					w.ledger.Put("rules", []byte{version})
					assertRulesWithin(t, w, uint64(version), 2*time.Second)
				}
			})
		})
	}
}

// Guards against nodes that copy records from data centres that know no more than they do.
func TestRulesWhereStoreAnswersOneDataCentre(t *testing.T) {
	var names []string
	silent := make(map[string]bool)
	for dc := range 9 {
		for i := range 2 {
			name := fmt.Sprintf("%c%d", 'a'+dc, i+1)
			names = append(names, name)
			silent[name] = dc != 4
		}
	}
	onHosts(t, names, func(w *site) {
		w.setFaults(func(f *emul.LedgerFaults) { f.Silent = silent })
		time.Sleep(3 * time.Second)
		for version := byte(2); version < 8; version++ {
			w.ledger.Put("rules", []byte{version})
			assertRulesWithin(t, w, uint64(version), 2*time.Second)
			time.Sleep(330 * time.Millisecond)
		}
	})
}

// Guards against long lists of routes that each node reads from the store, whose link to
// the other regions is narrow.
func TestLongRulesAreReadByFewNodes(t *testing.T) {
	var names []string
	for _, dc := range []string{"a", "b"} {
		for i := range 8 {
			names = append(names, fmt.Sprint(dc, i+1))
		}
	}
	onHosts(t, names, func(w *site) {
		before := w.ledger.BytesRead("rules")
		size := 300_000
		w.ledger.Put("rules", append([]byte{2}, make([]byte, size-1)...))
		assertRulesWithin(t, w, 2, 2*time.Second)
		if read := w.ledger.BytesRead("rules") - before; read > 3*size {
			t.Errorf("%d bytes of rules of %d bytes were read from the store, want at most one read for each data centre and one by the planning node", read, size)
		}
	})
}
