// Package span partitions an ordered key space into ranges, each owned by one
// incarnation of one target. Its functions work on an in-memory copy of the
// stored record; callers write it back by compare-and-swap.
package span

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MaxKey is the highest key of the ordered key space.
const MaxKey = 65535

// ErrInvalid is returned for a record that cannot be decoded or is inconsistent.
var ErrInvalid = errors.New("invalid ranges")

// Incarnation is one run of a target. A target that restarts under the same id gets
// a new one.
type Incarnation struct {
	Target    string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// Holder is an incarnation of a target and the node on the same machine.
type Holder struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Node        string      `cbor:"2,keyasint"`
}

// Range is a contiguous part of the key space. Its owner may hold it once no
// prior owner is left.
type Range struct {
	From  int         `cbor:"1,keyasint"`
	To    int         `cbor:"2,keyasint"` // inclusive
	Epoch uint64      `cbor:"3,keyasint"`
	Owner Incarnation `cbor:"4,keyasint"`
	Node  string      `cbor:"5,keyasint"`           // node of the owner
	Prior []Holder    `cbor:"6,keyasint,omitempty"` // earlier owners whose lease may not have ended
	Token string      `cbor:"7,keyasint,omitempty"` // handover token of the last holder
	// Next becomes the owner as soon as the present owner has released the range;
	// zero for none. While it is set, the owner's node does not grant the range.
	Next Holder `cbor:"8,keyasint,omitzero"`
}

// HasNextOwner reports whether a next owner is set.
func (r Range) HasNextOwner() bool { return r.Next != Holder{} }

// finalOwner returns the next owner if there is one, else the present one.
func (r Range) finalOwner() Incarnation {
	if r.HasNextOwner() {
		return r.Next.Incarnation
	}
	return r.Owner
}

// PriorReleased reports whether all prior owners have released the range, so that
// the owner may hold it.
func (r Range) PriorReleased() bool { return len(r.Prior) == 0 }

// Map is the partition of the key space of a service. Ranges are sorted and
// leave no gap; an empty map has no ranges.
type Map struct {
	NextEpoch uint64  `cbor:"1,keyasint"` // epoch that the next change of owner gets
	Ranges    []Range `cbor:"2,keyasint"`
	// Era is that of the store in which the map was written, 0 if it names none.
	Era uint64 `cbor:"3,keyasint,omitempty"`
}

const (
	// deflateThreshold is the size above which the stored form is deflated. Nodes do
	// not relay records of 16 KiB and more, so that after the restart of a site of
	// 87 nodes every node read such a record from the store at each change.
	deflateThreshold = 8 << 10
	// maxInflatedBytes bounds an inflated record. A record with one range per key
	// takes 6 MB.
	maxInflatedBytes = 16 << 20
	// deflatedPrefix is the first byte of a deflated record. No CBOR map begins
	// with it.
	deflatedPrefix = 0x01
)

// Encode returns the map in CBOR, deflated if it is large.
func (m Map) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode ranges: %w", err)
	}
	if len(b) <= deflateThreshold {
		return b, nil
	}
	out := bytes.NewBuffer([]byte{deflatedPrefix})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(b)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("deflate ranges: %w", err)
	}
	return out.Bytes(), nil
}

// Decode reads what Encode wrote and validates it.
func Decode(b []byte) (Map, error) {
	if len(b) > 0 && b[0] == deflatedPrefix {
		var err error
		b, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxInflatedBytes))
		if err != nil {
			return Map{}, fmt.Errorf("%w: inflate: %w", ErrInvalid, err)
		}
	}
	var m Map
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Map{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return m, m.Check()
}

// Check returns an error for a gap, an overlap or an epoch that was not issued.
func (m Map) Check() error {
	next := 0
	for _, r := range m.Ranges {
		if r.From != next || r.To < r.From {
			return fmt.Errorf("%w: range %d to %d is empty or does not begin at key %d", ErrInvalid, r.From, r.To, next)
		}
		if r.Epoch >= m.NextEpoch {
			return fmt.Errorf("%w: epoch %d of range %d to %d was not issued, the next one is %d", ErrInvalid, r.Epoch, r.From, r.To, m.NextEpoch)
		}
		next = r.To + 1
	}
	if len(m.Ranges) > 0 && next != MaxKey+1 {
		return fmt.Errorf("%w: keys from %d have no owner", ErrInvalid, next)
	}
	return nil
}

