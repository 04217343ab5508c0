package route

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"burdocklift/proto"
	"burdocklift/shard"
)

// leaseWait is how long a request waits at its owner while the lease is not
// valid. It covers the replacement of a silent witness (1.5 s); a lease that is
// not renewed by then is likely to be taken over.
const leaseWait = 2 * time.Second

// errNoLease reports that the request was not sent because the host's lease has
// expired.
var errNoLease = errors.New("lease has expired")

// serveAsOwner runs a request on the local target if this host owns its key.
func (r *Router) serveAsOwner(ctx context.Context, req *request) Result {
	t := r.target.Load()
	if t == nil || t.service != req.service.Name || t.stale(r.clock.Now()) {
		return notRun(ReasonNoTarget, http.StatusServiceUnavailable)
	}
	if !req.service.Keyed {
		return r.admit(ctx, req, t, shard.Decision{})
	}
	began := r.clock.Now()
	for {
		res, wait := r.tryAsOwner(ctx, req, t)
		switch {
		case !wait:
			return res
		case res.Reason == ReasonNoLease && r.clock.Since(began) >= leaseWait:
			return res
		case !r.pause(ctx, req, t.limiter.Estimate(req.class.Name), ownerPollInterval):
			return waitedInVain(ctx)
		}
	}
}

// tryAsOwner runs a request under the current view. If wait is set, the request
// did not run and the view is expected to change.
func (r *Router) tryAsOwner(ctx context.Context, req *request, t *localTarget) (res Result, wait bool) {
	d, ok := r.control.View().Route(req.service.Name, req.key)
	if !ok || d.Epoch < req.epoch {
		// The node that forwarded the request has a newer view.
		return notOwner(d), true
	}
	if !d.Local {
		return notOwner(d), false
	}
	k := r.inFlight.add(req.service.Name, d.Shard, req.key)
	defer r.inFlight.remove(k)
	// The request is counted as in flight before the view is read again, so a
	// drain that starts after this read sees the count.
	d, _ = r.control.View().Route(req.service.Name, req.key)
	switch {
	case !d.Local:
		return notOwner(d), false
	case d.Moving:
		return notOwner(d), true
	case !r.control.Gate().Valid(r.clock.Now()):
		return notRun(ReasonNoLease, http.StatusServiceUnavailable), true
	case req.class.Once:
		return r.runDeduplicated(ctx, req, t, d)
	}
	return r.admit(ctx, req, t, d), false
}

// notOwner returns the refusal of a node that is not the owner, with the owner
// and epoch that it knows.
func notOwner(d shard.Decision) Result {
	res := notRun(ReasonNotOwner, http.StatusServiceUnavailable)
	res.Owner, res.Epoch = d.OwnerID.Name, d.Epoch
	return res
}

// dispatch sends a request to the local target. For keyed services the lease is
// checked right before the first byte is written. The error states why there is
// no response from the target.
func (r *Router) dispatch(ctx context.Context, req *request, t *localTarget, d shard.Decision) (Result, error) {
	header := forwardableHeaders(req.header)
	now := r.clock.Now()
	remaining := req.deadline.Sub(now)
	if remaining <= 0 {
		return notRun(ReasonDeadlineExceeded, http.StatusServiceUnavailable), context.DeadlineExceeded
	}
	if req.class.Once {
		// The response is recorded for a retry, whether the caller waits or not.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
		defer cancel()
	}
	header.Set(proto.HeaderDeadline, remaining.String())
	var preSend func() error
	if req.service.Keyed {
		gate := r.control.Gate()
		preSend = func() error {
			if !gate.Valid(r.clock.Now()) {
				return errNoLease
			}
			return nil
		}
		if r.meter != nil {
			r.meter(d.Shard, req.key, d.Hot)
		}
		header.Set(proto.HeaderEpoch, strconv.FormatUint(d.Epoch, 10))
		header.Set(proto.HeaderKey, req.key)
		header.Set(proto.HeaderGrantEnd, strconv.FormatInt(now.Add(gate.Remaining(now)).UnixMilli(), 10))
	}
	limit := int64(r.rules.Load().Limits.Body)
	resp, body, err := exchange(ctx, t.client, req.method, "http://"+t.address+req.uri, header, req.body, limit, preSend)
	switch {
	case errors.Is(err, errNoLease):
		return notRun(ReasonNoLease, http.StatusServiceUnavailable), err
	case err != nil:
		return exchangeFailure(err, ReasonNoTarget), err
	case int64(len(body)) > limit:
		return unknown(ReasonResponseTooLarge), nil
	case isRefusal(resp):
		return notRun(ReasonNoLease, http.StatusServiceUnavailable), errNoLease
	}
	return Result{
		Outcome: proto.Answered, Status: resp.StatusCode, Header: forwardableHeaders(resp.Header), Body: body,
		HeadContentLength: headContentLength(req.method, resp),
	}, nil
}
