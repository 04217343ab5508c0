package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"burdocklift/span"
	"burdocklift/store"
)

// lostNodeAfter is the silence of a node after which the keys of its target
// are moved. A restarted node is back sooner, with its target's keys.
const lostNodeAfter = 3500 * time.Millisecond

// planner is the state of the node that plans moves.
type planner struct {
	leads atomic.Bool // read by any goroutine, all else by the loop only
	read  bool        // the records were read from the store since it leads
	// unreached are nodes that did not answer when this one became the planning node.
	unreached map[string]bool
	// lostAfter replaces lostNodeAfter in tests.
	lostAfter time.Duration
	since     time.Duration // when this node began to plan
	heard     map[string]time.Duration
	load      span.Load
	seen      map[string]sighting
	first     map[string]time.Duration // by service: when a target was first seen
	logged    map[string]bool

	balanceAt time.Duration // next time to even out the load
	speeds    map[string]speed
	stopping  map[string]bool // nodes that were about to stop
}

// balanceInterval is the time between two looks at the load of keys. Reports
// come once a second.
const balanceInterval = 1500 * time.Millisecond

const (
	// speedKept is the part of what is known of a target's speed that one report
	// leaves, so that 10 s count: targets turn slow and recover within a day.
	speedKept = 0.9
	// speedPrior is how many answers of an average target are added to those of
	// each: service times of one target differ by a factor of 2 and more, and
	// targets with a few quick answers were given too many keys.
	speedPrior = 20.0
)

// speed is what a target lately worked at and how many requests it answered.
type speed struct {
	life span.Incarnation
	work float64 // seconds
	done float64
}

// observe takes in how long a target worked.
func (p *planner) observe(r Report) {
	if r.Done == 0 {
		return
	}
	s := p.speeds[r.Name]
	if s.life != r.Life {
		s = speed{life: r.Life}
	}
	s.work = s.work*speedKept + r.Work
	s.done = s.done*speedKept + float64(r.Done)
	p.speeds[r.Name] = s
}

// mean returns the mean service time of all targets in seconds, or zero if none
// is known.
func (p *planner) mean() float64 {
	var all speed
	for _, s := range p.speeds {
		all.work += s.work
		all.done += s.done
	}
	if all.work == 0 {
		return 0
	}
	return all.work / all.done
}

// capacity returns how many requests a second a target runs. Without any service
// time it compares only with that of other targets.
func (p *planner) capacity(m Member, mean float64) float64 {
	slots := float64(max(m.Target.Slots, 1))
	if mean == 0 {
		return slots
	}
	s := p.speeds[m.Name]
	if s.life != m.Target.Life {
		s = speed{}
	}
	return slots * (s.done + speedPrior) / (s.work + speedPrior*mean)
}

func (p *planner) init(now time.Duration) {
	p.since = now
	p.heard = make(map[string]time.Duration)
	p.seen = make(map[string]sighting)
	p.first = make(map[string]time.Duration)
	p.logged = make(map[string]bool)
	p.speeds = make(map[string]speed)
	p.stopping = make(map[string]bool)
}

// lead notes whether this node plans, and which nodes did not answer it. It
// returns true if it begins to plan.
func (p *planner) lead(leads bool, silent map[string]time.Duration, now time.Duration) bool {
	if p.leads.Swap(leads) || !leads {
		return false
	}
	p.since, p.read = now, false
	p.unreached = make(map[string]bool, len(silent))
	for name, until := range silent {
		p.unreached[name] = now < until
	}
	return true
}

func (p *planner) hear(r Report, now time.Duration) {
	p.heard[r.Name] = now
	delete(p.unreached, r.Name)
	p.observe(r)
	for key, n := range r.Keys {
		p.load.Add(key, float64(n), now)
	}
}

// lost reports whether a node has been silent for long.
func (p *planner) lost(m Member, now time.Duration) bool {
	return p.silence(m, now) > cmp.Or(p.lostAfter, lostNodeAfter)
}

// hears reports whether a node lives for certain.
func (p *planner) hears(name string, now time.Duration) bool {
	at, ok := p.heard[name]
	return ok && now-at <= suspectAfter
}

// silence is for how long a node was not heard of while this one planned. A new
// run of a node is given the time to report.
func (p *planner) silence(m Member, now time.Duration) time.Duration {
	if s, ok := p.seen[m.Name]; !ok || s.run != m.Run {
		p.seen[m.Name] = sighting{run: m.Run, at: now}
	}
	return now - max(p.heard[m.Name], p.seen[m.Name].at, p.since)
}

// forgetAfter is the silence after which the record of a node is removed that
// owns no keys and waits for none. Others call the nodes before them by name
// every second, and wait for those that are gone.
const forgetAfter = 15 * time.Second

