package place_test

import (
	"testing"

	"burdocklift/place"
	"burdocklift/rules"
)

// Guards against work that may run anywhere and takes the slots of work that is confined to a
// region, and against work that is taken for such although no route is confined there.
func TestContended(t *testing.T) {
	route := func(name, service string, weight int, regions ...string) rules.Route {
		return rules.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Regions: regions,
			Services: []rules.WeightedService{{Service: service, Weight: weight}, {Service: "other", Weight: 1}},
		}
	}
	set, err := rules.New(1, rules.Limits{}, []rules.Route{
		route("publish", "notices", 1, "north"), route("lookup", "notices", 1), route("trial", "notices", 0, "south"), route("keys", "desk", 1, "north"),
	}, []rules.Service{{Name: "notices"}, {Name: "other"}, {Name: "desk", Sharded: true}})
	if err != nil {
		t.Fatal(err)
	}
	p := place.New(set, nil).WithEvacuations(map[string]place.Evacuation{})
	for _, c := range []struct {
		service, region string
		regions         []string
		want            bool
	}{
		{"notices", "north", nil, true},
		{"notices", "south", nil, false},
		{"notices", "north", []string{"north"}, false},
		{"desk", "north", nil, false},
	} {
		if got := p.Contended(c.service, place.Work{Regions: c.regions}, place.Target{Region: c.region}); got != c.want {
			t.Errorf("work of %s for %v is contended in %s: %v, want %v", c.service, c.regions, c.region, got, c.want)
		}
	}
	var zero place.Policy
	if zero.Contended("notices", place.Work{}, place.Target{Region: "north"}) {
		t.Error("work is contended without rules")
	}
}
