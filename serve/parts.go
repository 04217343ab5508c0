package serve

import (
	"burdocklift/pick"
	"burdocklift/proto"
	"burdocklift/retry"
	"burdocklift/rules"
)

// trafficSplit divides the requests of a route among its services by weight:
// each request goes to the service that is furthest behind its share.
type trafficSplit struct {
	route   *rules.Route
	credits []int
}

func (s *trafficSplit) next() string {
	total, best := 0, 0
	for i, part := range s.route.Services {
		s.credits[i] += part.Weight
		total += part.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return s.route.Services[best].Service
}

// nextService returns the service for the next request of a route.
func (r *Router) nextService(route *rules.Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.splits[route.Name]
	if s == nil || s.route != route {
		s = &trafficSplit{route: route, credits: make([]int, len(route.Services))}
		r.splits[route.Name] = s
	}
	return s.next()
}

func (r *Router) picker(service string) *pick.Picker {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pickers[service]
	if p == nil {
		p = pick.New(pick.Config{
			DataCentre: r.cfg.DataCentre, Region: r.cfg.Region, Nodes: 1, Clock: r.cfg.Clock,
			Latencies: r.latencies,
		})
		r.pickers[service] = p
	}
	return p
}

const (
	// notRunShare is the share of the site's retry budget for requests that
	// certainly did not run, and mayHaveRunShare the share for all others. A
	// request that runs again repeats its calls to another service, which count
	// in the budget of that service: 0.45 + 2 * 0.25 of the budget in total.
	notRunShare     = 0.45
	mayHaveRunShare = 0.25
)

// retryPolicies holds the retry policies of a service.
type retryPolicies struct {
	notRun     *retry.Policy // for requests that certainly did not run
	mayHaveRun *retry.Policy // for all other requests
}

func (p retryPolicies) recordFirst() {
	p.notRun.Budget().RecordFirst()
	p.mayHaveRun.Budget().RecordFirst()
}

func (p retryPolicies) forOutcome(o proto.Outcome) *retry.Policy {
	if o == proto.NotRun {
		return p.notRun
	}
	return p.mayHaveRun
}

func (r *Router) policiesFor(service string) retryPolicies {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.retries[service]
	if !ok {
		p = retryPolicies{notRun: r.newRetryPolicy(notRunShare), mayHaveRun: r.newRetryPolicy(mayHaveRunShare)}
		r.retries[service] = p
	}
	return p
}

// newRetryPolicy returns a policy with a full budget. That of a restarted node begins
// empty, as its earlier run may have spent the burst a moment ago.
func (r *Router) newRetryPolicy(share float64) *retry.Policy {
	v := r.cfg.Fleet.View()
	b, err := retry.NewBudget(share*r.cfg.RetryRatio, retryBurst(share*r.cfg.RetrySlack, v.NodeCount()))
	if err != nil {
		panic("invalid retry budget in validated settings: " + err.Error())
	}
	if v.Restarted() {
		b.Empty()
	}
	return retry.NewPolicy(b, nil, 0)
}

// retryBurst returns a node's part of the retries that a site allows beyond its
// ratio. It is at least one, because a budget with a smaller burst allows no
// retries.
func retryBurst(slack float64, nodes int) int {
	return min(max(int(slack)/max(nodes, 1), 1), retry.MaxBurst)
}
