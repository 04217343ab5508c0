// Package audit finds faults and probable mistakes in a version of the rules before it is
// sent, and what the version changes. It has no I/O.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"burdocklift/place"
	"burdocklift/rules"
)

// Severity tells what nodes do with a version that has a finding.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // nodes refuse the version, or it is not newer than the one in force
	Warning Severity = "warning" // nodes take the version; the part is probably not what was meant
)

const (
	// maxAttempts is the number of attempts over which a route is reported: each attempt
	// counts against the retry budget, which is at most a fifth of the requests at present sites.
	maxAttempts = 10
)

// Item is the kind of a part of a draft.
type Item uint8

// Kinds of parts.
const (
	Record Item = iota // what belongs to no other part
	Limits
	Route
	Service
)

// Part is a part of a draft.
type Part struct {
	Item    Item
	Index   int // of the route or service in the draft
	Field   rules.Field
	Element int // index in a list of services or regions
}

// Finding is a fault or a probable mistake.
type Finding struct {
	Severity Severity
	Part     Part
	Message  string
	Other    *Part // the part that is in conflict with this one, or nil
}

// Draft is a version of the rules as it was written, valid or not.
type Draft struct {
	Version  uint64
	Limits   rules.Limits
	Routes   []rules.Route // the later one is in force if two match the same requests
	Services []rules.Service
	Faults   []Finding // that reading found
}

// Site is what is known of the site that the version is for.
type Site struct {
	DataCentres map[string]string // region of each data centre; empty if not known
	LargestBody int64             // request that the smallest node has room for in bytes, 0 if not known
	RequestTime time.Duration     // after which nodes end any request, 0 if not known
}

type check struct {
	draft    Draft
	site     Site
	findings []Finding
}

func (c *check) add(severity Severity, part Part, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Part: part, Message: fmt.Sprintf(format, args...)})
}

// Check returns the findings in a draft for a site, by kind and index of the part.
func Check(draft Draft, site Site) []Finding {
	c := check{draft: draft, site: site, findings: slices.Clone(draft.Faults)}
	c.checkLimits()
	services := c.checkServices()
	routes := c.checkRoutes(services)
	c.checkReach(services, routes)
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Part.Item, b.Part.Item), cmp.Compare(a.Part.Index, b.Part.Index),
			cmp.Compare(a.Part.Field, b.Part.Field), cmp.Compare(a.Part.Element, b.Part.Element))
	})
	return c.findings
}

// CheckVersion returns a finding if a draft is not newer than the version in force.
func CheckVersion(draft, inForce Draft) []Finding {
	malformed := slices.ContainsFunc(draft.Faults, func(f Finding) bool { return f.Part.Field == rules.FieldVersion })
	if malformed || draft.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Severity: Error, Part: Part{Field: rules.FieldVersion},
		Message: fmt.Sprintf("version %08x does not exceed %08x, the version in force", draft.Version, inForce.Version),
	}}
}

func (c *check) checkLimits() {
	l := c.draft.Limits
	for _, v := range []struct {
		field rules.Field
		value int64
		text  any
	}{
		{rules.FieldHeaderBytes, int64(l.HeaderBytes), l.HeaderBytes},
		{rules.FieldBodyBytes, int64(l.BodyBytes), l.BodyBytes},
		{rules.FieldHeaderTimeout, int64(l.HeaderTimeout), l.HeaderTimeout},
		{rules.FieldIdleTimeout, int64(l.IdleTimeout), l.IdleTimeout},
	} {
		if v.value <= 0 {
			c.add(Warning, Part{Item: Limits, Field: v.field}, "%v is no limit, nodes use their own", v.text)
		}
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.add(Warning, Part{Item: Limits, Field: rules.FieldIdleTimeout}, "idle time %v is under the header time %v", l.IdleTimeout, l.HeaderTimeout)
	}
	// A body is held as a whole at least once.
	size := int64(max(l.BodyBytes, 0)) + int64(max(l.HeaderBytes, 0))
	if room := c.site.LargestBody; room > 0 && size > room {
		c.add(Warning, Part{Item: Limits, Field: rules.FieldBodyBytes},
			"a request of %d bytes does not fit in the %d bytes that the smallest node has for requests", size, room)
	}
}

// checkServices returns the index of each service that is in force, by name. A service without
// a name is left out, so that routes without a service are found.
func (c *check) checkServices() map[string]int {
	services := make(map[string]int, len(c.draft.Services))
	for i, s := range c.draft.Services {
		for _, f := range s.Faults() {
			c.add(Error, Part{Item: Service, Index: i, Field: f.Field}, "%v", f.Err)
		}
		switch {
		case s.ColdRate > 0 && s.ColdTime == 0:
			c.add(Warning, Part{Item: Service, Index: i, Field: rules.FieldColdRate},
				"service %q has a cold rate without a cold time", s.Name)
		case s.ColdRate == 0 && s.ColdTime > 0:
			c.add(Warning, Part{Item: Service, Index: i, Field: rules.FieldColdTime},
				"service %q has a cold time without a cold rate, its cold targets have no limit", s.Name)
		}
		if s.Name == "" {
			continue
		}
		if earlier, ok := services[s.Name]; ok {
			c.addHidden(Service, earlier, i, "service %q is defined again, the later definition is in force", s.Name)
		}
		services[s.Name] = i
	}
	return services
}

