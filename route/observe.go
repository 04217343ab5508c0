package route

import (
	"time"

	"burdocklift/proto"
)

// Observer receives measurements of the request path. Its methods are called on
// request goroutines and must not block.
type Observer interface {
	// Request is called once for each request on the caller address that
	// matches a service and a class.
	Request(f CompletedRequest)
	// Attempt is called for each attempt made by the ingress node.
	Attempt(service, class string, outcome proto.Outcome, reason Reason)
}

// CompletedRequest describes a completed request.
type CompletedRequest struct {
	Service, Class, Tenant string
	Outcome                proto.Outcome
	Reason                 Reason
	Latency                time.Duration
}

// SetObserver sets the observer. It must be called before the handlers are
// used.
func (r *Router) SetObserver(o Observer) { r.observer = o }

// SetMeter sets the function that counts the keyed requests sent to the local
// target. It must be called before the handlers are used.
func (r *Router) SetMeter(fn func(shard uint32, key string, hot bool)) { r.meter = fn }

// observeRequest reports a completed request from a caller to the observer.
func (r *Router) observeRequest(req *request, from origin, res Result, began time.Time) {
	if r.observer == nil || from != fromCaller {
		return
	}
	r.observer.Request(CompletedRequest{
		Service: req.service.Name, Class: req.class.Name, Tenant: req.tenant,
		Outcome: res.Outcome, Reason: res.Reason, Latency: r.clock.Since(began),
	})
}

// recordAttempt reports a completed attempt to the observer and remembers it if
// its outcome is unknown.
func (r *Router) recordAttempt(req *request, res Result) {
	if res.Outcome == proto.Unknown {
		req.uncertain = &res
	}
	if r.observer != nil {
		r.observer.Attempt(req.service.Name, req.class.Name, res.Outcome, res.Reason)
	}
}
