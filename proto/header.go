package proto

// Names of the HTTP headers exchanged with callers and targets and between
// nodes.
const (
	HeaderOutcome  = "Burdocklift-Outcome"
	HeaderReason   = "Burdocklift-Reason"
	HeaderDeadline = "Burdocklift-Deadline"
	HeaderID       = "Idempotency-Key"

	HeaderEpoch    = "Burdocklift-Epoch"
	HeaderGrantEnd = "Burdocklift-Grant-End"
	HeaderHop      = "Burdocklift-Hop"
	HeaderShard    = "Burdocklift-Shard"
	HeaderOwner    = "Burdocklift-Owner"
	HeaderClass    = "Burdocklift-Class"
	HeaderKey      = "Burdocklift-Key"
	HeaderRegion   = "Burdocklift-Region"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes reported to callers.
const (
	Answered Outcome = "answer"  // the complete response of the target
	NotRun   Outcome = "not-run" // the request did not run
	Unknown  Outcome = "unknown" // the request may have run
)

// PathTarget is the HTTP path on the peer address of a node to which a target
// on the same host sends its Announcement.
const PathTarget = "/burdocklift/target"

// Announcement is the report that a target sends to the node on its host about
// once a second.
type Announcement struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksGrants bool   `json:"checks_grants"`
	Leaving      bool   `json:"leaving"`
}
