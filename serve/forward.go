package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/budget"
	"burdocklift/client"
	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/proto"
)

// MethodServe is the call that forwards a request to the node of its target.
const MethodServe peer.Method = 2

const (
	// transitTime is reserved for the transfer of a reply, so that timeouts are
	// decided by the target's node, which knows whether the request was sent.
	transitTime = 25 * time.Millisecond
	// stoppingRetryAfter is the retry-after while the owner's node stops: it is
	// back once its last requests have ended and it has restarted.
	stoppingRetryAfter = time.Second
	// stopPollInterval is the interval at which Stop checks for requests in
	// flight.
	stopPollInterval = 20 * time.Millisecond
	// unreachableRetryAfter is the retry-after when the owner's node cannot be
	// reached.
	unreachableRetryAfter = 500 * time.Millisecond
	// memoryRetryAfter is the retry-after when a node has no memory for a request: slow
	// clients give way after a second without progress.
	memoryRetryAfter = time.Second
)

// forwardedRequest is a request between nodes. It is encoded as an array, so
// the order of its fields is part of the protocol.
type forwardedRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Method     string
	Host       string
	Path       string
	Header     http.Header
	Body       []byte // element requestBody
	Key        int    // -1 without a key
	Origin     string
	Service    string
	Class      string // name of the route; the target's node looks it up by host and path in its own rules
	Urgency    int
	Idempotent bool
	Remaining  int64 // microseconds until the deadline
	// Nodes of earlier versions expect a latency objective and an age, and decide by them.
	LegacyObjective int64 // microseconds, that of Remaining
	LegacyAge       int64 // zero
}

// requestBody is the index of the body in a forwardedRequest. Bodies are not copied when
// requests are sent and received.
const requestBody = 5

// forwardedResult is the reply to a forwardedRequest. It is encoded as an
// array.
type forwardedResult struct {
	_          struct{} `cbor:",toarray"`
	Outcome    uint8
	Reason     Reason
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter int64 // microseconds
	Sends      int
}

// outcomes lists the outcomes by their number in a forwardedResult.
var outcomes = []proto.Outcome{proto.Answered, proto.NotRun, proto.Unknown}

func (r *Router) forward(ctx context.Context, j *job, m fleet.Member) Result {
	r.warn(ctx, j, m)
	now := r.cfg.Clock.Elapsed()
	if j.deadline-now <= transitTime {
		return notRun(ReasonTimeout, 0)
	}
	req := j.request
	msg := forwardedRequest{
		ID: req.ID, Method: req.Method, Host: req.Host, Path: req.Path, Header: req.Header, Body: []byte{}, Key: -1,
		Origin: req.Origin, Service: j.service, Class: j.class, Urgency: j.urgency, Idempotent: j.idempotent,
		Remaining: (j.deadline - now - transitTime).Microseconds(),
	}
	msg.LegacyObjective = msg.Remaining
	if j.keyed {
		msg.Key = req.Key
	}
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.deadline-now)
	defer cancel()
	// A disconnect of the caller ends the wait at once; its deadline ends it
	// slightly later, through the timeout of wait.
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	reply, err := r.exchange(wait, j, m, msg)
	switch {
	case errors.Is(err, peer.ErrNotSent) && errors.Is(ctx.Err(), context.Canceled):
		return notRun(ReasonCallerGone, 0)
	case errors.Is(err, peer.ErrNotSent):
		return notRun(ReasonPeerUnreachable, unreachableRetryAfter)
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return Result{Outcome: proto.Unknown, Reason: ReasonCallerGone, Sends: 1}
	case errors.Is(err, context.DeadlineExceeded):
		return Result{Outcome: proto.Unknown, Reason: ReasonTimeout, Sends: 1}
	case err != nil || int(reply.Outcome) >= len(outcomes):
		return Result{Outcome: proto.Unknown, Reason: ReasonNoResponse, Sends: 1}
	}
	if reply.Reason == ReasonCallerGone && !errors.Is(ctx.Err(), context.Canceled) {
		// The other node was cut off from this one or stops: its target may have run
		// the request, but the caller still waits.
		if outcomes[reply.Outcome] == proto.NotRun {
			return notRun(ReasonPeerUnreachable, unreachableRetryAfter)
		}
		reply.Reason = ReasonNoResponse
	}
	if outcomes[reply.Outcome] == proto.Answered && !client.ValidStatus(reply.Status) {
		// Nodes of earlier versions pass on whatever status their target sends.
		return Result{Outcome: proto.Unknown, Reason: ReasonNoResponse, Sends: max(reply.Sends, 1)}
	}
	res := Result{
		Outcome: outcomes[reply.Outcome], Reason: reply.Reason,
		Response:   Response{Status: reply.Status, Header: reply.Header, Body: reply.Body},
		RetryAfter: time.Duration(reply.RetryAfter) * time.Microsecond, Sends: reply.Sends,
	}
	r.noteDeparture(m, res.Response)
	r.observeSize(j.class, res)
	return res
}

