package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/proto"
)

// minMeanRequests is the mean number of requests per host and interval below
// which rates are too noisy to act on: at 1,500 an overload limit of 1.11 is 4.3
// standard deviations of a Poisson count from the mean.
const minMeanRequests = 1500

type entry struct {
	page   int32
	owner  int32 // index in model.hosts; the next owner if a move is planned
	shard  uint32
	key    string
	region string
	rate   float64
	moving bool
	pinned bool // must not move: is moving or changed owner in the last minute
	recent bool // isolated or changed owner in the last minute
}

type hostState struct {
	HostLoad
	dataCentre    int     // index of its data centre
	entries       []int32 // in model.entries
	sorted        bool    // entries are in the order of reliefOrder
	nextCandidate int     // position in entries; those before it cannot move in this step
	load          float64 // estimated load after all planned moves
	fairShare     float64 // load in proportion to its slots
	received      int
	isolatedKey   bool // a key was isolated in this step, so relief waits for the next step
}

func (h *hostState) loadRatio() float64 { return h.load / h.fairShare }

// measured reports whether the host's rate is the load of its entries. A target
// that does not serve has no load, whatever load its entries would cause on
// another host.
func (h *hostState) measured() bool { return !h.Stale && h.State != Down }

// model is the working state of one planner step.
type model struct {
	in              Input
	rules           Rules
	hosts           []hostState
	entries         []entry
	shards          []int32          // index in entries by shard, -1 if its owner is not live
	hot             map[string]int32 // index in entries by hot key
	hotCount        []int            // number of hot keys by page
	pageHosts       [][]bool         // by page and host: the host owns an entry or is the next owner of one
	pageDataCentres [][]bool         // the same by page and data centre
	total           float64          // estimated load of all entries
	mean            float64          // load per serving host
	lowTraffic      bool             // too few requests to relieve hosts or isolate keys
	budget          int
	moves           []Move
}

func newModel(in Input) *model {
	m := &model{
		in:              in,
		shards:          make([]int32, len(in.Pages)*proto.PageShards),
		hot:             map[string]int32{},
		hotCount:        make([]int, len(in.Pages)),
		pageHosts:       make([][]bool, len(in.Pages)),
		pageDataCentres: make([][]bool, len(in.Pages)),
	}
	hosts := slices.SortedFunc(slices.Values(in.Hosts), func(a, b HostLoad) int { return compareHosts(a.Host, b.Host) })
	index := make(map[proto.HostID]int32, len(hosts))
	slots, serving := 0, 0
	centre := -1
	for i, h := range hosts {
		if i == 0 || h.Place != hosts[i-1].Place {
			centre++
		}
		m.hosts = append(m.hosts, hostState{HostLoad: h, dataCentre: centre})
		index[h.ID] = int32(i)
		if h.State == Serving {
			slots += h.weight()
			serving++
		}
	}
	if serving == 0 || len(in.Pages) == 0 {
		return nil
	}
	m.rules = in.Rules.withDefaults(len(m.shards))
	m.readPages(index)
	m.estimateRates()

	if len(m.entries) == 0 {
		return nil
	}
	for i := range m.entries {
		e := &m.entries[i]
		m.hosts[e.owner].load += e.rate
		m.hosts[e.owner].entries = append(m.hosts[e.owner].entries, int32(i))
		m.total += e.rate
	}
	m.mean = m.total / float64(serving)
	for i := range m.hosts {
		m.hosts[i].fairShare = m.total * float64(m.hosts[i].weight()) / float64(slots)
	}
	m.budget = m.rules.PerStep
	minute := m.rules.PerMinute
	for _, r := range in.Recent {
		if r.limited() {
			minute--
		}
	}
	m.budget = max(0, min(m.budget, minute))
	return m
}

