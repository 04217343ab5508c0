package span

import (
	"cmp"
	"math"
	"slices"
)

const (
	// overloadRatio is the utilization relative to the mean from which an owner
	// gives keys away. A count of about 100 requests in a few seconds has a standard
	// deviation of 10%.
	overloadRatio = 1.25
	// underloadRatio is the utilization relative to the mean down to which an owner
	// counts as underused and gets keys: new and restarted targets have none, while
	// the load of the others may be even.
	underloadRatio = 0.6
	// headroomShare is the utilization of the remaining owners up to which they take
	// over the keys beside a stopping node for some seconds: on an overloaded site, the
	// loss of a sixth of the capacity costs more than keys that wait for a restart.
	headroomShare = 0.7
	// balancedRatio is the utilization relative to the mean at which an owner stops
	// giving keys away.
	balancedRatio = 1.05
	// significantDeviations is the number of standard deviations by which a load must
	// exceed its share before keys move. Of 50 targets with even load, one exceeds
	// 2 by chance.
	significantDeviations = 2.0
	// minTotalLoad is the load of the whole key space, in requests, below which it is
	// not rebalanced, as fewer requests are no significant sample.
	minTotalLoad = 60.0
	// minPieceShare is the smallest load that is moved by itself, as a part of the
	// owner's share.
	minPieceShare = 0.05
	// maxMovesPerStep bounds the ranges that one step moves among up to as many
	// owners. With more owners, a step moves up to one range per owner: with 6 moves
	// a step among 52 targets, the busiest keys were not spread after 14 s.
	maxMovesPerStep = 6
)

// Balance moves keys from owners whose utilization is well above the mean to the
// least utilized ones. Ranges that still wait for a release are not moved. It
// reports whether the map changed.
func Balance(m *Map, all []Owner, w CumulativeLoad) bool {
	owners := nonLeaving(all)
	total := w.Between(0, MaxKey)
	if total < minTotalLoad+baselineLoad || len(owners) < 2 || !slices.ContainsFunc(owners, Owner.CanReceive) {
		return false
	}
	b := newBalancer(m, owners, w)
	busiest := b.mostUtilized()
	busy := b.utilization(busiest) >= overloadRatio*b.meanUtilization && b.significant(busiest)
	if !busy && b.utilization(b.leastUtilized()) > underloadRatio*b.meanUtilization {
		return false
	}
	changed := false
	for range max(maxMovesPerStep, len(owners)) {
		if busiest = b.mostUtilized(); busiest < 0 || b.utilization(busiest) < balancedRatio*b.meanUtilization || busy && !b.significant(busiest) {
			break
		}
		if b.offload(m, busiest) {
			changed = true
		} else {
			b.stuck[busiest] = true
		}
	}
	return changed
}

// HasHeadroom reports whether the owners that neither leave nor stop can take the
// whole load, as Load.Total returns it. Capacities are in requests per second.
func HasHeadroom(owners []Owner, total float64) bool {
	capacity := 0.0
	for _, o := range owners {
		if !o.Leaving && !o.Stopping {
			capacity += o.Capacity
		}
	}
	window := loadHalfLife.Seconds() / math.Ln2 // integral of the decay over time
	return total/window < headroomShare*capacity
}

// Utilization is the load of an owner relative to its capacity. A ratio of 1 is the
// mean of all owners.
type Utilization struct {
	Owner Owner
	Load  float64 // recent requests
	Ratio float64
}

// Utilizations returns the utilization of each owner that does not leave.
func Utilizations(m *Map, all []Owner, w CumulativeLoad) []Utilization {
	owners := nonLeaving(all)
	b := newBalancer(m, owners, w)
	out := make([]Utilization, len(owners))
	for i, o := range owners {
		out[i] = Utilization{Owner: o, Load: b.ownerLoads[i], Ratio: b.utilization(i) / b.meanUtilization}
	}
	return out
}

type balancer struct {
	owners          []Owner
	ownerLoads      []float64
	stuck           []bool  // owners that have nothing to give away
	meanUtilization float64 // load per capacity
	keyLoad         CumulativeLoad
}

func newBalancer(m *Map, owners []Owner, w CumulativeLoad) *balancer {
	b := &balancer{owners: owners, ownerLoads: make([]float64, len(owners)), stuck: make([]bool, len(owners))}
	index := indexOwners(owners)
	b.keyLoad, b.meanUtilization = clipHotKeys(m, owners, index, w)
	for _, r := range m.Ranges {
		if i, ok := index[r.finalOwner()]; ok {
			b.ownerLoads[i] += b.keyLoad.Between(r.From, r.To)
		}
	}
	return b
}

const (
	// hotKeyShare is the part of an owner's share of the load from which a single key is
	// considered for clipping, and clipSteps the number of steps in which the mean
	// utilization follows from the clipped loads.
	hotKeyShare = 1.0 / 16
	clipSteps   = 16
)

