// Package owner is the control core of a node: membership, the host's lease,
// takeover of lost hosts, and handover of shards. It is a deterministic state
// machine without I/O: time, messages and store results are passed to its methods,
// and its actions are calls of Effects.
package owner

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"burdocklift/lease"
	"burdocklift/proto"
	"burdocklift/shard"
	"burdocklift/store"
)

// Core is the control state of one node. It is not safe for concurrent use.
type Core struct {
	cfg               Config
	id                proto.HostID
	phase             Phase
	target            Target
	targetKnown       bool      // the local target has been set
	targetDown        bool      // the local target is down
	writingTargetDown bool      // a change of targetDown is being written
	downSince         time.Time // when the member record first showed the target as down
	leaveRequested    bool

	groups      cache[proto.Group]
	pages       cache[proto.Page]
	ops         map[uint64]func(time.Time, Result, Effects)
	nextOp      uint64
	seq         uint64
	storeFailed bool // the last store operation failed
	now         time.Time

	holder            *lease.Holder
	witness           *lease.Witness
	gate              *lease.Gate
	wasValid          bool
	nextRenew         time.Time
	nextLoad          time.Time
	nextWitnessCheck  time.Time
	writingWitnesses  bool           // a new witness set is being written
	proposed          []proto.HostID // a new witness set that has not granted the lease yet
	proposedAt        time.Time
	betterSetSince    time.Time            // when a better witness set was first seen
	regionLastHeard   map[string]time.Time // time of the last message, by remote region
	nextWitnessReview time.Time
	leavingSince      time.Time
	lastHeard         time.Time // time of the last message from another host
	fencedAt          time.Time
	rejoinAt          time.Time
	nextHandOver      time.Time
	aliases           map[proto.HostID]bool // incarnations that this process has joined under
	predecessors      map[proto.HostID]bool // earlier processes at this control address
	lastGrant         map[proto.HostID]time.Time
	excludedUntil     map[proto.HostID]time.Time

	silentSince map[proto.HostID]time.Time // start of the silence that this witness reports
	nextReport  time.Time
	suspicions  map[proto.HostID]*suspicion
	takeovers   map[proto.HostID]*takeover
	leaseEnded  map[proto.HostID]bool // hosts whose lease has certainly ended
	orphans     map[proto.HostID]*orphan
	nextScan    time.Time
	listing     bool
	reassigning map[string]bool // pages with a reassignment in flight
	scanDirty   bool            // members or owners have changed since the last scan for orphans

	services      map[string]uint32
	missingPages  map[string]time.Time // when a page was first found without a record, by key
	lastJoin      map[string]time.Time // time of the last join, by service
	moves         map[Ref]*move
	plannedMoves  map[Ref]proto.HostID // entries of this host that name a next owner
	pagesComplete bool                 // every page has a record

	movesDirty bool
	nextCreate time.Time

	pageOwners      map[string][]proto.HostID
	pagesOwned      map[proto.HostID]int // number of pages on which a host owns entries
	entryCountCache map[proto.HostID]int // result of entryCounts, or nil if not computed

	builder   shard.Builder
	view      *shard.View
	members   map[proto.HostID]proto.Member
	sortedIDs []proto.HostID // member IDs in order, or nil if not computed
	// witnessPreference holds the active hosts in this host's order of preference
	// as witnesses, or nil if not computed.
	witnessPreference []proto.HostID
	coordinatorOrder  map[string][]proto.HostID // coordinator candidates by data centre
	viewDirty         bool
	// hostsDirty is set when members have changed since the view was built.
	hostsDirty bool
}

// New returns a core in phase Loading, without any records.
func New(cfg Config) *Core {
	c := &Core{
		cfg:              cfg,
		ops:              make(map[uint64]func(time.Time, Result, Effects)),
		holder:           lease.NewHolder(cfg.Timing, 0),
		witness:          lease.NewWitness(cfg.Timing),
		gate:             lease.NewGate(cfg.ClockBase),
		aliases:          make(map[proto.HostID]bool),
		predecessors:     make(map[proto.HostID]bool),
		lastGrant:        make(map[proto.HostID]time.Time),
		excludedUntil:    make(map[proto.HostID]time.Time),
		silentSince:      make(map[proto.HostID]time.Time),
		suspicions:       make(map[proto.HostID]*suspicion),
		takeovers:        make(map[proto.HostID]*takeover),
		leaseEnded:       make(map[proto.HostID]bool),
		orphans:          make(map[proto.HostID]*orphan),
		reassigning:      make(map[string]bool),
		regionLastHeard:  make(map[string]time.Time),
		pageOwners:       make(map[string][]proto.HostID),
		pagesOwned:       make(map[proto.HostID]int),
		coordinatorOrder: make(map[string][]proto.HostID),
		services:         make(map[string]uint32),
		missingPages:     make(map[string]time.Time),
		lastJoin:         make(map[string]time.Time),
		moves:            make(map[Ref]*move),
		members:          make(map[proto.HostID]proto.Member),
	}
	c.groups = cache[proto.Group]{
		core: c, entries: make(map[string]*cached[proto.Group]),
		decode: proto.DecodeGroup, clone: (*proto.Group).Clone,
		stampOf:  func(g *proto.Group) *proto.Stamp { return &g.Stamp },
		onChange: c.groupChanged,
	}
	c.pages = cache[proto.Page]{
		core: c, entries: make(map[string]*cached[proto.Page]),
		decode: proto.DecodePage, clone: (*proto.Page).Clone,
		stampOf:  func(p *proto.Page) *proto.Stamp { return &p.Stamp },
		onChange: c.pageChanged,
	}
	c.view = c.builder.View()
	return c
}

