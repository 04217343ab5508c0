package triage

import "time"

// timeWeight is the weight of a new service time in the moving averages of its class.
const timeWeight = 0.1

// boundExcesses is the number of mean excesses over the mean within which most requests of a
// class end. If times above and below the mean are alike, these are two mean deviations.
const boundExcesses = 4

// serviceTime holds moving averages of the service time of a class. The zero value
// stands for a class without observations, whose requests start untested.
type serviceTime struct {
	mean time.Duration
	// excess is the mean of what observations exceed the mean by, zero for shorter ones: a
	// target that becomes faster tells nothing of requests that end late.
	excess  time.Duration
	updated time.Duration
	samples int
}

// bound returns the time within which most requests of the class end, or zero if that
// is not known.
func (t serviceTime) bound() time.Duration { return t.mean + boundExcesses*t.excess }

// observe adds an observation. The first ones count more, as those that end first are the
// shortest, and the bound is twice the first one until others are known.
func (t serviceTime) observe(took, now time.Duration) serviceTime {
	t.updated = now
	if t.samples++; t.samples == 1 {
		t.mean, t.excess = took, took/boundExcesses
		return t
	}
	difference := took - t.mean
	weight := max(timeWeight, 1/float64(t.samples))
	t.mean += time.Duration(weight * float64(difference))
	t.excess += time.Duration(weight * float64(max(difference, 0)-t.excess))
	return t
}
