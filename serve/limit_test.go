package serve

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Guards against a limit in force that differs from the one that was named last, since
// responses that arrive together, and the record of an earlier run, change it at the same time.
func TestLimitAppliedInOrder(t *testing.T) {
	for range 200 {
		var l targetLimit
		applied := 0.0
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				apply := func(rate float64) {
					time.Sleep(time.Duration(rand.IntN(20)) * time.Microsecond)
					applied = rate
				}
				if i == 7 {
					l.inherit(100, time.Duration(i), apply)
					return
				}
				a := Advice{Known: true, Limited: i%2 == 0, Limit: float64(1 + i)}
				l.follow(a, time.Duration(i), time.Duration(i), apply)
			})
		}
		wg.Wait()
		if applied != l.rate {
			t.Fatalf("limit in force is %v, want %v", applied, l.rate)
		}
	}
}
