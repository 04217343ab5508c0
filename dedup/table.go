package dedup

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

const (
	// stripes is the number of mutexes that the shards are spread over.
	stripes = 64
	// spanCount is the number of time spans that the retention period is divided
	// into. Expiry frees one span at a time.
	spanCount = 16
)

type state uint8

const (
	inFlight state = iota + 1
	answered
	uncertain // may have run, and the answer is lost or was not kept
)

type entry struct {
	digest Digest
	answer *Answer
	done   chan struct{} // closed at the end of the run; created by the first waiter
	state  state
}

// shardState holds the entries of one shard. An id that is in no span and not above
// the floor may have been dispatched earlier, so it never runs.
type shardState struct {
	epoch        uint64
	floor        time.Time
	spans        map[int64]map[uuid.UUID]entry
	runningCount int
	complete     bool // entries and floor cover all dispatches up to and including epoch
	frozen       bool // exported or dropped: the epoch is not served here
	awaitedEpoch uint64
	awaitDone    chan struct{} // closed when the wait for awaitedEpoch ends
	staged       *staging
}

type stripe struct {
	mu     sync.Mutex
	shards map[uint32]*shardState
}

// Table holds the ids of the shards of one owner. It is safe for concurrent use.
// The times passed in come from the host's clock, which must not run back by more
// than the skew.
type Table struct {
	cfg         Config
	spanMillis  int64 // length of a span, in milliseconds
	entries     atomic.Int64
	answerBytes atomic.Int64
	stripes     [stripes]stripe
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{cfg: cfg, spanMillis: max(1, cfg.Retention.Milliseconds()/spanCount)}
}

// Len returns the number of ids in the table, staged ones included.
func (t *Table) Len() int { return int(t.entries.Load()) }

// Bytes returns the size of all recorded answers, staged ones included.
func (t *Table) Bytes() int { return int(t.answerBytes.Load()) }

// lockShard locks a shard and returns its state and the function that unlocks it.
func (t *Table) lockShard(shard uint32) (*shardState, func()) {
	p := &t.stripes[shard%stripes]
	p.mu.Lock()
	s := p.shards[shard]
	if s == nil {
		if p.shards == nil {
			p.shards = make(map[uint32]*shardState)
		}
		s = &shardState{}
		p.shards[shard] = s
	}
	return s, p.mu.Unlock
}

// Serve starts serving an epoch of a shard. The owner calls it as soon as it learns
// of the epoch: without a handover the floor is set from now, so that ids made
// before a late call are unknown.
func (t *Table) Serve(now time.Time, shard uint32, epoch uint64) {
	s, unlock := t.lockShard(shard)
	defer unlock()
	t.serve(now, s, epoch)
}

func (t *Table) serve(now time.Time, s *shardState, epoch uint64) {
	if epoch <= s.epoch || s.awaitedEpoch == epoch && !s.staged.complete(epoch) {
		return
	}
	switch {
	case s.staged.complete(epoch):
		t.installStaged(s)
	case s.complete && epoch == s.epoch+1:
		// The epoch rises by one per change and each epoch has one owner, so no other
		// owner dispatched between the two epochs.
	default:
		// Every earlier dispatch happened before now, with an id not above the clock
		// of its owner, which is ahead of this clock by at most the skew.
		s.raiseFloor(now.Add(t.cfg.Skew))
	}
	s.epoch, s.complete, s.frozen = epoch, true, false
	if s.staged != nil && s.staged.epoch <= epoch {
		t.discardStaged(s)
	}
	s.endAwait(epoch)
}

// raiseFloor sets the floor unless it is already higher.
func (s *shardState) raiseFloor(floor time.Time) {
	if floor.After(s.floor) {
		s.floor = floor
	}
}

// endAwait wakes the requests that wait for the epoch or an earlier one.
func (s *shardState) endAwait(epoch uint64) {
	if s.awaitedEpoch != 0 && s.awaitedEpoch <= epoch {
		close(s.awaitDone)
		s.awaitedEpoch, s.awaitDone = 0, nil
	}
}

// ExpectHandover announces an epoch that begins with a graceful move to this
// owner. Begin returns AwaitHandover for the epoch until the handover is complete
// or ServeWithoutHandover is called.
func (t *Table) ExpectHandover(shard uint32, epoch uint64) {
	s, unlock := t.lockShard(shard)
	defer unlock()
	if epoch <= s.epoch || epoch <= s.awaitedEpoch {
		return
	}
	s.endAwait(epoch)
	s.awaitedEpoch, s.awaitDone = epoch, make(chan struct{})
}

// ServeWithoutHandover starts serving an awaited epoch without its handover, as
// the previous owner is dead. This owner must hold the epoch. The floor is raised
// as in Serve.
func (t *Table) ServeWithoutHandover(now time.Time, shard uint32, epoch uint64) {
	s, unlock := t.lockShard(shard)
	defer unlock()
	if s.awaitedEpoch != epoch {
		return
	}
	s.endAwait(epoch)
	t.serve(now, s, epoch)
}

