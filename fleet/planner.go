package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"burdocklift/place"
	"burdocklift/span"
	"burdocklift/store"
)

// lostNodeAfter is the silence after which a node counts as lost and the keys of its
// target are moved. A restarted node is back sooner, with its target's keys.
const lostNodeAfter = 3500 * time.Millisecond

// planner is the state of the planning node, which decides on moves of keys.
type planner struct {
	leads    atomic.Bool // this is the planning node; read by any goroutine, the other fields by the loop
	reloaded bool        // all records were read from the store since leadsSince
	// unreachable are the nodes that did not answer when this node became the planning
	// node.
	unreachable map[string]bool
	// lostAfter replaces lostNodeAfter in tests.
	lostAfter  time.Duration
	leadsSince time.Duration // when this node became the planning node
	heardAt    map[string]time.Duration
	load       span.Load
	runsSeen   map[string]firstSighting
	firstSeen  map[string]time.Duration // by service, when a target was first seen
	lostLogged map[string]bool
	keptLogged map[string]bool // services whose keys stay in evacuated data centres

	balanceAt    time.Duration // time at which the load is balanced next
	serviceRates map[string]serviceRate
	gather       gathering
	wasStopping  map[string]bool // nodes that were stopping at the last call of owners
}

// balanceInterval is the time between two attempts to balance the load of targets. Reports
// arrive once a second.
const balanceInterval = 1500 * time.Millisecond

const (
	// serviceRateDecay is the factor applied to the earlier service times of a target at
	// each report, so that about the last 10 s count: targets become slow and recover
	// within a day.
	serviceRateDecay = 0.9
	// priorAnswers is how many answers at the mean service time are added to those of each
	// target. Service times of one target differ by a factor of 2 and more, and targets
	// with a few quick answers were given too many keys.
	priorAnswers = 20.0
)

// serviceRate is the recent work of a target and the requests that it answered, both
// decayed.
type serviceRate struct {
	incarnation span.Incarnation
	work        float64 // seconds
	answered    float64
}

// observeServiceTimes adds the service times in a report to those of the target.
func (p *planner) observeServiceTimes(r Report) {
	if r.Answered == 0 {
		return
	}
	s := p.serviceRates[r.Name]
	if s.incarnation != r.Incarnation {
		s = serviceRate{incarnation: r.Incarnation}
	}
	s.work = s.work*serviceRateDecay + r.ServiceSeconds
	s.answered = s.answered*serviceRateDecay + float64(r.Answered)
	p.serviceRates[r.Name] = s
}

// meanServiceTime returns the mean service time of all targets in seconds, or zero if none
// is known.
func (p *planner) meanServiceTime() float64 {
	var all serviceRate
	for _, s := range p.serviceRates {
		all.work += s.work
		all.answered += s.answered
	}
	if all.work == 0 {
		return 0
	}
	return all.work / all.answered
}

// capacity returns how many requests a second a target can run. Without a known service
// time the result is only comparable with that of other targets. A cold target gets no more
// than coldRate, unless that is 0.
func (p *planner) capacity(m Member, mean, coldRate float64) float64 {
	slots := float64(max(m.Target.Slots, 1))
	if mean == 0 {
		return slots
	}
	capacity := math.Inf(1)
	if m.Target.Limit > 0 {
		capacity = m.Target.Limit
	}
	if m.Target.Cold && coldRate > 0 {
		capacity = min(capacity, coldRate)
	}
	s := p.serviceRates[m.Name]
	if s.incarnation != m.Target.Incarnation {
		s = serviceRate{}
	}
	return min(capacity, slots*(s.answered+priorAnswers)/(s.work+priorAnswers*mean))
}

func (p *planner) init(now time.Duration) {
	p.leadsSince = now
	p.heardAt = make(map[string]time.Duration)
	p.runsSeen = make(map[string]firstSighting)
	p.firstSeen = make(map[string]time.Duration)
	p.lostLogged = make(map[string]bool)
	p.keptLogged = make(map[string]bool)
	p.serviceRates = make(map[string]serviceRate)
	p.wasStopping = make(map[string]bool)
}

