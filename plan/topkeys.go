package plan

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	sketchRows  = 4
	sketchWidth = 2048 // a power of two
	stripeCount = 8
)

// KeyRate is a key and its requests per second.
type KeyRate struct {
	Key  string
	Rate float64
}

// TopKeys finds the keys with the most requests in bounded memory. It is striped
// by key, so that goroutines that observe different keys seldom contend for a
// lock. Rates are weighted averages over the time since the start; each call of
// Decay halves the weight of all earlier requests.
//
// A count-min sketch with conservative update estimates the counts of all keys,
// and the keys with the highest counts are kept by name. Apart from decay, an
// estimate is never too low; at 5,000 requests/s it is too high by a few requests.
type TopKeys struct {
	stripes      [stripeCount]sketch
	mu           sync.Mutex
	periodStart  time.Time // start of the period with full weight, at the last Decay
	priorSeconds float64   // weighted seconds before periodStart
}

type sketch struct {
	mu     sync.Mutex
	rows   [sketchRows][sketchWidth]uint32
	slots  []slot
	index  map[uint64]int // key hash to slot
	lowest int            // slot with the smallest count
}

type slot struct {
	hash  uint64
	key   []byte // reused, to avoid allocations in the steady state
	count uint32
}

// NewTopKeys returns a TopKeys that keeps the given number of keys by name.
func NewTopKeys(keys int, now time.Time) *TopKeys {
	t := &TopKeys{periodStart: now}
	for i := range t.stripes {
		n := max(1, (keys+stripeCount-1)/stripeCount)
		t.stripes[i].slots = make([]slot, n)
		t.stripes[i].index = make(map[uint64]int, 2*n)
	}
	return t
}

// Observe counts a request for a key.
func (t *TopKeys) Observe(key string) {
	hash := xxhash.Sum64String(key)
	s := &t.stripes[hash>>61]
	s.mu.Lock()
	s.observe(hash, key)
	s.mu.Unlock()
}

func (s *sketch) observe(hash uint64, key string) {
	if i, ok := s.index[hash]; ok {
		if s.slots[i].count < math.MaxUint32 {
			s.slots[i].count++
		}
		if i == s.lowest {
			s.findLowest()
		}
		return
	}
	var cells [sketchRows]*uint32
	estimate := uint32(math.MaxUint32 - 1)
	// The row hashes are derived from the two halves of one hash (Kirsch and Mitzenmacher).
	a, b := uint32(hash), uint32(hash>>32)|1
	for r := range cells {
		cells[r] = &s.rows[r][(a+uint32(r)*b)%sketchWidth]
		estimate = min(estimate, *cells[r])
	}
	estimate++
	for _, c := range cells {
		*c = max(*c, estimate)
	}
	if estimate > s.slots[s.lowest].count {
		s.replaceLowest(hash, key, estimate)
	}
}

// findLowest updates the slot with the smallest count. It must be called whenever
// that count rises: if lowest stayed on the slot of a hot key, no other key could
// get a slot.
func (s *sketch) findLowest() {
	for i := range s.slots {
		if s.slots[i].count < s.slots[s.lowest].count {
			s.lowest = i
		}
	}
}

// replaceLowest gives the slot with the smallest count to a key. The evicted key's
// count is written back to the sketch.
func (s *sketch) replaceLowest(hash uint64, key string, count uint32) {
	v := &s.slots[s.lowest]
	if v.count > 0 {
		delete(s.index, v.hash)
		a, b := uint32(v.hash), uint32(v.hash>>32)|1
		for r := range s.rows {
			c := &s.rows[r][(a+uint32(r)*b)%sketchWidth]
			*c = max(*c, v.count)
		}
	}
	*v = slot{hash: hash, key: append(v.key[:0], key...), count: count}
	s.index[hash] = s.lowest
	s.findLowest()
}

// Decay halves the weight of all requests so far. If it is called once per planner
// step, the rate of a key without further requests falls below half within a step.
func (t *TopKeys) Decay(now time.Time) {
	for i := range t.stripes {
		t.stripes[i].decay()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.priorSeconds = (t.priorSeconds + now.Sub(t.periodStart).Seconds()) / 2
	t.periodStart = now
}

func (s *sketch) decay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.rows {
		for i := range s.rows[r] {
			s.rows[r][i] /= 2
		}
	}
	for i := range s.slots {
		v := &s.slots[i]
		// The hash of an empty slot may meanwhile be indexed to another slot.
		if v.count == 0 {
			continue
		}
		if v.count /= 2; v.count == 0 {
			delete(s.index, v.hash)
		}
	}
	s.findLowest()
}

// Top returns up to n keys in descending order of rate.
func (t *TopKeys) Top(now time.Time, n int) []KeyRate {
	t.mu.Lock()
	seconds := t.priorSeconds + now.Sub(t.periodStart).Seconds()
	t.mu.Unlock()
	if seconds <= 0 {
		return nil
	}
	var out []KeyRate
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		for _, v := range s.slots {
			if v.count > 0 {
				out = append(out, KeyRate{Key: string(v.key), Rate: float64(v.count) / seconds})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b KeyRate) int {
		return cmp.Or(-cmp.Compare(a.Rate, b.Rate), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(n, len(out))]
}
