package relay_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/peer"
	"burdocklift/relay"
	"burdocklift/store"
)

// runOnFourNodes runs a test on four nodes that use one store, and passes it the
// store and the relay.Ledger of node "a".
func runOnFourNodes(t *testing.T, test func(t *testing.T, ledger *emul.Ledger, l store.Ledger)) {
	t.Helper()
	runOnNodes(t, func(t *testing.T, ledger *emul.Ledger, nodes map[string]*relay.Ledger) { test(t, ledger, nodes["a"]) })
}

// runOnNodes is runOnFourNodes for tests that call the store from several nodes.
func runOnNodes(t *testing.T, test func(t *testing.T, ledger *emul.Ledger, nodes map[string]*relay.Ledger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := clock.NewBubble()
		net, ledger := emul.NewNet(), emul.NewLedger(4*time.Millisecond)
		ends := make(chan error, 4)
		nodes := make(map[string]*relay.Ledger)
		for _, name := range []string{"d", "c", "b", "a"} {
			peers := peer.New(c)
			peers.SetDialer(net.Dialer(name))
			nodes[name] = relay.New(ledger.Client(name), peers, c)
			l := net.Listen(name)
			go func() { ends <- peers.Run(ctx, l) }()
		}
		nodes["a"].SetRelays(func() []string { return []string{"b", "c", "d"} })
		test(t, ledger, nodes)
		cancel()
		for range 4 {
			if err := <-ends; err != nil {
				t.Errorf("node ended with %v", err)
			}
		}
	})
}

func commit(l store.Ledger) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := l.Commit(ctx, store.Txn{
		Expect: []store.Expect{{Key: "k"}}, Writes: []store.Write{{Key: "k", Value: []byte("v")}},
	})
	return err
}

// Guards against a node that cannot write records that other nodes wait for,
// while the store refuses it and the first node that it asks.
func TestStoreRefusesNode(t *testing.T) {
	runOnFourNodes(t, func(t *testing.T, ledger *emul.Ledger, l store.Ledger) {
		ledger.SetFaults(emul.LedgerFaults{Turned: map[string]bool{"a": true, "b": true}})
		if err := commit(l); err != nil {
			t.Errorf("write through another node failed: %v", err)
		}
		it, err := l.Read(context.Background(), "k")
		if err != nil || string(it.Value) != "v" {
			t.Errorf("read %q with error %v, want \"v\"", it.Value, err)
		}
		if err := commit(l); !errors.Is(err, store.ErrConflict) {
			t.Errorf("second write returned %v, want a conflict", err)
		}
		if _, err := l.Read(context.Background(), "none"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("read of a missing record returned %v, want not found", err)
		}
	})
}

// Guards against a write that is made twice because its answer was lost.
func TestLostAnswer(t *testing.T) {
	runOnFourNodes(t, func(t *testing.T, ledger *emul.Ledger, l store.Ledger) {
		writes := 0
		ledger.SetFaults(emul.LedgerFaults{Lost: func() (bool, time.Duration) { writes++; return true, 0 }})
		if err := commit(l); !errors.Is(err, store.ErrUncertain) {
			t.Errorf("write without an answer returned %v, want uncertain", err)
		}
		if writes != 1 {
			t.Errorf("write was made %d times, want once", writes)
		}
	})
}

// Guards against an endless wait while the store is down for all nodes.
func TestStoreDownForAllNodes(t *testing.T) {
	runOnFourNodes(t, func(t *testing.T, ledger *emul.Ledger, l store.Ledger) {
		ledger.SetFaults(emul.LedgerFaults{Down: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := l.KeepLease(ctx, 1); !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUncertain) {
			t.Errorf("error is %v, want unavailable or uncertain", err)
		}
	})
}

// keepLease renews a lease within the time that nodes give it.
func keepLease(l store.Ledger, lease uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
	defer cancel()
	return l.KeepLease(ctx, lease)
}

// Guards against renewals that fail for as long as the store leaves this node and the
// nodes that it asks first without an answer.
func TestStoreSilentToNodesAsked(t *testing.T) {
	for _, aware := range []bool{true, false} {
		t.Run(fmt.Sprintf("they know it is %v", aware), func(t *testing.T) {
			runOnNodes(t, func(t *testing.T, ledger *emul.Ledger, nodes map[string]*relay.Ledger) {
				lease, err := nodes["a"].NewLease(context.Background(), time.Minute)
				if err != nil {
					t.Fatal(err)
				}
				ledger.SetFaults(emul.LedgerFaults{Silent: map[string]bool{"a": true, "b": true, "c": true}})
				failures := 0
				for range 5 {
					if aware {
						_, _ = keepLease(nodes["b"], lease), keepLease(nodes["c"], lease)
					}
					if keepLease(nodes["a"], lease) != nil {
						failures++
					}
				}
				if aware && failures > 1 || failures > 3 {
					t.Errorf("%d of 5 renewals failed, want the first one only, or one for each node asked", failures)
				}
			})
		})
	}
}

// Guards against replies of another era that pass for present ones: a node that does not
// know eras (it names none) may answer from before or after a restore.
func TestEraOfReplies(t *testing.T) {
	runOnNodes(t, func(t *testing.T, ledger *emul.Ledger, nodes map[string]*relay.Ledger) {
		read := func(name string) error {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := nodes[name].Read(ctx, "k")
			return err
		}
		ledger.Put("k", nil)
		ledger.SetEra(2)
		ledger.SetFaults(emul.LedgerFaults{Turned: map[string]bool{"a": true}})
		if err := read("a"); err != nil || nodes["a"].Era() != 2 {
			t.Errorf("relayed read: error %v, era %d, want 2", err, nodes["a"].Era())
		}
		time.Sleep(time.Second)
		ledger.Restore(500 * time.Millisecond)
		if err := read("a"); err != nil || nodes["a"].Era() != 3 {
			t.Errorf("relayed read after a restore: error %v, era %d, want 3", err, nodes["a"].Era())
		}
		txn := store.Txn{Era: 2, Writes: []store.Write{{Key: "k", Value: []byte("v")}}}
		if _, err := nodes["a"].Commit(context.Background(), txn); !errors.Is(err, store.ErrConflict) {
			t.Errorf("relayed write on conditions of an earlier era: %v, want %v", err, store.ErrConflict)
		}
		ledger.SetEra(0) // the others answer as nodes that do not know eras
		if err := read("a"); !errors.Is(err, store.ErrUncertain) {
			t.Errorf("reply without an era after a restore: %v, want %v", err, store.ErrUncertain)
		}
	})
}
