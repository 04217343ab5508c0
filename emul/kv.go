// Package emul provides stand-ins for the outside systems: the platform's
// key-value service and the targets, with faults that can be switched on.
package emul

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"burdocklift/store"
)

// MaxValue is the largest value that the service stores.
const MaxValue = 1 << 20

type pair struct {
	value   []byte
	index   uint64
	session string
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// KV is an in-memory key-value service with compare-and-swap, sessions and
// watches. It implements store.Store. The zero value is ready to use.
type KV struct {
	// Clock decides when sessions expire; nil means the real clock.
	Clock clockwork.Clock

	mu       sync.Mutex
	index    uint64
	pairs    map[string]*pair
	sessions map[string]*session
	changed  chan struct{}
}

func (k *KV) now() time.Time {
	if k.Clock == nil {
		k.Clock = clockwork.NewRealClock()
	}
	return k.Clock.Now()
}

// expire drops ended sessions and the locks they held. The caller holds mu.
func (k *KV) expire() {
	now := k.now()
	for id, s := range k.sessions {
		if now.After(s.expires) {
			k.destroy(id)
		}
	}
}

func (k *KV) destroy(id string) {
	delete(k.sessions, id)
	for _, p := range k.pairs {
		if p.session == id {
			p.session = ""
			k.bump(p)
		}
	}
}

func (k *KV) bump(p *pair) {
	k.index++
	p.index = k.index
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
}

func (k *KV) put(key string) *pair {
	if k.pairs == nil {
		k.pairs = make(map[string]*pair)
	}
	p := k.pairs[key]
	if p == nil {
		p = &pair{}
		k.pairs[key] = p
	}
	return p
}

// Get implements store.Store.
func (k *KV) Get(_ context.Context, key string) (store.Record, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.pairs[key]
	if !ok {
		return store.Record{}, fmt.Errorf("get %s: %w", key, store.ErrNotFound)
	}
	return store.Record{Key: key, Index: p.index, Value: slices.Clone(p.value)}, nil
}

// List implements store.Store.
func (k *KV) List(_ context.Context, prefix string) ([]store.Record, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var records []store.Record
	for key, p := range k.pairs {
		if strings.HasPrefix(key, prefix) {
			records = append(records, store.Record{Key: key, Index: p.index, Value: slices.Clone(p.value)})
		}
	}
	slices.SortFunc(records, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	return records, nil
}

// Swap implements store.Store.
func (k *KV) Swap(_ context.Context, key string, index uint64, value []byte) (uint64, error) {
	if len(value) > MaxValue {
		return 0, fmt.Errorf("swap %s: value of %d bytes is over the limit of %d", key, len(value), MaxValue)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	current := uint64(0)
	if p, ok := k.pairs[key]; ok {
		current = p.index
	}
	if current != index {
		return 0, fmt.Errorf("swap %s: index is %d, not %d: %w", key, current, index, store.ErrConflict)
	}
	p := k.put(key)
	p.value = slices.Clone(value)
	k.bump(p)
	return p.index, nil
}

// Watch implements store.Store. It returns only on a change or when the
// context ends.
func (k *KV) Watch(ctx context.Context, key string, index uint64) (store.Record, error) {
	for {
		k.mu.Lock()
		if p, ok := k.pairs[key]; ok && p.index != index {
			r := store.Record{Key: key, Index: p.index, Value: slices.Clone(p.value)}
			k.mu.Unlock()
			return r, nil
		}
		changed := k.wait()
		k.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Record{}, fmt.Errorf("watch %s: %w: %w", key, store.ErrUnavailable, ctx.Err())
		}
	}
}

// wait returns a channel that is closed at the next change. The caller holds mu.
func (k *KV) wait() <-chan struct{} {
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.changed
}

// CreateSession starts a session and returns its identifier.
func (k *KV) CreateSession(ttl time.Duration) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sessions == nil {
		k.sessions = make(map[string]*session)
	}
	id := uuid.NewString()
	k.sessions[id] = &session{ttl: ttl, expires: k.now().Add(ttl)}
	return id
}

// RenewSession extends a session and reports whether it still existed.
func (k *KV) RenewSession(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	s, ok := k.sessions[id]
	if ok {
		s.expires = k.now().Add(s.ttl)
	}
	return ok
}

// DestroySession ends a session and releases its locks.
func (k *KV) DestroySession(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.destroy(id)
}

// Acquire takes the lock on a key for a session and reports success.
func (k *KV) Acquire(key, id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if _, ok := k.sessions[id]; !ok {
		return false
	}
	p := k.put(key)
	if p.session != "" && p.session != id {
		return false
	}
	p.session = id
	k.bump(p)
	return true
}

type kvLease struct {
	k  *KV
	id string
}

// Lease implements store.Store.
func (k *KV) Lease(_ context.Context, name string, ttl time.Duration) (store.Lease, error) {
	id := k.CreateSession(ttl)
	if !k.Acquire(name, id) {
		k.DestroySession(id)
		return nil, fmt.Errorf("lease %s: %w", name, store.ErrConflict)
	}
	return &kvLease{k: k, id: id}, nil
}

// Renew implements store.Lease.
func (l *kvLease) Renew(context.Context) error {
	if !l.k.RenewSession(l.id) {
		return store.ErrLeaseLost
	}
	return nil
}

// Release implements store.Lease.
func (l *kvLease) Release(context.Context) error {
	l.k.DestroySession(l.id)
	return nil
}
