package owner

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"burdocklift/proto"
	"burdocklift/store"
)

const (
	// retryInterval is the initial backoff before a store operation without a
	// known outcome is retried. It doubles with each failure.
	retryInterval = 100 * time.Millisecond
	// maxRetryInterval bounds the backoff, and with it the delay after an outage.
	maxRetryInterval = 2 * time.Second
)

// change is one intended modification of a record. apply must depend on the
// record alone and report whether it modified it, as it is applied again after a
// conflict.
type change[R any] struct {
	apply func(r *R) bool
	done  func(now time.Time, fx Effects)
	// withdraw, if set, is called when a write ends without success. notWritten
	// means that the write has certainly had no effect; otherwise it may still
	// take effect. If withdraw returns true, the change is dropped and done is not
	// called.
	withdraw func(now time.Time, notWritten bool, fx Effects) bool
}

// cached is the newest known state of one record, with the changes to it that
// are pending or in flight.
type cached[R any] struct {
	key     string
	index   uint64
	rec     *R
	loaded  bool // the record has been read, or is known not to exist
	pending []change[R]

	inFlight []change[R]
	busy     bool
	value    []byte // encoded record of the write in flight
	stamp    proto.Stamp
	retryAt  time.Time
	retry    func(now time.Time, fx Effects)
	backoff  time.Duration
	// uncertain is set while a write at the current index may still take effect.
	uncertain  bool
	verified   time.Time // start time of the last successful read or write
	verifying  bool
	nextVerify time.Time
}

// cache holds the records of one kind. Each record has at most one
// compare-and-swap in flight, and changes that arrive meanwhile are combined into
// the next one.
type cache[R any] struct {
	core     *Core
	entries  map[string]*cached[R]
	retrying []*cached[R] // records with an operation to retry
	decode   func([]byte) (*R, error)
	clone    func(*R) *R
	stampOf  func(*R) *proto.Stamp
	onChange func(now time.Time, c *cached[R], fx Effects)
}

func (k *cache[R]) entry(key string) *cached[R] {
	c := k.entries[key]
	if c == nil {
		c = &cached[R]{key: key}
		k.entries[key] = c
	}
	return c
}

// observe applies a record from the store or a peer. A record that is not newer
// than the known one is ignored.
func (k *cache[R]) observe(now time.Time, r store.Record, fx Effects) {
	c := k.entry(r.Key)
	c.loaded = true
	if r.Index <= c.index {
		return
	}
	rec, err := k.decode(r.Value)
	if err != nil {
		fx.Event(Event{Kind: RecordInvalid, Detail: r.Key + ": " + err.Error()})
		return
	}
	c.index, c.rec = r.Index, rec
	k.onChange(now, c, fx)
}

// edit queues a change to a record and starts it if none is in flight.
func (k *cache[R]) edit(now time.Time, key string, ch change[R], fx Effects) {
	c := k.entry(key)
	c.pending = append(c.pending, ch)
	k.start(now, c, fx)
}

func (k *cache[R]) start(now time.Time, c *cached[R], fx Effects) {
	if c.busy || len(c.pending) == 0 {
		return
	}
	c.busy = true
	c.inFlight, c.pending = c.pending, nil
	if !c.loaded {
		k.get(now, c, fx)
		return
	}
	k.prepareWrite(now, c, fx)
}

// prepareWrite applies the changes in flight to the newest known record and
// writes the result.
func (k *cache[R]) prepareWrite(now time.Time, c *cached[R], fx Effects) {
	next := new(R)
	if c.rec != nil {
		next = k.clone(c.rec)
	}
	changed := false
	for _, ch := range c.inFlight {
		if ch.apply(next) {
			changed = true
		}
	}
	if !changed {
		k.finish(now, c, fx)
		return
	}
	c.stamp = k.core.nextStamp()
	*k.stampOf(next) = c.stamp
	value, err := proto.EncodeRecord(next)
	if err != nil {
		fx.Event(Event{Kind: RecordInvalid, Detail: c.key + ": " + err.Error()})
		k.finish(now, c, fx)
		return
	}
	c.value = value
	k.swap(now, c, c.index, fx)
}

func (k *cache[R]) swap(started time.Time, c *cached[R], index uint64, fx Effects) {
	value := c.value
	k.core.store(Op{Kind: Swap, Key: c.key, Index: index, Value: value}, func(now time.Time, r Result, fx Effects) {
		switch {
		case r.Err == nil:
			c.uncertain, c.backoff, c.verified = false, 0, started
			k.observe(now, store.Record{Key: c.key, Index: r.Index, Value: value}, fx)
			k.core.publish(store.Record{Key: c.key, Index: r.Index, Value: value}, fx)
			k.finish(now, c, fx)
		case errors.Is(r.Err, store.ErrConflict):
			// The conflict may be with an earlier attempt of this write whose reply was
			// lost. A write at the old index can no longer take effect.
			c.uncertain = false
			k.get(now, c, fx)
		default:
			// The write may still take effect. If a read returns another index, the
			// outcome is known; at the same index the write is repeated.
			c.uncertain = c.uncertain || !errors.Is(r.Err, store.ErrUnavailable)
			k.retryWrite(now, c, true, func(now time.Time, fx Effects) { k.resolve(now, c, index, fx) }, fx)
		}
	}, fx)
}

