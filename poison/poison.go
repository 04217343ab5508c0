// Package poison quarantines poison requests: those that crash the target that
// runs them. Each target has a registry; the registries of the nodes exchange
// crash counts in notices.
package poison

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"burdocklift/proto"
)

// Errors that callers test with errors.Is. After the first two, the request did
// not run.
var (
	ErrQuarantined    = errors.New("request is quarantined")
	ErrSuspectRunning = errors.New("another suspect request is running on the target")
	ErrNotFound       = errors.New("fingerprint is not in the registry")
)

// crashLimit is the number of crashes after which a request is quarantined.
const crashLimit = 2

// Hash identifies a request's content or its idempotency key.
type Hash uint64

func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// Fingerprint identifies a request. A retry may change the idempotency key or the
// content, so crashes are counted for both; a request is suspect if either hash
// is.
type Fingerprint struct {
	Content Hash
	ID      Hash // zero if the request has no idempotency key
}

// NewFingerprint returns the fingerprint of a request. The zero UUID means that
// it has no idempotency key.
func NewFingerprint(service, method, path, key string, body []byte, id uuid.UUID) Fingerprint {
	h := xxhash.New()
	var size [8]byte
	for _, s := range []string{"content", service, method, path, key} {
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(body)
	f := Fingerprint{Content: Hash(h.Sum64())}
	if id != uuid.Nil {
		h.Reset()
		_, _ = h.WriteString("id")
		_, _ = h.WriteString(service)
		_, _ = h.Write(id[:])
		f.ID = Hash(h.Sum64())
	}
	return f
}

func (f Fingerprint) hashes() []Hash {
	if f.ID == 0 || f.ID == f.Content {
		return []Hash{f.Content}
	}
	return []Hash{f.Content, f.ID}
}

// Notice is the message that replicates the crash count of one hash to other
// nodes. Notices may arrive in any order and more than once.
type Notice struct {
	Hash Hash `cbor:"1,keyasint"`
	// Round rises when a suspect request is answered or the hash is lifted. The
	// counts of a higher round replace those of all lower ones.
	Round uint64 `cbor:"2,keyasint"`
	// Origin is the node that saw the crashes, and Count their number in this round.
	Origin proto.HostID `cbor:"3,keyasint"`
	Count  int          `cbor:"4,keyasint"`
	Expiry int64        `cbor:"5,keyasint"` // Unix time in milliseconds
}

// Entry is the state of a hash that is suspect or quarantined.
type Entry struct {
	Hash        Hash
	Crashes     int // seen by all nodes
	Quarantined bool
	Expiry      time.Time
}

// Known is what a node knows of crashes during a request.
type Known struct {
	Crashes int           // seen by all nodes
	Own     int           // of them, seen by this node since its start
	Nodes   int           // that saw them; a restarted node counts anew
	Age     time.Duration // since the last one
}

// Suspect reports whether the request was in flight at a crash.
func (k Known) Suspect() bool { return k.Crashes > 0 }

// Quarantined reports whether the request must not run.
func (k Known) Quarantined() bool { return k.Crashes >= crashLimit }

// Config holds the settings of a registry. Zero fields take their defaults.
type Config struct {
	Origin proto.HostID
	// TTL is the time from the last crash until a hash is no longer suspect or
	// quarantined; default 1 h.
	TTL time.Duration
	// MaxEntries bounds the number of hashes; the least recently used one is
	// dropped first; default 4096. A dropped hash may crash two more targets.
	MaxEntries int
}
