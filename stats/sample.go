// Package stats keeps the metrics of a node: counters for each class and
// outcome, gauges, and latency histograms for each class and tenant.
package stats

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// sampleShards spreads concurrent updates. One shard takes about 21 KB.
	sampleShards = 4
	// sampleDigits bounds the error of a percentile to 1% of its value.
	sampleDigits = 2
	// sampleMax is the longest latency that is told apart, in microseconds.
	sampleMax = int64(100 * time.Second / time.Microsecond)
)

// Sample is a metrics.Sample that counts every value in HDR histograms. The
// reservoirs of go-metrics keep about a thousand values, of which ten lie above
// the 99th percentile; that is too few for an error of 1%. Values are integers
// from 0 to 100,000,000; larger ones are counted as that.
type Sample struct {
	shards [sampleShards]sampleShard
}

type sampleShard struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	sum  int64
	_    [40]byte // keeps the locks of two shards off one cache line
}

var _ metrics.Sample = (*Sample)(nil)

// NewSample returns an empty sample.
func NewSample() *Sample {
	s := &Sample{}
	for i := range s.shards {
		s.shards[i].hist = newHistogram()
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, sampleMax, sampleDigits) }

// Update counts a value.
func (s *Sample) Update(v int64) {
	v = min(max(v, 0), sampleMax)
	h := &s.shards[rand.Uint32()%sampleShards]
	h.mu.Lock()
	_ = h.hist.RecordValue(v) // v is in range
	h.sum += v
	h.mu.Unlock()
}

// Clear forgets all values.
func (s *Sample) Clear() {
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		h.hist.Reset()
		h.sum = 0
		h.mu.Unlock()
	}
}

// merged returns the sum of the shards.
func (s *Sample) merged() (*hdrhistogram.Histogram, int64) {
	all, sum := newHistogram(), int64(0)
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		all.Merge(h.hist)
		sum += h.sum
		h.mu.Unlock()
	}
	return all, sum
}

// Snapshot returns a copy that does not change.
func (s *Sample) Snapshot() metrics.Sample {
	h, sum := s.merged()
	c := NewSample()
	c.shards[0].hist, c.shards[0].sum = h, sum
	return c
}

// Count returns the number of values.
func (s *Sample) Count() int64 { h, _ := s.merged(); return h.TotalCount() }

// Size returns the number of values, as all of them are kept.
func (s *Sample) Size() int { return int(s.Count()) }

// Sum returns the exact sum of the values.
func (s *Sample) Sum() int64 { _, sum := s.merged(); return sum }

// Max returns the largest value, within 1%.
func (s *Sample) Max() int64 { h, _ := s.merged(); return h.Max() }

// Min returns the smallest value, within 1%.
func (s *Sample) Min() int64 { h, _ := s.merged(); return h.Min() }

// Mean returns the exact mean.
func (s *Sample) Mean() float64 {
	h, sum := s.merged()
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(sum) / float64(h.TotalCount())
}

// StdDev returns the standard deviation, within 1%.
func (s *Sample) StdDev() float64 { h, _ := s.merged(); return h.StdDev() }

// Variance returns the square of StdDev.
func (s *Sample) Variance() float64 { d := s.StdDev(); return d * d }

// Percentile returns the value at a quantile from 0 to 1, within 1%.
func (s *Sample) Percentile(q float64) float64 { return s.Percentiles([]float64{q})[0] }

// Percentiles returns the values at several quantiles of one moment.
func (s *Sample) Percentiles(quantiles []float64) []float64 {
	h, _ := s.merged()
	values := make([]float64, len(quantiles))
	for i, q := range quantiles {
		values[i] = float64(h.ValueAtQuantile(q * 100))
	}
	return values
}

// Values returns nothing, as single values are not kept.
func (s *Sample) Values() []int64 { return nil }

// Summary describes a distribution of latencies, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Summarize describes a sample of microseconds.
func Summarize(s *Sample) Summary {
	h, sum := s.merged()
	if h.TotalCount() == 0 {
		return Summary{}
	}
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Summary{
		Count: h.TotalCount(), Mean: float64(sum) / float64(h.TotalCount()) / 1000,
		P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}