// Find returns the range that contains a key.
func (m Map) Find(key int) (Range, bool) {
	i, ok := slices.BinarySearchFunc(m.Ranges, key, func(r Range, key int) int {
		switch {
		case r.To < key:
			return -1
		case r.From > key:
			return 1
		}
		return 0
	})
	if !ok {
		return Range{}, false
	}
	return m.Ranges[i], true
}

// Clone returns a deep copy.
func (m Map) Clone() Map {
	m.Ranges = slices.Clone(m.Ranges)
	for i := range m.Ranges {
		m.Ranges[i].Prior = slices.Clone(m.Ranges[i].Prior)
	}
	return m
}

// split divides the range that contains the key, so that one begins at it.
func (m *Map) split(key int) {
	for i, r := range m.Ranges {
		if r.From < key && key <= r.To {
			upper := r
			upper.From = key
			upper.Prior = slices.Clone(r.Prior)
			m.Ranges[i].To = key - 1
			m.Ranges = slices.Insert(m.Ranges, i+1, upper)
			return
		}
	}
}

// updateRanges applies a change to the ranges between two keys, both inclusive,
// after splitting ranges at these boundaries.
func (m *Map) updateRanges(from, to int, change func(r *Range)) {
	m.split(from)
	if to < MaxKey {
		m.split(to + 1)
	}
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.From >= from && r.To <= to {
			change(r)
		}
	}
}

// Assign appends a range for keys that never had an owner.
func (m *Map) Assign(from, to int, owner Incarnation, node string) {
	m.Ranges = append(m.Ranges, Range{From: from, To: to, Epoch: m.issueEpoch(), Owner: owner, Node: node})
}

func (m *Map) issueEpoch() uint64 {
	m.NextEpoch = max(m.NextEpoch, 1)
	m.NextEpoch++
	return m.NextEpoch - 1
}

// RaiseEpochs makes all epochs that are issued from now on exceed a number. Renewed, each
// range gets such an epoch and loses the token of its last handover, as both may be older
// than what the last holder had.
func (m *Map) RaiseEpochs(above uint64, renewed bool) {
	m.NextEpoch = max(m.NextEpoch, above+1)
	for i := range m.Ranges {
		if renewed {
			m.Ranges[i].Epoch, m.Ranges[i].Token = m.issueEpoch(), ""
		}
	}
}

// Move transfers keys to another owner at once. The new owner may hold them when
// the present one has released them or its lease has ended.
func (m *Map) Move(from, to int, owner Incarnation, node string) {
	epoch := m.issueEpoch()
	m.updateRanges(from, to, func(r *Range) {
		if r.Owner == owner {
			return
		}
		// An owner that regains a range does not wait for its own release.
		r.Prior = slices.DeleteFunc(append(r.Prior, Holder{Incarnation: r.Owner, Node: r.Node}),
			func(p Holder) bool { return p.Incarnation == owner })
		r.Owner, r.Node, r.Epoch, r.Token, r.Next = owner, node, epoch, "", Holder{}
	})
}

// SetNextOwner sets the next owner of keys. The present owner serves them until its
// node has learned of the change, so the keys are without a holder for about half as
// long as after Move. A next owner can be replaced but not cleared, as the present
// owner may already have released the keys.
func (m *Map) SetNextOwner(from, to int, owner Incarnation, node string) {
	m.updateRanges(from, to, func(r *Range) {
		if r.Owner != owner || r.HasNextOwner() {
			r.Next = Holder{Incarnation: owner, Node: node}
		}
	})
}

