package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"burdocklift/span"
	"burdocklift/store"
)

const (
	// commitTimeout bounds a write, which takes 4 ms and up to 17 ms on the network.
	commitTimeout = 2 * time.Second
	// minWriteBackoff is the wait after the first failed write. It is doubled at each further
	// failure up to maxWriteBackoff.
	minWriteBackoff = 100 * time.Millisecond
	maxWriteBackoff = time.Second
	// rereadInterval is the time between two attempts to read the outcome of a write.
	rereadInterval = time.Second
	// maxConflictDelay bounds the random wait after a conflict with a change of another
	// node, whose record has been read by then. The wait is random because several nodes
	// release keys at the same time.
	maxConflictDelay = 40 * time.Millisecond
)

// writer brings the stored records in line with the state of the node, one write at a
// time.
type writer struct {
	busy        bool          // a write is in flight
	nextAttempt time.Duration // earliest time of the next write
	backoff     time.Duration // wait after the last failed write
}

// reconcile starts the write that is due, if any.
func (f *Fleet) reconcile(ctx context.Context, now time.Duration) {
	if !f.synced || f.eras.relisting || f.writer.busy || now < f.writer.nextAttempt {
		return
	}
	txn, reason := f.memberTxn(now)
	if reason == "" {
		txn, reason = f.rangesTxn(now)
	}
	if reason == "" {
		txn, reason = f.revocationTxn(now)
	}
	if reason == "" {
		txn, reason = f.removalTxn(now)
	}
	if reason == "" {
		txn, reason = f.crashTxn(now)
	}
	if reason == "" {
		txn, reason = f.crashRemovalTxn(now)
	}
	if len(f.releases.unsent) > 0 {
		go f.sendReleases(ctx, f.leader, releaseRequest{Releases: f.releases.unsent, Era: f.eras.now})
		f.releases.unsent = make(map[string][]span.Release)
	}
	if reason == "" {
		return
	}
	txn.Era = max(f.eras.now, store.FirstEra)
	f.writer.busy = true
	go f.commit(ctx, txn, reason)
}

// commit writes a transaction and passes the result to the loop. It returns when the
// result is known or the context has ended.
func (f *Fleet) commit(ctx context.Context, txn store.Txn, reason string) {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	var rev uint64
	_, err := f.inEra(ctx, func() (err error) { rev, err = f.cfg.Store.Commit(callCtx, txn); return err })
	cancel()
	var current []readItem
	if (errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUncertain)) && !errors.Is(err, store.ErrRestored) {
		current = f.reread(ctx, txn)
	}
	// An error means that the loop has ended, so that nobody needs the result.
	_ = f.post(ctx, func(now time.Duration) { f.finishWrite(ctx, now, txn, reason, rev, current, err) })
}

// readItem is a record that was read by itself, with the era in which it was read.
type readItem struct {
	store.Item
	era uint64
}

// read reads one record.
func (f *Fleet) read(ctx context.Context, key string) (out readItem, err error) {
	out.era, err = f.inEra(ctx, func() (err error) { out.Item, err = f.cfg.Store.Read(ctx, key); return err })
	return out, err
}

// applyRead applies a record that was read by itself, unless the store was restored since.
func (f *Fleet) applyRead(it readItem, now time.Duration) {
	if f.enterEra(it.era, now) {
		f.applyRecords([]store.Item{it.Item}, fromRead)
	}
}

// reread reads the records of a write that conflicted or whose outcome is uncertain. It
// retries until the store answers, as the outcome is not known before.
func (f *Fleet) reread(ctx context.Context, txn store.Txn) []readItem {
	var out []readItem
	for _, e := range txn.Expect {
		for ctx.Err() == nil {
			callCtx, cancel := context.WithTimeout(ctx, readTimeout)
			it, err := f.read(callCtx, e.Key)
			cancel()
			if err == nil {
				out = append(out, it)
				break
			}
			if errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrRestored) {
				break // the watch returns the revision of the removal, and all records are listed anew
			}
			f.sleep(ctx, rereadInterval)
		}
	}
	return out
}

