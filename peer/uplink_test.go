package peer

import (
	"bufio"
	"bytes"
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/uplink"
)

const (
	// linkMbps is the rate of the slow host's link, and answerBytes the size of its
	// large answers.
	linkMbps    = 10
	answerBytes = 90_000
	// maxSmallDelay bounds a small call while the link is full of large answers: one
	// chunk of them takes 13 ms.
	maxSmallDelay = 40 * time.Millisecond
)

const largeMethod Method = echoMethod + 1

// runOnSlowLink runs a test with callers of a node whose link is slow. The test gets the
// callers by name.
func runOnSlowLink(t *testing.T, paced bool, test func(t *testing.T, callers map[string]*Transport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := emul.NewNet()
		network.SetUplink("slow", linkMbps*1e6/8)
		c := clock.NewBubble()
		ends := make(chan error, 3)
		callers := make(map[string]*Transport)
		for _, name := range []string{"slow", "a", "b"} {
			n := New(c)
			n.SetDialer(network.Dialer(name))
			n.Handle(echoMethod, func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
			n.Handle(largeMethod, func(context.Context, []byte) ([]byte, error) {
				return bytes.Repeat([]byte("answer"), answerBytes/6), nil
			})
			if name == "slow" && paced {
				n.SetUplink(uplink.New(linkMbps, c))
			}
			l := network.Listen(name)
			go func() { ends <- n.Run(ctx, l) }()
			callers[name] = n
		}
		synctest.Wait()
		delete(callers, "slow")
		test(t, callers)
		cancel()
		for range 3 {
			if err := <-ends; err != nil {
				t.Errorf("node ended with %v", err)
			}
		}
	})
}

// slowestSmallCall returns the longest time of small calls while each caller waits for
// large answers, and checks these.
func slowestSmallCall(t *testing.T, callers map[string]*Transport, large int) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ends := make(chan error)
	for _, n := range callers {
		for range large {
			go func() {
				reply, err := n.call(ctx, "slow", largeMethod, nil)
				if err == nil && !bytes.Equal(reply, bytes.Repeat([]byte("answer"), answerBytes/6)) {
					t.Errorf("large answer has %d bytes, want %d, or other bytes", len(reply), answerBytes)
				}
				ends <- err
			}()
		}
	}
	time.Sleep(30 * time.Millisecond)
	slowest := time.Duration(0)
	for range 20 {
		for _, n := range callers {
			begin := time.Now()
			if _, err := n.call(ctx, "slow", echoMethod, []byte("renewal")); err != nil {
				t.Fatal(err)
			}
			slowest = max(slowest, time.Since(begin))
		}
		time.Sleep(10 * time.Millisecond)
	}
	for range large * len(callers) {
		if err := <-ends; err != nil {
			t.Errorf("large answer: %v", err)
		}
	}
	return slowest
}

// Guards against control messages and small answers that wait behind large answers, on
// the same connection and on others of a host with a slow link: twenty answers of
// 90 kB to two nodes take 1.4 s.
func TestSmallCallsPassLargeAnswers(t *testing.T) {
	t.Run("paced", func(t *testing.T) {
		runOnSlowLink(t, true, func(t *testing.T, callers map[string]*Transport) {
			if slowest := slowestSmallCall(t, callers, 10); slowest > maxSmallDelay {
				t.Errorf("a small call took %v, want %v at most", slowest, maxSmallDelay)
			}
		})
	})
	t.Run("left to the network", func(t *testing.T) {
		runOnSlowLink(t, false, func(t *testing.T, callers map[string]*Transport) {
			if slowest := slowestSmallCall(t, callers, 10); slowest < 2*maxSmallDelay {
				t.Errorf("a small call took %v: the link of this test is not full", slowest)
			}
		})
	})
}

// readReply reads the frames of a reply and returns their kinds, and the size of the
// reply.
func readReply(r *bufio.Reader) (kinds []frameKind, size int) {
	for {
		f, err := readFrame(r)
		switch {
		case err != nil:
			return kinds, size
		case f.kind == framePong:
			continue
		}
		kinds, size = append(kinds, f.kind), size+len(f.body)
		if f.kind == frameReply {
			return kinds, size
		}
	}
}

// Guards against parts of a reply that a caller of an earlier version does not know: it
// gets the reply in one frame.
func TestReplyToEarlierVersion(t *testing.T) {
	const size = 3*uplink.ChunkBytes + 1
	for name, test := range map[string]struct {
		hello frame
		kinds []frameKind
	}{
		"earlier version": {frame{kind: framePing}, []frameKind{frameReply}},
		"this version":    {frame{kind: framePing, method: acceptsParts}, []frameKind{framePart, framePart, framePart, frameReply}},
	} {
		t.Run(name, func(t *testing.T) {
			runOnNode(t, func(t *testing.T, c rawClient, _ <-chan time.Time) {
				written := make(chan struct{})
				go func() {
					defer close(written)
					c.write(t, test.hello, frame{kind: frameCall, method: echoMethod, stream: 1, body: make([]byte, size)})
				}()
				kinds, total := readReply(bufio.NewReader(c))
				<-written
				if total != size || !slices.Equal(kinds, test.kinds) {
					t.Errorf("reply has %d bytes in frames of kinds %v, want %d in %v", total, kinds, size, test.kinds)
				}
			})
		})
	}
}

// Guards against parts of replies that are kept for a call that has been given up, or
// that end the connection for all calls.
func TestPartsOfAbandonedCall(t *testing.T) {
	runOnSlowLink(t, true, func(t *testing.T, callers map[string]*Transport) {
		n := callers["a"]
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if _, err := n.call(ctx, "slow", largeMethod, nil); err == nil {
			t.Error("a call of 50 ms got an answer that takes 72 ms")
		}
		c := n.links["slow"].conn
		begin := time.Now()
		if _, err := n.call(context.Background(), "slow", largeMethod, nil); err != nil {
			t.Error(err)
		}
		if took := time.Since(begin); took > 110*time.Millisecond {
			t.Errorf("the next answer took %v: the abandoned one was sent on", took)
		}
		if len(c.pending) != 0 || n.links["slow"].conn != c {
			t.Errorf("%d calls are pending on the connection, or it was replaced", len(c.pending))
		}
	})
}
