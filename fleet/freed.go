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

// MethodReleases is the call by which a node reports released keys of its target to the
// planning node, which records the releases of all nodes in a few writes. Separate writes
// of 50 nodes to one record conflicted when keys of many targets moved at once, and left
// keys without a holder for seconds.
const MethodReleases peer.Method = 8

const (
	// releaseCallTimeout bounds the call to the planning node.
	releaseCallTimeout = 300 * time.Millisecond
	// releaseRecordWait is how long a node waits for the planning node to record a release
	// before it does so itself. A call and a write in another region take 60 ms.
	releaseRecordWait = 400 * time.Millisecond
	// maxPeerReleases bounds the unrecorded releases that a planning node keeps for each
	// service. 1,400 nodes with five ranges each stay below it.
	maxPeerReleases = 8192
)

// releaseRequest reports releases by service.
type releaseRequest struct {
	Releases map[string][]span.Release `cbor:"1,keyasint"`
	// Era is that of the ranges to which the releases apply, 0 if the sender knows none.
	Era uint64 `cbor:"2,keyasint,omitempty"`
}

// releaseTracker tracks released keys that the records do not show yet.
type releaseTracker struct {
	sentAt    map[span.Release]time.Duration // when each release of the own target was first reported
	unsent    map[string][]span.Release      // releases of the own target to be reported, by service
	fromPeers map[string][]peerRelease       // releases reported by other nodes, by service
	// replaceAt is when this node itself replaces earlier incarnations of its target in the
	// ranges, if the planning node has not done so; zero if there are none.
	replaceAt time.Duration
}

type peerRelease struct {
	release    span.Release
	receivedAt time.Duration
}

// ownReleases returns the releases of this node's target that the ranges of a service do
// not show yet. It drops pending releases that apply to none of the ranges.
func (f *Fleet) ownReleases(m span.Map, now time.Duration) []span.Release {
	var out []span.Release
	var pending []pendingRelease
	for _, p := range f.local.pending {
		used := false
		for _, r := range m.Ranges {
			rel := span.Release{From: max(r.From, p.from), To: min(r.To, p.to), Epoch: r.Epoch, Incarnation: p.incarnation, Token: p.token}
			if rel.From > rel.To || !rel.AppliesTo(r) {
				continue
			}
			used = true
			// The present owner may have been granted the keys again since the release.
			if r.Owner != p.incarnation || r.Node == f.cfg.Name && f.local.holdsNone(p.incarnation, subrange(r, rel), now) {
				out = append(out, rel)
			}
		}
		if used {
			pending = append(pending, p)
		}
	}
	f.local.pending = pending
	return append(out, f.local.released(m, f.cfg.Name, now)...)
}

// subrange returns the part of a range that a release covers.
func subrange(r span.Range, rel span.Release) span.Range {
	r.From, r.To = rel.From, rel.To
	return r
}

// recordReleases records the releases of this node's target that the planning node did not
// record in time and, on the planning node, the releases of all others.
func (f *Fleet) recordReleases(m *rangesDraft, service string, now time.Duration) bool {
	changed := false
	fromPeers := f.releases.fromPeers[service]
	for _, h := range fromPeers {
		changed = m.edit().ApplyRelease(h.release) || changed
	}
	f.releases.fromPeers[service] = slices.DeleteFunc(fromPeers, func(h peerRelease) bool { return now-h.receivedAt > releaseRecordWait })
	if f.local.present && f.local.heartbeat.Service != service {
		return changed
	}
	leader := ""
	if !f.planner.leads.Load() {
		leader = f.leader
	}
	var unsent []span.Release
	sentAt := make(map[span.Release]time.Duration)
	for _, rel := range f.ownReleases(m.Map, now) {
		at, known := f.releases.sentAt[rel]
		if !known {
			at = now
			unsent = append(unsent, rel)
		}
		sentAt[rel] = at
		if leader == "" || now-at >= releaseRecordWait {
			changed = m.edit().ApplyRelease(rel) || changed
		}
	}
	f.releases.sentAt = sentAt
	if leader != "" && len(unsent) > 0 {
		f.releases.unsent[service] = unsent
	}
	return changed
}

// sendReleases reports releases to the planning node. If that fails, this node records
// them itself.
func (f *Fleet) sendReleases(ctx context.Context, leader string, c releaseRequest) {
	callCtx, cancel := context.WithTimeout(ctx, releaseCallTimeout)
	_, err := peer.Call[reportReply](callCtx, f.cfg.Peers, leader, MethodReleases, c)
	cancel()
	// An error of post means that the loop has ended.
	_ = f.post(ctx, func(time.Duration) {
		if err != nil {
			eventReleaseNotTold.Log(ctx, f.cfg.Log, slog.String("planner", leader), slog.String("error", err.Error()))
			f.leader = ""
		}
	})
}

func (f *Fleet) handleReleases(ctx context.Context, body []byte) ([]byte, error) {
	var c releaseRequest
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	err := f.post(ctx, func(now time.Duration) {
		if c.Era != 0 && !f.enterEra(c.Era, now) {
			return // the restored ranges may show other owners
		}
		for service, releases := range c.Releases {
			if !slices.Contains(f.shardedServices(), service) {
				continue // the reporting node records them itself
			}
			for _, rel := range releases {
				if len(f.releases.fromPeers[service]) < maxPeerReleases {
					f.releases.fromPeers[service] = append(f.releases.fromPeers[service], peerRelease{rel, now})
				}
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reportReply{})
}
