package fleet_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// nested returns a CBOR array in an array, and so on.
func nested(depth int) []byte { return append(bytes.Repeat([]byte{0x81}, depth), 0x00) }

// assertFollows fails if nodes end, lose keys or stop following the store.
func assertFollows(t *testing.T, w *site, version byte) {
	t.Helper()
	w.ledger.Put("rules", []byte{version})
	assertRulesWithin(t, w, uint64(version), 2*time.Second)
	for _, name := range hosts {
		select {
		case <-w.nodes[name].ended:
			t.Errorf("%s has ended", name)
		default:
		}
	}
	assertAllHeld(t, w)
}

// Guards against nodes that end, or stop following the store, because of a record of another
// writer that they cannot use.
func TestOddRecords(t *testing.T) {
	member := func(fields map[int]any) []byte {
		b, err := cbor.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	target := map[int]any{1: []any{"odd", 1}, 2: desk, 3: 9}
	for name, record := range map[string]struct {
		key   string
		value []byte
	}{
		"entry of another program, deeply nested":  {"servers/odd", []byte(strings.Repeat("[", 500_000))},
		"entry of another program, large number":   {"servers/odd", []byte(`{"slots":1e999,"sequence":99999999999999999999999}`)},
		"entry of another program, port":           {"servers/odd", []byte(`{"address":"10.0.0.1:99999"}`)},
		"key without a prefix":                     {"burdocklift/odd", []byte("x")},
		"member, deeply nested":                    {"burdocklift/node/odd", nested(100_000)},
		"member, bytes":                            {"burdocklift/node/odd", []byte{0xff, 0x00}},
		"member, empty":                            {"burdocklift/node/odd", nil},
		"member, other name":                       {"burdocklift/node/odd", member(map[int]any{1: "a1", 2: "x"})},
		"member, number too large":                 {"burdocklift/node/odd", []byte{0xa2, 0x01, 0x63, 'o', 'd', 'd', 0x05, 0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0}},
		"member, port out of range":                {"burdocklift/node/odd", member(map[int]any{1: "odd", 2: "10.0.0.1:99999", 3: "dc-a", 4: "region", 5: 1, 6: 1})},
		"member, no address":                       {"burdocklift/node/a0", member(map[int]any{1: "a0", 2: "", 3: "dc-a", 4: "region", 5: 1, 6: 1})},
		"ranges, deeply nested":                    {"burdocklift/span/odd", nested(100_000)},
		"ranges, bytes":                            {"burdocklift/span/" + desk, []byte{0xff}},
		"ranges, empty":                            {"burdocklift/span/" + desk, nil},
		"ranges of an unknown service":             {"burdocklift/span/odd", member(map[int]any{})},
		"rules, bytes that mean an older version":  {"rules", []byte{0}},
		"target with odd numbers at an ended node": {"burdocklift/node/odd", member(map[int]any{1: "odd", 2: "nowhere", 3: "dc-z", 5: 1, 7: target, 10: true})},
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(w *site) {
				w.ledger.Put("rules", []byte{2})
				time.Sleep(time.Second)
				w.ledger.Put(record.key, record.value)
				time.Sleep(3 * time.Second)
				assertFollows(t, w, 3)
			})
		})
	}
}

// Guards against nodes that end because of records with random damage.
func TestDamagedRecords(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			onSite(t, func(w *site) {
				r := rand.New(rand.NewPCG(seed, 5))
				for i := range 40 {
					key := "burdocklift/node/odd"
					source := "burdocklift/node/" + hosts[r.IntN(len(hosts))]
					if i%3 == 0 {
						key, source = "burdocklift/span/odd", "burdocklift/span/"+desk
					}
					b := w.ledger.Value(source)
					for range 1 + r.IntN(4) {
						b[r.IntN(len(b))] = byte(r.Uint32())
					}
					w.ledger.Put(key, b)
					time.Sleep(100 * time.Millisecond)
				}
				assertFollows(t, w, 3)
			})
		})
	}
}
