package agent

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"burdocklift/budget"
	"burdocklift/clock"
)

// errSlow means that a client sent or read too slowly.
var errSlow = errors.New("client is too slow")

const (
	// pieceBytes is how much of an answer is written at once, so that progress shows.
	pieceBytes = 64 << 10
	// refusalTime bounds the time for a refusal to a client that has not sent all of its
	// body.
	refusalTime = 5 * time.Second
)

// pace is the minimum that a client sends or reads.
type pace struct {
	clock clock.Clock
	pause time.Duration // in which something moves, 0 for no limit
	rate  int           // mean bytes a second, after the first pause
}

// deadline returns the time until which something has to move.
func (p pace) deadline() time.Time {
	if p.pause <= 0 {
		return time.Time{}
	}
	return time.Now().Add(p.pause)
}

// check returns an error for a transfer that has moved too few bytes since it began.
func (p pace) check(began time.Duration, moved int) error {
	took := p.clock.Elapsed() - began
	if p.pause > 0 && took > p.pause && float64(moved) < float64(p.rate)*(took-p.pause).Seconds() {
		return fmt.Errorf("%w: %d bytes in %v, %d a second wanted", errSlow, moved, took.Round(time.Second), p.rate)
	}
	return nil
}

// pacedBody reads the body of a request.
type pacedBody struct {
	io.ReadCloser
	pace    pace
	control *http.ResponseController
	hold    *budget.Hold
	conn    *limitedConn
	began   time.Duration
	moved   int
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(b.pace.deadline()); err != nil {
		return 0, err
	}
	if b.hold.Evicted() { // its read deadline may have been set anew
		return 0, budget.ErrEvicted
	}
	n, err := b.ReadCloser.Read(p)
	b.moved += n
	if n > 0 {
		b.conn.enter(readsBody)
	}
	b.hold.Progress(n)
	if err == nil {
		err = b.pace.check(b.began, b.moved)
	}
	return n, err
}

// pacedAnswer writes an answer in pieces.
type pacedAnswer struct {
	http.ResponseWriter
	pace    pace
	control *http.ResponseController
	hold    *budget.Hold
	conn    *limitedConn
	began   time.Duration
	moved   int
}

// Write implements io.Writer.
func (a *pacedAnswer) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := a.control.SetWriteDeadline(a.pace.deadline()); err != nil {
			return written, err
		}
		if a.hold.Evicted() { // its write deadline may have been set anew
			return written, errors.Join(budget.ErrEvicted, a.control.SetWriteDeadline(time.Now()))
		}
		n, err := a.ResponseWriter.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		a.moved += n
		if n > 0 {
			a.conn.enter(writesAnswer)
		}
		a.hold.Progress(n)
		if err == nil {
			err = a.pace.check(a.began, a.moved)
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