// ID returns the ID of the local host in its current incarnation.
func (c *Core) ID() proto.HostID { return c.id }

// Phase returns the membership state of the local host.
func (c *Core) Phase() Phase { return c.phase }

// Gate returns the lease gate that is checked before each dispatch.
func (c *Core) Gate() *lease.Gate { return c.gate }

// View returns the current snapshot of hosts and entries.
func (c *Core) View() *shard.View { return c.view }

// Records yields the key and index of the newest known records, for comparison
// with a peer.
func (c *Core) Records(yield func(key string, index uint64) bool) {
	for key, e := range c.groups.entries {
		if e.rec != nil && !yield(key, e.index) {
			return
		}
	}
	for key, e := range c.pages.entries {
		if e.rec != nil && !yield(key, e.index) {
			return
		}
	}
}

// SetServices sets the keyed services and their shard counts.
func (c *Core) SetServices(services map[string]uint32) {
	c.services = maps.Clone(services)
	for name, shards := range services {
		c.builder.SetService(name, shards)
	}
	for _, e := range c.pages.sorted() {
		if e.rec != nil {
			c.builder.SetPage(e.rec, e.index)
		}
	}
	c.viewDirty, c.pagesComplete = true, false
}

func (c *Core) nextStamp() proto.Stamp {
	c.seq++
	return proto.Stamp{Writer: proto.HostID{Name: c.cfg.Name, Incarnation: c.cfg.RunID}, Seq: c.seq}
}

func (c *Core) store(op Op, done func(time.Time, Result, Effects), fx Effects) {
	c.nextOp++
	op.ID = c.nextOp
	c.ops[op.ID] = done
	fx.Store(op)
}

// publish disseminates a record written by this node, first to the owners that
// a page record names.
func (c *Core) publish(r store.Record, fx Effects) {
	var urgent []proto.HostID
	if e, ok := c.pages.entries[r.Key]; ok && e.rec != nil {
		urgent = slices.Clone(e.rec.Owners)
	}
	fx.Publish(r, urgent)
}

