package fleet

import (
	"slices"
	"time"

	"burdocklift/span"
)

const (
	// maxClockDrift is how much slower than the node's clock the clock of a target may
	// run.
	maxClockDrift = 0.02
	// holdMargin is kept between the end of a target's hold and the end of the node's
	// right to grant.
	holdMargin = 100 * time.Millisecond
	// maxHold bounds a hold by the clock of the node.
	maxHold = rightTTL + rightTTL/50 + holdMargin
	// minHold is the shortest hold that is granted.
	minHold = 300 * time.Millisecond
	// replyWindow is how long a target accepts a reply to its heartbeat. A grant in a
	// later reply is void.
	replyWindow = 1200 * time.Millisecond
	// targetLostAfter is the silence after which a target counts as lost and takes no new
	// work: two and a half heartbeats at the usual interval of 0.87 s.
	targetLostAfter = 2200 * time.Millisecond
)

// KeyRange is a range of keys with the epoch of its owner.
type KeyRange struct {
	From, To int
	Epoch    uint64
}

// ReleasedRange is a range of keys that a target has released, and the token with which
// the next owner takes over its state.
type ReleasedRange struct {
	From, To int
	Token    string
}

// Grant is a range of keys that a target may hold.
type Grant struct {
	KeyRange
	Token string // of the handover from the last holder, or empty
}

// Heartbeat is what a target reports of itself.
type Heartbeat struct {
	Target
	Sequence      uint64
	ColdRemaining time.Duration // for which the target remains cold
	Holds         []KeyRange
	Released      []ReleasedRange
	Unlisted      bool // it does not tell which keys the target holds
}

// HeartbeatReply tells a target which keys it may hold, and for how long after it sent the
// heartbeat. A reply without Hold renews nothing.
type HeartbeatReply struct {
	Grants []Grant
	Hold   time.Duration
}

// localTarget is the state of the target beside this node. It is copied with each view,
// and its slices are never changed in place.
type localTarget struct {
	present      bool
	heartbeat    Heartbeat
	heardAt      time.Duration    // last heartbeat
	granted      []KeyRange       // in the last reply with grants
	grantedAt    time.Duration    // time of that reply
	expiresAt    time.Duration    // earliest end of the hold by the clock of the node
	holdEndsBy   time.Duration    // latest end of any hold granted
	pending      []pendingRelease // releases that are not recorded yet
	leavingSince time.Duration    // when the target was first known to leave
	// earlierHoldEndsBy is the latest end of any hold that an earlier run of this node granted.
	earlierHoldEndsBy time.Duration

	successor successor // zero if no other incarnation was heard

	coldness coldness

	limit           float64       // requests a second that the target names
	limitKnown      bool          // the target named a limit, or ended one, to this run
	limitRecordedAt time.Duration // when heartbeat.Limit last changed
}

// pendingRelease is a range of keys that an incarnation of the target released, as its
// heartbeat reports it. It may cover parts of several stored ranges.
type pendingRelease struct {
	incarnation span.Incarnation
	from, to    int
	token       string
}

func (l *localTarget) target() *Target {
	if !l.present {
		return nil
	}
	t := l.heartbeat.Target
	return &t
}

func (l *localTarget) holds(key int, now time.Duration) bool {
	if !l.present || l.heartbeat.Lost || now >= l.expiresAt {
		return false
	}
	return slices.ContainsFunc(l.granted, func(k KeyRange) bool { return k.From <= key && key <= k.To })
}

// isStale reports whether a heartbeat is not newer than one already received.
func (l *localTarget) isStale(hb Heartbeat) bool {
	if !l.present || hb.Incarnation.StartedAt > l.heartbeat.Incarnation.StartedAt {
		return false
	}
	return hb.Incarnation.StartedAt < l.heartbeat.Incarnation.StartedAt || hb.Incarnation.Target != l.heartbeat.Incarnation.Target || hb.Sequence <= l.heartbeat.Sequence
}

// mayStillRun reports whether the present incarnation of the target may hold keys or take
// requests, as far as this node knows. Another one takes its place only when it does not: a
// heartbeat of another program may name a later start.
func (l *localTarget) mayStillRun(now time.Duration) bool {
	return l.present && (now < l.holdEndsBy || !l.heartbeat.Lost && now-l.heardAt <= targetLostAfter)
}

// successor is an incarnation that waits until the present one has certainly ended.
type successor struct {
	heartbeat Heartbeat
	heardAt   time.Duration
}

// keepSuccessor keeps a heartbeat of a later incarnation. It reports whether that is the first
// one of this incarnation.
func (l *localTarget) keepSuccessor(hb Heartbeat, now time.Duration) bool {
	isFirst := l.successor.heartbeat.Incarnation != hb.Incarnation
	if isFirst || hb.Sequence > l.successor.heartbeat.Sequence {
		l.successor = successor{hb, now}
	}
	return isFirst
}

// recentSuccessor returns the incarnation that waits for the end of the present one, if it was
// heard a short time ago.
func (l *localTarget) recentSuccessor(now time.Duration) (successor, bool) {
	s := l.successor
	return s, s.heardAt > 0 && now-s.heardAt <= targetLostAfter
}

