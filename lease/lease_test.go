package lease

import (
	"testing"
	"time"

	"burdocklift/proto"
)

var (
	holderA = proto.HostID{Name: "a", Incarnation: 7}
	witness = proto.HostID{Name: "w", Incarnation: 1}
	start   = time.Unix(1_700_000_000, 0)
)

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// Guards against a delayed answer to an earlier incarnation extending the lease of
// the current one.
func TestGrantOfEarlierIncarnation(t *testing.T) {
	old, now := NewHolder(proto.DefaultTiming(), 7), NewHolder(proto.DefaultTiming(), 8)
	set := []proto.HostID{witness}
	old.SetWitnesses(set)
	now.SetWitnesses(set)
	seq, _ := old.Renew(start)
	now.Renew(start)
	assertEqual(t, "grant to the earlier incarnation counts", now.Grant(witness, seq), false)
	assertEqual(t, "number of the earlier incarnation is known", now.Sent(seq), false)
	assertEqual(t, "lease without a grant", now.End(), time.Time{})
}

// Guards against a witness granting a renewal, after any time, to an incarnation
// that it has refused or to an earlier one.
func TestRefusalIsKept(t *testing.T) {
	w := NewWitness(proto.DefaultTiming())
	w.Renew(start, holderA)
	w.Watch(start, []proto.HostID{holderA})
	w.Refuse(start, holderA)
	w.Watch(start.Add(1000*time.Hour), nil)
	assertEqual(t, "renewal after 1000 h", w.Renew(start.Add(1001*time.Hour), holderA), false)
	assertEqual(t, "earlier incarnation", w.Renew(start, proto.HostID{Name: "a", Incarnation: 6}), false)
	assertEqual(t, "next incarnation", w.Renew(start, proto.HostID{Name: "a", Incarnation: 8}), true)
}

// Guards against a coordinator that waits for less time than the lease lasts on a
// holder's clock that is slower by the drift bound.
func TestRemainderCoversDrift(t *testing.T) {
	timing := proto.DefaultTiming()
	w := NewWitness(timing)
	w.Renew(start, holderA)
	elapsed := 500 * time.Millisecond
	left := w.Refuse(start.Add(elapsed), holderA)
	assertEqual(t, "time until the holder's lease has ended", elapsed+left, 606*time.Millisecond)
	assertEqual(t, "remainder at a process without a record", NewWitness(timing).RefuseForPredecessor(start, holderA), 606*time.Millisecond)
}

// Guards against a process that refuses a host for its predecessor and then grants
// a renewal of that host.
func TestRefuseForIsKept(t *testing.T) {
	w := NewWitness(proto.DefaultTiming())
	w.RefuseForPredecessor(start, holderA)
	assertEqual(t, "renewal", w.Renew(start, holderA), false)
}

// Guards against a witness that suspects its holders after it was paused itself.
func TestPausedWitnessSuspectsNobody(t *testing.T) {
	w := NewWitness(proto.DefaultTiming())
	w.Renew(start, holderA)
	w.Watch(start, []proto.HostID{holderA})
	w.Suspects(start)
	assertEqual(t, "suspects after a pause", len(w.Suspects(start.Add(time.Second))), 0)
	for d := time.Duration(0); d < 380*time.Millisecond; d += 20 * time.Millisecond {
		w.Suspects(start.Add(time.Second + d))
	}
	assertEqual(t, "suspects after silence", len(w.Suspects(start.Add(1400*time.Millisecond))), 1)
}
