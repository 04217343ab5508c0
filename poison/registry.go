package poison

import (
	"cmp"
	"container/list"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/proto"
)

// record is the merged state of a hash. Counts only grow within a round, so
// taking the maximum per origin makes a merge commutative and idempotent.
type record struct {
	hash    Hash
	round   uint64
	crashes map[proto.HostID]int
	expiry  time.Time
	own     bool // this node, or an earlier run of it, counted a crash
}

func (r *record) count() int {
	n := 0
	for _, c := range r.crashes {
		n += c
	}
	return n
}

// Registry decides which requests may run on one target. It is safe for
// concurrent use.
type Registry struct {
	cfg   Config
	clock clockwork.Clock

	mu             sync.Mutex
	records        map[Hash]*list.Element // of *record
	lru            list.List              // most recently used first
	running        map[Fingerprint]int    // number of copies in flight
	suspect        Fingerprint            // the suspect in flight, if any
	suspectRunning bool
	// runs are the origins of this node: this run and the earlier ones whose counts it
	// inherited.
	runs map[proto.HostID]bool
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config, clock clockwork.Clock) *Registry {
	if cfg.TTL == 0 {
		cfg.TTL = time.Hour
	}
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = 4096
	}
	return &Registry{
		cfg: cfg, clock: clock, records: make(map[Hash]*list.Element), running: make(map[Fingerprint]int),
		runs: map[proto.HostID]bool{cfg.Origin: true},
	}
}

// Start admits a request to the target. A suspect is admitted only if no other
// suspect is in flight, so that the next crash is a further one of at most one
// suspect.
func (r *Registry) Start(f Fingerprint) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes := 0
	for _, h := range f.hashes() {
		if rec := r.find(h); rec != nil {
			crashes = max(crashes, rec.count())
		}
	}
	switch {
	case crashes >= crashLimit:
		return fmt.Errorf("request %s: %w", f.Content, ErrQuarantined)
	case crashes > 0 && r.suspectRunning:
		return fmt.Errorf("request %s: %w", f.Content, ErrSuspectRunning)
	case crashes > 0:
		r.suspect, r.suspectRunning = f, true
	}
	r.running[f]++
	return nil
}

// Known returns what this node knows of crashes during a request.
func (r *Registry) Known(f Fingerprint) Known {
	r.mu.Lock()
	defer r.mu.Unlock()
	var k Known
	for _, h := range f.hashes() {
		rec := r.find(h)
		if rec == nil {
			continue
		}
		if n := rec.count(); n > k.Crashes {
			k = Known{
				Crashes: n, Own: rec.crashes[r.cfg.Origin], Nodes: len(rec.crashes),
				Age: r.clock.Now().Sub(rec.expiry.Add(-r.cfg.TTL)),
			}
		}
	}
	return k
}

// Finish ends a request that the target answered. It clears the hashes of a
// suspect and returns the notices that clear them on other nodes. A quarantined
// request stays quarantined.
func (r *Registry) Finish(f Fingerprint) []Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.release(f) {
		return nil
	}
	var notices []Notice
	for _, h := range f.hashes() {
		if rec := r.find(h); rec != nil && rec.count() > 0 && rec.count() < crashLimit {
			notices = append(notices, r.clear(rec))
		}
	}
	return notices
}

// Cancel ends a request without an answer, such as one that its caller cancelled.
// A suspect stays suspect.
func (r *Registry) Cancel(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(f)
}

func (r *Registry) release(f Fingerprint) bool {
	if r.running[f] == 0 {
		return false // ended by a crash of the target
	}
	if r.running[f]--; r.running[f] == 0 {
		delete(r.running, f)
		if r.suspectRunning && r.suspect == f {
			r.suspect, r.suspectRunning = Fingerprint{}, false
		}
	}
	return true
}

// RecordCrash counts a crash of the target for all requests in flight and ends
// them. The node must send the notices before it answers the callers, so that
// they arrive before a retry through another node.
func (r *Registry) RecordCrash() []Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	hashes := make(map[Hash]bool)
	for f := range r.running {
		for _, h := range f.hashes() {
			hashes[h] = true
		}
	}
	clear(r.running)
	r.suspect, r.suspectRunning = Fingerprint{}, false
	var notices []Notice
	for h := range hashes {
		rec := r.find(h)
		if rec == nil {
			rec = r.insert(h)
		}
		rec.crashes[r.cfg.Origin]++
		rec.own = true
		rec.expiry = latest(rec.expiry, r.clock.Now().Add(r.cfg.TTL))
		notices = append(notices, r.notice(rec))
	}
	return notices
}

// Lift ends the suspicion or quarantine of a hash at the request of an operator
// and returns the notice that ends it on other nodes.
func (r *Registry) Lift(h Hash) (Notice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.find(h)
	if rec == nil || rec.count() == 0 {
		return Notice{}, fmt.Errorf("lift %s: %w", h, ErrNotFound)
	}
	return r.clear(rec), nil
}

