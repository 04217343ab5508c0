package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Health tracks whether a store answers this node itself. Calls that other nodes make on
// its behalf must not be recorded. The zero value is that of a store that answers.
type Health struct {
	mu        sync.Mutex
	failing   bool          // the last call was not answered
	failed    bool          // a call has failed
	failedAt  time.Duration // when a call last failed
	failingCh chan struct{}
}

// Record takes the result of a call. A call that its caller gave up says nothing.
func (h *Health) Record(err error, now time.Duration) {
	if errors.Is(err, context.Canceled) {
		return
	}
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBusy) || errors.Is(err, ErrUncertain)
	h.mu.Lock()
	defer h.mu.Unlock()
	if failed && !h.failing {
		select {
		case h.notifier() <- struct{}{}:
		default:
		}
	}
	h.failing = failed
	if failed {
		h.failed, h.failedAt = true, now
	}
}

// Answers reports whether the store answered the last call.
func (h *Health) Answers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failing
}

// Steady reports whether the store answered all calls within a time.
func (h *Health) Steady(within, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failing && (!h.failed || now-h.failedAt > within)
}

// Failing returns a channel that delivers a value when the store begins to fail this node.
// It has one reader.
func (h *Health) Failing() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notifier()
}

func (h *Health) notifier() chan struct{} {
	if h.failingCh == nil {
		h.failingCh = make(chan struct{}, 1)
	}
	return h.failingCh
}
