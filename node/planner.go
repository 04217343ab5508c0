package node

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/conf"
	"burdocklift/owner"
	"burdocklift/plan"
	"burdocklift/proto"
	"burdocklift/shard"
	"burdocklift/store"
)

const (
	// plannerTTL is the lease of the planner in the store. Two planners at once do
	// no harm, as all moves are written by compare-and-swap.
	plannerTTL = 30 * time.Second
	// plannerHosts is the number of hosts for which a planner's load reports
	// each DefaultInterval stay within its control budget: 600 reports of 60
	// bytes each 10 s are 3.6 KB/s. Larger fleets report less often.
	plannerHosts = 600
)

// planner reports the load of this host, and evens out the load of all hosts
// while this host is the first in rendezvous order and holds the lease.
type planner struct {
	node    *Node
	meter   *meter
	reports chan loadReport
	lease   store.Lease
	leads   atomic.Bool              // holds the lease
	plans   map[string]*plan.Planner // by service; used on the control goroutine only
}

type loadReport struct {
	from proto.HostID
	load proto.Load
}

func newPlanner(n *Node) *planner {
	return &planner{
		node:    n,
		meter:   newMeter(n.cfg.Clock.Now()),
		reports: make(chan loadReport, 2*plannerHosts),
		plans:   make(map[string]*plan.Planner),
	}
}

// received takes a load report; those beyond the queue are dropped.
func (p *planner) received(from proto.HostID, load proto.Load) {
	select {
	case p.reports <- loadReport{from, load}:
	default:
	}
}

// interval returns the time between two steps at the present size.
func (p *planner) interval() time.Duration {
	hosts := len(p.node.control.View().Hosts())
	base := cmp.Or(p.node.cfg.PlanInterval, plan.DefaultInterval)
	return base * time.Duration(1+hosts/(plannerHosts+1))
}

// Run implements kernel.Service.
func (p *planner) Run(ctx context.Context) error {
	defer p.release(ctx)
	next := p.node.cfg.Clock.After(p.interval())
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-p.reports:
			p.record(ctx, r)
			continue
		case <-next:
		}
		interval := p.interval()
		next = p.node.cfg.Clock.After(interval)
		p.step(ctx, interval)
	}
}

// first returns the active member that comes first in rendezvous order. All
// nodes send their reports to it, and only it asks for the planner's lease, so
// that the others put no load on the store.
func first(view *shard.View) proto.HostID {
	var best proto.HostID
	var high uint64
	for id, h := range view.Hosts() {
		if h.Member.State != proto.Active {
			continue
		}
		score := xxhash.Sum64String("planner\x00" + id.String())
		if best.IsZero() || score > high || score == high && id.String() < best.String() {
			best, high = id, score
		}
	}
	return best
}

func (p *planner) step(ctx context.Context, interval time.Duration) {
	view := p.node.control.View()
	lead, self := first(view), view.Self()
	if lead.IsZero() || self.IsZero() {
		return
	}
	if h, ok := view.Host(self); ok {
		if t, keyed := view.Table(h.Member.Service); keyed {
			load := p.meter.report(p.node.cfg.Clock.Now(), t.Shards())
			if lead == self {
				p.record(ctx, loadReport{self, load})
			} else {
				p.node.control.Do(ctx, func(_ *owner.Core, _ time.Time, fx owner.Effects) { fx.Send(lead, load) })
			}
		}
	}
	if lead != self {
		p.release(ctx)
		p.node.control.Do(ctx, func(*owner.Core, time.Time, owner.Effects) { clear(p.plans) })
		return
	}
	if !p.hold(ctx) {
		return
	}
	held := p.held()
	p.node.control.Do(ctx, func(core *owner.Core, now time.Time, fx owner.Effects) {
		for service, planner := range p.plans {
			hosts := hostLoads(core.View(), service, held)
			planner.Interval = interval
			if moves := planner.Step(now, core.Pages(service), hosts); len(moves) > 0 {
				core.Plan(now, service, moves, fx)
			}
		}
	})
}

// hold takes or renews the planner's lease.
func (p *planner) hold(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if p.lease != nil {
		if err := p.lease.Renew(ctx); err == nil {
			return true
		}
		p.lease = nil
		p.leads.Store(false)
	}
	l, err := p.node.cfg.Store.Lease(ctx, proto.KeyPlanner, plannerTTL)
	if err != nil {
		return false
	}
	p.lease = l
	p.leads.Store(true)
	return true
}

func (p *planner) release(ctx context.Context) {
	if p.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	// A lease that is not released ends by itself.
	_ = p.lease.Release(ctx)
	p.leads.Store(false)
	p.lease = nil
}

// record passes a report on to the service's planner. Step and Report run on
// the control goroutine.
func (p *planner) record(ctx context.Context, r loadReport) {
	h, ok := p.node.control.View().Host(r.from)
	if !ok {
		return
	}
	p.node.measures.reported(p.node.cfg.Clock.Now(), r)
	service, rules := h.Member.Service, p.rules()
	report := plan.Report{Host: r.from, Rate: float64(r.load.Rate)}
	for _, e := range r.load.Heavy {
		report.Heavy = append(report.Heavy, plan.EntryLoad{Shard: e.Shard, Key: e.Key, Rate: float64(e.Rate)})
	}
	p.node.control.Do(ctx, func(_ *owner.Core, now time.Time, _ owner.Effects) {
		if p.plans[service] == nil {
			p.plans[service] = &plan.Planner{}
		}
		p.plans[service].Rules = rules
		p.plans[service].Report(now, report)
	})
}

func (p *planner) rules() plan.Rules {
	rules := p.node.control.Documents().Rules
	if rules == nil {
		return plan.Rules{}
	}
	return plan.Rules{
		Imbalance: rules.Weights.Imbalance, Churn: rules.Weights.Churn, Unavailable: rules.Weights.Unavailable,
	}
}

// held returns the state of the hosts that the inventory does not have in use.
func (p *planner) held() map[string]conf.HostState {
	inventory := p.node.control.Documents().Inventory
	if inventory == nil {
		return nil
	}
	held := make(map[string]conf.HostState)
	for _, h := range inventory.Hosts {
		if h.State != conf.InUse {
			held[h.Name] = h.State
		}
	}
	return held
}

// hostLoads returns the members of a service as the planner sees them.
func hostLoads(view *shard.View, service string, held map[string]conf.HostState) []plan.HostLoad {
	var hosts []plan.HostLoad
	for id, h := range view.Hosts() {
		m := h.Member
		// A frozen host keeps what it has and receives no more.
		if m.Service != service || m.State == proto.Marked || held[id.Name] == conf.Frozen {
			continue
		}
		state := plan.Serving
		switch {
		case m.State == proto.Leaving, held[id.Name] == conf.Leaving, held[id.Name] == conf.Spare:
			state = plan.Leaving
		case m.TargetDown:
			state = plan.Down
		}
		hosts = append(hosts, plan.HostLoad{
			Host:  plan.Host{ID: id, Place: m.Place, Slots: m.Slots},
			State: state,
		})
	}
	slices.SortFunc(hosts, func(a, b plan.HostLoad) int {
		switch {
		case a.ID.String() < b.ID.String():
			return -1
		case a.ID.String() > b.ID.String():
			return 1
		}
		return 0
	})
	return hosts
}
