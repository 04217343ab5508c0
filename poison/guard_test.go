package poison

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
)

// Guards against a crash that goes undetected because the target is restarted at
// once, and against a crash detected when only one of two connections breaks.
func TestCrashDetection(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		synctest.Test(t, func(t *testing.T) {
			g := NewGuard(clockwork.NewRealClock(), func([]Notice) {})
			g.inFlight = 2
			g.awaitLosses = func() {
				synctest.Wait()
				if g.loss.lost != lost {
					t.Errorf("%d connections are lost, want %d", g.loss.lost, lost)
				}
			}
			notListening := func() bool { return false }
			var group sync.WaitGroup
			for range lost {
				group.Go(func() {
					if crashed := g.handleLoss(0, notListening); crashed != (lost == 2) {
						t.Errorf("%d of 2 connections lost: crash detected: %t", lost, crashed)
					}
				})
			}
			group.Wait()
			if crashed := g.generation == 1; crashed != (lost == 2) {
				t.Errorf("%d of 2 connections lost: crash recorded: %t", lost, crashed)
			}
		})
	}
}
