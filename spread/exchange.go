package spread

import (
	"time"

	"burdocklift/proto"
	"burdocklift/store"
)

// Receive handles a message from another node.
func (e *Engine) Receive(now time.Time, from proto.HostID, m proto.Message, fx Effects) {
	switch m := m.(type) {
	case proto.Update:
		e.receiveUpdate(now, from, m, fx)
	case proto.Digest:
		mask := e.table.differingBuckets(m)
		// A node that is not ready cannot confirm that another one has all
		// records.
		if mask != 0 || m.Ask && e.ready {
			fx.Send(from, proto.Pairs{Mask: mask, Have: e.table.pairs(mask)})
		}
	case proto.Pairs:
		e.receivePairs(now, from, m, fx)
	case proto.Fetch:
		for _, p := range m.Have {
			if u, ok := e.table.update(p.Key, p.Index, true); ok {
				fx.Send(from, u)
			}
		}
	}
}

func (e *Engine) receiveUpdate(now time.Time, from proto.HostID, m proto.Update, fx Effects) {
	have := e.table.index(m.Key)
	if m.Index <= have || !isReplicated(m.Key) {
		return
	}
	src := fromPush
	if m.Repair {
		src = fromRepair
	}
	if m.Base == 0 {
		e.learn(now, store.Record{Key: m.Key, Index: m.Index, Value: m.Value}, nil, src, fx)
		return
	}
	if have == m.Base {
		value, err := applyDelta(m.Key, e.table.versions[m.Key].value, m.Value, m.Sum)
		if err == nil {
			e.learn(now, store.Record{Key: m.Key, Index: m.Index, Value: value}, m.Value, src, fx)
			return
		}
		have = 0 // the delta does not apply to the known version: fetch the whole record
	}
	fx.Send(from, proto.Fetch{Have: []proto.Pair{{Key: m.Key, Index: have}}})
	// If the answer is lost, the fetch is repeated by Tick.
	e.scheduleFetch(m.Key, pendingFetch{index: m.Index, from: from, at: now.Add(refetchDelay)})
}

// scheduleFetch records a version to fetch, unless the same or a newer one is
// already pending.
func (e *Engine) scheduleFetch(key string, w pendingFetch) {
	if old, ok := e.pending[key]; !ok || old.index < w.index {
		e.pending[key] = w
	}
}

// receivePairs handles the versions that another node has: newer ones are
// fetched, and for older ones the local version is sent.
func (e *Engine) receivePairs(now time.Time, from proto.HostID, m proto.Pairs, fx Effects) {
	theirs := make(map[string]uint64, len(m.Have))
	var fetch []proto.Pair
	for _, p := range m.Have {
		theirs[p.Key] = p.Index
		have := e.table.index(p.Key)
		if p.Index <= have || !isReplicated(p.Key) {
			continue
		}
		if m.Mask == 0 {
			e.scheduleFetch(p.Key, pendingFetch{index: p.Index, from: from, at: now.Add(fetchDelay)})
			continue
		}
		fetch = append(fetch, proto.Pair{Key: p.Key, Index: have})
	}
	if len(fetch) > 0 {
		fx.Send(from, proto.Fetch{Have: fetch})
	}
	if m.Mask == 0 {
		if len(m.Have) == 0 {
			e.becomeReady(now, fx) // the digests are equal
		}
		return
	}
	for _, p := range e.table.pairs(m.Mask) {
		if u, ok := e.table.update(p.Key, theirs[p.Key], true); ok {
			fx.Send(from, u)
		}
	}
}

func (e *Engine) sendDigest(to proto.HostID, fx Effects) {
	if to != e.self {
		fx.Send(to, proto.Digest{Sums: e.table.sums, Ask: !e.ready})
	}
}
