package fleet

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"burdocklift/store"
)

const (
	// watchWait is the longest wait of one call for changes, after which a relay notices
	// that the store does not answer. Rules are due everywhere within 2 s; with a wait of
	// 2 s they were late on the nodes behind such a relay.
	watchWait = time.Second
	// watchGrace is how much longer than the requested wait a call for changes may take
	// before its connection counts as dead.
	watchGrace = 400 * time.Millisecond
	// storeRetryInterval is the time between two calls for changes while the store does
	// not confirm this node's lease either. At 2.5 calls a second each, 87 nodes made
	// 1,000 calls in an outage of 9 s.
	storeRetryInterval = 2 * time.Second
	// retryWatchWait replaces watchWait after a failed call, as the node copies records
	// from other nodes between calls, and while the node's knowledge is old.
	retryWatchWait = 100 * time.Millisecond
	// changeBatchDelay is the wait between a call that returned changes and the next one,
	// so that changes in quick succession arrive together. At the start of 87 nodes, each
	// watching node made a call for each change.
	changeBatchDelay = 60 * time.Millisecond
	// deputyBatchDelay is the same wait on a node that watches the store without being the
	// first of its data centre or the planning node. While 87 nodes restart at once, most
	// of them watch the store, and made 600 calls a second.
	deputyBatchDelay = 250 * time.Millisecond
	// reloadTimeout bounds the reading of all records.
	reloadTimeout = 4 * time.Second
	// relaySilenceTimeout is the silence of the relay after which a node reads the records
	// from the store itself.
	relaySilenceTimeout = 2500 * time.Millisecond
	// maxAge is the age of its knowledge at which a node that the store answers asks the
	// store for changes itself. Behind a sound relay it is at most 1.5 s.
	maxAge = 1800 * time.Millisecond
	// relayCheckInterval is the interval at which silence and age are checked.
	relayCheckInterval = 100 * time.Millisecond
)

// follow keeps the records up to date until the context ends. The relay of each data
// centre and the planning node watch the store; the other nodes get changes from their
// relay.
func (f *Fleet) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		switch {
		case f.mustReload.Load():
			err = f.reload(ctx)
		case f.watches():
			err = f.watch(ctx)
		default:
			f.awaitRole(ctx, relayCheckInterval)
			if !f.checkRelay(ctx) {
				continue
			}
			err = f.watch(ctx)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
			f.mustReload.Store(true)
			continue
		}
		if ctx.Err() == nil {
			f.watchFailures.Add(1)
			f.lastWatchFailure.Store(int64(f.cfg.Clock.Elapsed()))
			f.logWatchFailure(ctx, err)
			f.noteStoreState(ctx, err)
			f.copyUntilRetry(ctx)
		}
	}
	return nil
}

// watches reports whether this node watches the store all the time.
func (f *Fleet) watches() bool {
	return f.planner.leads.Load() || f.relays.Load() || f.watchesAlone.Load()
}

// awaitRole sleeps until this node becomes the relay.
func (f *Fleet) awaitRole(ctx context.Context, d time.Duration) {
	t := f.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-f.roleChanged:
	case <-ctx.Done():
	}
}

// copyUntilRetry copies records from other nodes until it is time to call the store again
// or the store serves this node. A node that is neither the relay nor the planning node gets
// them from its relay.
func (f *Fleet) copyUntilRetry(ctx context.Context) {
	until := f.cfg.Clock.Elapsed() + storeRetryInterval
	for f.watches() {
		f.copyRecords(ctx)
		f.sleep(ctx, copyInterval)
		if ctx.Err() != nil || !f.storeLost.Load() || f.cfg.Clock.Elapsed() >= until {
			return
		}
	}
}

