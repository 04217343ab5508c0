// Package budget is the account of the memory that a process uses for the messages of
// others: bodies, answers, their copies and the buffers of connections. Memory is
// reserved before it is used. When it is used up, the slowest of the unfinished messages
// are aborted, and new ones wait briefly or are refused.
package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"burdocklift/clock"
)

// Errors that callers test with errors.Is.
var (
	// ErrExhausted means that the memory is used up by other messages.
	ErrExhausted = errors.New("memory for messages is used up")
	// ErrEvicted means that the message was aborted because it was slow and its memory was
	// needed for others.
	ErrEvicted = errors.New("slow message gave way to others")
	// ErrTooLong means that a message is longer than it may be.
	ErrTooLong = errors.New("message is too long")
)

const (
	// SmallBytes is the size up to which a message may use the reserve for small ones.
	SmallBytes = 16 << 10
	// heapPercent is the part of a process's memory that the heap may fill before the
	// garbage collector works harder. The rest is for stacks and the runtime.
	heapPercent = 70
	// baseBytes is kept for all that is not in the account: an idle node takes 20 MiB, and
	// what is free again stays in use until the next garbage collection.
	baseBytes = 32 << 20
	// leastShare is the least part of the memory for the account, for nodes with less
	// memory than targets of the smallest hosts have.
	leastShare = 8
	// stallTime is how long an unfinished message makes no progress before it gives way when
	// memory is used up. A lost packet is sent again within 0.4 s.
	stallTime = time.Second
	// slowAge and slowRate, in bytes a second, tell which other unfinished messages give way:
	// callers on the slowest links of 10 Mbit/s send a hundred times faster.
	slowAge  = 2 * time.Second
	slowRate = 16 << 10
	// maxWait bounds the wait of a new message for memory, and checkInterval is how often it
	// looks for messages that have become slow.
	maxWait       = time.Second
	checkInterval = 100 * time.Millisecond
)

// HeapLimit returns the limit in bytes for the garbage collector of a process with a
// memory in MiB.
func HeapLimit(memory int) int64 { return int64(memory) << 20 * heapPercent / 100 }

// Size returns the size in bytes of the account of a process with a memory in MiB.
func Size(memory int) int64 {
	return max((HeapLimit(memory)-baseBytes)*9/10, int64(memory)<<20/leastShare)
}

// Kind says how much of the account a message may use.
type Kind int

// Kinds of messages. Each may use what those before it may, and a part more.
const (
	// Body is a request that has not begun to run.
	Body Kind = iota
	// Answer is an answer to a request that ran, and a copy that it needs.
	Answer
	small
)

// Usage is a snapshot of an account.
type Usage struct {
	Size, Used, Peak int64
	Refused          int64 // messages for which there was no memory
	Evicted          int64 // slow messages that were aborted
}

// Account is the memory for the messages of a process. A nil Account does not limit. It is
// safe for concurrent use.
type Account struct {
	clock clock.Clock

	mu         sync.Mutex
	usage      Usage
	unfinished map[*Hold]struct{}
	freed      chan struct{} // closed when memory becomes free, nil if nobody waits
}

// New returns an account of a size in bytes.
func New(size int64, c clock.Clock) *Account {
	return &Account{clock: c, usage: Usage{Size: size}, unfinished: make(map[*Hold]struct{})}
}

// Usage returns the present use.
func (a *Account) Usage() Usage {
	if a == nil {
		return Usage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage
}

// Open returns a hold without memory. Close must be called for it.
func (a *Account) Open() *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a}
}

// LargestBody returns the size in bytes of the largest request that a process with a memory in
// MiB has room for.
func LargestBody(memory int) int64 { return bodyPart(Size(memory)) }

func bodyPart(size int64) int64 { return size * 13 / 16 }

// limit returns how much of the account a message of a kind may use. A sixteenth is kept for
// small messages and an eighth for answers, so that what runs ends. The rest has room for a
// body of 64 MiB with a memory of 184 MiB, that of the smallest hosts.
func (a *Account) limit(k Kind) int64 {
	switch k {
	case Body:
		return bodyPart(a.usage.Size)
	case Answer:
		return a.usage.Size * 15 / 16
	}
	return a.usage.Size
}

// Hold is the memory that one message, or one request with its answer, has reserved. A nil
// Hold does not limit.
type Hold struct {
	account *Account

	// Guarded by the lock of the account.
	bytes    int64
	began    time.Duration // of the transfer
	last     time.Duration // time of its last progress
	moved    int64         // bytes that were transferred
	abort    func()        // ends the transfer; nil outside one
	evicted  bool
	released bool
}

