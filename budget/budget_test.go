package budget_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/budget"
	"burdocklift/clock"
)

const testSize = 16 << 20

func open(t *testing.T, a *budget.Account, bytes int64, k budget.Kind) *budget.Hold {
	t.Helper()
	h := a.Open()
	if err := h.Grow(bytes, k); err != nil {
		t.Fatal(err)
	}
	return h
}

func assertUsed(t *testing.T, a *budget.Account, want int64) {
	t.Helper()
	if used := a.Usage().Used; used != want {
		t.Errorf("%d bytes are used, want %d", used, want)
	}
}

// Guards against bodies that leave no memory for small requests and for answers to what
// runs.
func TestReserves(t *testing.T) {
	a := budget.New(testSize, clock.NewBubble())
	full := open(t, a, testSize*13/16, budget.Body)
	if err := a.Open().Grow(budget.SmallBytes+1, budget.Body); !errors.Is(err, budget.ErrExhausted) {
		t.Errorf("another large body gets %v", err)
	}
	answer := open(t, a, testSize*2/16, budget.Answer)
	if err := a.Open().Grow(budget.SmallBytes+1, budget.Answer); !errors.Is(err, budget.ErrExhausted) {
		t.Errorf("another large answer gets %v", err)
	}
	small := open(t, a, budget.SmallBytes, budget.Body)
	for _, h := range []*budget.Hold{full, answer, small, small} {
		h.Close()
	}
	full.Force(1) // after the end nothing would return it
	assertUsed(t, a, 0)
}

// Guards against slow messages that keep the memory from others, and against aborting one
// that moves at a usual rate, or that is whole.
func TestSlowestGivesWay(t *testing.T) {
	for _, test := range []struct {
		name    string
		age     time.Duration // of the other message when memory is needed
		moved   int
		silence time.Duration // since its last progress
		whole   bool
		aborted bool
	}{
		{name: "without progress", age: time.Second, silence: time.Second, aborted: true},
		{name: "trickles", age: 3 * time.Second, moved: 3000, aborted: true},
		{name: "has just begun", age: 900 * time.Millisecond, silence: 900 * time.Millisecond},
		{name: "on a slow link", age: time.Minute, moved: 60 * 125_000, silence: 400 * time.Millisecond},
		{name: "whole", age: time.Minute, silence: time.Minute, whole: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := budget.New(testSize, clock.NewBubble())
				other := open(t, a, testSize/2, budget.Body)
				aborted := false
				other.Begin(func() { aborted = true })
				time.Sleep(test.age - test.silence)
				other.Progress(test.moved)
				time.Sleep(test.silence)
				if test.whole && other.End() != nil {
					t.Error("a whole message was aborted")
				}
				h := a.Open()
				err := h.Grow(testSize/2, budget.Body)
				if aborted != test.aborted || (err == nil) != test.aborted || other.Evicted() != test.aborted {
					t.Errorf("aborted is %v, and the new message gets %v", aborted, err)
				}
				h.Close()
				other.Close()
				assertUsed(t, a, 0)
			})
		})
	}
}

// Guards against a wait that misses memory that becomes free, and against one without end.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := budget.New(testSize, clock.NewBubble())
		full := open(t, a, testSize/2, budget.Body)
		time.AfterFunc(500*time.Millisecond, full.Close)
		h := a.Open()
		if err := h.Wait(t.Context(), testSize/2, budget.Body); err != nil {
			t.Errorf("a message that waits gets %v", err)
		}
		begin := time.Now()
		if err := a.Open().Wait(t.Context(), testSize/2, budget.Body); !errors.Is(err, budget.ErrExhausted) {
			t.Errorf("a message without memory gets %v", err)
		}
		if waited := time.Since(begin); waited > 2*time.Second {
			t.Errorf("it waited for %v", waited)
		}
	})
}

// Guards against bodies that are read beyond the limit, that are taken for whole, or whose
// buffers are not in the account.
func TestRead(t *testing.T) {
	const limit = 8 << 20
	for name, test := range map[string]struct {
		length, sent int64
		want         error
	}{
		"stated":                {limit, limit, nil},
		"stated and broken off": {limit, limit - 1, io.ErrUnexpectedEOF},
		"stated, too long":      {limit + 1, 0, budget.ErrTooLong},
		"chunked, small":        {-1, 100, nil},
		"chunked, at the limit": {-1, limit, nil},
		"chunked, too long":     {-1, limit + 1, budget.ErrTooLong},
		"empty":                 {0, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			a := budget.New(testSize, clock.NewBubble())
			h := a.Open()
			body, err := budget.Read(context.Background(), h, strings.NewReader(strings.Repeat("x", int(test.sent))), test.length, limit, budget.Body)
			if !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
				t.Fatalf("read with %v, want %v", err, test.want)
			}
			if err == nil && !bytes.Equal(body, bytes.Repeat([]byte("x"), int(test.sent))) {
				t.Errorf("%d bytes were read, want %d", len(body), test.sent)
			}
			if used := a.Usage().Used; used < int64(cap(body)) {
				t.Errorf("a buffer of %d bytes is counted as %d", cap(body), used)
			}
			h.Close()
			assertUsed(t, a, 0)
		})
	}
}

// Guards against an account that has no room for the largest body that rules allow, on
// nodes with the least memory for it.
func TestSizeHoldsTheLargestBody(t *testing.T) {
	const largest = 64 << 20
	for _, memory := range []int{184, 284, 536} {
		h := budget.New(budget.Size(memory), clock.NewBubble()).Open()
		if err := h.Grow(largest, budget.Body); err != nil {
			t.Errorf("with %d MiB: %v", memory, err)
		}
	}
}

// Guards against a bound that nodes of the smallest hosts can't keep: a body of 64 MiB with its
// head has to fit.
func TestLargestBody(t *testing.T) {
	if n := budget.LargestBody(184); n < 64<<20+16<<10 || n >= budget.Size(184) {
		t.Errorf("room for a body of %d bytes of %d, want 64 MiB and 16 KiB", n, budget.Size(184))
	}
}
