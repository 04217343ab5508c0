package audit

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"burdocklift/rules"
)

// newDraft returns a draft without findings.
func newDraft() Draft {
	to := func(name, prefix, service string) rules.Route {
		return rules.Route{
			Name: name, Host: "h", Prefix: prefix, Services: []rules.WeightedService{{Service: service, Weight: 1}},
			Timeout: time.Second, MaxAttempts: 2,
		}
	}
	return Draft{
		Version:  12,
		Limits:   rules.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:   []rules.Route{to("a", "/a/", "desk"), to("b", "/a/b/", "desk"), to("c", "/c/", "archive")},
		Services: []rules.Service{{Name: "desk", Sharded: true}, {Name: "archive", ColdRate: 15, ColdTime: 3 * time.Second}},
	}
}

// smallest is the request in bytes that the smallest nodes of a site have room for.
const smallest = 70 << 20

// checkFindings compares findings with the wanted ones, as severity, part and message, of which
// the beginning is enough.
func checkFindings(t *testing.T, got []Finding, want ...string) {
	t.Helper()
	kinds := []string{"record", "limits", "route", "service"}
	var texts []string
	for _, f := range got {
		texts = append(texts, fmt.Sprintf("%s %s %d.%d: %s", f.Severity, kinds[f.Part.Item], f.Part.Index, f.Part.Element, f.Message))
	}
	if !slices.EqualFunc(texts, want, strings.HasPrefix) {
		t.Errorf("findings are\n%s\nwant\n%s", strings.Join(texts, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against faults and mistakes that are not found, against findings in valid rules, and
// against parts that are named wrongly.
func TestCheck(t *testing.T) {
	site := Site{DataCentres: map[string]string{"n1": "north", "s1": "south"}, LargestBody: smallest, RequestTime: time.Minute}
	for _, c := range []struct {
		name   string
		change func(d *Draft)
		want   []string
	}{
		{"valid", func(*Draft) {}, nil},
		{"read fault", func(d *Draft) { d.Faults = []Finding{{Severity: Error, Message: "x"}} }, []string{"error record 0.0: x"}},
		{"same host and prefix", func(d *Draft) { d.Routes[2].Prefix = "/a/"; d.Routes[2].Services[0].Service = "desk" }, []string{
			`warning route 0.0: route "a" never matches: route "c" has the same host name and prefix and comes later`,
			`warning service 1.0: no route sends requests to service "archive"`,
		}},
		{"same prefix of another host", func(d *Draft) { d.Routes[2].Prefix, d.Routes[2].Host = "/a/", "other" }, nil},
		{"prefix covered by a longer one", func(d *Draft) { d.Routes[1].Prefix = "/a/x/" }, nil},
		{"only a hidden route", func(d *Draft) { d.Routes[2], d.Routes[0] = d.Routes[0], d.Routes[2]; d.Routes[0].Prefix = "/a/" }, []string{
			`warning route 0.0: route "c" never matches: route "a"`,
			`warning service 1.0: no route sends requests to service "archive"`,
		}},
		{"query in a prefix", func(d *Draft) { d.Routes[2].Prefix = "/c?x=/" }, []string{`warning route 2.0: route "c" never matches: prefix`}},
		{"weight 0", func(d *Draft) {
			d.Routes[2].Services = []rules.WeightedService{{Service: "archive"}, {Service: "desk", Weight: 1}}
		}, []string{`warning service 1.0: no route sends requests to service "archive"`}},
		{"all weights 0", func(d *Draft) { d.Routes[1].Services[0].Weight = 0 }, []string{`error route 1.0: route "b": all services have weight 0`}},
		{"negative weight", func(d *Draft) {
			d.Routes[1].Services = append(d.Routes[1].Services, rules.WeightedService{Service: "archive", Weight: -1})
		}, []string{`error route 1.1: route "b": weight -1 of service "archive" is negative`}},
		{"no service", func(d *Draft) { d.Routes[1].Services = nil }, []string{`error route 1.0: route "b": route has no service`}},
		{"unknown service", func(d *Draft) { d.Routes[1].Services[0].Service = "gone" }, []string{`error route 1.0: route "b": service "gone" is not defined`}},
		{"no slashes", func(d *Draft) { d.Routes[0].Prefix = "a" }, []string{`error route 0.0: route "a": prefix "a" must begin and end with a slash`}},
		{"unknown region", func(d *Draft) { d.Routes[0].Regions = []string{"north", "west"} }, []string{`error route 0.1: route "a": region "west"`}},
		{"regions in common", func(d *Draft) {
			d.Routes[0].Regions, d.Routes[1].Regions = []string{"north", "south"}, []string{"south"}
		}, nil},
		{"no region in common", func(d *Draft) { d.Routes[0].Regions, d.Routes[1].Regions = []string{"north"}, []string{"south"} }, []string{
			`warning service 0.0: service "desk" has keys, and its routes have no region in common`,
		}},
		{"no region in common without keys", func(d *Draft) {
			d.Services[0].Sharded = false
			d.Routes[0].Regions, d.Routes[1].Regions = []string{"north"}, []string{"south"}
		}, nil},
		{"no region in common beside an invalid route and service", func(d *Draft) {
			d.Routes[0].Regions, d.Routes[1].Regions = []string{"north"}, []string{"south"}
			d.Routes[2].Prefix, d.Services[1].ColdRate = "c", -1
		}, []string{`error route 2.0: route "c": prefix`, `warning service 0.0: service "desk" has keys`, "error service 1.0: -1 requests"}},
		{"timeout 0", func(d *Draft) { d.Routes[0].Timeout = 0 }, []string{`warning route 0.0: route "a" has no timeout`}},
		{"negative timeout", func(d *Draft) { d.Routes[0].Timeout = -1 }, []string{`error route 0.0: route "a": timeout -1ns is negative`}},
		{"longest timeout", func(d *Draft) { d.Routes[0].Timeout = time.Minute }, nil},
		{"timeout over that of nodes", func(d *Draft) { d.Routes[0].Timeout = rules.MaxRouteTime }, []string{
			`warning route 0.0: route "a": timeout 10m0s has no effect, nodes end every request after 1m0s`,
		}},
		{"long timeout", func(d *Draft) { d.Routes[0].Timeout = rules.MaxRouteTime + 1 }, []string{`error route 0.0: route "a": timeout 10m0.000000001s exceeds 10m0s`}},
		{"no attempts", func(d *Draft) { d.Routes[0].MaxAttempts = 0 }, []string{`warning route 0.0: route "a": 0 attempts count as 1`}},
		{"most attempts", func(d *Draft) { d.Routes[0].MaxAttempts = 10 }, nil},
		{"many attempts", func(d *Draft) { d.Routes[0].MaxAttempts = 11 }, []string{`warning route 0.0: route "a": 11 attempts are more than 10`}},
		{"negative attempts", func(d *Draft) { d.Routes[0].MaxAttempts = -1 }, []string{`error route 0.0: route "a": maximum of -1 attempts is negative`}},
		{"cold rate without time", func(d *Draft) { d.Services[1].ColdTime = 0 }, []string{`warning service 1.0: service "archive" has a cold rate without a cold time`}},
		{"cold time without rate", func(d *Draft) { d.Services[1].ColdRate = 0 }, []string{`warning service 1.0: service "archive" has a cold time without a cold rate`}},
		{"cold rate", func(d *Draft) { d.Services[1].ColdRate = math.Inf(1) }, []string{`error service 1.0: +Inf requests`}},
		{"cold time", func(d *Draft) { d.Services[1].ColdTime = -1 }, []string{`error service 1.0: -1ns of a cold target`}},
		{"service twice", func(d *Draft) { d.Services = append(d.Services, d.Services[0]) }, []string{`warning service 0.0: service "desk" is defined again`}},
		{"service without a name", func(d *Draft) { d.Services = append(d.Services, rules.Service{}) }, []string{`error service 2.0: service without a name`}},
		{"service and route without a name of the service", func(d *Draft) {
			d.Services = append(d.Services, rules.Service{})
			d.Routes[1].Services[0].Service = ""
		}, []string{`error route 1.0: route "b": service "" is not defined`, "error service 2.0: service without a name"}},
		{"no limits", func(d *Draft) { d.Limits = rules.Limits{} }, []string{
			"warning limits 0.0: 0 is no limit", "warning limits 0.0: 0 is no limit", "warning limits 0.0: 0s is no limit", "warning limits 0.0: 0s is no limit",
		}},
		{"negative limit", func(d *Draft) { d.Limits.HeaderBytes = -1 }, []string{"warning limits 0.0: -1 is no limit"}},
		{"idle time", func(d *Draft) { d.Limits.IdleTimeout = 2 * time.Second }, []string{"warning limits 0.0: idle time 2s is under the header time 3s"}},
		{"body size", func(d *Draft) { d.Limits.BodyBytes = smallest - d.Limits.HeaderBytes + 1 }, []string{"warning limits 0.0: a request of"}},
		{"largest body size", func(d *Draft) { d.Limits.BodyBytes = smallest - d.Limits.HeaderBytes }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDraft()
			c.change(&d)
			checkFindings(t, Check(d, site), c.want...)
		})
	}
	t.Run("nothing known of the site", func(t *testing.T) {
		d := newDraft()
		d.Routes[0].Regions, d.Routes[0].Timeout, d.Limits.BodyBytes = []string{"west"}, rules.MaxRouteTime, 1<<40
		checkFindings(t, Check(d, Site{}))
	})
}

// Guards against versions that nodes take for old, and against a second finding in a version
// that can't be read.
func TestCheckVersion(t *testing.T) {
	d, older := newDraft(), newDraft()
	checkFindings(t, CheckVersion(d, older), "error record 0.0: version 0000000c does not exceed 0000000c")
	older.Version = 11
	checkFindings(t, CheckVersion(d, older))
	d.Version, d.Faults = 0, []Finding{{Part: Part{Field: rules.FieldVersion}}}
	checkFindings(t, CheckVersion(d, older))
}

// Guards against changes that are not told, or are told of parts that did not change.
func TestDiff(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *Draft)
		want   []string
	}{
		{"none", func(*Draft) {}, nil},
		{"order", func(d *Draft) { slices.Reverse(d.Routes); slices.Reverse(d.Services) }, nil},
		{"version", func(d *Draft) { d.Version = 16 }, []string{"changed rule rules: version 0000000c -> 00000010"}},
		{"added", func(d *Draft) {
			r := d.Routes[0]
			r.Name, r.Prefix = "d", "/d/"
			d.Routes, d.Services = append(d.Routes, r), append(d.Services, rules.Service{Name: "new"})
		}, []string{"added route d", "added service new"}},
		{"removed", func(d *Draft) { d.Routes, d.Services = d.Routes[:2], d.Services[:1] }, []string{"removed route c", "removed service archive"}},
		{"hidden", func(d *Draft) { d.Routes = append([]rules.Route{{Name: "x", Host: "h", Prefix: "/a/"}}, d.Routes...) }, nil},
		{"moved", func(d *Draft) {
			d.Routes[0].Services = []rules.WeightedService{{Service: "desk", Weight: 90}, {Service: "archive", Weight: 10}}
		}, []string{"changed route a: services desk 1 -> desk 90, archive 10"}},
		{"route", func(d *Draft) {
			r := &d.Routes[0]
			r.Host, r.Prefix, r.Timeout, r.MaxAttempts, r.Urgency, r.Idempotent, r.Regions = "o", "/o/", time.Minute, 3, -2, true, []string{"north"}
		}, []string{
			"changed route a: host h -> o", "changed route a: prefix /a/ -> /o/", "changed route a: repeatable false -> true",
			"changed route a: timeout 1s -> 1m0s", "changed route a: attempts 2 -> 3", "changed route a: priority 0 -> 2", "changed route a: regions  -> north",
		}},
		{"service", func(d *Draft) {
			d.Services[0] = rules.Service{Name: "desk", MaxConnections: 9, WarmUp: time.Second, HealthPath: "/h", ColdRate: 1.5, ColdTime: time.Second}
		}, []string{
			"changed service desk: keyed true -> false", "changed service desk: connections 0 -> 9", "changed service desk: warm-up 0s -> 1s",
			"changed service desk: health path  -> /h", "changed service desk: cold rate 0 -> 1.5", "changed service desk: cold time 0s -> 1s",
		}},
		{"limits", func(d *Draft) {
			d.Limits = rules.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4}
		}, []string{
			"changed rule rules: header size 16384 -> 1", "changed rule rules: body size 67108864 -> 2",
			"changed rule rules: header time 3s -> 3ns", "changed rule rules: idle time 15s -> 4ns",
		}},
		{"ambiguous names", func(d *Draft) { d.Routes[1].Name = "a"; d.Routes[1].MaxAttempts = 3 }, []string{
			"added route a h/a/b/", "removed route b",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			older, newer := newDraft(), newDraft()
			c.change(&newer)
			var got []string
			for _, change := range Diff(older, newer) {
				got = append(got, change.String())
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("changes are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}
