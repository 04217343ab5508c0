package admit

import "time"

const (
	// latencyAlpha is the weight of a new sample in the moving averages of latency
	// and excess.
	latencyAlpha = 1.0 / 16
	// baselineAlpha is the weight of a new sample in the baseline; it leaves the
	// baseline an error of 4%. With 1/32, noise alone lowered the limit of a target
	// that ran its reported 12 slots to 2.
	baselineAlpha = 1.0 / 256

	// boundExcesses is the number of mean excesses over the mean that a request
	// must have left before its deadline. With exponential service times this is
	// about the 98th percentile.
	boundExcesses = 8

	// staleBounds is the age of an estimate, as a multiple of its upper bound, above
	// which it no longer refuses requests: those that started since should have ended.
	// Without it, an estimate that is too high would refuse every request that could
	// correct it.
	staleBounds = 2

	// windowSamples is the number of requests between adjustments of the limit. The
	// mean of that many exponential service times has a standard error of 9%.
	windowSamples  = 128
	decreaseRatio  = 1.3  // latency over baseline at which the limit falls
	increaseRatio  = 1.15 // latency over baseline below which the limit rises
	decreaseFactor = 0.9

	// A probe halves the limit until probeSamples requests have measured the
	// baseline under low load. It starts maxProbeInterval windows after the last
	// batch of baseline samples, which costs at most 1.5% of capacity, or after
	// minProbeInterval windows if latency is high.
	probeSamples     = 128
	maxProbeInterval = 64
	minProbeInterval = 16
)

// estimate holds moving averages of a class's latency at the target, in
// nanoseconds.
type estimate struct {
	mean                     float64
	excess                   float64 // mean of what samples exceed the mean by, zero for shorter ones
	baseline                 float64 // mean latency under low load
	samples, baselineSamples int     // in mean and baseline
	updated                  time.Time
}

// upperBound returns the time that a request of the class is expected to need at
// most, or zero if the estimate is missing or too old.
func (e *estimate) upperBound(now time.Time) time.Duration {
	bound := time.Duration(e.mean + boundExcesses*e.excess)
	if now.Sub(e.updated) > staleBounds*bound {
		return 0
	}
	return bound
}

// sampleWeight returns the weight of the nth sample in a moving average. Early
// samples count equally, as the first one would otherwise dominate the average of
// an exponential distribution for a long time.
func sampleWeight(alpha float64, n int) float64 { return max(alpha, 1/float64(n)) }

// cost returns the expected service time of one request, by which fair queueing
// advances its flow.
func (e *estimate) cost() float64 {
	if e.mean == 0 {
		return float64(time.Millisecond)
	}
	return e.mean
}

// limitController adapts the concurrency limit. Latency above the baseline means
// that requests queue inside the target, so the limit falls; otherwise it rises.
type limitController struct {
	classes map[string]*estimate
	mean    float64 // mean latency of all classes
	limit   float64

	samples                 int // in this window
	latencySum, baselineSum float64

	windowsSinceBatch                 int // since the last batch of baseline samples
	batchSamples                      int // in this batch
	batchLatencySum, batchBaselineSum float64
	batchDone                         bool // the first batch of baseline samples is complete
	probing                           bool
}

func (a *limitController) estimateOf(name string) *estimate {
	e, ok := a.classes[name]
	if !ok {
		if a.classes == nil {
			a.classes = make(map[string]*estimate)
		}
		e = new(estimate)
		a.classes[name] = e
	}
	return e
}

// effectiveLimit returns the limit, which a probe halves.
func (a *limitController) effectiveLimit() int {
	n := int(a.limit)
	if a.probing {
		n = (n + 1) / 2
	}
	return max(n, 1)
}

// measuresBaseline reports whether the load is low enough for a request to measure
// the baseline if it starts as the last of inFlight requests.
func (a *limitController) measuresBaseline(inFlight int) bool { return inFlight <= (int(a.limit)+1)/2 }

// queueDelay estimates how long the nth request in the queue waits.
func (a *limitController) queueDelay(n, limit int) time.Duration {
	return time.Duration(float64(n) * a.mean / float64(max(limit, 1)))
}

// observe records the latency of a finished request. A failure counts only if it
// took at least the mean, as fast failures do not reflect the service time.
func (a *limitController) observe(now time.Time, e *estimate, res Result, baselineSample bool, slots int) {
	v := float64(res.Latency)
	if !res.Success && v < e.mean || v <= 0 {
		return
	}
	d := v - e.mean
	if e.samples++; e.samples == 1 {
		e.excess = v / 4
	} else {
		e.excess += (max(d, 0) - e.excess) * sampleWeight(latencyAlpha, e.samples)
	}
	e.mean += d * sampleWeight(latencyAlpha, e.samples)
	e.updated = now
	if a.mean == 0 {
		a.mean = v
	}
	a.mean += (v - a.mean) * latencyAlpha
	if baselineSample {
		a.observeBaseline(e, v)
	}
	a.samples++
	if e.baseline > 0 {
		a.latencySum += v
		a.baselineSum += e.baseline
	}
	if a.samples >= windowSamples {
		a.endWindow(slots)
	}
}

// observeBaseline records a latency under low load and, after probeSamples of
// them, ends the batch and any probe.
func (a *limitController) observeBaseline(e *estimate, v float64) {
	e.baselineSamples++
	e.baseline += (v - e.baseline) * sampleWeight(baselineAlpha, e.baselineSamples)
	a.batchSamples++
	a.batchLatencySum += v
	a.batchBaselineSum += e.baseline
	if a.batchSamples < probeSamples {
		return
	}
	// Latency that changes under low load comes from slower or faster work and not
	// from requests that queue inside the target, so the baselines follow it.
	if r := a.batchLatencySum / a.batchBaselineSum; r > decreaseRatio || r < 1/decreaseRatio {
		for _, c := range a.classes {
			c.baseline *= r
		}
	}
	a.batchSamples, a.batchLatencySum, a.batchBaselineSum = 0, 0, 0
	a.windowsSinceBatch, a.batchDone, a.probing = 0, true, false
}

// endWindow adjusts the limit to the latency of the window or starts a probe.
func (a *limitController) endWindow(slots int) {
	ratio := 1.0
	if a.baselineSum > 0 {
		ratio = a.latencySum / a.baselineSum
	}
	a.samples, a.latencySum, a.baselineSum = 0, 0, 0
	a.windowsSinceBatch++
	switch {
	case a.probing:
	case !a.batchDone, a.windowsSinceBatch >= maxProbeInterval, ratio > decreaseRatio && a.windowsSinceBatch >= minProbeInterval:
		a.probing = true
	case ratio > decreaseRatio:
		a.limit = max(1, a.limit*decreaseFactor)
	case ratio < increaseRatio:
		a.limit = min(float64(slots), a.limit+1)
	}
}
