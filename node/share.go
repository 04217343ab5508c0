package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/owner"
	"burdocklift/proto"
)

const (
	// shareInterval is half the lifetime of a loan of the paid link's budget.
	shareInterval = time.Second
	// sharePartners bounds the nodes that hear of a node's traffic.
	sharePartners = 24
)

// sharer divides the budgets of the paid links among the nodes of the region.
type sharer struct{ node *Node }

// Run implements kernel.Service.
func (s sharer) Run(ctx context.Context) error {
	ticker := s.node.cfg.Clock.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			s.round(ctx)
		}
	}
}

func (s sharer) round(ctx context.Context) {
	n := s.node
	view, place := n.control.View(), n.cfg.Settings.Place()
	self := view.Self()
	regions := make(map[string]bool)
	var near []proto.HostID
	for id, h := range view.Hosts() {
		if h.Member.Place.Region != place.Region {
			regions[h.Member.Place.Region] = true
		} else if id != self {
			near = append(near, id)
		}
	}
	nodes := len(near) + 1
	if inventory := n.control.Documents().Inventory; inventory != nil {
		listed := 0
		for _, h := range inventory.Hosts {
			if h.Region == place.Region {
				listed++
			}
		}
		nodes = max(nodes, listed)
	}
	score := func(id proto.HostID) uint64 {
		return xxhash.Sum64String("share\x00" + self.String() + "\x00" + id.String())
	}
	slices.SortFunc(near, func(a, b proto.HostID) int { return cmp.Compare(score(a), score(b)) })
	partners := near[:min(len(near), sharePartners)]
	err := n.router.CompleteLinkRound(self, slices.Sorted(maps.Keys(regions)), nodes, func(to proto.HostID, m proto.Share) {
		n.control.Do(ctx, func(_ *owner.Core, _ time.Time, fx owner.Effects) {
			if !to.IsZero() {
				fx.Send(to, m)
				return
			}
			for _, id := range partners {
				fx.Send(id, m)
			}
		})
	})
	if err != nil {
		n.cfg.Log.Warn("budget of the paid link is not shared", "error", err)
	}
}
