package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Ledger, besides those of a Store.
var (
	// ErrCompacted means that the history after the given revision is gone, so
	// that the records have to be listed anew.
	ErrCompacted = errors.New("history of the store is compacted")
	// ErrBusy means that the store refused a call and did nothing.
	ErrBusy = errors.New("store refused the call")
	// ErrRestored means that the store was restored from an older copy during a call or
	// since the conditions of a transaction were read.
	ErrRestored = errors.New("store was restored from an older copy")
)

// FirstEra is the era of a store that was never restored. A store that names no era, 0, is in
// its first one: it may name its eras from the first restore on only.
const FirstEra = 1

// Restored reports whether a store was restored between two moments, given the eras that it
// named at them.
func Restored(before, after uint64) bool { return max(before, FirstEra) < after }

// Item is a record of a Ledger. Revisions rise over the whole store. They go back when
// the store is restored from an older copy, which begins another era.
type Item struct {
	Key     string
	Value   []byte
	Rev     uint64
	Removed bool // only in changes
}

// Expect is a condition of a transaction: the revision of a record's last
// change. Revision 0 means that the record does not exist.
type Expect struct {
	Key string
	Rev uint64
}

// Write is a new value of a record.
type Write struct {
	Key   string
	Value []byte
}

// Txn is a transaction: all writes and deletions, or none if one of the
// conditions does not hold.
type Txn struct {
	Expect  []Expect
	Writes  []Write
	Deletes []string
	// Era is that in which the revisions of Expect were read; 0 if it is not known.
	Era uint64 `cbor:",omitempty"`
}

// Outdated reports whether the conditions were read in an earlier era. Their revisions
// may have been given to other changes since.
func (t Txn) Outdated(era uint64) bool { return t.Era != 0 && t.Era < era }

// Ledger is a key-value service with revisions over all records, transactions,
// watches of prefixes and revocable leases.
type Ledger interface {
	// Era returns the latest era that a reply has shown, or 0 while none has. It rises
	// when the store was restored from an older copy. A call that begins and ends in
	// one era was answered in it.
	Era() uint64
	// Read returns a record or ErrNotFound.
	Read(ctx context.Context, key string) (Item, error)
	// ReadAll returns the records under a prefix and a revision from which
	// Changes continues.
	ReadAll(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Changes waits until a record under the prefix has a revision above the
	// given one. It returns the changes and the revision from which to go on, no
	// changes after the wait, or ErrCompacted.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Commit returns the revision of the transaction, or ErrConflict, ErrBusy,
	// ErrUnavailable or ErrUncertain. With ErrUncertain it may still take effect
	// seconds later, as long as its conditions hold. An outdated transaction is not
	// sent; one that proves to be outdated when the reply arrives is uncertain.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// NewLease returns a lease that ends after the lifetime unless it is kept.
	NewLease(ctx context.Context, lifetime time.Duration) (uint64, error)
	// KeepLease extends a lease, or returns ErrLeaseLost.
	KeepLease(ctx context.Context, lease uint64) error
	// EndLease ends a lease. A lease that has already ended is no error.
	EndLease(ctx context.Context, lease uint64) error
}
