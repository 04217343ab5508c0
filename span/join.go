package span

import "slices"

// maxRangesPerOwner is the number of ranges of an owner above which some are
// joined. The reply to a target's heartbeat lists them with up to 50 bytes each,
// as epochs have up to 16 digits after restores of the store, and replies above
// 4 KiB are rejected.
const maxRangesPerOwner = 40

// Join limits the number of ranges per owner, which grows with each move of busy
// keys. Adjacent ranges of one owner are joined without a handover. An owner that
// still has too many hands its least loaded range over to the owner of an adjacent
// one. It reports whether the map changed.
func Join(m *Map, all []Owner, w CumulativeLoad) bool {
	return joinAbove(m, all, w, maxRangesPerOwner)
}

func joinAbove(m *Map, all []Owner, w CumulativeLoad, limit int) bool {
	counts := make(map[Incarnation]int)
	for _, r := range m.Ranges {
		counts[r.finalOwner()]++
	}
	exceeding := make(map[Incarnation]bool)
	for owner, n := range counts {
		if n > limit {
			exceeding[owner] = true
		}
	}
	if len(exceeding) == 0 {
		return false
	}
	changed := m.joinNeighbours(exceeding)
	receivers := indexOwners(slices.DeleteFunc(slices.Clone(all), func(o Owner) bool { return !o.CanReceive() }))
	for owner := range exceeding {
		changed = m.moveLeastLoaded(owner, limit, receivers, w) || changed
	}
	return changed
}

// joinNeighbours joins adjacent stable ranges of the same owner. The result has the
// highest of their epochs, which exceeds that of every earlier holder of any of the
// keys.
func (m *Map) joinNeighbours(owners map[Incarnation]bool) bool {
	changed := false
	var out []Range
	for _, r := range m.Ranges {
		n := len(out) - 1
		if n < 0 || !owners[r.Owner] || out[n].Owner != r.Owner || out[n].Node != r.Node || !out[n].stable() || !r.stable() {
			out = append(out, r)
			continue
		}
		out[n].To, out[n].Epoch, out[n].Token = r.To, max(out[n].Epoch, r.Epoch), ""
		changed = true
	}
	m.Ranges = out
	return changed
}

// stable reports whether a range waits for no release and has no next owner.
func (r Range) stable() bool { return r.PriorReleased() && !r.HasNextOwner() }

// moveLeastLoaded sets the owner of an adjacent range as the next owner of the least
// loaded range of an owner with too many.
func (m *Map) moveLeastLoaded(owner Incarnation, limit int, receivers ownerIndex, w CumulativeLoad) bool {
	count, best := 0, -1
	var least float64
	var neighbour Range
	for i, r := range m.Ranges {
		if r.finalOwner() != owner {
			continue
		}
		count++
		if !r.stable() {
			continue
		}
		for _, j := range []int{i - 1, i + 1} {
			if j < 0 || j >= len(m.Ranges) || m.Ranges[j].finalOwner() == owner || !m.Ranges[j].stable() || !receivers.contains(m.Ranges[j].Owner) {
				continue
			}
			if load := w.Between(r.From, r.To); best < 0 || load < least {
				best, least, neighbour = i, load, m.Ranges[j]
			}
		}
	}
	if count <= limit || best < 0 {
		return false
	}
	r := m.Ranges[best]
	m.SetNextOwner(r.From, r.To, neighbour.Owner, neighbour.Node)
	return true
}