// Release records that an incarnation has released keys and cannot hold them again
// under the epoch: it is a prior owner, or the present owner of a range that has
// a next owner.
type Release struct {
	From        int         `cbor:"1,keyasint"`
	To          int         `cbor:"2,keyasint"`
	Epoch       uint64      `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
	Token       string      `cbor:"5,keyasint,omitempty"` // handover token; empty for none
}

// AppliesTo reports whether the release applies to a range.
func (re Release) AppliesTo(r Range) bool {
	if r.From > re.To || r.To < re.From || r.Epoch != re.Epoch {
		return false
	}
	return r.Owner == re.Incarnation && r.HasNextOwner() ||
		slices.ContainsFunc(r.Prior, func(p Holder) bool { return p.Incarnation == re.Incarnation })
}

// ApplyRelease removes a prior owner that has released its keys, or replaces a
// present one by the next owner. It reports whether the map changed.
func (m *Map) ApplyRelease(rel Release) bool {
	if !slices.ContainsFunc(m.Ranges, rel.AppliesTo) {
		return false
	}
	epoch := uint64(0)
	m.updateRanges(rel.From, rel.To, func(r *Range) {
		if !rel.AppliesTo(*r) {
			return
		}
		if r.Owner == rel.Incarnation && r.HasNextOwner() {
			if epoch == 0 {
				epoch = m.issueEpoch()
			}
			r.Owner, r.Node, r.Epoch, r.Token, r.Next = r.Next.Incarnation, r.Next.Node, epoch, rel.Token, Holder{}
		} else if rel.Token != "" {
			r.Token = rel.Token
		}
		r.Prior = slices.DeleteFunc(r.Prior, func(p Holder) bool { return p.Incarnation == rel.Incarnation || p.Incarnation == r.Owner })
	})
	return true
}

// RemovePrior removes the prior owners on a node from the ranges that a predicate
// selects.
func (m *Map) RemovePrior(node string, chosen func(r Range) bool) {
	for i := range m.Ranges {
		if r := &m.Ranges[i]; chosen(*r) {
			r.Prior = slices.DeleteFunc(r.Prior, func(p Holder) bool { return p.Node == node })
		}
	}
}

// superseded reports whether a holder on a node has ended because a later
// incarnation runs there. Only one target at a time runs beside a node.
func superseded(h Holder, node string, current Incarnation) bool {
	return h.Node == node && h.Incarnation.StartedAt < current.StartedAt
}

// HasSuperseded reports whether ReplaceSuperseded would change the map.
func (m Map) HasSuperseded(node string, current Incarnation) bool {
	ended := func(h Holder) bool { return superseded(h, node, current) }
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Node == node && ended(Holder{r.Owner, r.Node}) || slices.ContainsFunc(r.Prior, ended) {
			return true
		}
	}
	return false
}

// ReplaceSuperseded transfers the keys of earlier incarnations on a node to the
// present one, without waiting for a release: the earlier ones have ended. It
// reports whether the map changed.
func (m *Map) ReplaceSuperseded(node string, current Incarnation) bool {
	return m.ReplaceAllSuperseded(func(name string) (Incarnation, bool) { return current, name == node })
}

// ReplaceAllSuperseded is ReplaceSuperseded for all nodes, of which the function returns
// the present incarnations as far as they are known.
func (m *Map) ReplaceAllSuperseded(current func(node string) (Incarnation, bool)) bool {
	ended := func(h Holder) bool {
		inc, ok := current(h.Node)
		return ok && superseded(h, h.Node, inc)
	}
	changed := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if slices.ContainsFunc(r.Prior, ended) {
			r.Prior = slices.DeleteFunc(r.Prior, ended)
			changed = true
		}
		if ended(Holder{r.Owner, r.Node}) {
			inc, _ := current(r.Node)
			r.Owner, r.Token, r.Epoch = inc, "", m.issueEpoch()
			changed = true
		}
	}
	return changed
}

// Merge coalesces adjacent ranges that differ only in their keys.
func (m *Map) Merge() {
	var out []Range
	for _, r := range m.Ranges {
		if n := len(out); n > 0 && out[n-1].mergeable(r) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	m.Ranges = out
}

func (r Range) mergeable(next Range) bool {
	return r.Owner == next.Owner && r.Node == next.Node && r.Epoch == next.Epoch && r.Token == next.Token && r.Next == next.Next &&
		slices.Equal(r.Prior, next.Prior)
}