// forgetTxn removes the record of a node that is gone for good. One that comes
// back writes its record anew. Nodes that have it as a witness find from the record
// that it has ended.
func (f *Fleet) forgetTxn(now time.Duration) (store.Txn, string) {
	if !f.planner.leads.Load() {
		return store.Txn{}, ""
	}
	for name, m := range f.members {
		if name == f.cfg.Name || !m.Ended || f.planner.silence(m, now) < forgetAfter || f.named(name) || f.isWitness(m) {
			continue
		}
		key := prefixMember + name
		return store.Txn{Expect: []store.Expect{f.expect(key)}, Deletes: []string{key}}, "forgotten member"
	}
	return store.Txn{}, ""
}

// isWitness reports whether a node is a witness of one that has not ended.
func (f *Fleet) isWitness(node Member) bool {
	for _, m := range f.members {
		same := func(w Witness) bool { return w.Name == node.Name && w.Run == node.Run }
		if !m.Ended && slices.ContainsFunc(m.Witnesses, same) {
			return true
		}
	}
	return false
}

// named reports whether a division of keys names a node.
func (f *Fleet) named(node string) bool {
	for _, m := range f.ranges {
		for _, r := range m.Ranges {
			prior := func(h span.Holder) bool { return h.Node == node }
			if r.Node == node || r.Next.Node == node || slices.ContainsFunc(r.Prior, prior) {
				return true
			}
		}
	}
	return false
}

// sighting is when a run of a node was first known.
type sighting struct {
	run int64
	at  time.Duration
}

// gatherTime is how long the first division of a service's keys waits for
// targets to announce themselves, which they do every 0.87 s.
const gatherTime = 2500 * time.Millisecond

// plan moves keys if this node plans: from targets that leave or are lost to
// the others, and from busy ones. It reports whether anything changed.
func (f *Fleet) plan(m *span.Map, service string, now time.Duration) bool {
	if !f.planner.leads.Load() || !f.planner.read {
		return false
	}
	owners := f.owners(service, now)
	if len(owners) == 0 {
		return false
	}
	if len(m.Ranges) == 0 {
		first, ok := f.planner.first[service]
		if !ok {
			f.planner.first[service] = now
		}
		if !ok || now-first < gatherTime {
			return false
		}
	}
	weights := func() span.CumulativeLoad { return f.planner.load.Cumulative(now) }
	changed := span.Plan(m, owners, weights)
	if !changed && now >= f.planner.balanceAt {
		f.planner.balanceAt = now + balanceInterval
		w := weights()
		uses := span.Utilizations(m, owners, w)
		changed = span.Join(m, owners, w)
		changed = span.Balance(m, owners, w) || changed
		f.logUses(service, uses, changed)
	}
	return changed
}

// owners returns the targets of a service beside nodes that are not lost. Those
// beside nodes that are silent keep their keys until the right of the node has ended,
// as nobody else can hold them sooner. One that rejoined, and is not reached from
// here, learns from the store that its keys have moved.
func (f *Fleet) owners(service string, now time.Duration) []span.Owner {
	var owners []span.Owner
	p, mean := &f.planner, f.planner.mean()
	f.View().Members(func(v Member) {
		if v.Target == nil || v.Target.Service != service || v.Target.Lost {
			return
		}
		if !v.Stopping && p.stopping[v.Name] {
			p.balanceAt = now // it has no keys, if it was there long enough
		}
		p.stopping[v.Name] = v.Stopping
		e := f.settle.endings[v.Name]
		if f.hasEnded(v.Name, now) || v.Name != f.cfg.Name && p.lost(v, now) && e != nil && e.rejoined {
			if !p.logged[v.Name] {
				p.logged[v.Name] = true
				eventNodeLost.Log(context.Background(), f.cfg.Log, slog.String("member", v.Name))
			}
			return
		}
		delete(p.logged, v.Name)
		owners = append(owners, span.Owner{
			Incarnation: v.Target.Life, Node: v.Name, Capacity: p.capacity(v, mean), Leaving: v.Target.Leaving, Stopping: v.Stopping,
			Suspect: v.Name != f.cfg.Name && !p.hears(v.Name, now),
		})
	})
	stops := func(o span.Owner) bool { return o.Stopping }
	if slices.ContainsFunc(owners, stops) && span.HasHeadroom(owners, p.load.Total(now)) {
		for i := range owners {
			owners[i].Leaving = owners[i].Leaving || owners[i].Stopping
		}
	}
	return owners
}

// logUses logs what a look at the load was based on: the busiest and the least
// busy target.
func (f *Fleet) logUses(service string, uses []span.Utilization, moved bool) {
	if len(uses) == 0 {
		return // all targets leave
	}
	by := func(a, b span.Utilization) int { return cmp.Compare(a.Ratio, b.Ratio) }
	hot, cold := slices.MaxFunc(uses, by), slices.MinFunc(uses, by)
	group := func(name string, u span.Utilization) slog.Attr {
		return slog.Group(name, slog.String("member", u.Owner.Node), slog.Float64("ratio", u.Ratio),
			slog.Float64("load", u.Load), slog.Float64("capacity", u.Owner.Capacity))
	}
	eventLoadCompared.Log(context.Background(), f.cfg.Log, slog.String("service", service),
		slog.Bool("moved", moved), slog.Int("targets", len(uses)), group("busiest", hot), group("idlest", cold))
}
