package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"burdocklift/clock"
	"burdocklift/event"
)

const (
	// repeatInterval is the time after which the same reason is logged again.
	repeatInterval = time.Minute
	// maxReasons bounds the memory for reasons, whose texts contain the sender's input.
	maxReasons = 64
)

// errorLog logs rejected input, with a rate limit per reason.
type errorLog struct {
	clock clock.Clock
	log   *slog.Logger

	mu            sync.Mutex
	silencedUntil map[string]time.Duration // by reason
}

func (r *errorLog) report(ctx context.Context, e *event.Event, id string, reason error) {
	now := r.clock.Elapsed()
	r.mu.Lock()
	silenced := now < r.silencedUntil[reason.Error()]
	if !silenced {
		if r.silencedUntil == nil || len(r.silencedUntil) >= maxReasons {
			r.silencedUntil = make(map[string]time.Duration)
		}
		r.silencedUntil[reason.Error()] = now + repeatInterval
	}
	r.mu.Unlock()
	if !silenced {
		e.Log(ctx, r.log, slog.String("id", id), slog.String("error", reason.Error()))
	}
}
