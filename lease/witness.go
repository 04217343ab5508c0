package lease

import (
	"slices"
	"time"

	"burdocklift/proto"
)

type holderState struct {
	lastGrant time.Time // receipt of the last granted renewal
	lastHeard time.Time // last renewal, or a later time from which silence is counted
	watched   bool      // whether the holder's record names this witness
}

// Witness grants leases to other hosts. Its state is lost on a restart.
type Witness struct {
	timing   proto.Timing
	holders  map[proto.HostID]*holderState
	refused  map[string]uint64 // highest refused incarnation of each host name
	lastTick time.Time
}

// NewWitness returns a witness without grants.
func NewWitness(timing proto.Timing) *Witness {
	return &Witness{timing: timing, holders: make(map[proto.HostID]*holderState), refused: make(map[string]uint64)}
}

func (w *Witness) state(id proto.HostID) *holderState {
	h := w.holders[id]
	if h == nil {
		h = &holderState{}
		w.holders[id] = h
	}
	return h
}

// Renew handles a renewal and reports whether it is granted.
func (w *Witness) Renew(now time.Time, from proto.HostID) bool {
	if from.Incarnation <= w.refused[from.Name] {
		return false
	}
	h := w.state(from)
	h.lastHeard, h.lastGrant = now, now
	return true
}

// Refuse refuses all further renewals of an incarnation and of earlier ones of its
// host, which were marked before it. It returns the time on the local clock until
// the last grant has ended on the holder's clock. The whole lease is stretched by
// the drift bound, as the holder's clock may have been slower since the grant.
//
// Refusals are kept until the process ends, as the holder may return at any time
// and its record may have been removed. They take one number per host name.
func (w *Witness) Refuse(now time.Time, id proto.HostID) time.Duration {
	w.refused[id.Name] = max(w.refused[id.Name], id.Incarnation)
	h := w.holders[id]
	if h == nil || h.lastGrant.IsZero() {
		return 0
	}
	return max(0, h.lastGrant.Add(w.timing.Stretch(w.timing.Lease)).Sub(now))
}

// RefuseForPredecessor refuses renewals on behalf of an earlier process at this
// address, whose grants are unknown. That process has granted nothing since this
// one started, so its last grant ends within one lease from now.
func (w *Witness) RefuseForPredecessor(now time.Time, id proto.HostID) time.Duration {
	w.Refuse(now, id)
	return w.timing.Stretch(w.timing.Lease)
}

// Watch sets the holders whose silence is reported. The silence of new holders is
// counted from now.
func (w *Witness) Watch(now time.Time, ids []proto.HostID) {
	for _, h := range w.holders {
		h.watched = false
	}
	for _, id := range ids {
		h := w.state(id)
		h.watched = true
		if h.lastHeard.IsZero() {
			h.lastHeard = now
		}
	}
	for id, h := range w.holders {
		if !h.watched && now.Sub(laterOf(h.lastGrant, h.lastHeard)) > holderRetention {
			delete(w.holders, id)
		}
	}
}

// holderRetention is how long a witness keeps the grant of a holder that it no
// longer watches. It exceeds any lease.
const holderRetention = time.Minute

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Suspects returns the watched holders whose silence exceeds the suspicion timeout.
// It must be called at regular intervals: after a gap, the witness itself may have
// been paused, and the silence of all holders is counted from now.
func (w *Witness) Suspects(now time.Time) []proto.HostID {
	paused := !w.lastTick.IsZero() && now.Sub(w.lastTick) > w.timing.Suspect/2
	w.lastTick = now
	var silent []proto.HostID
	for id, h := range w.holders {
		if paused {
			h.lastHeard = now
		}
		if h.watched && now.Sub(h.lastHeard) >= w.timing.Suspect {
			silent = append(silent, id)
		}
	}
	slices.SortFunc(silent, CompareIDs)
	return silent
}
