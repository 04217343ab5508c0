package emul

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"burdocklift/store"
)

// Ledger is a store.Ledger in memory, with the faults of a real one.
type Ledger struct {
	mu      sync.Mutex
	items   map[string]store.Item
	rev     uint64
	oldest  uint64 // history before this revision is gone
	history []store.Item
	leases  map[uint64]bool
	log     []logEntry // all changes, for Restore
	era     uint64     // 0 as long as the store names none
	changed chan struct{}
	faults  LedgerFaults
	timers  []*time.Timer  // of writes that take effect later
	delay   time.Duration  // of each call
	read    map[string]int // bytes of values that were read, by key
}

// logEntry is a change of a record, or the begin or end of a lease.
type logEntry struct {
	at    time.Time
	rev   uint64
	item  store.Item
	lease uint64 // 0 for a record
	ended bool
}

// SetEra makes the ledger name an era in all replies.
func (l *Ledger) SetEra(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era = era
}

// Restore replaces the content, leases included, by that of some time ago and begins the
// next era. Revisions are given out again. A ledger that has named no era was in the first one.
func (l *Ledger) Restore(back time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := time.Now().Add(-back)
	kept := slices.IndexFunc(l.log, func(e logEntry) bool { return e.at.After(until) })
	if kept >= 0 {
		l.log = l.log[:kept]
	}
	clear(l.items)
	clear(l.leases)
	l.rev, l.history, l.oldest = 1, nil, 0
	for _, e := range l.log {
		l.rev = e.rev
		switch {
		case e.lease == 0:
			l.items[e.item.Key] = e.item
		case e.ended:
			delete(l.leases, e.lease)
		default:
			l.leases[e.lease] = true
		}
	}
	l.oldest = l.rev
	l.era = max(l.era, store.FirstEra) + 1
	l.wake()
}

// noteLease logs the begin or the end of a lease. The lock is held.
func (l *Ledger) noteLease(lease uint64, ended bool) {
	l.log = append(l.log, logEntry{at: time.Now(), rev: l.rev, lease: lease, ended: ended})
}

// LedgerFaults are the faults in force. The zero value has none.
type LedgerFaults struct {
	Down bool // no answer to anybody
	// Turned names the clients that get ErrBusy.
	Turned map[string]bool
	// Silent names the clients that get no answer.
	Silent map[string]bool
	// Lost is called for each write, one at a time. It returns whether the answer
	// is lost, and after which time the write then takes effect.
	Lost func() (bool, time.Duration)
}

// NewLedger returns an empty ledger whose calls take the given time.
func NewLedger(delay time.Duration) *Ledger {
	return &Ledger{
		items: make(map[string]store.Item), rev: 1, leases: make(map[uint64]bool),
		changed: make(chan struct{}), delay: delay, read: make(map[string]int),
	}
}

// SetFaults replaces the faults in force.
func (l *Ledger) SetFaults(f LedgerFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetDelay sets the time that each call takes from now on.
func (l *Ledger) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Compact drops the history.
func (l *Ledger) Compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history, l.oldest = nil, l.rev
}

// Lapse ends all leases, as an outage may.
func (l *Ledger) Lapse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for lease := range l.leases {
		l.noteLease(lease, true)
	}
	clear(l.leases)
}

// BytesRead returns how many bytes of a record's values were read by clients.
func (l *Ledger) BytesRead(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read[key]
}

// Value returns a copy of a record's value.
func (l *Ledger) Value(key string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.items[key].Value)
}

// countRead counts the values of records that a client reads. The lock is held.
func (l *Ledger) countRead(items ...store.Item) {
	for _, it := range items {
		l.read[it.Key] += len(it.Value)
	}
}

// Put writes a record without a condition, as operators do.
func (l *Ledger) Put(key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	l.write(store.Item{Key: key, Value: slices.Clone(value), Rev: l.rev})
	l.wake()
}

func (l *Ledger) write(it store.Item) {
	l.items[it.Key] = it
	l.history = append(l.history, it)
	l.log = append(l.log, logEntry{at: time.Now(), rev: l.rev, item: it})
}

func (l *Ledger) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Client returns the ledger as one client sees it.
func (l *Ledger) Client(name string) store.Ledger { return &ledgerClient{l: l, name: name} }

type ledgerClient struct {
	l    *Ledger
	name string
	seen uint64 // era of the last reply; guarded by the lock of the ledger
}

// Era implements store.Ledger.
func (c *ledgerClient) Era() uint64 {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	return c.seen
}

