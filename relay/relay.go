// Package relay forwards calls to the store through other nodes while the store
// does not answer this node: the store may refuse some machines, or the network
// path to it may be broken.
package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/clock"
	"burdocklift/peer"
	"burdocklift/store"
)

// Method is the call by which a node asks another one to call the store.
const Method peer.Method = 6

const (
	// directTimeout bounds a direct call to the store, after which other nodes
	// may be asked. The store answers in 4 ms, at worst in 0.4 s.
	directTimeout = 500 * time.Millisecond
	// renewalHedgeDelay is how long a renewal waits for a store that failed this node
	// before other nodes are asked as well.
	renewalHedgeDelay = 100 * time.Millisecond
	// maxRelays bounds how many nodes are asked for one call.
	maxRelays = 4
)

// operation identifies a call to the store.
type operation uint8

const (
	opRead operation = iota + 1
	opReadAll
	opCommit
	opNewLease
	opKeepLease
	opEndLease
)

type request struct {
	Op    operation     `cbor:"1,keyasint"`
	Key   string        `cbor:"2,keyasint,omitempty"` // or prefix, for opReadAll
	Txn   store.Txn     `cbor:"3,keyasint,omitzero"`
	Lease uint64        `cbor:"4,keyasint,omitempty"`
	TTL   time.Duration `cbor:"5,keyasint,omitempty"`
}

type reply struct {
	ErrorCode uint8        `cbor:"1,keyasint,omitempty"` // index into wireErrors
	Items     []store.Item `cbor:"2,keyasint,omitempty"`
	Number    uint64       `cbor:"3,keyasint,omitempty"` // revision or lease ID
	Era       uint64       `cbor:"4,keyasint,omitempty"` // of the store; missing from nodes that do not know it
}

// wireErrors lists the errors that a reply carries by their code; 0 is success.
var wireErrors = []error{
	nil, store.ErrNotFound, store.ErrConflict, store.ErrUncertain, store.ErrUnavailable, store.ErrBusy, store.ErrLeaseLost,
}

// Ledger calls the store directly or, while that fails, through other nodes.
type Ledger struct {
	store.Ledger
	peers  *peer.Transport
	clock  clock.Clock
	health store.Health  // of direct calls
	era    atomic.Uint64 // latest one shown by a reply of another node
	first  atomic.Uint64 // one more than the first one seen, 0 before

	mu        sync.Mutex
	relays    func() []string // addresses of nodes that may be asked
	preferred int             // index in relays of the node that is asked first
}

// New returns a Ledger on top of a direct one and serves the calls of other
// nodes.
func New(direct store.Ledger, peers *peer.Transport, c clock.Clock) *Ledger {
	l := &Ledger{Ledger: direct, peers: peers, clock: c, relays: func() []string { return nil }}
	peers.Handle(Method, l.handleCall)
	return l
}

// SetRelays sets the source of the addresses of nodes that calls are relayed
// through.
func (l *Ledger) SetRelays(f func() []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays = f
}

// Health returns whether the store answers this node itself.
func (l *Ledger) Health() *store.Health { return &l.health }

// Era implements store.Ledger.
func (l *Ledger) Era() uint64 { return max(l.Ledger.Era(), l.era.Load()) }

// answeredNow reports whether a reply that names an era, or none as those of nodes that do
// not know it, is of the present one. Without a restore since the start there is no other.
func (l *Ledger) answeredNow(era uint64) bool {
	l.noteEra(era)
	present := l.Era()
	l.first.CompareAndSwap(0, present+1)
	return era >= present || era == 0 && present+1 == l.first.Load()
}

// noteEra takes the era over that another node has seen.
func (l *Ledger) noteEra(era uint64) {
	for {
		seen := l.era.Load()
		if era <= seen || l.era.CompareAndSwap(seen, era) {
			return
		}
	}
}

