// Package route handles requests along their path: from the ingress node that
// the caller reached, to the owner's node, to the target.
package route

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"burdocklift/proto"
)

// Reason states why a request has no response from its target.
type Reason string

// Reasons of outcomes other than a response from the target.
const (
	ReasonUnknownService         Reason = "unknown-service"
	ReasonNoMatchingClass        Reason = "no-matching-class"
	ReasonMissingKey             Reason = "missing-key"
	ReasonBadDeadline            Reason = "bad-deadline"
	ReasonBadIdempotencyKey      Reason = "bad-idempotency-key"
	ReasonBodyTooLarge           Reason = "body-too-large"
	ReasonBodyNotRead            Reason = "body-not-read"
	ReasonDeadlineExceeded       Reason = "deadline-exceeded"
	ReasonCallerLeft             Reason = "caller-left"
	ReasonNoOwner                Reason = "no-owner"
	ReasonNotOwner               Reason = "not-owner"
	ReasonNoLease                Reason = "no-lease"
	ReasonNoTarget               Reason = "no-target"
	ReasonUnreachable            Reason = "unreachable"
	ReasonResponseLost           Reason = "answer-lost"
	ReasonResponseTooLarge       Reason = "response-too-large"
	ReasonStopping               Reason = "stopping"
	ReasonStarting               Reason = "starting"
	ReasonBadHop                 Reason = "bad-hop"
	ReasonHeadersTooLarge        Reason = "headers-too-large"
	ReasonBuffersFull            Reason = "bodies-exceed-memory"
	ReasonNoBodyLength           Reason = "answer-without-length"
	ReasonDraining               Reason = "target-draining"
	ReasonQueueFull              Reason = "queue-full"
	ReasonShed                   Reason = "shed"
	ReasonDeadlineUnmeetable     Reason = "deadline-cannot-be-met"
	ReasonMayHaveRun             Reason = "may-have-run"
	ReasonIdempotencyTableFull   Reason = "idempotency-table-full"
	ReasonIdempotencyKeyInFuture Reason = "idempotency-key-in-future"
	ReasonIdempotencyKeyConflict Reason = "idempotency-key-conflict"
	ReasonQuarantined            Reason = "quarantined"
	ReasonLinkBudget             Reason = "link-budget"
)

// Result is the outcome of a request or of a single attempt.
type Result struct {
	Outcome proto.Outcome
	Reason  Reason
	Status  int
	Header  http.Header
	Body    []byte
	// Owner is the name of the owner as known to a node that is not the owner.
	Owner string
	// Epoch is the epoch of the entry as known to a node that is not the owner.
	Epoch uint64
	// RetryAfter is the time until a request that did not run is expected to find room,
	// zero if it is not known.
	RetryAfter time.Duration
	// HeadContentLength is the Content-Length of a response to a HEAD request:
	// the length that the body would have (RFC 9110, section 8.6).
	HeadContentLength string
}

func notRun(reason Reason, status int) Result {
	return Result{Outcome: proto.NotRun, Reason: reason, Status: status}
}

func unknown(reason Reason) Result {
	return Result{Outcome: proto.Unknown, Reason: reason, Status: http.StatusGatewayTimeout}
}

// retryAfterSeconds returns the value of a Retry-After header: whole seconds, rounded up (RFC
// 9110, section 10.2.3), and one second where the time is not known.
func (r Result) retryAfterSeconds() int {
	return max(1, int(math.Ceil(r.RetryAfter.Seconds())))
}

// write sends the result to a caller or to the forwarding node.
func (r Result) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	h.Set(proto.HeaderOutcome, string(r.Outcome))
	body := r.Body
	if r.Outcome != proto.Answered {
		h.Set(proto.HeaderReason, string(r.Reason))
		h.Set("Content-Type", "text/plain; charset=utf-8")
		if r.Owner != "" {
			h.Set(proto.HeaderOwner, r.Owner)
		}
		if r.Epoch > 0 {
			h.Set(proto.HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
		}
		if r.Status == http.StatusServiceUnavailable {
			h.Set("Retry-After", strconv.Itoa(r.retryAfterSeconds()))
		}
		body = fmt.Appendf(nil, "%s: %s\n", r.Outcome, r.Reason)
	} else if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting a type
	}
	switch {
	case len(body) > 0:
		h.Set("Content-Length", strconv.Itoa(len(body)))
	case r.HeadContentLength != "":
		h.Set("Content-Length", r.HeadContentLength)
	case r.Status != http.StatusNoContent && r.Status != http.StatusNotModified:
		h.Set("Content-Length", "0")
	}
	w.WriteHeader(r.Status)
	if len(body) > 0 {
		// A write error means that the caller has disconnected, so it is
		// ignored.
		_, _ = w.Write(body)
	}
}
