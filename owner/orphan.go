package owner

import (
	"maps"
	"slices"
	"time"

	"burdocklift/lease"
	"burdocklift/proto"
)

const (
	// scanInterval is the interval of scans for orphans and missing pages.
	scanInterval = 100 * time.Millisecond
	// candidateDelay is the delay added for each rank among the candidates to
	// recover an orphan or to create pages, so that they rarely compete.
	candidateDelay = 250 * time.Millisecond
	// removalDelay is the additional delay before a marked host that owns nothing is
	// removed.
	removalDelay = 10 * time.Second
)

// orphan is a host that is marked, or that owns entries and is not a member.
type orphan struct {
	since time.Time
	owns  bool
}

// scanOrphans recovers the entries of owners that are marked or no longer
// members. They remain if a coordinator fails or a takeover misses a page.
func (c *Core) scanOrphans(now time.Time, fx Effects) {
	if c.phase != Member || now.Before(c.nextScan) {
		return
	}
	c.nextScan = now.Add(scanInterval)
	if c.scanDirty {
		c.scanDirty = false
		c.findOrphans(now)
	}
	if len(c.orphans) == 0 {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.orphans), lease.CompareIDs) {
		c.recoverOrphan(now, id, c.orphans[id], fx)
	}
}

func (c *Core) findOrphans(now time.Time) {
	found := make(map[proto.HostID]bool)
	for id := range c.pagesOwned {
		if m, ok := c.members[id]; !ok || m.State == proto.Marked {
			found[id] = true
		}
	}
	for id, m := range c.members {
		if m.State == proto.Marked && !found[id] {
			found[id] = false
		}
	}
	for id := range c.orphans {
		if _, ok := found[id]; !ok {
			delete(c.orphans, id)
		}
	}
	for id, owns := range found {
		if o := c.orphans[id]; o == nil || o.owns != owns {
			c.orphans[id] = &orphan{since: now, owns: owns}
		}
	}
}

func (c *Core) recoverOrphan(now time.Time, id proto.HostID, o *orphan, fx Effects) {
	if c.takeovers[id] != nil {
		return
	}
	m, known := c.members[id]
	rank := slices.Index(c.coordinatorCandidates(m.Place.DataCentre), c.id)
	delay := time.Duration(rank) * candidateDelay
	if !o.owns {
		delay += removalDelay
	}
	if rank < 0 || now.Sub(o.since) < delay {
		return
	}
	if c.leaseEnded[id] {
		c.takeovers[id] = &takeover{member: m, step: stepReassign}
		return
	}
	if known {
		c.startTakeover(now, m, fx)
		return
	}
	// A member is removed only after its lease has ended. The groups are listed
	// again, as the member may have joined since they were last read.
	if c.listing {
		return
	}
	c.list(proto.Prefix+"group/", func(_ time.Time, ok bool, _ Effects) {
		if _, known := c.members[id]; ok && !known && c.takeovers[id] == nil {
			c.setLeaseEnded(id)
			c.takeovers[id] = &takeover{member: proto.Member{ID: id}, step: stepReassign}
		}
	}, fx)
}
