package main

import (
	"context"
	"math/rand/v2"
	"time"

	"burdocklift/emul"
)

const (
	// seriesInterval bounds the pause between two series of returns of the store, and
	// returnInterval that between two returns of a series.
	seriesInterval = 8 * time.Second
	returnInterval = 2500 * time.Millisecond
	maxReturns     = 5
	// maxCopyAge is the greatest age of the copy from which the store comes back. It reaches
	// back over the returns of a series, and mostly over those of the one before.
	maxCopyAge = 12 * time.Second
	// storeAway is how long the store is away before it comes back.
	storeAway = 300 * time.Millisecond
)

// playSeries brings the store back from older copies in series until the context ends, with
// all nodes killed before, between or after the returns. Its random numbers are not those of
// the schedule.
func (r *Runner) playSeries(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	for wait(ctx, upTo(seriesInterval)) {
		for range 1 + rng.IntN(maxReturns) {
			if rng.IntN(3) == 0 {
				r.killAll(ctx, 200*time.Millisecond+upTo(5*time.Second))
			}
			if age := upTo(maxCopyAge); wait(ctx, upTo(returnInterval)) {
				r.returnStore(ctx, age)
			}
		}
	}
}

// returnStore takes the store away for a moment and brings it back from a copy of an age.
func (r *Runner) returnStore(ctx context.Context, age time.Duration) {
	r.note(storeAway, "store away, goes back by %v", age)
	r.unserveAll(storeAway)
	r.setStore(func(f *emul.LedgerFaults) { f.Down = true })
	wait(ctx, storeAway)
	r.site.ledger.Restore(age)
	r.site.PutRules() // as operators do
	r.setStore(func(f *emul.LedgerFaults) { f.Down = false })
}

// killAll kills all nodes and starts them again after a time.
func (r *Runner) killAll(ctx context.Context, d time.Duration) {
	r.note(d+restartSlack, "all nodes killed for %v", d)
	for _, m := range r.site.machines {
		m.Disturb(d + restartSlack)
		m.Kill()
	}
	r.later(ctx, d, func() {
		for _, m := range r.site.machines {
			r.restart(m)
		}
	})
}
