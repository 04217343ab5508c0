package route

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"burdocklift/proto"
	"burdocklift/shard"
)

// responseMargin is subtracted from the forwarded deadline to leave time for
// the owner's response to return. Without it, the deadline of the ingress node
// would expire first and turn a definite not-run outcome into an unknown one.
const responseMargin = 10 * time.Millisecond

// forward sends a request to another node. epoch is the epoch of the key as
// known to this node; zero means that the service has no keys.
func (r *Router) forward(ctx context.Context, req *request, to *shard.Host, epoch uint64) Result {
	remaining := req.deadline.Sub(r.clock.Now())
	if remaining <= 0 {
		return notRun(ReasonDeadlineExceeded, http.StatusServiceUnavailable)
	}
	if req.callerLeft() {
		return notRun(ReasonCallerLeft, http.StatusServiceUnavailable)
	}
	header := forwardableHeaders(req.header)
	header.Set(proto.HeaderHop, strconv.Itoa(req.hop+1))
	header.Set(proto.HeaderDeadline, (remaining - min(responseMargin, remaining/10)).String())
	if epoch > 0 {
		header.Set(proto.HeaderEpoch, strconv.FormatUint(epoch, 10))
	}
	header.Set(proto.HeaderRegion, r.place.Region)
	if !r.chargeForward(req, to, header) {
		return notRun(ReasonLinkBudget, http.StatusServiceUnavailable)
	}
	url := "http://" + to.Member.Addresses.Peer + req.uri
	limit := int64(r.rules.Load().Limits.Body)
	resp, body, err := exchange(ctx, r.peerClient, req.method, url, header, req.body, limit, nil)
	if err != nil {
		return exchangeFailure(err, ReasonUnreachable)
	}
	res := Result{
		Outcome:           proto.Outcome(resp.Header.Get(proto.HeaderOutcome)),
		Reason:            Reason(resp.Header.Get(proto.HeaderReason)),
		Status:            resp.StatusCode,
		Header:            forwardableHeaders(resp.Header),
		Body:              body,
		Owner:             resp.Header.Get(proto.HeaderOwner),
		HeadContentLength: headContentLength(req.method, resp),
	}
	switch {
	case res.Outcome == proto.Answered && int64(len(body)) > limit:
		return unknown(ReasonResponseTooLarge)
	case res.Outcome == proto.Answered || res.Outcome == proto.Unknown:
		return res
	case res.Outcome == proto.NotRun:
		// A malformed epoch counts as absent; the ingress node then only waits
		// less.
		res.Epoch, _ = strconv.ParseUint(resp.Header.Get(proto.HeaderEpoch), 10, 64)
		// A malformed delay counts as unknown.
		if s, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
			res.RetryAfter = time.Duration(s) * time.Second
		}
		return res
	}
	return unknown(ReasonResponseLost)
}
