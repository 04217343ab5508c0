package plan

import (
	"cmp"
	"slices"

	"burdocklift/proto"
)

const (
	// reliefTargetFraction and receiveLimitFraction are fractions of the distance
	// between the mean load and the overload limit: an overloaded host is relieved
	// down to the first, and another host receives entries up to the second.
	reliefTargetFraction = 0.7
	receiveLimitFraction = 0.4
	// minRetainedFraction is the fraction of its fair share that relief leaves on a
	// host. With less, moving one large entry could turn an overloaded host into an
	// underloaded one.
	minRetainedFraction = 0.9
	// underloadThreshold and fillTarget are fractions of a host's fair share. A host
	// below the first is filled up to the second.
	underloadThreshold = 0.5
	fillTarget         = 0.85
	// fillSteps is the number of steps over which an empty host is filled, so that a
	// cold target can warm up.
	fillSteps = 8
	// coldKeyFraction is the fraction of Rules.HotKeyShare below which an isolated
	// key is merged back. The hysteresis keeps a key near the limit from being
	// isolated and merged repeatedly.
	coldKeyFraction = 0.4
	// newPagePenalty is added to the load ratio of a receiver that owns no entry of
	// the page, and dataCentrePenalty to that of a receiver in a data centre that
	// owns none. They keep the owners of a page in few data centres, so that the
	// loss of a data centre affects few pages: at 1,200 hosts 12 of 64 after the
	// initial placement, and after 12 changes of the hot keys 20 with a
	// dataCentrePenalty of 0.15 and 15 with 0.5.
	newPagePenalty    = 0.05
	dataCentrePenalty = 0.5
	// evacuationLoadBound is the load ratio up to which a host receives evacuated
	// entries, while there is a host that stays below it.
	evacuationLoadBound = 1.1
	// minKeyRequests is the number of requests in an interval below which the
	// estimate of a key's share is too inaccurate to isolate the key (14% standard
	// error at 50).
	minKeyRequests = 50
)

// Balance returns the moves of one planner step, at most as many as the rules
// allow. In this order it evacuates hosts that are down or leaving, isolates hot
// keys, relieves overloaded hosts, fills underloaded hosts, and merges keys that
// are no longer hot. It never moves an entry whose move is in progress.
func Balance(in Input) []Move {
	m := newModel(in)
	if m == nil {
		return nil
	}
	m.evacuate(Down)
	m.evacuate(Leaving)
	if !m.lowTraffic {
		m.isolateHotKeys()
		m.relieveOverloaded()
	}
	m.fillUnderloaded()
	m.mergeColdKeys()
	return m.moves
}

func (m *model) evacuate(state HostState) {
	remaining := m.rules.Evacuate
	for _, mv := range m.moves {
		if mv.Kind == Evacuate {
			remaining--
		}
	}
	for h := range m.hosts {
		if m.hosts[h].State != state {
			continue
		}
		for _, i := range slices.Clone(m.hosts[h].entries) {
			if remaining == 0 {
				return
			}
			if m.entries[i].moving {
				continue
			}
			to := m.bestReceiver(i, evacuationLoadBound, m.canReceive)
			if to < 0 {
				to = m.bestReceiver(i, 0, nil)
			}
			if to >= 0 {
				m.planMove(Evacuate, i, to)
				remaining--
			}
		}
	}
}

// canReceive reports whether a host may receive another entry in this step. An
// underloaded host receives only a fraction of its fair share per step.
func (m *model) canReceive(h *hostState) bool {
	return !h.Stale && (h.loadRatio() >= underloadThreshold || h.received < m.fillLimit(h))
}

func (m *model) fillLimit(h *hostState) int {
	return max(1, int(h.fairShare/m.total*float64(len(m.shards)))/fillSteps)
}

