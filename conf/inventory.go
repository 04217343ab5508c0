package conf

import "fmt"

// HostState is where a host stands in its life.
type HostState string

// Host states.
const (
	InUse   HostState = "in-use"  // owns keys and receives more
	Spare   HostState = "spare"   // owns no keys until the operators put it in use
	Frozen  HostState = "frozen"  // keeps its keys and receives no more
	Leaving HostState = "leaving" // its keys are moved away
)

// Serves reports whether a host in this state counts as capacity.
func (s HostState) Serves() bool { return s == InUse || s == Frozen }

// Inventory lists the hosts that the operators hold.
type Inventory struct {
	Head
	Hosts []Host `toml:"host"`

	byName map[string]*Host
}

// Host is one host of the inventory.
type Host struct {
	Name       string    `toml:"name,required"`
	DataCentre string    `toml:"data_centre,required"`
	Region     string    `toml:"region,required"`
	State      HostState `toml:"state,required"`
	// Slots and Connections are the capacity of the host's target.
	Slots       int `toml:"slots,required"`
	Connections int `toml:"connections,required"`
}

// Kind implements Document.
func (*Inventory) Kind() Kind { return KindInventory }

// Host returns the named host.
func (v *Inventory) Host(name string) (*Host, bool) {
	h, ok := v.byName[name]
	return h, ok
}

// Slots returns the capacity of the hosts that serve.
func (v *Inventory) Slots() int {
	n := 0
	for _, h := range v.Hosts {
		if h.State.Serves() {
			n += h.Slots
		}
	}
	return n
}

// ParseInventory reads an inventory. The name of the file is used in errors only.
func ParseInventory(name string, b []byte) (*Inventory, error) {
	v := &Inventory{byName: make(map[string]*Host)}
	c := read(name, b, v)
	c.head(v.Head)
	regions := make(map[string]string)
	for i := range v.Hosts {
		h := &v.Hosts[i]
		key := func(field string) string { return fmt.Sprintf("host[%d].%s", i, field) }
		c.word(key("name"), h.Name, false)
		c.word(key("data_centre"), h.DataCentre, false)
		c.word(key("region"), h.Region, false)
		c.choice(key("state"), string(h.State), string(InUse), string(Spare), string(Frozen), string(Leaving))
		c.between(key("slots"), h.Slots, 1, 1_000_000)
		c.between(key("connections"), h.Connections, 1, 1_000_000)
		if _, ok := v.byName[h.Name]; ok && h.Name != "" {
			c.add(key("name"), "duplicate host %q", h.Name)
		}
		v.byName[h.Name] = h
		if r, ok := regions[h.DataCentre]; ok && r != h.Region && h.Region != "" {
			c.add(key("region"), "data centre %q is in region %q at an earlier host", h.DataCentre, r)
		} else if h.Region != "" {
			regions[h.DataCentre] = h.Region
		}
	}
	if err := c.result(); err != nil {
		return nil, err
	}
	return v, nil
}
