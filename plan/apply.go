package plan

import (
	"slices"

	"burdocklift/proto"
)

// Apply returns a copy of the page with its moves applied, or nil if none
// applies. A move is skipped if its entry has changed owner or begun to move
// since the move was planned.
//
// Isolating a key raises the epoch of its shard, and the key starts with the
// raised epoch: a request for the key that was routed before the change is then
// rejected for its old epoch and cannot run concurrently with one routed after
// it. A merge skips an epoch, so that the owner treats the ids of the shard and
// of the key as unknown. The epoch of a key never decreases.
func Apply(p *proto.Page, moves []Move) *proto.Page {
	out, changed := p.Clone(), false
	for _, m := range moves {
		if m.Page == p.Index {
			changed = applyMove(out, m) || changed
		}
	}
	if !changed {
		return nil
	}
	out.Compact()
	return out
}

func applyMove(p *proto.Page, m Move) bool {
	if m.Shard/proto.PageShards != p.Index {
		return false
	}
	shard := &p.Shards[m.Shard%proto.PageShards]
	hot := slices.IndexFunc(p.Hot, func(h proto.HotEntry) bool { return h.Key == m.Key })
	stillOwned := func(e *proto.Entry) bool { return e.Next == 0 && p.Owners[e.Owner] == m.From }

	switch {
	case m.Kind == Isolate:
		if m.Key == "" || hot >= 0 || len(p.Hot) >= proto.MaxHot || !stillOwned(shard) {
			return false
		}
		shard.Epoch++
		p.Hot = append(p.Hot, proto.HotEntry{Key: m.Key, Entry: *shard})
		return true
	case m.Kind == Merge:
		if hot < 0 || !stillOwned(shard) || !stillOwned(&p.Hot[hot].Entry) {
			return false
		}
		shard.Epoch = max(shard.Epoch, p.Hot[hot].Entry.Epoch) + 2
		p.Hot = slices.Delete(p.Hot, hot, hot+1)
		return true
	}
	e := shard
	if m.Key != "" {
		if hot < 0 {
			return false
		}
		e = &p.Hot[hot].Entry
	}
	if !stillOwned(e) || m.To == m.From || m.To.IsZero() {
		return false
	}
	e.Next = p.OwnerIndex(m.To) + 1
	return true
}
