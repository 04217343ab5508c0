package fleet

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/peer"
	"burdocklift/store"
)

// Guards against a node that goes on as a witness in a run whose right has ended, which
// others count as refusing. The node may have missed that its record said so before the
// record was removed.
func TestEndedRunIsOver(t *testing.T) {
	for name, change := range map[string]func(m Member) store.Item{
		"recorded": func(m Member) store.Item {
			m.Revoked = true
			return store.Item{Value: encodeMember(m), Rev: 9}
		},
		"removed": func(Member) store.Item { return store.Item{Rev: 9, Removed: true} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := clock.NewBubble()
				f := New(Config{
					Name: "n", Address: "n", Store: emul.NewLedger(0).Client("n"), Peers: peer.New(c), Clock: c,
					Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				})
				m := Member{Name: "n", Address: "n", Run: f.run, Lease: 7}
				f.grantRight.lease = m.Lease
				f.applyRecords([]store.Item{{Key: prefixMember + "n", Value: encodeMember(m), Rev: 8}}, fromRead)
				if f.run != m.Run || f.grantRight.lease != m.Lease {
					t.Errorf("run is %d, lease %d, want %d and %d", f.run, f.grantRight.lease, m.Run, m.Lease)
				}
				it := change(m)
				it.Key = prefixMember + "n"
				f.applyRecords([]store.Item{it}, fromRead)
				if f.run == m.Run || f.grantRight.lease != 0 {
					t.Errorf("run is still %d or lease not zero: %d", f.run, f.grantRight.lease)
				}
			})
		})
	}
}
