// Package serve carries requests from callers to targets: it selects a node,
// applies admission control there and returns an outcome that says whether the
// request ran, did not run or may have run.
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
	"burdocklift/nested"
	"burdocklift/peer"
	"burdocklift/pick"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/span"
	"burdocklift/stats"
	"burdocklift/triage"
	"burdocklift/uplink"
)

// Request is a request as received from a caller.
type Request struct {
	ID        string // of this attempt of the caller
	Method    string
	Host      string
	Path      string // including the query, as the caller sent it
	Header    http.Header
	Body      []byte
	Remaining time.Duration // until the caller stops waiting; zero for no limit
	Key       int
	HasKey    bool
	Origin    string // service from whose machine the request came
	// Left reports whether the caller has left, which the context may tell later.
	// It is nil where the context tells as soon.
	Left func() bool
}

func (r *Request) callerLeft() bool { return r.Left != nil && r.Left() }

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Advice is what a target says of itself in a response. The zero value says nothing.
type Advice struct {
	Known   bool    // the response is one of this target
	Limit   float64 // requests a second that the target takes from all nodes together; 0 for no limit
	Limited bool    // the target names a limit
	Leaving bool    // the target takes no new requests
	Pace    float64 // present service time as a ratio to the usual one, 0 if the target does not name it
}

// Errors returned by a Target. After any other error the request may have run.
var (
	// ErrNotSent means that the target received nothing of the request.
	ErrNotSent = errors.New("request was not sent to the target")
	// ErrRejected means that the target received the request and did not run
	// it.
	ErrRejected = errors.New("target did not run the request")
	// ErrFull is the case of ErrRejected in which the target has no free
	// capacity. Targets also reject requests at random, or because they do not
	// hold the key.
	ErrFull = fmt.Errorf("%w: no free capacity", ErrRejected)
	// ErrNotListening means that no process listens at the target's address.
	ErrNotListening = errors.New("no process listens at the target's address")
	// ErrTooLarge means that the response does not fit into the memory for it. The
	// request may have run, and the target is up.
	ErrTooLarge = errors.New("response of the target is too large")
	// ErrMalformed means that the target sent something that is no response to the
	// request. The request may have run, and the target is up.
	ErrMalformed = errors.New("target sent no response to the request")
)

// Target runs requests on the local target of this node.
type Target interface {
	// Run sends a request to the given incarnation of the target, which should
	// stop working on it after the remaining time. The advice is that of the response,
	// also if the target rejected the request.
	Run(ctx context.Context, req *Request, incarnation span.Incarnation, remaining time.Duration) (Response, Advice, error)
	// Advice returns the advice in the headers of a response, which may be one that
	// another node received.
	Advice(h http.Header) Advice
	// NotListening reports whether no process listens at the target's address.
	NotListening() bool
}

// Reason is the cause of the outcome of a request.
type Reason string

// Causes of outcomes. Their values appear in logs, in metrics and in messages
// between nodes.
const (
	ReasonAnswered        Reason = "answered"
	ReasonNoRules         Reason = "rules"    // the node knows no rules yet
	ReasonNoRoute         Reason = "route"    // no route matches
	ReasonInvalidKey      Reason = "key"      // the key is missing or outside the key space
	ReasonNoOwner         Reason = "no-owner" // the key has no owner yet
	ReasonNotOwner        Reason = "moved"    // this node's target does not own the key
	ReasonNoGrant         Reason = "grant"    // the target may not hold the key yet
	ReasonNoSlot          Reason = "full"     // no slot becomes free before the deadline
	ReasonLimited         Reason = "limit"    // the target takes no more requests a second
	ReasonLink            Reason = "link"     // the answer can't be sent before the deadline
	ReasonNoTarget        Reason = "target"   // no target takes requests
	ReasonRejected        Reason = "rejected" // the target rejected the request
	ReasonPeerUnreachable Reason = "peer"     // the owner's node cannot be reached
	ReasonNoResponse      Reason = "broken"   // no complete response arrived
	ReasonTooLarge        Reason = "large"    // the response is larger than the node can hold
	ReasonMemory          Reason = "memory"   // the node has no memory for the request
	ReasonTimeout         Reason = "timeout"
	ReasonCallerGone      Reason = "gone"      // the caller disconnected
	ReasonStopping        Reason = "stopping"  // the target's node stops
	ReasonRegion          Reason = "region"    // no target in the regions of the route
	ReasonEvacuated       Reason = "evacuated" // only targets of evacuated data centres may run the request
	// ReasonQuarantined means that the request has crashed targets, or may
	// have.
	ReasonQuarantined Reason = "quarantined"
)

// Result is the outcome of a request with its cause.
type Result struct {
	Outcome    proto.Outcome
	Reason     Reason
	Response   Response      // if Outcome is proto.Answered
	RetryAfter time.Duration // if Outcome is proto.NotRun
	Sends      int           // how often a target received the request
}

func notRun(r Reason, after time.Duration) Result {
	return Result{Outcome: proto.NotRun, Reason: r, RetryAfter: after}
}

