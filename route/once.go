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

// Scope returns the identifier of an entry in the idempotency table: the shard
// number, or for a hot key a hash outside the range of shard numbers. Both
// owners of a move compute the same value.
func Scope(s uint32, key string) uint32 {
	if key == "" {
		return s
	}
	return 1<<31 | uint32(xxhash.Sum64String(key)>>33)
}

// firstEpoch is the epoch of a newly created page. No request was dispatched
// before it, so it needs no floor. A hot key starts with the epoch of its shard
// and does need a floor, since its idempotency keys were recorded under the
// shard.
const firstEpoch = 1

// beginEpoch starts serving an epoch of an entry in the idempotency table.
func beginEpoch(now time.Time, table *dedup.Table, scope uint32, hot bool, epoch uint64) {
	if epoch == firstEpoch && !hot {
		now = time.Unix(0, 0)
	}
	table.Serve(now, scope, epoch)
}

// BeginEpoch starts serving an epoch of a shard, or of a hot key if key is not
// empty, unless a handover of the entry is pending.
func (r *Router) BeginEpoch(now time.Time, s uint32, key string, epoch uint64) {
	if table := r.idempotency.Load(); table != nil {
		beginEpoch(now, table, Scope(s, key), key != "", epoch)
	}
}

// IdempotencyTable returns the idempotency table, or nil before the first
// SetRules.
func (r *Router) IdempotencyTable() *dedup.Table { return r.idempotency.Load() }

// runDeduplicated runs a request that must run at most once. If wait is set,
// the request did not run and the entry is moving to another owner or epoch.
func (r *Router) runDeduplicated(ctx context.Context, req *request, t *localTarget, d shard.Decision) (res Result, wait bool) {
	table := r.idempotency.Load()
	scope := d.Shard
	if d.Hot {
		scope = Scope(d.Shard, req.key)
	}
	beginEpoch(r.clock.Now(), table, scope, d.Hot, d.Epoch)
	digest := dedup.DigestOf(req.method, req.uri, req.body)
	needs := t.limiter.Estimate(req.class.Name)
	for {
		v := table.Begin(r.clock.Now(), scope, d.Epoch, req.id, digest)
		switch v.Verdict {
		case dedup.Run:
			return r.runAndRecord(ctx, req, t, d, scope), false
		case dedup.Wait:
			select {
			case <-v.Done:
			case <-ctx.Done():
				// The request in flight may be an earlier attempt of the same
				// request.
				return unknown(ReasonDeadlineExceeded), false
			}
		case dedup.AwaitHandover:
			timer := r.clock.NewTimer(r.waitTimeLeft(req, needs))
			select {
			case <-v.Done:
				timer.Stop()
			case <-timer.Chan():
				return waitedInVain(ctx), false
			case <-ctx.Done():
				timer.Stop()
				return waitedInVain(ctx), false
			}
		case dedup.Hold:
			if !r.pause(ctx, req, needs, v.Delay) {
				return waitedInVain(ctx), false
			}
		case dedup.Moved:
			return notOwner(d), true
		default:
			return dedupResult(v), false
		}
	}
}

// dedupResult maps the decisions of the idempotency table that end a request.
func dedupResult(v dedup.Decision) Result {
	switch v.Verdict {
	case dedup.Replay:
		h := http.Header(v.Answer.Header).Clone()
		length := h.Get(recordedLengthKey)
		delete(h, recordedLengthKey)
		return Result{Outcome: proto.Answered, Status: v.Answer.Status, Header: h, Body: v.Answer.Body, HeadContentLength: length}
	case dedup.TableFull:
		return notRun(ReasonIdempotencyTableFull, http.StatusServiceUnavailable)
	case dedup.Future:
		return notRun(ReasonIdempotencyKeyInFuture, http.StatusServiceUnavailable)
	case dedup.Conflict:
		return notRun(ReasonIdempotencyKeyConflict, http.StatusUnprocessableEntity)
	case dedup.Invalid:
		return notRun(ReasonBadIdempotencyKey, http.StatusBadRequest)
	}
	return unknown(ReasonMayHaveRun)
}

// recordedLengthKey stores Result.HeadContentLength among the headers of a
// recorded response. It is not a valid header name, so no target can send it.
const recordedLengthKey = "\x00length"

// runAndRecord runs a request and records its outcome. From the moment at which the
// request is sent, it continues after the caller has disconnected, so that a retry
// finds the response.
func (r *Router) runAndRecord(ctx context.Context, req *request, t *localTarget, d shard.Decision, scope uint32) Result {
	table := r.idempotency.Load()
	ended := false
	defer func() {
		if !ended {
			table.Abandon(req.id, scope)
		}
	}()
	res := r.admit(ctx, req, t, d)
	ended = true
	switch res.Outcome {
	case proto.Answered:
		h := res.Header.Clone()
		if res.HeadContentLength != "" {
			h[recordedLengthKey] = []string{res.HeadContentLength}
		}
		table.Finish(req.id, scope, dedup.Answer{Status: res.Status, Header: h, Body: res.Body})
	case proto.NotRun:
		table.Forget(req.id, scope)
	default:
		table.Abandon(req.id, scope)
	}
	return res
}
