package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"burdocklift/span"
	"burdocklift/store"
)

const (
	// restoreSpread is the time over which the nodes of a site spread what each writes after
	// a restore of the store, for each node, and maxRestoreSpread bounds it: the right to
	// grant lasts for 2.5 s.
	restoreSpread    = 3 * time.Millisecond
	maxRestoreSpread = 600 * time.Millisecond
	// operatorGrace is how long records of operators that a restored store lacks stay in
	// force. Operators write them again some seconds after a restore.
	operatorGrace = 15 * time.Second
	// epochsPerEra is the number of epochs that each era of the store has for itself. At most
	// 50 writes a second with an epoch for each of 1,200 targets use them up in 20 hours.
	epochsPerEra = 1 << 32
	// maxEpochEras bounds the eras with epochs of their own. Targets may read numbers as
	// floating point numbers, which represent integers up to 2^53 exactly.
	maxEpochEras = 1<<21 - 1
	// epochGap is added to the highest known epoch after a restore, for eras that have used
	// up their epochs or have none of their own.
	epochGap = 1 << 20
)

// lastEpochBefore returns the highest epoch that belongs to earlier eras of the store than a
// given one. Epochs above it were issued in no earlier era, also if nobody remembers what
// these have issued.
func lastEpochBefore(era uint64) uint64 {
	if era <= store.FirstEra {
		return 0
	}
	return min(era-store.FirstEra, maxEpochEras)*epochsPerEra - 1
}

// eras is what a node knows of restores of the store from older copies. Each begins an
// era. It is owned by the loop, except for listed.
type eras struct {
	now uint64 // present era, 0 if the store names none
	// restored is true if an era began while this node ran.
	restored bool
	// listed is true once this node has read the records. It is read by any goroutine.
	listed    atomic.Bool
	since     time.Duration // when this node learned of the present era
	relisting bool          // the records of the present era are not listed yet
	// keepsVanished is true until records of operators that are missing since then are dropped.
	keepsVanished bool
	// kept are the services whose ranges this node read in an earlier era and that the
	// planning node has not restored yet. The value is false if the right to grant has
	// lapsed since, so that others may have the keys.
	kept map[string]bool
	// stored is the era that the stored ranges of a service name.
	stored map[string]uint64
	// ownReplaced is true if a late write of an earlier era has replaced this node's record.
	ownReplaced bool
	// laterRun are the nodes of which this one knows a later run than their stored record.
	laterRun map[string]bool
	// recordedAt is when the member record of a node last changed.
	recordedAt map[string]time.Duration
}

// presentEra reports whether a record or a message is of the present era. One that names none
// is of the first era, as long as the store named none, or of a node of a version that does
// not know eras. Such nodes are trusted until the store is restored.
func (f *Fleet) presentEra(era uint64) bool {
	if era != 0 || f.eras.now <= store.FirstEra {
		return era == f.eras.now || era == 0
	}
	return !f.eras.restored && f.knowsEarlierNodes()
}

// knowsEarlierNodes reports whether nodes of a version that does not know eras take part.
func (f *Fleet) knowsEarlierNodes() bool {
	for name, version := range f.replyVersions {
		if _, ok := f.members[name]; ok && version < gatherVersion {
			return true
		}
	}
	for _, version := range f.versions {
		if version > 0 && version < gatherVersion { // 0 is also that of a probe
			return true
		}
	}
	return false
}

// enterEra takes over an era that the store or another node has shown, and reports
// whether it is the present one. After a restore no revision that was read before counts,
// and all records are listed anew. It is called on the loop.
func (f *Fleet) enterEra(era uint64, now time.Duration) bool {
	if era <= f.eras.now {
		return era == f.eras.now
	}
	earlier := f.eras.now
	// A node that knows no records yet learns the era of those that it is about to read.
	restored := store.Restored(earlier, era) && (earlier != 0 || f.synced || len(f.items) > 0)
	f.eras.since = now
	for service, m := range f.ranges {
		if restored && f.presentEra(m.Era) {
			f.eras.kept[service] = now < f.grantRight.validUntil
		}
	}
	f.eras.now = era
	f.knownEra.Store(era)
	if !restored {
		return true
	}
	f.eras.restored, f.eras.relisting, f.eras.keepsVanished = true, true, true
	f.knownRev = 0
	clear(f.items)
	clear(f.peerRevs)
	clear(f.packed)
	clear(f.rangeChanges)
	clear(f.eras.stored)
	clear(f.eras.recordedAt)
	clear(f.eras.laterRun)
	clear(f.revoker.revocations)
	clear(f.releases.fromPeers)
	f.releases.sentAt = nil
	f.planner.gather = gathering{}
	f.writer.nextAttempt = now + f.restoreDelay()
	f.retryTimer.Reset(f.writer.nextAttempt - now)
	f.recordCrashesAgain(now)
	f.mustReload.Store(true)
	if cancel := f.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
	select {
	case f.roleChanged <- struct{}{}:
	default:
	}
	eventStoreRestored.Log(context.Background(), f.cfg.Log, slog.Uint64("era", era-1), slog.Uint64("earlier", max(earlier, store.FirstEra)-1),
		slog.Int("services_kept", len(f.eras.kept)))
	f.publish()
	return true
}