// receive applies a heartbeat that is not stale. Leaving is final for an incarnation.
func (l *localTarget) receive(hb Heartbeat, now time.Duration) {
	if !l.present || hb.Incarnation != l.heartbeat.Incarnation {
		*l = localTarget{holdEndsBy: l.holdEndsBy, earlierHoldEndsBy: l.earlierHoldEndsBy, pending: l.pending}
	} else {
		hb.Leaving = hb.Leaving || l.heartbeat.Leaving
	}
	if hb.Leaving && l.leavingSince == 0 {
		l.leavingSince = now
	}
	hb.Limit, hb.Cold = l.heartbeat.Limit, l.heartbeat.Cold // heartbeats do not carry them
	l.coldness.observe(hb.ColdRemaining, now)
	l.present, l.heartbeat, l.heardAt = true, hb, now
	if len(hb.Released) > 0 {
		pending := slices.Clone(l.pending)
		for _, r := range hb.Released {
			pending = append(pending, pendingRelease{incarnation: hb.Incarnation, from: r.From, to: r.To, token: r.Token})
		}
		l.pending = pending
	}
}

// reply returns what the target may hold: the stable ranges that it owns, for as long as
// the node's right to grant allows.
func (l *localTarget) reply(m span.Map, node string, right, now time.Duration) HeartbeatReply {
	hold := time.Duration(float64(right-now-holdMargin) / (1 + maxClockDrift))
	if hold < minHold {
		return HeartbeatReply{}
	}
	var grants []Grant
	var keys []KeyRange
	for _, r := range m.Ranges {
		if r.Owner != l.heartbeat.Incarnation || r.Node != node || !r.PriorReleased() || r.HasNextOwner() {
			continue
		}
		k := KeyRange{From: r.From, To: r.To, Epoch: r.Epoch}
		g := Grant{KeyRange: k}
		if !l.reportsHeld(k) {
			g.Token = r.Token
		}
		grants = append(grants, g)
		keys = append(keys, k)
	}
	l.granted, l.grantedAt = keys, now
	l.dropReleases(keys)
	l.expiresAt = now + hold - holdMargin
	l.holdEndsBy = max(l.holdEndsBy, now+time.Duration(float64(hold)*(1+maxClockDrift))+holdMargin)
	return HeartbeatReply{Grants: grants, Hold: hold}
}

// dropReleases drops pending releases of keys that are granted again. Recorded only after
// the keys have moved on once more, such a release would let the next owner hold them at
// the same time as the target.
func (l *localTarget) dropReleases(keys []KeyRange) {
	var pending []pendingRelease
	for _, p := range l.pending {
		if p.incarnation == l.heartbeat.Incarnation {
			pending = append(pending, p.without(keys)...)
		} else {
			pending = append(pending, p)
		}
	}
	l.pending = pending
}

// without returns the parts of a release that lie outside some key ranges, which are
// sorted.
func (p pendingRelease) without(keys []KeyRange) []pendingRelease {
	var parts []pendingRelease
	for _, k := range keys {
		if k.To < p.from || k.From > p.to {
			continue
		}
		if p.from < k.From {
			parts = append(parts, pendingRelease{p.incarnation, p.from, k.From - 1, p.token})
		}
		p.from = k.To + 1
	}
	if p.from <= p.to {
		parts = append(parts, p)
	}
	return parts
}

// reportsHeld reports whether the target said in its last heartbeat that it holds the
// keys.
func (l *localTarget) reportsHeld(k KeyRange) bool {
	return slices.ContainsFunc(l.heartbeat.Holds, func(h KeyRange) bool {
		return h.From <= k.From && k.To <= h.To && h.Epoch == k.Epoch
	})
}

// released returns releases of the keys that other owners wait for, or that have a next
// owner, and that this node's target certainly does not hold.
func (l *localTarget) released(m span.Map, node string, now time.Duration) []span.Release {
	var out []span.Release
	add := func(h span.Holder, r span.Range) {
		if h.Node == node && l.holdsNone(h.Incarnation, r, now) {
			out = append(out, span.Release{From: r.From, To: r.To, Epoch: r.Epoch, Incarnation: h.Incarnation})
		}
	}
	for _, r := range m.Ranges {
		if r.HasNextOwner() {
			add(span.Holder{Incarnation: r.Owner, Node: r.Node}, r)
		}
		for _, p := range r.Prior {
			add(p, r)
		}
	}
	return out
}

// holdsNone reports whether an incarnation of the target certainly holds no key of a
// range: it has ended, every hold has ended, or its heartbeat sent after any grant of the
// keys says so.
func (l *localTarget) holdsNone(inc span.Incarnation, r span.Range, now time.Duration) bool {
	if l.present && inc.StartedAt < l.heartbeat.Incarnation.StartedAt {
		return true // an earlier incarnation has ended, see mayStillRun
	}
	if now >= l.holdEndsBy && l.holdEndsBy > 0 {
		return true
	}
	if !l.present || inc != l.heartbeat.Incarnation || l.heartbeat.Unlisted {
		return false
	}
	// A heartbeat from before the grants of an earlier run may arrive late, and this run
	// does not know the sequence numbers that the earlier one saw.
	if now < l.earlierHoldEndsBy {
		return false
	}
	overlaps := func(k KeyRange) bool { return k.From <= r.To && r.From <= k.To }
	if slices.ContainsFunc(l.heartbeat.Holds, overlaps) {
		return false
	}
	if !slices.ContainsFunc(l.granted, overlaps) {
		return l.heardAt >= l.grantedAt
	}
	return l.heardAt >= l.grantedAt+replyWindow
}

// markEnded records that the target has ended and holds nothing.
func (l *localTarget) markEnded(now time.Duration) {
	l.heartbeat.Lost = true
	l.heartbeat.Holds = nil
	l.granted = nil
	l.expiresAt = 0
	l.holdEndsBy = now
}
