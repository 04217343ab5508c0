package triage_test

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/triage"
	"burdocklift/uplink"
)

// The load of a host whose target sends photographs over a link of 10 Mbit/s: the
// slots would bear three times as much, the link four fifths of it.
const (
	photoBytes     = 90_000
	photoWork      = 110 * time.Millisecond
	photoObjective = 800 * time.Millisecond
	photoDeadline  = 2 * time.Second
	photoSlots     = 6
	photoMbps      = 10
	photoRate      = 15.6 // per second, 1.25 times what nine tenths of the link carry
	photoTime      = 40 * time.Second
	photoSeed      = 26
)

// photoResult counts how the requests of a load ended.
type photoResult struct {
	asked, inTime, late, refused, failed int
	refusedAgain                         int
}

// worth returns the worth of the answers, of 1 for each request answered in time, less
// the cost of callers that returned in vain, as a part of all.
func (p photoResult) worth() float64 {
	return (float64(p.inTime) + 0.3*float64(p.late) - 0.3*float64(p.refusedAgain)) / float64(p.asked)
}

// replayPhotos plays the load. With knowsLink, requests are admitted by the link too.
func replayPhotos(t *testing.T, knowsLink bool) photoResult {
	t.Helper()
	var out photoResult
	synctest.Test(t, func(*testing.T) {
		c := clock.NewBubble()
		link := uplink.New(photoMbps, c)
		var l triage.Limiter
		l.SetSlots(photoSlots)
		rng := rand.New(rand.NewPCG(photoSeed, 1))
		var mu sync.Mutex
		var wg sync.WaitGroup
		for begin := c.Elapsed(); c.Elapsed()-begin < photoTime; time.Sleep(time.Duration(rng.ExpFloat64() / photoRate * float64(time.Second))) {
			size := int(photoBytes * math.Exp(0.6*rng.NormFloat64()-0.18))
			wg.Go(func() {
				inTime, served, refusals := requestPhoto(c, link, &l, size, knowsLink)
				mu.Lock()
				defer mu.Unlock()
				out.asked++
				switch {
				case inTime:
					out.inTime++
				case served:
					out.late++
				case refusals == 0:
					out.failed++
				default:
					out.refused++
				}
				if refusals > 1 {
					out.refusedAgain++
				}
			})
		}
		wg.Wait()
	})
	return out
}

// requestPhoto is a caller, which returns once if it is refused.
func requestPhoto(c clock.Clock, link *uplink.Scheduler, l *triage.Limiter, size int, knowsLink bool) (inTime, served bool, refusals int) {
	begin := c.Elapsed()
	ctx, cancel := context.WithTimeout(context.Background(), photoDeadline)
	defer cancel()
	for refusals < 2 {
		now := c.Elapsed()
		r := triage.Request{Class: "photo", Age: now - begin, Objective: begin + photoObjective, Deadline: begin + photoDeadline}
		if knowsLink {
			r.Transfer, r.Backlog = link.Delay(photoBytes)
		}
		w, err := l.Acquire(r, now)
		if w != nil {
			err = <-w.Done()
		}
		var refusal triage.Refusal
		if errors.As(err, &refusal) {
			refusals++
			time.Sleep(refusal.RetryAfter)
			continue
		}
		release := link.Reserve(photoBytes)
		time.Sleep(photoWork)
		l.Release("photo", photoWork, true, c.Elapsed())
		release()
		_, err = link.Write(ctx, io.Discard, make([]byte, size))
		return err == nil && c.Elapsed()-begin <= photoObjective, err == nil, refusals
	}
	return false, false, refusals
}

// Guards against a link that carries only answers that come too late: admitted by slots
// alone, requests queue for the link until their deadline.
func TestTransfers(t *testing.T) {
	slots, link := replayPhotos(t, false), replayPhotos(t, true)
	t.Logf("seed %d: slots alone %+v, worth %.2f; with the link %+v, worth %.2f", photoSeed, slots, slots.worth(), link, link.worth())
	if link.worth() < 0.6 || link.worth() < 2*slots.worth() {
		t.Errorf("worth is %.2f with the link and %.2f without it, want 0.60 and twice as much", link.worth(), slots.worth())
	}
	if link.failed > 0 {
		t.Errorf("%d accepted requests were not answered before their deadline", link.failed)
	}
}
