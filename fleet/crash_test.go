package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/emul"
	"burdocklift/poison"
	"burdocklift/store"
)

func crashKey(node string) string { return "burdocklift/crash/" + node }

func crashValue(t *testing.T, notices ...poison.Notice) []byte {
	t.Helper()
	b, err := cbor.Marshal(notices)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against records of crashes that stay at the store for good, as the node that
// wrote them is gone.
func TestExpiredCrashesAreRemoved(t *testing.T) {
	onSite(t, func(w *site) {
		notice := func(valid time.Duration) poison.Notice {
			return poison.Notice{Hash: 1, Count: 1, Expiry: time.Now().Add(valid).UnixMilli()}
		}
		w.ledger.Put(crashKey("gone"), crashValue(t, notice(30*time.Second)))
		w.ledger.Put(crashKey("gone-later"), crashValue(t, notice(30*time.Second), notice(time.Hour)))
		time.Sleep(2*time.Minute + 10*time.Second)
		if _, err := w.ledger.Client("test").Read(w.ctx, crashKey("gone")); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("read of the expired record ends with %v, want %v", err, store.ErrNotFound)
		}
		if _, err := w.ledger.Client("test").Read(w.ctx, crashKey("gone-later")); err != nil {
			t.Errorf("record with a valid notice: %v", err)
		}
	})
}

// crashLog is a fleet.CrashLog that records what a test sets.
type crashLog struct {
	own atomic.Pointer[[]poison.Notice]
}

func (*crashLog) Merge([]poison.Notice)   {}
func (*crashLog) Inherit([]poison.Notice) {}
func (l *crashLog) Own() []poison.Notice {
	if own := l.own.Load(); own != nil {
		return *own
	}
	return nil
}

// Guards against a write to the store for each crash of a target that crashes all the time,
// and against crashes that an outage of the store leaves unrecorded.
func TestWritesOfCrashes(t *testing.T) {
	for name, down := range map[string]bool{"store up": false, "after an outage": true} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(w *site) {
				log := &crashLog{}
				w.killNode("a1")
				w.crashLog = log
				w.startNode("a1")
				time.Sleep(3 * time.Second)
				f := w.node("a1")
				w.setFaults(func(f *emul.LedgerFaults) { f.Down = down })
				revs := make(map[uint64]bool)
				for n := range 100 {
					log.own.Store(&[]poison.Notice{{Hash: 7, Count: n + 1, Expiry: time.Now().Add(time.Hour).UnixMilli()}})
					f.RecordCrashes(true)
					time.Sleep(100 * time.Millisecond)
					if n == 50 {
						w.setFaults(func(f *emul.LedgerFaults) { f.Down = false })
					}
					if n < 50 && down {
						continue // the store does not answer
					}
					if it, err := w.ledger.Client("test").Read(w.ctx, crashKey("a1")); err == nil {
						revs[it.Rev] = true
					}
				}
				time.Sleep(3 * time.Second)
				it, err := w.ledger.Client("test").Read(w.ctx, crashKey("a1"))
				var recorded []poison.Notice
				if err == nil {
					err = cbor.Unmarshal(it.Value, &recorded)
				}
				if err != nil || len(recorded) != 1 || recorded[0].Count != 100 {
					t.Errorf("record is %v, %v, want the last of 100 crashes", recorded, err)
				}
				if n := len(revs); n > 7 {
					t.Errorf("%d writes in 10 s, want one in 2 s", n)
				}
			})
		})
	}
}

// Guards against records of other writers that end a node or take its memory.
func TestInvalidCrashRecords(t *testing.T) {
	onSite(t, func(w *site) {
		many := make([]poison.Notice, 2000)
		for i := range many {
			many[i] = poison.Notice{Hash: poison.Hash(i), Count: 1, Expiry: time.Now().Add(time.Hour).UnixMilli()}
		}
		for name, value := range map[string][]byte{"empty": nil, "odd": []byte("odd"), "many": crashValue(t, many...)} {
			w.ledger.Put(crashKey(name), value)
		}
		time.Sleep(2 * time.Second)
		assertAllHeld(t, w)
	})
}

// Guards against calls to the store that grow with the number of targets that crash at the
// same moment: the records of crashes are written with those of the members.
func TestCrashesOfManyTargetsCostNoWrites(t *testing.T) {
	const nodes, notices = 40, 24
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newSite(ctx, t, nil)
		defer w.stop()
		logs := make(map[string]*crashLog)
		for i := range nodes {
			name := fmt.Sprintf("%c%d", 'a'+i%4, i)
			logs[name] = &crashLog{}
			w.crashLog = logs[name]
			w.startNode(name)
			w.startTarget(name)
		}
		time.Sleep(6 * time.Second)
		var group sync.WaitGroup
		for name, log := range logs {
			group.Go(func() {
				inc := w.node(name).View().Target().Incarnation
				w.crashTarget(name)
				own := make([]poison.Notice, notices)
				for i := range own {
					own[i] = poison.Notice{Hash: poison.Hash(i), Count: 1, Expiry: time.Now().Add(time.Hour).UnixMilli()}
				}
				log.own.Store(&own)
				w.node(name).RecordCrashes(true)
				if err := w.node(name).MarkTargetEnded(ctx, inc); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		time.Sleep(1500 * time.Millisecond)
		for name := range logs {
			record, err := w.ledger.Client("test").Read(ctx, crashKey(name))
			member, memberErr := w.ledger.Client("test").Read(ctx, "burdocklift/node/"+name)
			if err = errors.Join(err, memberErr); err != nil || record.Rev != member.Rev {
				t.Errorf("crashes at %s are written at revision %d, the member record at %d, %v", name, record.Rev, member.Rev, err)
			}
		}
	})
}
