package dedup

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
)

var start = time.UnixMilli(1_800_000_000_000)

func newServing(cfg Config) *Table {
	t := New(cfg)
	t.Serve(start.Add(-time.Second), 1, 1)
	return t
}

func wantVerdict(t *testing.T, d Decision, want Verdict) {
	t.Helper()
	if d.Verdict != want {
		t.Fatalf("verdict = %s, want %s", d.Verdict, want)
	}
}

func wantErr(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error = %v, want %v", err, want)
	}
}

// Guards against a wrong verdict for a single request.
func TestVerdicts(t *testing.T) {
	tb := newServing(Config{MaxEntries: 3, MaxAnswer: 400})
	a, b, c := idAt(start, 1), idAt(start, 2), idAt(start, 3)
	begin := func(id uuid.UUID, body string) Decision {
		return tb.Begin(start, 1, 1, id, DigestOf("POST", "/claims", []byte(body)))
	}
	wantVerdict(t, begin(a, "x"), Run)
	waiting := begin(a, "x")
	wantVerdict(t, waiting, Wait)
	wantVerdict(t, begin(a, "y"), Conflict)
	tb.Forget(a, 1)
	<-waiting.Done
	wantVerdict(t, begin(a, "x"), Run)
	tb.Finish(a, 1, Answer{Status: 201})
	tb.Forget(a, 1) // must have no effect on an answered request
	wantVerdict(t, begin(a, "x"), Replay)
	wantVerdict(t, begin(b, ""), Run)
	tb.Abandon(b, 1)
	wantVerdict(t, begin(b, ""), Unknown)
	wantVerdict(t, begin(c, ""), Run)
	tb.Finish(c, 1, Answer{Body: make([]byte, 400)}) // the answer exceeds MaxAnswer, so only the id is kept
	wantVerdict(t, begin(c, ""), Unknown)
	wantVerdict(t, begin(idAt(start, 4), ""), TableFull)
	hold := begin(idAt(start.Add(250*time.Millisecond), 5), "")
	wantVerdict(t, hold, Hold)
	if hold.Delay != 250*time.Millisecond {
		t.Fatal("want a delay of 250ms, got", hold.Delay)
	}
	wantVerdict(t, begin(idAt(start.Add(251*time.Millisecond), 6), ""), Future)
	wantVerdict(t, begin(uuid.UUID{6: 0x40, 8: 0x80}, ""), Invalid)
	wantVerdict(t, tb.Begin(start, 1, 0, a, Digest{}), Moved)
}

// Guards against expired ids that run again, also when the clock runs back, and
// against memory that expiry does not free.
func TestExpiryNeverRunsAgain(t *testing.T) {
	tb := newServing(Config{})
	id := idAt(start, 1)
	wantVerdict(t, tb.Begin(start, 1, 1, id, Digest{}), Run)
	tb.Finish(id, 1, Answer{Status: 200})
	tb.Sweep(start.Add(11 * time.Minute))
	if tb.Len() != 0 || tb.Bytes() != 0 {
		t.Fatal("entries and bytes after expiry, want 0 and 0:", tb.Len(), tb.Bytes())
	}
	wantVerdict(t, tb.Begin(start.Add(time.Second), 1, 1, id, Digest{}), Unknown)
}

// Guards against handovers that miss requests which are in flight at the export, run
// after it, or run before an import into an epoch that is already served.
func TestHandoverErrors(t *testing.T) {
	from, to := newServing(Config{}), New(Config{MaxEntries: 1})
	ids := []uuid.UUID{idAt(start, 1), idAt(start, 2)}
	for _, id := range ids {
		wantVerdict(t, from.Begin(start, 1, 1, id, Digest{}), Run)
	}
	_, err := from.Export(1, 1)
	wantErr(t, err, ErrInFlight)
	for _, id := range ids {
		from.Finish(id, 1, Answer{Status: 200})
	}
	_, err = from.Export(1, 2)
	wantErr(t, err, ErrNotOwner)
	chunks, err := from.Export(1, 1)
	wantErr(t, err, nil)
	wantVerdict(t, from.Begin(start, 1, 1, idAt(start, 3), Digest{}), Moved)
	_, err = to.Import(chunks[0])
	wantErr(t, err, ErrFull)
	if to.Len() != 0 || to.Bytes() != 0 {
		t.Fatal("entries and bytes after a refused chunk, want 0 and 0:", to.Len(), to.Bytes())
	}
	to.Serve(start, 1, 2)
	_, err = to.Import(chunks[0])
	wantErr(t, err, ErrStale)
	_, err = to.Import(&Chunk{Epoch: 3, Part: 1, Parts: 1})
	wantErr(t, err, ErrInvalid)
}

