package span

import (
	"math"
	"slices"
	"time"
)

// Owner is a target that can own keys, with its state as the planner sees it.
type Owner struct {
	Incarnation Incarnation
	Node        string
	Capacity    float64 // relative to the other owners
	// Leaving owners get no keys and hand over those that they have.
	Leaving bool
	// Stopping owners run beside a node that stops. They leave if the others have
	// enough headroom.
	Stopping bool
	// Suspect owners may be lost: they keep their keys and get no others.
	Suspect bool
}

// nonLeaving returns the owners that keep their keys.
func nonLeaving(owners []Owner) []Owner {
	return slices.DeleteFunc(slices.Clone(owners), func(o Owner) bool { return o.Leaving })
}

// CanReceive reports whether an owner may be given keys.
func (o Owner) CanReceive() bool { return !o.Leaving && !o.Suspect }

const (
	// loadHalfLife is the half-life of request counts.
	loadHalfLife = 3 * time.Second
	// baselineLoad is a load in requests that is spread evenly over the key space,
	// so that an idle key space is divided evenly and a busy one by its requests.
	baselineLoad = 20.0
)

// Load counts recent requests by key with exponential decay. The zero value is
// ready to use.
type Load struct {
	counts map[int]float64
	at     time.Duration
}

// Add counts n requests for a key.
func (l *Load) Add(key int, n float64, now time.Duration) {
	if l.counts == nil {
		l.counts = make(map[int]float64)
		l.at = now
	}
	l.decay(now)
	l.counts[key] += n
}

func (l *Load) decay(now time.Duration) {
	if now-l.at < time.Second {
		return
	}
	factor := math.Exp2(-float64(now-l.at) / float64(loadHalfLife))
	for k, n := range l.counts {
		if n *= factor; n < 0.01 {
			delete(l.counts, k)
		} else {
			l.counts[k] = n
		}
	}
	l.at = now
}

// Total returns the decayed number of requests for all keys.
func (l *Load) Total(now time.Duration) float64 {
	if l.counts != nil {
		l.decay(now)
	}
	sum := 0.0
	for _, n := range l.counts {
		sum += n
	}
	return sum
}

// CumulativeLoad holds the load of all keys as prefix sums.
type CumulativeLoad struct{ sums []float64 }

// Cumulative returns the prefix sums of the load at a time.
func (l *Load) Cumulative(now time.Duration) CumulativeLoad {
	if l.counts != nil {
		l.decay(now)
	}
	sums := make([]float64, MaxKey+2)
	for k := range MaxKey + 1 {
		sums[k+1] = sums[k] + l.counts[k] + baselineLoad/(MaxKey+1)
	}
	return CumulativeLoad{sums}
}

// Between returns the load of the keys between two keys, both inclusive.
func (w CumulativeLoad) Between(from, to int) float64 { return w.sums[to+1] - w.sums[from] }

// prefixEnd returns the last key of the longest prefix of a range whose load does
// not exceed the given one. It lies before the range if the first key already
// exceeds it.
func (w CumulativeLoad) prefixEnd(from, to int, load float64) int {
	want := w.sums[from] + load
	i, exact := slices.BinarySearch(w.sums[from+1:to+2], want)
	if !exact {
		i--
	}
	return min(from+i, to)
}

// Plan reassigns the keys of targets that leave or are not among the owners to
// the others, by load and capacity. It reports whether the map changed.
func Plan(m *Map, all []Owner, load func() CumulativeLoad) bool {
	owners := nonLeaving(all)
	if !slices.ContainsFunc(owners, Owner.CanReceive) {
		return false
	}
	if len(m.Ranges) == 0 {
		partition(m, slices.DeleteFunc(owners, func(o Owner) bool { return o.Suspect }), load())
		return true
	}
	remaining, known := indexOwners(owners), indexOwners(all)
	changed := false
	for _, r := range slices.Clone(m.Ranges) {
		// A lost owner cannot release its keys, so its next owner takes over at once.
		if r.HasNextOwner() && remaining.contains(r.Next.Incarnation) && !known.contains(r.Owner) {
			m.Move(r.From, r.To, r.Next.Incarnation, r.Next.Node)
			changed = true
		}
	}
	var orphans []Range
	for _, r := range m.Ranges {
		if !remaining.contains(r.finalOwner()) {
			orphans = append(orphans, r)
		}
	}
	if len(orphans) == 0 {
		return changed
	}
	b := newBalancer(m, owners, load())
	for _, r := range orphans {
		change := m.Move
		if known.contains(r.Owner) {
			change = m.SetNextOwner
		}
		b.distribute(r, change)
	}
	return true
}

// ownerIndex maps an incarnation to its index in a list of owners.
type ownerIndex map[Incarnation]int

func indexOwners(owners []Owner) ownerIndex {
	p := make(ownerIndex, len(owners))
	for i, o := range owners {
		p[o.Incarnation] = i
	}
	return p
}

func (p ownerIndex) contains(inc Incarnation) bool {
	_, ok := p[inc]
	return ok
}

// partition divides the whole key space into one range per owner.
func partition(m *Map, owners []Owner, w CumulativeLoad) {
	remaining := 0.0
	for _, o := range owners {
		remaining += o.Capacity
	}
	from := 0
	for i, o := range owners {
		to := MaxKey
		if i < len(owners)-1 {
			to = w.prefixEnd(from, MaxKey, w.Between(from, MaxKey)*o.Capacity/remaining)
			to = min(max(to, from), MaxKey-(len(owners)-1-i))
		}
		m.Assign(from, to, o.Incarnation, o.Node)
		from = to + 1
		remaining -= o.Capacity
	}
}