// clipHotKeys limits the load of each key to the share of its owner, and returns the
// limited loads and the mean utilization by them. A key cannot be divided: what exceeds
// the share of its owner is served by nobody, and must not make the other owners look
// idle.
func clipHotKeys(m *Map, owners []Owner, index ownerIndex, w CumulativeLoad) (CumulativeLoad, float64) {
	total, capacity := w.Between(0, MaxKey), 0.0
	for _, o := range owners {
		capacity += o.Capacity
	}
	type hotKey struct {
		key            int
		load, capacity float64 // capacity is that of the owner
	}
	var hot []hotKey
	mean := total / capacity
	rest := total // load of the keys that are not hot
	for _, r := range m.Ranges {
		c := capacity / float64(len(owners))
		if i, ok := index[r.finalOwner()]; ok {
			c = owners[i].Capacity
		}
		if limit := hotKeyShare * mean * c; w.Between(r.From, r.To) > limit {
			for key := r.From; key <= r.To; key++ {
				if load := w.Between(key, key); load > limit {
					hot = append(hot, hotKey{key, load, c})
					rest -= load
				}
			}
		}
	}
	for range clipSteps {
		clipped := rest
		for _, h := range hot {
			clipped += min(h.load, mean*h.capacity)
		}
		mean = clipped / capacity
	}
	out := CumulativeLoad{sums: slices.Clone(w.sums)}
	next, cut := 0, 0.0
	for key := range MaxKey + 1 {
		if next < len(hot) && hot[next].key == key {
			cut += max(hot[next].load-mean*hot[next].capacity, 0)
			next++
		}
		out.sums[key+1] -= cut
	}
	return out, mean
}

func (b *balancer) utilization(i int) float64 { return b.ownerLoads[i] / b.owners[i].Capacity }

// significant reports whether an owner exceeds its share of the load by more than
// random variation explains.
func (b *balancer) significant(i int) bool {
	share := b.meanUtilization * b.owners[i].Capacity
	return b.ownerLoads[i] > share+significantDeviations*math.Sqrt(share)
}

// mostUtilized returns the most utilized owner that is not stuck, or -1.
func (b *balancer) mostUtilized() int {
	most := -1
	for i := range b.owners {
		if !b.stuck[i] && (most < 0 || b.utilization(i) > b.utilization(most)) {
			most = i
		}
	}
	return most
}

// leastUtilized returns the least utilized owner that may be given keys. The
// caller makes sure that there is one.
func (b *balancer) leastUtilized() int {
	least := slices.IndexFunc(b.owners, Owner.CanReceive)
	for i, o := range b.owners {
		if o.CanReceive() && b.utilization(i) < b.utilization(least) {
			least = i
		}
	}
	return least
}

// distribute splits a range among the least utilized owners and fills each up to
// its share.
func (b *balancer) distribute(r Range, change func(from, to int, owner Incarnation, node string)) {
	for from := r.From; from <= r.To; {
		i := b.leastUtilized()
		headroom := b.meanUtilization*b.owners[i].Capacity - b.ownerLoads[i]
		to := r.To
		if rest := b.keyLoad.Between(from, r.To); headroom > 0 && rest > headroom {
			to = max(b.keyLoad.prefixEnd(from, r.To, headroom), from)
		}
		b.ownerLoads[i] += b.keyLoad.Between(from, to)
		change(from, to, b.owners[i].Incarnation, b.owners[i].Node)
		from = to + 1
	}
}

// offload moves one piece from the most utilized owner to the least utilized one.
// Its load is the smaller of the receiver's headroom and the sender's excess.
func (b *balancer) offload(m *Map, sender int) bool {
	receiver := b.leastUtilized()
	headroom := b.meanUtilization*b.owners[receiver].Capacity - b.ownerLoads[receiver]
	excess := b.ownerLoads[sender] - b.meanUtilization*b.owners[sender].Capacity
	want := min(headroom, excess)
	if want < minPieceShare*b.meanUtilization*b.owners[sender].Capacity {
		return false
	}
	from, to, ok := b.selectPiece(m, sender, want)
	if !ok {
		return false
	}
	moved := b.keyLoad.Between(from, to)
	m.SetNextOwner(from, to, b.owners[receiver].Incarnation, b.owners[receiver].Node)
	b.ownerLoads[sender] -= moved
	b.ownerLoads[receiver] += moved
	return true
}

// selectPiece returns the prefix or suffix of one of the owner's ranges with the
// highest load that does not exceed the wanted one by much, so that a single busy
// key is not moved.
func (b *balancer) selectPiece(m *Map, owner int, want float64) (int, int, bool) {
	type candidate struct {
		from, to int
		load     float64
	}
	var candidates []candidate
	for _, r := range m.Ranges {
		if r.Owner != b.owners[owner].Incarnation || !r.PriorReleased() || r.HasNextOwner() {
			continue
		}
		if to := b.keyLoad.prefixEnd(r.From, r.To, want); to >= r.From {
			candidates = append(candidates, candidate{r.From, to, b.keyLoad.Between(r.From, to)})
		}
		if from := b.keyLoad.suffixStart(r.From, r.To, want); from <= r.To {
			candidates = append(candidates, candidate{from, r.To, b.keyLoad.Between(from, r.To)})
		}
	}
	unsuitable := func(c candidate) bool { return c.load > want*1.3 || c.load < want*minPieceShare }
	candidates = slices.DeleteFunc(candidates, unsuitable)
	if len(candidates) == 0 {
		return 0, 0, false
	}
	best := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.load, b.load) })
	return best.from, best.to, true
}

// suffixStart returns the first key of the longest suffix of a range whose load
// does not exceed the given one.
func (w CumulativeLoad) suffixStart(from, to int, load float64) int {
	want := w.sums[to+1] - load
	i, _ := slices.BinarySearch(w.sums[from:to+1], want)
	return from + i
}
