package owner

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"burdocklift/proto"
	"burdocklift/store"
)

const (
	simTick = 20 * time.Millisecond

	simService = "permits"
)

// failer is the part of testing.TB and rapid.TB that the harness needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// machine is the implementation under test: a Core or the naive version.
type machine interface {
	ID() proto.HostID
	Tick(now time.Time, fx Effects)
	Receive(now time.Time, from proto.HostID, m proto.Message, fx Effects)
	Done(now time.Time, r Result, fx Effects)
	Observe(now time.Time, r store.Record, fx Effects)
	// valid is the check immediately before a dispatch.
	valid(now time.Time) bool
	// owned returns the entries that the host owns in its view, and their epochs.
	owned(refs []Ref) (mask uint64, epochs []uint64)
	// drained reports the end of a drain, and whether the handover succeeded.
	drained(now time.Time, ok bool, ref Ref, next proto.HostID, epoch uint64, fx Effects)
}

type coreMachine struct{ *Core }

func (c coreMachine) valid(now time.Time) bool { return c.Gate().Valid(now) }

func (c coreMachine) drained(now time.Time, ok bool, ref Ref, next proto.HostID, epoch uint64, fx Effects) {
	if !ok {
		c.DrainFailed(now, ref, next, epoch, fx)
		return
	}
	c.Drained(now, ref, next, epoch, fx)
}

func (c coreMachine) owned(refs []Ref) (mask uint64, epochs []uint64) {
	epochs = make([]uint64, len(refs))
	for i, ref := range refs {
		if d, ok := c.View().Entry(ref.Service, ref.Shard, ref.Key); ok && d.Local {
			mask |= 1 << i
			epochs[i] = d.Epoch
		}
	}
	return mask, epochs
}

type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simHost is one host with its clock and at most one process.
type simHost struct {
	sim       *sim
	name      string
	place     proto.Place
	rate      float64
	offset    time.Duration
	proc      machine // nil while the process is down
	run       int     // number of the process; events of earlier processes are dropped
	paused    bool
	inbox     []func()
	storeCut  bool // whether the host cannot reach the store
	partition int  // hosts with different values cannot reach each other

	maskView    any // view that mask and epochs were computed from
	mask        uint64
	epochs      []uint64
	drainedMask uint64 // drained entries: no requests in flight and no new dispatch
	drains      map[Ref]int
	nextRun     uint64
}

func (h *simHost) clock() time.Time {
	return simBase.Add(h.offset + time.Duration(float64(h.sim.now)*h.rate))
}

var simBase = time.Unix(1_700_000_000, 0).UTC()

// sim is a deterministic, single-threaded simulation of several processes, their
// network and store, with a checker of the invariants.
type sim struct {
	tb         failer
	rng        *rand.Rand
	now        time.Duration // true time
	bootEnd    time.Duration // time at which boot ended
	queue      eventQueue
	seq        uint64
	hosts      []*simHost
	newMachine func(h *simHost) machine
	refs       []Ref
	tick       time.Duration
	timeout    time.Duration // of a store operation without an answer

	lossProb, dupProb, delayProb float64                   // probabilities for a message
	blocked                      func(a, b *simHost) bool  // partition between hosts
	storeRegion                  string                    // region of the store; hosts behind a partition cannot reach it
	split                        string                    // region that is partitioned from the others
	storeMaxDelay                time.Duration             // largest delay of the store in each direction
	replyLossProb                float64                   // probability that a reply of the store is lost
	watchMaxDelay                time.Duration             // largest delay of a watch
	down                         bool                      // the store does not answer
	kv                           map[string]store.Record   // records of the store
	versions                     map[string][]store.Record // all versions, for dissemination between hosts
	index                        uint64
	calls                        map[OpKind]int
	conflicts                    int
	events                       map[EventKind]int
	memberStates                 map[string]proto.State // incarnations in the group records
	bytes, messages              int

	maxEpochs      []uint64 // highest epoch in the store, by entry
	recordedOwners []proto.HostID
	served         uint64
	lostAt         []time.Duration
	lost           []time.Duration
	worst          time.Duration
	measuring      bool
	trace          func(h *simHost, e Event)
	violation      string // first violation, if collect is set
	collect        bool
	quiet          bool // violations are ignored, as the naive version causes some while hosts start
}

func newSim(tb failer, seed uint64, places []proto.Place, shards int, mk func(h *simHost) machine) *sim {
	s := &sim{
		tb: tb, rng: rand.New(rand.NewPCG(seed, 1)), newMachine: mk, tick: simTick, timeout: 2 * time.Second,
		kv: make(map[string]store.Record), versions: make(map[string][]store.Record),
		calls: make(map[OpKind]int), events: make(map[EventKind]int), memberStates: make(map[string]proto.State),
	}
	for i := range shards {
		s.refs = append(s.refs, Ref{Service: simService, Shard: uint32(i)})
	}
	s.maxEpochs = make([]uint64, len(s.refs))
	s.recordedOwners = make([]proto.HostID, len(s.refs))
	s.lostAt = make([]time.Duration, len(s.refs))
	s.lost = make([]time.Duration, len(s.refs))
	for i, p := range places {
		s.hosts = append(s.hosts, &simHost{
			sim: s, name: fmt.Sprintf("h%02d", i), place: p, drains: make(map[Ref]int),
			// Any two clock rates differ by at most 1%, the drift bound.
			rate: 1 + 0.01*s.rng.Float64(), offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		})
	}
	s.storeRegion = places[0].Region
	return s
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, fn})
}

