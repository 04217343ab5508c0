// Package proto defines the identifiers, stored records, control messages and
// HTTP header names that the services of a node share.
package proto

import (
	"fmt"
	"time"
)

// HostID identifies one run of the node process on a host. A restarted process
// has a higher incarnation, and no lease or grant of the earlier incarnation
// applies to it.
type HostID struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
}

func (h HostID) String() string { return fmt.Sprintf("%s/%d", h.Name, h.Incarnation) }

// IsZero reports whether the identifier is unset.
func (h HostID) IsZero() bool { return h.Name == "" }

// Addresses are the addresses of a node, each an IP address and a port.
type Addresses struct {
	Caller   string `cbor:"1,keyasint" json:"caller"`
	Peer     string `cbor:"2,keyasint" json:"peer"`
	Control  string `cbor:"3,keyasint" json:"control"`
	Operator string `cbor:"4,keyasint" json:"operator"`
}

// Place is the location of a host.
type Place struct {
	DataCentre string `cbor:"1,keyasint" json:"data_centre"`
	Region     string `cbor:"2,keyasint" json:"region"`
}

// Timing holds the durations of the lease protocol. They must be equal on all
// nodes, as the safety of the protocol depends on the durations measured by the
// clocks of holder and witnesses.
type Timing struct {
	Lease   time.Duration // duration of one grant
	Renew   time.Duration // interval between renewals
	Suspect time.Duration // time without a renewal after which a witness suspects a holder
	Margin  time.Duration // a request is dispatched only if this much of the lease remains
	// DriftPPM bounds the difference in rate of two hosts' clocks, in parts per million.
	DriftPPM int64
}

// DefaultTiming returns the durations specified in docs/design.md.
func DefaultTiming() Timing {
	return Timing{
		Lease:    600 * time.Millisecond,
		Renew:    200 * time.Millisecond,
		Suspect:  400 * time.Millisecond,
		Margin:   20 * time.Millisecond,
		DriftPPM: 10_000,
	}
}

// Stretch extends a duration by the drift bound, for waiting until a deadline
// on the clock of another host has passed.
func (t Timing) Stretch(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)*t.DriftPPM/1_000_000)
}
