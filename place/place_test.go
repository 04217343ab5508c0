package place

import (
	"slices"
	"testing"
	"time"

	"burdocklift/rules"
)

func newPolicy(t *testing.T, routes ...rules.Route) *Policy {
	t.Helper()
	for i := range routes {
		routes[i].Host, routes[i].Prefix = "h", "/"+routes[i].Name+"/"
	}
	set, err := rules.New(1, rules.Limits{}, routes, []rules.Service{{Name: "desk", Sharded: true}, {Name: "archive"}})
	if err != nil {
		t.Fatal(err)
	}
	return New(set, nil)
}

func to(service string, weight int) []rules.WeightedService {
	return []rules.WeightedService{{Service: service, Weight: weight}, {Service: "archive", Weight: 1}}
}

// Guards against targets outside the regions of a route that get its requests, and against
// restrictions where the rules have none.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		regions []string
		target  Target
		want    Denial
	}{
		{"no restriction", nil, Target{"n1", "north", false}, Allowed},
		{"region of the route", []string{"south", "north"}, Target{"n1", "north", false}, Allowed},
		{"other region", []string{"south"}, Target{"n1", "north", false}, Region},
		{"target without a region", []string{"south"}, Target{}, Region},
		{"leaving", []string{"north"}, Target{"n1", "north", true}, Draining},
		{"leaving in another region", []string{"south"}, Target{"n1", "north", true}, Region},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := (&Policy{}).Check(Work{Regions: c.regions}, c.target, 0); got != c.want {
				t.Errorf("denial is %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against work that reaches an evacuated data centre: work that can go elsewhere at any
// time, all other from the closing time on; and against evacuations that reach other data centres
// or outlast their end.
func TestEvacuations(t *testing.T) {
	const closes = 10 * time.Second
	began := newPolicy(t, rules.Route{Name: "1", Services: to("desk", 1), Regions: []string{"a"}}).
		WithEvacuations(map[string]Evacuation{"a1": {ClosesAt: closes}})
	for _, c := range []struct {
		name   string
		work   Work
		target Target
		at     time.Duration
		want   Denial
	}{
		{"free work", Work{}, Target{"a1", "a", false}, 0, Evacuated},
		{"bound work before the end", Work{Bound: true}, Target{"a1", "a", false}, closes - 1, Allowed},
		{"bound work", Work{Bound: true}, Target{"a1", "a", false}, closes, Evacuated},
		{"bound work at a leaving target", Work{Bound: true}, Target{"a1", "a", true}, closes - 1, Draining},
		{"other data centre of the region", Work{}, Target{"a2", "a", false}, closes, Allowed},
		{"other region", Work{Regions: []string{"b"}}, Target{"a1", "a", false}, closes, Region},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := began.Check(c.work, c.target, c.at); got != c.want {
				t.Errorf("denial is %d, want %d", got, c.want)
			}
			ended := began.WithEvacuations(nil).Check(c.work, c.target, c.at)
			if want := began.CheckOwner("none", c.target); c.want != Region && ended != want {
				t.Errorf("denial is %d after the end, want %d", ended, want)
			}
		})
	}
	if began.CheckOwner("desk", Target{DataCentre: "a1", Region: "a"}) != Allowed || began.CheckOwner("desk", Target{Region: "b"}) != Region {
		t.Error("an evacuation changes the regions of owners")
	}
}

// Guards against owners of keys where one of the routes to their service may not run, and
// against keys without any owner because the routes have no region in common.
func TestCheckOwner(t *testing.T) {
	for _, c := range []struct {
		name     string
		routes   []rules.Route
		allowed  []string // of the regions a, b and c
		conflict bool
	}{
		{"no rules", nil, []string{"a", "b", "c"}, false},
		{"no regions", []rules.Route{{Name: "1", Services: to("desk", 1)}}, []string{"a", "b", "c"}, false},
		{"one route names regions", []rules.Route{
			{Name: "1", Services: to("desk", 1)}, {Name: "2", Services: to("desk", 1), Regions: []string{"a", "c"}},
		}, []string{"a", "c"}, false},
		{"intersection", []rules.Route{
			{Name: "1", Services: to("desk", 1), Regions: []string{"a", "b"}}, {Name: "2", Services: to("desk", 1), Regions: []string{"c", "b"}},
		}, []string{"b"}, false},
		{"weight 0", []rules.Route{
			{Name: "1", Services: to("desk", 0), Regions: []string{"a"}}, {Name: "2", Services: to("desk", 1), Regions: []string{"c", "b"}},
		}, []string{"b", "c"}, false},
		{"other service", []rules.Route{{Name: "1", Services: to("archive", 1), Regions: []string{"a"}}}, []string{"a", "b", "c"}, false},
		{"nothing in common", []rules.Route{
			{Name: "1", Services: to("desk", 1), Regions: []string{"a"}}, {Name: "2", Services: to("desk", 1), Regions: []string{"c", "b"}},
		}, []string{"a", "b", "c"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPolicy(t, c.routes...)
			var allowed []string
			for _, region := range []string{"a", "b", "c"} {
				if p.CheckOwner("desk", Target{Region: region}) == Allowed {
					allowed = append(allowed, region)
				}
			}
			if !slices.Equal(allowed, c.allowed) {
				t.Errorf("owners may be in %v, want %v", allowed, c.allowed)
			}
			if got := slices.Equal(p.Conflicts(), []string{"desk"}); got != c.conflict {
				t.Errorf("services whose routes have no region in common are %v", p.Conflicts())
			}
			if p.CheckOwner("desk", Target{Region: "b", Draining: true}) == Allowed {
				t.Error("a leaving target may own keys")
			}
		})
	}
}
