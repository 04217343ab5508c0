package conf

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"
)

// Rules state how the services are partitioned, which requests must never be
// repeated and how much traffic may cross the paid link.
type Rules struct {
	Head
	// TenantHeader names the header that identifies the tenant of a request.
	TenantHeader string `toml:"tenant_header"`
	// TakeoverDelay is the wait before a host without a lease is marked, for
	// services that state no delay of their own.
	TakeoverDelay time.Duration `toml:"takeover_delay"`
	Weights       Weights       `toml:"weights"`
	Limits        Limits        `toml:"limits"`
	Links         []Link        `toml:"link"`
	Services      []Service     `toml:"service"`

	byName map[string]*Service
}

// Weights are the relative importance of the three metrics.
type Weights struct {
	Imbalance   float64 `toml:"imbalance"`
	Churn       float64 `toml:"churn"`
	Unavailable float64 `toml:"unavailable"`
}

// Limits bound what a node accepts.
type Limits struct {
	Body  Size `toml:"body"`  // of a request or response that is buffered
	Queue int  `toml:"queue"` // requests that wait for a slot
	// Slots and Connections override what targets report; zero does not.
	Slots       int     `toml:"slots"`
	Connections int     `toml:"connections"`
	RetryShare  float64 `toml:"retry_share"` // retries per first attempt
	// Skew bounds the difference of two hosts' clocks.
	Skew time.Duration `toml:"skew"`
}

// Link is the budget of the paid link between two regions.
type Link struct {
	Regions []string `toml:"regions,required"`
	Rate    Rate     `toml:"rate,required"` // in each direction
}

// Service is a group of targets that serve the same paths.
type Service struct {
	Name  string `toml:"name,required"`
	Keyed bool   `toml:"keyed,required"`
	// KeyFrom locates the key of a request to a keyed service.
	KeyFrom KeyFrom `toml:"key"`
	// Shards is fixed when the service is created.
	Shards        int           `toml:"shards"`
	TakeoverDelay time.Duration `toml:"takeover_delay"`
	Classes       []Class       `toml:"class"`

	ordered []*Class // in the order in which Match tries them
}

// KeyFrom locates the key of a request.
type KeyFrom struct {
	From    string `toml:"from,required"` // path, header or query
	Segment int    `toml:"segment"`       // of the path; the service's name is segment 1
	Name    string `toml:"name"`          // of the header or query parameter
}

// Class is a kind of request within a service.
type Class struct {
	Name    string   `toml:"name,required"`
	Methods []string `toml:"methods,required"` // "*" stands for any method
	// Prefix is compared by whole segments with the path after the service's name.
	Prefix string `toml:"prefix"`
	// Once says that a request must never run twice. It then needs an id.
	Once bool `toml:"once,required"`
	// Priority orders classes; the lowest is shed first.
	Priority int           `toml:"priority"`
	Deadline time.Duration `toml:"deadline"`
	// Retention is how long the ids of a once-only class are kept.
	Retention time.Duration `toml:"retention"`
}

// noDelay marks a service that states no takeover_delay.
const noDelay = -1

func (s *Service) setDefaults() { s.TakeoverDelay = noDelay }

func (c *Class) setDefaults() {
	*c = Class{Prefix: "/", Priority: 5, Deadline: time.Second, Retention: 10 * time.Minute}
}

// Kind implements Document.
func (*Rules) Kind() Kind { return KindRules }

// Service returns the named service.
func (r *Rules) Service(name string) (*Service, bool) {
	s, ok := r.byName[name]
	return s, ok
}

// Link returns the budget between two regions, in either order. Without a rule
// there is no budget and ok is false.
func (r *Rules) Link(a, b string) (rate Rate, ok bool) {
	for _, l := range r.Links {
		if l.Regions[0] == a && l.Regions[1] == b || l.Regions[0] == b && l.Regions[1] == a {
			return l.Rate, true
		}
	}
	return 0, false
}

