package route

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// answerTimeWeight is the weight of a new answer in the mean time of its class.
const answerTimeWeight = 0.1

// answerTimes holds the mean time from the attempt at a request to its answer, by class. The
// zero value knows none.
type answerTimes struct {
	mu    sync.Mutex
	means map[classKey]time.Duration
}

func (a *answerTimes) observe(k classKey, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.means[k]
	if !ok {
		if a.means == nil {
			a.means = make(map[classKey]time.Duration)
		}
		mean = took
	}
	a.means[k] = mean + time.Duration(answerTimeWeight*float64(took-mean))
}

// expected returns the mean time of a class, or zero if it is not known.
func (a *answerTimes) expected(k classKey) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.means[k]
}

// waitTimeLeft returns for how long a request may still wait if it needs a time to run.
func (r *Router) waitTimeLeft(req *request, needs time.Duration) time.Duration {
	return req.deadline.Sub(r.clock.Now()) - needs
}

// pause waits for d. It reports false if the context ended first, and at once if the request,
// which needs a time to run, could not end before its deadline after the wait. If that time is
// not known, needs is zero and the context alone bounds the wait.
func (r *Router) pause(ctx context.Context, req *request, needs, d time.Duration) bool {
	if needs > 0 && d > r.waitTimeLeft(req, needs) {
		return false
	}
	return r.sleep(ctx, d)
}

// waitedInVain returns the refusal of a request whose wait has ended without effect.
func waitedInVain(ctx context.Context) Result {
	if ctx.Err() != nil {
		return notRun(ReasonDeadlineExceeded, http.StatusServiceUnavailable)
	}
	return notRun(ReasonDeadlineUnmeetable, http.StatusServiceUnavailable)
}
