// Package clock measures the time during which rights expire. It counts the
// time in which a machine was suspended, which the monotonic clock leaves out.
package clock

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a source of time and timers.
type Clock interface {
	clockwork.Clock
	// Elapsed is the time since a fixed moment, suspended time included. It never
	// goes back, other than the time of day.
	Elapsed() time.Duration
}

// New returns the machine's clock.
func New() Clock { return machine{clockwork.NewRealClock()} }

type machine struct{ clockwork.Clock }

// Elapsed implements Clock.
func (machine) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("clock of the machine cannot be read: %v", err))
	}
	return time.Duration(t.Nano())
}

// Fake is a clock for tests.
type Fake struct {
	*clockwork.FakeClock
	start time.Time
}

// NewFake returns a clock that stands still until it is advanced.
func NewFake() *Fake {
	c := clockwork.NewFakeClock()
	return &Fake{FakeClock: c, start: c.Now()}
}

// Elapsed implements Clock.
func (f *Fake) Elapsed() time.Duration { return f.Now().Sub(f.start) }

// NewBubble returns the clock of package time, whose fake time rules in a
// synctest bubble.
func NewBubble() Clock { return bubble{clockwork.NewRealClock(), time.Now()} }

type bubble struct {
	clockwork.Clock
	start time.Time
}

// Elapsed implements Clock.
func (b bubble) Elapsed() time.Duration { return time.Since(b.start) }