// ParseRules reads rules. The name of the file is used in errors only.
func ParseRules(name string, b []byte) (*Rules, error) {
	r := &Rules{
		Weights: Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
		Limits:  Limits{Body: 1 << 20, Queue: 256, RetryShare: 0.1, Skew: 250 * time.Millisecond},
		byName:  make(map[string]*Service),
	}
	c := read(name, b, r)
	c.head(r.Head)
	c.header("tenant_header", r.TenantHeader, true)
	c.duration("takeover_delay", r.TakeoverDelay, 0, time.Hour)
	c.weights(r.Weights)
	c.limits(r.Limits)
	c.links(r.Links)
	for i := range r.Services {
		s := &r.Services[i]
		key := fmt.Sprintf("service[%d]", i)
		if _, ok := r.byName[s.Name]; ok && s.Name != "" {
			c.add(key+".name", "duplicate service %q", s.Name)
		}
		r.byName[s.Name] = s
		if s.TakeoverDelay == noDelay {
			s.TakeoverDelay = r.TakeoverDelay
		}
		c.service(key, s)
		s.compile()
	}
	if err := c.result(); err != nil {
		return nil, err
	}
	return r, nil
}

func (c *checker) weights(w Weights) {
	for _, e := range []struct {
		key   string
		value float64
	}{{"imbalance", w.Imbalance}, {"churn", w.Churn}, {"unavailable", w.Unavailable}} {
		if e.value < 0 || e.value > 1000 {
			c.add("weights."+e.key, "%v is out of range, must be from 0 to 1000", e.value)
		}
	}
	if w == (Weights{}) {
		c.add("weights", "at least one weight must be above 0")
	}
}

func (c *checker) limits(l Limits) {
	if (l.Body < 1<<10 || l.Body > 1<<20) && !c.reported("limits.body") {
		c.add("limits.body", "%v is out of range, must be from 1KiB to 1MiB", l.Body)
	}
	c.between("limits.queue", l.Queue, 1, 100_000)
	c.between("limits.slots", l.Slots, 0, 1_000_000)
	c.between("limits.connections", l.Connections, 0, 1_000_000)
	if l.RetryShare < 0 || l.RetryShare > 0.2 {
		c.add("limits.retry_share", "%v is out of range, must be from 0 to 0.2", l.RetryShare)
	}
	c.duration("limits.skew", l.Skew, time.Millisecond, 5*time.Second)
}

func (c *checker) links(links []Link) {
	seen := make(map[[2]string]bool)
	for i, l := range links {
		key := fmt.Sprintf("link[%d]", i)
		for j, region := range l.Regions {
			c.word(fmt.Sprintf("%s.regions[%d]", key, j), region, false)
		}
		if l.Rate <= 0 && !c.reported(key+".rate") {
			c.add(key+".rate", "%v is out of range, must be above 0bit/s", l.Rate)
		}
		if len(l.Regions) != 2 || l.Regions[0] == l.Regions[1] {
			if !c.reported(key + ".regions") {
				c.add(key+".regions", "must name two different regions")
			}
			continue
		}
		pair := [2]string{min(l.Regions[0], l.Regions[1]), max(l.Regions[0], l.Regions[1])}
		if seen[pair] {
			c.add(key+".regions", "duplicate link between %q and %q", pair[0], pair[1])
		}
		seen[pair] = true
	}
}

// Shard counts are multiples of a page record's 1,024 shards. 65,536 is the
// count of the large fleet in docs/design.md.
const (
	minShards = 1024
	maxShards = 65536
)

