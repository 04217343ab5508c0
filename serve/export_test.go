package serve

import (
	"context"

	"burdocklift/poison"
)

// Suspects returns the requests that this node knows as suspect or quarantined.
func (r *Router) Suspects() []poison.Entry { return r.guard.List() }

// Uneven reports whether targets of a service are chosen by expected completion time.
func (r *Router) Uneven(service string) bool { return r.picker(service).Uneven() }

// HandleTerse handles MethodServeTerse.
func (r *Router) HandleTerse(ctx context.Context, body []byte) ([]byte, error) {
	return r.handleServeTerse(ctx, body)
}
