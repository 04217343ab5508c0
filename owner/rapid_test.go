package owner

import (
	"fmt"
	"runtime/debug"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is one fault of a random schedule. It starts at time at and lasts for dur.
type fault struct {
	kind, host, other int
	at, dur           time.Duration
}

type schedule struct {
	hosts, moves int
	seed         uint64
	faults       []fault
	heal         bool // end all faults and require an owner for each entry
}

func (f fault) String() string {
	return fmt.Sprintf("%s(%d,%d)@%v+%v", kinds[f.kind].name, f.host, f.other, f.at, f.dur)
}

// kinds lists the kinds of faults. run starts a fault and returns the function
// that ends it.
var kinds = []struct {
	name string
	run  func(s *sim, h, g *simHost) (end func())
}{
	{"kill", func(_ *sim, h, _ *simHost) func() { h.kill(); return func() { h.kill(); h.start() } }},
	{"pause", func(_ *sim, h, _ *simHost) func() { h.pause(); return h.resume }},
	{"pause-two", func(_ *sim, h, g *simHost) func() { h.pause(); g.pause(); return func() { h.resume(); g.resume() } }},
	{"store-cut", func(_ *sim, h, _ *simHost) func() { h.storeCut = true; return func() { h.storeCut = false } }},
	{"isolate", func(_ *sim, h, _ *simHost) func() { h.partition++; return func() { h.partition-- } }},
	{"isolate-two", func(_ *sim, h, g *simHost) func() {
		h.partition++
		g.partition++
		return func() { h.partition--; g.partition-- }
	}},
	{"split", func(s *sim, h, _ *simHost) func() { s.split = h.place.Region; return func() { s.split = "" } }},
	{"store-down", func(s *sim, _, _ *simHost) func() { s.down = true; return func() { s.down = false } }},
	{"store-slow", func(s *sim, _, _ *simHost) func() {
		s.storeMaxDelay = 2500 * time.Millisecond
		return func() { s.storeMaxDelay = 0 }
	}},
	{"replies-lost", func(s *sim, _, _ *simHost) func() { s.replyLossProb = 0.5; return func() { s.replyLossProb = 0 } }},
	{"watch-stale", func(s *sim, _, _ *simHost) func() {
		s.watchMaxDelay = 2 * time.Second
		return func() { s.watchMaxDelay = 0 }
	}},
	{"network", func(s *sim, _, _ *simHost) func() {
		s.lossProb, s.dupProb, s.delayProb = 0.2, 0.1, 0.1
		return func() { s.lossProb, s.dupProb, s.delayProb = 0, 0, 0 }
	}},
	{"takeover", func(s *sim, h, g *simHost) func() {
		c := s.core(h)
		if c == nil || g.proc == nil || h == g {
			return func() {}
		}
		if m, ok := c.members[g.proc.ID()]; ok {
			h.call(func() { c.startTakeover(h.clock(), m, simFx{h}) }, false)
		}
		return func() {}
	}},
	{"leave", func(s *sim, h, _ *simHost) func() {
		if c := s.core(h); c != nil {
			c.Leave()
		}
		return func() { h.kill(); h.start() }
	}},
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	sc := schedule{
		hosts: rapid.IntRange(4, 6).Draw(t, "hosts"),
		moves: rapid.IntRange(0, 2).Draw(t, "moves"),
		seed:  rapid.Uint64().Draw(t, "seed"),
		heal:  rapid.IntRange(0, 9).Draw(t, "heal") == 0,
	}
	ms := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	for range rapid.IntRange(1, 5).Draw(t, "faults") {
		sc.faults = append(sc.faults, fault{
			rapid.IntRange(0, len(kinds)-1).Draw(t, "kind"),
			rapid.IntRange(0, sc.hosts-1).Draw(t, "host"), rapid.IntRange(0, sc.hosts-1).Draw(t, "other"),
			ms(2000, "at"), ms(2000, "dur"),
		})
	}
	return sc
})

func (sc schedule) run(tb failer, mk func(h *simHost) machine, collect bool) *sim {
	s := newSim(tb, sc.seed, simPlaces(sc.hosts), 6, mk)
	s.tick, s.timeout = 2*simTick, 500*time.Millisecond
	s.boot(1200 * time.Millisecond)
	s.collect, s.violation = collect, ""
	if sc.moves > 0 {
		s.planner(time.Duration(300/sc.moves)*time.Millisecond, 3500*time.Millisecond)
	}
	for _, f := range sc.faults {
		h, g := s.hosts[f.host], s.hosts[f.other]
		s.at(f.at, func() { s.at(f.at+f.dur, kinds[f.kind].run(s, h, g)) })
	}
	s.runUntil(4 * time.Second)
	if sc.heal && s.violation == "" {
		for _, h := range s.hosts {
			if h.proc == nil {
				h.start()
			}
		}
		s.runUntil(16 * time.Second)
		s.assertServed(0)
	}
	return s
}

const (
	schedulesPerRun = 5000
	scheduleRuns    = 4
)

// Guards against schedules of up to five overlapping faults in which two hosts
// serve one entry, an epoch decreases, an assignment is lost, or an entry has no
// owner after all faults have ended.
func TestSchedules(t *testing.T) {
	debug.SetGCPercent(800)
	n := schedulesPerRun
	if raceEnabled || testing.Short() {
		n /= 20 // a separate CI step runs all without the race detector
	}
	for run := range scheduleRuns {
		t.Run(fmt.Sprintf("seeds from %d", run*schedulesPerRun), func(t *testing.T) {
			t.Parallel()
			for i := range n {
				sc := schedules.Example(run*schedulesPerRun + i)
				if s := sc.run(t, newCore, true); s.violation != "" {
					t.Fatalf("seed %d: %s\n%+v", run*schedulesPerRun+i, s.violation, sc)
				}
			}
		})
	}
}

// Guards against behaviour of the core that depends on map iteration order, which
// would make a failing seed irreproducible.
func TestSchedulesRepeat(t *testing.T) {
	for i := range 50 {
		sc := schedules.Example(i)
		a, b := sc.run(t, newCore, true), sc.run(t, newCore, true)
		if a.index != b.index || a.seq != b.seq || fmt.Sprint(a.calls, a.events) != fmt.Sprint(b.calls, b.events) {
			t.Fatalf("seed %d: two runs differ: %d writes, %d events and %d writes, %d events", i, a.index, a.seq, b.index, b.seq)
		}
	}
}
