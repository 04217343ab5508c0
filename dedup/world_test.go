package dedup

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	_ "burdocklift/seeds"
)

func init() {
	if err := flag.Set("rapid.checks", "2500"); err != nil {
		panic(err)
	}
}

// host is the table of one owner. A naive host keeps ids but has no floor and
// ignores handovers.
type host struct {
	*Table
	naive bool
}

func (h host) Begin(now time.Time, epoch uint64, id uuid.UUID) Decision {
	if h.naive {
		h.Serve(now, testShard, epoch)
		h.stripes[testShard].shards[testShard].floor = time.Time{}
	}
	return h.Table.Begin(now, testShard, epoch, id, Digest(id))
}

func (h host) Import(c *Chunk) {
	if h.naive {
		c = &Chunk{Shard: c.Shard, Epoch: c.Epoch, Parts: 1}
	}
	_, _ = h.Table.Import(c)
}

const (
	testSkew      = 250 * time.Millisecond
	testRetention = 4 * time.Second
	testShard     = 7
)

type op struct{ Kind, A, B, C int }

var (
	opGen = rapid.Custom(func(t *rapid.T) op {
		return op{rapid.IntRange(0, 15).Draw(t, "kind"), rapid.IntRange(0, 1000).Draw(t, "a"), rapid.IntRange(0, 1000).Draw(t, "b"), rapid.IntRange(0, 1000).Draw(t, "c")}
	})
	opsGen = rapid.SliceOfN(opGen, 20, 120)
	offGen = rapid.SliceOfN(rapid.IntRange(0, int(testSkew/time.Millisecond)), 3, 3)
)

// simulation runs owners of one shard whose clocks differ by up to the skew, and
// counts the dispatches of each id.
type simulation struct {
	now                 time.Time
	offset              []time.Duration
	hosts               []host
	owner               int
	owners              map[uint64]int // by epoch
	epoch               uint64
	ids                 []uuid.UUID
	running, dispatches map[uuid.UUID]int // host that dispatched it, number of dispatches
	sentChunks          []*Chunk          // chunks of earlier handovers, to deliver again
	naive, graceful     bool              // graceful: no crashes and no lost answers
	failure             string
}

func newSimulation(naive, graceful bool, offsets []int) *simulation {
	w := &simulation{now: start, epoch: 1, naive: naive, graceful: graceful, running: map[uuid.UUID]int{}, dispatches: map[uuid.UUID]int{}, owners: map[uint64]int{1: 0}}
	for i, o := range offsets {
		w.offset = append(w.offset, time.Duration(o)*time.Millisecond)
		w.hosts = append(w.hosts, host{})
		w.restart(i)
	}
	w.hosts[0].Serve(w.clock(0), testShard, 1)
	w.now = w.now.Add(2 * testSkew)
	return w
}

// restart gives a host an empty table, as the table is lost with the process.
func (w *simulation) restart(i int) {
	w.hosts[i] = host{New(Config{Skew: testSkew, Retention: testRetention, MaxChunk: 1024}), w.naive}
	maps.DeleteFunc(w.running, func(_ uuid.UUID, h int) bool { return h == i })
}

func (w *simulation) clock(host int) time.Time { return w.now.Add(w.offset[host]) }

func idAt(at time.Time, n int) uuid.UUID {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[14], id[15] = 0x70, 0x80, byte(n>>8), byte(n)
	return id
}

func (w *simulation) request(host int, epoch uint64, id uuid.UUID) {
	d := w.hosts[host].Begin(w.clock(host), epoch, id)
	switch {
	case d.Verdict == Run && epoch < w.epoch:
		// The previous owner has not learned that its epoch ended, but its lease has
		// expired, so the request is not dispatched.
		w.hosts[host].Forget(id, testShard)
		w.failIf(w.graceful, "id %s got Run at an owner that exported the shard", id)
	case d.Verdict == Run:
		w.dispatches[id]++
		w.running[id] = host
		w.failIf(w.dispatches[id] > 1, "id %s was dispatched %d times", id, w.dispatches[id])
	case d.Verdict == Replay:
		w.failIf(d.Answer.Status != int(id[15]), "id %s got the answer of another request: %d", id, d.Answer.Status)
	case d.Verdict == Unknown && w.graceful && timestampOf(id).After(start.Add(2*testSkew)) && timestampOf(id).After(w.now.Add(testSkew-testRetention)):
		// The id is above the initial floor and has not expired on any clock.
		w.failIf(true, "id %s is unknown after graceful moves only", id)
	}
}

