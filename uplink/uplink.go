// Package uplink shares the outgoing link of a host between large transfers and
// all other messages. It is meant for hosts whose targets send more than the link
// carries: left to the network, the packets of many parallel transfers queue for
// seconds, and the renewals, reports and small answers of the host wait behind them.
// Here large transfers are sent in chunks at the rate of the link, the earliest
// transfer first, and small messages pass them.
package uplink

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"burdocklift/clock"
)

const (
	// LargeBytes is the size above which a message counts as a large transfer.
	LargeBytes = 16 << 10
	// ChunkBytes is the size of the chunks of a large transfer. A small message waits
	// for one chunk at most: 13 ms at 10 Mbit/s.
	ChunkBytes = 16 << 10
	// transferShare is the part of the link for messages that are counted. The rest is
	// for those that are not: headers of packets, acknowledgements, calls to the store.
	transferShare = 0.9
	// maxAhead is the time for which the link may be busy with what has been sent when
	// the next chunk is sent. It covers late timers.
	maxAhead = 5 * time.Millisecond
)

// Scheduler decides when the chunks of large transfers are sent. A nil Scheduler
// and one without a rate don't limit. It is safe for concurrent use.
type Scheduler struct {
	clock clock.Clock

	mu        sync.Mutex
	rate      float64       // bytes per second, 0 for no limit
	busyUntil time.Duration // when the link has sent all that was counted
	pending   int64         // bytes reserved or not yet sent
	last      uint64        // number of the newest transfer
	waiting   []*waiter     // by number of the transfer
}

// waiter is a chunk that waits for the link.
type waiter struct {
	number uint64
	first  chan struct{} // receives when it has become the first
}

// New returns a Scheduler for a link of a rate in Mbit/s, or 0 for no limit.
func New(mbps float64, c clock.Clock) *Scheduler {
	return &Scheduler{clock: c, rate: transferShare * mbps * 1e6 / 8}
}

func (s *Scheduler) limits() bool { return s != nil && s.rate > 0 }

// Count counts a small message that is sent at once.
func (s *Scheduler) Count(bytes int) {
	if !s.limits() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.occupy(bytes, s.clock.Elapsed())
}

func (s *Scheduler) occupy(bytes int, now time.Duration) {
	s.busyUntil = max(s.busyUntil, now) + s.timeFor(int64(bytes))
}

func (s *Scheduler) timeFor(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / s.rate * float64(time.Second))
}

// Delay returns the time to send a transfer, and the time for which the link is busy
// before it with all that is reserved or waits.
func (s *Scheduler) Delay(bytes int) (transfer, backlog time.Duration) {
	if !s.limits() {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timeFor(int64(bytes)), max(s.busyUntil-s.clock.Elapsed(), 0) + s.timeFor(s.pending)
}

// Pending returns the number of bytes that are reserved or wait for the link.
func (s *Scheduler) Pending() int64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// Reserve announces a transfer of an expected size, and returns the function that
// takes the reservation back, at the latest when the transfer begins.
func (s *Scheduler) Reserve(bytes int) (release func()) {
	if !s.limits() || bytes <= 0 {
		return func() {}
	}
	s.add(int64(bytes))
	return sync.OnceFunc(func() { s.add(-int64(bytes)) })
}

func (s *Scheduler) add(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += bytes
}

// Transfer is a large message that is being sent.
type Transfer struct {
	scheduler *Scheduler // nil without a limit
	number    uint64
	left      int64
}

// Begin returns a new transfer. End must be called once for it.
func (s *Scheduler) Begin(bytes int) *Transfer {
	if !s.limits() {
		return &Transfer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.pending += int64(bytes)
	return &Transfer{scheduler: s, number: s.last, left: int64(bytes)}
}

// Await waits until a chunk of the transfer may be sent. It returns the context's
// error if the chunk must not be sent.
func (t *Transfer) Await(ctx context.Context, bytes int) error {
	s := t.scheduler
	if s == nil {
		return ctx.Err()
	}
	w := s.enqueue(t.number)
	for {
		wait, sent := s.trySend(t, w, bytes)
		if sent {
			return nil
		}
		timer := s.clock.NewTimer(wait)
		select {
		case <-timer.Chan():
		case <-w.first:
		case <-ctx.Done():
			timer.Stop()
			s.dequeue(w)
			return ctx.Err()
		}
		timer.Stop()
	}
}

// End ends a transfer, whether or not all of it was sent.
func (t *Transfer) End() {
	if t.scheduler != nil {
		t.scheduler.add(-t.left)
		t.left = 0
	}
}

func (s *Scheduler) enqueue(number uint64) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{number: number, first: make(chan struct{}, 1)}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].number > number {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	return w
}

// maxTurnWait is the wait of a chunk that is not the first. It ends when the chunk
// becomes the first.
const maxTurnWait = time.Hour

// trySend takes the link for the chunk of a waiter, or returns for how long to wait
// before the next attempt.
func (s *Scheduler) trySend(t *Transfer, w *waiter, bytes int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Elapsed()
	switch {
	case s.waiting[0] != w:
		return maxTurnWait, false
	case s.busyUntil-now > maxAhead:
		return s.busyUntil - now - maxAhead, false
	}
	s.occupy(bytes, now)
	t.left -= int64(bytes)
	s.pending -= int64(bytes)
	s.remove(0)
	return 0, true
}

func (s *Scheduler) dequeue(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(slices.Index(s.waiting, w))
}

func (s *Scheduler) remove(i int) {
	s.waiting = slices.Delete(s.waiting, i, i+1)
	if i == 0 && len(s.waiting) > 0 {
		select {
		case s.waiting[0].first <- struct{}{}:
		default:
		}
	}
}

// Write writes a message of any size. Small ones are written at once.
func (s *Scheduler) Write(ctx context.Context, w io.Writer, b []byte) (int, error) {
	if len(b) <= LargeBytes || !s.limits() {
		s.Count(len(b))
		return w.Write(b)
	}
	t := s.Begin(len(b))
	defer t.End()
	written := 0
	for chunk := range slices.Chunk(b, ChunkBytes) {
		if err := t.Await(ctx, len(chunk)); err != nil {
			return written, err
		}
		n, err := w.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
