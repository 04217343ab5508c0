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
	// commitTimeout bounds a write, which takes 4 ms and up to 17 ms of way.
	commitTimeout = 2 * time.Second
	// writeRetry is the time between a refused write and the next one. Doubled
	// at each further refusal up to writeRetryMax.
	writeRetry    = 100 * time.Millisecond
	writeRetryMax = time.Second
	// rereadInterval is the time between two attempts to read what became of a write.
	rereadInterval = time.Second
	// conflictRetry bounds the random time after a change of another node, whose
	// record has been read then. Several nodes release keys at the same time.
	conflictRetry = 40 * time.Millisecond
)

// writer brings the stored records in line with what the node knows, with one
// write at a time.
type writer struct {
	busy     bool
	notUntil time.Duration
	delay    time.Duration
}

// reconcile starts the write that is due, if any.
func (f *Fleet) reconcile(ctx context.Context, now time.Duration) {
	if !f.synced || f.writer.busy || now < f.writer.notUntil {
		return
	}
	txn, reason := f.memberTxn(now)
	if reason == "" {
		txn, reason = f.rangesTxn(now)
	}
	if reason == "" {
		txn, reason = f.lostTxn(now)
	}
	if reason == "" {
		txn, reason = f.forgetTxn(now)
	}
	if len(f.book.tell) > 0 {
		go f.tellFreed(ctx, f.leader, freedCall{Freed: f.book.tell})
		f.book.tell = make(map[string][]span.Release)
	}
	if reason == "" {
		return
	}
	f.writer.busy = true
	go f.commit(ctx, txn, reason)
}

// commit writes and takes the result back to the loop. It ends when the result
// is known or the context has ended.
func (f *Fleet) commit(ctx context.Context, txn store.Txn, reason string) {
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	rev, err := f.cfg.Store.Commit(call, txn)
	cancel()
	var current []store.Item
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUncertain) {
		current = f.reread(ctx, txn)
	}
	// An error means that the loop has ended, and the result with it.
	_ = f.post(ctx, func(now time.Duration) { f.written(ctx, now, txn, reason, rev, current, err) })
}

// reread reads the records of a write that did not take effect as expected. It
// tries until the store answers, since nothing is known before.
func (f *Fleet) reread(ctx context.Context, txn store.Txn) []store.Item {
	var out []store.Item
	for _, e := range txn.Expect {
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, readTimeout)
			it, err := f.cfg.Store.Read(call, e.Key)
			cancel()
			if err == nil {
				out = append(out, it)
				break
			}
			if errors.Is(err, store.ErrNotFound) {
				break // the watch tells the revision of the removal
			}
			f.pause(ctx, rereadInterval)
		}
	}
	return out
}

func (f *Fleet) written(ctx context.Context, now time.Duration, txn store.Txn, reason string, rev uint64, current []store.Item, err error) {
	f.writer.busy = false
	if err != nil {
		f.writer.delay = min(max(2*f.writer.delay, writeRetry), writeRetryMax)
		if errors.Is(err, store.ErrConflict) {
			f.writer.delay = rand.N(conflictRetry)
		}
		f.writer.notUntil = now + f.writer.delay
		f.retry.Reset(f.writer.delay)
		eventWriteFailed.Log(ctx, f.cfg.Log, slog.String("reason", reason), slog.String("error", err.Error()))
		f.adopt(current)
		return
	}
	f.writer.delay = 0
	items := make([]store.Item, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		items = append(items, store.Item{Key: w.Key, Value: w.Value, Rev: rev})
	}
	for _, key := range txn.Deletes {
		items = append(items, store.Item{Key: key, Rev: rev, Removed: true})
	}
	f.adopt(items)
	f.gather = true
	eventRangesWritten.Log(ctx, f.cfg.Log, slog.String("reason", reason), slog.Uint64("rev", rev))
}

// expect returns the condition that a record is as this node knows it.
func (f *Fleet) expect(key string) store.Expect {
	it := f.items[key]
	if it.Removed {
		return store.Expect{Key: key}
	}
	return store.Expect{Key: key, Rev: it.Rev}
}

