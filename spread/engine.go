// Package spread decides how records are replicated between nodes: which nodes
// watch the store, which nodes a change is sent to, and what two nodes with
// different versions exchange. It does no I/O and starts no goroutine; time,
// messages and results come in through the methods of Engine, and its actions
// go out through Effects.
package spread

import (
	"math/rand/v2"
	"strings"
	"time"

	"burdocklift/proto"
	"burdocklift/store"
)

const (
	// digestInterval is how often a node compares versions with a random host
	// of its data centre.
	digestInterval = 2 * time.Second
	// bootstrapInterval replaces digestInterval until the node has learned all records.
	bootstrapInterval = 250 * time.Millisecond
	// sameRegionInterval and crossRegionInterval are how often a relay
	// compares versions with a relay of another data centre, in its own
	// region and in other regions.
	sameRegionInterval  = 4 * time.Second
	crossRegionInterval = 30 * time.Second
	// listInterval is how often the first relay of a data centre lists the
	// store for new keys. A host that becomes a relay starts at
	// firstListInterval and doubles the interval up to listInterval.
	listInterval      = 30 * time.Second
	firstListInterval = time.Second
	// checkInterval is the mean time between two reads of a document by hosts that are not
	// relays, over the whole fleet. They find a change that the store tells none of the relays.
	checkInterval = 250 * time.Millisecond
	// gossipInterval is the upper bound of the random delay after which a
	// node announces the versions that are new to it, and gossipFanout the
	// number of random hosts of its data centre that it announces them to.
	// Digests alone took up to 7.4 s at 1,200 hosts when 5% of the datagrams
	// were lost.
	gossipInterval = 500 * time.Millisecond
	gossipFanout   = 2
	// maxGossipPairs limits the versions in one announcement, so that it fits
	// one datagram.
	maxGossipPairs = 24
	// fetchDelay is how long a node waits for an announced version to arrive
	// by push before it fetches it. The delay avoids sending a version over
	// the paid link twice.
	fetchDelay = 200 * time.Millisecond
	// refetchDelay is the delay after which an unanswered fetch is repeated.
	refetchDelay = 500 * time.Millisecond
)

// addressPrefix is the prefix of the name of a host that is known only by its
// control address.
const addressPrefix = "@"

// AddressID returns the identifier of a node that is not a member, by its
// control address.
func AddressID(control string) proto.HostID { return proto.HostID{Name: addressPrefix + control} }

// Config is the configuration of an engine.
type Config struct {
	Place   proto.Place
	Control string   // own control address
	Seeds   []string // control addresses of any nodes
	Rand    *rand.Rand
}

// Effects receives the actions of the engine. Its methods must not call back
// into the engine.
type Effects interface {
	// Send sends a message, which may be lost, delayed or duplicated.
	Send(to proto.HostID, m proto.Message)
	// Watch starts a blocking query on a key; its results are passed to
	// Watched.
	Watch(key string, index uint64)
	// Unwatch ends the query on a key.
	Unwatch(key string)
	// List reads all records; the result is passed to Listed.
	List()
	// Get reads a record; a result is passed to Watched.
	Get(key string)
	// Apply receives a record that is newer than all earlier ones of its key.
	Apply(r store.Record)
	// Configured receives the configuration documents after a change of their
	// state.
	Configured(d Documents)
}

// versionSource is the origin of a version.
type versionSource uint8

const (
	fromStore  versionSource = iota // read by this node for other reasons
	fromWatch                       // blocking query or list of a relay
	fromWriter                      // written by this node
	fromPush                        // pushed by another node along the distribution tree
	fromRepair                      // sent by another node in response to a digest or a fetch
)

// pendingFetch is a version to fetch from a node that is known to have it.
type pendingFetch struct {
	index uint64
	from  proto.HostID
	at    time.Time // when to fetch it
}

// Engine holds the newest records and replicates changes. It is not safe for
// concurrent use.
type Engine struct {
	cfg           Config
	self          proto.HostID
	table         table
	groups        map[string][]host
	layout        layout
	layoutStale   bool // a group has changed since the layout was built
	ownDataCentre dataCentreHosts

	isRelay         bool
	watched         map[string]bool
	listing         bool
	nextList        time.Time
	listBackoff     time.Duration
	nextDigest      time.Time
	nextSameRegion  time.Time
	nextCrossRegion time.Time
	pending         map[string]pendingFetch
	gossipPairs     []proto.Pair // learned since the last announcement to random hosts
	nextGossip      time.Time
	nextCheck       time.Time
	documents       Documents
	ready           bool
}

// New returns an engine that knows no records.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:     cfg,
		self:    AddressID(cfg.Control),
		groups:  make(map[string][]host),
		watched: make(map[string]bool),
		pending: make(map[string]pendingFetch),
	}
}

// SetSelf sets the identifier of the local host once it is a member.
func (e *Engine) SetSelf(now time.Time, id proto.HostID, fx Effects) {
	if id.IsZero() {
		id = AddressID(e.cfg.Control)
	}
	if e.self == id {
		return
	}
	joined := !strings.HasPrefix(id.Name, addressPrefix)
	e.self, e.layoutStale = id, true
	e.refresh(now, fx)
	if !joined {
		return
	}
	// If two hosts join at the same time, the later writer finds the record
	// of the other in this list, and informs it with the digest that follows.
	e.list(fx)
}

// Relay reports whether the host is a relay of its data centre.
func (e *Engine) Relay() bool { return e.isRelay }

// Ready reports whether all records were learned from the store or a peer.
func (e *Engine) Ready() bool { return e.ready }

// Documents returns the state of the configuration documents.
func (e *Engine) Documents() Documents { return e.documents.clone() }

