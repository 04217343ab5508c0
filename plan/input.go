package plan

import (
	"time"

	"burdocklift/proto"
)

// HostState determines which moves the planner may make from and to a host.
type HostState uint8

// Host states.
const (
	Serving HostState = iota // entries move to it and off it
	Leaving                  // is evacuated
	Down                     // its node runs but its target does not serve; is evacuated first
)

// HostLoad is a live host and its measured load.
type HostLoad struct {
	Host
	State HostState
	// Rate is the number of requests per second over the last interval.
	Rate float64
	// PreviousRate is the rate over the interval before the last; zero if unknown. A
	// host counts as overloaded only if it was overloaded in both intervals, unless
	// PreviousRate is unknown.
	PreviousRate float64
	// Stale reports that the host sent no load report in the interval. Its load is
	// estimated from its number of entries, and no entry moves off it or to it for
	// balance.
	Stale bool
}

// EntryLoad is the measured load of one of a host's heaviest shards or keys.
type EntryLoad struct {
	Shard uint32
	// Key is empty for a whole shard. The rate of a shard includes its keys except
	// the isolated ones.
	Key  string
	Rate float64
	// Region is the callers' region that sends most of the load; empty if unknown.
	Region string
}

// Input is the input of one planner step.
type Input struct {
	// Pages are all pages of the service, ordered by index.
	Pages []*proto.Page
	// Hosts are the live hosts. Entries of other hosts are left to the takeover.
	Hosts []HostLoad
	Heavy []EntryLoad
	// Interval is the time over which the rates were measured; DefaultInterval if zero.
	Interval time.Duration
	// Recent lists the moves planned in the last minute. They count against
	// Rules.PerMinute, and their entries are not moved again unless their host is
	// evacuated.
	Recent []Move
	Rules  Rules
}

// Kind is the purpose of a move.
type Kind uint8

// Kinds of moves. Isolate and Merge do not change the owner.
const (
	Isolate  Kind = iota + 1 // gives a key an entry of its own, with the owner of its shard
	Merge                    // removes the entry of a hot key whose shard has the same owner
	Evacuate                 // moves an entry off a host that is leaving or down
	Level                    // moves an entry off an overloaded host
	Fill                     // moves a shard to an underloaded host
	Colocate                 // moves a key that is no longer hot to the owner of its shard, before Merge
)

// Move is one planned change of an entry in a page.
type Move struct {
	Kind     Kind
	Page     uint32
	Shard    uint32
	Key      string // empty for a shard
	From, To proto.HostID
}

func (m Move) limited() bool { return m.Kind == Level || m.Kind == Fill || m.Kind == Colocate }

type entryID struct {
	shard uint32
	key   string
}

func (m Move) entry() entryID { return entryID{shard: m.Shard, key: m.Key} }
