package conf

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"
)

// Agent is the settings of a node that finds everything else through the
// platform's store: its own addresses, its target and the store.
type Agent struct {
	Name       string       `toml:"name,required"`
	DataCentre string       `toml:"data_centre,required"`
	Region     string       `toml:"region,required"`
	Target     AgentTarget  `toml:"target,required"`
	Addresses  AgentAddress `toml:"addresses,required"`
	Store      string       `toml:"store,required"` // IP address and port
	// Memory is the bound on the process's memory in MiB.
	Memory int `toml:"memory,required"`
	// Regions names the region of each data centre of the site. Without it, the names in the
	// rules are not checked.
	Regions map[string]string `toml:"regions"`
	Limits  AgentLimits       `toml:"limits"`
	Log     Log               `toml:"log"`
}

// AgentLimits are the bounds that a site sets to its nodes.
type AgentLimits struct {
	Drain time.Duration `toml:"drain"` // in which a target that leaves may still get requests
	Stop  time.Duration `toml:"stop"`  // from a stop signal to the end of the process
	Hold  time.Duration `toml:"hold"`  // longest hold of keys that a target accepts
	Ratio float64       `toml:"ratio"` // requests sent to targets once more, per request of a service
	Slack float64       `toml:"slack"` // requests sent once more besides, over all nodes
	// Hedges is the share of a service's requests that may be sent a second time because
	// they are slow, 0 for none.
	Hedges float64 `toml:"hedges"`
	Link   float64 `toml:"link"` // rate of the host's link in Mbit/s, 0 for no limit
	// A cold target gets at most its rate times ColdFactor and ColdSlack requests in any second.
	ColdFactor float64 `toml:"cold_factor"`
	ColdSlack  float64 `toml:"cold_slack"`
	// Evacuation is the time from the acknowledgement of an evacuation until no request
	// reaches targets of the data centre.
	Evacuation time.Duration `toml:"evacuation"`
	// Bounds on clients.
	Header            int           `toml:"header"`             // request line and headers of a request, in bytes
	Connections       int           `toml:"connections"`        // of callers, 0 for a number by memory and descriptors
	ClientConnections int           `toml:"client_connections"` // of one address of callers, 0 for three quarters of all
	Pause             time.Duration `toml:"pause"`              // in which nothing of a body or an answer moves
	Rate              int           `toml:"rate"`               // least mean rate of a body or an answer, in bytes a second
}

// defaultLimits are the bounds of the first two sites.
var defaultLimits = AgentLimits{
	Drain: 2 * time.Second, Stop: 6 * time.Second, Hold: 10 * time.Second, Ratio: 0.1, Slack: 10,
	ColdFactor: 1, Evacuation: 5 * time.Second,
	// Heads of the platform have 16 KiB at most; net/http counts a little more than them. A
	// body of 64 MiB takes a minute at 10 Mbit/s, a thousand times the rate.
	Header: 20 << 10, Pause: 30 * time.Second, Rate: 1 << 10,
}

// AgentTarget is the target beside the node.
type AgentTarget struct {
	Service string `toml:"service,required"`
	Address string `toml:"address,required"`
}

// AgentAddress are the addresses on which a node listens.
type AgentAddress struct {
	IP     string `toml:"ip,required"`
	Caller string `toml:"caller,required"` // of callers on the same machine
	Ready  string `toml:"ready,required"`  // of questions whether the node takes callers
	Target string `toml:"target,required"` // of the target's heartbeats
	// Called is the address by which other nodes call this one, if it is not that on
	// which it listens, as behind a port mapping.
	Called string `toml:"called"`
	// Ports are the first and last port for calls between nodes and for metrics.
	Ports []int `toml:"ports,required"`
}

// Peer returns the address that other nodes call.
func (a AgentAddress) Peer() string { return cmp.Or(a.Called, a.Internal()) }

// Internal returns the address on which the calls of other nodes arrive.
func (a AgentAddress) Internal() string { return a.IP + ":" + strconv.Itoa(a.Ports[0]) }

// Metrics returns the address for metrics.
func (a AgentAddress) Metrics() string { return a.IP + ":" + strconv.Itoa(a.Ports[1]) }

// Equal reports whether two settings are the same.
func (s Agent) Equal(o Agent) bool { return reflect.DeepEqual(s, o) }

