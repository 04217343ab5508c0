package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/emul"
)

const (
	hangMethod Method = iota + 1
	echoMethod
)

// maxCancelTime is how long a call may run on after its caller has left.
const maxCancelTime = 500 * time.Millisecond

// rawClient is a connection on which a test writes frames itself.
type rawClient struct{ net.Conn }

func (c rawClient) write(t *testing.T, frames ...frame) {
	t.Helper()
	for _, f := range frames {
		if _, err := c.Write(f.appendTo(nil)); err != nil {
			t.Errorf("write frame of kind %d: %v", f.kind, err)
		}
	}
}

// read reads frames until the end of the connection.
func (c rawClient) read() {
	r := bufio.NewReader(c)
	for {
		if _, err := readFrame(r); err != nil {
			return
		}
	}
}

// runOnNode runs a test with a connection to a node, whose handler of hangMethod
// delivers the end of its context.
func runOnNode(t *testing.T, test func(t *testing.T, c rawClient, ended <-chan time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := emul.NewNet()
		node := New(clock.NewBubble())
		ended := make(chan time.Time, 10)
		node.Handle(hangMethod, func(ctx context.Context, _ []byte) ([]byte, error) {
			<-ctx.Done()
			ended <- time.Now()
			return nil, ctx.Err()
		})
		node.Handle(echoMethod, func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
		stopped := make(chan error, 1)
		go func() { stopped <- node.Run(ctx, network.Listen("node")) }()
		synctest.Wait()
		raw, err := network.Dialer("client")(ctx, "node")
		if err != nil {
			t.Fatal(err)
		}
		test(t, rawClient{raw}, ended)
		_ = raw.Close() // the node may have closed it
		cancel()
		if err := <-stopped; err != nil {
			t.Errorf("node ended with %v", err)
		}
	})
}

func assertCancelled(t *testing.T, ended <-chan time.Time, since time.Time, limit time.Duration) {
	t.Helper()
	select {
	case at := <-ended:
		if took := at.Sub(since); took > limit {
			t.Errorf("call was cancelled after %v, want %v at most", took, limit)
		}
	case <-time.After(10 * limit):
		t.Errorf("call was not cancelled within %v", 10*limit)
	}
}

// Guards against a cancellation that is not read while the other node is slow to
// read a reply or an answer to its ping.
func TestCancelBehindUnreadReplies(t *testing.T) {
	for name, f := range map[string]frame{
		"answer to a ping": {kind: framePing},
		"reply":            {kind: frameCall, method: echoMethod, stream: 2, body: make([]byte, 1<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			runOnNode(t, func(t *testing.T, c rawClient, ended <-chan time.Time) {
				c.write(t, frame{kind: frameCall, method: hangMethod, stream: 1}, f, f, f)
				synctest.Wait()
				left := time.Now()
				c.write(t, frame{kind: frameCancel, stream: 1})
				assertCancelled(t, ended, left, maxCancelTime)
				go func() { _, _ = io.Copy(io.Discard, c) }() // until the end of the test
			})
		})
	}
}

// Guards against a call that waits to be written, and is then sent although its
// caller has left, or whose caller waits on with it.
func TestCallerLeavesWhileCallWaitsToBeWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe() // nobody reads from there yet
		c := newConn(here, New(clock.NewBubble()))
		first := make(chan error, 1)
		go func() {
			_, err := c.call(context.Background(), echoMethod, []byte("first"))
			first <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		left := time.Now()
		_, err := c.call(ctx, echoMethod, []byte("second"))
		if took := time.Since(left); !errors.Is(err, ErrNotSent) || took > maxCancelTime {
			t.Errorf("call ended after %v with %v, want %v at once", took, err, ErrNotSent)
		}
		var sent []string
		go func() {
			r := bufio.NewReader(there)
			for {
				f, err := readFrame(r)
				if err != nil {
					return
				}
				sent = append(sent, string(f.body))
				if f.kind == frameCall {
					f.kind = frameReply
					_, _ = there.Write(f.appendTo(nil)) // the other side sees a failure
				}
			}
		}()
		if err := <-first; err != nil {
			t.Errorf("first call failed with %v", err)
		}
		c.close(net.ErrClosed)
		synctest.Wait()
		if len(sent) != 1 {
			t.Errorf("calls %q were sent, want the first one only", sent)
		}
	})
}

// Guards against work for the callers of a node that vanished without closing its
// connection.
func TestNodeOfCallersVanishes(t *testing.T) {
	runOnNode(t, func(t *testing.T, c rawClient, ended <-chan time.Time) {
		go c.read()
		c.write(t, frame{kind: frameCall, method: hangMethod, stream: 1})
		vanished := time.Now()
		assertCancelled(t, ended, vanished, 2*time.Second)
	})
}

// Guards against calls that are cancelled although the node of their callers
// still answers or is sent replies.
func TestNodeOfCallersIsQuiet(t *testing.T) {
	for name, f := range map[string]frame{
		"pings": {kind: framePing},
		"calls": {kind: frameCall, method: echoMethod, stream: 2},
	} {
		t.Run(name, func(t *testing.T) {
			runOnNode(t, func(t *testing.T, c rawClient, ended <-chan time.Time) {
				go c.read()
				c.write(t, frame{kind: frameCall, method: hangMethod, stream: 1})
				for range 10 {
					time.Sleep(2 * pingIdleTime)
					c.write(t, f)
				}
				select {
				case <-ended:
					t.Error("call was cancelled")
				default:
				}
			})
		})
	}
}

// Guards against one node that does not read, and keeps this one from noticing
// that others have vanished.
func TestPingThatCannotBeWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := New(clock.NewBubble())
		here, there := net.Pipe() // nobody reads from there
		defer func() { _ = there.Close() }()
		c := newConn(here, node)
		node.links["full"] = &link{conn: c}
		ended := make(chan error, 1)
		go func() {
			_, err := c.call(context.Background(), echoMethod, []byte("call"))
			ended <- err
		}()
		time.Sleep(2 * pingIdleTime)
		began := time.Now()
		node.checkLiveness()
		if took := time.Since(began); took > 0 {
			t.Errorf("check took %v beside a connection that cannot be written to", took)
		}
		c.close(net.ErrClosed)
		if err := <-ended; !errors.Is(err, ErrNoReply) {
			t.Errorf("call ended with %v, want %v", err, ErrNoReply)
		}
	})
}
