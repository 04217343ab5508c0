package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// Top must list the hot keys with rates that are about right after each change of
// the hot keys, with two concurrent writers.
func TestTopKeysFindsShiftedHotKeys(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	top := NewTopKeys(128, now)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 1_000_000)
	for shift := range 4 {
		counts := map[string]int{}
		for range 4 {
			top.Decay(now)
			keys := make([]string, 50_000) // 10 s at 5,000 requests/s
			for i := range keys {
				keys[i] = fmt.Sprintf("key-%d-%d", shift, zipf.Uint64())
				counts[keys[i]]++
			}
			var wg sync.WaitGroup
			for half := range slices.Chunk(keys, len(keys)/2) {
				wg.Go(func() {
					for _, key := range half {
						top.Observe(key)
					}
				})
			}
			wg.Wait()
			now = now.Add(10 * time.Second)
		}
		found := map[string]float64{}
		for _, k := range top.Top(now, 30) {
			found[k.Key] = k.Rate
		}
		for i := range 20 {
			key := fmt.Sprintf("key-%d-%d", shift, i)
			if got, want := found[key], float64(counts[key])/40; got < 0.8*want || got > 1.2*want {
				t.Errorf("shift %d: rate of %s = %.1f/s, want about %.1f/s", shift, key, got, want)
			}
		}
	}
}

func BenchmarkTopKeysObserve(b *testing.B) {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 1_000_000)
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprintf("permit-%d", zipf.Uint64())
	}
	now := time.Unix(1_800_000_000, 0)
	top := NewTopKeys(128, now)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if n++; n%50_000 == 0 {
			now = now.Add(10 * time.Second)
			top.Decay(now)
		}
		top.Observe(keys[n%len(keys)])
	}
}
