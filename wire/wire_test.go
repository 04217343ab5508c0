package wire_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"burdocklift/proto"
	"burdocklift/wire"
)

var (
	a  = proto.HostID{Name: "a", Incarnation: 1}
	b  = proto.HostID{Name: "b", Incarnation: 1}
	b2 = proto.HostID{Name: "b", Incarnation: 2}
)

func listen(t *testing.T) (transport *wire.Transport, stop func()) {
	t.Helper()
	tr, err := wire.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- tr.Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("run: %v", err)
		}
	}
	t.Cleanup(stop)
	return tr, stop
}

func update(n int) proto.Update {
	return proto.Update{Key: "k", Index: 1, Value: bytes.Repeat([]byte{7}, n)}
}

// receive sends a message until it is received, as datagrams may be lost.
func receive(t *testing.T, from, to *wire.Transport, id proto.HostID, m proto.Update) wire.Inbound {
	t.Helper()
	for range 60 {
		if err := from.Send(a, id, m); err != nil {
			t.Fatal(err)
		}
		select {
		case in := <-to.Inbound():
			return in
		case <-time.After(time.Second):
		}
	}
	t.Fatal("no message was received after 60 attempts")
	return wire.Inbound{}
}

// Guards against messages that are truncated, sent to an old address or counted with
// the wrong size.
func TestSend(t *testing.T) {
	from, _ := listen(t)
	old, stopOld := listen(t)
	for _, size := range []int{0, 100, 1300, 900_000} {
		from.SetPeer(b, old.Address())
		in := receive(t, from, old, b, update(size))
		if u, ok := in.Message.(proto.Update); !ok || len(u.Value) != size || in.From != a || in.To != b {
			t.Fatalf("received %v, want an update with a value of %d bytes from a to b", in.Message, size)
		}
	}
	t.Run("bytes include headers", func(t *testing.T) {
		encoded, err := proto.Encode(a, b, update(10))
		if err != nil {
			t.Fatal(err)
		}
		before, _ := from.Bytes()
		if err := from.Send(a, b, update(10)); err != nil {
			t.Fatal(err)
		}
		if after, _ := from.Bytes(); after-before != int64(len(encoded)+28) {
			t.Errorf("counted %d bytes, want %d", after-before, len(encoded)+28)
		}
	})
	t.Run("restarted host with another address", func(t *testing.T) {
		next, _ := listen(t)
		stopOld()
		from.SetPeer(b2, next.Address())
		from.SetPeer(b, old.Address()) // the record of the earlier incarnation is received late
		for _, size := range []int{10, 5000} {
			if in := receive(t, from, next, b2, update(size)); in.To != b2 {
				t.Errorf("message is addressed to %s, want %s", in.To, b2)
			}
		}
	})
	t.Run("unreachable host does not block large messages", func(t *testing.T) {
		from.SetPeer(proto.HostID{Name: "lost"}, old.Address())
		for range 2000 {
			// A message that does not fit into the queue fails at once.
			if err := from.Send(a, proto.HostID{Name: "lost"}, update(2000)); err != nil && !errors.Is(err, wire.ErrQueueFull) {
				t.Fatal(err)
			}
		}
	})
	t.Run("unknown host", func(t *testing.T) {
		if err := from.Send(a, proto.HostID{Name: "x"}, update(1)); !errors.Is(err, wire.ErrNoAddress) {
			t.Errorf("error = %v, want %v", err, wire.ErrNoAddress)
		}
	})
}

// Guards against a call that never returns because the host accepts the connection
// but does not respond, and against a call that outlives the transport.
func TestCall(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	tr, stop := listen(t)
	tr.SetPeer(b, silent.Addr().String())
	if err := tr.Call(t.Context(), "b", "deliver", struct{}{}, new(struct{})); err == nil {
		t.Error("a call without a response succeeded")
	}
	ended := make(chan error, 1)
	go func() { ended <- tr.Call(context.Background(), "b", "deliver", struct{}{}, new(struct{})) }()
	stop()
	if err := <-ended; err == nil {
		t.Error("a call succeeded on a closed transport")
	}
	if err := tr.Send(a, b, update(1)); !errors.Is(err, wire.ErrClosed) {
		t.Errorf("error = %v, want %v", err, wire.ErrClosed)
	}
}