// clear begins a new round without crashes. The record is kept until its expiry,
// as notices of older rounds may still arrive.
func (r *Registry) clear(rec *record) Notice {
	rec.round++
	rec.crashes = make(map[proto.HostID]int)
	rec.expiry = latest(rec.expiry, r.clock.Now().Add(r.cfg.TTL))
	return r.notice(rec)
}

func (r *Registry) notice(rec *record) Notice {
	return Notice{
		Hash: rec.hash, Round: rec.round, Origin: r.cfg.Origin,
		Count: rec.crashes[r.cfg.Origin], Expiry: rec.expiry.UnixMilli(),
	}
}

// Merge merges the notices of another node. The result does not depend on the
// order or the number of their deliveries.
func (r *Registry) Merge(notices ...Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range notices {
		r.merge(n)
	}
}

// merge merges a notice and returns its record, or nil if the notice has expired.
func (r *Registry) merge(n Notice) *record {
	expiry := time.UnixMilli(n.Expiry)
	if !expiry.After(r.clock.Now()) {
		return nil
	}
	rec := r.find(n.Hash)
	if rec == nil {
		rec = r.insert(n.Hash)
	}
	if n.Round > rec.round {
		rec.round, rec.crashes = n.Round, make(map[proto.HostID]int)
	}
	// The expiry is the latest of all rounds: a lifted record must be kept
	// for longer than the notices of older rounds are valid.
	rec.expiry = latest(rec.expiry, expiry)
	if n.Round == rec.round && n.Count > rec.crashes[n.Origin] {
		rec.crashes[n.Origin] = n.Count
	}
	return rec
}

// Inherit merges what an earlier run of this node recorded. From then on Own returns it
// as well.
func (r *Registry) Inherit(notices ...Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range notices {
		r.runs[n.Origin] = true
		if rec := r.merge(n); rec != nil {
			rec.own = true
		}
	}
}

// MaxOwn bounds the hashes that Own returns.
const MaxOwn = 64

// Own returns the crashes that this node and its earlier runs counted, in a fixed order,
// with at most MaxOwn hashes: quarantined ones first, then suspects and then cleared
// ones, of which the round must not be used again. The node that counted a crash is the
// one that records it.
func (r *Registry) Own() []Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []*record
	for e := r.lru.Front(); e != nil; e = e.Next() {
		if rec := e.Value.(*record); rec.own && rec.expiry.After(r.clock.Now()) {
			records = append(records, rec)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(min(b.count(), crashLimit), min(a.count(), crashLimit)),
			b.expiry.Compare(a.expiry), cmp.Compare(a.hash, b.hash),
		)
	})
	var notices []Notice
	for _, rec := range records[:min(len(records), MaxOwn)] {
		before := len(notices)
		for _, n := range r.notices(rec) {
			if n.Count > 0 && r.runs[n.Origin] {
				notices = append(notices, n)
			}
		}
		if len(notices) == before {
			n := r.notice(rec)
			n.Count = 0
			notices = append(notices, n)
		}
	}
	return notices
}

// Notices returns what this node knows of a request.
func (r *Registry) Notices(f Fingerprint) []Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	var notices []Notice
	for _, h := range f.hashes() {
		if rec := r.find(h); rec != nil {
			notices = append(notices, r.notices(rec)...)
		}
	}
	return notices
}

// notices returns the notices of all nodes that saw crashes, or the one that the hash
// is cleared.
func (r *Registry) notices(rec *record) []Notice {
	n := r.notice(rec)
	if len(rec.crashes) == 0 {
		return []Notice{n}
	}
	var notices []Notice
	for n.Origin, n.Count = range rec.crashes {
		notices = append(notices, n)
	}
	slices.SortFunc(notices, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Origin.Name, b.Origin.Name), cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation))
	})
	return notices
}

// List returns the hashes of suspect and quarantined requests, in order.
func (r *Registry) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []Entry
	for e := r.lru.Front(); e != nil; e = e.Next() {
		rec := e.Value.(*record)
		if n := rec.count(); n > 0 && rec.expiry.After(r.clock.Now()) {
			entries = append(entries, Entry{Hash: rec.hash, Crashes: n, Quarantined: n >= crashLimit, Expiry: rec.expiry})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Hash, b.Hash) })
	return entries
}

// find returns the record of a hash and marks it as recently used. It returns nil
// if there is none or it has expired.
func (r *Registry) find(h Hash) *record {
	e, ok := r.records[h]
	if !ok {
		return nil
	}
	rec := e.Value.(*record)
	if !rec.expiry.After(r.clock.Now()) {
		r.lru.Remove(e)
		delete(r.records, h)
		return nil
	}
	r.lru.MoveToFront(e)
	return rec
}

func (r *Registry) insert(h Hash) *record {
	if len(r.records) >= r.cfg.MaxEntries {
		e := r.lru.Back()
		r.lru.Remove(e)
		delete(r.records, e.Value.(*record).hash)
	}
	rec := &record{hash: h, crashes: make(map[proto.HostID]int)}
	r.records[h] = r.lru.PushFront(rec)
	return rec
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
