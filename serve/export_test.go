package serve

import "burdocklift/poison"

// Suspects returns the requests that this node knows as suspect or quarantined.
func (r *Router) Suspects() []poison.Entry { return r.guard.List() }
