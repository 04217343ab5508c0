package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"

	"burdocklift/clock"
)

// maxClaimMemory bounds the memory for a frame whose body has not arrived.
const maxClaimMemory = 1 << 20

// Guards against a damaged frame that claims a large body: the memory for it would take
// that of a small host, and the process with it.
func TestClaimedLength(t *testing.T) {
	claim := frame{kind: frameCall, method: echoMethod, stream: 1, body: make([]byte, maxFrameBody)}.appendTo(nil)
	for name, arrived := range map[string]int{"nothing of the body arrives": 16, "a part arrives": 100_000} {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReader(bytes.NewReader(claim[:arrived]))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := readFrame(r)
			runtime.ReadMemStats(&after)
			if err != io.ErrUnexpectedEOF && err != io.EOF {
				t.Errorf("a frame that was cut off was read with %v", err)
			}
			if took := after.TotalAlloc - before.TotalAlloc; took > maxClaimMemory {
				t.Errorf("reading took %d bytes of memory, want %d at most", took, maxClaimMemory)
			}
		})
	}
	t.Run("all of it arrives", func(t *testing.T) {
		f, err := readFrame(bufio.NewReader(bytes.NewReader(claim)))
		if err != nil || len(f.body) != maxFrameBody {
			t.Errorf("frame has a body of %d bytes, %v", len(f.body), err)
		}
	})
}

// Guards against a reply that breaks off halfway and counts as whole, between its parts
// and within one.
func TestReplyBrokenOff(t *testing.T) {
	part := frame{kind: framePart, stream: 1, body: make([]byte, 1000)}.appendTo(nil)
	for name, sent := range map[string][]byte{"between parts": part, "within a part": part[:500]} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				here, there := net.Pipe()
				c := newConn(here, New(clock.NewBubble()))
				go func() {
					_, err := readFrame(bufio.NewReader(there))
					if err == nil {
						_, err = there.Write(sent)
					}
					if err = errors.Join(err, there.Close()); err != nil {
						t.Error(err)
					}
				}()
				if reply, err := c.call(context.Background(), echoMethod, nil); !errors.Is(err, ErrNoReply) {
					t.Errorf("call got a reply of %d bytes, %v, want no reply", len(reply), err)
				}
				_ = c.tomb.Wait() // the end of the connection
			})
		})
	}
}
