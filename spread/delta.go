package spread

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"burdocklift/proto"
)

// errDelta is returned for a delta that does not apply to the known version.
// The whole record is then fetched.
var errDelta = errors.New("delta does not apply to the known version")

// pageDelta is the difference between two versions of a page; it holds only the
// changed entries.
type pageDelta struct {
	Stamp proto.Stamp `cbor:"1,keyasint"`
	// Owners is the new list of owners: one more than the position in the old
	// list, or zero for the next host of Added. It is empty if the list is
	// unchanged.
	Owners []uint16       `cbor:"2,keyasint,omitempty"`
	Added  []proto.HostID `cbor:"3,keyasint,omitempty"`
	Shards []shardChange  `cbor:"4,keyasint,omitempty"`
	// Hot replaces all hot keys if HotChanged is set.
	HotChanged bool             `cbor:"5,keyasint,omitempty"`
	Hot        []proto.HotEntry `cbor:"6,keyasint,omitempty"`
}

// shardChange is the new entry of a shard. Skip is the number of unchanged
// shards before it.
type shardChange struct {
	_     struct{} `cbor:",toarray"`
	Skip  uint16
	Entry proto.Entry
}

// textOp is one operation of a text delta: a copy of lines of the old version
// from a position, or new text.
type textOp struct {
	_     struct{} `cbor:",toarray"`
	From  int
	Lines int
	Text  []byte
}

// encodeDelta returns the delta between two versions of a record, or nil if the
// whole record has to be sent.
func encodeDelta(key string, from, to []byte) []byte {
	var v any
	switch {
	case proto.IsPageKey(key):
		a, errA := proto.DecodePage(from)
		b, errB := proto.DecodePage(to)
		if errA != nil || errB != nil || a.Service != b.Service || a.Index != b.Index || len(a.Shards) != len(b.Shards) {
			return nil
		}
		v = diffPage(a, b)
	case proto.IsGroupKey(key):
		return nil
	default:
		v = diffLines(from, to)
	}
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil
	}
	// If the delta does not reproduce the record, the whole record is sent.
	if again, err := applyDelta(key, from, b, xxhash.Sum64(to)); err != nil || !bytes.Equal(again, to) {
		return nil
	}
	return b
}

// applyDelta returns the version that results from a delta. The checksum of the
// whole record detects a delta that was made from a different version with the
// same index.
func applyDelta(key string, from, delta []byte, sum uint64) ([]byte, error) {
	var value []byte
	var err error
	if proto.IsPageKey(key) {
		value, err = applyPageDelta(from, delta)
	} else {
		value, err = applyTextDelta(from, delta)
	}
	if err != nil {
		return nil, fmt.Errorf("record %s: %w: %w", key, errDelta, err)
	}
	if xxhash.Sum64(value) != sum {
		return nil, fmt.Errorf("record %s: %w: checksum differs", key, errDelta)
	}
	return value, nil
}

func diffPage(a, b *proto.Page) pageDelta {
	d := pageDelta{Stamp: b.Stamp}
	if !slices.Equal(a.Owners, b.Owners) {
		for _, id := range b.Owners {
			i := slices.Index(a.Owners, id)
			d.Owners = append(d.Owners, uint16(i+1))
			if i < 0 {
				d.Added = append(d.Added, id)
			}
		}
	}
	index := ownerMapping(len(a.Owners), d.Owners)
	skip := uint16(0)
	for i, e := range b.Shards {
		if moved, ok := remapOwners(a.Shards[i], index); ok && moved == e {
			skip++
			continue
		}
		d.Shards = append(d.Shards, shardChange{Skip: skip, Entry: e})
		skip = 0
	}
	same := func(x, y proto.HotEntry) bool {
		moved, ok := remapOwners(x.Entry, index)
		return ok && x.Key == y.Key && moved == y.Entry
	}
	if !slices.EqualFunc(a.Hot, b.Hot, same) {
		d.HotChanged, d.Hot = true, b.Hot
	}
	return d
}