// Begin tells that a message is now received or sent. When it is slow and memory is
// needed, abort is called, which must not block, and the memory goes to others.
func (h *Hold) Begin(abort func()) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Elapsed()
	h.began, h.last, h.moved, h.abort = now, now, 0, abort
	a.unfinished[h] = struct{}{}
}

// Progress tells that bytes were transferred.
func (h *Hold) Progress(bytes int) {
	if h == nil || bytes <= 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.moved += int64(bytes)
	h.last = h.account.clock.Elapsed()
}

// End tells that the transfer has ended. It returns ErrEvicted if it was aborted.
func (h *Hold) End() error {
	if h == nil {
		return nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.unfinished, h)
	h.abort = nil
	if h.evicted {
		return ErrEvicted
	}
	return nil
}

// Evicted reports whether the transfer was aborted.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Grow reserves more memory at once, or returns ErrExhausted or ErrEvicted.
func (h *Hold) Grow(bytes int64, k Kind) error {
	if h == nil {
		return nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	err := h.grow(bytes, k)
	if errors.Is(err, ErrExhausted) {
		h.account.usage.Refused++
	}
	return err
}

// try reserves more memory if there is some for which nothing has to give way.
func (h *Hold) try(bytes int64, k Kind) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.evicted || h.account.usage.Used+bytes > h.account.limit(k) {
		return false
	}
	h.add(bytes)
	return true
}

// Wait reserves more memory as soon as there is some. It waits no longer than maxWait.
func (h *Hold) Wait(ctx context.Context, bytes int64, k Kind) error {
	if h == nil {
		return nil
	}
	a := h.account
	end := a.clock.Elapsed() + maxWait
	for {
		a.mu.Lock()
		err := h.grow(bytes, k)
		if !errors.Is(err, ErrExhausted) {
			a.mu.Unlock()
			return err
		}
		if a.clock.Elapsed() >= end || bytes > a.limit(k) || ctx.Err() != nil {
			a.usage.Refused++
			a.mu.Unlock()
			return err
		}
		if a.freed == nil {
			a.freed = make(chan struct{})
		}
		freed := a.freed
		a.mu.Unlock()
		timer := a.clock.NewTimer(checkInterval)
		select {
		case <-freed:
		case <-timer.Chan():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Force reserves memory beyond the limit, for what is already there.
func (h *Hold) Force(bytes int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(bytes)
}

// Shrink returns a part of the memory.
func (h *Hold) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.free(min(bytes, h.bytes))
}

// Close returns all memory. It may be called more than once.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.released = true
	delete(h.account.unfinished, h)
	h.free(h.bytes)
}

func (h *Hold) add(bytes int64) {
	if h.released || h.evicted {
		return // nothing would return it
	}
	h.bytes += bytes
	u := &h.account.usage
	u.Used += bytes
	u.Peak = max(u.Peak, u.Used)
}

func (h *Hold) free(bytes int64) {
	a := h.account
	h.bytes -= bytes
	a.usage.Used -= bytes
	if bytes > 0 && a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// grow reserves memory, for which slow messages give way.
func (h *Hold) grow(bytes int64, k Kind) error {
	a := h.account
	if h.bytes+bytes <= SmallBytes {
		k = small
	}
	for {
		switch {
		case h.evicted:
			return ErrEvicted
		case a.usage.Used+bytes <= a.limit(k):
			h.add(bytes)
			return nil
		}
		victim := a.slowest(h, a.clock.Elapsed())
		if victim == nil || bytes > a.limit(k) {
			return fmt.Errorf("%w: %d of %d bytes, %d more wanted", ErrExhausted, a.usage.Used, a.limit(k), bytes)
		}
		victim.evicted = true
		delete(a.unfinished, victim)
		victim.free(victim.bytes)
		a.usage.Evicted++
		if victim.abort != nil {
			victim.abort()
		}
	}
}

// slowest returns the unfinished message that gives way first, or nil: the one without
// progress for the longest time, else the one with the lowest rate.
func (a *Account) slowest(except *Hold, now time.Duration) *Hold {
	var stalled, slow *Hold
	var lowest float64
	for h := range a.unfinished {
		if h == except || h.bytes == 0 {
			continue
		}
		if now-h.last >= stallTime && (stalled == nil || h.last < stalled.last) {
			stalled = h
		}
		age := now - h.began
		rate := float64(h.moved) / max(age, 1).Seconds()
		if age >= slowAge && rate < slowRate && (slow == nil || rate < lowest) {
			slow, lowest = h, rate
		}
	}
	if stalled != nil {
		return stalled
	}
	return slow
}

type holdKey struct{}

// With returns a context that carries the hold of a request.
func With(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, holdKey{}, h)
}

// From returns the hold that a context carries, or nil.
func From(ctx context.Context) *Hold {
	h, _ := ctx.Value(holdKey{}).(*Hold)
	return h
}
