package fleet

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/place"
	"burdocklift/span"
)

// Prefixes of the keys of stored records. Each node writes its own member record. The
// ranges of a service are one record, so that each change of owners is one
// compare-and-swap.
const (
	prefixOwn    = "burdocklift/"
	prefixMember = prefixOwn + "node/"
	prefixRanges = prefixOwn + "span/"
)

// ErrRecord is returned for a stored record that cannot be decoded.
var ErrRecord = errors.New("record is not valid")

// Member is the stored record of a node and the target beside it.
type Member struct {
	Name       string  `cbor:"1,keyasint"`
	Address    string  `cbor:"2,keyasint"` // at which other nodes call this one
	DataCentre string  `cbor:"3,keyasint"`
	Region     string  `cbor:"4,keyasint"`
	Run        int64   `cbor:"5,keyasint"` // Unix milliseconds of the node's start
	Lease      uint64  `cbor:"6,keyasint"` // ending it ends the node's right to grant
	Target     *Target `cbor:"7,keyasint,omitempty"`
	// Witnesses confirm the node's right while the store does not confirm its lease.
	Witnesses []Witness `cbor:"8,keyasint,omitempty"`
	Stopping  bool      `cbor:"9,keyasint,omitempty"` // the node is about to end, but not its target
	// Revoked is true if another node recorded that the right to grant of this run has
	// ended for good. The node can return only as another run.
	Revoked bool `cbor:"10,keyasint,omitempty"`
	// Era is that of the store in which the lease was taken, or the revocation recorded.
	// It is 0 if the store names none and in records of earlier versions.
	Era uint64 `cbor:"11,keyasint,omitempty"`
}

// Place returns where the target beside a node runs.
func (m Member) Place() place.Target {
	return place.Target{DataCentre: m.DataCentre, Region: m.Region, Draining: m.Target != nil && m.Target.Leaving}
}

// Serves reports whether a node takes new work of a service to its target.
func (m Member) Serves(service string) bool {
	return !m.Stopping && !m.Revoked && m.Target.Serves(service)
}

// Target is what the target beside a node reports of itself.
type Target struct {
	Incarnation span.Incarnation `cbor:"1,keyasint"`
	Service     string           `cbor:"2,keyasint"`
	Slots       int              `cbor:"3,keyasint"`
	Leaving     bool             `cbor:"4,keyasint,omitempty"` // takes no new work
	Lost        bool             `cbor:"5,keyasint,omitempty"` // sends no heartbeats or has ended
	// Limit is the number of requests a second that the target takes from all nodes
	// together, or 0 for no limit.
	Limit float64 `cbor:"6,keyasint,omitempty"`
	// Cold is true while the target tolerates few requests, as after its start. It is only
	// set for services that limit them.
	Cold bool `cbor:"7,keyasint,omitempty"`
}

// Serves reports whether a target takes new work of a service.
func (t *Target) Serves(service string) bool {
	return t != nil && t.Service == service && !t.Leaving && !t.Lost
}

func encodeMember(m Member) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("cannot encode member record: %v", err))
	}
	return b
}

func decodeMember(key string, b []byte) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Member{}, fmt.Errorf("%w: %s: %w", ErrRecord, key, err)
	}
	if prefixMember+m.Name != key || m.Address == "" {
		return Member{}, fmt.Errorf("%w: %s: expected the node of this key and an address, got node %q at %q", ErrRecord, key, m.Name, m.Address)
	}
	return m, nil
}