// bestReceiver returns the serving host with the lowest score for receiving an
// entry, or -1. A bound over zero limits the host's load to this multiple of its
// fair share.
func (m *model) bestReceiver(i int32, bound float64, allow func(*hostState) bool) int32 {
	e := &m.entries[i]
	owns := m.pageHosts[e.page]
	best, bestScore := int32(-1), 0.0
	for j := range m.hosts {
		h := &m.hosts[j]
		load := h.load + e.rate
		if h.State != Serving || int32(j) == e.owner || bound > 0 && load > bound*h.fairShare || allow != nil && !allow(h) {
			continue
		}
		score := load / h.fairShare
		if !owns[j] {
			score += newPagePenalty
		}
		if !m.pageDataCentres[e.page][h.dataCentre] {
			score += dataCentrePenalty
		}
		if e.region != "" && e.region != h.Place.Region {
			score += m.rules.LinkTolerance
		}
		if best < 0 || score < bestScore {
			best, bestScore = int32(j), score
		}
	}
	return best
}

// planMove records the move of an entry and updates the estimated loads.
func (m *model) planMove(kind Kind, i, to int32) {
	e := &m.entries[i]
	from := &m.hosts[e.owner]
	m.recordMove(kind, e, from.ID, m.hosts[to].ID)
	from.load -= e.rate
	m.hosts[to].load += e.rate
	m.hosts[to].received++
	m.addPageHost(int(e.page), to)
	e.owner, e.moving, e.pinned = to, true, true
}

func (m *model) recordMove(kind Kind, e *entry, from, to proto.HostID) {
	mv := Move{Kind: kind, Page: m.in.Pages[e.page].Index, Shard: e.shard, Key: e.key, From: from, To: to}
	m.moves = append(m.moves, mv)
	if mv.limited() {
		m.budget--
	}
}

func (m *model) isolateHotKeys() {
	heavy := slices.Clone(m.in.Heavy)
	slices.SortFunc(heavy, func(a, b EntryLoad) int {
		return cmp.Or(-cmp.Compare(a.Rate, b.Rate), cmp.Compare(a.Key, b.Key))
	})
	minRate := max(m.rules.HotKeyShare*m.mean, minKeyRequests/m.interval().Seconds())
	for _, h := range heavy {
		if h.Rate <= minRate {
			return
		}
		i, ok := m.shardEntry(m.shardOf(h.Key))
		if _, isolated := m.hot[h.Key]; h.Key == "" || isolated || !ok {
			continue
		}
		shard := &m.entries[i]
		owner := &m.hosts[shard.owner]
		if shard.moving || owner.State != Serving || m.hotCount[shard.page] >= proto.MaxHot {
			continue
		}
		// The shard cannot move in this step, as isolating the key changes its entry.
		shard.moving, shard.pinned = true, true
		owner.isolatedKey = true
		e := entry{page: shard.page, owner: shard.owner, shard: shard.shard, key: h.Key, rate: h.Rate, pinned: true, moving: true}
		m.recordMove(Isolate, &e, owner.ID, owner.ID)
		m.hot[h.Key] = int32(len(m.entries))
		m.entries = append(m.entries, e)
		m.hotCount[shard.page]++
	}
}

// relieveOverloaded moves entries off each host over the overload limit until its
// load is at a target below the limit; other hosts receive entries only up to a
// bound below that target. The gap between limit and target keeps noise from
// causing moves. The gap below the target lets a host take over entries of a
// lost host without becoming overloaded.
func (m *model) relieveOverloaded() {
	limit := m.rules.overloadLimit()
	target := 1 + reliefTargetFraction*(limit-1)
	room := 1 + receiveLimitFraction*(limit-1)
	active := make([]bool, len(m.hosts))
	for i := range m.hosts {
		h := &m.hosts[i]
		active[i] = h.State == Serving && !h.Stale && !h.isolatedKey && h.loadRatio() > limit &&
			(h.PreviousRate <= 0 || h.PreviousRate > limit*h.fairShare)
	}
	for m.budget > 0 {
		worst := -1
		for i := range m.hosts {
			if active[i] && m.hosts[i].loadRatio() > target && (worst < 0 || m.hosts[i].loadRatio() > m.hosts[worst].loadRatio()) {
				worst = i
			}
		}
		if worst < 0 {
			return
		}
		active[worst] = m.relieve(&m.hosts[worst], room)
	}
}

