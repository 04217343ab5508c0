// Package serve is the path of a request: from the caller to the node beside
// the target that is to run it, through admission there, and back with an exact
// outcome.
package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklift/clock"
	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/pick"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/span"
	"burdocklift/stats"
	"burdocklift/triage"
)

// Call is a request of a caller.
type Call struct {
	ID     string // of this attempt of the caller
	Method string
	Host   string
	Path   string // with the query, as the caller wrote it
	Header http.Header
	Body   []byte
	Left   time.Duration // until the caller stops waiting; zero for no end
	Key    int
	HasKey bool
	Origin string // service on the machine where the request began
}

// Answer is the whole answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Errors of a Target. After any other error the request may have run.
var (
	// ErrNotSent means that the target got nothing of the request.
	ErrNotSent = errors.New("request was not sent to the target")
	// ErrRejected means that the target got the request and did not run it.
	ErrRejected = errors.New("target did not run the request")
	// ErrFull is an ErrRejected of a target that has no room. Others reject requests
	// at random, or since they do not hold the key.
	ErrFull = fmt.Errorf("%w: no room", ErrRejected)
	// ErrRefused means that no process listens at the target's address.
	ErrRefused = errors.New("target does not listen")
)

// Target runs requests on the target beside this node.
type Target interface {
	// Run sends a call to the given life of the target, which is to stop work
	// after the time that is left.
	Run(ctx context.Context, c *Call, life span.Life, left time.Duration) (Answer, error)
	// Refuses reports whether no process listens at the target's address.
	Refuses() bool
}

// Reason says what decided the outcome of a request.
type Reason string

// Reasons.
const (
	ReasonAnswered Reason = "answered"
	ReasonRules    Reason = "rules"    // none are known yet
	ReasonRoute    Reason = "route"    // no route matches
	ReasonKey      Reason = "key"      // no key, or none in the key space
	ReasonNoOwner  Reason = "no-owner" // nobody owns the key yet
	ReasonMoved    Reason = "moved"    // this node's target does not own the key
	ReasonGrant    Reason = "grant"    // the target may not hold the key yet
	ReasonFull     Reason = "full"     // no room before the deadline
	ReasonTarget   Reason = "target"   // there is no target that takes work
	ReasonRejected Reason = "rejected" // the target refused
	ReasonPeer     Reason = "peer"     // the owner's node is not reached
	ReasonBroken   Reason = "broken"   // no whole answer came
	ReasonTimeout  Reason = "timeout"
	ReasonGone     Reason = "gone"     // the caller left
	ReasonStopping Reason = "stopping" // the node beside the target stops
	// ReasonQuarantined means that the request crashed targets, or may have.
	ReasonQuarantined Reason = "quarantined"
)

// Result is the outcome of a request, and why.
type Result struct {
	Outcome proto.Outcome
	Reason  Reason
	Answer  Answer        // with proto.Answered
	After   time.Duration // when to come back, with proto.NotRun
	Sends   int           // arrivals at targets
}

func notRun(r Reason, after time.Duration) Result {
	return Result{Outcome: proto.NotRun, Reason: r, After: after}
}

// Config is what a Router is made of.
type Config struct {
	Name       string
	DataCentre string
	Region     string
	Fleet      *fleet.Fleet
	Peers      *peer.Net
	Target     Target
	Clock      clock.Clock
	Log        *slog.Logger
	// RetryRatio is the share of the requests of a service that may be sent to
	// targets once more, and RetrySlack how many besides, over all nodes.
	RetryRatio float64
	RetrySlack float64
	// Drain is the time in which a target that leaves may still get requests.
	Drain time.Duration
}

// Router serves the callers on a node's machine and the requests that other
// nodes forward to its target.
type Router struct {
	cfg    Config
	desk   triage.Limiter
	guard  *poison.Guard
	gaps   gaps
	cut    context.Context // ends when the node must answer at once
	cutNow context.CancelFunc

	drain     atomic.Int64 // time.Duration
	stopping  atomic.Bool  // takes no requests of other nodes
	forwarded atomic.Int64 // requests of other nodes in flight

	stats  stats.Set // by service and reason
	served atomic.Uint64

	mu      sync.Mutex
	parts   map[string]*parts        // by route
	pickers map[string]*pick.Picker  // by service
	budgets map[string]policies      // by service
	life    span.Life                // for which the desk was started
	ages    map[string]time.Duration // by route: the longest time that a caller waits
}

// New returns a router.
func New(cfg Config) *Router {
	r := &Router{
		cfg: cfg, ages: make(map[string]time.Duration),
		parts: make(map[string]*parts), pickers: make(map[string]*pick.Picker),
		budgets: make(map[string]policies),
	}
	r.cut, r.cutNow = context.WithCancel(context.Background())
	r.SetLimits(cfg.Drain)
	r.guard = poison.NewGuard(cfg.Clock, r.notify)
	cfg.Peers.Handle(MethodServe, r.handleServe)
	cfg.Peers.Handle(MethodNotice, r.handleNotice)
	return r
}

// Metrics returns the counts and latencies of requests by service and reason,
// and the state of the target's slots.
func (r *Router) Metrics() *stats.Set {
	running, waiting, limit := r.desk.Load()
	r.stats.SetGauge("requests_running", int64(running))
	r.stats.SetGauge("requests_waiting", int64(waiting))
	r.stats.SetGauge("slots_limit", int64(limit))
	return &r.stats
}

// SetLimits sets the time in which a target that leaves may still get requests.
func (r *Router) SetLimits(drain time.Duration) { r.drain.Store(int64(drain)) }

// left reports whether the target has been leaving for so long that it gets no
// more requests.
func (r *Router) left(v *fleet.View, now time.Duration) bool {
	return v.Left(now) > time.Duration(r.drain.Load())-drainMargin
}
