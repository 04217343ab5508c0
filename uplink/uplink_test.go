package uplink_test

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
	"burdocklift/uplink"
)

// testMbps is the rate of the link in most tests: 45 kB take 40 ms at nine tenths
// of it.
const testMbps = 10

// received is the far end of a link: it keeps what was written and when.
type received struct {
	mu    sync.Mutex
	bytes int
	last  time.Time
}

func (r *received) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += len(b)
	r.last = time.Now()
	return len(b), nil
}

// inBubble runs a test with a scheduler for a link.
func inBubble(t *testing.T, mbps float64, test func(t *testing.T, s *uplink.Scheduler)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, uplink.New(mbps, clock.NewBubble())) })
}

// writeAll writes messages of the same size at once and returns when each was written.
func writeAll(s *uplink.Scheduler, count, size int) []time.Duration {
	begin := time.Now()
	took := make([]time.Duration, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			var r received
			if n, err := s.Write(context.Background(), &r, make([]byte, size)); err != nil || n != size {
				panic("large message not written")
			}
			took[i] = time.Since(begin)
		})
		synctest.Wait()
	}
	wg.Wait()
	return took
}

func assertBetween(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s took %v, want %v to %v", what, got, low, high)
	}
}

// Guards against large answers that together exceed the link, so that small messages
// queue behind them for seconds: twenty answers of 90 kB at once on a link of
// 10 Mbit/s.
func TestRate(t *testing.T) {
	inBubble(t, testMbps, func(t *testing.T, s *uplink.Scheduler) {
		took := writeAll(s, 20, 90_000)
		assertBetween(t, "the last answer", took[19], 1580*time.Millisecond, 1610*time.Millisecond)
		assertBetween(t, "the first answer", took[0], 60*time.Millisecond, 90*time.Millisecond)
		for i := 1; i < len(took); i++ {
			if took[i] < took[i-1] {
				t.Errorf("answer %d overtook answer %d", i, i-1)
			}
		}
	})
}

// Guards against small messages that wait for large ones, and against large ones that
// take no account of small ones.
func TestSmallMessages(t *testing.T) {
	inBubble(t, testMbps, func(t *testing.T, s *uplink.Scheduler) {
		done := make(chan []time.Duration, 1)
		go func() { done <- writeAll(s, 5, 90_000) }()
		for range 100 {
			time.Sleep(4 * time.Millisecond)
			begin := time.Now()
			if _, err := s.Write(context.Background(), &received{}, make([]byte, 450)); err != nil {
				t.Fatal(err)
			}
			assertBetween(t, "a small message", time.Since(begin), 0, 0)
		}
		// 450 kB and 100 messages of 450 bytes take 440 ms, and the last chunk is handed
		// to the link up to 20 ms before that.
		assertBetween(t, "the last answer", (<-done)[4], 420*time.Millisecond, 440*time.Millisecond)
	})
}

// Guards against a receiver that does not read and holds up the transfers to others.
func TestBlockedReceiver(t *testing.T) {
	inBubble(t, testMbps, func(t *testing.T, s *uplink.Scheduler) {
		blocked := s.Begin(90_000)
		if err := blocked.Await(context.Background(), uplink.ChunkBytes); err != nil {
			t.Fatal(err)
		}
		assertBetween(t, "another answer", writeAll(s, 1, 90_000)[0], 60*time.Millisecond, 95*time.Millisecond)
		blocked.End()
		if n := s.Pending(); n != 0 {
			t.Errorf("%d bytes are pending after the end of all transfers", n)
		}
	})
}

// Guards against a transfer that is given up and keeps its place: the next one is not
// woken up, or the link counts as busy for good.
func TestCancel(t *testing.T) {
	inBubble(t, testMbps, func(t *testing.T, s *uplink.Scheduler) {
		ctx, cancel := context.WithCancel(context.Background())
		ends := make(chan error, 1)
		go func() {
			_, err := s.Write(ctx, &received{}, make([]byte, 900_000))
			ends <- err
		}()
		synctest.Wait()
		took := make(chan []time.Duration, 1)
		go func() { took <- writeAll(s, 1, 90_000) }()
		time.Sleep(100 * time.Millisecond)
		cancel()
		if err := <-ends; !errors.Is(err, context.Canceled) {
			t.Errorf("transfer that was given up ended with %v", err)
		}
		assertBetween(t, "the next answer", (<-took)[0], 150*time.Millisecond, 190*time.Millisecond)
		if n := s.Pending(); n != 0 {
			t.Errorf("%d bytes are pending after the end of all transfers", n)
		}
	})
}

// Guards against estimates that leave out what other requests will send.
func TestDelay(t *testing.T) {
	inBubble(t, testMbps, func(t *testing.T, s *uplink.Scheduler) {
		release := s.Reserve(90_000)
		transfer, backlog := s.Delay(45_000)
		assertBetween(t, "45 kB", transfer, 40*time.Millisecond, 40*time.Millisecond)
		assertBetween(t, "90 kB before it", backlog, 80*time.Millisecond, 80*time.Millisecond)
		release()
		release()
		if _, backlog := s.Delay(45_000); backlog != 0 {
			t.Errorf("the link is busy for %v after the reservation was taken back", backlog)
		}
	})
}

// Guards against a limit where there is none.
func TestUnlimited(t *testing.T) {
	for name, mbps := range map[string]float64{"without a rate": 0, "of 1 Gbit/s": 1000} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, mbps, func(t *testing.T, s *uplink.Scheduler) {
				assertBetween(t, "the last answer", writeAll(s, 20, 90_000)[19], 0, 20*time.Millisecond)
			})
		})
	}
	t.Run("nil", func(t *testing.T) {
		var s *uplink.Scheduler
		var b bytes.Buffer
		s.Count(1)
		s.Reserve(1)()
		if transfer, backlog := s.Delay(1); transfer != 0 || backlog != 0 || s.Pending() != 0 {
			t.Error("a nil scheduler limits")
		}
		if _, err := s.Write(context.Background(), &b, make([]byte, 90_000)); err != nil || b.Len() != 90_000 {
			t.Errorf("%d bytes written, %v", b.Len(), err)
		}
	})
}