func (w *simulation) failIf(failed bool, format string, args ...any) {
	if failed && w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

func (w *simulation) finish(id uuid.UUID, mode int) {
	host := w.running[id]
	delete(w.running, id)
	switch {
	case mode%10 == 0 && !w.graceful:
		w.hosts[host].Abandon(id, testShard)
	case mode%10 == 1:
		w.dispatches[id]--
		w.hosts[host].Forget(id, testShard)
	default:
		w.hosts[host].Finish(id, testShard, Answer{Status: int(id[15]), Body: make([]byte, 300)})
	}
}

func (w *simulation) takeOver(next int) {
	w.epoch++
	w.owner, w.owners[w.epoch] = next, next
	w.hosts[next].ServeWithoutHandover(w.clock(next), testShard, w.epoch)
	w.hosts[next].Serve(w.clock(next), testShard, w.epoch)
}

func (w *simulation) deliver(host int, c *Chunk) {
	b, err := c.Encode()
	w.failIf(err != nil || len(b) > 1024, "chunk of %d bytes: %v", len(b), err)
	decoded, err := DecodeChunk(b)
	if err != nil {
		w.failIf(true, "%v", err)
		return
	}
	w.hosts[host].Import(decoded)
}

// move hands the shard over in shuffled and repeated chunks. The mode selects a
// crash, a cancelled move or an undisturbed move.
func (w *simulation) move(next, shuffle, mode int) {
	old := w.owner
	for id, h := range w.running {
		if h == old {
			w.finish(id, shuffle)
		}
	}
	chunks, err := w.hosts[old].Export(testShard, w.epoch)
	if err != nil {
		w.failIf(true, "%v", err)
		return
	}
	if mode%2 == 0 {
		w.hosts[next].ExpectHandover(testShard, w.epoch+1)
	}
	sent := len(chunks)
	if mode = mode % 8; mode == 1 && !w.graceful {
		sent = shuffle % len(chunks)
	}
	for _, i := range rand.New(rand.NewPCG(uint64(shuffle), 0)).Perm(len(chunks))[:sent] {
		for range 1 + i%2 {
			w.deliver(next, chunks[i])
		}
	}
	w.sentChunks = append(w.sentChunks, chunks...)
	switch {
	case mode == 2: // the move is cancelled: the owner takes the next epoch itself
		w.takeOver(old)
		return
	case (mode == 1 || mode == 3) && !w.graceful: // the owner crashes before the ownership write: any host takes over
		w.restart(old)
		next = (shuffle + mode) % len(w.hosts)
	case mode == 4 && !w.graceful: // the next owner crashes after the ownership write
		w.restart(next)
	}
	w.takeOver(next)
}

func (w *simulation) step(o op) {
	n := len(w.hosts)
	switch {
	case o.Kind <= 3:
		id := idAt(w.now.Add(time.Duration(o.A-500)*time.Millisecond), len(w.ids))
		w.ids = append(w.ids, id)
		w.request(w.owner, w.epoch, id)
	case o.Kind <= 7 && len(w.ids) > 0:
		w.request(w.owner, w.epoch, w.ids[len(w.ids)-1-o.A%min(len(w.ids), 24)])
	case o.Kind == 8 && len(w.ids) > 0 && w.epoch > 1:
		w.request(w.owners[w.epoch-1], w.epoch-1, w.ids[o.A%len(w.ids)])
	case o.Kind <= 10:
		for _, id := range w.ids {
			if _, ok := w.running[id]; ok {
				w.finish(id, o.A)
				break
			}
		}
	case o.Kind <= 12:
		w.now = w.now.Add(time.Duration(o.A) * time.Millisecond)
	case o.Kind == 13:
		w.move(o.A%n, o.B, o.C)
	case o.Kind == 14 && !w.graceful: // the owner crashes, or pauses and keeps its table
		if o.B%2 == 0 {
			w.restart(w.owner)
		}
		w.takeOver(o.A % n)
	case o.Kind == 15 && len(w.sentChunks) > 0:
		w.deliver(o.A%n, w.sentChunks[o.B%len(w.sentChunks)])
	}
}

func (w *simulation) run(ops []op) {
	for _, o := range ops {
		if w.step(o); w.failure != "" {
			return
		}
	}
}

// Guards against a second dispatch of an id after crashes, pauses, moves, repeated
// or missing chunks, lost answers and clock skew, and against answers that graceful
// moves lose. Naive tables must fail in both modes.
func TestDispatchedAtMostOnce(t *testing.T) {
	for _, graceful := range []bool{false, true} {
		t.Run(fmt.Sprintf("graceful=%t", graceful), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newSimulation(false, graceful, offGen.Draw(t, "offsets"))
				if w.run(opsGen.Draw(t, "ops")); w.failure != "" {
					t.Fatal(w.failure)
				}
			})
			failed := 0
			for seed := range 300 {
				w := newSimulation(true, graceful, offGen.Example(seed))
				if w.run(opsGen.Example(seed)); w.failure != "" {
					failed++
				}
			}
			if t.Logf("naive tables fail in %d of 300 sequences", failed); failed == 0 {
				t.Fatal("naive tables pass all 300 sequences, want at least one failure")
			}
		})
	}
}
