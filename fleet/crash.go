package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/poison"
	"burdocklift/store"
)

// prefixCrashes is the prefix of the records of crashes. Each node writes its own record,
// so that writes after crashes of many targets do not conflict.
const prefixCrashes = prefixOwn + "crash/"

const (
	// crashRecordDelay is how long after a crash the record is written by itself. Before,
	// the crash changes the member record, and both are one write: once other nodes were
	// told, which takes 300 ms at most.
	crashRecordDelay = 350 * time.Millisecond
	// crashRecordInterval is the time between two writes of the record. A target that
	// crashed is back after some seconds.
	crashRecordInterval = 2 * time.Second
	// clearRecordDelay is how long changes wait that only clear requests. A node that
	// does not know them lets the requests run one at a time.
	clearRecordDelay = 5 * time.Second
	// crashRemovalInterval is the time between two searches for records to be removed.
	crashRemovalInterval = time.Minute
	// maxCrashNotices bounds the notices of a record, each of which has about 40 bytes.
	maxCrashNotices = 1024
)

// CrashLog holds the crashes of targets by the requests that were in flight.
type CrashLog interface {
	// Merge merges what another node has recorded.
	Merge(notices []poison.Notice)
	// Inherit merges what an earlier run of this node has recorded.
	Inherit(notices []poison.Notice)
	// Own returns what this node has to record, in a fixed order.
	Own() []poison.Notice
}

// crashRecord is the state of this node's record of crashes.
type crashRecord struct {
	log CrashLog

	mu        sync.Mutex
	changed   bool          // the record may be out of date
	dueAt     time.Duration // latest time of the next write
	writtenAt time.Duration

	// The fields below are owned by the loop.
	expiries  map[string]time.Time // when the last notice of each node's record expires
	removalAt time.Duration        // of the next search for records to be removed
}

// SetCrashLog sets the log whose content is kept in the store. It must be called before
// Run.
func (f *Fleet) SetCrashLog(l CrashLog) { f.crashes.log = l }

// RecordCrashes makes this node record its crashes, after a crash of its target or after
// requests were cleared. It does not wait for the control loop, which may be stalled.
func (f *Fleet) RecordCrashes(crash bool) {
	c := &f.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	now := f.cfg.Clock.Elapsed()
	due := now + clearRecordDelay
	if crash {
		due = now + crashRecordDelay
		if c.writtenAt > 0 {
			due = max(due, c.writtenAt+crashRecordInterval)
		}
	}
	if !c.changed || due < c.dueAt {
		c.dueAt = due
	}
	c.changed = true
}

// recordCrashesAgain makes this node write its record of crashes if a restored store has
// lost it.
func (f *Fleet) recordCrashesAgain(now time.Duration) {
	c := &f.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed, c.dueAt = true, max(now+f.restoreDelay(), c.writtenAt)
}

// crashTxn writes this node's record of crashes if it is due.
func (f *Fleet) crashTxn(now time.Duration) (store.Txn, string) {
	var txn store.Txn
	if !f.crashes.due(now) || !f.addCrashes(&txn, now) {
		return store.Txn{}, ""
	}
	return txn, "crashes"
}

func (c *crashRecord) due(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed && now >= c.dueAt
}

// addCrashes adds this node's record of crashes to a write if it has changed.
func (f *Fleet) addCrashes(txn *store.Txn, now time.Duration) bool {
	c := &f.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.changed || c.log == nil {
		return false
	}
	key := prefixCrashes + f.cfg.Name
	notices := c.log.Own()
	it := f.items[key]
	value := encodeCrashes(notices)
	exists := it.Rev > 0 && !it.Removed
	switch {
	case exists && slices.Equal(it.Value, value), !exists && len(notices) == 0:
		c.changed = false
		return false
	case len(notices) == 0:
		txn.Deletes = append(txn.Deletes, key)
	default:
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
	}
	txn.Expect = append(txn.Expect, f.expect(key))
	c.writtenAt, c.dueAt = now, now+crashRecordInterval
	return true
}

func encodeCrashes(notices []poison.Notice) []byte {
	b, err := cbor.Marshal(notices)
	if err != nil {
		panic(fmt.Sprintf("cannot encode record of crashes: %v", err))
	}
	return b
}

// applyCrashes applies a node's record of crashes. The crashes of a removed record are
// kept until they expire.
func (f *Fleet) applyCrashes(name string, it store.Item) error {
	c := &f.crashes
	if it.Removed {
		delete(c.expiries, name)
		return nil
	}
	var notices []poison.Notice
	if err := cbor.Unmarshal(it.Value, &notices); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrRecord, it.Key, err)
	}
	if len(notices) > maxCrashNotices {
		return fmt.Errorf("%w: %s: %d notices, at most %d are accepted", ErrRecord, it.Key, len(notices), maxCrashNotices)
	}
	if c.expiries == nil {
		c.expiries = make(map[string]time.Time)
	}
	c.expiries[name] = time.Time{}
	for _, n := range notices {
		if at := time.UnixMilli(n.Expiry); at.After(c.expiries[name]) {
			c.expiries[name] = at
		}
	}
	if c.log == nil {
		return nil
	}
	if name != f.cfg.Name {
		c.log.Merge(notices)
		return nil
	}
	c.log.Inherit(notices)
	return nil
}

// crashRemovalTxn removes a record of crashes that have all expired. The node that wrote
// it may be gone.
func (f *Fleet) crashRemovalTxn(now time.Duration) (store.Txn, string) {
	c := &f.crashes
	if !f.planner.leads.Load() || now < c.removalAt {
		return store.Txn{}, ""
	}
	c.mu.Lock()
	changed := c.changed
	c.mu.Unlock()
	for name, at := range c.expiries {
		if name == f.cfg.Name && changed || at.After(f.cfg.Clock.Now()) {
			continue
		}
		key := prefixCrashes + name
		return store.Txn{Expect: []store.Expect{f.expect(key)}, Deletes: []string{key}}, "removed crashes"
	}
	c.removalAt = now + crashRemovalInterval
	return store.Txn{}, ""
}