// ownerMapping maps positions in the old list of owners to the new list, or to -1.
func ownerMapping(n int, owners []uint16) []int {
	index := make([]int, n)
	for i := range index {
		index[i] = i
		if owners != nil {
			index[i] = slices.Index(owners, uint16(i+1))
		}
	}
	return index
}

func remapOwners(e proto.Entry, index []int) (proto.Entry, bool) {
	owner := index[e.Owner]
	if owner < 0 {
		return e, false
	}
	e.Owner = uint16(owner)
	if e.Next > 0 {
		next := index[e.Next-1]
		if next < 0 {
			return e, false
		}
		e.Next = uint16(next + 1)
	}
	return e, true
}

func applyPageDelta(from, delta []byte) ([]byte, error) {
	p, err := proto.DecodePage(from)
	if err != nil {
		return nil, err
	}
	var d pageDelta
	if err := cbor.Unmarshal(delta, &d); err != nil {
		return nil, err
	}
	index := ownerMapping(len(p.Owners), d.Owners)
	if d.Owners != nil {
		owners, added := make([]proto.HostID, 0, len(d.Owners)), d.Added
		for _, at := range d.Owners {
			switch {
			case at > 0 && int(at) <= len(p.Owners):
				owners = append(owners, p.Owners[at-1])
			case at == 0 && len(added) > 0:
				owners, added = append(owners, added[0]), added[1:]
			default:
				return nil, fmt.Errorf("owner %d is neither in the old list nor added", at)
			}
		}
		p.Owners = owners
	}
	// Entries whose owners cannot be remapped are replaced below; if one is
	// not, the checksum differs.
	p.EachEntry(func(_ uint32, _ string, e *proto.Entry) { *e, _ = remapOwners(*e, index) })
	at := 0
	for _, ch := range d.Shards {
		at += int(ch.Skip)
		if at >= len(p.Shards) {
			return nil, fmt.Errorf("shard %d is outside the page", at)
		}
		p.Shards[at] = ch.Entry
		at++
	}
	if d.HotChanged {
		p.Hot = d.Hot
	}
	p.Stamp = d.Stamp
	return proto.EncodeRecord(p)
}

// diffLines encodes runs of equal lines as copies and the others as text. A
// line is looked up by its content, preferably right after the last copied one.
func diffLines(from, to []byte) []textOp {
	old := bytes.SplitAfter(from, []byte("\n"))
	at := make(map[string]int, len(old))
	for i, line := range old {
		if _, ok := at[string(line)]; !ok {
			at[string(line)] = i
		}
	}
	var ops []textOp
	next := 0
	for line := range bytes.SplitAfterSeq(to, []byte("\n")) {
		i, ok := next, next < len(old) && bytes.Equal(old[next], line)
		if !ok {
			i, ok = at[string(line)]
		}
		last := len(ops) - 1
		switch {
		case ok && last >= 0 && ops[last].Lines > 0 && ops[last].From+ops[last].Lines == i:
			ops[last].Lines++
		case ok:
			ops = append(ops, textOp{From: i, Lines: 1})
		case last >= 0 && ops[last].Lines == 0:
			ops[last].Text = append(ops[last].Text, line...)
		default:
			ops = append(ops, textOp{Text: slices.Clone(line)})
		}
		next++
		if ok {
			next = i + 1
		}
	}
	return ops
}

func applyTextDelta(from, delta []byte) ([]byte, error) {
	var ops []textOp
	if err := cbor.Unmarshal(delta, &ops); err != nil {
		return nil, err
	}
	old := bytes.SplitAfter(from, []byte("\n"))
	var value []byte
	for _, op := range ops {
		if op.From < 0 || op.Lines < 0 || op.From > len(old) || op.Lines > len(old)-op.From {
			return nil, fmt.Errorf("lines %d+%d are outside the text of %d lines", op.From, op.Lines, len(old))
		}
		for _, line := range old[op.From : op.From+op.Lines] {
			value = append(value, line...)
		}
		value = append(value, op.Text...)
		if len(value) > maxRecordBytes {
			return nil, fmt.Errorf("text is over %d bytes", maxRecordBytes)
		}
	}
	return value, nil
}
