package owner

import (
	"fmt"

	"burdocklift/proto"
	"burdocklift/store"
)

// OpKind is the kind of a store operation.
type OpKind uint8

// Kinds of store operations.
const (
	Get OpKind = iota
	List
	Swap
)

// Op is a store operation requested by the core.
type Op struct {
	ID    uint64
	Kind  OpKind
	Key   string // a prefix for List
	Index uint64
	Value []byte
}

// Result is the result of an operation. Each operation gets exactly one. If the
// store does not answer in time, Err is store.ErrUncertain for Swap and
// store.ErrUnavailable otherwise.
type Result struct {
	ID      uint64
	Records []store.Record // Get: one, List: any number
	Index   uint64         // Swap: the new index
	Err     error
}

// Ref identifies an entry: a shard of a service, or one of its hot keys.
type Ref struct {
	Service string
	Shard   uint32
	Key     string // empty for a shard
}

func (r Ref) String() string {
	if r.Key != "" {
		return fmt.Sprintf("%s/%d[%s]", r.Service, r.Shard, r.Key)
	}
	return fmt.Sprintf("%s/%d", r.Service, r.Shard)
}

// Effects is the interface through which the core acts on its environment. An
// implementation must not call back into the core.
type Effects interface {
	// Send sends a control message, which may be lost, delayed or duplicated.
	Send(to proto.HostID, m proto.Message)
	// Store starts an operation, whose result is passed to Core.Done.
	Store(op Op)
	// Publish disseminates a record that the core has written, first to the urgent
	// hosts.
	Publish(r store.Record, urgent []proto.HostID)
	// Drain stops dispatch for an entry, waits for the requests in flight and hands
	// its idempotency state over to the next owner, which will serve it under the
	// given epoch. Exactly one call of Core.Drained or Core.DrainFailed answers.
	Drain(ref Ref, next proto.HostID, epoch uint64)
	// Resume ends a drain: this host may dispatch for the entry again.
	Resume(ref Ref)
	// Event reports a state change for logs and metrics.
	Event(e Event)
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	HostJoined EventKind = iota
	LeaseLapsed
	LeaseRecovered
	HostFenced
	TakeoverStarted
	TakeoverEnded
	EntryMoved
	HostLeft
	StoreUnavailable
	StoreAvailable
	HostMarked
	RecordInvalid
)

// Event is a state change of the core.
type Event struct {
	Kind   EventKind
	Host   proto.HostID
	Ref    Ref
	Detail string
}
