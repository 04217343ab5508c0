package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/poison"
)

// MethodNotice is the call that tells the other nodes of a service which requests
// ran on a target when it crashed.
const MethodNotice peer.Method = 9

const (
	// noticeTimeout bounds the call, for which the callers of the requests wait.
	noticeTimeout = 300 * time.Millisecond
	// suspectAfter is when callers return whose request waits for another one that
	// may have crashed a target as well: usual requests take less.
	suspectAfter = 300 * time.Millisecond
)

type noticeCall struct {
	Notices []poison.Notice `cbor:"1,keyasint"`
}

// run sends a request to the target, unless it has crashed targets before.
func (r *Router) run(ctx context.Context, j *job, t *fleet.Target, left time.Duration) (Answer, error) {
	var answer Answer
	var err error
	crashed, refusal := r.guard.Run(fingerprint(j), r.cfg.Target.Refuses, func() poison.Outcome {
		answer, err = r.cfg.Target.Run(ctx, j.call, t.Life, left)
		return ending(err)
	})
	if refusal != nil {
		return Answer{}, refusal
	}
	if crashed && r.cfg.Target.Refuses() { // otherwise it may still hold keys
		eventTargetCrashed.Log(ctx, r.cfg.Log, slog.String("id", j.call.ID), slog.String("target", t.Life.Target))
		// An error means that the control loop has ended, and the node with it.
		_ = r.cfg.Fleet.Ended(context.WithoutCancel(ctx), t.Life)
	}
	return answer, err
}

func fingerprint(j *job) poison.Fingerprint {
	key := ""
	if j.keyed {
		key = strconv.Itoa(j.call.Key)
	}
	return poison.NewFingerprint(j.service, j.call.Method, j.call.Path, key, j.call.Body, uuid.Nil)
}

func ending(err error) poison.Outcome {
	switch {
	case err == nil:
		return poison.Answered
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrRefused), errors.Is(err, ErrRejected),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return poison.Inconclusive
	}
	return poison.ConnectionLost
}

// notify tells the other nodes of the target's service, and waits for them.
func (r *Router) notify(notices []poison.Notice) {
	v := r.cfg.Fleet.View()
	t := v.Target()
	if t == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	told := make(chan error)
	calls := 0
	v.Members(func(m fleet.Member) {
		if m.Name == r.cfg.Name || !m.Serves(t.Service) {
			return
		}
		calls++
		go func() {
			_, err := peer.Call[struct{}](ctx, r.cfg.Peers, m.Address, MethodNotice, noticeCall{notices})
			told <- err
		}()
	})
	failed := 0
	var err error
	for range calls {
		if e := <-told; e != nil {
			failed, err = failed+1, e
		}
	}
	if err != nil {
		eventNoticeLost.Log(ctx, r.cfg.Log, slog.Int("nodes", calls), slog.Int("failed", failed), slog.String("error", err.Error()))
	}
}

func (r *Router) handleNotice(_ context.Context, body []byte) ([]byte, error) {
	var c noticeCall
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("decode notices: %w", err)
	}
	r.guard.Merge(c.Notices)
	return cbor.Marshal(struct{}{})
}
