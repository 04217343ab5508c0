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

var errEarlierEra = errors.New("record is of an earlier era of the store, whose rights end by themselves")

var errTooFewRefusals = errors.New("too few witnesses refused to confirm the right")

const (
	// suspectAfter is the silence after which the planning node calls a node, and ends its
	// right if it does not answer: one report interval and half a second.
	suspectAfter = 1500 * time.Millisecond
	// releaseWait is how long the node of an earlier owner may take to release keys before
	// the planning node ends its right. Requests in flight at a move mostly end within a
	// second.
	releaseWait = 500 * time.Millisecond
	// followerReleaseWait is the same wait on other nodes. They act only if there is no
	// planning node or it does not reach the store.
	followerReleaseWait = 4 * time.Second
	// revokeRetryInterval is the wait after a failed revocation.
	revokeRetryInterval = time.Second
	// isolatedAfter is the silence after which a planning node that hears from no other
	// node ends the rights of the others. Such a node is more likely to be cut off itself,
	// for 5.5 s in the longest cuts seen, than to be the only one left.
	isolatedAfter = 8 * time.Second
	// maxRevokedPerTxn bounds the nodes whose revocation one write records. A transaction
	// has at most 32 rows, and each node takes one condition and one write besides those
	// of the ranges.
	maxRevokedPerTxn = 12
)

// revocation is the progress of ending another node's right to grant.
type revocation struct {
	retryAt       time.Duration // time of the next attempt
	inFlight      bool          // an attempt is running
	failureLogged bool          // logged once for each revocation
	// rev is the revision of the member record whose lease was ended. A node that takes
	// another lease rewrites its record, which voids this revocation.
	rev          uint64
	leaseEndedAt time.Duration // when the store had ended the lease, or zero
	refusedAt    time.Duration // when a quorum of witnesses had refused as well, or zero
	// rejoined is true if the node has taken another lease since. The store serves it,
	// even if other nodes do not reach it.
	rejoined bool
}

// endsAt returns when the right has certainly ended, if that is known.
func (e *revocation) endsAt() (time.Duration, bool) {
	switch {
	case e.refusedAt > 0:
		return e.refusedAt + rightTTL + rightMargin, true
	case e.leaseEndedAt > 0:
		return e.leaseEndedAt + witnessOnlyTime + rightMargin, true
	}
	return 0, false
}

// revoker ends the rights of lost nodes, so that other targets may hold the keys of
// theirs.
type revoker struct {
	revocations   map[string]*revocation // by node
	skipRightWait bool                   // set by tests only: does not wait for rights to end
}

// rightEnds returns the ends of the rights that can no longer be confirmed, by node.
func (s *revoker) rightEnds() map[string]time.Duration {
	var ends map[string]time.Duration
	for node, e := range s.revocations {
		if at, ok := e.endsAt(); ok && e.refusedAt > 0 {
			if ends == nil {
				ends = make(map[string]time.Duration)
			}
			ends[node] = at
		}
	}
	return ends
}

// rightsToRevoke returns the nodes whose right is to be ended, each with the wait before
// that: nodes whose targets have not released keys that others wait for and, on the
// planning node, silent nodes.
func (f *Fleet) rightsToRevoke(now time.Duration) map[string]time.Duration {
	leads := f.planner.leads.Load()
	nodes := make(map[string]time.Duration)
	suspects := f.suspects(now)
	for _, m := range f.ranges {
		for _, r := range m.Ranges {
			for _, p := range r.Prior {
				if m := f.members[p.Node]; p.Node == f.cfg.Name || m.Revoked && f.presentEra(m.Era) {
					continue
				}
				if leads {
					nodes[p.Node] = releaseWait
				} else if r.Node == f.cfg.Name {
					nodes[p.Node] = followerReleaseWait
				}
			}
		}
	}
	for _, name := range suspects {
		nodes[name] = 0
	}
	return nodes
}

// suspects returns the nodes that have been silent for so long that the planning node
// calls them, and ends their rights if they do not answer.
func (f *Fleet) suspects(now time.Duration) []string {
	p := &f.planner
	if !p.leads.Load() {
		return nil
	}
	var silent []string
	others, alive := 0, 0
	for name, m := range f.members {
		if name == f.cfg.Name || m.Revoked {
			continue
		}
		others++
		if p.isAlive(name, now) {
			alive++
		}
		if p.unreachable[name] || p.silence(m, now) > suspectAfter {
			silent = append(silent, name)
		}
	}
	if alive > 0 || others < 2 {
		return silent
	}
	return slices.DeleteFunc(silent, func(name string) bool { return p.silence(f.members[name], now) < isolatedAfter })
}

// revokeDue starts the revocations that are due and drops those no longer needed.
func (f *Fleet) revokeDue(ctx context.Context, now time.Duration) {
	nodes := f.rightsToRevoke(now)
	for node := range f.revoker.revocations {
		if _, ok := nodes[node]; !ok {
			delete(f.revoker.revocations, node)
		}
	}
	for node, delay := range nodes {
		e, ok := f.revoker.revocations[node]
		if !ok {
			e = &revocation{retryAt: now + delay}
			f.revoker.revocations[node] = e
		}
		if e.rev != 0 && e.rev < f.items[prefixMember+node].Rev {
			*e = revocation{retryAt: now + max(delay, revokeRetryInterval), rejoined: true, inFlight: e.inFlight}
		}
		if e.inFlight || e.refusedAt > 0 || now < e.retryAt {
			continue
		}
		e.inFlight = true
		go f.revokeRight(ctx, node)
	}
}