func (r *Router) handleServe(ctx context.Context, body []byte) ([]byte, error) {
	var msg forwardedRequest
	body, bulk, err := peer.TakeBulk(body, requestBody)
	if err == nil {
		err = cbor.Unmarshal(body, &msg)
	}
	if err != nil {
		return nil, fmt.Errorf("decode forwarded request: %w", err)
	}
	msg.Body = bulk
	res := r.serveForwarded(ctx, msg)
	budget.From(ctx).Force(int64(len(res.Body))) // the encoded reply is a copy
	return cbor.Marshal(res)
}

// serveForwarded runs a request of another node on the local target.
func (r *Router) serveForwarded(ctx context.Context, msg forwardedRequest) forwardedResult {
	remaining := time.Duration(msg.Remaining) * time.Microsecond
	j := &job{
		request: &Request{
			ID: msg.ID, Method: msg.Method, Host: msg.Host, Path: msg.Path, Header: msg.Header, Body: msg.Body,
			Key: msg.Key, HasKey: msg.Key >= 0, Origin: msg.Origin,
		},
		service: msg.Service, class: msg.Class, urgency: msg.Urgency, keyed: msg.Key >= 0, idempotent: msg.Idempotent,
	}
	now := r.cfg.Clock.Elapsed()
	j.deadline = r.beforeEnd(now + remaining)
	if j.keyed {
		r.cfg.Fleet.CountRequest(msg.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	defer context.AfterFunc(r.aborted, cancel)()
	r.peerRequests.Add(1)
	defer r.peerRequests.Add(-1)
	var res Result
	if r.stopping.Load() {
		res = notRun(ReasonStopping, stoppingRetryAfter)
	} else {
		res = r.runLocal(ctx, j)
		r.recordCancelled(ctx, j, now, res)
	}
	out := forwardedResult{
		Reason: res.Reason, Status: res.Response.Status, Header: res.Response.Header, Body: res.Response.Body,
		RetryAfter: res.RetryAfter.Microseconds(), Sends: res.Sends,
	}
	for i, o := range outcomes {
		if o == res.Outcome {
			out.Outcome = uint8(i)
		}
	}
	return out
}

// memoryRefusal is the result of a forwarded request for which there is no memory.
var memoryRefusal = forwardedResult{
	Outcome: uint8(slices.Index(outcomes, proto.NotRun)), Reason: ReasonMemory, RetryAfter: memoryRetryAfter.Microseconds(),
}

// refuseForwarded returns the reply to a forwarded request for which there is no memory.
func refuseForwarded() []byte {
	reply, err := cbor.Marshal(memoryRefusal)
	if err != nil {
		panic("encode refusal of a forwarded request: " + err.Error())
	}
	return reply
}

// cancelledClass is the class of cancelled requests in metrics.
const cancelledClass = "cancelled"

// recordCancelled counts and logs a forwarded request that was cancelled, with
// the time that this node and its target spent on it.
func (r *Router) recordCancelled(ctx context.Context, j *job, begin time.Duration, res Result) {
	if res.Reason != ReasonCallerGone || r.aborted.Err() != nil {
		return
	}
	took, phase := r.cfg.Clock.Elapsed()-begin, "waiting"
	if res.Sends > 0 {
		phase = "running"
	}
	r.stats.Observe(cancelledClass, "", phase, took)
	eventRequestCancelled.Log(ctx, r.cfg.Log, slog.String("id", j.request.ID), slog.String("service", j.service),
		slog.Bool("at_target", res.Sends > 0), slog.Int64("took_ms", took.Milliseconds()))
}

// Abort ends all requests in flight at once: those that wait are refused, the
// others have an unknown outcome.
func (r *Router) Abort() { r.abort() }

// Stop refuses requests forwarded by other nodes and waits for those in flight.
func (r *Router) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	for r.peerRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d forwarded requests are still in flight: %w", r.peerRequests.Load(), ctx.Err())
		case <-r.cfg.Clock.After(stopPollInterval):
		}
	}
	return nil
}