func (f *Fleet) finishWrite(ctx context.Context, now time.Duration, txn store.Txn, reason string, rev uint64, current []readItem, err error) {
	f.writer.busy = false
	if err == nil && txn.Outdated(f.eras.now) {
		err = store.ErrRestored // its effect is lost
	}
	if err != nil {
		f.writer.backoff = min(max(2*f.writer.backoff, minWriteBackoff), maxWriteBackoff)
		if errors.Is(err, store.ErrConflict) {
			f.writer.backoff = rand.N(maxConflictDelay)
		}
		f.writer.nextAttempt = now + f.writer.backoff
		f.retryTimer.Reset(f.writer.backoff)
		eventWriteFailed.Log(ctx, f.cfg.Log, slog.String("reason", reason), slog.String("error", err.Error()))
		for _, it := range current {
			f.applyRead(it, now)
		}
		return
	}
	f.writer.backoff = 0
	items := make([]store.Item, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		items = append(items, store.Item{Key: w.Key, Value: w.Value, Rev: rev})
	}
	for _, key := range txn.Deletes {
		items = append(items, store.Item{Key: key, Rev: rev, Removed: true})
	}
	f.applyRecords(items, fromWrite)
	f.changesPending = true
	eventRangesWritten.Log(ctx, f.cfg.Log, slog.String("reason", reason), slog.Uint64("rev", rev))
}

// expect returns the condition that a record is unchanged from what this node knows.
func (f *Fleet) expect(key string) store.Expect {
	it := f.items[key]
	if it.Removed {
		return store.Expect{Key: key}
	}
	return store.Expect{Key: key, Rev: it.Rev}
}

// memberTxn updates this node's own record if it is out of date.
func (f *Fleet) memberTxn(now time.Duration) (store.Txn, string) {
	if f.grantRight.lease == 0 || f.grantRight.era != f.eras.now {
		return store.Txn{}, ""
	}
	want := Member{
		Name: f.cfg.Name, Address: f.cfg.Address, DataCentre: f.cfg.DataCentre, Region: f.cfg.Region,
		Run: f.run, Lease: f.grantRight.lease, Target: f.ownTarget(now), Witnesses: f.grantRight.witnesses,
		Stopping: f.stopping, Era: f.grantRight.era,
	}
	have, ok := f.members[f.cfg.Name]
	if ok && sameMember(have, want) && !f.eras.ownReplaced {
		return store.Txn{}, ""
	}
	key := prefixMember + f.cfg.Name
	txn := store.Txn{
		Expect: []store.Expect{f.expect(key)},
		Writes: []store.Write{{Key: key, Value: encodeMember(want)}},
	}
	f.addCrashes(&txn, now)
	return txn, "member"
}

func sameMember(a, b Member) bool {
	if (a.Target == nil) != (b.Target == nil) || a.Target != nil && *a.Target != *b.Target {
		return false
	}
	return a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Region == b.Region &&
		a.Run == b.Run && a.Lease == b.Lease && a.Revoked == b.Revoked && a.Stopping == b.Stopping && a.Era == b.Era && slices.Equal(a.Witnesses, b.Witnesses)
}

// rangesDraft is the ranges of a service that are to be written. They are copied when
// they are first changed, as most nodes change nothing at most times.
type rangesDraft struct {
	span.Map
	shared bool // with views
}

// edit returns the ranges for changes.
func (d *rangesDraft) edit() *span.Map {
	if d.shared {
		d.Map, d.shared = d.Clone(), false
	}
	return &d.Map
}

