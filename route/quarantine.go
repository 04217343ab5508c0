package route

import (
	"context"
	"errors"
	"net/http"

	"burdocklift/client"
	"burdocklift/poison"
	"burdocklift/proto"
)

// SetNoticeSender sets the function that sends notices to the other nodes of
// the service. The function returns once they are sent. It must be set before
// the handlers are used.
func (r *Router) SetNoticeSender(fn func([]poison.Notice)) { r.sendNotices = fn }

// ReceiveNotices applies the notices of another node.
func (r *Router) ReceiveNotices(notices []poison.Notice) { r.quarantine.Merge(notices) }

// QuarantineEntries lists the suspected and the quarantined requests.
func (r *Router) QuarantineEntries() []poison.Entry { return r.quarantine.List() }

// LiftQuarantine ends the suspicion or quarantine of a request hash on all
// nodes of the service.
func (r *Router) LiftQuarantine(h poison.Hash) error { return r.quarantine.Lift(h) }

func fingerprint(req *request) poison.Fingerprint {
	return poison.NewFingerprint(req.service.Name, req.method, req.uri, req.key, req.body, req.id)
}

// runGuarded runs dispatch unless the request is quarantined. If wait is set,
// the request did not run because another suspect is running.
func (r *Router) runGuarded(t *localTarget, f poison.Fingerprint, dispatch func() (Result, error)) (res Result, wait bool) {
	targetRefuses := func() bool { return client.Refuses(t.address, dialTimeout) }
	_, err := r.quarantine.Run(f, targetRefuses, func() poison.Outcome {
		var err error
		res, err = dispatch()
		switch {
		case err == nil:
			return poison.Answered
		case res.Outcome == proto.Unknown && res.Reason == ReasonResponseLost && !errors.Is(err, context.Canceled):
			return poison.ConnectionLost
		}
		return poison.Inconclusive
	})
	if err != nil {
		return notRun(ReasonQuarantined, http.StatusUnprocessableEntity), errors.Is(err, poison.ErrSuspectRunning)
	}
	return res, false
}