// Index returns the newest known index of a record, or zero.
func (e *Engine) Index(key string) uint64 { return e.table.index(key) }

// learn stores a version if it is newer than the known one, and forwards it as
// its source requires.
func (e *Engine) learn(now time.Time, r store.Record, delta []byte, src versionSource, fx Effects) {
	if !isReplicated(r.Key) || !e.table.put(r, delta) {
		return
	}
	if w, ok := e.pending[r.Key]; ok && w.index <= r.Index {
		delete(e.pending, r.Key)
	}
	if proto.IsGroupKey(r.Key) {
		if g, err := proto.DecodeGroup(r.Value); err == nil {
			e.groups[r.Key], e.layoutStale = liveHosts(g), true
		}
	}
	// The core already holds its own write.
	if src != fromWriter && !strings.HasPrefix(r.Key, validPrefix) {
		fx.Apply(r)
	}
	e.installDocument(now, r, fx)
	// The many records read at startup are followed by one refresh, in the
	// next tick.
	if src != fromStore && src != fromRepair {
		e.refresh(now, fx)
	}
	if strings.HasPrefix(r.Key, validPrefix) {
		return
	}
	if e.isRelay && !e.watched[r.Key] {
		e.watched[r.Key] = true
		fx.Watch(r.Key, r.Index)
	}
	if src == fromPush || e.isRelay && src != fromWriter {
		for _, to := range e.ownDataCentre.children(r.Key, e.self) {
			e.push(to, r.Key, fx)
		}
	}
	if src != fromStore && e.ready && len(e.gossipPairs) < maxGossipPairs {
		if len(e.gossipPairs) == 0 {
			e.nextGossip = now.Add(time.Duration(e.cfg.Rand.Int64N(int64(gossipInterval))))
		}
		e.gossipPairs = append(e.gossipPairs, proto.Pair{Key: r.Key, Index: r.Index})
	}
	if src == fromWatch {
		e.announce(r, fx)
	}
}

// push sends a record to a host that probably has the previous version.
func (e *Engine) push(to proto.HostID, key string, fx Effects) {
	if u, ok := e.table.update(key, e.table.versions[key].base, false); ok {
		fx.Send(to, u)
	}
}

// announce informs the first relays of the other data centres, and that of its own if this
// host is no relay, of a version read from the store. They fetch it only if it does not
// arrive by push.
func (e *Engine) announce(r store.Record, fx Effects) {
	m := proto.Pairs{Have: []proto.Pair{{Key: r.Key, Index: r.Index}}}
	for _, s := range e.layout.dataCentres {
		if s.place.DataCentre != e.cfg.Place.DataCentre || !e.isRelay {
			fx.Send(s.relays[0], m)
		}
	}
}

// Wrote handles a record that this node has written: it sends it to the urgent
// hosts, to the relays of its region and to one relay of each other data
// centre.
func (e *Engine) Wrote(now time.Time, r store.Record, urgent []proto.HostID, fx Effects) {
	e.learn(now, r, nil, fromWriter, fx)
	if e.table.index(r.Key) != r.Index {
		return
	}
	sent := map[proto.HostID]bool{e.self: true}
	send := func(to proto.HostID) {
		if !sent[to] {
			sent[to] = true
			e.push(to, r.Key, fx)
		}
	}
	for _, id := range urgent {
		send(id)
	}
	if e.isRelay {
		for _, id := range e.ownDataCentre.children(r.Key, e.self) {
			send(id)
		}
	}
	for _, s := range e.layout.dataCentres {
		relays := s.relays
		if s.place.Region != e.cfg.Place.Region {
			relays = relays[:1]
		}
		for _, id := range relays {
			send(id)
		}
	}
}

// Read handles records that this node has read from the store for other
// reasons. all reports whether they are all records of the store.
func (e *Engine) Read(now time.Time, records []store.Record, all bool, fx Effects) {
	for _, r := range records {
		e.learn(now, r, nil, fromStore, fx)
	}
	e.refresh(now, fx)
	if all {
		e.becomeReady(now, fx)
	}
}

// Listed handles the result of Effects.List.
func (e *Engine) Listed(now time.Time, records []store.Record, err error, fx Effects) {
	e.listing = false
	if err != nil {
		return
	}
	src := fromStore
	if e.isRelay {
		src = fromWatch
	}
	for _, r := range records {
		e.learn(now, r, nil, src, fx)
	}
	e.refresh(now, fx)
	e.becomeReady(now, fx)
	// The relays may lack this host's record if it was written before they
	// were known.
	if e.isRelay {
		return
	}
	for _, s := range e.layout.dataCentres {
		e.sendDigest(s.relays[0], fx)
	}
}

// Watched handles a result of a blocking query.
func (e *Engine) Watched(now time.Time, r store.Record, fx Effects) {
	e.learn(now, r, nil, fromWatch, fx)
}

// refresh rebuilds the layout after a change of a group, and starts or stops
// the relay role of this host.
func (e *Engine) refresh(now time.Time, fx Effects) {
	if !e.layoutStale {
		return
	}
	e.layoutStale = false
	e.layout = newLayout(e.groups)
	e.ownDataCentre = e.layout.dataCentre(e.cfg.Place.DataCentre)
	relay := false
	for _, id := range e.ownDataCentre.relays {
		relay = relay || id == e.self
	}
	if relay == e.isRelay {
		return
	}
	e.isRelay = relay
	if !relay {
		for key := range e.watched {
			fx.Unwatch(key)
		}
		clear(e.watched)
		return
	}
	for _, key := range e.table.storeKeys() {
		e.watched[key] = true
		fx.Watch(key, e.table.index(key))
	}
	e.listBackoff = firstListInterval
	e.nextList = now
}
