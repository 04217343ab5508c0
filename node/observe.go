package node

import (
	"burdocklift/proto"
	"burdocklift/route"
	"burdocklift/stats"
)

// observer passes the measurements of the request path on to the metrics.
type observer struct{ set *stats.Set }

// Request implements route.Observer.
func (o observer) Request(f route.CompletedRequest) {
	o.set.Observe(f.Service+"/"+f.Class, f.Tenant, string(f.Outcome), f.Latency)
}

// Attempt implements route.Observer. Attempts show in the retry budgets; the
// metrics count requests.
func (observer) Attempt(string, string, proto.Outcome, route.Reason) {}
