package fleet

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"burdocklift/span"
	"burdocklift/store"
)

var errWitnesses = errors.New("too few witnesses refuse")

const (
	// suspectAfter is the silence of a node after which the planning node calls it,
	// and ends its right if it does not answer: one report, and half a second.
	suspectAfter = 1500 * time.Millisecond
	// releaseTime is how long the node of an earlier owner may take to release keys
	// before the planning node does so. Requests in flight at a move mostly end
	// within a second.
	releaseTime = 500 * time.Millisecond
	// settleAlone is that time for nodes that do not plan. They act only if no node
	// plans or the planning node does not reach the store.
	settleAlone = 4 * time.Second
	// endAgain is the wait after an attempt that failed.
	endAgain = time.Second
	// isolatedAfter is the silence after which a planning node that hears from nobody
	// ends the rights of the others. It is more likely to be cut off itself, for 5.5 s
	// in the longest cuts seen, than to be the only one left.
	isolatedAfter = 8 * time.Second
	// maxEnded bounds the ended nodes of one write. A transaction has 32 rows at
	// most, and each takes one condition and one write besides the ranges.
	maxEnded = 12
)

// ending is what a node did to end another one's right to grant.
type ending struct {
	due   time.Duration // when it is tried, or tried again
	asked bool          // a call is under way
	told  bool          // that it failed was logged
	// rev is the revision of the record whose lease was ended. A node that takes
	// another lease writes its record anew, and nothing follows from this ending.
	rev     uint64
	lease   time.Duration // when the store had ended the lease, or zero
	refused time.Duration // when its witnesses had refused as well, or zero
	// rejoined tells that the node took another lease since. The store serves it,
	// whoever does not reach it.
	rejoined bool
}

// over returns when the right has ended, if that is known.
func (e *ending) over() (time.Duration, bool) {
	switch {
	case e.refused > 0:
		return e.refused + rightTime + rightMargin, true
	case e.lease > 0:
		return e.lease + witnessTime + rightMargin, true
	}
	return 0, false
}

// settler ends the rights of nodes that are lost, so that others may hold the keys
// of their targets.
type settler struct {
	endings   map[string]*ending // by node
	impatient bool               // does not wait for rights to end; only tests set it
}

// ends returns when rights end that nobody can confirm any more.
func (s *settler) ends() map[string]time.Duration {
	var ends map[string]time.Duration
	for node, e := range s.endings {
		if at, ok := e.over(); ok && e.refused > 0 {
			if ends == nil {
				ends = make(map[string]time.Duration)
			}
			ends[node] = at
		}
	}
	return ends
}

// due returns the nodes whose right is to be ended and after which time: those
// whom owners wait for, and as the planning node those that are silent.
func (f *Fleet) due(now time.Duration) map[string]time.Duration {
	leads := f.planner.leads.Load()
	nodes := make(map[string]time.Duration)
	suspects := f.suspects(now)
	for _, m := range f.ranges {
		for _, r := range m.Ranges {
			for _, p := range r.Prior {
				if p.Node == f.cfg.Name || f.members[p.Node].Ended {
					continue
				}
				if leads {
					nodes[p.Node] = releaseTime
				} else if r.Node == f.cfg.Name {
					nodes[p.Node] = settleAlone
				}
			}
		}
	}
	for _, name := range suspects {
		nodes[name] = 0
	}
	return nodes
}

// suspects returns the nodes that the planning node has not heard of for so long
// that it calls them, and ends their rights if they do not answer.
func (f *Fleet) suspects(now time.Duration) []string {
	p := &f.planner
	if !p.leads.Load() {
		return nil
	}
	var silent []string
	others, heard := 0, 0
	for name, m := range f.members {
		if name == f.cfg.Name || m.Ended {
			continue
		}
		others++
		if p.hears(name, now) {
			heard++
		}
		if p.unreached[name] || p.silence(m, now) > suspectAfter {
			silent = append(silent, name)
		}
	}
	if heard > 0 || others < 2 {
		return silent
	}
	return slices.DeleteFunc(silent, func(name string) bool { return p.silence(f.members[name], now) < isolatedAfter })
}

// chase ends the rights that are due to be ended.
func (f *Fleet) chase(ctx context.Context, now time.Duration) {
	nodes := f.due(now)
	for node := range f.settle.endings {
		if _, ok := nodes[node]; !ok {
			delete(f.settle.endings, node)
		}
	}
	for node, wait := range nodes {
		e, ok := f.settle.endings[node]
		if !ok {
			e = &ending{due: now + wait}
			f.settle.endings[node] = e
		}
		if e.rev != 0 && e.rev < f.items[prefixMember+node].Rev {
			*e = ending{due: now + max(wait, endAgain), rejoined: true, asked: e.asked}
		}
		if e.asked || e.refused > 0 || now < e.due {
			continue
		}
		e.asked = true
		go f.endRight(ctx, node)
	}
}

