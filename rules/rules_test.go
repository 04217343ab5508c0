package rules

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against a lookup whose cost grows with the number of routes, or that does
// not choose the longest matching prefix.
func TestMatch(t *testing.T) {
	services := []Service{{Name: "s"}}
	weighted := []WeightedService{{Service: "s", Weight: 1}}
	routes := []Route{{Name: "root", Host: "h", Prefix: "/", Services: weighted}}
	for i := range 1400 {
		routes = append(routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/p%d/", i), Services: weighted})
	}
	routes = append(routes, Route{Name: "deep", Host: "h", Prefix: "/p7/x/", Services: weighted})
	s, err := New(1, Limits{}, routes, services)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/p7/x/y": "deep", "/p7/x": "7", "/p7/": "7", "/p77/z": "77", "/p7": "root", "/": "root", "/q/r/s": "root",
	} {
		if r, ok := s.Match("h", path); !ok || r.Name != want {
			t.Errorf("path %s matches route %+v, want %s", path, r, want)
		}
	}
	if _, ok := s.Match("other", "/"); ok {
		t.Error("unknown host has a route")
	}
	if n := testing.AllocsPerRun(100, func() { s.Match("h", "/p700/x/y/z") }); n > 0 {
		t.Errorf("a lookup allocates %v times", n)
	}
}

// Guards against invalid rules that would leave requests without a service.
func TestInvalid(t *testing.T) {
	for name, r := range map[string]Route{
		"prefix":     {Prefix: "a/", Services: []WeightedService{{"s", 1}}},
		"no service": {Prefix: "/"},
		"unknown":    {Prefix: "/", Services: []WeightedService{{"x", 1}}},
		"no weight":  {Prefix: "/", Services: []WeightedService{{"s", 0}}},
		"negative":   {Prefix: "/", Services: []WeightedService{{"s", 1}}, Timeout: -1},
		"too long":   {Prefix: "/", Services: []WeightedService{{"s", 1}}, Timeout: 2 * MaxRouteTime},
	} {
		if _, err := New(1, Limits{}, []Route{r}, []Service{{Name: "s"}}); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error is %v, want %v", name, err, ErrInvalid)
		}
	}
}
