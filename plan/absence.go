package plan

import (
	"slices"
	"time"
)

// Threshold determines how long to wait after a host's lease has expired before
// its entries are reassigned. A host that returns within the wait keeps its
// entries, so a restart causes no churn; until then its keys are unavailable.
type Threshold struct {
	// Quantile is the quantile of past absences to wait for; zero reassigns at once.
	Quantile float64
	// Max is the upper bound of the wait; zero means no bound.
	Max time.Duration
}

// minAbsences is the smallest sample of past absences whose quantile is used.
// With fewer, entries are reassigned at once.
const minAbsences = 20

// Wait returns the time to wait after a lease has expired. It is zero if
// redundancy is at risk: another absence in the same witness set could end
// leases that no host may take over.
func (t Threshold) Wait(past []time.Duration, atRisk bool) time.Duration {
	if t.Quantile <= 0 || atRisk || len(past) < minAbsences {
		return 0
	}
	wait := quantile(slices.Sorted(slices.Values(past)), t.Quantile)
	if t.Max > 0 {
		wait = min(wait, t.Max)
	}
	return wait
}

// quantile returns the nearest-rank quantile of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Absence is one interval in which a host held no lease.
type Absence struct {
	Duration time.Duration
	// Failed reports that the host never returned.
	Failed bool
}

// Cost is the effect of a threshold on unavailable time and churn over a set of
// absences. Its unit is all keys of one host.
type Cost struct {
	Quantile    float64
	Wait        time.Duration
	Unavailable time.Duration // total time in which a host's keys had no owner
	Churn       int           // number of times that all keys of a host changed owner
	Takeovers   int
}

// CompareThresholds returns the cost of waiting for each quantile of the
// absences of returning hosts. takeover is the time that a takeover without a
// wait takes from the loss until all nodes know the new owners. A host that
// returns after its entries were reassigned is filled again, so a premature
// takeover counts twice in churn; a failure counts once in any case.
func CompareThresholds(absences []Absence, takeover time.Duration, quantiles []float64) []Cost {
	var returned []time.Duration
	for _, a := range absences {
		if !a.Failed {
			returned = append(returned, a.Duration)
		}
	}
	out := make([]Cost, 0, len(quantiles))
	for _, q := range quantiles {
		c := Cost{Quantile: q, Wait: Threshold{Quantile: q}.Wait(returned, false)}
		for _, a := range absences {
			switch {
			case !a.Failed && a.Duration <= c.Wait:
				c.Unavailable += a.Duration
				continue
			case !a.Failed:
				c.Churn++
			}
			c.Unavailable += c.Wait + takeover
			c.Churn++
			c.Takeovers++
		}
		out = append(out, c)
	}
	return out
}

// ChooseThreshold returns the cost with the lowest weighted sum. Each metric is
// normalized by its highest value among the costs, so that the weights compare
// seconds with keys. Without weights it returns the first.
func ChooseThreshold(costs []Cost, r Rules) Cost {
	var highest Cost
	for _, c := range costs {
		highest.Unavailable = max(highest.Unavailable, c.Unavailable)
		highest.Churn = max(highest.Churn, c.Churn)
	}
	var best Cost
	lowest := 0.0
	for i, c := range costs {
		cost := r.Unavailable*normalize(c.Unavailable, highest.Unavailable) + r.Churn*normalize(c.Churn, highest.Churn)
		if i == 0 || cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

func normalize[T int | time.Duration](v, highest T) float64 {
	if highest == 0 {
		return 0
	}
	return float64(v) / float64(highest)
}