// resolve reads a record after a write at an index that ended without a known
// outcome. Once the index has changed, the write has either taken effect or never
// will. If the reply to each write is lost, only a read can establish this.
func (k *cache[R]) resolve(_ time.Time, c *cached[R], index uint64, fx Effects) {
	k.core.store(Op{Kind: Get, Key: c.key}, func(now time.Time, r Result, fx Effects) {
		switch {
		case r.Err == nil && r.Records[0].Index != index:
			c.uncertain = false
			k.handleRead(now, c, r.Records[0], fx)
		case r.Err == nil || errors.Is(r.Err, store.ErrNotFound):
			k.retryWrite(now, c, false, func(now time.Time, fx Effects) { k.swap(now, c, index, fx) }, fx)
		default:
			k.retryWrite(now, c, true, func(now time.Time, fx Effects) { k.resolve(now, c, index, fx) }, fx)
		}
	}, fx)
}

// retryWrite continues a write that ended without a known outcome, less the
// changes that are withdrawn. If delayed, the next attempt waits for the backoff.
func (k *cache[R]) retryWrite(now time.Time, c *cached[R], delayed bool, attempt func(time.Time, Effects), fx Effects) {
	n := len(c.inFlight)
	c.inFlight = slices.DeleteFunc(c.inFlight, func(ch change[R]) bool {
		return ch.withdraw != nil && ch.withdraw(now, !c.uncertain, fx)
	})
	if len(c.inFlight) == 0 {
		k.finish(now, c, fx)
		return
	}
	if len(c.inFlight) < n {
		attempt = func(now time.Time, fx Effects) { k.prepareWrite(now, c, fx) }
	}
	if delayed {
		k.scheduleRetry(now, c, attempt)
		return
	}
	attempt(now, fx)
}

func (k *cache[R]) get(_ time.Time, c *cached[R], fx Effects) {
	k.core.store(Op{Kind: Get, Key: c.key}, func(now time.Time, r Result, fx Effects) {
		switch {
		case errors.Is(r.Err, store.ErrNotFound):
			c.loaded = true
		case r.Err != nil:
			k.scheduleRetry(now, c, func(now time.Time, fx Effects) { k.get(now, c, fx) })
			return
		default:
			k.handleRead(now, c, r.Records[0], fx)
			return
		}
		k.prepareWrite(now, c, fx)
	}, fx)
}

// handleRead continues after a read of a record. If the record equals the one
// written, the changes in flight are done; otherwise they are applied to it.
func (k *cache[R]) handleRead(now time.Time, c *cached[R], r store.Record, fx Effects) {
	k.observe(now, r, fx)
	if c.index < r.Index {
		// The record cannot be decoded, and a write based on an older one would
		// conflict again at once.
		k.scheduleRetry(now, c, func(now time.Time, fx Effects) { k.get(now, c, fx) })
		return
	}
	c.backoff = 0
	if c.value != nil && bytes.Equal(c.value, r.Value) {
		k.core.publish(r, fx)
		k.finish(now, c, fx)
		return
	}
	k.prepareWrite(now, c, fx)
}

func (k *cache[R]) finish(now time.Time, c *cached[R], fx Effects) {
	done := c.inFlight
	c.inFlight, c.value, c.busy = nil, nil, false
	for _, ch := range done {
		if ch.done != nil {
			ch.done(now, fx)
		}
	}
	k.start(now, c, fx)
}

func (k *cache[R]) scheduleRetry(now time.Time, c *cached[R], fn func(now time.Time, fx Effects)) {
	c.backoff = min(max(2*c.backoff, retryInterval), maxRetryInterval)
	c.retryAt, c.retry = now.Add(c.backoff), fn
	k.retrying = append(k.retrying, c)
}

// tick retries the operations whose backoff has expired.
func (k *cache[R]) tick(now time.Time, fx Effects) {
	if len(k.retrying) == 0 {
		return
	}
	waiting := k.retrying
	k.retrying = nil
	for _, c := range waiting {
		if now.Before(c.retryAt) {
			k.retrying = append(k.retrying, c)
			continue
		}
		fn := c.retry
		c.retry = nil
		fn(now, fx)
	}
}

// verify reads a record unless a successful read or write of it was started after
// since. It reports whether one was.
func (k *cache[R]) verify(now time.Time, c *cached[R], since time.Time, fx Effects) bool {
	if c.verified.After(since) {
		return true
	}
	if c.verifying || now.Before(c.nextVerify) {
		return false
	}
	c.verifying = true
	k.core.store(Op{Kind: Get, Key: c.key}, func(end time.Time, r Result, fx Effects) {
		c.verifying = false
		if r.Err != nil {
			c.nextVerify = end.Add(maxRetryInterval)
			return
		}
		c.verified = now
		k.observe(end, r.Records[0], fx)
	}, fx)
	return false
}
