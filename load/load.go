package load

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ErrPlan marks a plan that cannot be run.
var ErrPlan = errors.New("invalid load")

// Mix is one class of a plan's requests.
type Mix struct {
	Class    string
	Method   string
	Path     string // {key} stands for the key
	Once     bool
	Weight   float64 // zero means 1
	Deadline time.Duration
}

// Plan describes an open loop: arrivals do not wait for answers.
type Plan struct {
	Rate     float64 // mean arrivals per second
	Constant bool    // equal intervals instead of Poisson arrivals
	Duration time.Duration
	Count    int // bounds the requests; zero means MaxCount
	Keys     int // zero means 1000
	// Zipf is the exponent of the distribution of keys, above 1. Zero means that
	// all keys are equally frequent.
	Zipf float64
	Seed uint64
	Mix  []Mix
}

const (
	// MaxCount bounds the requests of one plan, as their results are kept for
	// the checks (about 1 KB each).
	MaxCount = 200_000
	// MaxRate is far over what one process can send.
	MaxRate     = 100_000
	defaultKeys = 1000
	// MaxFlight bounds the requests in flight. An arrival over it starts late,
	// which its latency shows.
	MaxFlight = 2048
)

// Check returns ErrPlan if the plan cannot be run.
func (p *Plan) Check() error {
	fail := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrPlan, fmt.Sprintf(format, args...))
	}
	switch {
	case !(p.Rate > 0) || p.Rate > MaxRate:
		return fail("rate %g is out of range, must be over 0 and at most %d", p.Rate, MaxRate)
	case p.Duration < 0 || p.Count < 0 || p.Count > MaxCount:
		return fail("duration %v or count %d is out of range, at most %d requests", p.Duration, p.Count, MaxCount)
	case p.Duration == 0 && p.Count == 0:
		return fail("duration or count is required")
	case p.Keys < 0:
		return fail("keys %d is negative", p.Keys)
	case p.Zipf != 0 && !(p.Zipf > 1 && p.Zipf <= 10):
		return fail("zipf %g is out of range, must be 0 or over 1 and at most 10", p.Zipf)
	case len(p.Mix) == 0:
		return fail("mix is empty")
	}
	for _, m := range p.Mix {
		if m.Class == "" || m.Method == "" || !strings.HasPrefix(m.Path, "/") || !(m.Weight >= 0) || math.IsInf(m.Weight, 1) || m.Deadline < 0 {
			return fail("mix %q needs class, method and a path that begins with /, and no negative values", m.Class)
		}
	}
	return nil
}

// Arrivals returns the requests with their times since the start. Equal plans
// give equal requests.
func (p *Plan) Arrivals() iter.Seq2[time.Duration, Request] {
	return func(yield func(time.Duration, Request) bool) {
		rng := rand.New(rand.NewPCG(p.Seed, 1))
		keys := p.Keys
		if keys == 0 {
			keys = defaultKeys
		}
		next := func() uint64 { return rng.Uint64N(uint64(keys)) }
		if p.Zipf > 0 {
			next = rand.NewZipf(rng, p.Zipf, 1, uint64(keys-1)).Uint64
		}
		total := 0.0
		for _, m := range p.Mix {
			total += m.weight()
		}
		limit := p.Count
		if limit == 0 {
			limit = MaxCount
		}
		at := 0.0 // in seconds
		for range limit {
			gap := 1 / p.Rate
			if !p.Constant {
				gap *= rng.ExpFloat64()
			}
			at += gap
			due := time.Duration(at * float64(time.Second))
			if p.Duration > 0 && due > p.Duration {
				return
			}
			m := p.Mix[0]
			for x, i := rng.Float64()*total, 0; i < len(p.Mix); i++ {
				m = p.Mix[i]
				if x -= m.weight(); x < 0 {
					break
				}
			}
			key := "k" + strconv.FormatUint(next(), 10)
			r := Request{
				Class: m.Class, Method: m.Method, Path: strings.ReplaceAll(m.Path, "{key}", key),
				Once: m.Once, Deadline: m.Deadline, Entry: rng.IntN(1 << 20),
			}
			if r.Method != http.MethodGet {
				r.Body = "amount=" + strconv.Itoa(100+rng.IntN(900))
			}
			if !yield(due, r) {
				return
			}
		}
	}
}

func (m *Mix) weight() float64 {
	if m.Weight == 0 {
		return 1
	}
	return m.Weight
}

// Drive calls do for each item at its time since start, on a goroutine of its
// own, and returns when all calls have returned. Items do not wait for earlier
// ones, unless MaxFlight of them run. When the context ends, no more items are
// started. due is the scheduled time.
func Drive[T any](ctx context.Context, start time.Time, items iter.Seq2[time.Duration, T], do func(due time.Time, item T)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	flight := make(chan struct{}, MaxFlight)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at, item := range items {
		due := start.Add(at)
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case <-ctx.Done():
			return
		case flight <- struct{}{}:
		}
		calls.Go(func() {
			defer func() { <-flight }()
			do(due, item)
		})
	}
}
