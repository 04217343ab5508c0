package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/span"
)

// lineCounter counts log lines.
type lineCounter struct {
	slog.Handler
	lines *atomic.Int64
}

// Handle implements slog.Handler.
func (c lineCounter) Handle(context.Context, slog.Record) error {
	c.lines.Add(1)
	return nil
}

// Enabled implements slog.Handler.
func (lineCounter) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelInfo }

const (
	// startedNodes is the number of nodes of a site with eight data centres that has
	// lost power.
	startedNodes = 300
	// maxStartTime bounds the time until all keys are held: the planning node waits for
	// targets for 2.5 s, and a handover takes two heartbeats.
	maxStartTime = 5 * time.Second
	// maxStartLines bounds the log lines of each node in that time.
	maxStartLines = 60
)

// Guards against a start of all nodes at once whose cost grows with the square of their
// number: each wrote a log line for each other one.
func TestStartOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var names []string
		for i := range startedNodes {
			names = append(names, fmt.Sprintf("%c%d", 'a'+rune(i%8), i))
		}
		var lines atomic.Int64
		w := newSiteWithLog(ctx, t, names, lineCounter{slog.DiscardHandler, &lines})
		defer w.stop()
		begin := time.Now()
		for w.heldKeys() <= span.MaxKey && time.Since(begin) < 2*maxStartTime {
			time.Sleep(100 * time.Millisecond)
		}
		took, perNode := time.Since(begin), lines.Load()/startedNodes
		t.Logf("all keys are held after %v; %d log lines a node", took, perNode)
		if took > maxStartTime || perNode > maxStartLines {
			t.Errorf("all keys were held after %v and %d log lines a node, want %v and %d at most", took, perNode, maxStartTime, maxStartLines)
		}
	})
}

const (
	// restartedNodes is the number of nodes of a site that lose power together with their
	// targets.
	restartedNodes = 150
	// maxRestartTime bounds the time from the return of power until restartedShare of the
	// keys are held.
	maxRestartTime = 4 * time.Second
	restartedShare = 0.8
	// restartCallTime is the time of a call to the store from another region, on hosts that
	// have just started.
	restartCallTime = 100 * time.Millisecond
)

// Guards against a restart of all nodes and targets after which each node writes the new
// run of its target into the one record of ranges by itself: all but one of the writes
// under way conflict, and keys have no holder for as many writes as there are targets.
func TestPowerLossOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var names []string
		for i := range restartedNodes {
			names = append(names, fmt.Sprintf("%c%d", 'a'+rune(i%8), i))
		}
		w := newSite(ctx, t, names)
		defer w.stop()
		time.Sleep(8 * time.Second)
		if held := w.heldKeys(); held <= span.MaxKey {
			t.Fatalf("%d keys are held before the loss of power", held)
		}
		for _, name := range names {
			w.killNode(name)
			w.crashTarget(name)
		}
		time.Sleep(time.Second)
		w.ledger.SetDelay(restartCallTime)
		begin := time.Now()
		for i, name := range names {
			w.startNode(name)
			w.startTarget(name)
			if i%5 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		for float64(w.heldKeys()) < restartedShare*(span.MaxKey+1) && time.Since(begin) < 5*maxRestartTime {
			time.Sleep(50 * time.Millisecond)
		}
		took := time.Since(begin)
		t.Logf("%.1f of the keys are held after %v", restartedShare, took)
		if took > maxRestartTime {
			t.Errorf("%.1f of the keys were held after %v, want %v at most", restartedShare, took, maxRestartTime)
		}
		if len(w.violations) > 0 {
			t.Errorf("%d violations, the first: %s", len(w.violations), w.violations[0])
		}
	})
}
