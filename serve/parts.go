package serve

import (
	"burdocklift/pick"
	"burdocklift/proto"
	"burdocklift/retry"
	"burdocklift/rules"
)

// parts divides the requests of a route among its services by weight: each
// request goes to the part that lags most behind its share.
type parts struct {
	route   *rules.Route
	credits []int
}

func (p *parts) next() string {
	total, best := 0, 0
	for i, part := range p.route.Parts {
		p.credits[i] += part.Weight
		total += part.Weight
		if p.credits[i] > p.credits[best] {
			best = i
		}
	}
	p.credits[best] -= total
	return p.route.Parts[best].Service
}

// part returns the service to which the next request of a route goes.
func (r *Router) part(route *rules.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.parts[route.Name]
	if p == nil || p.route != route {
		p = &parts{route: route, credits: make([]int, len(route.Parts))}
		r.parts[route.Name] = p
	}
	return p.next()
}

func (r *Router) picker(service string) *pick.Picker {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pickers[service]
	if p == nil {
		p = pick.New(pick.Config{
			DataCentre: r.cfg.DataCentre, Region: r.cfg.Region, Nodes: 1, Clock: r.cfg.Clock,
		})
		r.pickers[service] = p
	}
	return p
}

const (
	// rejectedShare is the part of the site's retry budget for requests that certainly
	// have not run, and runShare the one for others. A request that runs again repeats
	// its calls to another service, which count in that service's budget: in all
	// 0.45 + 2 * 0.25 of it.
	rejectedShare = 0.45
	runShare      = 0.25
)

// policies are the rules for repeating requests of a service.
type policies struct {
	rejected *retry.Policy // of those that certainly have not run
	run      *retry.Policy // of all others
}

func (p policies) first() {
	p.rejected.Budget().RecordFirst()
	p.run.Budget().RecordFirst()
}

func (p policies) after(o proto.Outcome) *retry.Policy {
	if o == proto.NotRun {
		return p.rejected
	}
	return p.run
}

func (r *Router) policies(service string) policies {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.budgets[service]
	if !ok {
		p = policies{rejected: r.newPolicy(rejectedShare), run: r.newPolicy(runShare)}
		r.budgets[service] = p
	}
	return p
}

func (r *Router) newPolicy(share float64) *retry.Policy {
	b, err := retry.NewBudget(share*r.cfg.RetryRatio, burst(share*r.cfg.RetrySlack, r.cfg.Fleet.View().Count()))
	if err != nil {
		panic("retry budget of checked settings: " + err.Error())
	}
	return retry.NewPolicy(b, nil, 0)
}

// burst is a node's part of the repeats that a site allows besides its ratio. It is
// at least one, without which a budget allows none.
func burst(slack float64, nodes int) int {
	return min(max(int(slack)/max(nodes, 1), 1), retry.MaxBurst)
}
