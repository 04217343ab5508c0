package span

import (
	"math"
	"slices"
	"time"
)

// Owner is a target that can own keys, with its state as the planner sees it.
type Owner struct {
	Life     Life
	Node     string
	Capacity float64 // relative to the other owners
	// Leaving owners get no keys and hand over those that they have.
	Leaving bool
	// Stopping owners run beside a node that stops. They leave if the others have
	// enough headroom.
	Stopping bool
	// Silent owners may be lost: they keep their keys and get no others.
	Silent bool
}

// nonLeaving returns the owners that keep their keys.
func nonLeaving(owners []Owner) []Owner {
	return slices.DeleteFunc(slices.Clone(owners), func(o Owner) bool { return o.Leaving })
}

// canReceive reports whether an owner may be given keys.
func canReceive(o Owner) bool { return !o.Leaving && !o.Silent }

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

// Weights holds the load of all keys as prefix sums.
type Weights struct{ sums []float64 }

// At returns the prefix sums of the load at a time.
func (l *Load) At(now time.Duration) Weights {
	if l.counts != nil {
		l.decay(now)
	}
	sums := make([]float64, Last+2)
	for k := range Last + 1 {
		sums[k+1] = sums[k] + l.counts[k] + baselineLoad/(Last+1)
	}
	return Weights{sums}
}

// Of returns the load of the keys between two keys, both inclusive.
func (w Weights) Of(from, to int) float64 { return w.sums[to+1] - w.sums[from] }

// prefixEnd returns the last key of the longest prefix of a range whose load does
// not exceed the given one. It lies before the range if the first key already
// exceeds it.
func (w Weights) prefixEnd(from, to int, load float64) int {
	want := w.sums[from] + load
	i, exact := slices.BinarySearch(w.sums[from+1:to+2], want)
	if !exact {
		i--
	}
	return min(from+i, to)
}

// Plan reassigns the keys of targets that leave or are not among the owners to
// the others, by load and capacity. It reports whether the map changed.
func Plan(m *Map, all []Owner, weights func() Weights) bool {
	owners := nonLeaving(all)
	if !slices.ContainsFunc(owners, canReceive) {
		return false
	}
	if len(m.Ranges) == 0 {
		partition(m, slices.DeleteFunc(owners, func(o Owner) bool { return o.Silent }), weights())
		return true
	}
	remaining, known := indexOwners(owners), indexOwners(all)
	changed := false
	for _, r := range slices.Clone(m.Ranges) {
		// A lost owner cannot release its keys, so its next owner takes over at once.
		if r.Given() && remaining.contains(r.Next.Life) && !known.contains(r.Owner) {
			m.Move(r.From, r.To, r.Next.Life, r.Next.Node)
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
	b := newBalancer(m, owners, weights())
	for _, r := range orphans {
		change := m.Move
		if known.contains(r.Owner) {
			change = m.Give
		}
		b.distribute(r, change)
	}
	return true
}

// ownerIndex maps an incarnation to its index in a list of owners.
type ownerIndex map[Life]int

func indexOwners(owners []Owner) ownerIndex {
	p := make(ownerIndex, len(owners))
	for i, o := range owners {
		p[o.Life] = i
	}
	return p
}

func (p ownerIndex) contains(l Life) bool {
	_, ok := p[l]
	return ok
}

// partition divides the whole key space into one range per owner.
func partition(m *Map, owners []Owner, w Weights) {
	left := 0.0
	for _, o := range owners {
		left += o.Capacity
	}
	from := 0
	for i, o := range owners {
		to := Last
		if i < len(owners)-1 {
			to = w.prefixEnd(from, Last, w.Of(from, Last)*o.Capacity/left)
			to = min(max(to, from), Last-(len(owners)-1-i))
		}
		m.Assign(from, to, o.Life, o.Node)
		from = to + 1
		left -= o.Capacity
	}
}
