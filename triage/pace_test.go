package triage

import (
	"testing"
	"time"
)

// paceEvery is the time between two responses of a busy target.
const paceEvery = 25 * time.Millisecond

// busyLimiter returns a limiter that has learned a service time of 100 ms at the usual pace.
func busyLimiter() *Limiter {
	l := new(Limiter)
	l.SetSlots(1)
	serveAt(l, 1, 0, time.Second)
	return l
}

// serveAt lets requests end one after the other while the target names a pace, which is also
// how long they take.
func serveAt(l *Limiter, figure float64, from, to time.Duration) {
	for now := from; now < to; now += paceEvery {
		atStart := l.Present(now)
		l.ObservePace(figure, now)
		took := time.Duration(figure * float64(100*time.Millisecond))
		if _, err := l.Acquire(Request{Deadline: now + time.Hour}, now); err == nil {
			l.ReleaseAtPace("", took, Lasting(took, atStart, l.Present(now)), true, now)
		}
	}
}

// accepts reports whether a request that has a time left is let in.
func accepts(l *Limiter, left, now time.Duration) bool {
	_, err := l.Acquire(Request{Deadline: now + left}, now)
	return err == nil
}

// Guards against estimates that go by a short slowdown, and refuse what can end, and against
// ones that do not follow a lasting change.
func TestPace(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name   string
		change func(l *Limiter)
		at     time.Duration
		want   bool
	}{
		{"a slowdown of 0.4 s refuses nothing that can end after it", func(l *Limiter) {
			serveAt(l, 3, second, second+400*time.Millisecond)
		}, 1500 * time.Millisecond, true},
		{"a slowdown that lasts refuses what can't end", func(l *Limiter) {
			serveAt(l, 3, second, second+1400*time.Millisecond)
		}, 2450 * time.Millisecond, false},
		{"the end of a slowdown that lasted counts at once", func(l *Limiter) {
			serveAt(l, 3, second, second+1400*time.Millisecond)
			l.ObservePace(1, second+1450*time.Millisecond)
		}, 2450 * time.Millisecond, true},
		{"two slowdowns with a gap between them do not last", func(l *Limiter) {
			serveAt(l, 3, second, second+400*time.Millisecond)
			serveAt(l, 3, 3*second, 3*second+400*time.Millisecond)
		}, 3500 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := busyLimiter()
			tc.change(l)
			if got := accepts(l, 150*time.Millisecond, tc.at); got != tc.want {
				t.Errorf("accepted: %v, want %v; service time %v", got, tc.want, l.times[""].mean)
			}
		})
	}
	t.Run("waiting requests that can't end any more are refused at once", func(t *testing.T) {
		l := busyLimiter()
		if !accepts(l, time.Hour, second) {
			t.Fatal("no slot for the first request")
		}
		w, err := l.Acquire(Request{Deadline: second + 2250*time.Millisecond}, second)
		if err != nil || w == nil {
			t.Fatalf("the second request does not wait: %v", err)
		}
		for now := second; now < second+2*second; now += paceEvery {
			l.ObservePace(20, now)
		}
		select {
		case err := <-w.Done():
			if err == nil {
				t.Error("the second request was started")
			}
		default:
			t.Error("the second request still waits")
		}
	})
}
