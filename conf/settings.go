package conf

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"burdocklift/proto"
)

// Settings are what a node process learns from its own file. The timing of
// leases is no part of them, as it must be equal on all nodes.
type Settings struct {
	Name       string `toml:"name,required"`
	DataCentre string `toml:"data_centre,required"`
	Region     string `toml:"region,required"`
	// Store is the base URL of the platform's service.
	Store string `toml:"store,required"`
	// TokenFile holds the operators' token.
	TokenFile string    `toml:"token_file,required"`
	Addresses Addresses `toml:"addresses,required"`
	// Seeds are control addresses of any nodes. A node that starts while the
	// store is down learns all records through them.
	Seeds  []string `toml:"seeds"`
	Target Target   `toml:"target"`
	Log    Log      `toml:"log"`
}

// Addresses are the four addresses of a node, each an IP address and port.
type Addresses struct {
	Caller   string `toml:"caller,required"`
	Peer     string `toml:"peer,required"`
	Control  string `toml:"control,required"`
	Operator string `toml:"operator,required"`
}

// Target fixes what the target otherwise announces itself. Both keys are
// empty, or both are set.
type Target struct {
	Service string `toml:"service"`
	Address string `toml:"address"`
}

// Log selects the form and the lowest level of the log.
type Log struct {
	Format string `toml:"format"` // auto, text or json
	Level  string `toml:"level"`  // debug, info, warn or error
}

// Place returns where the node stands.
func (s Settings) Place() proto.Place {
	return proto.Place{DataCentre: s.DataCentre, Region: s.Region}
}

// Proto returns the addresses as stored in a member record.
func (a Addresses) Proto() proto.Addresses {
	return proto.Addresses{Caller: a.Caller, Peer: a.Peer, Control: a.Control, Operator: a.Operator}
}

// ParseSettings reads the settings of a node. The name of the file is used in
// errors only.
func ParseSettings(name string, b []byte) (Settings, error) {
	s := Settings{Log: Log{Format: "auto", Level: "info"}}
	c := read(name, b, &s)
	c.word("name", s.Name, false)
	c.word("data_centre", s.DataCentre, false)
	c.word("region", s.Region, false)
	if s.Store != "" {
		u, err := url.Parse(s.Store)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil || u.RawQuery != "" {
			c.add("store", "%q is not a URL such as http://10.0.0.5:8500", s.Store)
		}
	}
	seen := make(map[string]string)
	for _, a := range []struct{ key, value string }{
		{"addresses.caller", s.Addresses.Caller},
		{"addresses.peer", s.Addresses.Peer},
		{"addresses.control", s.Addresses.Control},
		{"addresses.operator", s.Addresses.Operator},
		{"target.address", s.Target.Address},
	} {
		c.address(a.key, a.value)
		if other, ok := seen[a.value]; ok && a.value != "" {
			c.add(a.key, "%s is already the address of %s", a.value, other)
		}
		seen[a.value] = a.key
	}
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.word("target.service", s.Target.Service, true)
	if (s.Target.Service == "") != (s.Target.Address == "") {
		c.add("target", "service and address must be set together")
	}
	c.choice("log.format", s.Log.Format, "auto", "text", "json")
	c.choice("log.level", s.Log.Level, "debug", "info", "warn", "error")
	if err := c.result(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// words are safe in store keys, URLs and log lines.
var words = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._@-]{0,62}$`)

// word checks a name. An empty name that is required was reported as missing,
// unless the key is there.
func (c *checker) word(key, value string, optional bool) {
	_, present := c.lines[key]
	if value == "" && (optional || !present) || words.MatchString(value) || c.reported(key) {
		return
	}
	c.add(key, "%q is not a name, allowed are up to 63 letters, digits and . _ @ -", value)
}

// reported tells whether the key already has a problem, so that its zero value
// is not reported again.
func (c *checker) reported(key string) bool {
	return slices.ContainsFunc(c.problems, func(p Problem) bool { return p.Key == key })
}

func (c *checker) address(key, value string) {
	if _, present := c.lines[key]; value == "" && !present || c.reported(key) {
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.add(key, "%q is not an IP address and port such as 10.0.0.1:8080", value)
	}
}

func (c *checker) choice(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) && !c.reported(key) {
		c.add(key, "%q is not allowed, must be one of %s", value, strings.Join(allowed, ", "))
	}
}

func (c *checker) between(key string, value, low, high int) {
	if (value < low || value > high) && !c.reported(key) {
		c.add(key, "%d is out of range, must be from %d to %d", value, low, high)
	}
}

func (c *checker) duration(key string, value, low, high time.Duration) {
	if (value < low || value > high) && !c.reported(key) {
		c.add(key, "%v is out of range, must be from %v to %v", value, low, high)
	}
}
