// Package place decides whether a target may take work: by the regions of the
// request's route, evacuations of data centres, and whether the target leaves. It has no
// I/O.
package place

import (
	"maps"
	"slices"
	"time"

	"burdocklift/rules"
)

// Denial is why a target may not take work. The zero value is none.
type Denial uint8

// Denials, in the order in which they are found.
const (
	Allowed   Denial = iota
	Region           // the target is outside the regions of the route
	Evacuated        // the target's data centre is evacuated
	Draining         // the target leaves
)

// Target is where a target runs, and whether it gets no more work as it leaves.
type Target struct {
	DataCentre, Region string
	Draining           bool
}

// Work is what a target is wanted for.
type Work struct {
	Regions []string // of its route; empty for all
	// Bound work has a key, or is at the node of this target already. Other work goes to
	// another target as soon as an evacuation is known.
	Bound bool
}

// Evacuation is an operator's request to send nothing more to the targets of a data
// centre.
type Evacuation struct {
	Since    time.Time     // when this node learned of it
	ClosesAt time.Duration // on the node's clock, when the targets get nothing more
}

// Policy holds what restricts the placement of work. It is immutable. The zero value
// restricts nothing.
type Policy struct {
	ownerRegions map[string][]string // by service with keys; services without restriction are missing
	confined     map[string][]string // regions that routes name, by service without keys
	conflicts    []string
	evacuations  map[string]Evacuation // by data centre
}

// New returns the policy of a version of the rules, which may be nil, and of the evacuations
// by data centre.
func New(set *rules.Set, evacuations map[string]Evacuation) *Policy {
	p := &Policy{evacuations: maps.Clone(evacuations)}
	if set == nil {
		return p
	}
	p.ownerRegions, p.confined = make(map[string][]string), make(map[string][]string)
	for r := range set.Routes() {
		for _, w := range r.Services {
			s, _ := set.Service(w.Service)
			switch {
			case w.Weight <= 0 || len(r.Regions) == 0:
			case s.Sharded:
				p.restrictOwners(w.Service, r.Regions)
			default:
				p.confined[w.Service] = append(p.confined[w.Service], r.Regions...)
			}
		}
	}
	for service, regions := range p.ownerRegions {
		if len(regions) == 0 {
			p.conflicts = append(p.conflicts, service)
			delete(p.ownerRegions, service)
		}
	}
	slices.Sort(p.conflicts)
	return p
}

// restrictOwners limits the owners of a service's keys to regions.
func (p *Policy) restrictOwners(service string, regions []string) {
	common, ok := p.ownerRegions[service]
	if !ok {
		p.ownerRegions[service] = slices.Clone(regions)
		return
	}
	p.ownerRegions[service] = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(regions, region) })
}

// WithEvacuations returns a policy for the same rules.
func (p *Policy) WithEvacuations(evacuations map[string]Evacuation) *Policy {
	return &Policy{ownerRegions: p.ownerRegions, confined: p.confined, conflicts: p.conflicts, evacuations: maps.Clone(evacuations)}
}

// Contended reports whether some requests to a service without keys are confined to the region of
// a target, while the work may run anywhere: the work can make room by going elsewhere.
func (p *Policy) Contended(service string, w Work, t Target) bool {
	return len(w.Regions) == 0 && slices.Contains(p.confined[service], t.Region)
}

// Check returns why a target may not take work at a time.
func (p *Policy) Check(w Work, t Target, now time.Duration) Denial {
	if !contains(w.Regions, t.Region) {
		return Region
	}
	if e, ok := p.evacuations[t.DataCentre]; ok && (!w.Bound || now >= e.ClosesAt) {
		return Evacuated
	}
	if t.Draining {
		return Draining
	}
	return Allowed
}

// CheckOwner returns why a target may not own keys of a service. A service whose routes
// have no region in common may have owners anywhere. Evacuations are not regarded: whether an
// owner can leave depends on the others.
func (p *Policy) CheckOwner(service string, t Target) Denial {
	switch {
	case !contains(p.ownerRegions[service], t.Region):
		return Region
	case t.Draining:
		return Draining
	}
	return Allowed
}

// Evacuations returns the evacuations by data centre, which must not be changed.
func (p *Policy) Evacuations() map[string]Evacuation { return p.evacuations }

// Conflicts returns the sorted services with keys whose routes have no region in common.
func (p *Policy) Conflicts() []string { return p.conflicts }

// contains reports whether a list of regions, which is empty for all, contains a region.
func contains(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// UnknownRegion returns the first route with a region in which no data centre is, and that
// region. The table names the region of each data centre; nothing is checked if it is empty.
func UnknownRegion(routes []rules.Route, dataCentres map[string]string) (route, region string, found bool) {
	if len(dataCentres) == 0 {
		return "", "", false
	}
	known := slices.Collect(maps.Values(dataCentres))
	for _, r := range routes {
		for _, name := range r.Regions {
			if !slices.Contains(known, name) {
				return r.Name, name, true
			}
		}
	}
	return "", "", false
}
