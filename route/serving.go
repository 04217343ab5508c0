package route

import (
	"context"
	"time"

	"burdocklift/client"
)

const (
	// probeInterval is how often the local target is checked.
	probeInterval = 250 * time.Millisecond
	// downAfterRefusals is the number of consecutive refused connections after
	// which the target counts as down. A target that restarts within half a
	// second keeps its keys.
	downAfterRefusals = 3
)

// WatchTarget calls changed whenever the local target goes down or comes back
// up, until the context ends. A target is down if its announcements have
// stopped or it refuses connections.
func (r *Router) WatchTarget(ctx context.Context, changed func(down bool)) {
	down, refused := false, 0
	for r.sleep(ctx, probeInterval) {
		t := r.target.Load()
		if t == nil {
			continue
		}
		if client.Refuses(t.address, dialTimeout) {
			refused++
		} else {
			refused = 0
		}
		now := t.stale(r.clock.Now()) || refused >= downAfterRefusals || down && refused > 0
		if now != down {
			down = now
			changed(down)
		}
	}
}
