package route

import (
	"context"
	"sync"
	"time"

	"burdocklift/shard"
)

// inFlightStripes is the number of lock stripes for the in-flight counts.
const inFlightStripes = 64

type inFlightKey struct {
	service string
	shard   uint32
	key     string
}

type inFlightStripe struct {
	mu     sync.Mutex
	counts map[inFlightKey]int
}

// InFlightCounter counts the requests in flight on the local target per key, so
// that an entry can be drained. Counts are kept per key rather than per entry
// because a key may become a hot entry of its own while its requests are in
// flight. The zero value is ready to use.
type InFlightCounter struct {
	stripes [inFlightStripes]inFlightStripe
}

func (f *InFlightCounter) add(service string, s uint32, key string) inFlightKey {
	k := inFlightKey{service, s, key}
	stripe := &f.stripes[s%inFlightStripes]
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	if stripe.counts == nil {
		stripe.counts = make(map[inFlightKey]int)
	}
	stripe.counts[k]++
	return k
}

func (f *InFlightCounter) remove(k inFlightKey) {
	stripe := &f.stripes[k.shard%inFlightStripes]
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	if stripe.counts[k]--; stripe.counts[k] == 0 {
		delete(stripe.counts, k)
	}
}

// anyInFlight reports whether the shard has a request in flight whose key
// matches.
func (f *InFlightCounter) anyInFlight(service string, s uint32, match func(key string) bool) bool {
	stripe := &f.stripes[s%inFlightStripes]
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	for k := range stripe.counts {
		if k.service == service && k.shard == s && match(k.key) {
			return true
		}
	}
	return false
}

// drainPollInterval is how often Drain checks for requests in flight.
const drainPollInterval = time.Millisecond

// Drain waits until the published view shows the entry as moving, so that no
// new request is accepted, and then until none of its requests is in flight. A
// non-empty key selects a hot entry; the empty key selects the shard without
// its hot entries.
func (f *InFlightCounter) Drain(ctx context.Context, view func() *shard.View, service string, s uint32, key string) error {
	match := func(k string) bool { return k == key }
	if key == "" {
		match = func(k string) bool {
			_, hot := view().Entry(service, s, k)
			return !hot
		}
	}
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	moving := func() bool {
		d, ok := view().Entry(service, s, key)
		return ok && (d.Moving || !d.Local)
	}
	for !moving() || f.anyInFlight(service, s, match) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