func (c *checker) service(key string, s *Service) {
	c.word(key+".name", s.Name, false)
	if s.TakeoverDelay != noDelay {
		c.duration(key+".takeover_delay", s.TakeoverDelay, 0, time.Hour)
	}
	_, hasKey := c.lines[key+".key"]
	_, hasShards := c.lines[key+".shards"]
	switch {
	case s.Keyed && !hasKey:
		c.add(key+".key", "required key is missing, a keyed service states where its key is")
	case s.Keyed:
		c.keyFrom(key+".key", s.KeyFrom)
	case hasKey || hasShards:
		c.add(key, "key and shards are allowed only with keyed = true")
	}
	if s.Keyed && (s.Shards < minShards || s.Shards > maxShards || s.Shards&(s.Shards-1) != 0) && !c.reported(key+".shards") {
		c.add(key+".shards", "%d is not allowed, must be a power of two from %d to %d", s.Shards, minShards, maxShards)
	}
	if len(s.Classes) == 0 {
		c.add(key+".class", "a service needs at least one class")
	}
	names := make(map[string]bool)
	matches := make(map[string]string)
	for i := range s.Classes {
		class := &s.Classes[i]
		at := fmt.Sprintf("%s.class[%d]", key, i)
		c.class(at, class)
		if names[class.Name] && class.Name != "" {
			c.add(at+".name", "duplicate class %q", class.Name)
		}
		names[class.Name] = true
		for _, m := range class.Methods {
			if other, ok := matches[m+" "+class.Prefix]; ok {
				c.add(at+".methods", "%s %s is already matched by class %q", m, class.Prefix, other)
			}
			matches[m+" "+class.Prefix] = class.Name
		}
	}
}

func (c *checker) keyFrom(key string, k KeyFrom) {
	if c.reported(key) {
		return
	}
	c.choice(key+".from", k.From, "path", "header", "query")
	if k.From == "path" {
		c.between(key+".segment", k.Segment, 2, 16)
	} else if k.Segment != 0 {
		c.add(key+".segment", `is allowed only with from = "path"`)
	}
	switch k.From {
	case "path":
		if k.Name != "" {
			c.add(key+".name", `is allowed only with from = "header" or "query"`)
		}
	case "header":
		c.header(key+".name", k.Name, false)
	case "query":
		c.word(key+".name", k.Name, false)
		if k.Name == "" && !c.reported(key+".name") {
			c.add(key+".name", "required key is missing")
		}
	}
}

var (
	tokens   = regexp.MustCompile(`^[!#$%&'*+.^_|~0-9A-Za-z-]{1,64}$`)
	methods  = regexp.MustCompile(`^(\*|[A-Z][A-Z-]{0,31})$`)
	prefixes = regexp.MustCompile(`^(/|(/[^/?#]+)+)$`)
)

func (c *checker) header(key, name string, optional bool) {
	if optional && name == "" || c.reported(key) {
		return
	}
	if !tokens.MatchString(name) {
		c.add(key, "%q is not the name of an HTTP header", name)
	}
}

func (c *checker) class(key string, class *Class) {
	c.word(key+".name", class.Name, false)
	if len(class.Methods) == 0 && !c.reported(key+".methods") {
		c.add(key+".methods", `must name at least one method, or "*"`)
	}
	for i, m := range class.Methods {
		if at := fmt.Sprintf("%s.methods[%d]", key, i); !methods.MatchString(m) && !c.reported(at) {
			c.add(at, `%q is not a method in capitals or "*"`, m)
		}
	}
	if !prefixes.MatchString(class.Prefix) || !canonical(class.Prefix) {
		c.add(key+".prefix", `%q is not allowed, must be "/" or begin with / and not end with it`, class.Prefix)
	}
	c.between(key+".priority", class.Priority, 1, 9)
	c.duration(key+".deadline", class.Deadline, time.Millisecond, 10*time.Minute)
	c.duration(key+".retention", class.Retention, time.Second, 24*time.Hour)
	if _, ok := c.lines[key+".retention"]; ok && !class.Once {
		c.add(key+".retention", "is allowed only with once = true")
	}
	if class.Once && class.Deadline >= class.Retention {
		c.add(key+".deadline", "%v is not under the retention of %v", class.Deadline, class.Retention)
	}
}

// canonicalHeader returns the form in which net/http stores a header.
func canonicalHeader(name string) string { return http.CanonicalHeaderKey(strings.TrimSpace(name)) }
