package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/lease"
	"burdocklift/plan"
	"burdocklift/proto"
)

const (
	// reportInterval is the interval at which a witness repeats its reports of
	// silent hosts.
	reportInterval = 40 * time.Millisecond
	// escalationInterval is the time after which a report also goes to the next
	// coordinator candidate.
	escalationInterval = 80 * time.Millisecond
)

// suspicion holds the reports of silence about one host at a coordinator.
type suspicion struct {
	first time.Time
	by    map[string]time.Time // time of the last report, by witness name
}

// coordinatorCandidates returns the hosts that may coordinate takeovers in a data
// centre, in rendezvous order. Hosts in other data centres come first, as the
// whole data centre may have failed. The first candidate is the same for all hosts
// of a data centre: they share pages, for which several coordinators would
// contend.
func (c *Core) coordinatorCandidates(dataCentre string) []proto.HostID {
	if ids, ok := c.coordinatorOrder[dataCentre]; ok {
		return ids
	}
	type ranked struct {
		id    proto.HostID
		own   bool
		score uint64
	}
	var all []ranked
	for _, h := range c.sortedMembers() {
		if m := c.members[h]; m.State == proto.Active {
			all = append(all, ranked{h, m.Place.DataCentre == dataCentre, xxhash.Sum64String(dataCentre + "\x00" + h.Name)})
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		if a.own != b.own {
			if b.own {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	ids := make([]proto.HostID, 0, len(all))
	for _, r := range all {
		ids = append(ids, r.id)
	}
	c.coordinatorOrder[dataCentre] = ids
	return ids
}

// reportSuspects reports silent lease holders to coordinator candidates, and to
// further candidates for as long as the silence lasts.
func (c *Core) reportSuspects(now time.Time, fx Effects) {
	silent := c.witness.Suspects(now)
	if c.phase != Member && c.phase != Leaving {
		return
	}
	for id := range c.silentSince {
		if !slices.Contains(silent, id) {
			delete(c.silentSince, id)
		}
	}
	if len(silent) == 0 || now.Before(c.nextReport) {
		return
	}
	c.nextReport = now.Add(reportInterval)
	reports := make(map[proto.HostID][]proto.HostID)
	for _, id := range silent {
		since, ok := c.silentSince[id]
		if !ok {
			since = now
			c.silentSince[id] = now
		}
		ranked := c.coordinatorCandidates(c.members[id].Place.DataCentre)
		reached := 1 + int(now.Sub(since)/escalationInterval)
		for i := max(0, reached-maxReportRecipients); i < reached && i-max(0, reached-maxReportRecipients) < len(ranked); i++ {
			if to := ranked[i%len(ranked)]; to != id {
				reports[to] = append(reports[to], id)
			}
		}
	}
	for _, to := range slices.SortedFunc(maps.Keys(reports), lease.CompareIDs) {
		c.send(now, to, proto.Suspect{Hosts: reports[to]}, fx)
	}
}

// maxReportRecipients bounds the number of candidates that a report is sent to at
// a time. The window moves on through all candidates and starts again, as those of
// the first ranks may have failed or have no connection to the store.
const maxReportRecipients = 12

func (c *Core) handleSuspect(now time.Time, from proto.HostID, m proto.Suspect) {
	for _, id := range m.Hosts {
		member, ok := c.members[id]
		// Names are compared, as the new incarnation of a restarted witness reports
		// in its place.
		if !ok || member.State == proto.Marked ||
			!slices.ContainsFunc(member.Witnesses, func(w proto.HostID) bool { return w.Name == from.Name }) {
			continue
		}
		s := c.suspicions[id]
		if s == nil {
			s = &suspicion{first: now, by: make(map[string]time.Time)}
			c.suspicions[id] = s
		}
		s.by[from.Name] = now
	}
}

// evaluateSuspicions starts a takeover once enough witnesses report silence at
// the same time: if that many refuse, the suspected host cannot have a quorum.
func (c *Core) evaluateSuspicions(now time.Time, fx Effects) {
	if len(c.suspicions) == 0 {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.suspicions), lease.CompareIDs) {
		s := c.suspicions[id]
		for w, at := range s.by {
			if now.Sub(at) > c.cfg.Timing.Suspect {
				delete(s.by, w)
			}
		}
		member, ok := c.members[id]
		if len(s.by) == 0 || !ok || member.State == proto.Marked {
			delete(c.suspicions, id)
			continue
		}
		if c.isSuspected(now, id) && now.Sub(s.first) >= c.cfg.TakeoverDelay {
			c.startTakeover(now, member, fx)
		}
	}
}

// isSuspected reports whether enough witnesses report the silence of a host to
// revoke its lease.
func (c *Core) isSuspected(now time.Time, id proto.HostID) bool {
	s := c.suspicions[id]
	if s == nil {
		return false
	}
	n := 0
	for _, at := range s.by {
		if now.Sub(at) <= c.cfg.Timing.Suspect {
			n++
		}
	}
	return n >= lease.BlockingQuorum(len(c.members[id].Witnesses))
}

// liveHosts returns the hosts that may receive entries of a service. Hosts of a
// region without recent messages are excluded while there are others, as they
// might not learn that they own an entry.
func (c *Core) liveHosts(service string) []plan.Host {
	var hosts, silent []plan.Host
	for _, id := range c.sortedMembers() {
		m := c.members[id]
		if m.Service != service || m.State != proto.Active || m.TargetDown || c.takeovers[id] != nil || c.leaseEnded[id] {
			continue
		}
		if c.isSuspected(c.now, id) {
			continue
		}
		h := plan.Host{ID: id, Place: m.Place, Slots: m.Slots}
		if heard, ok := c.regionLastHeard[m.Place.Region]; ok && c.now.Sub(heard) > c.cfg.Timing.Suspect {
			silent = append(silent, h)
			continue
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 {
		return silent
	}
	return hosts
}

// entryCounts returns the number of entries that each host owns on known pages.
func (c *Core) entryCounts() map[proto.HostID]int {
	if c.entryCountCache != nil {
		return c.entryCountCache
	}
	counts := make(map[proto.HostID]int)
	for _, p := range c.pages.entries {
		if p.rec == nil {
			continue
		}
		byIndex := make([]int, len(p.rec.Owners))
		p.rec.EachEntry(func(_ uint32, _ string, e *proto.Entry) { byIndex[e.Owner]++ })
		for i, n := range byIndex {
			counts[p.rec.Owners[i]] += n
		}
	}
	c.entryCountCache = counts
	return counts
}
