// Package place decides whether a target may take work: by the regions of the
// request's route, and by whether the target leaves. It has no I/O.
package place

import (
	"maps"
	"slices"

	"burdocklift/rules"
)

// Denial is why a target may not take work. The zero value is none.
type Denial uint8

// Denials, in the order in which they are found.
const (
	Allowed  Denial = iota
	Region          // the target is outside the regions of the route
	Draining        // the target leaves
)

// Target is where a target runs, and whether it gets no more work as it leaves.
type Target struct {
	DataCentre, Region string
	Draining           bool
}

// Work is what a target is wanted for.
type Work struct {
	Regions []string // of its route; empty for all
}

// Policy holds what restricts the placement of work. It is immutable. The zero value
// restricts nothing.
type Policy struct {
	ownerRegions map[string][]string // by service with keys; services without restriction are missing
	conflicts    []string
}

// New returns the policy of a version of the rules, which may be nil.
func New(set *rules.Set) *Policy {
	p := &Policy{}
	if set == nil {
		return p
	}
	p.ownerRegions = make(map[string][]string)
	for r := range set.Routes() {
		for _, w := range r.Services {
			if s, _ := set.Service(w.Service); w.Weight > 0 && len(r.Regions) > 0 && s.Sharded {
				p.restrictOwners(w.Service, r.Regions)
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

// Check returns why a target may not take work now.
func (p *Policy) Check(w Work, t Target) Denial {
	switch {
	case !contains(w.Regions, t.Region):
		return Region
	case t.Draining:
		return Draining
	}
	return Allowed
}

// CheckOwner returns why a target may not own keys of a service. A service whose routes
// have no region in common may have owners anywhere.
func (p *Policy) CheckOwner(service string, t Target) Denial {
	return p.Check(Work{Regions: p.ownerRegions[service]}, t)
}

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
