package route

import (
	"context"
	"errors"
	"net/http"

	"burdocklift/client"
	"burdocklift/poison"
	"burdocklift/proto"
)

// SetNotify names the function that sends notices to the other nodes of the
// service. It returns when they are sent. It is called before the handlers are
// used.
func (r *Router) SetNotify(fn func([]poison.Notice)) { r.notify = fn }

// Noticed adopts the notices of another node.
func (r *Router) Noticed(notices []poison.Notice) { r.quarantine.Merge(notices) }

// Quarantine lists the suspects and the quarantined requests.
func (r *Router) Quarantine() []poison.Entry { return r.quarantine.List() }

// Lift ends the suspicion or quarantine of a hash on all nodes of the service.
func (r *Router) Lift(h poison.Hash) error { return r.quarantine.Lift(h) }

func fingerprint(req *request) poison.Fingerprint {
	return poison.NewFingerprint(req.service.Name, req.method, req.uri, req.key, req.body, req.id)
}

// guard runs a dispatch unless the request is quarantined. If wait is set, it
// did not run because another suspect does.
func (r *Router) guard(t *localTarget, f poison.Fingerprint, dispatch func() (Result, error)) (res Result, wait bool) {
	refuses := func() bool { return client.Refuses(t.address, dialTimeout) }
	_, err := r.quarantine.Run(f, refuses, func() poison.Outcome {
		var err error
		res, err = dispatch()
		switch {
		case err == nil:
			return poison.Answered
		case res.Outcome == proto.Unknown && res.Reason == ReasonLost && !errors.Is(err, context.Canceled):
			return poison.ConnectionLost
		}
		return poison.Inconclusive
	})
	if err != nil {
		return notRun(ReasonQuarantined, http.StatusUnprocessableEntity), errors.Is(err, poison.ErrSuspectRunning)
	}
	return res, false
}
