package owner

import (
	"fmt"
	"testing"
	"time"
)

// Guards against control traffic above the budget of 7 KB/s per node, and against
// store operations in an idle cluster.
func TestIdleCost(t *testing.T) {
	for _, hosts := range []int{5, 20, 80} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 1, simPlaces(hosts), 32, newCore)
			for i, h := range s.hosts {
				h.name = fmt.Sprintf("%s-%s-%03d", h.place.Region, h.place.DataCentre, i)
			}
			s.boot(15 * time.Second)
			s.startMeasuring()
			s.runUntil(10 * time.Second)
			perNode := 10 * float64(hosts)
			// Each message counts at its sender and at its receiver.
			bytes, messages := 2*float64(s.bytes)/perNode, 2*float64(s.messages)/perNode
			t.Logf("%d hosts: %.0f messages/s and %.0f bytes/s per node, sent and received; store calls %v", hosts, messages, bytes, s.calls)
			if bytes > 7000 {
				t.Errorf("%.0f bytes/s per node, want at most 7000", bytes)
			}
			for kind, n := range s.calls {
				if n > 0 {
					t.Errorf("%d store operations of kind %d in 10 s without a change", n, kind)
				}
			}
		})
	}
}

// Guards against the loss of hosts leaving an entry without an owner for 1 s or
// more. The log compares it with the naive version under the same loss.
func TestUnavailable(t *testing.T) {
	for _, c := range []struct {
		name string
		lost func(i int) bool
	}{
		{"host", func(i int) bool { return i == 4 }},
		{"rack of 2", func(i int) bool { return i == 4 || i == 8 }},
		{"data centre of 5", func(i int) bool { return i%4 == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			measure := func(mk func(h *simHost) machine, quiet bool) (worst, total time.Duration, s *sim) {
				s = newSim(t, 3, simPlaces(20), 60, mk)
				s.collect, s.quiet = true, quiet
				s.boot(10 * time.Second)
				s.at(faultAt, func() {
					for i, h := range s.hosts {
						if c.lost(i) {
							h.kill()
						}
					}
				})
				s.runUntil(faultAt - time.Millisecond)
				s.startMeasuring()
				s.runUntil(faultAt + 5*second)
				worst, total = s.unavailable()
				return worst, total, s
			}
			worst, total, s := measure(newCore, false)
			t.Logf("core: worst entry %v, %.2f entry-seconds, store writes %d, reads %d, %s", worst, total.Seconds(), s.calls[Swap], s.calls[Get]+s.calls[List], s.violation)
			if worst >= time.Second || s.violation != "" {
				t.Errorf("worst entry %v, want under 1 s; %s", worst, s.violation)
			}
			worst, total, s = measure(newNaive, true)
			t.Logf("naive: worst entry %v, %.2f entry-seconds, store writes %d, reads %d", worst, total.Seconds(), s.calls[Swap], s.calls[Get]+s.calls[List])
		})
	}
}
