package admin

import (
	"time"

	"burdocklift/poison"
)

// Status is the state of a node.
type Status struct {
	Node        string   `json:"node"`
	Incarnation uint64   `json:"incarnation"`
	DataCentre  string   `json:"data_centre"`
	Region      string   `json:"region"`
	Phase       string   `json:"phase"`
	Lease       Lease    `json:"lease"`
	Relay       bool     `json:"relay"`
	Planner     bool     `json:"planner"`
	Rules       Document `json:"rules"`
	Inventory   Document `json:"inventory"`
	// Records is absent if the control goroutine did not answer in time.
	Records  *Records  `json:"records,omitempty"`
	Members  int       `json:"members"`
	Store    Store     `json:"store"`
	Measures []Measure `json:"measures"`
}

// Lease is the state of the host's lease.
type Lease struct {
	State       string `json:"state"` // valid or lapsed
	RemainingMS int64  `json:"remaining_ms"`
}

// Document is the state of a configuration document on the node.
type Document struct {
	Version uint64    `json:"version"` // in force; 0 if there is none
	Index   uint64    `json:"index"`   // of the version in force in the store
	Since   time.Time `json:"since,omitzero"`
	Refused *Refused  `json:"refused,omitempty"`
}

// Refused is a stored version that the node does not apply.
type Refused struct {
	Index  uint64    `json:"index"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason"`
}

// Records are the records that the node holds.
type Records struct {
	Count  int    `json:"count"`
	Newest uint64 `json:"newest_index"`
}

// Store is the state of the platform's store as the node last saw it.
type Store struct {
	State    string    `json:"state"` // unknown, available or unavailable
	Since    time.Time `json:"since,omitzero"`
	LastCall time.Time `json:"last_call,omitzero"` // end of the last call
}

// Measure is the live metrics of one keyed service.
type Measure struct {
	Service string `json:"service"`
	// Imbalance is the maximum over the mean of the request rate per slot. Only
	// the planner receives the rates; it is absent on other nodes.
	Imbalance *float64 `json:"imbalance,omitempty"`
	// EntryImbalance is the maximum over the mean of shards and hot keys per slot.
	EntryImbalance float64 `json:"entry_imbalance"`
	// Churn is the number of owner changes of shards and hot keys since the start.
	Churn int `json:"churn"`
	// Unavailable is the number of shards and hot keys without a serving owner.
	Unavailable int `json:"unavailable"`
	// UnavailableSeconds sums up the unavailable time of all entries since the
	// start, and LongestSeconds is the longest time for which there was any.
	UnavailableSeconds float64 `json:"unavailable_seconds"`
	LongestSeconds     float64 `json:"longest_seconds"`
}

// Member is a host in the node's membership.
type Member struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Service     string `json:"service"`
	State       string `json:"state"`
	Operator    string `json:"operator"` // address
	Entries     int    `json:"entries"`  // shards and hot keys that the host owns
}

// Ownership says who owns a key.
type Ownership struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Shard   uint32 `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	Owner   string `json:"owner"`
	Next    string `json:"next,omitempty"`
	Hot     bool   `json:"hot"`
}

// Quarantined is a request that is suspect or quarantined.
type Quarantined struct {
	Hash        string    `json:"hash"`
	Crashes     int       `json:"crashes"`
	Quarantined bool      `json:"quarantined"`
	Expiry      time.Time `json:"expiry"`
}

func quarantined(e poison.Entry) Quarantined {
	return Quarantined{Hash: e.Hash.String(), Crashes: e.Crashes, Quarantined: e.Quarantined, Expiry: e.Expiry}
}
