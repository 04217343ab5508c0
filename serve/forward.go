package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/proto"
)

// MethodServe is the call that takes a request to the node beside its target.
const MethodServe peer.Method = 2

const (
	// wayTime is kept for the way of a reply, so that the node beside the target
	// decides about time-outs: it knows whether the request was sent.
	wayTime = 25 * time.Millisecond
	// stoppingAfter is when callers return whose owner's node stops: it is back
	// after its last requests and a start.
	stoppingAfter = time.Second
	// stopPoll is the interval of looking whether the last requests have ended.
	stopPoll = 20 * time.Millisecond
	// peerAfter is when callers return whose owner's node is not reached.
	peerAfter = 500 * time.Millisecond
)

// forwarded is a request between nodes. Its fields are encoded as an array.
type forwarded struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Method  string
	Host    string
	Path    string
	Header  http.Header
	Body    []byte
	Key     int // -1 for none
	Origin  string
	Service string
	Class   string
	Urgency int
	Repeats bool
	Left    int64 // microseconds
	Aim     int64 // microseconds until the aim, negative if it has passed
	Age     int64 // microseconds since the caller's first attempt
}

// returned is the result of a forwarded request.
type returned struct {
	_       struct{} `cbor:",toarray"`
	Outcome uint8
	Reason  Reason
	Status  int
	Header  http.Header
	Body    []byte
	After   int64 // microseconds
	Sends   int
}

var outcomes = []proto.Outcome{proto.Answered, proto.NotRun, proto.Unknown}

func (r *Router) forward(ctx context.Context, j *job, m fleet.Member) Result {
	now := r.cfg.Clock.Elapsed()
	c := j.call
	msg := forwarded{
		ID: c.ID, Method: c.Method, Host: c.Host, Path: c.Path, Header: c.Header, Body: c.Body, Key: -1,
		Origin: c.Origin, Service: j.service, Class: j.class, Urgency: j.urgency, Repeats: j.repeats,
		Left: max(j.ends-now-wayTime, 0).Microseconds(),
		Aim:  (j.aim - now - wayTime/2).Microseconds(), Age: j.age.Microseconds(),
	}
	if j.keyed {
		msg.Key = c.Key
	}
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.ends-now)
	defer cancel()
	// The caller's leaving ends the wait at once, its deadline a little later.
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	reply, err := peer.Call[returned](wait, r.cfg.Peers, m.Address, MethodServe, msg)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return notRun(ReasonPeer, peerAfter)
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return Result{Outcome: proto.Unknown, Reason: ReasonGone, Sends: 1}
	case errors.Is(err, context.DeadlineExceeded):
		return Result{Outcome: proto.Unknown, Reason: ReasonTimeout, Sends: 1}
	case err != nil || int(reply.Outcome) >= len(outcomes):
		return Result{Outcome: proto.Unknown, Reason: ReasonBroken, Sends: 1}
	}
	return Result{
		Outcome: outcomes[reply.Outcome], Reason: reply.Reason,
		Answer: Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body},
		After:  time.Duration(reply.After) * time.Microsecond, Sends: reply.Sends,
	}
}

func (r *Router) handleServe(ctx context.Context, body []byte) ([]byte, error) {
	var msg forwarded
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return nil, fmt.Errorf("decode request: %w", err)
	}
	left := time.Duration(msg.Left) * time.Microsecond
	j := &job{
		call: &Call{
			ID: msg.ID, Method: msg.Method, Host: msg.Host, Path: msg.Path, Header: msg.Header, Body: msg.Body,
			Key: msg.Key, HasKey: msg.Key >= 0, Origin: msg.Origin,
		},
		service: msg.Service, class: msg.Class, urgency: msg.Urgency, keyed: msg.Key >= 0, repeats: msg.Repeats,
	}
	now := r.cfg.Clock.Elapsed()
	j.ends = now + left
	j.aim = now + time.Duration(msg.Aim)*time.Microsecond
	j.age = time.Duration(msg.Age) * time.Microsecond
	if j.keyed {
		r.cfg.Fleet.CountRequest(msg.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	defer context.AfterFunc(r.cut, cancel)()
	r.forwarded.Add(1)
	defer r.forwarded.Add(-1)
	var res Result
	if r.stopping.Load() {
		res = notRun(ReasonStopping, stoppingAfter)
	} else {
		res = r.runLocal(ctx, j)
	}
	out := returned{
		Reason: res.Reason, Status: res.Answer.Status, Header: res.Answer.Header, Body: res.Answer.Body,
		After: res.After.Microseconds(), Sends: res.Sends,
	}
	for i, o := range outcomes {
		if o == res.Outcome {
			out.Outcome = uint8(i)
		}
	}
	return cbor.Marshal(out)
}

// Cut answers all requests in flight at once: those that wait are refused, the
// others have an unknown outcome.
func (r *Router) Cut() { r.cutNow() }

// Stop refuses requests of other nodes and waits for those in flight.
func (r *Router) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	for r.forwarded.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests of other nodes are in flight: %w", r.forwarded.Load(), ctx.Err())
		case <-r.cfg.Clock.After(stopPoll):
		}
	}
	return nil
}
