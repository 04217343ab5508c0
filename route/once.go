package route

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/dedup"
	"burdocklift/proto"
	"burdocklift/shard"
)

// Scope returns the number under which the idempotency table keeps an entry:
// the shard, or for a hot key a number outside the range of shards. Both owners
// of a move derive it alike.
func Scope(s uint32, key string) uint32 {
	if key == "" {
		return s
	}
	return 1<<31 | uint32(xxhash.Sum64String(key)>>33)
}

// firstEpoch is the epoch with which a page is created. Nothing was dispatched
// before it, so it needs no floor. A hot key starts with its shard's epoch and
// has a floor, as its ids were kept with the shard.
const firstEpoch = 1

// beginEpoch begins to serve an entry's epoch in the idempotency table.
func beginEpoch(now time.Time, ids *dedup.Table, scope uint32, hot bool, epoch uint64) {
	if epoch == firstEpoch && !hot {
		now = time.Unix(0, 0)
	}
	ids.Serve(now, scope, epoch)
}

// BeginEpoch begins to serve the epoch of a shard, or of a hot key if key is
// not empty, unless a handover of it is awaited.
func (r *Router) BeginEpoch(now time.Time, s uint32, key string, epoch uint64) {
	if ids := r.ids.Load(); ids != nil {
		beginEpoch(now, ids, Scope(s, key), key != "", epoch)
	}
}

// IDs returns the idempotency table, or nil before the first rules.
func (r *Router) IDs() *dedup.Table { return r.ids.Load() }

// once runs a request that must not run twice. If wait is set, it did not run
// and the entry is on its way to another owner or epoch.
func (r *Router) once(ctx context.Context, req *request, t *localTarget, d shard.Decision) (res Result, wait bool) {
	ids := r.ids.Load()
	scope := d.Shard
	if d.Hot {
		scope = Scope(d.Shard, req.key)
	}
	beginEpoch(r.clock.Now(), ids, scope, d.Hot, d.Epoch)
	digest := dedup.DigestOf(req.method, req.uri, req.body)
	expired := notRun(ReasonExpired, http.StatusServiceUnavailable)
	for {
		v := ids.Begin(r.clock.Now(), scope, d.Epoch, req.id, digest)
		switch v.Verdict {
		case dedup.Run:
			return r.runOnce(ctx, req, t, d, scope), false
		case dedup.Wait:
			select {
			case <-v.Done:
			case <-ctx.Done():
				// The request in flight may be a resend's predecessor.
				return unknown(ReasonExpired), false
			}
		case dedup.AwaitHandover:
			select {
			case <-v.Done:
			case <-ctx.Done():
				return expired, false
			}
		case dedup.Hold:
			if !r.sleep(ctx, v.Delay) {
				return expired, false
			}
		case dedup.Moved:
			return notOwner(d), true
		default:
			return verdict(v), false
		}
	}
}

// verdict maps the verdicts that end a request.
func verdict(v dedup.Decision) Result {
	switch v.Verdict {
	case dedup.Replay:
		h := http.Header(v.Answer.Header).Clone()
		length := h.Get(lengthField)
		delete(h, lengthField)
		return Result{Outcome: proto.Answered, Status: v.Answer.Status, Header: h, Body: v.Answer.Body, Length: length}
	case dedup.TableFull:
		return notRun(ReasonTable, http.StatusServiceUnavailable)
	case dedup.Future:
		return notRun(ReasonFuture, http.StatusServiceUnavailable)
	case dedup.Conflict:
		return notRun(ReasonConflict, http.StatusUnprocessableEntity)
	case dedup.Invalid:
		return notRun(ReasonID, http.StatusBadRequest)
	}
	return unknown(ReasonMayHaveRun)
}

// lengthField keeps Result.Length among the headers of a recorded answer. It is
// no valid header name, so that no target can send it.
const lengthField = "\x00length"

// runOnce runs a request and records how it ended. It goes on when the caller
// has gone, so that a resend finds the answer.
func (r *Router) runOnce(ctx context.Context, req *request, t *localTarget, d shard.Decision, scope uint32) Result {
	ids := r.ids.Load()
	ended := false
	defer func() {
		if !ended {
			ids.Abandon(req.id, scope)
		}
	}()
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	defer cancel()
	res := r.admit(detached, req, t, d)
	ended = true
	switch res.Outcome {
	case proto.Answered:
		h := res.Header.Clone()
		if res.Length != "" {
			h[lengthField] = []string{res.Length}
		}
		ids.Finish(req.id, scope, dedup.Answer{Status: res.Status, Header: h, Body: res.Body})
	case proto.NotRun:
		ids.Forget(req.id, scope)
	default:
		ids.Abandon(req.id, scope)
	}
	return res
}
