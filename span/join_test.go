package span

import (
	"math/rand/v2"
	"testing"
)

// Guards against a number of ranges that grows without bound as busy keys move: the
// list of a target's ranges must fit into the reply to its heartbeat.
func TestJoin(t *testing.T) {
	const owners, limit, steps = 5, 12, 120
	for _, joins := range []bool{false, true} {
		var m Map
		var all []Owner
		for i := range owners {
			all = append(all, owner(i))
		}
		Plan(&m, all, even)
		r := rand.New(rand.NewPCG(7, 0))
		most := 0
		for range steps {
			var l Load
			for range 6 { // the busy keys change at each step
				from := r.IntN(MaxKey - 400)
				for range 100 {
					l.Add(from+r.IntN(400), 1, 0)
				}
			}
			w := l.Cumulative(0)
			before := m.Clone()
			Balance(&m, all, w)
			if joins {
				joinAbove(&m, all, w, limit)
			}
			assertValid(t, m)
			assertEpochs(t, before, m)
			for _, o := range all { // each releases what has a next owner
				releaseAll(&m, o.Incarnation, "token")
			}
			m.Merge()
			counts := make(map[Incarnation]int)
			for _, r := range m.Ranges {
				counts[r.Owner]++
				most = max(most, counts[r.Owner])
			}
		}
		t.Logf("joined: %t, at most %d ranges of one owner", joins, most)
		if fits := most <= limit+maxMovesPerStep; fits != joins {
			t.Errorf("joined: %t, one owner has %d ranges", joins, most)
		}
	}
}

// assertEpochs fails if the epoch of a key has decreased.
func assertEpochs(t *testing.T, before, after Map) {
	t.Helper()
	for _, r := range before.Ranges {
		for _, key := range []int{r.From, r.To} {
			if now, _ := after.Find(key); now.Epoch < r.Epoch {
				t.Fatalf("epoch of key %d went from %d to %d", key, r.Epoch, now.Epoch)
			}
		}
	}
}
