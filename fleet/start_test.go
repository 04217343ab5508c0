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
