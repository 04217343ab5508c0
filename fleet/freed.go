package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/span"
)

// MethodFreed is the call by which a node tells the planning node which keys its
// target has released. When keys of many targets move at once, one node records
// all releases in a few writes; writes of 50 nodes to one record failed for each
// other's sake, and keys were without a holder for seconds.
const MethodFreed peer.Method = 8

const (
	// freedTimeout bounds the call to the planning node.
	freedTimeout = 300 * time.Millisecond
	// freedWait is how long a node waits for the planning node to record a release
	// before it does so itself: a call and a write in another region take 60 ms.
	freedWait = 400 * time.Millisecond
	// maxFreed bounds the releases that a planning node has not recorded. 1,400
	// nodes with five ranges each are below it.
	maxFreed = 8192
)

// freedCall tells releases by service.
type freedCall struct {
	Freed map[string][]span.Release `cbor:"1,keyasint"`
}

// freedBook is what is known of released keys that the records do not say yet.
type freedBook struct {
	told  map[span.Release]time.Duration // own ones, and when they were told to the planning node
	tell  map[string][]span.Release      // own ones to be told, by service
	heard map[string][]heardFreed        // those of other nodes, by service
	// renewAt is when this node records the present life of its target itself.
	renewAt time.Duration
}

type heardFreed struct {
	fact span.Release
	at   time.Duration
}

// freed returns the releases of this node's target that a record lacks. Those
// that no record needs are forgotten.
func (f *Fleet) freed(m span.Map, now time.Duration) []span.Release {
	var out []span.Release
	var pending []release
	for _, p := range f.local.pending {
		used := false
		for _, r := range m.Ranges {
			fact := span.Release{From: max(r.From, p.from), To: min(r.To, p.to), Epoch: r.Epoch, Incarnation: p.life, Token: p.token}
			if fact.From > fact.To || !fact.AppliesTo(r) {
				continue
			}
			used = true
			// The present owner may have been granted the keys again since.
			if r.Owner != p.life || r.Node == f.cfg.Name && f.local.free(p.life, ranged(r, fact), now) {
				out = append(out, fact)
			}
		}
		if used {
			pending = append(pending, p)
		}
	}
	f.local.pending = pending
	return append(out, f.local.released(m, f.cfg.Name, now)...)
}

// ranged returns the part of a range that a fact is about.
func ranged(r span.Range, fact span.Release) span.Range {
	r.From, r.To = fact.From, fact.To
	return r
}

// recordFreed records the releases of this node's target that the planning node
// did not record in time, and as the planning node those of all others.
func (f *Fleet) recordFreed(m *span.Map, service string, now time.Duration) bool {
	changed := false
	heard := f.book.heard[service]
	for _, h := range heard {
		changed = m.ApplyRelease(h.fact) || changed
	}
	f.book.heard[service] = slices.DeleteFunc(heard, func(h heardFreed) bool { return now-h.at > freedWait })
	if f.local.present && f.local.beat.Service != service {
		return changed
	}
	leader := ""
	if !f.planner.leads.Load() {
		leader = f.leader
	}
	var tell []span.Release
	told := make(map[span.Release]time.Duration)
	for _, fact := range f.freed(*m, now) {
		at, known := f.book.told[fact]
		if !known {
			at = now
			tell = append(tell, fact)
		}
		told[fact] = at
		if leader == "" || now-at >= freedWait {
			changed = m.ApplyRelease(fact) || changed
		}
	}
	f.book.told = told
	if leader != "" && len(tell) > 0 {
		f.book.tell[service] = tell
	}
	return changed
}

// tellFreed tells the planning node of releases. If it fails, this node records
// them itself.
func (f *Fleet) tellFreed(ctx context.Context, leader string, c freedCall) {
	call, cancel := context.WithTimeout(ctx, freedTimeout)
	_, err := peer.Call[reportReply](call, f.cfg.Peers, leader, MethodFreed, c)
	cancel()
	// An error of post means that the loop has ended.
	_ = f.post(ctx, func(time.Duration) {
		if err != nil {
			eventFreedNotTold.Log(ctx, f.cfg.Log, slog.String("planner", leader), slog.String("error", err.Error()))
			f.leader = ""
		}
	})
}

func (f *Fleet) handleFreed(ctx context.Context, body []byte) ([]byte, error) {
	var c freedCall
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	err := f.post(ctx, func(now time.Duration) {
		for service, facts := range c.Freed {
			if !slices.Contains(f.keyed(), service) {
				continue // the teller records them itself
			}
			for _, fact := range facts {
				if len(f.book.heard[service]) < maxFreed {
					f.book.heard[service] = append(f.book.heard[service], heardFreed{fact, now})
				}
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reportReply{})
}
