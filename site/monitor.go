package site

import (
	"context"
	"time"

	"burdocklift/conf"
	"burdocklift/proto"
	"burdocklift/report"
	"burdocklift/shard"
)

// sampleInterval is the resolution of unavailable time.
const sampleInterval = 20 * time.Millisecond

// Monitor samples the ownership of all shards. A shard is available while its
// owner's node runs, is not frozen, knows that it is the owner and holds its
// lease. A shard that is handed over gracefully counts as available.
type Monitor struct {
	site     *Site
	services []*monitored
	cancel   context.CancelFunc
	done     chan struct{}
}

type monitored struct {
	name   string
	shards []monitoredShard // empty for a service without keys
	churn  int
	worst  time.Duration
	total  time.Duration
}

type monitoredShard struct {
	owner string
	epoch uint64
	since time.Time // begin of the present unavailable time, zero if available
}

// Monitor starts to sample a site that is ready.
func (s *Site) Monitor(ctx context.Context) (*Monitor, error) {
	rules, err := conf.ParseRules("rules", s.spec.Rules)
	if err != nil {
		return nil, err
	}
	m := &Monitor{site: s, done: make(chan struct{})}
	for _, service := range rules.Services {
		mon := &monitored{name: service.Name}
		if service.Keyed {
			mon.shards = make([]monitoredShard, service.Shards)
		}
		m.services = append(m.services, mon)
	}
	ctx, m.cancel = context.WithCancel(ctx)
	go m.run(ctx)
	return m, nil
}

func (m *Monitor) run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		now := time.Now()
		m.sample(now, now.Sub(last))
		last = now
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Monitor) sample(now time.Time, passed time.Duration) {
	var views []*shard.View
	for _, h := range m.site.hosts {
		if h.Live() {
			views = append(views, h.Node.Control().View())
		}
	}
	for _, service := range m.services {
		for i := range service.shards {
			service.sample(m.site, views, uint32(i), now, passed)
		}
	}
}

func (s *monitored) sample(site *Site, views []*shard.View, n uint32, now time.Time, passed time.Duration) {
	var newest shard.Decision
	for _, v := range views {
		if d, ok := v.Entry(s.name, n, ""); ok && d.Epoch >= newest.Epoch {
			newest = d
		}
	}
	e := &s.shards[n]
	if newest.Epoch > e.epoch {
		if e.owner != "" && e.owner != newest.OwnerID.Name {
			s.churn++
		}
		e.owner, e.epoch = newest.OwnerID.Name, newest.Epoch
	}
	if site.serves(s.name, n, newest.OwnerID, now) {
		e.since = time.Time{}
		return
	}
	if e.since.IsZero() {
		e.since = now
		return
	}
	s.total += passed
	s.worst = max(s.worst, now.Sub(e.since))
}

// serves reports whether a host may dispatch requests of a shard.
func (s *Site) serves(service string, n uint32, id proto.HostID, now time.Time) bool {
	h, ok := s.Host(id.Name)
	if !ok || !h.Live() {
		return false
	}
	d, ok := h.Node.Control().View().Entry(service, n, "")
	return ok && d.Local && h.Node.Control().Gate().Valid(now)
}

// Stop ends the sampling and returns the figures of each service.
func (m *Monitor) Stop() []report.Service {
	m.cancel()
	<-m.done
	var services []report.Service
	for _, s := range m.services {
		services = append(services, report.Service{
			Name: s.name, Imbalance: m.site.imbalance(s.name),
			Churn: s.churn, Shards: len(s.shards), Worst: s.worst, Total: s.total,
		})
	}
	return services
}

// imbalance returns the maximum over the mean of the runs at the targets of a
// service, among the hosts that no fault hit.
func (s *Site) imbalance(service string) float64 {
	most, sum, hosts := 0, 0, 0
	for _, h := range s.hosts {
		if h.Spec.Target.Service == service && h.untouched() {
			runs := h.Target.Runs()
			most, sum, hosts = max(most, runs), sum+runs, hosts+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(hosts) / float64(sum)
}
