package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"burdocklift/conf"
	"burdocklift/event"
	"burdocklift/owner"
	"burdocklift/proto"
	"burdocklift/spread"
	"burdocklift/store"
)

const (
	// watchTimeout ends a blocking query whose connection is dead. The store
	// answers an unchanged one after 5 minutes.
	watchTimeout = 6 * time.Minute
	// watchPause is the base of the random pause, 0.5 to 2.5 s, after a blocking
	// query that failed or brought nothing new. At 1,200 hosts 1,944 queries
	// return after an outage; the store takes about 2,000 reads a second.
	watchPause = time.Second
)

// Documents returns the configuration documents in force and those refused.
func (c *Control) Documents() *spread.Documents { return c.documents.Load() }

// Relay reports whether the node holds watches on the store for its data centre.
func (c *Control) Relay() bool { return c.relay.Load() }

// Bytes returns the control bytes sent and received, headers included.
func (c *Control) Bytes() (sent, received int64) { return c.transport.Bytes() }

// Watch implements spread.Effects.
func (c *Control) Watch(key string, index uint64) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.watches[key] = cancel
	c.tasks.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			r, err := c.watchOnce(ctx, key, index)
			c.called(ctx, err)
			if err == nil && r.Index > index {
				index = r.Index
				c.Do(ctx, func(_ *owner.Core, now time.Time, _ owner.Effects) { c.engine.Watched(now, r, c) })
				continue
			}
			// An older record is a reply of a store that lags behind.
			select {
			case <-ctx.Done():
			case <-c.clock.After(watchPause/2 + rand.N(2*watchPause)):
			}
		}
	})
}

func (c *Control) watchOnce(ctx context.Context, key string, index uint64) (store.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.store.Watch(ctx, key, index)
}

// Unwatch implements spread.Effects.
func (c *Control) Unwatch(key string) {
	if cancel, ok := c.watches[key]; ok {
		cancel()
		delete(c.watches, key)
	}
}

// List implements spread.Effects.
func (c *Control) List() {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		records, err := c.store.List(ctx, proto.Prefix)
		c.called(c.ctx, err)
		c.Do(c.ctx, func(_ *owner.Core, now time.Time, _ owner.Effects) { c.engine.Listed(now, records, err, c) })
	})
}

// getTimeout bounds the reading of one record.
const getTimeout = 2 * time.Second

// Get implements spread.Effects.
func (c *Control) Get(key string) {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, getTimeout)
		defer cancel()
		r, err := c.store.Get(ctx, key)
		if err == nil {
			c.Do(c.ctx, func(_ *owner.Core, now time.Time, _ owner.Effects) { c.engine.Watched(now, r, c) })
		}
		if !errors.Is(err, store.ErrNotFound) {
			c.called(c.ctx, err)
		}
	})
}

// Apply implements spread.Effects.
func (c *Control) Apply(r store.Record) { c.core.Observe(c.clock.Now(), r, c) }

// Configured implements spread.Effects.
func (c *Control) Configured(d spread.Documents) {
	for _, k := range []conf.Kind{conf.KindRules, conf.KindInventory} {
		before, s := c.documents.Load().Status(k), d.Status(k)
		switch {
		case s.Refused.Index > before.Refused.Index:
			event.ConfigurationRefused.Log(c.ctx, c.log, slog.String("document", string(k)),
				slog.Uint64("index", s.Refused.Index), slog.String("reason", s.Refused.Reason))
		case s.InForce.Index > before.InForce.Index:
			event.ConfigurationAccepted.Log(c.ctx, c.log, slog.String("document", string(k)),
				slog.Uint64("version", s.InForce.Version), slog.Uint64("index", s.InForce.Index))
		}
	}
	old := c.documents.Swap(&d)
	if d.Rules == nil || d.Rules == old.Rules {
		return
	}
	services := make(map[string]uint32)
	for _, s := range d.Rules.Services {
		if s.Keyed {
			services[s.Name] = uint32(s.Shards)
		}
	}
	c.core.SetServices(services)
	c.core.SetTakeoverDelay(d.TakeoverDelay())
	if c.configured != nil {
		c.configured(d)
	}
}
