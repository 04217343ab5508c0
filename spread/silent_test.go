package spread

import (
	"testing"
	"time"

	"burdocklift/proto"
)

// Guards against documents that reach no node because the store leaves the relays of all
// data centres without an answer.
func TestStoreSilentToRelays(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, seed, 60, 4)
		f.write(proto.KeyRules, rules(1, "0s"))
		f.run(10 * time.Second)
		for i, p := range f.nodes {
			p.silent = p.engine.Relay() || i%2 == 0
		}
		f.write(proto.KeyRules, rules(2, "0s"))
		took := f.until(20*time.Second, func() bool { return f.everywhere(proto.KeyRules) })
		if took > propagationLimit {
			t.Errorf("seed %d: rules reached all nodes after %v, want %v", seed, took, propagationLimit)
		}
		t.Logf("seed %d: %v", seed, took)
	}
}
