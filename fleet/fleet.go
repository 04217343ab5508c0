// Package fleet keeps what the nodes of a site agree on: who is a member,
// which target owns which keys, and which rules are in force. All of it lies in
// the platform's store; nodes find each other there alone.
package fleet

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/clock"
	"burdocklift/peer"
	"burdocklift/rules"
	"burdocklift/span"
	"burdocklift/store"
)

// tickTime is the interval of the control loop. It bounds how late a change is
// noticed that no event announces, such as the end of a wait.
const tickTime = 250 * time.Millisecond

// ErrStopped means that the control loop has ended.
var ErrStopped = errors.New("control loop has ended")

// Config is what a Fleet is made of.
type Config struct {
	Name       string
	Address    string // for calls of other nodes
	DataCentre string
	Region     string
	Store      store.Ledger
	Peers      *peer.Net
	Clock      clock.Clock
	Log        *slog.Logger
	// RulesKey names the record of the operators' rules, which Rules decodes.
	RulesKey string
	Rules    func(b []byte) (*rules.Set, error)
}

// Fleet is a node's part in the site. One goroutine owns its state and
// publishes views.
type Fleet struct {
	cfg  Config
	view atomic.Pointer[View]
	do   chan func(now time.Duration)
	done chan struct{}

	retry clockwork.Timer // of a write that failed; owned by the loop

	storeAway atomic.Bool  // as last logged
	relays    atomic.Bool  // this node watches the store for its data centre
	mustList  atomic.Bool  // the records are to be read from the store
	failing   atomic.Int32 // watches in a row that the store did not serve
	failedAt  atomic.Int64 // time.Duration of the last one

	copied int // nodes whose records were copied; owned by follow

	countMu sync.Mutex
	counts  map[int]uint32 // requests by key since the last report
	answers int            // that the target gave since then
	work    time.Duration  // for which it worked at them

	// All below is owned by the loop.
	started time.Duration
	// run is the Unix milliseconds of the start, or of the moment at which this node
	// learned that the right of an earlier run had ended.
	run    int64
	items  map[string]store.Item // stored records of this system, by key
	synced bool                  // the records were read once
	rules  *rules.Set
	rev    uint64        // all records are known up to here
	newsAt time.Duration // last word of the relay
	gather bool          // others may lack records
	tellAt time.Duration // when they are told
	// informed is the revision up to which other nodes know all records.
	informed map[string]uint64
	telling  map[string]bool // a call is under way
	concerns map[string]*concern
	members  map[string]Member
	ranges   map[string]span.Map
	local    local
	stopping bool
	// left are the targets that said that they leave, by id. It is kept apart from
	// local, as a restarted node may hear of it before any heartbeat.
	left    map[string]departure
	right   right
	writer  writer
	book    freedBook
	leader  string // address of the planning node, or empty
	settle  settler
	witness witness
	planner planner
}

// New returns a fleet that knows nothing yet.
func New(cfg Config) *Fleet {
	now := cfg.Clock.Elapsed()
	f := &Fleet{
		cfg: cfg, do: make(chan func(time.Duration)), done: make(chan struct{}),
		run: cfg.Clock.Now().UnixMilli(), items: make(map[string]store.Item),
		members: make(map[string]Member), ranges: make(map[string]span.Map),
		informed: make(map[string]uint64), telling: make(map[string]bool), concerns: make(map[string]*concern),
		newsAt: now, started: now, left: make(map[string]departure),
	}
	f.mustList.Store(true)
	// The target may hold keys that an earlier run of this node granted.
	f.local.holdEnds = now + longestHold
	f.book.tell = make(map[string][]span.Release)
	f.book.heard = make(map[string][]heardFreed)
	f.settle.endings = make(map[string]*ending)
	f.planner.init(now)
	f.publish()
	cfg.Peers.Handle(MethodReport, f.handleReport)
	cfg.Peers.Handle(MethodNews, f.handleNews)
	cfg.Peers.Handle(MethodCopy, f.handleCopy)
	cfg.Peers.Handle(MethodFreed, f.handleFreed)
	cfg.Peers.Handle(MethodConfirm, f.handleConfirm)
	cfg.Peers.Handle(MethodRefuse, f.handleRefuse)
	return f
}

// Retire makes others take over the keys of the target beside this node, which
// is about to stop. The target runs on, and gets keys again when the node is
// back.
func (f *Fleet) Retire(ctx context.Context) error {
	return f.post(ctx, func(time.Duration) { f.stopping = true })
}

// View returns the newest snapshot.
func (f *Fleet) View() *View { return f.view.Load() }

// Run drives the fleet until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(f.done)
	ends := make(chan error, 4)
	tasks := []func(context.Context) error{f.follow, f.keep, f.report, f.contact}
	for _, task := range tasks {
		go func() { ends <- task(ctx) }()
	}
	err := f.loop(ctx)
	cancel()
	for range tasks {
		err = errors.Join(err, <-ends)
	}
	return err
}

func (f *Fleet) loop(ctx context.Context) error {
	ticks := f.cfg.Clock.NewTicker(tickTime)
	defer ticks.Stop()
	f.retry = f.cfg.Clock.NewTimer(tickTime)
	defer f.retry.Stop()
	due := f.cfg.Clock.NewTimer(newsDelay) // for news to the others
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case step := <-f.do:
			step(f.cfg.Clock.Elapsed())
		case <-f.retry.Chan():
		case <-due.Chan():
			if f.relays.Load() {
				f.spreadNews(ctx)
			}
		case <-ticks.Chan():
			f.tick(f.cfg.Clock.Elapsed())
			f.chase(ctx, f.cfg.Clock.Elapsed())
		}
		now := f.cfg.Clock.Elapsed()
		f.reconcile(ctx, now)
		if f.gather && f.relays.Load() {
			f.gather = false
			if f.tellAt <= now {
				f.tellAt = now + newsDelay
				due.Reset(newsDelay)
			}
		}
	}
}

// post runs a step on the loop. It returns ErrStopped or the context's error if
// the step did not run.
func (f *Fleet) post(ctx context.Context, step func(now time.Duration)) error {
	ran := make(chan struct{})
	select {
	case f.do <- func(now time.Duration) { step(now); close(ran) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-f.done:
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-f.done:
		return ErrStopped
	}
}

func (f *Fleet) publish() {
	v := &View{
		rules: f.rules, members: f.members, ranges: f.ranges, local: f.local,
		settles: f.settle.ends(), changed: make(chan struct{}),
	}
	for name := range f.members {
		v.order = append(v.order, name)
	}
	slices.Sort(v.order)
	old := f.view.Swap(v)
	if old != nil {
		close(old.changed)
	}
}
