package lease

import (
	"slices"
	"time"

	"burdocklift/proto"
)

// sentWindow is the number of renewals whose send time is kept. Grants for older
// renewals would have expired already.
const sentWindow = 16

type sentRenewal struct {
	seq uint64
	at  time.Time
}

// Holder maintains the lease of the local host. A grant runs from the time at
// which its renewal was sent, so that it never ends later than at the witness.
type Holder struct {
	timing   proto.Timing
	seq      uint64
	sent     [sentWindow]sentRenewal
	ends     map[proto.HostID]time.Time
	sets     [][]proto.HostID
	proposed []proto.HostID
	refused  bool
	end      time.Time
}

// NewHolder returns a holder for an incarnation, without witnesses and without a
// lease. Its sequence numbers begin at a multiple of the incarnation, so that a
// delayed answer to an earlier incarnation of the host is never accepted.
func NewHolder(timing proto.Timing, incarnation uint64) *Holder {
	return &Holder{timing: timing, seq: incarnation << seqBits, ends: make(map[proto.HostID]time.Time)}
}

// seqBits gives each incarnation 65,536 renewals, which last for 3.6 hours, before
// its sequence numbers reach those of the next one. Incarnations are Unix times in
// milliseconds and take 41 bits.
const seqBits = 16

// SetWitnesses sets the witness sets. The lease is valid only while a quorum of
// each set grants it. Two sets are given while the outcome of a change is unknown.
func (h *Holder) SetWitnesses(sets ...[]proto.HostID) {
	h.sets = h.sets[:0:0]
	for _, s := range sets {
		h.sets = append(h.sets, slices.Clone(s))
	}
	for id := range h.ends {
		if !h.isWitness(id) {
			delete(h.ends, id)
		}
	}
	h.update()
}

func (h *Holder) isWitness(id proto.HostID) bool {
	return slices.Contains(h.proposed, id) ||
		slices.ContainsFunc(h.sets, func(s []proto.HostID) bool { return slices.Contains(s, id) })
}

// Propose sets a proposed witness set, or none. Its grants are collected before
// they count, so that a change to that set does not interrupt the lease.
func (h *Holder) Propose(set []proto.HostID) { h.proposed = slices.Clone(set) }

// ProposalGranted reports whether a quorum of the proposed set grants the lease
// beyond a time.
func (h *Holder) ProposalGranted(until time.Time) bool {
	return len(h.proposed) > 0 && h.setEnd(h.proposed).After(until)
}

// Renew starts a renewal and returns its sequence number and its recipients.
func (h *Holder) Renew(now time.Time) (uint64, []proto.HostID) {
	h.seq++
	h.sent[h.seq%sentWindow] = sentRenewal{seq: h.seq, at: now}
	to := slices.Clone(h.proposed)
	for _, s := range h.sets {
		for _, w := range s {
			if !slices.Contains(to, w) {
				to = append(to, w)
			}
		}
	}
	return h.seq, to
}

// Grant records a grant for a renewal. It reports whether the renewal is a recent
// one of this incarnation and the sender is a current or proposed witness.
func (h *Holder) Grant(from proto.HostID, seq uint64) bool {
	s := h.sent[seq%sentWindow]
	if s.seq != seq || s.at.IsZero() || !h.isWitness(from) {
		return false
	}
	if end := s.at.Add(h.timing.Lease); end.After(h.ends[from]) {
		h.ends[from] = end
		h.update()
	}
	return true
}

// Sent reports whether a renewal with this sequence number was sent recently.
func (h *Holder) Sent(seq uint64) bool {
	s := h.sent[seq%sentWindow]
	return s.seq == seq && !s.at.IsZero()
}

// SetRefused records that a witness has permanently refused the holder's
// incarnation.
func (h *Holder) SetRefused() {
	h.refused = true
	h.update()
}

// Refused reports whether a witness has refused the incarnation.
func (h *Holder) Refused() bool { return h.refused }

// End returns the time at which the lease ends on the holder's clock, or the
// zero time if there is no quorum.
func (h *Holder) End() time.Time { return h.end }

// update caches the end of the lease. The end is read in each tick and changes
// only with a grant, a refusal or the witness sets.
func (h *Holder) update() {
	h.end = time.Time{}
	if len(h.sets) == 0 || h.refused {
		return
	}
	for i, s := range h.sets {
		if e := h.setEnd(s); i == 0 || e.Before(h.end) {
			h.end = e
		}
	}
}

func (h *Holder) setEnd(set []proto.HostID) time.Time {
	if len(set) == 0 {
		return time.Time{}
	}
	ends := make([]time.Time, 0, 4)
	for _, w := range set {
		ends = append(ends, h.ends[w])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[Quorum(len(set))-1]
}

// LastSeq returns the sequence number of the last renewal.
func (h *Holder) LastSeq() uint64 { return h.seq }