// Done delivers the result of a store operation.
func (c *Core) Done(now time.Time, r Result, fx Effects) {
	c.now = now
	done, ok := c.ops[r.ID]
	if !ok {
		return
	}
	delete(c.ops, r.ID)
	failed := errors.Is(r.Err, store.ErrUnavailable) || errors.Is(r.Err, store.ErrUncertain)
	if failed != c.storeFailed {
		c.storeFailed = failed
		kind := StoreAvailable
		if failed {
			kind = StoreUnavailable
		}
		fx.Event(Event{Kind: kind, Detail: errorText(r.Err)})
	}
	done(now, r, fx)
	c.publishView()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Observe applies a record from a watch or a peer. Records older than the known
// one are ignored.
func (c *Core) Observe(now time.Time, r store.Record, fx Effects) {
	c.now = now
	c.observe(now, r, fx)
	c.publishView()
}

func (c *Core) observe(now time.Time, r store.Record, fx Effects) {
	switch {
	case proto.IsGroupKey(r.Key):
		c.groups.observe(now, r, fx)
	case proto.IsPageKey(r.Key):
		c.pages.observe(now, r, fx)
	}
}

// Tick runs the periodic work of the core. It must be called about every 20 ms.
func (c *Core) Tick(now time.Time, fx Effects) {
	c.now = now
	c.groups.tick(now, fx)
	c.pages.tick(now, fx)
	c.load(now, fx)
	c.advanceMembership(now, fx)
	c.renew(now, fx)
	c.reportSuspects(now, fx)
	c.evaluateSuspicions(now, fx)
	c.advanceTakeovers(now, fx)
	c.scanOrphans(now, fx)
	c.createPages(now, fx)
	c.advanceMoves(now, fx)
	c.updateGate(now, fx)
	c.publishView()
}

// Receive handles a control message from another host or from this one.
func (c *Core) Receive(now time.Time, from proto.HostID, m proto.Message, fx Effects) {
	c.now = now
	if from.Name != c.cfg.Name {
		c.lastHeard = now
	}
	if sender, ok := c.members[from]; ok && sender.Place.Region != c.cfg.Place.Region {
		c.regionLastHeard[sender.Place.Region] = now
	}
	switch m := m.(type) {
	case proto.Renew:
		ok := c.witness.Renew(now, from)
		c.send(now, from, proto.Grant{Seq: m.Seq, Refused: !ok}, fx)
	case proto.Grant:
		c.handleGrant(now, from, m, fx)
	case proto.Suspect:
		c.handleSuspect(now, from, m)
	case proto.Refuse:
		c.handleRefuse(now, from, m, fx)
	case proto.Refused:
		c.handleRefused(now, m)
	case proto.Update:
		c.observe(now, store.Record{Key: m.Key, Index: m.Index, Value: m.Value}, fx)
	}
	c.publishView()
}

// send sends a message. Messages to the local host are delivered directly.
func (c *Core) send(now time.Time, to proto.HostID, m proto.Message, fx Effects) {
	if to == c.id {
		c.Receive(now, c.id, m, fx)
		return
	}
	fx.Send(to, m)
}

// load reads all records after the start and retries until it succeeds.
func (c *Core) load(now time.Time, fx Effects) {
	if c.phase != Loading || c.listing || now.Before(c.nextLoad) {
		return
	}
	c.list(proto.Prefix, func(now time.Time, ok bool, _ Effects) {
		if ok {
			c.phase = Idle
			return
		}
		c.nextLoad = now.Add(retryInterval)
	}, fx)
}

func (c *Core) list(prefix string, done func(now time.Time, ok bool, fx Effects), fx Effects) {
	c.listing = true
	c.store(Op{Kind: List, Key: prefix}, func(now time.Time, r Result, fx Effects) {
		c.listing = false
		for _, rec := range r.Records {
			c.observe(now, rec, fx)
		}
		done(now, r.Err == nil, fx)
	}, fx)
}

func (c *Core) groupChanged(now time.Time, g *cached[proto.Group], fx Effects) {
	for id, m := range c.members {
		if proto.GroupKey(m.Place.DataCentre, id.Name) == g.key {
			if _, ok := g.rec.Member(id); !ok {
				delete(c.members, id)
			}
		}
	}
	for _, m := range g.rec.Members {
		if _, known := c.members[m.ID]; !known {
			c.lastJoin[m.Service] = now
		}
		c.members[m.ID] = m
	}
	c.sortedIDs, c.witnessPreference = nil, nil
	clear(c.coordinatorOrder)
	c.viewDirty, c.hostsDirty, c.movesDirty, c.scanDirty = true, true, true, true
	var watched []proto.HostID
	for id, m := range c.members {
		if m.State != proto.Marked && slices.ContainsFunc(m.Witnesses, c.actsAsWitness) && !c.isSelf(id) {
			watched = append(watched, id)
		}
	}
	c.witness.Watch(now, watched)
	c.fenceIfMarked(now, g, fx)
}

func (c *Core) pageChanged(_ time.Time, p *cached[proto.Page], _ Effects) {
	delete(c.missingPages, p.key)
	if c.builder.SetPage(p.rec, p.index) {
		c.viewDirty = true
	}
	for _, id := range c.pageOwners[p.key] {
		if c.pagesOwned[id]--; c.pagesOwned[id] == 0 {
			delete(c.pagesOwned, id)
		}
	}
	owners := slices.DeleteFunc(slices.Clone(p.rec.Owners), func(id proto.HostID) bool { return !p.rec.Owns(id) })
	for _, id := range owners {
		c.pagesOwned[id]++
	}
	c.pageOwners[p.key] = owners
	c.entryCountCache = nil
	c.movesDirty, c.scanDirty = true, true
}

func (c *Core) publishView() {
	if c.hostsDirty {
		c.hostsDirty = false
		c.builder.SetHosts(slices.Collect(maps.Values(c.members)))
	}
	if c.viewDirty {
		c.viewDirty = false
		c.view = c.builder.View()
	}
}

// actsAsWitness reports whether this process answers for a witness: it is
// that witness, or the successor of its process at the same control address.
func (c *Core) actsAsWitness(id proto.HostID) bool { return c.isSelf(id) || c.predecessors[id] }

// isWitness reports whether a host is a witness of another host whose lease may
// still be valid.
func (c *Core) isWitness(id proto.HostID) bool {
	for h, m := range c.members {
		if h != id && !c.leaseEnded[h] && slices.Contains(m.Witnesses, id) {
			return true
		}
	}
	return false
}

func (c *Core) isSelf(id proto.HostID) bool { return id == c.id || c.aliases[id] }

func (c *Core) sortedMembers() []proto.HostID {
	if c.sortedIDs == nil {
		c.sortedIDs = slices.SortedFunc(maps.Keys(c.members), lease.CompareIDs)
	}
	return c.sortedIDs
}

func (k *cache[R]) sorted() []*cached[R] {
	return slices.SortedFunc(maps.Values(k.entries), func(a, b *cached[R]) int { return strings.Compare(a.key, b.key) })
}
