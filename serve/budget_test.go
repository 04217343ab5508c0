package serve_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"burdocklift/serve"
)

// Guards against a node that gets its whole retry budget again at each restart: together,
// its runs would send more retries in a window than the budget of the site allows.
func TestRetryBudgetOverRestarts(t *testing.T) {
	runInSite(t, func(t *testing.T, s *site) {
		const (
			runs, firsts = 5, 6 // requests of a run
			ratio        = 0.45 // of the budget for requests that did not run
			burst        = 4    // its slack of 9 over two nodes
		)
		begin := time.Now()
		sends := 0
		for run := range runs {
			target := s.targets["b1"]
			target.reply = failWith(serve.ErrRejected)
			for i := range firsts {
				s.routers["b1"].Serve(context.Background(), newRequest(strconv.Itoa(run*firsts+i), "read"))
			}
			sends += target.count()
			s.stops["b1"]()
			s.launch(context.Background(), "b1", "archive")
			time.Sleep(1500 * time.Millisecond)
		}
		if took := time.Since(begin); took > 10*time.Second {
			t.Fatalf("runs took %v, want them within the window of 10 s", took)
		}
		all := runs * firsts
		if retries, limit := sends-all, int(ratio*float64(all))+burst; retries > limit {
			t.Errorf("%d requests were sent once more %d times, want at most %d", all, retries, limit)
		}
	})
}
