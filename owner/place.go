package owner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/shard"
)

// settleDelay is the time without a join of a host of a service before its pages
// are created, so that the first hosts to start do not own all entries.
const settleDelay = time.Second

// createPages creates the missing pages of services. Any host may do so, as a
// page is created by compare-and-swap; hosts wait in rendezvous order, so that
// usually only the first one does.
func (c *Core) createPages(now time.Time, fx Effects) {
	if c.phase != Member || c.pagesComplete || now.Before(c.nextCreate) {
		return
	}
	c.nextCreate = now.Add(scanInterval)
	c.pagesComplete = true
	for _, service := range sortedKeys(c.services) {
		if !c.anyMissing(now, service) {
			continue
		}
		c.pagesComplete = false
		hosts := c.liveHosts(service)
		rank := creatorRank(hosts, service, c.id)
		if rank < 0 || now.Sub(c.lastJoin[service]) < settleDelay+time.Duration(rank)*candidateDelay {
			continue
		}
		for i, p := range plan.Initial(service, shard.Pages(c.services[service]), hosts) {
			key := proto.PageKey(service, uint32(i))
			since, missing := c.missingPages[key]
			if !missing || now.Before(since) {
				continue
			}
			c.missingPages[key] = now.Add(time.Hour) // no second attempt while the write is in flight
			c.pages.edit(now, key, change[proto.Page]{
				apply: func(r *proto.Page) bool {
					if len(r.Shards) > 0 {
						return false
					}
					*r = *p.Clone()
					return true
				},
			}, fx)
		}
	}
}

func (c *Core) anyMissing(now time.Time, service string) bool {
	found := false
	for i := range shard.Pages(c.services[service]) {
		key := proto.PageKey(service, uint32(i))
		if e, ok := c.pages.entries[key]; ok && e.rec != nil {
			continue
		}
		if _, ok := c.missingPages[key]; !ok {
			c.missingPages[key] = now
		}
		found = true
	}
	return found
}

func creatorRank(hosts []plan.Host, service string, self proto.HostID) int {
	ids := make([]proto.HostID, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	slices.SortStableFunc(ids, func(a, b proto.HostID) int {
		sa, sb := xxhash.Sum64String(service+"\x00"+a.Name), xxhash.Sum64String(service+"\x00"+b.Name)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return 0
	})
	return slices.Index(ids, self)
}
