package retry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of Backoff.
const (
	DefaultBaseDelay = 10 * time.Millisecond
	DefaultMaxDelay  = time.Second
)

// Backoff computes exponential delays with full jitter, so that callers that
// failed together do not retry together. The zero value uses the defaults and a
// random seed. It is safe for concurrent use.
type Backoff struct {
	mu        sync.Mutex
	base, max time.Duration
	rng       *rand.Rand
}

// NewBackoff returns a backoff whose delay before the nth retry is uniformly
// random from 0 to the lower of base * 2^(n-1) and limit.
func NewBackoff(base, limit time.Duration, seed uint64) (*Backoff, error) {
	if base <= 0 || limit < base {
		return nil, fmt.Errorf("backoff with base %v and limit %v: base must be positive and at most the limit", base, limit)
	}
	return &Backoff{base: base, max: limit, rng: rand.New(rand.NewPCG(seed, 0))}, nil
}

// MaxDelay returns the longest delay before the given retry, counted from 1.
func (b *Backoff) MaxDelay(retry int) time.Duration {
	d, limit := cmp.Or(b.base, DefaultBaseDelay), cmp.Or(b.max, DefaultMaxDelay)
	for range retry - 1 {
		if d > limit/2 {
			return limit
		}
		d *= 2
	}
	return min(d, limit)
}

// Delay returns a random delay before the given retry, counted from 1.
func (b *Backoff) Delay(retry int) time.Duration {
	d := b.MaxDelay(retry)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rng == nil {
		b.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return time.Duration(b.rng.Int64N(int64(d) + 1))
}
