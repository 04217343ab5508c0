package fleet

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"burdocklift/store"
)

const (
	// maxInlineBytes is the size up to which a record is passed on as it is. Larger ones,
	// such as rules with over a thousand routes, are compressed to about a twelfth.
	maxInlineBytes = 16 << 10
	// maxPackedBytes is the compressed size up to which a record is passed on at all. A
	// larger one is read from the store by each node.
	maxPackedBytes = 256 << 10
	// maxUnpackedBytes bounds a record after decompression.
	maxUnpackedBytes = 8 << 20
)

// errPacked is returned for a compressed record that cannot be decompressed.
var errPacked = errors.New("compressed record is not valid")

// packedItem is a record with a compressed value.
type packedItem struct {
	Key  string `cbor:"1,keyasint"`
	Rev  uint64 `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint"`
}

// pack compresses the value of a record.
func pack(it store.Item) (packedItem, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return packedItem{}, err
	}
	if _, err := w.Write(it.Value); err != nil {
		return packedItem{}, err
	}
	if err := w.Close(); err != nil {
		return packedItem{}, err
	}
	return packedItem{Key: it.Key, Rev: it.Rev, Data: b.Bytes()}, nil
}

func (p packedItem) unpack() (store.Item, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxUnpackedBytes+1))
	if err != nil || len(value) > maxUnpackedBytes {
		return store.Item{}, fmt.Errorf("%w: %s at revision %d: %w", errPacked, p.Key, p.Rev, err)
	}
	return store.Item{Key: p.Key, Value: value, Rev: p.Rev}, nil
}

// unpackAll appends records to others.
func unpackAll(items []store.Item, packed []packedItem) ([]store.Item, error) {
	for _, p := range packed {
		it, err := p.unpack()
		if err != nil {
			return nil, err
		}
		items = append(items, it)
	}
	return items, nil
}

// batch holds records in the form in which they are passed on.
type batch struct {
	items  []store.Item
	packed []packedItem
	large  []string // keys of records that are not passed on
}

// addToBatch adds a record for a node that may know compressed records. Those are kept for
// the next node.
func (f *Fleet) addToBatch(b *batch, it store.Item, packs bool) {
	switch {
	case len(it.Value) <= maxInlineBytes:
		b.items = append(b.items, it)
		return
	case !packs:
		b.large = append(b.large, it.Key)
		return
	}
	p, ok := f.packed[it.Key]
	if !ok || p.Rev != it.Rev {
		var err error
		if p, err = pack(it); err != nil {
			b.large = append(b.large, it.Key)
			return
		}
		f.packed[it.Key] = p
	}
	if len(p.Data) > maxPackedBytes {
		b.large = append(b.large, it.Key)
		return
	}
	b.packed = append(b.packed, p)
}
