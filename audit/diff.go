package audit

import (
	"fmt"
	"strconv"
	"strings"

	"burdocklift/conf"
	"burdocklift/rules"
)

// Diff lists what a draft changes, by route and service. Routes and services that a later one
// hides are left out.
func Diff(older, newer Draft) []conf.Change {
	before, after := older.effectiveRoutes(), newer.effectiveRoutes()
	ambiguous := repeatedNames(before)
	for name := range repeatedNames(after) {
		ambiguous[name] = true
	}
	return conf.DiffItems(older.items(before, ambiguous), newer.items(after, ambiguous))
}

// effectiveRoutes returns the routes that no later one hides.
func (d Draft) effectiveRoutes() []rules.Route {
	return last(d.Routes, func(r rules.Route) [2]string { return [2]string{r.Host, r.Prefix} })
}

// last returns the last value of each key, in the order of the values.
func last[T any, K comparable](values []T, key func(T) K) []T {
	index := make(map[K]int, len(values))
	for i, v := range values {
		index[key(v)] = i
	}
	var list []T
	for i, v := range values {
		if index[key(v)] == i {
			list = append(list, v)
		}
	}
	return list
}

// repeatedNames returns the names that several routes have.
func repeatedNames(routes []rules.Route) map[string]bool {
	seen, repeated := make(map[string]bool), make(map[string]bool)
	for _, r := range routes {
		if seen[r.Name] {
			repeated[r.Name] = true
		}
		seen[r.Name] = true
	}
	return repeated
}

// items lists a draft. Routes with an ambiguous name are told apart by host name and prefix.
func (d Draft) items(routes []rules.Route, ambiguous map[string]bool) []conf.Item {
	list := []conf.Item{{Kind: "rule", Name: "rules", Fields: [][2]string{
		{"version", fmt.Sprintf("%08x", d.Version)},
		{"header size", strconv.Itoa(d.Limits.HeaderBytes)},
		{"body size", strconv.Itoa(d.Limits.BodyBytes)},
		{"header time", d.Limits.HeaderTimeout.String()},
		{"idle time", d.Limits.IdleTimeout.String()},
	}}}
	for _, r := range routes {
		name := r.Name
		if ambiguous[name] {
			name += " " + r.Host + r.Prefix
		}
		var services []string
		for _, w := range r.Services {
			services = append(services, w.Service+" "+strconv.Itoa(w.Weight))
		}
		list = append(list, conf.Item{Kind: "route", Name: name, Fields: [][2]string{
			{"host", r.Host},
			{"prefix", r.Prefix},
			{"services", strings.Join(services, ", ")},
			{"repeatable", strconv.FormatBool(r.Idempotent)},
			{"timeout", r.Timeout.String()},
			{"attempts", strconv.Itoa(r.MaxAttempts)},
			// As operators write it: 0 is the most urgent.
			{"priority", strconv.Itoa(-r.Urgency)},
			{"regions", strings.Join(r.Regions, ", ")},
		}})
	}
	for _, s := range last(d.Services, func(s rules.Service) string { return s.Name }) {
		list = append(list, conf.Item{Kind: "service", Name: s.Name, Fields: [][2]string{
			{"keyed", strconv.FormatBool(s.Sharded)},
			{"connections", strconv.Itoa(s.MaxConnections)},
			{"warm-up", s.WarmUp.String()},
			{"health path", s.HealthPath},
			{"cold rate", strconv.FormatFloat(s.ColdRate, 'g', -1, 64)},
			{"cold time", s.ColdTime.String()},
		}})
	}
	return list
}
