package proto

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrMessage is returned for a datagram that is not a valid control message.
var ErrMessage = errors.New("invalid control message")

// Message is a control message between nodes.
type Message interface{ kind() uint8 }

// Renew asks a witness to extend the sender's lease.
type Renew struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Grant is the reply to Renew. Refused tells the holder that its incarnation
// was marked and that it must rejoin.
type Grant struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Refused bool   `cbor:"2,keyasint,omitempty"`
}

// Suspect tells the coordinator of a group that the witness has received no
// renewal from the listed hosts for Timing.Suspect.
type Suspect struct {
	Hosts []HostID `cbor:"1,keyasint"`
}

// Refuse asks a witness to reject all further renewals of a marked host.
type Refuse struct {
	Host HostID `cbor:"1,keyasint"`
	// Witness is the incarnation of the witness in the host's member record.
	Witness HostID `cbor:"2,keyasint"`
}

// Refused is the reply to Refuse. Remaining is the time until the witness's
// last grant expires, on the witness's clock.
type Refused struct {
	Host      HostID        `cbor:"1,keyasint"`
	Witness   HostID        `cbor:"2,keyasint"`
	Remaining time.Duration `cbor:"3,keyasint"`
}

// Update carries a stored record to a node that may not have it yet.
type Update struct {
	Key   string `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint"`
	// Base is the index of the version that Value is a delta from; zero means
	// that Value is the whole record.
	Base uint64 `cbor:"4,keyasint,omitempty"`
	// Sum is the xxhash64 of the whole record, to verify the result of a
	// delta.
	Sum uint64 `cbor:"5,keyasint,omitempty"`
	// Repair reports that the record is sent in response to Fetch or Pairs.
	// Only relays forward such a record.
	Repair bool `cbor:"6,keyasint,omitempty"`
}

// DigestBuckets is the number of buckets of a digest. Only the pairs of buckets
// that differ are exchanged.
const DigestBuckets = 16

// Digest holds a checksum per bucket of the versions that the sender has.
type Digest struct {
	Sums [DigestBuckets]uint64 `cbor:"1,keyasint"`
	// Ask requests a reply even if the digests are equal.
	Ask bool `cbor:"2,keyasint,omitempty"`
}

// Pair is the key of a record and the index of a version of it.
type Pair struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Index uint64
}

// Pairs lists versions that the sender has. In reply to Digest it contains all
// pairs of the buckets in Mask; with an empty Mask it announces versions.
type Pairs struct {
	Mask uint16 `cbor:"1,keyasint,omitempty"`
	Have []Pair `cbor:"2,keyasint,omitempty"`
}

// Fetch requests the records that are newer than the given indexes.
type Fetch struct {
	Have []Pair `cbor:"1,keyasint"`
}

// Load is the load report of a host to the planner.
type Load struct {
	Rate  float32     `cbor:"1,keyasint"` // requests per second
	Heavy []HeavyLoad `cbor:"2,keyasint,omitempty"`
}

// HeavyLoad is the load of one of a host's heaviest shards or hot keys.
type HeavyLoad struct {
	_     struct{} `cbor:",toarray"`
	Shard uint32
	Key   string // empty for a shard
	Rate  float32
}

// Notice reports requests that crashed targets, and requests that are no longer
// suspected.
type Notice struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// Crash is the state that the reporting node holds for the hash of a request.
type Crash struct {
	_      struct{} `cbor:",toarray"`
	Hash   uint64
	Round  uint64
	Origin HostID
	Count  int
	Expiry int64 // Unix time in milliseconds
}

// Share carries a message of the protocol by which the nodes of one region
// divide the budget of the paid link to another region: a report or a loan, in
// the encoding of package link.
type Share struct {
	Region string          `cbor:"1,keyasint"`
	Report cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Loan   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

func (Renew) kind() uint8   { return 1 }
func (Grant) kind() uint8   { return 2 }
func (Suspect) kind() uint8 { return 3 }
func (Refuse) kind() uint8  { return 4 }
func (Refused) kind() uint8 { return 5 }
func (Update) kind() uint8  { return 6 }
func (Digest) kind() uint8  { return 16 }
func (Pairs) kind() uint8   { return 17 }
func (Fetch) kind() uint8   { return 18 }
func (Load) kind() uint8    { return 32 }
func (Notice) kind() uint8  { return 33 }
func (Share) kind() uint8   { return 34 }

// Envelope is the encoded form of every datagram.
type Envelope struct {
	_    struct{} `cbor:",toarray"`
	From HostID
	To   HostID
	Kind uint8
	Body cbor.RawMessage
}

// Encode returns the datagram for a message.
func Encode(from, to HostID, m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message %T: %w", m, err)
	}
	b, err := cbor.Marshal(Envelope{From: from, To: to, Kind: m.kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode envelope of %T: %w", m, err)
	}
	return b, nil
}

// Decode parses a datagram.
func Decode(b []byte) (from, to HostID, m Message, err error) {
	var e Envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return from, to, nil, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	decode, ok := decoders[e.Kind]
	if !ok {
		return from, to, nil, fmt.Errorf("%w: unknown kind %d", ErrMessage, e.Kind)
	}
	m, err = decode(e.Body)
	if err != nil {
		return from, to, nil, fmt.Errorf("%w: kind %d: %w", ErrMessage, e.Kind, err)
	}
	return e.From, e.To, m, nil
}

var decoders = map[uint8]func([]byte) (Message, error){
	Renew{}.kind():   decodeAs[Renew],
	Grant{}.kind():   decodeAs[Grant],
	Suspect{}.kind(): decodeAs[Suspect],
	Refuse{}.kind():  decodeAs[Refuse],
	Refused{}.kind(): decodeAs[Refused],
	Update{}.kind():  decodeAs[Update],
	Load{}.kind():    decodeAs[Load],
	Notice{}.kind():  decodeAs[Notice],
	Share{}.kind():   decodeAs[Share],
	Digest{}.kind():  decodeAs[Digest],
	Pairs{}.kind():   decodeAs[Pairs],
	Fetch{}.kind():   decodeAs[Fetch],
}

func decodeAs[M Message](b []byte) (Message, error) {
	var m M
	if err := cbor.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// EncodeRecord encodes a group or page for the store.
func EncodeRecord(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode record %T: %w", v, err)
	}
	return b, nil
}

// DecodeGroup parses a stored group record.
func DecodeGroup(b []byte) (*Group, error) {
	var g Group
	if err := cbor.Unmarshal(b, &g); err != nil {
		return nil, fmt.Errorf("decode group record: %w", err)
	}
	return &g, nil
}

// DecodePage parses a stored page record and checks that its owner indexes are
// in range.
func DecodePage(b []byte) (*Page, error) {
	var p Page
	if err := cbor.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("decode page record: %w", err)
	}
	bad := false
	p.EachEntry(func(_ uint32, _ string, e *Entry) {
		bad = bad || int(e.Owner) >= len(p.Owners) || int(e.Next) > len(p.Owners)
	})
	if bad {
		return nil, fmt.Errorf("decode page record %s/%d: entry has an owner index outside the list of %d owners", p.Service, p.Index, len(p.Owners))
	}
	return &p, nil
}