// endRight ends the lease of a node that does not answer, and has its witnesses
// refuse to confirm its right. A node that answers sees a change of owner by
// itself.
func (f *Fleet) endRight(ctx context.Context, node string) {
	call, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	rev, err := f.endLease(call, node)
	// An error of post means that the loop has ended.
	_ = f.post(ctx, func(now time.Duration) {
		if errors.Is(err, errAlive) {
			f.planner.heard[node] = now
			delete(f.planner.unreached, node)
		}
		e, ok := f.settle.endings[node]
		if !ok {
			return
		}
		e.asked = false
		e.due = now + endAgain
		if rev != 0 && (e.rev != rev || e.lease == 0) {
			e.rev, e.lease = rev, now
		}
		if err != nil {
			if !e.told {
				eventRevokeFailed.Log(ctx, f.cfg.Log, slog.String("member", node), slog.String("error", err.Error()))
			}
			e.told = true
			return
		}
		e.refused = now
		f.publish()
		eventRevoked.Log(ctx, f.cfg.Log, slog.String("member", node), slog.Uint64("rev", rev))
	})
}

// endLease returns the revision of the record whose lease it ended. The record is
// read anew, as the node may have taken another lease.
func (f *Fleet) endLease(ctx context.Context, node string) (uint64, error) {
	if m, ok := f.View().Member(node); ok && f.reaches(ctx, m) {
		return 0, errAlive
	}
	it, err := f.cfg.Store.Read(ctx, prefixMember+node)
	if err != nil {
		return 0, err
	}
	// An error means that the loop has ended.
	_ = f.post(ctx, func(time.Duration) { f.adopt([]store.Item{it}) })
	m, err := decodeMember(it.Key, it.Value)
	if err != nil {
		return 0, err
	}
	if err := f.cfg.Store.EndLease(ctx, m.Lease); err != nil {
		return 0, err
	}
	if !f.refuse(ctx, m, it.Rev) {
		return it.Rev, errWitnesses
	}
	return it.Rev, nil
}

// hasEnded reports whether the right of a node has certainly ended, as long as its
// record has the revision that this node knows.
func (f *Fleet) hasEnded(node string, now time.Duration) bool {
	m, ok := f.members[node]
	if !ok || node == f.cfg.Name {
		return false
	}
	if m.Ended || f.settle.impatient && f.planner.lost(m, now) {
		return true
	}
	e, ok := f.settle.endings[node]
	if !ok || e.rev != f.items[prefixMember+node].Rev {
		return false
	}
	at, ok := e.over()
	return ok && now >= at
}

// settles reports whether this node is the one to record that the target of a node
// whose right has ended does not hold a range.
func (f *Fleet) settles(r span.Range) bool {
	return f.planner.leads.Load() || r.Node == f.cfg.Name
}

// recordEnded strikes out earlier owners beside nodes whose right has ended, and
// returns these nodes.
func (f *Fleet) recordEnded(m *span.Map, now time.Duration) []string {
	var nodes []string
	for _, r := range m.Ranges {
		for _, p := range r.Prior {
			if len(nodes) < maxEnded && f.settles(r) && !slices.Contains(nodes, p.Node) && f.hasEnded(p.Node, now) {
				nodes = append(nodes, p.Node)
			}
		}
	}
	for _, node := range nodes {
		m.RemovePrior(node, f.settles)
	}
	return nodes
}

// endedTxn adds to a transaction that the rights of some nodes have ended, on
// condition that they took no other lease.
func (f *Fleet) endedTxn(txn *store.Txn, nodes []string) {
	for _, node := range nodes {
		key := prefixMember + node
		txn.Expect = append(txn.Expect, f.expect(key))
		if m := f.members[node]; !m.Ended {
			m.Ended = true
			txn.Writes = append(txn.Writes, store.Write{Key: key, Value: encodeMember(m)})
		}
	}
}

// lostTxn records the end of the right of a node whose target owned no keys.
func (f *Fleet) lostTxn(now time.Duration) (store.Txn, string) {
	if !f.planner.leads.Load() {
		return store.Txn{}, ""
	}
	for name, m := range f.members {
		if !m.Ended && f.hasEnded(name, now) && !f.named(name) {
			var txn store.Txn
			f.endedTxn(&txn, []string{name})
			return txn, "lost member"
		}
	}
	return store.Txn{}, ""
}
