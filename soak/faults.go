package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"burdocklift/emul"
	"burdocklift/platform/stand"
)

// Runner plays a schedule of faults against a site.
type Runner struct {
	site   *Site
	check  *Checker
	rng    *rand.Rand
	plant  string
	report func(string)

	mu        sync.Mutex
	disturbed time.Time // end of the last disturbance so far
	faults    emul.LedgerFaults
	steps     sync.WaitGroup
}

// note tells of a step of the schedule, and that the site is disturbed for a time.
func (r *Runner) note(d time.Duration, format string, args ...any) {
	r.mu.Lock()
	if end := time.Now().Add(d); end.After(r.disturbed) {
		r.disturbed = end
	}
	r.mu.Unlock()
	r.report(fmt.Sprintf(format, args...))
}

// calm reports whether nothing has been disturbed for a while.
func (r *Runner) calm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.disturbed) > calmTime
}

// stopsPlanned reports whether the node is being stopped in good order, while
// nothing else is disturbed.
func (r *Runner) stopsPlanned(m *Machine) bool {
	m.mu.Lock()
	planned := m.process != nil && m.process.stops
	m.mu.Unlock()
	return planned && r.calm()
}

// later runs a step after a time, which the end of the schedule waits for.
func (r *Runner) later(ctx context.Context, d time.Duration, step func()) {
	r.steps.Go(func() {
		wait(ctx, d)
		step()
	})
}

func (r *Runner) setStore(change func(f *emul.LedgerFaults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.faults)
	r.site.ledger.SetFaults(r.faults)
}

// between returns a random time, in milliseconds from one to another.
func (r *Runner) between(from, to int) time.Duration {
	return time.Duration(from+r.rng.IntN(to-from)) * time.Millisecond
}

// restartSlack is how long a started node counts as disturbed.
const restartSlack = time.Second

// Play plays faults, in series and overlapping, until the context ends. The
// schedule depends on the seed only.
func (r *Runner) Play(ctx context.Context) {
	for wait(ctx, r.between(200, 2500)) {
		m := r.site.machines[r.rng.IntN(len(r.site.machines))]
		d := r.between(300, 5000)
		switch step := r.rng.IntN(19); step {
		case 0:
			d *= 2 // up to 10 s, so that others take over the keys of a target that runs on
			r.note(d+restartSlack, "kill %s for %v", m.name, d)
			m.Disturb(d + restartSlack)
			m.Kill()
			r.later(ctx, d, func() { r.restart(m) })
		case 1, 2:
			r.report("stop " + m.name)
			m.Disturb(stopTime + stopSlack + restartSlack)
			r.later(ctx, 0, func() {
				m.Stop()
				r.restart(m)
			})
		case 3:
			r.note(d, "pause %s for %v", m.name, d)
			m.Disturb(d)
			m.Signal(syscall.SIGSTOP)
			r.later(ctx, d, func() { m.Signal(syscall.SIGCONT) })
		case 4:
			r.report("reload " + m.name)
			m.Signal(syscall.SIGHUP)
		case 5:
			r.note(d, "store down for %v", d)
			r.unserveAll(d)
			r.setStore(func(f *emul.LedgerFaults) { f.Down = true })
			r.later(ctx, d, func() { r.setStore(func(f *emul.LedgerFaults) { f.Down = false }) })
		case 6:
			r.note(d, "store loses answers for %v", d)
			r.unserveAll(d)
			late := rand.New(rand.NewPCG(r.rng.Uint64(), 0))
			r.setStore(func(f *emul.LedgerFaults) {
				f.Lost = func() (bool, time.Duration) {
					return late.IntN(3) == 0, time.Duration(late.IntN(4000)) * time.Millisecond
				}
			})
			r.later(ctx, d, func() { r.setStore(func(f *emul.LedgerFaults) { f.Lost = nil }) })
		case 7:
			r.unserveAll(0)
			if d.Milliseconds()%2 == 0 { // draws nothing, so that schedules of earlier seeds stay
				r.note(0, "store goes back by %v", d)
				r.site.ledger.Restore(d)
				r.site.PutRules() // as operators do
				break
			}
			r.note(0, "store forgets history and leases")
			r.site.ledger.Compact()
			r.site.ledger.Lapse()
		case 8, 9:
			how := Disturbance(1 + r.rng.IntN(3))
			p, what := m.peers, "nodes"
			if r.rng.IntN(2) == 0 {
				p, what = m.stored, "store"
			}
			r.note(d, "path between %s and %s disturbed (%d) for %v", m.name, what, how, d)
			m.Unserve(d)
			if p == m.peers {
				m.Disturb(d)
			}
			p.Set(how)
			r.later(ctx, d, func() { p.Set(Calm) })
		case 10:
			r.note(0, "connections of %s reset", m.name)
			m.Disturb(0)
			m.peers.Reset()
			m.stored.Reset()
		case 11:
			r.note(d+restartSlack, "target of %s ends, a new one after %v", m.name, d)
			r.later(ctx, 0, func() {
				m.CrashTarget()
				wait(ctx, d)
				r.startTarget(m)
			})
		case 12:
			r.note(drainTime+lingerTime+restartSlack, "target of %s leaves", m.name)
			r.later(ctx, 0, func() { r.replaceTarget(ctx, m, (*stand.Target).Drain) })
		case 13:
			r.report("new rules")
			r.site.PutRules()
		case 14, 15:
			r.silenceSome(ctx, d)
		case 16:
			r.limitTarget(ctx, m, d+limitWindow+contactTime)
		case 17:
			r.note(drainTime+lingerTime+restartSlack, "target of %s leaves, as its responses tell", m.name)
			r.later(ctx, 0, func() { r.replaceTarget(ctx, m, (*stand.Target).Leave) })
		case 18:
			r.killAll(ctx, d)
		}
	}
	r.steps.Wait()
}