// Guards against requests that run or get Unknown before the handover is complete,
// and against waiting requests that are not woken.
func TestAwaitsHandover(t *testing.T) {
	from, id := newServing(Config{}), idAt(start, 1)
	wantVerdict(t, from.Begin(start, 1, 1, id, Digest{}), Run)
	from.Finish(id, 1, Answer{Status: 200})
	chunks, err := from.Export(1, 1)
	wantErr(t, err, nil)
	for _, want := range []Verdict{Replay, Unknown} {
		to := New(Config{})
		to.ExpectHandover(1, 2)
		waiting := to.Begin(start, 1, 2, id, Digest{})
		wantVerdict(t, waiting, AwaitHandover)
		if want == Unknown {
			to.ServeWithoutHandover(start, 1, 2)
		} else if done, err := to.Import(chunks[0]); !done || err != nil {
			t.Fatal("handover is not complete after its only chunk:", err)
		}
		<-waiting.Done
		wantVerdict(t, to.Begin(start, 1, 2, id, Digest{}), want)
	}
}

// Guards against the isolation of a hot key that loses the ids that ran before.
func TestIsolatedKeyKeepsIDs(t *testing.T) {
	tb, id := newServing(Config{}), idAt(start, 1)
	wantVerdict(t, tb.Begin(start, 1, 1, id, Digest{}), Run)
	tb.Finish(id, 1, Answer{Status: 200})
	chunks, err := tb.Export(1, 1)
	wantErr(t, err, nil)
	_, err = tb.Import(chunks[0].ForIsolatedKey(9, 1))
	wantErr(t, err, nil)
	wantVerdict(t, tb.Begin(start, 9, 1, id, Digest{}), Replay)
	wantVerdict(t, tb.Begin(start, 1, 2, id, Digest{}), Replay)
	wantVerdict(t, tb.Begin(start, 9, 1, idAt(start, 2), Digest{}), Run)
}

// Guards against data races, and against concurrent resends of an id that run it
// twice.
func TestConcurrentResends(t *testing.T) {
	const n = 500
	tb := newServing(Config{})
	var runs [n]atomic.Int32
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := 0; i < n; {
				id := idAt(start, i)
				switch d := tb.Begin(start, 1, 1, id, Digest{}); d.Verdict {
				case Run:
					runs[i].Add(1)
					tb.Finish(id, 1, Answer{Status: 200})
				case Wait:
					<-d.Done
				default:
					i++
				}
			}
		})
	}
	group.Wait()
	for i := range runs {
		if n := runs[i].Load(); n != 1 {
			t.Fatalf("request %d ran %d times, want 1", i, n)
		}
	}
}

func BenchmarkBeginFinish(b *testing.B) {
	tb := New(Config{MaxEntries: 1 << 30, MaxBytes: 1 << 40})
	for shard := range uint32(55) {
		tb.Serve(start.Add(-time.Second), shard, 1)
	}
	answer := Answer{Status: 200, Body: make([]byte, 256)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		// 1,000 ids a second; the retention period holds 600,000 of them.
		now := start.Add(time.Duration(i) * time.Millisecond)
		id := idAt(now, i)
		if d := tb.Begin(now, uint32(i%55), 1, id, Digest{}); d.Verdict != Run {
			b.Fatal(d.Verdict)
		}
		tb.Finish(id, uint32(i%55), answer)
	}
}

// Reports the heap memory per id, with and without a small answer.
func BenchmarkEntryBytes(b *testing.B) {
	for _, c := range []struct {
		finish bool
		n      int
	}{{true, 75_000}, {true, 150_000}, {true, 300_000}, {false, 75_000}, {false, 150_000}, {false, 300_000}} {
		n, finish := c.n, c.finish
		b.Run(fmt.Sprintf("answer256=%t/ids=%d", finish, n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				tb := New(Config{MaxEntries: n, MaxBytes: 1 << 40})
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					shard, now := uint32(i%55), start.Add(time.Duration(i)*2*time.Millisecond)
					tb.Serve(start.Add(-time.Second), shard, 1)
					id := idAt(now, i)
					tb.Begin(now, shard, 1, id, Digest{})
					if finish {
						tb.Finish(id, shard, Answer{Status: 200, Body: make([]byte, 256)})
					} else {
						tb.Abandon(id, shard)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tb.Len()), "B/entry")
			}
		})
	}
}
