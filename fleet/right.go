package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"burdocklift/store"
)

const (
	// rightTTL is how long a node may let its target hold keys after the store or its
	// witnesses confirmed its right. A takeover has to wait for it. It is long enough for
	// a failed renewal, the following call to the witnesses and the time to the next
	// heartbeat of the target.
	rightTTL = 2500 * time.Millisecond
	// rightMargin is added by nodes that wait for the end of another node's right.
	rightMargin = 300 * time.Millisecond
	// leaseTTL is the lifetime of a lease. It only bounds how long a lost node's lease
	// stays at the store, since the right to grant ends much sooner.
	leaseTTL = 10 * time.Minute
	// renewInterval is the time between two renewals, each of which costs the store a
	// tenth of a read. If one fails and the witnesses confirm the right instead, the right
	// still lasts longer than one heartbeat.
	renewInterval = 800 * time.Millisecond
	// renewRetryInterval is the time from a renewal that neither the store nor the
	// witnesses confirmed to the next one.
	renewRetryInterval = 200 * time.Millisecond
	// renewTimeout bounds a renewal at the store, after which the witnesses are asked.
	renewTimeout = 450 * time.Millisecond
	// readTimeout bounds the reading of one record.
	readTimeout = 900 * time.Millisecond
	// replaceWitnessesTimeout bounds the recording of new witnesses, during which the right
	// is not renewed.
	replaceWitnessesTimeout = time.Second
	// revokeTimeout bounds the steps that end another node's right.
	revokeTimeout = 2 * time.Second
	// acquireTimeout bounds the steps to a new lease.
	acquireTimeout = 3 * time.Second
	// unreachableWitnessDelay is how long a witness may be unreachable before the node
	// replaces its witnesses. missingWitnessDelay is how long a witness may be missing or
	// have ended before that; it is shorter, as after the start of all nodes each one
	// knows others by their earlier runs.
	unreachableWitnessDelay = 5 * time.Second
	missingWitnessDelay     = time.Second
	// acquireRetryInterval is the time between two attempts to take a lease while the
	// store does not serve this node.
	acquireRetryInterval = 400 * time.Millisecond
)

// grantRight is a node's right to let its target hold keys. It is backed by a lease that
// other nodes can end.
type grantRight struct {
	lease      uint64
	era        uint64 // of the lease
	witnesses  []Witness
	validUntil time.Duration // by the clock of this node
}

// holdLease holds a lease at the store until the context ends. The member record names the
// lease before the ranges are read under it, so that a node that moves keys away after
// this reading finds the lease to end.
func (f *Fleet) holdLease(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := f.acquireLease(ctx)
		if err != nil {
			f.noteStoreState(ctx, err)
			f.sleep(ctx, acquireRetryInterval)
			continue
		}
		f.noteStoreState(ctx, nil)
		eventRightRenewed.Log(ctx, f.cfg.Log, slog.Uint64("lease", lease))
		f.renewRight(ctx, lease)
	}
	return nil
}

// acquireLease takes a new lease, records it in the member record and then reads the
// ranges.
func (f *Fleet) acquireLease(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	sent := f.cfg.Clock.Elapsed()
	var lease uint64
	era, err := f.inEra(ctx, func() (err error) { lease, err = f.cfg.Store.NewLease(ctx, leaseTTL); return err })
	if err != nil {
		return 0, err
	}
	err = f.post(ctx, func(time.Duration) {
		f.grantRight.lease, f.grantRight.era = lease, era
		f.grantRight.witnesses = f.chooseWitnesses()
	})
	if err != nil {
		return 0, err
	}
	if err := f.await(ctx, func() bool { return f.recordNames(lease) || f.eras.now != era }); err != nil {
		return 0, err
	}
	var items []store.Item
	var rev uint64
	listed, err := f.inEra(ctx, func() (err error) { items, rev, err = f.cfg.Store.ReadAll(ctx, prefixOwn); return err })
	if err != nil {
		return 0, err
	}
	postErr := f.post(ctx, func(now time.Duration) {
		if listed != era || f.eras.now != era {
			err = errEraUnknown
			return
		}
		f.applyListing(items, prefixOwn, rev)
		f.extendRight(sent, now)
	})
	return lease, errors.Join(postErr, err)
}

// recordNames reports whether this node's record names a lease of the present era.
func (f *Fleet) recordNames(lease uint64) bool {
	m := f.members[f.cfg.Name]
	return m.Lease == lease && f.grantRight.era == f.eras.now && f.presentEra(m.Era)
}

// keepLease renews a lease at the store. One of an earlier era is lost: the store may
// have given its number to another node since.
func (f *Fleet) keepLease(ctx context.Context, lease uint64) error {
	era, err := f.inEra(ctx, func() error { return f.cfg.Store.KeepLease(ctx, lease) })
	lost := errors.Is(err, store.ErrRestored)
	// An error means that the loop has ended.
	_ = f.query(ctx, func(time.Duration) { lost = lost || err == nil && f.grantRight.era != era })
	if lost {
		return fmt.Errorf("%w: it is of an earlier era", store.ErrLeaseLost)
	}
	return err
}

