package fleet

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/peer"
	"burdocklift/store"
)

// Guards against long rules that nodes of an earlier version take for known although they
// cannot read them, while the nodes of a site are replaced by newer ones.
func TestEarlierVersionGetsNoCompressedRecords(t *testing.T) {
	for _, version := range []uint8{0, protocolVersion} {
		t.Run(fmt.Sprint("version ", version), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := clock.NewBubble()
				f := New(Config{
					Name: "n", Address: "n", Store: emul.NewLedger(0).Client("n"), Peers: peer.New(c), Clock: c,
					Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				})
				f.items["long"] = store.Item{Key: "long", Value: make([]byte, 2*maxInlineBytes), Rev: 5}
				f.knownRev, f.versions["old"] = 5, version
				n, _ := f.changesFor("old", 1, c.Elapsed())
				if packed := len(n.Packed) > 0; packed != (version > 0) || packed == (len(n.Large) > 0) {
					t.Errorf("changes have %d compressed records and %d keys to read", len(n.Packed), len(n.Large))
				}
				go func() {
					step := <-f.steps
					step.run(c.Elapsed())
				}()
				request, err := cbor.Marshal(copyRequest{After: 1, Version: version})
				if err != nil {
					t.Fatal(err)
				}
				body, err := f.handleCopy(t.Context(), request)
				if err != nil {
					t.Fatal(err)
				}
				var r copyReply
				if err := cbor.Unmarshal(body, &r); err != nil {
					t.Fatal(err)
				}
				if packed := len(r.Packed) > 0; packed != (version > 0) || packed == (len(r.Items) > 0) {
					t.Errorf("copy has %d compressed and %d other records", len(r.Packed), len(r.Items))
				}
			})
		})
	}
}