// Changes implements store.Ledger. It is not relayed: other nodes copy what a node lacks.
func (l *Ledger) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	items, rev, err := l.Ledger.Changes(ctx, prefix, after, wait)
	l.health.Record(err, l.clock.Elapsed())
	return items, rev, err
}

// Read implements store.Ledger.
func (l *Ledger) Read(ctx context.Context, key string) (store.Item, error) {
	r, err := l.do(ctx, request{Op: opRead, Key: key})
	if err != nil {
		return store.Item{}, err
	}
	if len(r.Items) != 1 {
		return store.Item{}, fmt.Errorf("%w: read of one key returned %d items, want 1", store.ErrUnavailable, len(r.Items))
	}
	return r.Items[0], nil
}

// ReadAll implements store.Ledger.
func (l *Ledger) ReadAll(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	r, err := l.do(ctx, request{Op: opReadAll, Key: prefix})
	return r.Items, r.Number, err
}

// Commit implements store.Ledger.
func (l *Ledger) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	r, err := l.do(ctx, request{Op: opCommit, Txn: txn})
	return r.Number, err
}

// NewLease implements store.Ledger.
func (l *Ledger) NewLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	r, err := l.do(ctx, request{Op: opNewLease, TTL: ttl})
	return r.Number, err
}

// KeepLease implements store.Ledger.
func (l *Ledger) KeepLease(ctx context.Context, lease uint64) error {
	_, err := l.do(ctx, request{Op: opKeepLease, Lease: lease})
	return err
}

// EndLease implements store.Ledger.
func (l *Ledger) EndLease(ctx context.Context, lease uint64) error {
	_, err := l.do(ctx, request{Op: opEndLease, Lease: lease})
	return err
}

// do calls the store, and other nodes if that call had no effect. While the store
// fails this node, other nodes are asked first, and renewals show when it answers
// again. A commit without an answer may still take effect, so it is not repeated here.
func (l *Ledger) do(ctx context.Context, req request) (reply, error) {
	failing := !l.health.Answers()
	switch {
	case failing && req.Op == opKeepLease:
		return l.hedge(ctx, req)
	case failing:
		if r, err := l.callRelays(ctx, req); !hadNoEffect(err) {
			return r, err
		}
	}
	r, err := l.callDirect(ctx, req)
	if !hadNoEffect(err) && !errors.Is(err, store.ErrUncertain) {
		return r, err
	}
	idempotent := req.Op == opKeepLease || req.Op == opEndLease || req.Op == opNewLease
	if failing || !hadNoEffect(err) && !idempotent || ctx.Err() != nil {
		return r, err
	}
	if relayed, relayErr := l.callRelays(ctx, req); !hadNoEffect(relayErr) {
		return relayed, relayErr
	}
	return r, err
}

// hedge calls the store and, if that does not answer soon, other nodes at the same
// time. The call must be idempotent.
func (l *Ledger) hedge(ctx context.Context, req request) (reply, error) {
	type result struct {
		reply reply
		err   error
	}
	directCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := make(chan result, 1)
	go func() {
		r, err := l.callDirect(directCtx, req)
		direct <- result{r, err}
	}()
	timer := l.clock.NewTimer(renewalHedgeDelay)
	defer timer.Stop()
	select {
	case d := <-direct:
		if !hadNoEffect(d.err) && !errors.Is(d.err, store.ErrUncertain) {
			return d.reply, d.err
		}
		if relayed, err := l.callRelays(ctx, req); !hadNoEffect(err) {
			return relayed, err
		}
		return d.reply, d.err
	case <-timer.Chan():
	}
	relayed, err := l.callRelays(ctx, req)
	if !hadNoEffect(err) && !errors.Is(err, store.ErrUncertain) {
		cancel()
		<-direct
		return relayed, err
	}
	d := <-direct
	return d.reply, d.err
}

// callDirect calls the store from this node.
func (l *Ledger) callDirect(ctx context.Context, req request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return l.callStore(ctx, req)
}

