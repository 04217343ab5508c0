package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/lease"
	"burdocklift/owner"
	"burdocklift/proto"
	"burdocklift/shard"
	"burdocklift/spread"
	"burdocklift/store"
	"burdocklift/wire"
)

const (
	// tickInterval is the resolution of the control timers.
	tickInterval = 20 * time.Millisecond
	// storeTimeout ends a store call without a reply. It is longer than the
	// slowest replies of a store that still works (5 s).
	storeTimeout = 8 * time.Second
	// drainTimeout ends a drain whose requests do not end; the move is cancelled.
	drainTimeout = 30 * time.Second
)

// Control drives the control core: it owns the core on one goroutine, carries
// out its effects and publishes its snapshots to traffic.
type Control struct {
	core      *owner.Core
	transport *wire.Transport
	store     store.Store
	clock     clockwork.Clock
	log       *slog.Logger

	view     atomic.Pointer[shard.View]
	gate     *lease.Gate
	phase    atomic.Int32
	commands chan func(now time.Time, fx owner.Effects)
	drain    func(ctx context.Context, ref owner.Ref) error
	loads    func(from proto.HostID, m proto.Load)
	notices  func(m proto.Notice)
	shares   func(m proto.Share)
	sent     func(region string, bytes int) // to another region

	engine     *spread.Engine
	documents  atomic.Pointer[spread.Documents]
	relay      atomic.Bool
	configured func(d spread.Documents)
	storeState storeState
	watches    map[string]context.CancelFunc

	ctx    context.Context // of Run, for effects
	tasks  sync.WaitGroup
	drains map[owner.Ref]context.CancelFunc
	known  map[proto.HostID]bool // members whose address the transport has
}

// NewControl returns the driver of a core.
func NewControl(core *owner.Core, engine *spread.Engine, transport *wire.Transport, s store.Store, clock clockwork.Clock, log *slog.Logger) *Control {
	c := &Control{
		core: core, engine: engine, transport: transport, store: s, clock: clock, log: log,
		gate:     core.Gate(),
		commands: make(chan func(time.Time, owner.Effects), 256),
		drains:   make(map[owner.Ref]context.CancelFunc),
		known:    make(map[proto.HostID]bool),
		watches:  make(map[string]context.CancelFunc),
	}
	c.documents.Store(&spread.Documents{})
	c.view.Store(core.View())
	return c
}

// View returns the current snapshot.
func (c *Control) View() *shard.View { return c.view.Load() }

// Gate returns the gate of the host's lease.
func (c *Control) Gate() *lease.Gate { return c.gate }

// Phase returns the state of membership.
func (c *Control) Phase() owner.Phase { return owner.Phase(c.phase.Load()) }

// Do runs a function on the control goroutine without waiting for it.
func (c *Control) Do(ctx context.Context, fn func(core *owner.Core, now time.Time, fx owner.Effects)) {
	select {
	case c.commands <- func(now time.Time, fx owner.Effects) { fn(c.core, now, fx) }:
	case <-ctx.Done():
	}
}

// Run owns the core until the context ends.
func (c *Control) Run(ctx context.Context) error {
	c.ctx = ctx
	defer c.tasks.Wait()
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			c.core.Tick(c.clock.Now(), c)
			c.engine.Tick(c.clock.Now(), c)
		case in := <-c.transport.Inbound():
			c.receive(c.clock.Now(), in)
		case fn := <-c.commands:
			fn(c.clock.Now(), c)
		}
		c.publishState()
	}
}

// receive hands a message to the part that it is for. Renewals and grants must
// be addressed to this incarnation: a grant to an earlier one must not extend
// the lease of this one, and a renewal at an earlier one must not keep up the
// belief that the holder has a witness here. Refuse names its witness itself.
func (c *Control) receive(now time.Time, in wire.Inbound) {
	switch m := in.Message.(type) {
	case proto.Load:
		c.loads(in.From, m)
		return
	case proto.Share:
		c.shares(m)
		return
	case proto.Notice:
		c.notices(m)
		return
	case proto.Update, proto.Digest, proto.Pairs, proto.Fetch:
		c.engine.Receive(now, in.From, in.Message, c)
		return
	case proto.Renew, proto.Grant:
		if in.To != c.core.ID() {
			return
		}
	}
	c.core.Receive(now, in.From, in.Message, c)
}

func (c *Control) publishState() {
	c.engine.SetSelf(c.clock.Now(), c.core.ID(), c)
	c.relay.Store(c.engine.Relay())
	c.phase.Store(int32(c.core.Phase()))
	view := c.core.View()
	if c.view.Load() == view {
		return
	}
	c.view.Store(view)
	hosts := view.Hosts()
	forgotten := false
	for id := range c.known {
		if _, ok := hosts[id]; !ok {
			delete(c.known, id)
			forgotten = true
		}
	}
	for id, h := range hosts {
		if !c.known[id] {
			c.known[id] = true
			c.transport.SetPeer(id, h.Member.Addresses.Control)
		}
	}
	if forgotten {
		names := make(map[string]bool, len(hosts))
		for id := range hosts {
			names[id.Name] = true
		}
		c.transport.RetainPeers(func(name string) bool { return names[name] })
	}
}

// Send implements owner.Effects.
func (c *Control) Send(to proto.HostID, m proto.Message) {
	// Control messages may be lost; the core repeats those that matter.
	from := c.core.ID()
	if from.IsZero() {
		from = spread.AddressID(c.transport.Address())
	}
	before, _ := c.transport.Bytes()
	_ = c.transport.Send(from, to, m)
	// Messages over TCP are sent later and are not charged.
	if h, ok := c.core.View().Host(to); ok {
		after, _ := c.transport.Bytes()
		c.sent(h.Member.Place.Region, int(after-before))
	}
}

// Store implements owner.Effects.
func (c *Control) Store(op owner.Op) {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		r := owner.Result{ID: op.ID}
		switch op.Kind {
		case owner.Get:
			var rec store.Record
			rec, r.Err = c.store.Get(ctx, op.Key)
			r.Records = []store.Record{rec}
		case owner.List:
			r.Records, r.Err = c.store.List(ctx, op.Key)
		case owner.Swap:
			r.Index, r.Err = c.store.Swap(ctx, op.Key, op.Index, op.Value)
		}
		c.called(c.ctx, r.Err)
		c.Do(c.ctx, func(core *owner.Core, now time.Time, fx owner.Effects) {
			core.Done(now, r, fx)
			if r.Err == nil {
				c.engine.Read(now, r.Records, op.Kind == owner.List && op.Key == proto.Prefix, c)
			}
		})
	})
}

// Publish implements owner.Effects.
func (c *Control) Publish(r store.Record, urgent []proto.HostID) {
	c.engine.Wrote(c.clock.Now(), r, urgent, c)
}

// Drain implements owner.Effects.
func (c *Control) Drain(ref owner.Ref, next proto.HostID, epoch uint64) {
	ctx, cancel := context.WithTimeout(c.ctx, drainTimeout)
	c.drains[ref] = cancel
	c.tasks.Go(func() {
		defer cancel()
		err := c.drain(ctx, ref)
		c.Do(c.ctx, func(core *owner.Core, now time.Time, fx owner.Effects) {
			if err != nil {
				core.DrainFailed(now, ref, next, epoch, fx)
				return
			}
			core.Drained(now, ref, next, epoch, fx)
		})
	})
}

// Resume implements owner.Effects.
func (c *Control) Resume(ref owner.Ref) {
	if cancel, ok := c.drains[ref]; ok {
		cancel()
		delete(c.drains, ref)
	}
}