// setLeads records whether this node is the planning node, and which nodes did not answer
// it. It returns true if the node has just become the planning node.
func (p *planner) setLeads(leads bool, unreachable map[string]time.Duration, now time.Duration) bool {
	if p.leads.Swap(leads) || !leads {
		return false
	}
	p.leadsSince, p.reloaded = now, false
	p.unreachable = make(map[string]bool, len(unreachable))
	for name, until := range unreachable {
		p.unreachable[name] = now < until
	}
	return true
}

func (p *planner) receiveReport(r Report, now time.Duration) {
	p.heardAt[r.Name] = now
	delete(p.unreachable, r.Name)
	p.observeServiceTimes(r)
	for key, n := range r.Requests {
		p.load.Add(key, float64(n), now)
	}
}

// lost reports whether a node has been silent for so long that it counts as lost.
func (p *planner) lost(m Member, now time.Duration) bool {
	return p.silence(m, now) > cmp.Or(p.lostAfter, lostNodeAfter)
}

// isAlive reports whether a node sent a report recently.
func (p *planner) isAlive(name string, now time.Duration) bool {
	at, ok := p.heardAt[name]
	return ok && now-at <= suspectAfter
}

// silence returns the time since the last report of a node, as far as this node was the
// planning node. A new run of a node gets the time to send its first report.
func (p *planner) silence(m Member, now time.Duration) time.Duration {
	if s, ok := p.runsSeen[m.Name]; !ok || s.run != m.Run {
		p.runsSeen[m.Name] = firstSighting{run: m.Run, at: now}
	}
	return now - max(p.heardAt[m.Name], p.runsSeen[m.Name].at, p.leadsSince)
}

// memberRetention is the silence after which the record of an ended node is removed if no
// range refers to it. Each node calls the nodes before it by name every second, and waits
// in vain for those that are gone.
const memberRetention = 15 * time.Second

// removalTxn removes the record of a node that is gone for good. A node that returns
// writes a new record. Nodes that have it as a witness learn from the record that it has
// ended, so that the record stays until they have replaced it.
func (f *Fleet) removalTxn(now time.Duration) (store.Txn, string) {
	if !f.planner.leads.Load() {
		return store.Txn{}, ""
	}
	for name, m := range f.members {
		if name == f.cfg.Name || !m.Revoked || f.planner.silence(m, now) < memberRetention || f.isReferenced(name) || f.isWitness(m) {
			continue
		}
		key := prefixMember + name
		return store.Txn{Expect: []store.Expect{f.expect(key)}, Deletes: []string{key}}, "removed member"
	}
	return store.Txn{}, ""
}

// isWitness reports whether a node is a witness of one that has not ended.
func (f *Fleet) isWitness(node Member) bool {
	for _, m := range f.members {
		isNode := func(w Witness) bool { return w.Name == node.Name && w.Run == node.Run }
		if !m.Revoked && slices.ContainsFunc(m.Witnesses, isNode) {
			return true
		}
	}
	return false
}

// isReferenced reports whether any range refers to a node.
func (f *Fleet) isReferenced(node string) bool {
	for _, m := range f.ranges {
		for _, r := range m.Ranges {
			isNode := func(h span.Holder) bool { return h.Node == node }
			if r.Node == node || r.Next.Node == node || slices.ContainsFunc(r.Prior, isNode) {
				return true
			}
		}
	}
	return false
}

// firstSighting is when a run of a node was first seen.
type firstSighting struct {
	run int64
	at  time.Duration
}

// initialPlanDelay is how long the first assignment of a service's keys waits for targets
// to announce themselves, which they do every 0.87 s.
const initialPlanDelay = 2500 * time.Millisecond

// noteTargets returns when a target of a service was first seen, now at the latest.
func (p *planner) noteTargets(service string, now time.Duration) time.Duration {
	if _, ok := p.firstSeen[service]; !ok {
		p.firstSeen[service] = now
	}
	return p.firstSeen[service]
}

