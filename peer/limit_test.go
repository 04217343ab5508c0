package peer

import (
	"bufio"
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/budget"
	"burdocklift/clock"
	"burdocklift/emul"
)

// slowConn is a connection over a slow link.
type slowConn struct{ net.Conn }

// Write implements io.Writer.
func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(len(b)) * time.Second / 1_250_000) // 10 Mbit/s
	return c.Conn.Write(b)
}

// Guards against a large call that is taken for silence, on either side, while a slow link
// carries it.
func TestLargeCallOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := emul.NewNet()
		var stopped []chan error
		nodes := make(map[string]*Transport)
		for _, name := range []string{"near", "far"} {
			n := New(clock.NewBubble())
			n.SetLimits(budget.New(16<<20, clock.NewBubble()), 0, nil)
			n.Handle(echoMethod, func(_ context.Context, body []byte) ([]byte, error) { return body[:1], nil })
			dial := network.Dialer(name)
			n.SetDialer(func(ctx context.Context, address string) (net.Conn, error) {
				c, err := dial(ctx, address)
				return slowConn{c}, err
			})
			end := make(chan error, 1)
			go func() { end <- n.Run(ctx, network.Listen(name)) }()
			stopped = append(stopped, end)
			nodes[name] = n
		}
		synctest.Wait()
		for _, size := range []int{ownConnection, 8 << 20} {
			reply, err := nodes["near"].call(ctx, "far", echoMethod, make([]byte, size/2), make([]byte, size/2))
			if err != nil || len(reply) != 1 {
				t.Errorf("call of %d bytes got %d bytes, %v", size, len(reply), err)
			}
		}
		cancel()
		for _, end := range stopped {
			if err := <-end; err != nil {
				t.Errorf("node ended with %v", err)
			}
		}
		synctest.Wait()
		if used := nodes["far"].account.Usage().Used; used != 0 {
			t.Errorf("%d bytes are still reserved", used)
		}
	})
}

// Guards against a frame that stops short of its end and is kept for ever.
func TestFrameStopsShort(t *testing.T) {
	runOnNode(t, func(t *testing.T, c rawClient, _ <-chan time.Time) {
		whole := frame{kind: frameCall, method: echoMethod, stream: 1, body: make([]byte, 100<<10)}.appendTo(nil)
		if _, err := c.Write(whole[:len(whole)-1]); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		c.read()
		if took := time.Since(began); took > 2*framePause {
			t.Errorf("the connection was closed after %v", took)
		}
	})
}

// Guards against a call without memory that gets no true reply, or ends the connection of
// others.
func TestCallWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := New(clock.NewBubble())
		node.SetLimits(budget.New(1<<20, clock.NewBubble()), 0, nil)
		node.Handle(echoMethod, func(_ context.Context, body []byte) ([]byte, error) { return body[:1], nil })
		node.HandleRefusal(echoMethod, func() []byte { return []byte("refused") })
		here, there := net.Pipe()
		c := newConn(here, node)
		go func() {
			for i, size := range []int{1 << 20, 100} {
				_, _ = there.Write(frame{kind: frameCall, method: echoMethod, stream: uint64(i), body: make([]byte, size)}.appendTo(nil))
			}
		}()
		r := bufio.NewReader(there)
		for i, want := range []string{"refused", "\x00"} {
			f, err := readFrame(r)
			if err != nil || f.stream != uint64(i) || string(f.body) != want {
				t.Errorf("reply %d is %q, %v, want %q", f.stream, f.body, err, want)
			}
		}
		c.close(net.ErrClosed)
		_ = c.tomb.Wait() // the end of the connection
		if used := node.account.Usage().Used; used != 0 {
			t.Errorf("%d bytes are still reserved", used)
		}
	})
}
