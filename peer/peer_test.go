package peer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/peer"
	"github.com/fxamacker/cbor/v2"
)

const (
	echo peer.Method = iota + 1
	hang
	fail // returns an error when the caller cancels
	slow // replies after slowTime
	crash
)

const slowTime = 300 * time.Millisecond

// runOnTwoNodes runs a test on two nodes, "a" and "b", and passes it the
// transport of "a".
func runOnTwoNodes(t *testing.T, test func(t *testing.T, net *emul.Net, a *peer.Transport, ended <-chan struct{})) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := clock.NewBubble()
		net := emul.NewNet()
		ended := make(chan struct{}, 10)
		ends := make(chan error, 2)
		var a *peer.Transport
		for _, name := range []string{"b", "a"} {
			n := peer.New(c)
			n.SetDialer(net.Dialer(name))
			n.Handle(echo, func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
			n.Handle(hang, func(ctx context.Context, _ []byte) ([]byte, error) {
				<-ctx.Done()
				ended <- struct{}{}
				return cbor.Marshal("late")
			})
			n.Handle(fail, func(ctx context.Context, _ []byte) ([]byte, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
			n.Handle(crash, func(context.Context, []byte) ([]byte, error) { panic("unexpected") })
			n.Handle(slow, func(_ context.Context, body []byte) ([]byte, error) {
				time.Sleep(slowTime)
				return body, nil
			})
			l := net.Listen(name)
			go func() { ends <- n.Run(ctx, l) }()
			a = n
		}
		test(t, net, a, ended)
		net.Cut("a", "b", false)
		cancel()
		for range 2 {
			if err := <-ends; err != nil {
				t.Errorf("node ended with %v", err)
			}
		}
	})
}

func call(n *peer.Transport, to string, m peer.Method, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return peer.Call[string](ctx, n, to, m, "hello")
}

func assertError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("error is %v, want %v", err, want)
	}
}

// Guards against replies that are delivered to other calls.
func TestCalls(t *testing.T) {
	runOnTwoNodes(t, func(t *testing.T, _ *emul.Net, a *peer.Transport, _ <-chan struct{}) {
		results := make(chan error, 20)
		for range 20 {
			go func() {
				reply, err := call(a, "b", echo, time.Second)
				if err == nil && reply != "hello" {
					err = errors.New(reply)
				}
				results <- err
			}()
		}
		for range 20 {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against a call that is reported as sent although the other node never
// received it.
func TestNotSent(t *testing.T) {
	runOnTwoNodes(t, func(t *testing.T, net *emul.Net, a *peer.Transport, _ <-chan struct{}) {
		_, err := call(a, "nobody", echo, time.Second)
		assertError(t, err, peer.ErrNotSent)
		if a.Reachable("nobody") {
			t.Error("address is reported as reachable after a refused connection")
		}
		net.Cut("a", "b", true)
		start := time.Now()
		_, err = call(a, "b", echo, 5*time.Second)
		assertError(t, err, peer.ErrNotSent)
		if took := time.Since(start); took > time.Second {
			t.Errorf("broken path was detected after %v, want 1 s at most", took)
		}
	})
}

// Guards against calls that keep waiting for a node that has stopped
// responding.
func TestUnresponsiveNode(t *testing.T) {
	runOnTwoNodes(t, func(t *testing.T, net *emul.Net, a *peer.Transport, _ <-chan struct{}) {
		if _, err := call(a, "b", echo, time.Second); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(100*time.Millisecond, func() { net.Cut("a", "b", true) })
		start := time.Now()
		_, err := call(a, "b", hang, time.Minute)
		assertError(t, err, peer.ErrNoReply)
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("call to a node that stopped responding failed after %v, want 4 s at most", took)
		}
	})
}

// Guards against work that continues after its caller has cancelled the call.
func TestCancel(t *testing.T) {
	runOnTwoNodes(t, func(t *testing.T, _ *emul.Net, a *peer.Transport, ended <-chan struct{}) {
		_, err := call(a, "b", hang, 100*time.Millisecond)
		assertError(t, err, peer.ErrNoReply)
		<-ended
	})
}

// Guards against a cancelled call that closes the connection for all others on
// it: requests at a target were cut off when a call to a witness on the same
// connection was cancelled.
func TestOthersOutlastCancel(t *testing.T) {
	runOnTwoNodes(t, func(t *testing.T, _ *emul.Net, a *peer.Transport, _ <-chan struct{}) {
		done := make(chan error, 1)
		go func() {
			_, err := call(a, "b", slow, time.Second)
			done <- err
		}()
		_, err := call(a, "b", fail, slowTime/3)
		assertError(t, err, peer.ErrNoReply)
		if err := <-done; err != nil {
			t.Errorf("another call on the connection failed with %v", err)
		}
	})
}

// Guards against an unexpected error in one call that ends the whole process.
func TestPanicOfHandler(t *testing.T) {
	runOnTwoNodes(t, func(t *testing.T, _ *emul.Net, a *peer.Transport, _ <-chan struct{}) {
		_, err := call(a, "b", crash, time.Second)
		assertError(t, err, peer.ErrNoReply)
		if reply, err := call(a, "b", echo, time.Second); err != nil || reply != "hello" {
			t.Errorf("the next call got %q, %v", reply, err)
		}
	})
}