// restoreDelay returns a random wait before a node writes after a restore.
func (f *Fleet) restoreDelay() time.Duration {
	return rand.N(min(restoreSpread*time.Duration(len(f.members)+1), maxRestoreSpread))
}

// noteLapse records that this node's right to grant lapsed, so that ranges of an earlier
// era are no longer a reason to grant. It is called before the right is extended.
func (f *Fleet) noteLapse(now time.Duration) {
	if now < f.grantRight.validUntil {
		return
	}
	for service := range f.eras.kept {
		f.eras.kept[service] = false
	}
}

// extendRight extends the right to grant, confirmed by a call that was sent at a time.
func (f *Fleet) extendRight(sent, now time.Duration) {
	f.noteLapse(now)
	f.grantRight.validUntil = max(f.grantRight.validUntil, sent+rightTTL)
}

// mayGrant reports whether the known ranges of a service are a reason to let the target
// hold keys: they are of the present era, or were known before it began and the right
// has not lapsed since.
func (f *Fleet) mayGrant(service string) bool {
	return f.presentEra(f.ranges[service].Era) || f.eras.kept[service]
}

// rangesRestored reports whether the known ranges of a service are of the present era.
func (f *Fleet) rangesRestored(service string) bool {
	m, ok := f.ranges[service]
	return f.eras.now == 0 || ok && f.presentEra(m.Era)
}

// adoptRanges applies stored ranges. Those of an earlier era replace none that this node
// knows: they are older, or a late write on a condition that no longer means anything.
func (f *Fleet) adoptRanges(service string, m span.Map, rev uint64) {
	f.eras.stored[service] = m.Era
	old, known := f.ranges[service]
	_, kept := f.eras.kept[service]
	if !f.presentEra(m.Era) && known && (kept || f.presentEra(old.Era)) {
		return
	}
	if f.presentEra(m.Era) {
		delete(f.eras.kept, service)
	}
	f.noteRangeChange(service, old, m, rev)
	f.ranges[service] = m
	f.rangesRev[service] = rev
}

// keepMember reports whether what this node knows of a node is newer than its stored
// record, which is of an earlier era.
func (f *Fleet) keepMember(old, stored Member) bool {
	return !f.presentEra(stored.Era) && old.Run >= stored.Run
}

// earlierRightEnded reports whether the right of a node whose record is of an earlier
// era, or is missing, has certainly ended: the store confirms no lease of an earlier
// era, and witnesses do for 25 s at most. Writes that rely on it expect the record
// unchanged or missing.
func (f *Fleet) earlierRightEnded(name string, now time.Duration) bool {
	m, ok := f.members[name]
	if f.eras.now == 0 || f.eras.relisting || ok && (m.Era == 0 || m.Era == f.eras.now) {
		return false
	}
	return now >= max(f.eras.since, f.eras.recordedAt[name])+witnessOnlyTime+rightMargin
}

// Era returns the number that the store gives its present era, which rises at each
// restore from an older copy. It reports false if the store names none.
func (f *Fleet) Era() (uint64, bool) {
	era := f.knownEra.Load()
	return max(era, 1) - 1, era > 0
}

// vanishedUntil returns until when records of operators that a restored store lacks stay in
// force, or 0. The first listing of an era reports no removals.
func (f *Fleet) vanishedUntil() time.Duration {
	if !f.eras.restored {
		return 0
	}
	return f.eras.since + operatorGrace
}

// dropVanished ends the evacuations whose records are still missing some time after a
// restore of the store.
func (f *Fleet) dropVanished(now time.Duration) {
	if !f.eras.keepsVanished || f.eras.relisting || now < f.vanishedUntil() {
		return
	}
	f.eras.keepsVanished = false
	for dataCentre := range f.policy.Evacuations() {
		key := f.cfg.EvacuationPrefix + dataCentre
		if it, ok := f.items[key]; ok && !it.Removed {
			continue
		}
		f.applyRecords([]store.Item{{Key: key, Rev: f.knownRev, Removed: true}}, fromList)
	}
}

// errEraUnknown is returned for a call that was not answered in one era.
var errEraUnknown = fmt.Errorf("%w: during the call", store.ErrRestored)

// inEra makes a call to the store and returns the era in which it was answered. If the
// era changed meanwhile the result is void.
func (f *Fleet) inEra(ctx context.Context, call func() error) (uint64, error) {
	seen := func() uint64 { return max(f.cfg.Store.Era(), f.knownEra.Load()) }
	before := seen()
	err := call()
	era := seen()
	if era > f.knownEra.Load() {
		// An error means that the loop has ended.
		_ = f.query(ctx, func(now time.Duration) { f.enterEra(era, now) })
	}
	if store.Restored(before, era) && (before != 0 || f.eras.listed.Load()) && (err == nil || !errors.Is(err, store.ErrUncertain)) {
		return era, errEraUnknown
	}
	return era, err
}