// Begin decides whether a request runs. A caller that gets Run must call Finish,
// Abandon or Forget at the end of the run.
func (t *Table) Begin(now time.Time, shard uint32, epoch uint64, id uuid.UUID, digest Digest) Decision {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Decision{Verdict: Invalid}
	}
	s, unlock := t.lockShard(shard)
	defer unlock()
	t.serve(now, s, epoch)
	switch {
	case s.epoch < epoch:
		return Decision{Verdict: AwaitHandover, Done: s.awaitDone}
	case s.epoch > epoch || s.frozen:
		return Decision{Verdict: Moved}
	}
	t.expire(now, s)
	at := timestampOf(id)
	span := at.UnixMilli() / t.spanMillis
	e, ok := s.spans[span][id]
	switch {
	case ok && e.digest != digest:
		return Decision{Verdict: Conflict}
	case ok && e.state == inFlight:
		if e.done == nil {
			e.done = make(chan struct{})
			s.spans[span][id] = e
		}
		return Decision{Verdict: Wait, Done: e.done}
	case ok && e.state == answered && at.After(now.Add(-t.cfg.Retention)):
		return Decision{Verdict: Replay, Answer: e.answer}
	case ok || !at.After(s.floor):
		return Decision{Verdict: Unknown}
	case at.Sub(now) > t.cfg.Skew:
		return Decision{Verdict: Future}
	case at.After(now):
		return Decision{Verdict: Hold, Delay: at.Sub(now)}
	}
	if t.entries.Add(1) > int64(t.cfg.MaxEntries) {
		t.entries.Add(-1)
		return Decision{Verdict: TableFull}
	}
	s.putEntry(span, id, entry{digest: digest, state: inFlight})
	s.runningCount++
	return Decision{Verdict: Run}
}

func (s *shardState) putEntry(span int64, id uuid.UUID, e entry) {
	if s.spans == nil {
		s.spans = make(map[int64]map[uuid.UUID]entry)
	}
	if s.spans[span] == nil {
		s.spans[span] = make(map[uuid.UUID]entry)
	}
	s.spans[span][id] = e
}

// Finish records the answer of a request that got Run. An answer that exceeds the
// bounds is not kept; a resend is then unknown.
func (t *Table) Finish(id uuid.UUID, shard uint32, a Answer) {
	s, unlock := t.lockShard(shard)
	defer unlock()
	e, span, ok := t.endRun(s, id)
	if !ok {
		return
	}
	e.state = uncertain
	if size := a.Size(); size <= t.cfg.MaxAnswer && t.reserveBytes(size) {
		e.state, e.answer = answered, &a
	}
	s.spans[span][id] = e
}

// Abandon ends a request that may have run but whose answer is lost. A resend is
// unknown.
func (t *Table) Abandon(id uuid.UUID, shard uint32) {
	s, unlock := t.lockShard(shard)
	defer unlock()
	if e, span, ok := t.endRun(s, id); ok {
		e.state = uncertain
		s.spans[span][id] = e
	}
}

// Forget ends a request that is known not to have run. A resend may run.
func (t *Table) Forget(id uuid.UUID, shard uint32) {
	s, unlock := t.lockShard(shard)
	defer unlock()
	if _, span, ok := t.endRun(s, id); ok {
		delete(s.spans[span], id)
		t.entries.Add(-1)
	}
}

// endRun ends a request in flight and wakes requests that wait for it. It ignores
// requests that are not in flight, such as those of a dropped shard.
func (t *Table) endRun(s *shardState, id uuid.UUID) (entry, int64, bool) {
	span := timestampOf(id).UnixMilli() / t.spanMillis
	e, ok := s.spans[span][id]
	if !ok || e.state != inFlight {
		return e, span, false
	}
	s.runningCount--
	if e.done != nil {
		close(e.done)
		e.done = nil
	}
	return e, span, true
}

// reserveBytes reserves memory for an answer and reports whether it is within
// MaxBytes.
func (t *Table) reserveBytes(size int) bool {
	if t.answerBytes.Add(int64(size)) > int64(t.cfg.MaxBytes) {
		t.answerBytes.Add(-int64(size))
		return false
	}
	return true
}

// expire raises the floor to the retention bound and frees the spans below it. The
// floor keeps freed ids from running again, even if the clock runs back.
func (t *Table) expire(now time.Time, s *shardState) {
	if s.frozen {
		return // repeated exports must be equal
	}
	bound := now.Add(-t.cfg.Retention)
	s.raiseFloor(bound)
	for span, ids := range s.spans {
		if (span+1)*t.spanMillis > bound.UnixMilli() {
			continue
		}
		for id, e := range ids {
			if e.state != inFlight {
				t.freeEntry(e)
				delete(ids, id)
			}
		}
		if len(ids) == 0 {
			delete(s.spans, span)
		}
	}
}

func (t *Table) freeEntry(e entry) {
	t.entries.Add(-1)
	if e.answer != nil {
		t.answerBytes.Add(-int64(e.answer.Size()))
	}
}

// Sweep frees the expired ids of all shards. The owner calls it periodically, as
// Begin frees only the ids of its own shard.
func (t *Table) Sweep(now time.Time) {
	for i := range t.stripes {
		p := &t.stripes[i]
		p.mu.Lock()
		for _, s := range p.shards {
			t.expire(now, s)
		}
		p.mu.Unlock()
	}
}

// Drop frees the ids of a shard that this host no longer owns, and the staged chunks
// of a cancelled move to this host. If the shard returns without a handover, Serve
// raises the floor.
func (t *Table) Drop(shard uint32) error {
	s, unlock := t.lockShard(shard)
	defer unlock()
	if s.runningCount > 0 {
		return fmt.Errorf("drop shard %d: %w: %d", shard, ErrInFlight, s.runningCount)
	}
	t.discardStaged(s)
	t.clearEntries(s)
	s.complete, s.frozen = false, true
	return nil
}

func (t *Table) clearEntries(s *shardState) {
	for _, ids := range s.spans {
		for _, e := range ids {
			t.freeEntry(e)
			if e.done != nil {
				close(e.done)
			}
		}
	}
	s.spans, s.runningCount = nil, 0
}
