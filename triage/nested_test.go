package triage

import (
	"testing"
	"time"
)

// nestedClass is the class of calls that targets make for requests that they run. They have no
// more time than the request, and nobody repeats them.
const nestedClass = "call"

// withCalls are callers' requests beside nested calls of the same priority.
var withCalls = []class{
	{"lookup", -1, 0.7, 120 * time.Millisecond, 3 * time.Second, 2},
	{nestedClass, -1, 0.3, 22 * time.Millisecond, 250 * time.Millisecond, 0},
}

// withUnmarkedCalls is the same load with calls that count as new requests.
var withUnmarkedCalls = []class{
	withCalls[0],
	{"unmarked", -1, 0.3, 22 * time.Millisecond, 250 * time.Millisecond, 0},
}

// Guards against requests that overtake others of their class once that is taken for nested
// calls: those that were let in first would start last, or too late.
func TestRankOfClass(t *testing.T) {
	l := &Limiter{}
	l.SetSlots(1)
	request := Request{Class: "pay", Deadline: time.Minute}
	if w, err := l.Acquire(request, 0); w != nil || err != nil {
		t.Fatalf("first request: waiter %v, error %v", w, err)
	}
	first, _ := l.Acquire(request, 0)
	request.Nested = true
	second, _ := l.Acquire(request, 0)
	l.Release("pay", time.Second, true, time.Second)
	select {
	case err := <-first.Done():
		if err != nil {
			t.Errorf("first waiting request is refused: %v", err)
		}
	case err := <-second.Done():
		t.Errorf("second waiting request is decided first: %v", err)
	}
}

// Guards against nested calls that are refused for new requests under overload: each fails a
// request that has run for most of its time already.
func TestNestedCalls(t *testing.T) {
	const slots = 8
	for _, kind := range []string{"burst", "overloaded", "peak", "lasting"} {
		t.Run(kind, func(t *testing.T) {
			newLimiter := func() slotLimiter { return &Limiter{} }
			r := sumReplays(slots, withCalls, loads[kind], newLimiter)
			before := sumReplays(slots, withUnmarkedCalls, loads[kind], newLimiter)
			calls, callers := r.class(nestedClass), r.class("lookup")
			earlierCalls, earlierCallers := before.class("unmarked"), before.class("lookup")
			t.Logf("calls: %v", calls)
			t.Logf("calls as new requests: %v", earlierCalls)
			t.Logf("callers: %v", callers)
			t.Logf("callers beside calls as new requests: %v", earlierCallers)
			if share(calls.answered, calls.callers) < 0.98 {
				t.Errorf("%d of %d nested calls were answered, want 0.98 of them", calls.answered, calls.callers)
			}
			work := func(callers, calls *classResult) float64 {
				return withCalls[0].workShare*share(callers.answered, callers.callers) + withCalls[1].workShare*share(calls.answered, calls.callers)
			}
			if got, earlier := work(callers, calls), work(earlierCallers, earlierCalls); got < 0.95*earlier {
				t.Errorf("%.3f of the work was answered, want 0.95 times the %.3f without the order", got, earlier)
			}
		})
	}
}