// ParseAgent reads the settings of a node on the platform. The name of the file
// is used in errors only.
func ParseAgent(name string, b []byte) (Agent, error) {
	s := Agent{Limits: defaultLimits, Log: Log{Format: "json", Level: "info"}}
	c := read(name, b, &s)
	c.word("name", s.Name, false)
	c.word("data_centre", s.DataCentre, false)
	c.word("region", s.Region, false)
	c.word("target.service", s.Target.Service, false)
	for _, a := range []struct{ key, value string }{
		{"target.address", s.Target.Address},
		{"addresses.caller", s.Addresses.Caller},
		{"addresses.ready", s.Addresses.Ready},
		{"addresses.target", s.Addresses.Target},
		{"store", s.Store},
	} {
		c.address(a.key, a.value)
	}
	if s.Addresses.Called != "" {
		c.address("addresses.called", s.Addresses.Called)
	}
	if p := s.Addresses.Ports; !c.reported("addresses.ports") && (len(p) != 2 || p[0] < 1 || p[1] <= p[0] || p[1] > 65535) {
		c.add("addresses.ports", "%v is not a first and a last port", p)
	}
	c.between("memory", s.Memory, minMemory, 1<<20)
	c.duration("limits.drain", s.Limits.Drain, 0, time.Minute)
	c.duration("limits.stop", s.Limits.Stop, time.Second, time.Minute)
	c.duration("limits.hold", s.Limits.Hold, minHold, time.Minute)
	if s.Limits.Ratio < 0 || s.Limits.Ratio > 1 {
		c.add("limits.ratio", "%v is out of range, must be from 0 to 1", s.Limits.Ratio)
	}
	if f := s.Limits.Hedges; !(f >= 0 && f <= s.Limits.Ratio) {
		c.add("limits.hedges", "%v is out of range, must be from 0 to limits.ratio, %v", f, s.Limits.Ratio)
	}
	if f := s.Limits.ColdFactor; !(f > 0 && f <= maxColdFactor) {
		c.add("limits.cold_factor", "%v is out of range, must be over 0 and at most %v", f, maxColdFactor)
	}
	if f := s.Limits.ColdSlack; !(f >= 0 && f <= maxColdSlack) {
		c.add("limits.cold_slack", "%v is out of range, must be from 0 to %v", f, maxColdSlack)
	}
	c.between("limits.header", s.Limits.Header, minHeader, 1<<20)
	c.between("limits.connections", s.Limits.Connections, 0, 1<<20)
	c.between("limits.client_connections", s.Limits.ClientConnections, 0, 1<<20)
	if all := s.Limits.Connections; all > 0 && s.Limits.ClientConnections > all {
		c.add("limits.client_connections", "%d is more than limits.connections, which is %d", s.Limits.ClientConnections, all)
	}
	c.duration("limits.pause", s.Limits.Pause, time.Second, 10*time.Minute)
	c.between("limits.rate", s.Limits.Rate, 0, 1<<20)
	c.duration("limits.evacuation", s.Limits.Evacuation, time.Second, time.Minute)
	for _, dc := range slices.Sorted(maps.Keys(s.Regions)) {
		c.word("regions."+dc, s.Regions[dc], false)
	}
	if region, ok := s.Regions[s.DataCentre]; ok && region != s.Region {
		c.add("regions."+s.DataCentre, "%q is not the region %q of this node", region, s.Region)
	}
	if !(s.Limits.Link >= 0 && s.Limits.Link <= maxLink) {
		c.add("limits.link", "%v is out of range, must be from 0 to %v", s.Limits.Link, maxLink)
	}
	c.choice("log.format", s.Log.Format, "auto", "text", "json")
	c.choice("log.level", s.Log.Level, "debug", "info", "warn", "error")
	if err := c.result(); err != nil {
		return Agent{}, err
	}
	return s, nil
}

// minHold is the longest hold that nodes grant.
const minHold = 2500 * time.Millisecond

// minHeader is the least bound on the head of a request in bytes: callers send an id, a
// deadline, a key and their own headers.
const minHeader = 4 << 10

// maxLink is the greatest rate of a link in Mbit/s.
const maxLink = 1e6

// maxColdFactor and maxColdSlack bound the settings for cold targets.
const (
	maxColdFactor = 100
	maxColdSlack  = 1e4
)

// minMemory is the least memory of a node in MiB: an idle one takes 20.
const minMemory = 48
