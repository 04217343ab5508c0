// Package store defines the interface to the platform's key-value service and
// an adapter over the Consul KV HTTP API.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that callers test with errors.Is.
var (
	ErrNotFound = errors.New("record not found")
	ErrConflict = errors.New("record was changed by another writer")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write is not known")
	// ErrUnavailable means that the service gave no answer to a read, or that a
	// write certainly was not sent.
	ErrUnavailable = errors.New("store is unavailable")
	ErrLeaseLost   = errors.New("store lease was lost")
)

// Record is a stored value with the index of its last change. Indexes of one
// key only rise.
type Record struct {
	Key   string
	Index uint64
	Value []byte
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns a record or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records under a prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Swap writes a value if the record's index is still the given one; index 0
	// creates. It returns the new index, ErrConflict, ErrUnavailable or
	// ErrUncertain.
	Swap(ctx context.Context, key string, index uint64, value []byte) (uint64, error)
	// Watch returns the record once its index differs from the given one, or
	// unchanged after the service's time-out.
	Watch(ctx context.Context, key string, index uint64) (Record, error)
	// Lease takes the named lock for as long as it is renewed. It returns
	// ErrConflict if another holder has it.
	Lease(ctx context.Context, name string, ttl time.Duration) (Lease, error)
}

// Lease is a held lock of the service.
type Lease interface {
	// Renew extends the lease, or returns ErrLeaseLost.
	Renew(ctx context.Context) error
	Release(ctx context.Context) error
}
