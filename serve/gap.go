package serve

import (
	"cmp"
	"sync"
	"time"
)

const (
	// handoverTime is how long keys have no holder in a usual handover at most: one
	// heartbeat each of the old and the new owner, at most 0.87 s apart, and
	// two writes.
	handoverTime = 1300 * time.Millisecond
	// grantTime is the longest time from the end of an earlier owner's right until the
	// new owner's target holds the keys: a write and one heartbeat.
	grantTime = 900 * time.Millisecond
	// unheldRetryAfter is the retry-after for keys that have had no holder for
	// longer than a handover takes, for example after the loss of a host.
	unheldRetryAfter = time.Second
	// maxUnheldRanges bounds the size of unheldRanges, which is emptied when it
	// is full.
	maxUnheldRanges = 1024
)

// unheldRanges records since when requests have met key ranges that the local
// target owns but does not hold yet. It distinguishes handovers, whose end can be
// foreseen and for which requests wait, from longer outages, in which waiting would
// only delay a refusal.
type unheldRanges struct {
	mu      sync.Mutex
	since   map[uint64]time.Duration // by epoch
	waiting int                      // requests
	mean    time.Duration            // of handovers, zero before the first one
}

// gapWeight is the weight of a new handover in their mean time.
const gapWeight = 0.1

// markHeld records that the local target holds the keys of an epoch.
func (u *unheldRanges) markHeld(epoch uint64, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, ok := u.since[epoch]
	if !ok {
		return
	}
	delete(u.since, epoch)
	if gap := now - since; gap <= handoverTime {
		u.mean = u.expected() + time.Duration(gapWeight*float64(gap-u.expected()))
	}
}

// expected returns how long keys are expected to have no holder in a handover.
func (u *unheldRanges) expected() time.Duration { return cmp.Or(u.mean, handoverTime/2) }

// addWaiting counts requests that wait for a holder, and returns their number.
func (u *unheldRanges) addWaiting(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting += n
	return u.waiting
}

// unheldRequest is a request for keys without a holder.
type unheldRequest struct {
	epoch    uint64
	deadline time.Duration
	// rightEnd is when the right of an earlier owner ends, zero if none is known.
	rightEnd time.Duration
	// needs is the time to run the request and those that wait with it.
	needs time.Duration
}

// waitTime returns how long a request waits for a holder of its keys, or zero and the
// retry-after of its refusal. It waits if it can end before its deadline when the keys are
// expected to have a holder, and for as long as it can.
func (u *unheldRanges) waitTime(req unheldRequest, now time.Duration) (wait, retryAfter time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, ok := u.since[req.epoch]
	if !ok {
		if u.since == nil || len(u.since) >= maxUnheldRanges {
			u.since = make(map[uint64]time.Duration)
		}
		since = now
		u.since[req.epoch] = now
	}
	latest := since + handoverTime - now
	expected := since + u.expected() - now
	if expected <= 0 {
		expected = latest / 2
	}
	if req.rightEnd > 0 {
		latest = max(latest, req.rightEnd+grantTime-now)
		expected = max(expected, req.rightEnd+grantTime/2-now, latest/2)
	}
	switch {
	case latest <= 0:
		return 0, unheldRetryAfter
	case now+expected+req.needs > req.deadline:
		return 0, expected
	}
	return min(latest, req.deadline-req.needs-now), 0
}
