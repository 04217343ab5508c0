// Package fleet maintains the state that the nodes of a site share: the members, the owner
// of each range of keys and the rules in force. All of it is stored in the platform's
// store, which is also the only place where nodes discover each other.
package fleet

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/clock"
	"burdocklift/peer"
	"burdocklift/place"
	"burdocklift/rules"
	"burdocklift/span"
	"burdocklift/store"
)

// tickInterval is the interval of the control loop's ticker. It bounds the delay of
// changes that no event announces, such as the end of a wait.
const tickInterval = 250 * time.Millisecond

// ErrStopped is returned for a step that is submitted after the control loop has ended.
var ErrStopped = errors.New("control loop has ended")

// Config holds the settings and dependencies of a Fleet.
type Config struct {
	Name       string
	Address    string // at which other nodes call this one
	DataCentre string
	Region     string
	Store      store.Ledger
	// Health tells whether the store answers this node itself. Without it the store counts
	// as answering.
	Health *store.Health
	Peers  *peer.Transport
	Clock  clock.Clock
	Log    *slog.Logger
	// RulesKey is the store key of the operators' rules, which Rules decodes.
	RulesKey string
	Rules    func(b []byte) (*rules.Set, error)
	// EvacuationPrefix is the prefix of the store keys by which operators ask for the evacuation
	// of a data centre, whose name follows. Nothing is evacuated if it is empty.
	EvacuationPrefix string
	// EvacuationTime is the time from the store's acknowledgement of such a record until no
	// request reaches targets of the data centre; zero for defaultEvacuationTime.
	EvacuationTime time.Duration
	// A cold target gets the rate that its service tolerates times ColdFactor, and at most
	// ColdSlack requests more in any second.
	ColdFactor, ColdSlack float64
}

// Fleet is a node's membership in its site. One goroutine owns its state and publishes
// immutable views.
type Fleet struct {
	cfg   Config
	view  atomic.Pointer[View]
	steps chan step
	done  chan struct{}

	retryTimer clockwork.Timer // for a failed write; owned by the loop

	storeLost atomic.Bool // state that was last logged
	relays    atomic.Bool // this node watches the store for its data centre
	// watchesAlone is true if the relay is of a version that passes on no evacuations, so that
	// this node watches the store itself.
	watchesAlone     atomic.Bool
	roleChanged      chan struct{} // this node has become the relay
	resigned         chan struct{} // another relay has resigned
	mustReload       atomic.Bool   // all records have to be read from the store
	watchFailures    atomic.Int32  // consecutive watches that the store did not serve
	lastWatchFailure atomic.Int64  // time.Duration on the clock at the last failure

	knownEra    atomic.Uint64                      // eras.now for other goroutines
	cancelWatch atomic.Pointer[context.CancelFunc] // ends the call for changes in flight

	copySource string // address of the node to copy records from first; owned by follow
	copyCursor int    // selects the others; owned by follow

	loadMu        sync.Mutex
	requestsByKey map[int]uint32 // since the last report
	answered      int            // requests that the target answered since then
	serviceTime   time.Duration  // that the target spent on them

	// The fields below are owned by the loop.
	startedAt time.Duration
	// run identifies this run of the node. It is the Unix milliseconds of the start, or of
	// the time at which this node learned that the right of an earlier run had ended.
	run            int64
	items          map[string]store.Item // stored records of this system, by key
	eras           eras
	rangesRev      map[string]uint64 // by service, revision of the known ranges in the era that they name
	synced         bool              // all records were read at least once
	restarted      bool              // an earlier run of this node has written its record
	rules          *rules.Set
	policy         *place.Policy // of the rules and evacuations
	knownRev       uint64        // revision up to which all records are known
	freshness      freshness
	election       election
	relayHeardAt   time.Duration // last contact with the relay
	changesPending bool          // other nodes may lack records
	relayDueAt     time.Duration // when collected changes are passed on next
	// peerRevs is the revision up to which each other node knows all records.
	peerRevs map[string]uint64
	packed   map[string]packedItem // compressed records that were passed on, by key
	versions map[string]uint8      // protocolVersion of other nodes, by name
	// replyVersions is versions as replies to reports of this node tell it.
	replyVersions map[string]uint8
	relaying      map[string]bool // nodes to which a call with changes is in flight
	rangeChanges  map[string]*rangeChange
	members       map[string]Member
	ranges        map[string]span.Map
	local         localTarget
	stopping      bool
	// departures are the targets that announced that they leave, by ID. They are kept
	// apart from local, as a restarted node may learn of a departure before any heartbeat.
	departures map[string]departure
	grantRight grantRight
	writer     writer
	releases   releaseTracker
	crashes    crashRecord
	leader     string // address of the planning node, or empty
	revoker    revoker
	witness    witnessState
	planner    planner
}