// Config holds the settings and dependencies of a Router.
type Config struct {
	Name       string
	DataCentre string
	Region     string
	Fleet      *fleet.Fleet
	Peers      *peer.Transport
	Target     Target
	Clock      clock.Clock
	Log        *slog.Logger
	// RetryRatio is the share of a service's requests that may be retried, and
	// RetrySlack the number of retries allowed beyond it, both over all nodes.
	RetryRatio float64
	RetrySlack float64
	// Hedges is the share of a service's requests that may be sent a second time because
	// they are slow, at most RetryRatio; 0 for none.
	Hedges float64
	// DrainPeriod is how long a leaving target may still get requests.
	DrainPeriod time.Duration
	// Uplink is the outgoing link of this host, nil for one without a limit.
	Uplink *uplink.Scheduler
}

// Router serves the callers on a node's machine and the requests that other
// nodes forward to its target.
type Router struct {
	cfg       Config
	admission triage.Limiter
	guard     *poison.Guard
	unheld    unheldRanges
	limit     targetLimit
	leaving   departures
	sizes     answerSizes
	latencies *pick.Latencies
	exchanged [pick.PathCount]atomic.Int64 // bytes of forwarded requests and their results, by path
	nested    nested.Detector
	hedges    *hedges         // nil if none are allowed
	aborted   context.Context // cancelled when requests in flight must end at once
	abort     context.CancelFunc

	drain        atomic.Int64 // drain period, a time.Duration
	slow         atomic.Bool  // the local target takes much longer than usual
	stopping     atomic.Bool  // refuses requests of other nodes
	closed       atomic.Bool  // refuses requests of callers
	end          atomic.Int64 // no request runs beyond this time.Duration on the clock, 0 for no end
	peerRequests atomic.Int64 // requests of other nodes in flight

	stats       stats.Set // by service and reason
	servedCount atomic.Uint64

	mu          sync.Mutex
	splits      map[string]*trafficSplit // by route
	pickers     map[string]*pick.Picker  // by service
	retries     map[string]retryPolicies // by service
	incarnation span.Incarnation         // of the target, for which admission control was last reset
	evacuated   []string                 // data centres with metrics of an evacuation
}

// New returns a Router and registers its handlers.
func New(cfg Config) *Router {
	r := &Router{
		cfg: cfg, splits: make(map[string]*trafficSplit), pickers: make(map[string]*pick.Picker),
		retries: make(map[string]retryPolicies), latencies: pick.NewLatencies(cfg.DataCentre, cfg.Region),
	}
	if cfg.Hedges > 0 {
		r.hedges = newHedges(cfg.Hedges)
	}
	r.aborted, r.abort = context.WithCancel(context.Background())
	r.SetDrainPeriod(cfg.DrainPeriod)
	r.guard = poison.NewGuard(cfg.Clock, r.notify)
	r.admission.FollowCold(r.coldLimit, cfg.Clock.Elapsed())
	cfg.Fleet.SetCrashLog(r.guard)
	cfg.Peers.Handle(MethodServe, r.handleServe)
	cfg.Peers.HandleRefusal(MethodServe, refuseForwarded)
	cfg.Peers.HandleRefusal(MethodServeTerse, func() []byte { return encodeTerseResult(&memoryRefusal, forwardedLoad{}) })
	cfg.Peers.Handle(MethodServeTerse, r.handleServeTerse)
	cfg.Peers.Announce(acceptsTerse)
	cfg.Peers.Handle(MethodNotice, r.handleNotice)
	return r
}

// Metrics returns the counts and latencies of requests by service and reason,
// and the use of the target's slots.
func (r *Router) Metrics() *stats.Set {
	running, waiting, limit := r.admission.Load()
	r.stats.SetGauge("requests_running", int64(running))
	r.stats.SetGauge("requests_waiting", int64(waiting))
	r.stats.SetGauge("slots_limit", int64(limit))
	r.setColdGauges()
	overload := int64(0)
	if r.admission.OverloadLasts() {
		overload = 1
	}
	r.stats.SetGauge("overload_lasts", overload)
	r.stats.SetGauge("uplink_pending_bytes", r.cfg.Uplink.Pending())
	r.setUnevenGauges()
	r.setEvacuationGauges()
	r.hedges.setGauges(&r.stats)
	return &r.stats
}

// SetDrainPeriod sets how long a leaving target may still get requests.
func (r *Router) SetDrainPeriod(drain time.Duration) { r.drain.Store(int64(drain)) }

// SetEnd sets the time on the clock at which this node ends all requests that are still
// in flight. A request that can't be answered by then is refused, here or by the node
// to which it is forwarded; also one that waits already.
func (r *Router) SetEnd(at time.Duration) {
	r.end.Store(int64(at))
	r.admission.SetEnd(at, r.cfg.Clock.Elapsed())
}

// beforeEnd returns a deadline that is not after the end of this node.
func (r *Router) beforeEnd(deadline time.Duration) time.Duration {
	if end := time.Duration(r.end.Load()); end > 0 {
		return min(deadline, end)
	}
	return deadline
}

// CloseToCallers refuses all further requests of callers, which find other nodes.
func (r *Router) CloseToCallers() { r.closed.Store(true) }

// drainOver reports whether the target has been leaving for so long that it
// gets no more requests.
func (r *Router) drainOver(v *fleet.View, now time.Duration) bool {
	return v.LeavingFor(now) > r.drainLimit()
}

// drainLimit returns how long a leaving target gets requests.
func (r *Router) drainLimit() time.Duration { return time.Duration(r.drain.Load()) - drainMargin }