// begin waits for the time of a call and returns an error if the ledger does
// not serve the client.
func (c *ledgerClient) begin(ctx context.Context) error {
	c.l.mu.Lock()
	delay := c.l.delay
	c.l.mu.Unlock()
	if err := wait(ctx, delay); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	c.l.mu.Lock()
	down, turned := c.l.faults.Down || c.l.faults.Silent[c.name], c.l.faults.Turned[c.name]
	c.l.mu.Unlock()
	if down {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	if turned {
		return store.ErrBusy
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements store.Ledger.
func (c *ledgerClient) Read(ctx context.Context, key string) (store.Item, error) {
	if err := c.begin(ctx); err != nil {
		return store.Item{}, err
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.seen = c.l.era
	it, ok := c.l.items[key]
	if !ok || it.Removed {
		return store.Item{}, store.ErrNotFound
	}
	c.l.countRead(it)
	return it, nil
}

// ReadAll implements store.Ledger.
func (c *ledgerClient) ReadAll(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.seen = c.l.era
	var out []store.Item
	for _, it := range c.l.items {
		if strings.HasPrefix(it.Key, prefix) && !it.Removed {
			out = append(out, it)
		}
	}
	c.l.countRead(out...)
	slices.SortFunc(out, func(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) })
	return out, c.l.rev, nil
}

// Changes implements store.Ledger.
func (c *ledgerClient) Changes(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Item, uint64, error) {
	if err := c.begin(ctx); err != nil {
		return nil, after, err
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		c.l.mu.Lock()
		if after < c.l.oldest || after > c.l.rev {
			c.seen = c.l.era
			c.l.mu.Unlock()
			return nil, after, store.ErrCompacted
		}
		var out []store.Item
		for _, it := range c.l.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		rev, changed, down := c.l.rev, c.l.changed, c.l.faults.Down || c.l.faults.Silent[c.name]
		if !down {
			c.l.countRead(out...)
			c.seen = c.l.era
		}
		c.l.mu.Unlock()
		if len(out) > 0 && !down {
			return out, rev, nil
		}
		select {
		case <-changed:
		case <-end.C:
			if down {
				<-ctx.Done() // a call that waits when the fault begins is not answered either
				return nil, after, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
			}
			return nil, after, nil
		case <-ctx.Done():
			return nil, after, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		}
	}
}

// Commit implements store.Ledger.
func (c *ledgerClient) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	if gone, late := c.l.loses(); gone {
		c.l.later(late, txn)
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", store.ErrUncertain, ctx.Err())
	}
	if txn.Outdated(c.Era()) {
		return 0, fmt.Errorf("not sent: %w: %w", store.ErrConflict, store.ErrRestored)
	}
	rev, err := c.l.commit(txn)
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.seen = c.l.era; txn.Outdated(c.seen) {
		return 0, fmt.Errorf("%w: %w", store.ErrUncertain, store.ErrRestored)
	}
	return rev, err
}

// later makes a write take effect after a time.
func (l *Ledger) later(after time.Duration, txn store.Txn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timers = append(l.timers, time.AfterFunc(after, func() { _, _ = l.commit(txn) })) // nobody hears of the result
}

// Close drops writes that have not taken effect yet.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.timers {
		t.Stop()
	}
}

func (l *Ledger) loses() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Lost == nil {
		return false, 0
	}
	return l.faults.Lost()
}

func (l *Ledger) commit(txn store.Txn) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range txn.Expect {
		it := l.items[e.Key]
		if it.Removed {
			it.Rev = 0
		}
		if it.Rev != e.Rev {
			return 0, fmt.Errorf("%s is at revision %d, not %d: %w", e.Key, it.Rev, e.Rev, store.ErrConflict)
		}
	}
	l.rev++
	for _, w := range txn.Writes {
		l.write(store.Item{Key: w.Key, Value: slices.Clone(w.Value), Rev: l.rev})
	}
	for _, key := range txn.Deletes {
		l.write(store.Item{Key: key, Rev: l.rev, Removed: true})
	}
	l.wake()
	return l.rev, nil
}

// NewLease implements store.Ledger.
func (c *ledgerClient) NewLease(ctx context.Context, _ time.Duration) (uint64, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.seen = c.l.era
	c.l.rev++
	c.l.leases[c.l.rev] = true
	c.l.noteLease(c.l.rev, false)
	return c.l.rev, nil
}

// KeepLease implements store.Ledger.
func (c *ledgerClient) KeepLease(ctx context.Context, lease uint64) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.seen = c.l.era; !c.l.leases[lease] {
		return store.ErrLeaseLost
	}
	return nil
}

// EndLease implements store.Ledger.
func (c *ledgerClient) EndLease(ctx context.Context, lease uint64) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.seen = c.l.era
	delete(c.l.leases, lease)
	c.l.noteLease(lease, true)
	return nil
}
