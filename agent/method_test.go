package agent

import (
	"testing"

	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/relay"
	"burdocklift/serve"
)

// Guards against two packages with the same number for a call between nodes: the handler that
// is set last would get the calls of both.
func TestMethodsAreDistinct(t *testing.T) {
	seen := make(map[peer.Method]bool)
	for _, m := range []peer.Method{
		fleet.MethodReport, fleet.MethodChanges, fleet.MethodConfirm, fleet.MethodRefuse, fleet.MethodCopy, fleet.MethodReleases,
		fleet.MethodResign, fleet.MethodGather, relay.Method, serve.MethodServe, serve.MethodServeTerse, serve.MethodNotice,
	} {
		if seen[m] {
			t.Errorf("method %d is used twice", m)
		}
		seen[m] = true
	}
}
