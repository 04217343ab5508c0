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
	// When it is reached, all reasons are forgotten.
	maxReasons = 64
)

// errorLog logs rejected input, with a rate limit per reason.
type errorLog struct {
	clock clock.Clock
	log   *slog.Logger

	mu            sync.Mutex
	silencedUntil map[string]time.Duration // by reason
}

// report logs a reason for which an input with an id was rejected, at most once in
// repeatInterval.
func (l *errorLog) report(ctx context.Context, e *event.Event, id string, reason error) {
	now := l.clock.Elapsed()
	l.mu.Lock()
	silenced := now < l.silencedUntil[reason.Error()]
	if !silenced {
		if l.silencedUntil == nil || len(l.silencedUntil) >= maxReasons {
			l.silencedUntil = make(map[string]time.Duration)
		}
		l.silencedUntil[reason.Error()] = now + repeatInterval
	}
	l.mu.Unlock()
	if !silenced {
		e.Log(ctx, l.log, slog.String("id", id), slog.String("error", reason.Error()))
	}
}
