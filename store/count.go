package store

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// Counted is a ledger that tells of each call when it has ended. Counts by kind and
// outcome show what costs calls, which the platform charges for.
type Counted struct {
	ledger Ledger
	clock  clockwork.Clock
	note   func(kind, outcome string, took time.Duration)
}

// NewCounted returns a ledger that passes calls on to another one.
func NewCounted(l Ledger, c clockwork.Clock, note func(kind, outcome string, took time.Duration)) *Counted {
	return &Counted{ledger: l, clock: c, note: note}
}

var _ Ledger = (*Counted)(nil)

// outcomes are the names of the errors of a ledger in counts.
var outcomes = []struct {
	err  error
	name string
}{
	{nil, "ok"},
	{ErrNotFound, "not-found"},
	{ErrConflict, "conflict"},
	{ErrLeaseLost, "lease-lost"},
	{ErrCompacted, "compacted"},
	{ErrBusy, "busy"},
	{ErrUncertain, "uncertain"},
	{ErrUnavailable, "unavailable"},
}

func (c *Counted) count(kind string, begun time.Time, err error) {
	outcome := "failed"
	for _, o := range outcomes {
		if errors.Is(err, o.err) {
			outcome = o.name
			break
		}
	}
	c.note(kind, outcome, c.clock.Since(begun))
}

// Era implements Ledger.
func (c *Counted) Era() uint64 { return c.ledger.Era() }

// Read implements Ledger.
func (c *Counted) Read(ctx context.Context, key string) (Item, error) {
	begun := c.clock.Now()
	it, err := c.ledger.Read(ctx, key)
	c.count("read", begun, err)
	return it, err
}

// ReadAll implements Ledger.
func (c *Counted) ReadAll(ctx context.Context, prefix string) ([]Item, uint64, error) {
	begun := c.clock.Now()
	items, rev, err := c.ledger.ReadAll(ctx, prefix)
	c.count("list", begun, err)
	return items, rev, err
}

// Changes implements Ledger.
func (c *Counted) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	begun := c.clock.Now()
	items, rev, err := c.ledger.Changes(ctx, prefix, after, wait)
	c.count("watch", begun, err)
	return items, rev, err
}

// Commit implements Ledger.
func (c *Counted) Commit(ctx context.Context, txn Txn) (uint64, error) {
	begun := c.clock.Now()
	rev, err := c.ledger.Commit(ctx, txn)
	c.count("commit", begun, err)
	return rev, err
}

// NewLease implements Ledger.
func (c *Counted) NewLease(ctx context.Context, lifetime time.Duration) (uint64, error) {
	begun := c.clock.Now()
	lease, err := c.ledger.NewLease(ctx, lifetime)
	c.count("lease", begun, err)
	return lease, err
}

// KeepLease implements Ledger.
func (c *Counted) KeepLease(ctx context.Context, lease uint64) error {
	begun := c.clock.Now()
	err := c.ledger.KeepLease(ctx, lease)
	c.count("keep", begun, err)
	return err
}

// EndLease implements Ledger.
func (c *Counted) EndLease(ctx context.Context, lease uint64) error {
	begun := c.clock.Now()
	err := c.ledger.EndLease(ctx, lease)
	c.count("end", begun, err)
	return err
}
