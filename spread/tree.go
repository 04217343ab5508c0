package spread

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"burdocklift/proto"
)

const (
	// relaysPerDataCentre is the number of hosts of a data centre that watch
	// the store. The second one covers the loss of the first until that is
	// marked.
	relaysPerDataCentre = 2
	// fanout is the number of hosts that a host forwards a change to. With 8,
	// a change reaches a data centre of 200 hosts in three hops from a relay.
	fanout = 8
)

// dataCentreHosts is the live hosts of one data centre, ordered by name.
type dataCentreHosts struct {
	place  proto.Place
	hosts  []proto.HostID
	relays []proto.HostID
}

// layout is the live hosts by data centre. It is rebuilt when a group changes.
type layout struct {
	dataCentres []dataCentreHosts
}

// host is the part of a member record that the layout depends on.
type host struct {
	id    proto.HostID
	place proto.Place
}

// liveHosts returns the members of a group that are not marked.
func liveHosts(g *proto.Group) []host {
	var hosts []host
	for _, m := range g.Members {
		if m.State != proto.Marked {
			hosts = append(hosts, host{m.ID, m.Place})
		}
	}
	return hosts
}

// newLayout builds the layout from the highest incarnation of each host.
func newLayout(groups map[string][]host) layout {
	newest := make(map[string]host)
	for _, g := range groups {
		for _, m := range g {
			if old, ok := newest[m.id.Name]; !ok || m.id.Incarnation > old.id.Incarnation {
				newest[m.id.Name] = m
			}
		}
	}
	centres := make(map[string]*dataCentreHosts)
	for _, m := range newest {
		s := centres[m.place.DataCentre]
		if s == nil {
			s = &dataCentreHosts{place: m.place}
			centres[m.place.DataCentre] = s
		}
		s.hosts = append(s.hosts, m.id)
	}
	var l layout
	for _, s := range centres {
		slices.SortFunc(s.hosts, func(a, b proto.HostID) int { return strings.Compare(a.Name, b.Name) })
		s.relays = rendezvousOrder("relay/"+s.place.DataCentre, s.hosts)
		s.relays = s.relays[:min(len(s.relays), relaysPerDataCentre)]
		l.dataCentres = append(l.dataCentres, *s)
	}
	slices.SortFunc(l.dataCentres, func(a, b dataCentreHosts) int { return strings.Compare(a.place.DataCentre, b.place.DataCentre) })
	return l
}

// dataCentre returns the hosts of a data centre, or an empty value if it is
// unknown.
func (l layout) dataCentre(dataCentre string) dataCentreHosts {
	for _, s := range l.dataCentres {
		if s.place.DataCentre == dataCentre {
			return s
		}
	}
	return dataCentreHosts{}
}

// rendezvousOrder returns the hosts in rendezvous order for a key.
func rendezvousOrder(key string, hosts []proto.HostID) []proto.HostID {
	type scored struct {
		id    proto.HostID
		score uint64
	}
	list := make([]scored, len(hosts))
	for i, id := range hosts {
		list[i] = scored{id, xxhash.Sum64String(key + "\x00" + id.Name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.id.Name, b.id.Name))
	})
	out := make([]proto.HostID, len(list))
	for i, s := range list {
		out[i] = s.id
	}
	return out
}

// children returns the hosts that a host forwards a change of a record to. The
// relays send to the first hosts in the rendezvous order of the key, and the
// host at position i sends to the hosts from position fanout*(i+1).
func (s dataCentreHosts) children(key string, self proto.HostID) []proto.HostID {
	order := rendezvousOrder(key, s.hosts)
	span := func(from int) []proto.HostID {
		return order[min(from, len(order)):min(from+fanout, len(order))]
	}
	var to []proto.HostID
	if slices.Contains(s.relays, self) {
		to = append(to, span(0)...)
	}
	if i := slices.Index(order, self); i >= 0 {
		to = append(to, span(fanout*(i+1))...)
	}
	return slices.DeleteFunc(to, func(id proto.HostID) bool { return id == self })
}
