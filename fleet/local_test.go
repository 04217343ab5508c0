package fleet

import (
	"slices"
	"testing"
	"time"

	"burdocklift/span"
)

// Guards against a release that is recorded after its keys were granted to the target
// again. When they moved on, the next owner held them at the same time as the target.
func TestGrantEndsRelease(t *testing.T) {
	inc := span.Incarnation{Target: "t", StartedAt: 1}
	heartbeat := func(sequence uint64, released ...ReleasedRange) Heartbeat {
		return Heartbeat{Target: Target{Incarnation: inc}, Sequence: sequence, Released: released}
	}
	m := span.Map{NextEpoch: 3, Ranges: []span.Range{
		{From: 0, To: 39, Epoch: 1, Owner: span.Incarnation{Target: "other"}, Node: "m"},
		{From: 40, To: 59, Epoch: 2, Owner: inc, Node: "n"},
		{From: 60, To: span.MaxKey, Epoch: 1, Owner: span.Incarnation{Target: "other"}, Node: "m"},
	}}
	var l localTarget
	l.receive(heartbeat(1, ReleasedRange{From: 10, To: 99, Token: "token"}, ReleasedRange{From: 50, To: 59, Token: "inside"}), time.Second)
	l.reply(m, "n", time.Minute, time.Second)
	want := []pendingRelease{{inc, 10, 39, "token"}, {inc, 60, 99, "token"}}
	if !slices.Equal(l.pending, want) {
		t.Errorf("pending releases are %v, want %v", l.pending, want)
	}
}