// plan moves keys if this is the planning node: from targets that leave or are lost to the
// others, and from busy targets to idle ones. It reports whether anything changed.
func (f *Fleet) plan(d *rangesDraft, service string, now time.Duration) bool {
	if !f.planner.leads.Load() || !f.planner.reloaded {
		return false
	}
	owners := f.owners(service, now)
	if len(owners) == 0 || f.ownerUnknown(d.Map, now) {
		return false
	}
	m := d.edit()
	if len(m.Ranges) == 0 {
		if now-f.planner.noteTargets(service, now) < initialPlanDelay {
			return false
		}
	}
	load := func() span.CumulativeLoad { return f.planner.load.Cumulative(now) }
	changed := span.Plan(m, owners, load)
	if !changed && now >= f.planner.balanceAt {
		f.planner.balanceAt = now + balanceInterval
		w := load()
		utilizations := span.Utilizations(m, owners, w)
		changed = span.Join(m, owners, w)
		changed = span.Balance(m, owners, w) || changed
		f.logLoads(service, utilizations, changed)
	}
	return changed
}

// owners returns the targets of a service that may own keys, which are those beside nodes
// that are not lost. Targets beside silent nodes keep their keys until the right of the
// node has ended, as no other target can hold them sooner. A node that took another lease
// but is not reached from here counts as lost; it learns from the store that its keys have
// moved.
func (f *Fleet) owners(service string, now time.Duration) []span.Owner {
	var owners []span.Owner
	p, mean, coldRate := &f.planner, f.planner.meanServiceTime(), f.coldRate(service)
	f.View().Members(func(v Member) {
		if v.Target == nil || v.Target.Service != service || v.Target.Lost {
			return
		}
		if !v.Stopping && p.wasStopping[v.Name] {
			p.balanceAt = now // its target has handed over its keys if the node was stopping long enough
		}
		p.wasStopping[v.Name] = v.Stopping
		e := f.revoker.revocations[v.Name]
		if f.rightEnded(v.Name, now) || v.Name != f.cfg.Name && p.lost(v, now) && e != nil && e.rejoined {
			if !p.lostLogged[v.Name] {
				p.lostLogged[v.Name] = true
				eventNodeLost.Log(context.Background(), f.cfg.Log, slog.String("member", v.Name))
			}
			return
		}
		delete(p.lostLogged, v.Name)
		owners = append(owners, span.Owner{
			Incarnation: v.Target.Incarnation, Node: v.Name, Capacity: p.capacity(v, mean, coldRate), Stopping: v.Stopping,
			Leaving: f.policy.CheckOwner(service, v.Place()) != place.Allowed,
			Suspect: v.Name != f.cfg.Name && !p.isAlive(v.Name, now),
		})
	})
	f.leaveEvacuated(service, owners)
	isStopping := func(o span.Owner) bool { return o.Stopping }
	if slices.ContainsFunc(owners, isStopping) && span.HasHeadroom(owners, p.load.Total(now)) {
		for i := range owners {
			owners[i].Leaving = owners[i].Leaving || owners[i].Stopping
		}
	}
	return owners
}

// logLoads logs the busiest and the least busy target of a comparison of loads.
func (f *Fleet) logLoads(service string, utilizations []span.Utilization, moved bool) {
	if len(utilizations) == 0 {
		return // all targets leave
	}
	byRatio := func(a, b span.Utilization) int { return cmp.Compare(a.Ratio, b.Ratio) }
	busiest, idlest := slices.MaxFunc(utilizations, byRatio), slices.MinFunc(utilizations, byRatio)
	group := func(name string, u span.Utilization) slog.Attr {
		return slog.Group(name, slog.String("member", u.Owner.Node), slog.Float64("ratio", u.Ratio),
			slog.Float64("load", u.Load), slog.Float64("capacity", u.Owner.Capacity))
	}
	eventLoadCompared.Log(context.Background(), f.cfg.Log, slog.String("service", service),
		slog.Bool("moved", moved), slog.Int("targets", len(utilizations)), group("busiest", busiest), group("idlest", idlest))
}
