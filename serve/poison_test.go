package serve_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/emul"
	"burdocklift/serve"
)

// crashing makes a target crash at each request for the path of poison requests. It is
// back after a time. The counter counts the crashes.
func crashing(target *fakeTarget, crashes *atomic.Int32, back time.Duration) {
	target.reply = func(_ context.Context, req *serve.Request) (serve.Response, error) {
		if !strings.HasSuffix(req.Path, "/poison") {
			return serve.Response{Status: 200}, nil
		}
		crashes.Add(1)
		target.down.Store(true)
		time.AfterFunc(back, func() { target.down.Store(false) })
		return serve.Response{}, errBroken
	}
}

// onCrashingSite runs a test on a site with two further nodes, "b2" and "b3", of the
// service without keys. The targets of that service crash at poison requests.
func onCrashingSite(t *testing.T, test func(t *testing.T, s *site, crashes *atomic.Int32)) {
	t.Helper()
	runInSite(t, func(t *testing.T, s *site) {
		var crashes atomic.Int32
		s.prepare = func(target *fakeTarget) { crashing(target, &crashes, time.Second) }
		s.prepare(s.targets["b1"])
		s.launch(context.Background(), "b2", "archive")
		s.launch(context.Background(), "b3", "archive")
		time.Sleep(4 * time.Second)
		test(t, s, &crashes)
	})
}

func assertCrashes(t *testing.T, crashes *atomic.Int32, want int32) {
	t.Helper()
	if n := crashes.Load(); n != want {
		t.Errorf("request crashed %d targets, want %d", n, want)
	}
}

func assertSuspect(t *testing.T, r *serve.Router, crashes int) {
	t.Helper()
	for _, e := range r.Suspects() {
		if e.Crashes == crashes {
			return
		}
	}
	t.Errorf("node knows %v, want a request with %d crashes", r.Suspects(), crashes)
}

// Guards against a crash that is not told to the node whose own target has just crashed:
// it would let the request run again.
func TestNoticeReachesNodeOfCrashedTarget(t *testing.T) {
	onCrashingSite(t, func(t *testing.T, s *site, crashes *atomic.Int32) {
		names := []string{"b1", "b2", "b3"}
		for _, name := range names {
			crashing(s.targets[name], crashes, time.Minute)
		}
		req := newRequest("poison", "pay")
		req.Path = "/fetch/poison"
		s.routers["a1"].Serve(context.Background(), req)
		assertCrashes(t, crashes, 1)
		time.Sleep(100 * time.Millisecond)                // until all nodes know that the target has ended
		s.ledger.SetFaults(emul.LedgerFaults{Down: true}) // so that only notices tell of the next crash
		s.routers["a1"].Serve(context.Background(), req)
		assertCrashes(t, crashes, 2)
		for _, name := range names {
			assertSuspect(t, s.routers[name], 2)
		}
	})
}
