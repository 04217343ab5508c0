package node

import (
	"context"
	"time"

	"burdocklift/owner"
)

// watcher tells the other hosts whether the local target serves, so that its
// keys move while it does not.
type watcher struct{ node *Node }

// Run implements kernel.Service.
func (w watcher) Run(ctx context.Context) error {
	w.node.router.WatchTarget(ctx, func(down bool) {
		w.node.control.Do(ctx, func(core *owner.Core, _ time.Time, _ owner.Effects) { core.SetTargetDown(down) })
	})
	return nil
}