// restart starts a node that does not run.
func (r *Runner) restart(m *Machine) {
	m.starting.Lock()
	defer m.starting.Unlock()
	if m.Process() != nil {
		return // another step of the schedule has started it
	}
	if err := m.StartNode(); err != nil {
		r.check.Breaks("START", "%v", err)
	}
}

func (r *Runner) startTarget(m *Machine) {
	m.starting.Lock()
	defer m.starting.Unlock()
	if m.Target() != nil {
		return // another step of the schedule has started it
	}
	if err := m.StartTarget(r.plant); err != nil {
		r.check.Breaks("START", "%v", err)
	}
}

// lingerTime is how much longer than it has to a target that leaves serves.
const lingerTime = 2500 * time.Millisecond

// unserveAll notes that the store does not serve any machine for a time.
func (r *Runner) unserveAll(d time.Duration) {
	for _, m := range r.site.machines {
		m.Unserve(d)
	}
}

// silenceSome leaves about half of the nodes without an answer of the store and changes the
// rules meanwhile.
func (r *Runner) silenceSome(ctx context.Context, d time.Duration) {
	var some []*Machine
	names := ""
	for _, m := range r.site.machines {
		if r.rng.IntN(2) == 0 {
			some, names = append(some, m), names+" "+m.name
		}
	}
	r.note(d, "store silent to%s for %v, new rules", names, d)
	change := r.between(0, 1500)
	for _, m := range some {
		m.Unserve(d)
		m.stored.Set(Silence)
	}
	r.later(ctx, change, r.site.PutRules)
	r.later(ctx, d, func() {
		for _, m := range some {
			m.stored.Set(Calm)
		}
	})
}

// limitTarget makes a target name a limit for a time, as the first one of its life.
func (r *Runner) limitTarget(ctx context.Context, m *Machine, d time.Duration) {
	limit := float64(2 + r.rng.IntN(10))
	t := m.Target()
	if t == nil || !m.limitOnce(t) {
		return
	}
	r.report(fmt.Sprintf("target of %s names a limit of %.0f a second for %v", m.name, limit, d))
	r.site.advice.Limited(t, limit)
	t.Limit(limit)
	r.later(ctx, d, func() {
		r.site.advice.Unlimited(t)
		t.Limit(0)
	})
}

// replaceTarget lets a target leave in good order, which it tells in some way, and starts
// another one.
func (r *Runner) replaceTarget(ctx context.Context, m *Machine, leave func(*stand.Target)) {
	t := m.Target()
	if t == nil {
		return
	}
	leave(t)
	r.site.advice.Leaving(t)
	wait(ctx, drainTime+lingerTime)
	m.CrashTarget()
	r.startTarget(m)
}

// Settle ends all disturbances and brings back what is missing.
func (r *Runner) Settle() {
	r.setStore(func(f *emul.LedgerFaults) { *f = emul.LedgerFaults{} })
	for _, m := range r.site.machines {
		m.peers.Set(Calm)
		m.stored.Set(Calm)
		m.Signal(syscall.SIGCONT)
		r.restart(m)
		r.startTarget(m)
	}
}
