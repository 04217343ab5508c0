package owner

import (
	"slices"
	"time"

	"burdocklift/proto"
	"burdocklift/store"
)

// naive is the baseline for comparison: a lease record per host in the store,
// checked at intervals instead of before each dispatch, no epochs, and modulo
// placement over the hosts whose lease record has changed recently.
type naive struct {
	h                 *simHost
	seq, index        uint64
	sent              time.Time
	until             time.Time
	serving           bool
	nextOp            time.Time
	renewing, listing bool
	last              map[string]uint64
	changed           map[string]time.Time
	live              []string
}

const naiveLease = 600 * time.Millisecond

func newNaive(h *simHost) machine {
	return &naive{h: h, last: make(map[string]uint64), changed: make(map[string]time.Time)}
}

func (n *naive) key() string { return "lease/" + n.h.name }

func (n *naive) ID() proto.HostID { return proto.HostID{Name: n.h.name, Incarnation: n.h.nextRun} }

func (n *naive) Tick(now time.Time, fx Effects) {
	n.serving = now.Before(n.until)
	if now.Before(n.nextOp) {
		return
	}
	n.nextOp = now.Add(200 * time.Millisecond)
	n.seq++
	if !n.renewing {
		n.renewing, n.sent = true, now
		fx.Store(Op{ID: 2 * n.seq, Kind: Swap, Key: n.key(), Index: n.index, Value: []byte{byte(n.seq)}})
	}
	if !n.listing {
		n.listing = true
		fx.Store(Op{ID: 2*n.seq + 1, Kind: List, Key: "lease/"})
	}
}

func (n *naive) Done(now time.Time, r Result, _ Effects) {
	if r.ID%2 == 0 {
		n.renewing = false
		if r.Err == nil {
			n.index, n.until = r.Index, n.sent.Add(naiveLease)
		}
		return
	}
	n.listing = false
	if r.Err != nil {
		return
	}
	n.live = n.live[:0]
	for _, rec := range r.Records {
		if n.last[rec.Key] != rec.Index {
			n.last[rec.Key], n.changed[rec.Key] = rec.Index, now
		}
		if rec.Key == n.key() {
			n.index = rec.Index
		}
		if now.Sub(n.changed[rec.Key]) < naiveLease {
			n.live = append(n.live, rec.Key)
		}
	}
}

func (n *naive) Receive(time.Time, proto.HostID, proto.Message, Effects)     {}
func (n *naive) Observe(time.Time, store.Record, Effects)                    {}
func (n *naive) drained(time.Time, bool, Ref, proto.HostID, uint64, Effects) {}
func (n *naive) valid(time.Time) bool                                        { return n.serving }
func (n *naive) owned(refs []Ref) (mask uint64, epochs []uint64) {
	me := slices.Index(n.live, n.key())
	for i := range refs {
		if me >= 0 && i%len(n.live) == me {
			mask |= 1 << i
		}
	}
	return mask, nil
}
