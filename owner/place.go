package owner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/shard"
)

// settle is how long no host of a service must have joined before its pages
// are first placed, so that the first hosts to start do not own everything.
const settle = time.Second

// createPages places the pages of new services. Any host may do it, as a page
// is created by compare-and-swap; the first in rendezvous order does it first.
func (c *Core) createPages(now time.Time, fx Effects) {
	if c.phase != Member || c.complete || now.Before(c.nextCreate) {
		return
	}
	c.nextCreate = now.Add(scanInterval)
	c.complete = true
	for _, service := range sortedKeys(c.services) {
		if !c.anyMissing(now, service) {
			continue
		}
		c.complete = false
		hosts := c.liveHosts(service)
		rank := creatorRank(hosts, service, c.id)
		if rank < 0 || now.Sub(c.joinedAt[service]) < settle+time.Duration(rank)*orphanDelay {
			continue
		}
		for i, p := range plan.Initial(service, shard.PageCount(c.services[service]), hosts) {
			key := proto.PageKey(service, uint32(i))
			since, missing := c.missing[key]
			if !missing || now.Before(since) {
				continue
			}
			c.missing[key] = now.Add(time.Hour) // until the write is done
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
	for i := range shard.PageCount(c.services[service]) {
		key := proto.PageKey(service, uint32(i))
		if e, ok := c.pages.entries[key]; ok && e.rec != nil {
			continue
		}
		if _, ok := c.missing[key]; !ok {
			c.missing[key] = now
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
