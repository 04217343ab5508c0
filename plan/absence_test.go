package plan

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// syntheticAbsences draws restarts of seconds to minutes (log-normal, median 20 s) and failures.
func syntheticAbsences(days int) []Absence {
	r := rand.New(rand.NewPCG(140, 3))
	var out []Absence
	for range days * 140 {
		s := min(max(20*math.Exp(1.2*r.NormFloat64()), 2), 900)
		out = append(out, Absence{Duration: time.Duration(s * float64(time.Second))})
	}
	return append(out, slices.Repeat([]Absence{{Failed: true}}, days*3)...)
}

// A longer wait must cost unavailable time and save churn; otherwise the weights
// choose a wrong threshold. The log shows the cost of each quantile.
func TestCompareThresholds(t *testing.T) {
	const days = 30
	costs := CompareThresholds(syntheticAbsences(days), 680*time.Millisecond, []float64{0, 0.2, 0.5, 0.8})
	for i, c := range costs {
		t.Logf("quantile %.1f: wait %.1f s, unavailable %.0f host-seconds/day, churn %.1f hosts' keys/day, takeovers %.1f/day",
			c.Quantile, c.Wait.Seconds(), c.Unavailable.Seconds()/days, ratio(c.Churn, days), ratio(c.Takeovers, days))
		if i > 0 && (c.Unavailable <= costs[i-1].Unavailable || c.Churn >= costs[i-1].Churn) {
			t.Errorf("a longer wait gives %+v after %+v, want more unavailable time and less churn", c, costs[i-1])
		}
		if c.Churn < 3*days {
			t.Errorf("churn %d is below that of the failures alone", c.Churn)
		}
	}
	if c := ChooseThreshold(costs, Rules{Unavailable: 3, Churn: 1}); c.Wait != 0 {
		t.Errorf("wait with a higher weight for unavailable time = %v, want 0", c.Wait)
	}
	if c := ChooseThreshold(costs, Rules{Unavailable: 1, Churn: 3}); c.Wait == 0 {
		t.Error("wait with a higher weight for churn = 0, want more")
	}
}

// Entries must be reassigned at once when redundancy is at risk or there are too
// few past absences to estimate a quantile.
func TestThresholdWait(t *testing.T) {
	past := make([]time.Duration, 100)
	for i := range past {
		past[len(past)-1-i] = time.Duration(i+1) * time.Second
	}
	for _, c := range []struct {
		t      Threshold
		past   []time.Duration
		atRisk bool
		want   time.Duration
	}{
		{Threshold{}, past, false, 0},
		{Threshold{Quantile: 0.5}, past, false, 51 * time.Second},
		{Threshold{Quantile: 1}, past, false, 100 * time.Second},
		{Threshold{Quantile: 0.8, Max: 10 * time.Second}, past, false, 10 * time.Second},
		{Threshold{Quantile: 0.8}, past, true, 0},
		{Threshold{Quantile: 0.8}, past[:5], false, 0},
	} {
		if got := c.t.Wait(c.past, c.atRisk); got != c.want {
			t.Errorf("%+v with %d absences, at risk %v: Wait = %v, want %v", c.t, len(c.past), c.atRisk, got, c.want)
		}
	}
}
