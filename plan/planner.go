package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"burdocklift/proto"
)

// DefaultInterval is the time between two planner steps, and between two load
// reports of a host.
const DefaultInterval = 10 * time.Second

// Report is the load of a host over one interval.
type Report struct {
	Host proto.HostID
	Rate float64
	// Heavy lists the host's heaviest shards and keys.
	Heavy []EntryLoad
}

// Planner keeps the state between planner steps: load reports and the moves of
// the last minute. It is soft state: a new planner starts empty and waits for
// reports. The zero value is ready to use. A Planner is not safe for concurrent use.
type Planner struct {
	Rules    Rules
	Interval time.Duration // DefaultInterval if zero
	reports  map[proto.HostID]timedReport
	recent   []issuedMove
}

type timedReport struct {
	Report
	at           time.Time
	previousRate float64
}

type issuedMove struct {
	Move
	at time.Time
}

func (p *Planner) interval() time.Duration { return cmp.Or(p.Interval, DefaultInterval) }

// isCurrent reports whether a load report is current; it may be half an interval late.
func (p *Planner) isCurrent(now, at time.Time) bool { return now.Sub(at) <= p.interval()*3/2 }

// Report records a host's load.
func (p *Planner) Report(now time.Time, r Report) {
	if p.reports == nil {
		p.reports = map[proto.HostID]timedReport{}
	}
	d := timedReport{Report: r, at: now}
	if old, ok := p.reports[r.Host]; ok && p.isCurrent(now, old.at) {
		d.previousRate = old.Rate
	}
	p.reports[r.Host] = d
}

// Step returns the moves of one planner step for the pages of a service. The
// caller sets the identity, capacity and state of the hosts; their loads come
// from the reports. A host without a current report is stale.
func (p *Planner) Step(now time.Time, pages []*proto.Page, hosts []HostLoad) []Move {
	p.recent = slices.DeleteFunc(p.recent, func(m issuedMove) bool { return now.Sub(m.at) >= time.Minute })
	in := Input{Pages: pages, Hosts: slices.Clone(hosts), Interval: p.interval(), Rules: p.Rules}
	for _, m := range p.recent {
		in.Recent = append(in.Recent, m.Move)
	}
	live := make(map[proto.HostID]bool, len(hosts))
	var heavy []EntryLoad
	for i := range in.Hosts {
		h := &in.Hosts[i]
		live[h.ID] = true
		r, ok := p.reports[h.ID]
		h.Stale = !ok || !p.isCurrent(now, r.at)
		if h.Stale {
			continue
		}
		h.Rate, h.PreviousRate = r.Rate, r.previousRate
		heavy = append(heavy, r.Heavy...)
	}
	for id := range p.reports {
		if !live[id] {
			delete(p.reports, id)
		}
	}
	in.Heavy = aggregateHeavy(heavy)
	moves := Balance(in)
	for _, m := range moves {
		p.recent = append(p.recent, issuedMove{Move: m, at: now})
	}
	return moves
}

// aggregateHeavy adds up the rates of an entry that was reported by its owners
// before and after a move. It keeps the region of the higher rate.
func aggregateHeavy(heavy []EntryLoad) []EntryLoad {
	slices.SortStableFunc(heavy, func(a, b EntryLoad) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Key, b.Key), -cmp.Compare(a.Rate, b.Rate))
	})
	out := heavy[:0]
	for _, h := range heavy {
		if n := len(out); n > 0 && out[n-1].Shard == h.Shard && out[n-1].Key == h.Key {
			out[n-1].Rate += h.Rate
			continue
		}
		out = append(out, h)
	}
	return out
}

func (k Kind) String() string {
	switch k {
	case Isolate:
		return "isolate"
	case Merge:
		return "merge"
	case Evacuate:
		return "evacuate"
	case Level:
		return "level"
	case Fill:
		return "fill"
	case Colocate:
		return "gather"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}