// hadNoEffect reports whether an error means that a call certainly had no
// effect on the store.
func hadNoEffect(err error) bool {
	return errors.Is(err, store.ErrBusy) || errors.Is(err, store.ErrUnavailable)
}

func (l *Ledger) callStore(ctx context.Context, req request) (r reply, err error) {
	switch req.Op {
	case opRead:
		var it store.Item
		it, err = l.Ledger.Read(ctx, req.Key)
		r.Items = []store.Item{it}
	case opReadAll:
		r.Items, r.Number, err = l.Ledger.ReadAll(ctx, req.Key)
	case opCommit:
		if req.Txn.Outdated(l.Era()) {
			return r, fmt.Errorf("commit: not sent: %w: %w", store.ErrConflict, store.ErrRestored)
		}
		r.Number, err = l.Ledger.Commit(ctx, req.Txn)
	case opNewLease:
		r.Number, err = l.Ledger.NewLease(ctx, req.TTL)
	case opKeepLease:
		err = l.Ledger.KeepLease(ctx, req.Lease)
	case opEndLease:
		err = l.Ledger.EndLease(ctx, req.Lease)
	default:
		return r, fmt.Errorf("%w: unknown store operation %d", store.ErrUnavailable, req.Op)
	}
	l.first.CompareAndSwap(0, l.Era()+1)
	l.health.Record(err, l.clock.Elapsed())
	return r, err
}

// callRelays has other nodes call the store, one after the other.
func (l *Ledger) callRelays(ctx context.Context, req request) (reply, error) {
	l.mu.Lock()
	relays, first := l.relays(), l.preferred
	l.mu.Unlock()
	err := fmt.Errorf("%w: no other node to relay through", store.ErrUnavailable)
	for i := range min(maxRelays, len(relays)) {
		at := (first + i) % len(relays)
		var r reply
		r, err = peer.Call[reply](ctx, l.peers, relays[at], Method, req)
		if err != nil {
			l.prefer(at + 1)
		}
		switch {
		case errors.Is(err, peer.ErrNotSent):
			err = fmt.Errorf("%w: %w", store.ErrUnavailable, err)
			continue
		case err != nil:
			return reply{}, fmt.Errorf("%w: %w", store.ErrUncertain, err)
		case int(r.ErrorCode) >= len(wireErrors):
			return reply{}, fmt.Errorf("%w: unknown error code %d in the reply", store.ErrUncertain, r.ErrorCode)
		}
		err = wireErrors[r.ErrorCode]
		if !l.answeredNow(r.Era) && !hadNoEffect(err) {
			return reply{}, fmt.Errorf("%w: call through %s: %w", store.ErrUncertain, relays[at], store.ErrRestored)
		}
		if hadNoEffect(err) {
			l.prefer(at + 1) // the store may refuse this node as well
			continue
		}
		l.prefer(at)
		if err != nil {
			err = fmt.Errorf("call store through %s: %w", relays[at], err)
		}
		return r, err
	}
	return reply{}, err
}

// prefer sets the node that is asked first.
func (l *Ledger) prefer(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preferred = index
}

func (l *Ledger) handleCall(ctx context.Context, body []byte) ([]byte, error) {
	var req request
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, fmt.Errorf("decode relayed store call: %w", err)
	}
	if !l.health.Answers() {
		// The other node has no time to wait in vain for the store here.
		return cbor.Marshal(reply{ErrorCode: errorCode(store.ErrBusy), Era: l.Era()})
	}
	r, err := l.callDirect(ctx, req)
	if err != nil {
		r = reply{ErrorCode: errorCode(err)}
	}
	r.Era = l.Era()
	return cbor.Marshal(r)
}

// errorCode returns the code of an error. Any other error maps to
// store.ErrUncertain, because the call may have taken effect.
func errorCode(err error) uint8 {
	for i, f := range wireErrors {
		if f != nil && errors.Is(err, f) {
			return uint8(i)
		}
	}
	return 3 // store.ErrUncertain
}
