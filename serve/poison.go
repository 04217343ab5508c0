package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/poison"
)

// MethodNotice is the call that tells the other nodes of a service which
// requests were in flight on a target when it crashed.
const MethodNotice peer.Method = 9

const (
	// noticeTimeout bounds the call, because the callers of the requests wait
	// for it.
	noticeTimeout = 300 * time.Millisecond
	// suspectRetryAfter is the retry-after of a request that must wait for
	// another one that may also have crashed a target. Most requests take less.
	suspectRetryAfter = 300 * time.Millisecond
)

type noticeMessage struct {
	Notices []poison.Notice `cbor:"1,keyasint"`
}

// runGuarded sends a request to the target, unless it is quarantined for
// crashing targets, and reports a crash of the target.
func (r *Router) runGuarded(ctx context.Context, j *job, t *fleet.Target, remaining time.Duration) (Response, error) {
	var response Response
	var err error
	f := j.fingerprint()
	known := r.guard.Known(f)
	crashed, refusal := r.guard.Run(f, r.cfg.Target.NotListening, func() poison.Outcome {
		var advice Advice
		sent := r.cfg.Clock.Elapsed()
		response, advice, err = r.cfg.Target.Run(ctx, j.request, t.Incarnation, remaining)
		r.follow(context.WithoutCancel(ctx), t.Incarnation, advice, sent)
		return guardOutcome(err)
	})
	if refusal != nil {
		return Response{}, refusal
	}
	if crashed {
		eventCrashedRequest.Log(ctx, r.cfg.Log, slog.String("id", j.request.ID), slog.String("hash", f.Content.String()),
			slog.String("target", t.Incarnation.Target), slog.Int("known", known.Crashes), slog.Int("own", known.Own),
			slog.Int("nodes", known.Nodes), slog.Int64("age_ms", known.Age.Milliseconds()))
	}
	if crashed {
		r.forgetColdness(ctx, t.Service)
	}
	// A target that listens may still hold keys, so it is not marked as ended.
	if crashed && r.cfg.Target.NotListening() {
		eventTargetCrashed.Log(ctx, r.cfg.Log, slog.String("id", j.request.ID), slog.String("target", t.Incarnation.Target))
		// An error means that the fleet's control loop, and with it the node, has ended.
		_ = r.cfg.Fleet.MarkTargetEnded(context.WithoutCancel(ctx), t.Incarnation)
	}
	return response, err
}

// fingerprint returns the fingerprint of the request, by which crashes are counted.
func (j *job) fingerprint() poison.Fingerprint {
	if j.identity == (poison.Fingerprint{}) {
		key := ""
		if j.keyed {
			key = strconv.Itoa(j.request.Key)
		}
		j.identity = poison.NewFingerprint(j.service, j.request.Method, j.request.Path, key, j.request.Body, uuid.Nil)
	}
	return j.identity
}

// warn tells the node to which a suspect request is forwarded what this node knows of
// it, as that node may have missed the notices. Other requests do not wait for this.
func (r *Router) warn(ctx context.Context, j *job, m fleet.Member) {
	f := j.fingerprint()
	if !r.guard.Known(f).Suspect() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := peer.Call[struct{}](ctx, r.cfg.Peers, m.Address, MethodNotice, noticeMessage{r.guard.Notices(f)}); err != nil {
		eventNoticeLost.Log(ctx, r.cfg.Log, slog.Int("nodes", 1), slog.Int("failed", 1), slog.String("error", err.Error()))
	}
}

// guardOutcome returns what the error of Target.Run tells about a crash of the
// target.
func guardOutcome(err error) poison.Outcome {
	switch {
	case err == nil:
		return poison.Answered
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrNotListening), errors.Is(err, ErrRejected),
		errors.Is(err, ErrTooLarge), errors.Is(err, ErrMalformed), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return poison.Inconclusive
	}
	return poison.ConnectionLost
}

// notify tells the other nodes of the target's service which requests a crash
// affects, and waits for their replies. Nodes that it misses, and those of other
// services, read it from the store.
func (r *Router) notify(notices []poison.Notice) {
	r.cfg.Fleet.RecordCrashes(slices.ContainsFunc(notices, func(n poison.Notice) bool { return n.Count > 0 }))
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	v := r.cfg.Fleet.View()
	t := v.Target()
	if t == nil {
		return
	}
	results := make(chan error)
	calls := 0
	v.Members(func(m fleet.Member) {
		// A node runs requests soon if its target has just ended, is cut off or is not known yet.
		if m.Name == r.cfg.Name || m.Revoked || m.Target != nil && m.Target.Service != t.Service {
			return
		}
		calls++
		go func() {
			_, err := peer.Call[struct{}](ctx, r.cfg.Peers, m.Address, MethodNotice, noticeMessage{notices})
			results <- err
		}()
	})
	failed := 0
	var err error
	for range calls {
		if e := <-results; e != nil {
			failed, err = failed+1, e
		}
	}
	if err != nil {
		eventNoticeLost.Log(ctx, r.cfg.Log, slog.Int("nodes", calls), slog.Int("failed", failed), slog.String("error", err.Error()))
	}
}

func (r *Router) handleNotice(ctx context.Context, body []byte) ([]byte, error) {
	var msg noticeMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return nil, fmt.Errorf("decode notices: %w", err)
	}
	r.guard.Merge(msg.Notices)
	r.cfg.Fleet.RecordCrashes(false)
	eventNoticesReceived.Log(ctx, r.cfg.Log, noticeAttrs(msg.Notices)...)
	return cbor.Marshal(struct{}{})
}

// maxLoggedHashes bounds the hashes in a line about notices.
const maxLoggedHashes = 4

func noticeAttrs(notices []poison.Notice) []slog.Attr {
	var hashes []string
	for _, n := range notices[:min(len(notices), maxLoggedHashes)] {
		hashes = append(hashes, fmt.Sprintf("%s=%d/%d", n.Hash, n.Round, n.Count))
	}
	return []slog.Attr{slog.Int("count", len(notices)), slog.String("hashes", strings.Join(hashes, " "))}
}
