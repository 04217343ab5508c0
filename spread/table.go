package spread

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"burdocklift/proto"
	"burdocklift/store"
)

// validPrefix is the key prefix under which the newest valid version of a
// configuration document is replicated, in addition to the newest version. A
// node that starts while the stored document is invalid learns the version in
// force from it.
const validPrefix = "good:"

// maxRecordBytes limits the size of a received record; the store accepts values
// up to 1 MB.
const maxRecordBytes = 1 << 20

// version is the newest known version of a record. The delta from the previous
// version is kept for sending.
type version struct {
	index     uint64
	value     []byte
	base      uint64 // index of the previous version, zero if there is none
	baseValue []byte // value of the previous version, until the delta is computed
	delta     []byte
}

// table holds the newest known version of each record. A version is replaced
// only by one with a higher index, whatever its source.
type table struct {
	versions map[string]*version
	sums     [proto.DigestBuckets]uint64
}

func bucket(key string) int { return int(xxhash.Sum64String(key) % proto.DigestBuckets) }

func pairHash(key string, index uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], index)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

func (t *table) index(key string) uint64 {
	if e := t.versions[key]; e != nil {
		return e.index
	}
	return 0
}

// put stores a version and reports whether it was newer than the known one. The
// delta is optional and must start from the known version.
func (t *table) put(r store.Record, delta []byte) bool {
	e := t.versions[r.Key]
	if r.Index == 0 || e != nil && r.Index <= e.index || len(r.Value) > maxRecordBytes {
		return false
	}
	if t.versions == nil {
		t.versions = make(map[string]*version)
	}
	next := &version{index: r.Index, value: r.Value}
	b := bucket(r.Key)
	if e != nil {
		t.sums[b] -= pairHash(r.Key, e.index)
		next.base, next.delta = e.index, delta
		if delta == nil {
			next.baseValue = e.value
		}
	}
	t.sums[b] += pairHash(r.Key, r.Index)
	t.versions[r.Key] = next
	return true
}

// update returns the message that carries a record to a host. A host that is
// assumed to have the previous version is sent a delta if that is smaller than
// three quarters of the record.
func (t *table) update(key string, have uint64, repair bool) (proto.Update, bool) {
	e := t.versions[key]
	if e == nil || have >= e.index {
		return proto.Update{}, false
	}
	u := proto.Update{Key: key, Index: e.index, Value: e.value, Repair: repair}
	if e.base == 0 || have != e.base {
		return u, true
	}
	if e.baseValue != nil {
		e.delta, e.baseValue = encodeDelta(key, e.baseValue, e.value), nil
	}
	if e.delta != nil && len(e.delta) < len(e.value)*3/4 {
		u.Value, u.Base, u.Sum = e.delta, e.base, xxhash.Sum64(e.value)
	}
	return u, true
}

// pairs returns the versions of the records in the buckets of a mask, ordered
// by key.
func (t *table) pairs(mask uint16) []proto.Pair {
	var have []proto.Pair
	for _, key := range slices.Sorted(maps.Keys(t.versions)) {
		if mask&(1<<bucket(key)) != 0 {
			have = append(have, proto.Pair{Key: key, Index: t.versions[key].index})
		}
	}
	return have
}

// differingBuckets returns the mask of the buckets in which a digest differs
// from the table.
func (t *table) differingBuckets(d proto.Digest) uint16 {
	var mask uint16
	for i, sum := range d.Sums {
		if sum != t.sums[i] {
			mask |= 1 << i
		}
	}
	return mask
}

// storeKeys returns the keys of the records that exist in the store.
func (t *table) storeKeys() []string {
	keys := slices.Sorted(maps.Keys(t.versions))
	return slices.DeleteFunc(keys, func(k string) bool { return strings.HasPrefix(k, validPrefix) })
}

// isReplicated reports whether records with this key are replicated.
func isReplicated(key string) bool {
	switch strings.TrimPrefix(key, validPrefix) {
	case proto.KeyInventory, proto.KeyRules:
		return true
	}
	return proto.IsGroupKey(key) || proto.IsPageKey(key)
}
