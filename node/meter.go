package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/shard"
)

const (
	// meterKeys is the number of keys that a node tracks by name.
	meterKeys = 64
	// heavyShare is the part of a host's load from which an entry is reported.
	// With about 55 shards a host, an even load gives each 2%.
	heavyShare = 0.05
	// maxHeavy bounds the reported entries, so that a report fits one datagram.
	maxHeavy = 16
	// maxReportKey is the longest key that is reported; longer ones stay with
	// their shard.
	maxReportKey = 64
)

// meter measures the load of the keyed requests that the local target runs.
type meter struct {
	mu     sync.Mutex
	total  uint64
	counts map[uint32]uint64 // requests by shard since the last report, without hot keys
	keys   *plan.TopKeys
	since  time.Time
}

func newMeter(now time.Time) *meter {
	return &meter{counts: make(map[uint32]uint64), keys: plan.NewTopKeys(meterKeys, now), since: now}
}

// Observe counts a request that is dispatched to the local target. A hot key
// has an entry of its own and does not count for its shard.
func (m *meter) Observe(s uint32, key string, hot bool) {
	m.keys.Observe(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total++
	if !hot {
		m.counts[s]++
	}
}

// report returns the load since the last report.
func (m *meter) report(now time.Time, shards uint32) proto.Load {
	m.mu.Lock()
	total, counts, elapsed := m.total, m.counts, now.Sub(m.since).Seconds()
	m.total, m.counts, m.since = 0, make(map[uint32]uint64, len(counts)), now
	m.mu.Unlock()
	keys := m.keys.Top(now, meterKeys)
	m.keys.Decay(now)
	var r proto.Load
	if elapsed <= 0 || shards == 0 {
		return r
	}
	r.Rate = float32(float64(total) / elapsed)
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		r.Heavy = append(r.Heavy, proto.HeavyLoad{Shard: s, Rate: float32(float64(counts[s]) / elapsed)})
	}
	for _, k := range keys {
		if len(k.Key) <= maxReportKey {
			r.Heavy = append(r.Heavy, proto.HeavyLoad{Shard: shard.ForKey(k.Key, shards), Key: k.Key, Rate: float32(k.Rate)})
		}
	}
	r.Heavy = slices.DeleteFunc(r.Heavy, func(h proto.HeavyLoad) bool { return h.Rate < heavyShare*r.Rate })
	slices.SortStableFunc(r.Heavy, func(a, b proto.HeavyLoad) int { return cmp.Compare(b.Rate, a.Rate) })
	r.Heavy = r.Heavy[:min(len(r.Heavy), maxHeavy)]
	return r
}
