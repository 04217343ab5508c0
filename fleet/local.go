package fleet

import (
	"slices"
	"time"

	"burdocklift/span"
)

const (
	// holdDrift is how much slower than ours a target's clock may run.
	holdDrift = 0.02
	// holdMargin is kept between the end of a target's hold and the end of the
	// node's right to grant it.
	holdMargin = 100 * time.Millisecond
	// longestHold bounds a hold by our clock.
	longestHold = rightTime + rightTime/50 + holdMargin
	// minHold is the shortest hold that is worth granting.
	minHold = 300 * time.Millisecond
	// replyWindow is how long a target accepts a reply to its heartbeat; a grant
	// in an older reply is void.
	replyWindow = 1200 * time.Millisecond
	// lostAfter is the silence after which a target takes no new work: two
	// heartbeats and a half of the usual 0.87 s.
	lostAfter = 2200 * time.Millisecond
)

// Keys is a range of keys with the epoch of its owner.
type Keys struct {
	From, To int
	Epoch    uint64
}

// Freed is a range of keys that a target has released, and the token that
// hands its state over.
type Freed struct {
	From, To int
	Token    string
}

// Grant is a range of keys that a target is to hold.
type Grant struct {
	Keys
	Token string // handover from the last holder, or empty
}

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	Target
	Sequence uint64
	Cold     time.Duration // for which it remains slow after its start
	Holds    []Keys
	Freed    []Freed
}

// HeartbeatReply tells a target which keys it is to hold, and for how long
// from when it sent the heartbeat. A reply without Hold renews nothing.
type HeartbeatReply struct {
	Grants []Grant
	Hold   time.Duration
}

// local is the state of the target beside a node. It is copied with each view,
// and its slices are never changed in place.
type local struct {
	present  bool
	beat     Heartbeat
	heard    time.Duration // last heartbeat
	granted  []Keys        // by the last reply with grants
	replied  time.Duration // time of that reply
	expires  time.Duration // end of the hold by our clock, early rather than late
	holdEnds time.Duration // latest end of any hold given, late rather than early
	pending  []release     // to be recorded
	leftAt   time.Duration // when it was first known to leave
}

// release is what the target said of keys that it released.
type release struct {
	life     span.Incarnation
	from, to int
	token    string
}

func (l *local) target() *Target {
	if !l.present {
		return nil
	}
	t := l.beat.Target
	return &t
}

func (l *local) holds(key int, now time.Duration) bool {
	if !l.present || l.beat.Lost || now >= l.expires {
		return false
	}
	return slices.ContainsFunc(l.granted, func(k Keys) bool { return k.From <= key && key <= k.To })
}

// stale reports whether a heartbeat is older than one already seen.
func (l *local) stale(b Heartbeat) bool {
	if !l.present || b.Life.StartedAt > l.beat.Life.StartedAt {
		return false
	}
	return b.Life.StartedAt < l.beat.Life.StartedAt || b.Life.Target != l.beat.Life.Target || b.Sequence <= l.beat.Sequence
}

// hear takes in a heartbeat that is not stale. Leaving is final for a life.
func (l *local) hear(b Heartbeat, now time.Duration) {
	if !l.present || b.Life != l.beat.Life {
		*l = local{holdEnds: l.holdEnds, pending: l.pending}
	} else {
		b.Leaving = b.Leaving || l.beat.Leaving
	}
	if b.Leaving && l.leftAt == 0 {
		l.leftAt = now
	}
	l.present, l.beat, l.heard = true, b, now
	if len(b.Freed) > 0 {
		pending := slices.Clone(l.pending)
		for _, f := range b.Freed {
			pending = append(pending, release{life: b.Life, from: f.From, to: f.To, token: f.Token})
		}
		l.pending = pending
	}
}

// reply decides what the target is to hold: the settled ranges that it owns,
// while the node's right to grant lasts.
func (l *local) reply(m span.Map, node string, right, now time.Duration) HeartbeatReply {
	hold := time.Duration(float64(right-now-holdMargin) / (1 + holdDrift))
	if hold < minHold {
		return HeartbeatReply{}
	}
	var grants []Grant
	var keys []Keys
	for _, r := range m.Ranges {
		if r.Owner != l.beat.Life || r.Node != node || !r.PriorReleased() || r.HasNextOwner() {
			continue
		}
		k := Keys{From: r.From, To: r.To, Epoch: r.Epoch}
		g := Grant{Keys: k}
		if !l.covered(k) {
			g.Token = r.Token
		}
		grants = append(grants, g)
		keys = append(keys, k)
	}
	l.granted, l.replied = keys, now
	l.forget(keys)
	l.expires = now + hold - holdMargin
	l.holdEnds = max(l.holdEnds, now+time.Duration(float64(hold)*(1+holdDrift))+holdMargin)
	return HeartbeatReply{Grants: grants, Hold: hold}
}

// forget drops what is known to be released of keys that are granted again: a
// fact that is recorded only after the keys have moved on once more would let
// the next owner hold them beside the target.
func (l *local) forget(keys []Keys) {
	var pending []release
	for _, p := range l.pending {
		if p.life == l.beat.Life {
			pending = append(pending, p.without(keys)...)
		} else {
			pending = append(pending, p)
		}
	}
	l.pending = pending
}

// without returns the parts of a release that lie outside some keys, which are
// in order.
func (p release) without(keys []Keys) []release {
	var parts []release
	for _, k := range keys {
		if k.To < p.from || k.From > p.to {
			continue
		}
		if p.from < k.From {
			parts = append(parts, release{p.life, p.from, k.From - 1, p.token})
		}
		p.from = k.To + 1
	}
	if p.from <= p.to {
		parts = append(parts, p)
	}
	return parts
}

// covered reports whether the target said that it holds the keys.
func (l *local) covered(k Keys) bool {
	return slices.ContainsFunc(l.beat.Holds, func(h Keys) bool {
		return h.From <= k.From && k.To <= h.To && h.Epoch == k.Epoch
	})
}

// released returns the keys that other owners wait for, or that are given to
// others, and that this node's target certainly does not hold: it said so in a
// heartbeat sent after any grant of them, or its hold has ended.
func (l *local) released(m span.Map, node string, now time.Duration) []span.Release {
	var out []span.Release
	note := func(h span.Holder, r span.Range) {
		if h.Node == node && l.free(h.Incarnation, r, now) {
			out = append(out, span.Release{From: r.From, To: r.To, Epoch: r.Epoch, Incarnation: h.Incarnation})
		}
	}
	for _, r := range m.Ranges {
		if r.HasNextOwner() {
			note(span.Holder{Incarnation: r.Owner, Node: r.Node}, r)
		}
		for _, p := range r.Prior {
			note(p, r)
		}
	}
	return out
}

func (l *local) free(life span.Incarnation, r span.Range, now time.Duration) bool {
	if l.present && life.StartedAt < l.beat.Life.StartedAt {
		return true // an earlier life has ended
	}
	if now >= l.holdEnds && l.holdEnds > 0 {
		return true
	}
	if !l.present || life != l.beat.Life {
		return false
	}
	overlaps := func(k Keys) bool { return k.From <= r.To && r.From <= k.To }
	if slices.ContainsFunc(l.beat.Holds, overlaps) {
		return false
	}
	if !slices.ContainsFunc(l.granted, overlaps) {
		return l.heard >= l.replied
	}
	return l.heard >= l.replied+replyWindow
}

// lose notes that the target has ended and holds nothing.
func (l *local) lose(now time.Duration) {
	l.beat.Lost = true
	l.beat.Holds = nil
	l.granted = nil
	l.expires = 0
	l.holdEnds = now
}
