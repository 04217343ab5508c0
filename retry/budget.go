// Package retry decides whether, when and how often a request is retried: a token
// budget per class, backoff with full jitter, the rules for retrying an attempt,
// and hedging of idempotent requests.
package retry

import (
	"fmt"
	"sync"
)

const (
	// DefaultRatio is the number of tokens that a first attempt adds to the budget.
	DefaultRatio = 0.1
	// MaxBurst is the greatest capacity of a budget in tokens. With the default
	// ratio, 10 keep all attempts within 1.2 times the first attempts in every
	// period with at least 100 first attempts: 100 + 0.1 * 100 + 10 = 120.
	MaxBurst = 10
)

// Budget is a token bucket that bounds the retries and hedges of one class. The
// zero value uses DefaultRatio and a burst of MaxBurst. It is safe for concurrent
// use.
type Budget struct {
	mu         sync.Mutex
	configured bool
	ratio      float64
	burst      float64
	missing    float64 // tokens below the burst
	first      uint64  // see Counts
	allowed    uint64
	rejected   uint64
}

// NewBudget returns a full budget. The ratio, the tokens that a first attempt
// adds, must be from 0 to 1, and the burst, its capacity, from 0 to MaxBurst.
func NewBudget(ratio float64, burst int) (*Budget, error) {
	if !(ratio >= 0 && ratio <= 1) {
		return nil, fmt.Errorf("retry ratio %v must be from 0 to 1", ratio)
	}
	if burst < 0 || burst > MaxBurst {
		return nil, fmt.Errorf("retry burst %d must be from 0 to %d", burst, MaxBurst)
	}
	return &Budget{configured: true, ratio: ratio, burst: float64(burst)}, nil
}

// Empty takes all tokens.
func (b *Budget) Empty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, b.missing = b.limits()
}

func (b *Budget) limits() (ratio, burst float64) {
	if !b.configured {
		return DefaultRatio, MaxBurst
	}
	return b.ratio, b.burst
}

// RecordFirst counts a first attempt, which adds a fraction of a token. Tokens
// accumulate only up to the burst, so a quiet period does not allow a retry storm
// after it.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio, _ := b.limits()
	b.first++
	b.missing = max(0, b.missing-ratio)
}

// Allow takes a token for one more attempt. It returns false if less than one is
// left.
func (b *Budget) Allow() bool { return b.Spend(1) }

// Spend takes the given tokens, at least 1, for one more attempt that costs as
// much as that many usual ones. It returns false if fewer are left.
func (b *Budget) Spend(tokens float64) bool {
	tokens = max(tokens, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, burst := b.limits(); b.missing+tokens > burst {
		b.rejected++
		return false
	}
	b.missing += tokens
	b.allowed++
	return true
}

// Counts are the attempts that a budget has counted.
type Counts struct {
	First    uint64 // first attempts
	Allowed  uint64 // retries and hedges
	Rejected uint64 // retries and hedges without enough tokens
}

// Counts returns the numbers of attempts so far.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{First: b.first, Allowed: b.allowed, Rejected: b.rejected}
}
