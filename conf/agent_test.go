package conf

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const agentText = `name = "n-1"
data_centre = "a"
region = "r"
store = "10.0.0.1:80"
memory = 284
[target]
service = "desk"
address = "10.0.0.2:80"
[addresses]
ip = "10.0.0.2"
caller = "10.0.0.2:81"
ready = "10.0.0.2:82"
target = "10.0.0.2:83"
ports = [7000, 7015]
[limits]
drain = "3s"
slack = 56
link = 10.5
`

// Guards against settings that are read with another meaning.
func TestAgentSettings(t *testing.T) {
	s, err := ParseAgent("s.toml", []byte(agentText))
	if err != nil {
		t.Fatal(err)
	}
	if s.Addresses.Peer() != "10.0.0.2:7000" || s.Addresses.Metrics() != "10.0.0.2:7015" || s.Limits.Drain != 3*time.Second ||
		s.Limits.Stop != 6*time.Second || s.Limits.Slack != 56 || s.Limits.Link != 10.5 || s.Log.Format != "json" {
		t.Errorf("settings are %+v", s)
	}
	if called := s.Addresses; called.Internal() != called.Peer() {
		t.Errorf("internal address %s, called at %s", called.Internal(), called.Peer())
	} else if called.Called = "10.0.0.8:7000"; called.Peer() != "10.0.0.8:7000" || called.Internal() != "10.0.0.2:7000" {
		t.Errorf("internal address %s, called at %s", called.Internal(), called.Peer())
	}
	other := s
	other.Store = "10.0.0.9:80"
	if !s.Equal(s) || s.Equal(other) {
		t.Error("settings compare wrongly")
	}
}

// Guards against wrong settings that start a node, and errors that do not name
// line and key.
func TestInvalidAgentSettings(t *testing.T) {
	for want, change := range map[string][2]string{
		"s.toml:5: memory":              {"memory = 284", "memory = 4"},
		"s.toml:4: store":               {`store = "10.0.0.1:80"`, `store = "host"`},
		"s.toml:14: addresses.ports":    {"[7000, 7015]", "[7000]"},
		"limits.hedges":                 {"slack = 56", "slack = 56\nhedges = 0.11"}, // over the default ratio
		"s.toml:16: limits.drain":       {`"3s"`, `"3"`},
		"required key is missing":       {`ip = "10.0.0.2"`, ``},
		"unknown key":                   {`region = "r"`, "region = \"r\"\nseed = 1"},
		"addresses.called":              {`ip = "10.0.0.2"`, "ip = \"10.0.0.2\"\ncalled = \"host\""},
		"limits.hold":                   {`drain = "3s"`, `hold = "2s"`},
		"limits.link":                   {`link = 10.5`, `link = -1`},
		"limits.header":                 {`link = 10.5`, `header = 100`},
		"limits.connections":            {`link = 10.5`, `connections = -1`},
		"more than limits.connections":  {`link = 10.5`, "connections = 10\nclient_connections = 11"},
		"limits.pause":                  {`link = 10.5`, `pause = "0s"`},
		"limits.rate":                   {`link = 10.5`, `rate = -1`},
		"limits.link: must be a finite": {`link = 10.5`, `link = nan`},
	} {
		_, err := ParseAgent("s.toml", []byte(strings.Replace(agentText, change[0], change[1], 1)))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("error is %v, want %q", err, want)
		}
	}
}

// TestAgentRegions guards against nodes that start with a region of their data centre
// which the site's table contradicts, and against limits of cold targets without meaning.
func TestAgentRegions(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"region of the own data centre differs", "[regions]\na = \"rivers\"", "regions.a"},
		{"name is not a word", "[regions]\nnembe = \"a b\"", "regions.nembe"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseAgent("agent.toml", []byte(agentText+c.line+"\n"))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error is %v, want one that names %s", err, c.want)
			}
		})
	}
}