// memberTxn writes this node's own record if it is not up to date.
func (f *Fleet) memberTxn(now time.Duration) (store.Txn, string) {
	if f.right.lease == 0 {
		return store.Txn{}, ""
	}
	want := Member{
		Name: f.cfg.Name, Address: f.cfg.Address, DataCentre: f.cfg.DataCentre, Region: f.cfg.Region,
		Run: f.run, Lease: f.right.lease, Target: f.ownTarget(now), Witnesses: f.right.witnesses,
		Stopping: f.stopping,
	}
	have, ok := f.members[f.cfg.Name]
	if ok && sameMember(have, want) {
		return store.Txn{}, ""
	}
	key := prefixMember + f.cfg.Name
	return store.Txn{
		Expect: []store.Expect{f.expect(key)},
		Writes: []store.Write{{Key: key, Value: encodeMember(want)}},
	}, "member"
}

func sameMember(a, b Member) bool {
	if (a.Target == nil) != (b.Target == nil) || a.Target != nil && *a.Target != *b.Target {
		return false
	}
	return a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Region == b.Region &&
		a.Run == b.Run && a.Lease == b.Lease && a.Ended == b.Ended && a.Stopping == b.Stopping && slices.Equal(a.Witnesses, b.Witnesses)
}

// rangesTxn changes the owners of keys of one service as far as this node is
// the one to do it.
func (f *Fleet) rangesTxn(now time.Duration) (store.Txn, string) {
	for _, service := range f.keyed() {
		old, ok := f.ranges[service]
		m := old.Clone()
		reason := ""
		note := func(changed bool, why string) {
			if changed {
				reason += " " + why
			}
		}
		if ok {
			note(f.recordRenewed(&m, service, now), "renewed")
			note(f.recordFreed(&m, service, now), "released")
		}
		note(f.plan(&m, service, now), "moved")
		ended := f.recordEnded(&m, now)
		note(len(ended) > 0, "settled")
		if reason == "" {
			continue
		}
		m.Merge()
		if err := m.Check(); err != nil {
			panic(fmt.Sprintf("ranges of service %s after%s: %v", service, reason, err))
		}
		value, err := m.Encode()
		if err != nil {
			panic(fmt.Sprintf("ranges of plain fields do not encode: %v", err))
		}
		key := prefixRanges + service
		txn := store.Txn{Expect: []store.Expect{f.expect(key)}, Writes: []store.Write{{Key: key, Value: value}}}
		f.endedTxn(&txn, ended)
		return txn, "ranges of " + service + ":" + reason
	}
	return store.Txn{}, ""
}

// keyed returns the services whose keys are divided.
func (f *Fleet) keyed() []string {
	if f.rules == nil {
		return nil
	}
	return f.rules.ShardedServices()
}

// recordRenewed gives the keys of ended lives of targets to the present ones. The
// planning node does so for all, as they say in their members' records which life
// runs; after the restart of a whole site, writes of all nodes to the one record
// failed for each other's sake. Others do so for their own target if it is late.
func (f *Fleet) recordRenewed(m *span.Map, service string, now time.Duration) bool {
	changed := false
	leads := f.planner.leads.Load()
	if leads {
		for name, v := range f.members {
			if name != f.cfg.Name && v.Target != nil && v.Target.Service == service && !v.Target.Lost {
				changed = m.ReplaceSuperseded(name, v.Target.Life) || changed
			}
		}
	}
	b := f.local.beat
	if !f.local.present || b.Service != service || b.Lost {
		return changed
	}
	if !m.HasSuperseded(f.cfg.Name, b.Life) {
		f.book.renewAt = 0
		return changed
	}
	if f.book.renewAt == 0 {
		f.book.renewAt = now + freedWait
	}
	if !leads && f.leader != "" && now < f.book.renewAt {
		return changed
	}
	return m.ReplaceSuperseded(f.cfg.Name, b.Life)
}
