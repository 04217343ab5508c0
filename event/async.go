package event

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// asyncLines is how many log lines may wait for a slow reader. At 300 bytes each
// they take 300 KB.
const asyncLines = 1024

const (
	// linesPerSecond bounds the log lines of a process. A node of a small site that
	// refuses half of its requests writes 60 a second, of 450 bytes each.
	linesPerSecond = 400
	// lineBurst is how many lines may come at once, such as those of all requests in
	// flight at a target that crashes.
	lineBurst = 800
)

// Async passes log lines on without ever blocking who writes them. Lines that
// find no room, or exceed linesPerSecond, are left out and counted.
type Async struct {
	out     io.Writer
	clock   clockwork.Clock
	rate    *rate.Limiter
	lines   chan []byte
	ended   chan struct{}
	dropped atomic.Uint64
}

// NewAsync returns a writer that writes to out from a goroutine of its own until
// it is closed.
func NewAsync(out io.Writer, clock clockwork.Clock) *Async {
	a := &Async{
		out: out, clock: clock, rate: rate.NewLimiter(linesPerSecond, lineBurst),
		lines: make(chan []byte, asyncLines), ended: make(chan struct{}),
	}
	go a.run()
	return a
}

// Write implements io.Writer for one log line.
func (a *Async) Write(line []byte) (int, error) {
	if !a.rate.AllowN(a.clock.Now(), 1) {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait and ends the goroutine.
func (a *Async) Close() {
	close(a.lines)
	<-a.ended
	a.tellDropped()
}

// tellDropped writes how many lines were left out since it was last written. A log
// that cannot be written has no other place to say so.
func (a *Async) tellDropped() {
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(a.out, "{\"level\":\"WARN\",\"msg\":\"log lines left out\",\"count\":%d}\n", n)
	}
}

func (a *Async) run() {
	defer close(a.ended)
	for line := range a.lines {
		a.tellDropped()
		_, _ = a.out.Write(line) // as above
	}
}