// at runs fn at a time relative to the end of boot.
func (s *sim) at(t time.Duration, fn func()) { s.after(s.bootEnd+t-s.now, fn) }

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)+1))
}

func (s *sim) runUntil(end time.Duration) {
	end += s.bootEnd
	for len(s.queue) > 0 && s.queue[0].at <= end && s.violation == "" {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *sim) fail(format string, args ...any) {
	s.tb.Helper()
	msg := fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	if s.quiet {
		return
	}
	if s.collect {
		s.violation = msg
		return
	}
	s.tb.Fatalf("%s", msg)
}

// start starts a new process on a host.
func (h *simHost) start() {
	s := h.sim
	h.run++
	h.nextRun++
	h.paused, h.inbox, h.drainedMask, h.maskView, h.mask = false, nil, 0, nil, 0
	h.drains = make(map[Ref]int)
	h.proc = s.newMachine(h)
	run := h.run
	var loop func()
	loop = func() {
		if h.run != run {
			return
		}
		h.call(func() { h.proc.Tick(h.clock(), simFx{h}) }, true)
		s.after(time.Duration(float64(s.tick)/h.rate), loop)
	}
	s.after(s.between(0, s.tick), loop)
	var repair func()
	repair = func() {
		if h.run != run {
			return
		}
		h.repair()
		s.after(s.between(500*time.Millisecond, time.Second), repair)
	}
	s.after(s.between(0, time.Second), repair)
}

func (h *simHost) kill() { h.run++; h.proc = nil; h.maskView, h.mask = nil, 0 }

func (h *simHost) pause() { h.paused = true }

func (h *simHost) resume() {
	if !h.paused {
		return
	}
	h.paused = false
	h.sim.check(h)
	queued := h.inbox
	h.inbox = nil
	for _, fn := range queued {
		h.call(fn, false)
	}
}

// call runs a call into the process. A paused process receives it when it
// resumes, except for ticks.
func (h *simHost) call(fn func(), tick bool) {
	if h.proc == nil {
		return
	}
	if h.paused {
		if !tick && len(h.inbox) < 256 {
			h.inbox = append(h.inbox, fn)
		}
		return
	}
	fn()
	h.sim.check(h)
}

// later runs a call into the current process after a delay.
func (h *simHost) later(d time.Duration, fn func()) {
	run := h.run
	h.sim.after(d, func() {
		if h.run == run {
			h.call(fn, false)
		}
	})
}

func (s *sim) connected(a, b *simHost) bool {
	if s.blocked != nil && s.blocked(a, b) {
		return false
	}
	if a.partition != b.partition {
		return false
	}
	return s.split == "" || (a.place.Region == s.split) == (b.place.Region == s.split)
}

func (s *sim) reaches(h *simHost) bool {
	return !s.down && !h.storeCut && (s.split == "" || (h.place.Region == s.split) == (s.storeRegion == s.split))
}

func (s *sim) delay(a, b *simHost) time.Duration {
	d := s.between(300*time.Microsecond, 2*time.Millisecond)
	if a.place.Region != b.place.Region {
		d += 8 * time.Millisecond
	}
	if s.rng.Float64() < s.delayProb {
		d += s.between(0, 2*time.Second)
	}
	return d
}

func (s *sim) find(name string) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// simFx implements Effects for the process of one host.
type simFx struct{ h *simHost }

func (f simFx) Send(to proto.HostID, m proto.Message) {
	s, dst := f.h.sim, f.h.sim.find(to.Name)
	if dst == nil {
		return
	}
	from := f.h.proc.ID()
	if s.measuring {
		b, err := proto.Encode(from, to, m)
		if err != nil {
			s.fail("encode %T: %v", m, err)
		}
		s.bytes += len(b)
		s.messages++
	}
	copies := 1
	if s.rng.Float64() < s.dupProb {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.lossProb {
			continue
		}
		// The datagram reaches the process that has the address on its arrival.
		s.after(s.delay(f.h, dst), func() {
			if s.connected(f.h, dst) {
				dst.call(func() { dst.proc.Receive(dst.clock(), from, m, simFx{dst}) }, false)
			}
		})
	}
}

func (f simFx) Store(op Op) {
	s, h := f.h.sim, f.h
	s.calls[op.Kind]++
	answered := false
	answer := func(r Result) {
		if !answered {
			answered = true
			r.ID = op.ID
			h.call(func() { h.proc.Done(h.clock(), r, simFx{h}) }, false)
		}
	}
	run := h.run
	reply := func(d time.Duration, r Result) {
		s.after(d, func() {
			if h.run == run {
				answer(r)
			}
		})
	}
	unanswered := Result{Err: store.ErrUnavailable}
	if op.Kind == Swap {
		unanswered.Err = store.ErrUncertain
	}
	reply(s.timeout, unanswered)
	if !s.reaches(h) {
		if s.rng.IntN(2) == 0 {
			reply(s.between(time.Millisecond, s.timeout), Result{Err: store.ErrUnavailable})
		}
		return
	}
	s.after(s.storeDelay(h), func() {
		r := s.apply(op)
		if s.reaches(h) && s.rng.Float64() >= s.replyLossProb {
			reply(s.storeDelay(h), r)
		}
	})
}

func (s *sim) storeDelay(h *simHost) time.Duration {
	d := s.between(time.Millisecond, 3*time.Millisecond)
	if h.place.Region != s.storeRegion {
		d += 8 * time.Millisecond
	}
	if s.storeMaxDelay > 0 {
		d += s.between(0, s.storeMaxDelay)
	}
	return d
}

func (s *sim) apply(op Op) Result {
	switch op.Kind {
	case Get:
		if r, ok := s.kv[op.Key]; ok {
			return Result{Records: []store.Record{r}}
		}
		return Result{Err: store.ErrNotFound}
	case List:
		var r Result
		for _, key := range sortedKeys(s.kv) {
			if len(key) >= len(op.Key) && key[:len(op.Key)] == op.Key {
				r.Records = append(r.Records, s.kv[key])
			}
		}
		return r
	case Swap:
		if s.kv[op.Key].Index != op.Index {
			s.conflicts++
			return Result{Err: store.ErrConflict}
		}
		return Result{Index: s.write(op.Key, op.Value)}
	}
	return Result{Err: errors.New("unknown operation")}
}

// write changes a record and delivers it to the watches of reachable hosts.
func (s *sim) write(key string, value []byte) uint64 {
	s.index++
	old := s.kv[key]
	r := store.Record{Key: key, Index: s.index, Value: value}
	s.kv[key] = r
	s.versions[key] = append(s.versions[key], r)
	s.checkWrite(key, old, r)
	for _, h := range s.hosts {
		if s.reaches(h) {
			s.deliver(h, s.storeDelay(h)+s.between(0, s.watchMaxDelay+20*time.Millisecond), r)
		}
	}
	return s.index
}

func (s *sim) deliver(h *simHost, d time.Duration, r store.Record) {
	h.later(d, func() { h.proc.Observe(h.clock(), r, simFx{h}) })
}

// repair fetches the records of a random peer.
func (h *simHost) repair() {
	s, peer := h.sim, h.sim.hosts[h.sim.rng.IntN(len(h.sim.hosts))]
	c, ok := peer.proc.(coreMachine)
	if !ok || peer == h || peer.paused || !s.connected(h, peer) {
		return
	}
	for key, index := range c.Records {
		i, found := slices.BinarySearchFunc(s.versions[key], index, func(r store.Record, index uint64) int {
			return int(r.Index) - int(index)
		})
		if found {
			s.deliver(h, 20*time.Millisecond, s.versions[key][i])
		}
	}
}

func (f simFx) Publish(r store.Record, _ []proto.HostID) {
	for _, h := range f.h.sim.hosts {
		if h != f.h {
			f.Send(proto.HostID{Name: h.name}, proto.Update{Key: r.Key, Index: r.Index, Value: r.Value})
		}
	}
}

// confirms reports whether a handover to the next owner succeeds. The handover
// needs a call to that process, which refuses without a valid lease.
func (h *simHost) confirms(next proto.HostID) bool {
	to := h.sim.find(next.Name)
	if to == nil || to.proc == nil || to.paused || to.proc.ID() != next {
		return false
	}
	return (h.sim.blocked == nil || !h.sim.blocked(h, to)) && to.proc.valid(to.clock())
}

// Drain answers once the requests in flight have ended. An answer in flight at the
// time of Resume is still delivered.
func (f simFx) Drain(ref Ref, next proto.HostID, epoch uint64) {
	h := f.h
	h.drains[ref]++
	n := h.drains[ref]
	h.later(h.sim.between(0, 100*time.Millisecond), func() {
		if h.drains[ref] == n {
			h.drainedMask |= h.sim.bit(ref)
		}
		h.proc.drained(h.clock(), h.confirms(next), ref, next, epoch, simFx{h})
	})
}

func (f simFx) Resume(ref Ref) {
	f.h.drains[ref]++
	f.h.drainedMask &^= f.h.sim.bit(ref)
}

func (f simFx) Event(e Event) {
	f.h.sim.events[e.Kind]++
	if f.h.sim.trace != nil {
		f.h.sim.trace(f.h, e)
	}
}

func (s *sim) bit(ref Ref) uint64 {
	if i := slices.Index(s.refs, ref); i >= 0 {
		return 1 << i
	}
	return 0
}