// rangesTxn changes the ranges of one service as far as this node is responsible for them.
func (f *Fleet) rangesTxn(now time.Duration) (store.Txn, string) {
	for _, service := range f.shardedServices() {
		if !f.concernsRanges(service) {
			continue
		}
		if !f.rangesRestored(service) && !f.mayCreateRanges(service) {
			if txn, ok := f.restoreTxn(service, now); ok {
				return txn, "ranges of " + service + ": restored"
			}
			if len(f.owners(service, now)) > 0 {
				f.planner.noteTargets(service, now)
			}
			continue
		}
		old, ok := f.ranges[service]
		m := &rangesDraft{Map: old, shared: true}
		// A node of a version that does not reserve epochs for eras may have written them.
		m.RaiseEpochs(lastEpochBefore(f.eras.now), false)
		reason := ""
		add := func(changed bool, why string) {
			if changed {
				reason += " " + why
			}
		}
		if !ok && f.eras.now > 0 {
			m.edit().RaiseEpochs(max(f.planner.gather.maxEpoch, f.shownEpoch()), false)
		}
		if ok {
			add(f.replaceSuperseded(m, service, now), "renewed")
			add(f.recordReleases(m, service, now), "released")
		}
		add(f.plan(m, service, now), "moved")
		ended := f.settleRevoked(m, now)
		add(len(ended) > 0, "settled")
		add(ok && f.planner.leads.Load() && f.eras.stored[service] != f.eras.now, "era")
		if reason == "" {
			continue
		}
		m.edit().Merge()
		m.Era = f.eras.now
		if err := m.Check(); err != nil {
			panic(fmt.Sprintf("ranges of service %s are invalid after%s: %v", service, reason, err))
		}
		value, err := m.Encode()
		if err != nil {
			panic(fmt.Sprintf("cannot encode ranges of service %s: %v", service, err))
		}
		key := prefixRanges + service
		txn := store.Txn{Expect: []store.Expect{f.expect(key)}, Writes: []store.Write{{Key: key, Value: value}}}
		f.addRevocations(&txn, ended)
		return txn, "ranges of " + service + ":" + reason
	}
	return store.Txn{}, ""
}

// concernsRanges reports whether this node may have to change the ranges of a service:
// it plans, the target beside it serves the service or is not known yet, or another
// node's release or right is at stake.
func (f *Fleet) concernsRanges(service string) bool {
	return f.planner.leads.Load() || !f.local.present || f.local.heartbeat.Service == service ||
		len(f.releases.fromPeers[service]) > 0 || len(f.revoker.revocations) > 0
}

// shardedServices returns the services whose keys are assigned to targets.
func (f *Fleet) shardedServices() []string {
	if f.rules == nil {
		return nil
	}
	return f.rules.ShardedServices()
}

// replaceSpread is the time over which the nodes of a site spread their writes after a
// restart of all, for each node. A write takes 20 ms and makes all others in flight fail.
const replaceSpread = 3 * time.Millisecond

// replaceSuperseded assigns the keys of ended incarnations of targets to the present ones,
// as the member records name the incarnation that runs. The planning node does so. Another
// node does so if the planning node is late with its own target, and then for all targets
// as well: after a restart of a whole site, separate writes of 184 nodes to the one record
// conflicted for 12 s.
func (f *Fleet) replaceSuperseded(m *rangesDraft, service string, now time.Duration) bool {
	hb := f.local.heartbeat
	serves := f.local.present && hb.Service == service && !hb.Lost
	superseded := serves && m.HasSuperseded(f.cfg.Name, hb.Incarnation)
	switch {
	case !superseded:
		f.releases.replaceAt = 0
	case f.releases.replaceAt == 0:
		f.releases.replaceAt = now + rand.N(replaceSpread*time.Duration(len(f.members)+1))
		if f.leader != "" {
			f.releases.replaceAt += releaseRecordWait
		}
		f.retryTimer.Reset(f.releases.replaceAt - now)
	}
	if !f.planner.leads.Load() && (!superseded || now < f.releases.replaceAt) {
		return false
	}
	return m.edit().ReplaceAllSuperseded(func(node string) (span.Incarnation, bool) {
		if node == f.cfg.Name {
			return hb.Incarnation, serves
		}
		v := f.members[node]
		if v.Target == nil || v.Target.Service != service || v.Target.Lost {
			return span.Incarnation{}, false
		}
		return v.Target.Incarnation, true
	})
}
