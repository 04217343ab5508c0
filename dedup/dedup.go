// Package dedup implements an owner's idempotency table: which requests with an
// idempotency id may run, which have run, and their answers. The entries of a shard
// are handed over with its ownership; without a handover, a floor keeps ids that
// may have run from running again.
package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
)

// Errors that callers test with errors.Is.
var (
	ErrInFlight = errors.New("requests are in flight")
	ErrStale    = errors.New("epoch is not higher than the table's")
	ErrFull     = errors.New("table is full")
	ErrNotOwner = errors.New("epoch is not served")
	ErrInvalid  = errors.New("invalid handover")
)

// Verdict tells the owner what to do with a request.
type Verdict uint8

// Verdicts of Begin. Those that end the request name the outcome that the caller
// gets.
const (
	Run           Verdict = iota + 1 // run the request, then call Finish, Abandon or Forget
	Wait                             // a request with the id is in flight: call Begin again after Done
	Replay                           // return the recorded answer
	Unknown                          // the request may have run: unknown
	TableFull                        // the table is full: not-run
	Hold                             // the id is ahead of the clock by at most the skew: call Begin again after Delay
	Future                           // the id is ahead of the clock by more than the skew: not-run
	Conflict                         // the id belongs to another request: not-run, bad input
	AwaitHandover                    // a handover is expected: call Begin again after Done
	Moved                            // this table does not serve the epoch: not-run
	Invalid                          // the id is not a UUID of version 7: not-run, bad input
)

var verdictNames = [...]string{"", "run", "wait", "replay", "unknown", "refuse", "hold", "future", "conflict", "await", "moved", "invalid"}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Decision is the result of Begin; its other fields are set for some verdicts only.
type Decision struct {
	Verdict Verdict
	Answer  *Answer         // for Replay; read-only
	Done    <-chan struct{} // closed at the end of the wait, for Wait and AwaitHandover
	Delay   time.Duration   // for Hold
}

// Digest is a truncated hash of a request's content.
type Digest [16]byte

// DigestOf returns the digest of a request. The hash is cryptographic, so that a
// caller who knows another caller's id cannot craft a request with the same digest.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, s := range []string{method, path} {
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:])
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(body)
	return Digest(h.Sum(nil)[:16])
}

// Answer is a recorded response of the target.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// answerOverhead bounds the encoded size of an answer's fixed fields and of its
// entry in a handover, and their headers in memory.
const answerOverhead = 128

// Size returns the bytes by which the answer counts against MaxBytes, MaxAnswer and
// MaxChunk. It is at least the answer's encoded size.
func (a *Answer) Size() int {
	n := answerOverhead + len(a.Body)
	for k, values := range a.Header {
		n += len(k) + 16
		for _, v := range values {
			n += len(v) + 16
		}
	}
	return n
}

// Config sets the bounds of a table. Zero fields get the defaults.
type Config struct {
	Retention  time.Duration // age above which ids are unknown; default 10 min
	Skew       time.Duration // bound on the difference of two hosts' clocks; default 250 ms
	MaxEntries int           // ids in the table, staged ones included; default 500,000
	MaxBytes   int           // bytes of recorded answers; default 64 MiB
	MaxAnswer  int           // bytes of one recorded answer; default 64 KiB
	MaxChunk   int           // bytes of one handover message; default 256 KiB
}

func (c Config) withDefaults() Config {
	setDefault(&c.Retention, 10*time.Minute)
	setDefault(&c.Skew, 250*time.Millisecond)
	setDefault(&c.MaxEntries, 500_000)
	setDefault(&c.MaxBytes, 64<<20)
	setDefault(&c.MaxAnswer, 64<<10)
	setDefault(&c.MaxChunk, 256<<10)
	// A chunk must hold at least one entry with the largest answer.
	c.MaxAnswer = min(c.MaxAnswer, c.MaxChunk-chunkOverhead-entrySize)
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// timestampOf returns the timestamp of a UUID of version 7.
func timestampOf(id uuid.UUID) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
}