// revokeRight ends the lease of a node that does not answer, and has its witnesses refuse
// to confirm its right. A node that answers learns of a change of owner by itself.
func (f *Fleet) revokeRight(ctx context.Context, node string) {
	callCtx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	rev, era, err := f.revokeLease(callCtx, node)
	// An error of post means that the loop has ended.
	_ = f.post(ctx, func(now time.Duration) {
		if errors.Is(err, errAlive) {
			f.planner.heardAt[node] = now
			delete(f.planner.unreachable, node)
		}
		e, ok := f.revoker.revocations[node]
		if !ok {
			return
		}
		e.inFlight = false
		if era != f.eras.now && rev != 0 {
			return // the revision is of an earlier era
		}
		e.retryAt = now + revokeRetryInterval
		if rev != 0 && (e.rev != rev || e.leaseEndedAt == 0) {
			e.rev, e.leaseEndedAt = rev, now
		}
		if err != nil {
			if !e.failureLogged {
				eventRightNotRevoked.Log(ctx, f.cfg.Log, slog.String("member", node), slog.String("error", err.Error()))
			}
			e.failureLogged = true
			return
		}
		e.refusedAt = now
		f.publish()
		eventRightRevoked.Log(ctx, f.cfg.Log, slog.String("member", node), slog.Uint64("rev", rev))
	})
}

// revokeLease ends the lease of a node and has its witnesses refuse to confirm the right.
// It returns the revision of the member record that named the lease. The record is read
// again first, as the node may have taken another lease.
func (f *Fleet) revokeLease(ctx context.Context, node string) (rev, era uint64, err error) {
	if m, ok := f.View().Member(node); ok && f.probe(ctx, m) {
		return 0, 0, errAlive
	}
	it, err := f.read(ctx, prefixMember+node)
	if err != nil {
		return 0, 0, err
	}
	// An error means that the loop has ended.
	present := true
	m, err := decodeMember(it.Key, it.Value)
	if err != nil {
		return 0, 0, err
	}
	_ = f.post(ctx, func(now time.Duration) {
		f.applyRead(it, now)
		present = f.presentEra(m.Era)
	})
	// The store may have given the number of a lease of an earlier era to another node.
	if !present && m.Era != 0 {
		return 0, 0, errEarlierEra
	}
	ended, err := f.inEra(ctx, func() error { return f.cfg.Store.EndLease(ctx, m.Lease) })
	if err == nil && ended != it.era {
		err = errEraUnknown
	}
	if err != nil {
		return 0, 0, err
	}
	if !present || !f.requestRefusal(ctx, m, it.Rev) {
		return it.Rev, it.era, errTooFewRefusals
	}
	return it.Rev, it.era, nil
}

// rightEnded reports whether the right of a node has certainly ended, provided that its
// record still has the revision known to this node.
func (f *Fleet) rightEnded(node string, now time.Duration) bool {
	m, ok := f.members[node]
	if node == f.cfg.Name {
		return false
	}
	if f.earlierRightEnded(node, now) {
		return true
	}
	if !ok {
		return false
	}
	if m.Revoked && f.presentEra(m.Era) || f.revoker.skipRightWait && f.planner.lost(m, now) {
		return true
	}
	e, ok := f.revoker.revocations[node]
	if !ok || e.rev != f.items[prefixMember+node].Rev {
		return false
	}
	at, ok := e.endsAt()
	return ok && now >= at
}

// maySettle reports whether this node is the one to record that the target of a node whose
// right has ended does not hold a range.
func (f *Fleet) maySettle(r span.Range) bool {
	return f.planner.leads.Load() || r.Node == f.cfg.Name
}

// settleRevoked removes earlier owners beside nodes whose right has ended from the ranges,
// and returns these nodes.
func (f *Fleet) settleRevoked(m *rangesDraft, now time.Duration) []string {
	var nodes []string
	for _, r := range m.Ranges {
		for _, p := range r.Prior {
			if len(nodes) < maxRevokedPerTxn && f.maySettle(r) && !slices.Contains(nodes, p.Node) && f.rightEnded(p.Node, now) {
				nodes = append(nodes, p.Node)
			}
		}
	}
	for _, node := range nodes {
		m.edit().RemovePrior(node, f.maySettle)
	}
	return nodes
}

// addRevocations adds to a transaction that the rights of some nodes have ended, on
// condition that these nodes have taken no other lease.
func (f *Fleet) addRevocations(txn *store.Txn, nodes []string) {
	for _, node := range nodes {
		key := prefixMember + node
		txn.Expect = append(txn.Expect, f.expect(key))
		if m, ok := f.members[node]; ok && !(m.Revoked && f.presentEra(m.Era)) {
			m.Revoked, m.Era = true, f.eras.now
			txn.Writes = append(txn.Writes, store.Write{Key: key, Value: encodeMember(m)})
		}
	}
}

// revocationTxn records the end of the right of a node that no range refers to.
func (f *Fleet) revocationTxn(now time.Duration) (store.Txn, string) {
	if !f.planner.leads.Load() {
		return store.Txn{}, ""
	}
	for name, m := range f.members {
		if !(m.Revoked && f.presentEra(m.Era)) && f.rightEnded(name, now) && !f.isReferenced(name) {
			var txn store.Txn
			f.addRevocations(&txn, []string{name})
			return txn, "revoked member"
		}
	}
	return store.Txn{}, ""
}