// renewRight renews a lease and the right until the lease is lost or new witnesses cannot
// be recorded. While the store does not confirm the lease, the witnesses confirm the
// right.
func (f *Fleet) renewRight(ctx context.Context, lease uint64) {
	confirmedAt := f.cfg.Clock.Elapsed() // when the call that the store last confirmed was sent
	healthyAt := confirmedAt             // when the witnesses were last healthy
	next := confirmedAt + renewInterval
	for {
		f.sleep(ctx, next-f.cfg.Clock.Elapsed())
		sent := f.cfg.Clock.Elapsed()
		next = sent + renewInterval
		if ctx.Err() != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := f.keepLease(callCtx, lease)
		cancel()
		f.noteStoreState(ctx, err)
		if errors.Is(err, store.ErrLeaseLost) {
			eventRightLost.Log(ctx, f.cfg.Log, slog.Uint64("lease", lease))
			f.sleep(ctx, f.lostLeaseDelay(ctx))
			return
		}
		if err != nil {
			sent = f.cfg.Clock.Elapsed()
			if sent-confirmedAt > witnessOnlyTime-rightTTL || !f.requestConfirmation(ctx, lease) {
				next = f.cfg.Clock.Elapsed() + renewRetryInterval
				continue
			}
			eventRightConfirmed.Log(ctx, f.cfg.Log, slog.Uint64("lease", lease), slog.Duration("store_age", sent-confirmedAt))
		}
		// An error means that the loop has ended.
		missing := false
		_ = f.post(ctx, func(now time.Duration) {
			f.extendRight(sent, now)
			_, known := f.members[f.cfg.Name]
			missing = !known
		})
		if err != nil {
			continue
		}
		if missing {
			return // a late write of another node removed this node's record
		}
		confirmedAt = sent
		s := f.checkWitnesses()
		if s == witnessUnreachable && sent-healthyAt > unreachableWitnessDelay || s == witnessMissing && sent-healthyAt > missingWitnessDelay {
			if !f.replaceWitnesses(ctx, lease) {
				return
			}
			s = witnessesHealthy
		}
		if s == witnessesHealthy {
			healthyAt = sent
		}
	}
}

// lostLeaseDelay returns the wait before a node takes another lease: after a restore of the
// store all nodes do.
func (f *Fleet) lostLeaseDelay(ctx context.Context) (d time.Duration) {
	// An error means that the loop has ended.
	_ = f.query(ctx, func(now time.Duration) {
		if f.eras.restored && now-f.eras.since < renewInterval+maxRestoreSpread {
			d = f.restoreDelay()
		}
	})
	return d
}

// chooseWitnesses returns witnesses among the reachable nodes. It is called on the loop.
func (f *Fleet) chooseWitnesses() []Witness {
	var members []Member
	f.View().Members(func(m Member) {
		if !m.Revoked && f.cfg.Peers.Reachable(m.Address) {
			members = append(members, m)
		}
	})
	return chooseWitnesses(Member{Name: f.cfg.Name, DataCentre: f.cfg.DataCentre}, members)
}

// replaceWitnesses records new witnesses for a lease, and reports whether they are known
// to be in the record. Nothing confirms the right meanwhile: a node that ends it asks the
// witnesses of the record, and acts only while the record is unchanged.
func (f *Fleet) replaceWitnesses(ctx context.Context, lease uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, replaceWitnessesTimeout)
	defer cancel()
	var chosen []Witness
	err := f.post(ctx, func(time.Duration) {
		chosen = f.chooseWitnesses()
		f.grantRight.witnesses = chosen
	})
	return err == nil && f.await(ctx, func() bool {
		m := f.members[f.cfg.Name]
		return m.Lease == lease && slices.Equal(m.Witnesses, chosen)
	}) == nil
}

// witnessHealth is whether the witnesses of a node can confirm its right.
type witnessHealth int

const (
	witnessesHealthy   witnessHealth = iota
	witnessUnreachable               // at least one is not reachable
	witnessMissing                   // one has ended, or there are fewer than possible
)

func (f *Fleet) checkWitnesses() witnessHealth {
	v := f.View()
	m, ok := v.Member(f.cfg.Name)
	others := -1 // excludes this node
	v.Members(func(m Member) {
		if !m.Revoked {
			others++
		}
	})
	if !ok || len(m.Witnesses) < min(witnessCount, others) {
		return witnessMissing
	}
	s := witnessesHealthy
	for _, w := range m.Witnesses {
		switch m, ok := v.Member(w.Name); {
		case !ok || m.Revoked || m.Run != w.Run:
			return witnessMissing
		case !f.cfg.Peers.Reachable(w.Address):
			s = witnessUnreachable
		}
	}
	return s
}

// await waits until a condition on the state of the loop is met.
func (f *Fleet) await(ctx context.Context, condition func() bool) error {
	for {
		met := false
		changed := f.View().Changed()
		if err := f.query(ctx, func(time.Duration) { met = condition() }); err != nil || met {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Fleet) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := f.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// noteStoreState logs when the store stops and resumes answering this node.
func (f *Fleet) noteStoreState(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	lost := err != nil && !errors.Is(err, store.ErrLeaseLost)
	if f.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		eventStoreLost.Log(ctx, f.cfg.Log, slog.String("error", err.Error()))
	} else {
		eventStoreBack.Log(ctx, f.cfg.Log)
	}
}
