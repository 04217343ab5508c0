package serve

import (
	"sync"
	"time"

	"burdocklift/proto"
	"burdocklift/uplink"
)

const (
	// sizeWeight is the weight of a new answer in the mean size of its class.
	sizeWeight = 0.1
	// maxSizeClasses bounds the classes whose sizes are kept. Their names come from the
	// rules.
	maxSizeClasses = 4096
)

// answerSizes holds the mean size of the answers of each class, in bytes. The zero
// value is empty.
type answerSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

func (a *answerSizes) observe(class string, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.means[class]
	switch {
	case !ok && len(a.means) >= maxSizeClasses:
		return
	case !ok:
		mean = float64(bytes)
	}
	if a.means == nil {
		a.means = make(map[string]float64)
	}
	a.means[class] = mean + sizeWeight*(float64(bytes)-mean)
}

// large returns the mean size of the answers of a class, or 0 if they are not large.
func (a *answerSizes) large(class string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if mean := a.means[class]; mean > uplink.LargeBytes {
		return int(mean)
	}
	return 0
}

// expectedTransfer returns the time that this host's link needs for the answer to a
// request, and the time for which it is busy before, or zero if the answer is not large.
func (r *Router) expectedTransfer(j *job) (transfer, backlog time.Duration) {
	bytes := r.sizes.large(j.class)
	if bytes == 0 {
		return 0, 0
	}
	return r.cfg.Uplink.Delay(bytes)
}

// refuseTransfer refuses a request whose answer this host could not pass on to the
// caller before the deadline. The caller may return when the link has sent what was
// announced before.
func (r *Router) refuseTransfer(j *job) (refusal Result, refused bool) {
	transfer, backlog := r.expectedTransfer(j)
	now := r.cfg.Clock.Elapsed()
	if transfer == 0 || transfer+backlog <= j.deadline-now {
		return Result{}, false
	}
	return notRun(ReasonLink, j.retryAfter(backlog, now)), true
}

// observeSize records the size of an answer that a caller gets.
func (r *Router) observeSize(class string, res Result) {
	if res.Outcome == proto.Answered && res.Response.Status/100 == 2 {
		r.sizes.observe(class, len(res.Response.Body))
	}
}