// relieve moves one entry off a host and reports whether it found one.
func (m *model) relieve(h *hostState, room float64) bool {
	entries := m.reliefOrder(h)
	// Within a step the host's load and the free capacity of the others only
	// decrease, so an entry that was rejected once need not be tried again.
	for ; h.nextCandidate < len(entries); h.nextCandidate++ {
		i := entries[h.nextCandidate]
		e := &m.entries[i]
		if e.pinned || e.rate <= 0 || h.load-e.rate < minRetainedFraction*h.fairShare {
			continue
		}
		if to := m.bestReceiver(i, room, m.canReceive); to >= 0 {
			m.planMove(Level, i, to)
			h.nextCandidate++
			return true
		}
	}
	return false
}

// fillUnderloaded moves shards from the hosts with the highest load ratio to
// underloaded hosts. It continues with a host that received such a shard in the
// last minute.
func (m *model) fillUnderloaded() {
	filling := map[proto.HostID]bool{}
	for _, r := range m.in.Recent {
		filling[r.To] = filling[r.To] || r.Kind == Fill
	}
	for j := range m.hosts {
		to := &m.hosts[j]
		if to.State != Serving || to.Stale || to.loadRatio() >= underloadThreshold && !filling[to.ID] {
			continue
		}
		tried := make([]bool, len(m.hosts))
		for m.budget > 0 && to.received < m.fillLimit(to) && to.loadRatio() < fillTarget {
			from := m.fillSource(j, tried)
			if from < 0 {
				break
			}
			if i := m.shardToFill(&m.hosts[from], to); i >= 0 {
				m.planMove(Fill, i, int32(j))
			} else {
				tried[from] = true
			}
		}
	}
}

// fillSource returns the host from which another one is filled, or -1. It
// prefers a host in the same data centre, as that owns entries of the same pages.
func (m *model) fillSource(to int, tried []bool) int {
	best, bestScore := -1, 0.0
	for i := range m.hosts {
		h := &m.hosts[i]
		if i == to || tried[i] || h.State != Serving || h.Stale || h.isolatedKey || h.loadRatio() <= fillTarget {
			continue
		}
		score := h.loadRatio()
		if h.dataCentre == m.hosts[to].dataCentre {
			score += dataCentrePenalty
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// shardToFill returns the heaviest shard that can move between two hosts, or -1.
func (m *model) shardToFill(from, to *hostState) int32 {
	for _, i := range m.reliefOrder(from) {
		e := &m.entries[i]
		if e.pinned || e.key != "" || m.hosts[e.owner].ID != from.ID || from.load-e.rate < minRetainedFraction*from.fairShare || to.load+e.rate > to.fairShare {
			continue
		}
		if e.region != "" && e.region == from.Place.Region && e.region != to.Place.Region && to.loadRatio()+m.rules.LinkTolerance > from.loadRatio() {
			continue
		}
		return i
	}
	return -1
}

// mergeColdKeys merges isolated keys that are no longer hot into their shards. A
// key whose shard has another owner is first moved to that owner.
func (m *model) mergeColdKeys() {
	limit := coldKeyFraction * m.rules.HotKeyShare * m.mean
	for i := range m.entries {
		e := &m.entries[i]
		if e.key == "" || e.pinned || e.recent || m.hosts[e.owner].Stale || !m.lowTraffic && e.rate >= limit {
			continue
		}
		j, ok := m.shardEntry(e.shard)
		if !ok || m.entries[j].moving {
			continue
		}
		owner := m.entries[j].owner
		switch {
		case owner == e.owner:
			m.recordMove(Merge, e, m.hosts[owner].ID, m.hosts[owner].ID)
			e.moving, m.entries[j].moving = true, true
		case m.budget > 0 && m.hosts[owner].State == Serving && !m.hosts[owner].Stale:
			m.planMove(Colocate, int32(i), owner)
		}
	}
}