func (c *check) addHidden(item Item, earlier, later int, format string, args ...any) {
	c.add(Warning, Part{Item: item, Index: earlier}, format, args...)
	c.findings[len(c.findings)-1].Other = &Part{Item: item, Index: later}
}

// checkRoutes returns the indexes of the valid routes that are in force.
func (c *check) checkRoutes(services map[string]int) []int {
	type match struct{ host, prefix string }
	inForce := make(map[match]int, len(c.draft.Routes))
	defined := func(service string) bool { _, ok := services[service]; return ok }
	valid := make([]bool, len(c.draft.Routes))
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		valid[i] = c.checkRoute(i, r, defined)
		m := match{r.Host, r.Prefix}
		if earlier, ok := inForce[m]; ok {
			c.addHidden(Route, earlier, i, "route %q never matches: route %q has the same host name and prefix and comes later",
				c.draft.Routes[earlier].Name, r.Name)
		}
		inForce[m] = i
	}
	var routes []int
	for _, i := range inForce {
		if valid[i] {
			routes = append(routes, i)
		}
	}
	slices.Sort(routes)
	return routes
}

// checkRoute checks a route by itself and returns whether nodes take it.
func (c *check) checkRoute(i int, r *rules.Route, defined func(string) bool) bool {
	part := func(field rules.Field, element int) Part {
		return Part{Item: Route, Index: i, Field: field, Element: element}
	}
	faults := r.Faults(defined)
	for _, f := range faults {
		c.add(Error, part(f.Field, f.Element), "route %q: %v", r.Name, f.Err)
	}
	for j, region := range r.Regions {
		if _, _, found := place.UnknownRegion([]rules.Route{{Regions: []string{region}}}, c.site.DataCentres); found {
			c.add(Error, part(rules.FieldRegions, j), "route %q: region %q is not that of a data centre in the settings", r.Name, region)
		}
	}
	if strings.Contains(r.Prefix, "?") {
		c.add(Warning, part(rules.FieldPrefix, 0), "route %q never matches: prefix %q has a query, and only paths are compared", r.Name, r.Prefix)
	}
	switch {
	case r.Timeout == 0:
		c.add(Warning, part(rules.FieldTimeout, 0), "route %q has no timeout", r.Name)
	case c.site.RequestTime > 0 && r.Timeout > c.site.RequestTime && r.Timeout <= rules.MaxRouteTime:
		c.add(Warning, part(rules.FieldTimeout, 0), "route %q: timeout %v has no effect, nodes end every request after %v", r.Name, r.Timeout, c.site.RequestTime)
	}
	switch {
	case r.MaxAttempts == 0:
		c.add(Warning, part(rules.FieldMaxAttempts, 0), "route %q: 0 attempts count as 1", r.Name)
	case r.MaxAttempts > maxAttempts:
		c.add(Warning, part(rules.FieldMaxAttempts, 0), "route %q: %d attempts are more than %d", r.Name, r.MaxAttempts, maxAttempts)
	}
	return len(faults) == 0
}

// checkReach reports services that no route reaches, and services with keys whose routes have
// no region in common, as far as services and routes are valid.
func (c *check) checkReach(services map[string]int, inForce []int) {
	reached := make(map[string]bool)
	routes := make([]rules.Route, len(inForce))
	for n, i := range inForce {
		routes[n] = c.draft.Routes[i]
	}
	for _, r := range c.draft.effectiveRoutes() {
		for _, w := range r.Services {
			reached[w.Service] = reached[w.Service] || w.Weight > 0
		}
	}
	var valid []rules.Service
	for name, i := range services {
		s := c.draft.Services[i]
		if len(s.Faults()) > 0 {
			// Routes to it are not invalid for that.
			s = rules.Service{Name: name, Sharded: s.Sharded}
		}
		valid = append(valid, s)
		if !reached[name] {
			c.add(Warning, Part{Item: Service, Index: i}, "no route sends requests to service %q", name)
		}
	}
	set, err := rules.New(c.draft.Version, c.draft.Limits, routes, valid)
	if err != nil {
		c.add(Error, Part{}, "%v", err)
		return
	}
	for _, name := range place.New(set, nil).Conflicts() {
		c.add(Warning, Part{Item: Service, Index: services[name]},
			"service %q has keys, and its routes have no region in common: requests for keys whose owner is outside the regions of "+
				"their route are refused", name)
	}
}