// New returns a fleet that has not read any records yet.
func New(cfg Config) *Fleet {
	if cfg.Health == nil {
		cfg.Health = &store.Health{}
	}
	now := cfg.Clock.Elapsed()
	f := &Fleet{
		cfg: cfg, steps: make(chan step), done: make(chan struct{}),
		run: cfg.Clock.Now().UnixMilli(), items: make(map[string]store.Item),
		members: make(map[string]Member), ranges: make(map[string]span.Map),
		peerRevs: make(map[string]uint64), relaying: make(map[string]bool), rangeChanges: make(map[string]*rangeChange),
		relayHeardAt: now, startedAt: now, departures: make(map[string]departure),
		roleChanged: make(chan struct{}, 1), resigned: make(chan struct{}, 1),
	}
	f.rangesRev = make(map[string]uint64)
	f.eras.kept, f.eras.stored = make(map[string]bool), make(map[string]uint64)
	f.eras.recordedAt, f.eras.laterRun = make(map[string]time.Duration), make(map[string]bool)
	f.mustReload.Store(true)
	f.policy = place.New(nil, nil)
	// The target may hold keys that an earlier run of this node granted.
	f.local.holdEndsBy = now + maxHold
	f.local.earlierHoldEndsBy = f.local.holdEndsBy
	f.releases.unsent = make(map[string][]span.Release)
	f.releases.fromPeers = make(map[string][]peerRelease)
	f.revoker.revocations = make(map[string]*revocation)
	f.packed = make(map[string]packedItem)
	f.election.candidates = make(map[string]time.Duration)
	f.versions = make(map[string]uint8)
	f.replyVersions = make(map[string]uint8)
	f.planner.init(now)
	f.publish()
	cfg.Peers.Handle(MethodReport, f.handleReport)
	cfg.Peers.Handle(MethodResign, f.handleResign)
	cfg.Peers.Handle(MethodChanges, f.handleChanges)
	cfg.Peers.Handle(MethodCopy, f.handleCopy)
	cfg.Peers.Handle(MethodReleases, f.handleReleases)
	cfg.Peers.Handle(MethodGather, f.handleGather)
	cfg.Peers.Handle(MethodConfirm, f.handleConfirm)
	cfg.Peers.Handle(MethodRefuse, f.handleRefuse)
	return f
}

// BeginStop announces that this node is about to stop, so that other targets take over the
// keys of the target beside it. The target keeps running and gets keys again when the node
// is back.
func (f *Fleet) BeginStop(ctx context.Context) error {
	return f.post(ctx, func(time.Duration) { f.stopping = true })
}

// View returns the newest snapshot.
func (f *Fleet) View() *View { return f.view.Load() }

// Run runs the control loop and its background tasks until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(f.done)
	ends := make(chan error, 4)
	tasks := []func(context.Context) error{f.follow, f.holdLease, f.sendReports, f.electRelay}
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
	ticks := f.cfg.Clock.NewTicker(tickInterval)
	defer ticks.Stop()
	f.retryTimer = f.cfg.Clock.NewTimer(tickInterval)
	defer f.retryTimer.Stop()
	due := f.cfg.Clock.NewTimer(relayDelay) // for changes to pass on
	defer due.Stop()
	for {
		reconciles := true
		select {
		case <-ctx.Done():
			return nil
		case s := <-f.steps:
			s.run(f.cfg.Clock.Elapsed())
			reconciles = !s.query
		case <-f.retryTimer.Chan():
		case <-due.Chan():
			if f.relays.Load() {
				f.relayChanges(ctx)
			}
		case <-ticks.Chan():
			f.checkHeartbeat(f.cfg.Clock.Elapsed())
			f.revokeDue(ctx, f.cfg.Clock.Elapsed())
			f.gatherDue(ctx, f.cfg.Clock.Elapsed())
			f.dropVanished(f.cfg.Clock.Elapsed())
		}
		now := f.cfg.Clock.Elapsed()
		if reconciles {
			f.reconcile(ctx, now)
		}
		if f.changesPending && f.relays.Load() {
			f.changesPending = false
			if f.relayDueAt <= now {
				f.relayDueAt = now + relayDelay
				due.Reset(relayDelay)
			}
		}
	}
}

// step is a function that the loop runs.
type step struct {
	run func(now time.Duration)
	// query is set if the step changes nothing that stored records depend on. At
	// hundreds of nodes, most steps of the planning node are reports of the others.
	query bool
}

// post runs a step on the loop and waits until it has run. It returns ErrStopped or the
// context's error if the step did not run.
func (f *Fleet) post(ctx context.Context, run func(now time.Duration)) error {
	return f.submit(ctx, run, false)
}

// query is post for a step after which no record has to be written.
func (f *Fleet) query(ctx context.Context, run func(now time.Duration)) error {
	return f.submit(ctx, run, true)
}

func (f *Fleet) submit(ctx context.Context, run func(now time.Duration), query bool) error {
	ran := make(chan struct{})
	select {
	case f.steps <- step{func(now time.Duration) { run(now); close(ran) }, query}:
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
		rules: f.rules, policy: f.policy, members: f.members, ranges: f.ranges, local: f.local,
		rightEnds: f.revoker.rightEnds(), restarted: f.restarted, vanishedUntil: f.vanishedUntil(), changed: make(chan struct{}),
		coldFactor: f.cfg.ColdFactor, coldSlack: f.cfg.ColdSlack,
	}
	old := f.view.Load()
	if old != nil && sameNames(old.order, f.members) {
		v.order = old.order
	} else {
		v.order = slices.Sorted(maps.Keys(f.members))
	}
	f.view.Store(v)
	if old != nil {
		close(old.changed)
	}
}

// sameNames reports whether the names are the keys of the members.
func sameNames(names []string, members map[string]Member) bool {
	if len(names) != len(members) {
		return false
	}
	for _, name := range names {
		if _, ok := members[name]; !ok {
			return false
		}
	}
	return true
}