// readPages adds the entries of live hosts. A moving entry counts for its next owner.
func (m *model) readPages(index map[proto.HostID]int32) {
	m.entries = make([]entry, 0, len(m.shards)+len(m.in.Pages))
	for i := range m.shards {
		m.shards[i] = -1
	}
	for pi, p := range m.in.Pages {
		m.pageHosts[pi] = make([]bool, len(m.hosts))
		m.pageDataCentres[pi] = make([]bool, len(m.hosts))
		m.hotCount[pi] = len(p.Hot)
		owners := make([]int32, len(p.Owners))
		for i, id := range p.Owners {
			owners[i] = -1
			if h, ok := index[id]; ok {
				owners[i] = h
			}
		}
		p.EachEntry(func(shard uint32, key string, pe *proto.Entry) {
			owner := owners[pe.Owner]
			if owner < 0 {
				return
			}
			m.addPageHost(pi, owner)
			moving := pe.Next > 0
			if moving && owners[pe.Next-1] >= 0 {
				owner = owners[pe.Next-1]
				m.addPageHost(pi, owner)
			}
			if key != "" {
				shard = m.shardOf(key)
				m.hot[key] = int32(len(m.entries))
			} else {
				m.shards[shard] = int32(len(m.entries))
			}
			m.entries = append(m.entries, entry{page: int32(pi), owner: owner, shard: shard, key: key, moving: moving, pinned: moving})
		})
	}
	for _, r := range m.in.Recent {
		i, ok := m.hot[r.Key]
		if r.Key == "" {
			i, ok = m.shardEntry(r.Shard)
		}
		if ok {
			m.entries[i].recent = true
			m.entries[i].pinned = m.entries[i].pinned || r.From != r.To
		}
	}
}

func (m *model) addPageHost(page int, host int32) {
	m.pageHosts[page][host] = true
	m.pageDataCentres[page][m.hosts[host].dataCentre] = true
}

// estimateRates sets the rate of each entry: the measured rate if it is heavy,
// otherwise an equal part of the remaining load of its host.
func (m *model) estimateRates() {
	known := make([]bool, len(m.entries))
	// heavyKeyRate is the load of the heavy keys in a shard whose own rate is not reported.
	heavyKeyRate := make([]float64, len(m.entries))
	for _, h := range m.in.Heavy {
		i, ok := m.hot[h.Key]
		if h.Key == "" {
			i, ok = m.shardEntry(h.Shard)
		}
		if ok {
			m.entries[i].rate, m.entries[i].region, known[i] = h.Rate, h.Region, true
		}
	}
	for _, h := range m.in.Heavy {
		if _, ok := m.hot[h.Key]; ok || h.Key == "" {
			continue
		}
		if i, ok := m.shardEntry(m.shardOf(h.Key)); ok && !known[i] {
			heavyKeyRate[i] += h.Rate
		}
	}

	remainingRate := make([]float64, len(m.hosts)) // by host: load of the entries that are not heavy
	unmeasured := make([]int, len(m.hosts))
	measured, shards := 0.0, 0
	for i, h := range m.hosts {
		if h.measured() {
			remainingRate[i] = h.Rate
			measured += h.Rate
		}
	}
	for i, e := range m.entries {
		if m.hosts[e.owner].measured() && e.key == "" {
			shards++
		}
		remainingRate[e.owner] -= e.rate + heavyKeyRate[i]
		if !known[i] && e.key == "" {
			unmeasured[e.owner]++
		}
	}
	average := measured / float64(max(1, shards))
	m.lowTraffic = average*float64(len(m.shards))*m.interval().Seconds() < minMeanRequests*float64(len(m.hosts))
	received := make(map[proto.HostID]bool)
	for _, r := range m.in.Recent {
		received[r.To] = true
	}
	for i := range m.entries {
		e := &m.entries[i]
		h := &m.hosts[e.owner]
		switch {
		case m.lowTraffic:
			e.rate = 1
		case known[i] || e.key != "":
			// An isolated key that its host does not report is no longer hot.
		case !h.measured():
			e.rate = average + heavyKeyRate[i]
		default:
			e.rate = heavyKeyRate[i] + max(0, remainingRate[e.owner]/float64(unmeasured[e.owner]))
			if received[h.ID] {
				// The measured load may not yet include the entries that the host received.
				e.rate = max(e.rate, average/2)
			}
		}
	}
}

func (m *model) interval() time.Duration {
	if m.in.Interval > 0 {
		return m.in.Interval
	}
	return DefaultInterval
}

func (m *model) shardOf(key string) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(len(m.shards)))
}

func (m *model) shardEntry(shard uint32) (int32, bool) {
	if int(shard) >= len(m.shards) || m.shards[shard] < 0 {
		return 0, false
	}
	return m.shards[shard], true
}

// reliefOrder returns a host's entries in the order in which they are moved off
// it: hot keys before shards, as moving one changes the owner of a single key
// only, and the heaviest first, as fewer moves are then needed.
func (m *model) reliefOrder(h *hostState) []int32 {
	if !h.sorted {
		slices.SortFunc(h.entries, func(a, b int32) int {
			x, y := &m.entries[a], &m.entries[b]
			return cmp.Or(-cmp.Compare(min(len(x.key), 1), min(len(y.key), 1)), -cmp.Compare(x.rate, y.rate), cmp.Compare(a, b))
		})
		h.sorted = true
	}
	return h.entries
}