// checkRelay makes this node read the records from the store if its relay is silent. It
// reports whether the store can tell this node what its relay has not.
func (f *Fleet) checkRelay(ctx context.Context) (overdue bool) {
	// An error means that the loop has ended.
	_ = f.query(ctx, func(now time.Duration) {
		if now-f.relayHeardAt > relaySilenceTimeout {
			f.mustReload.Store(true)
			f.relayHeardAt = now
		}
		overdue = f.freshness.age(now) > maxAge && f.mayRelay(now)
	})
	return overdue
}

func (f *Fleet) reload(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, reloadTimeout)
	defer cancel()
	sent := f.cfg.Clock.Elapsed()
	var items []store.Item
	var rev uint64
	era, err := f.inEra(ctx, func() (err error) { items, rev, err = f.cfg.Store.ReadAll(callCtx, ""); return err })
	if err != nil {
		return err
	}
	return f.post(ctx, func(now time.Duration) {
		if !f.enterEra(era, now) {
			return
		}
		f.mustReload.Store(false)
		f.applyListing(f.ownRecords(items), "", rev)
		f.knownRev = max(f.knownRev, rev)
		f.freshness.confirm(sent)
		f.changesPending = true
		f.planner.reloaded = f.planner.leads.Load()
	})
}

func (f *Fleet) watch(ctx context.Context) error {
	after, known := uint64(0), uint64(0)
	wait := watchWait
	err := f.query(ctx, func(now time.Duration) {
		after, known = f.knownRev, f.eras.now
		if f.watchFailures.Load() > 0 || f.freshness.age(now) > maxRelayAge {
			wait = retryWatchWait
		}
	})
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	f.cancelWatch.Store(&cancel)
	var items []store.Item
	var next uint64
	era, err := f.inEra(ctx, func() (err error) { items, next, err = f.cfg.Store.Changes(callCtx, "", after, wait); return err })
	if err == nil && store.Restored(known, era) {
		err = errEraUnknown // the revision is of an earlier era
	}
	if err != nil {
		if f.mustReload.Load() {
			return errEraUnknown
		}
		return err
	}
	f.watchFailures.Store(0)
	err = f.post(ctx, func(now time.Duration) {
		if !f.enterEra(era, now) || f.eras.relisting {
			return
		}
		f.applyChanges(f.ownRecords(items), next, fromWatch)
		f.freshness.confirm(now)
	})
	switch {
	case len(items) == 0:
	case f.planner.leads.Load() || f.firstInDataCentre():
		f.sleep(ctx, changeBatchDelay)
	default:
		f.sleep(ctx, deputyBatchDelay)
	}
	return err
}

func (f *Fleet) logWatchFailure(ctx context.Context, err error) {
	// An error means that the loop has ended.
	_ = f.query(ctx, func(now time.Duration) {
		eventWatchFailed.Log(ctx, f.cfg.Log, slog.Uint64("rev", f.knownRev), slog.Int64("age_ms", f.freshness.age(now).Milliseconds()),
			slog.Int("failures", int(f.watchFailures.Load())), slog.String("error", err.Error()))
	})
}

// firstInDataCentre reports whether this node is the first of its data centre.
func (f *Fleet) firstInDataCentre() bool {
	v := f.View()
	here := func(name string) bool {
		return !v.members[name].Revoked && v.members[name].DataCentre == f.cfg.DataCentre
	}
	i := slices.IndexFunc(v.order, here)
	return i < 0 || v.order[i] == f.cfg.Name
}

// applyChanges applies the records that changed up to a revision.
func (f *Fleet) applyChanges(items []store.Item, rev uint64, from source) {
	f.applyRecords(items, from)
	f.knownRev = max(f.knownRev, rev)
	f.changesPending = true
}

// ownRecords returns the records of this system and those of the operators that concern it,
// and leaves out those of other programs.
func (f *Fleet) ownRecords(items []store.Item) []store.Item {
	var out []store.Item
	for _, it := range items {
		if it.Key == f.cfg.RulesKey || f.isEvacuation(it.Key) || strings.HasPrefix(it.Key, prefixOwn) {
			out = append(out, it)
		}
	}
	return out
}
