package serve

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"burdocklift/fleet"
	"burdocklift/pick"
	"burdocklift/place"
	"burdocklift/proto"
	"burdocklift/retry"
	"burdocklift/rules"
	"burdocklift/span"
)

const (
	// maxNodesTried bounds how many nodes are asked to run one request.
	maxNodesTried = 4
	// responseMargin is subtracted from a caller's timeout so that the response
	// reaches it in time: callers are up to 3 ms away, nodes up to 10 ms.
	responseMargin = 40 * time.Millisecond
	// ownerChangeTimeout bounds the wait for a new view after a node has refused
	// a key that it owns according to the current view. The relay of each data
	// centre forwards changes within 50 ms.
	ownerChangeTimeout = 200 * time.Millisecond
	// notReadyRetryAfter is the retry-after of a node that knows no rules yet
	// and of a service without targets.
	notReadyRetryAfter = 500 * time.Millisecond
	// MaxRequestTime bounds requests for which neither the route nor the caller
	// sets a shorter timeout.
	MaxRequestTime = 60 * time.Second
)

// Serve runs a caller's request on a target and returns its outcome.
func (r *Router) Serve(ctx context.Context, req *Request) Result {
	begin := r.cfg.Clock.Elapsed()
	v := r.cfg.Fleet.View()
	set := v.Rules()
	if set == nil {
		return notRun(ReasonNoRules, notReadyRetryAfter)
	}
	if r.closed.Load() {
		return notRun(ReasonStopping, minRetryAfter)
	}
	path, _, _ := strings.Cut(req.Path, "?")
	route, ok := set.Match(req.Host, path)
	if !ok {
		return Result{Outcome: proto.NotRun, Reason: ReasonNoRoute}
	}
	j := r.newJob(req, route, set, begin)
	ctx, cancel := context.WithTimeout(ctx, j.deadline-begin)
	defer cancel()
	defer context.AfterFunc(r.aborted, cancel)()
	res, refused := r.refuseTransfer(j)
	if !refused {
		res = r.sendWithRetries(ctx, j, route)
	}
	if res.Reason == ReasonCallerGone && r.aborted.Err() != nil {
		res.Reason, res.RetryAfter = ReasonStopping, minRetryAfter
	}
	r.record(ctx, j, set.Version(), begin, res)
	return res
}

func (r *Router) newJob(req *Request, route *rules.Route, set *rules.Set, begin time.Duration) *job {
	j := &job{request: req, class: route.Name, urgency: route.Urgency, idempotent: route.Idempotent, regions: route.Regions, deadline: begin + MaxRequestTime}
	if route.Timeout > 0 {
		j.deadline = min(j.deadline, begin+route.Timeout)
	}
	if req.Remaining > 0 {
		j.deadline = min(j.deadline, begin+max(req.Remaining-responseMargin, req.Remaining/2))
	}
	j.deadline = r.beforeEnd(j.deadline)
	j.service = r.nextService(route)
	if s, ok := set.Service(j.service); ok {
		j.keyed = s.Sharded
	}
	return j
}

// sendWithRetries sends a request until its outcome is final. If the last
// attempt was refused, the outcome is proto.NotRun only if no earlier attempt
// may have run.
func (r *Router) sendWithRetries(ctx context.Context, j *job, route *rules.Route) Result {
	policies := r.policiesFor(j.service)
	policies.recordFirst()
	sends, mayHaveRun := 0, false
	for number := 1; ; number++ {
		res := r.dispatchOnceOrTwice(ctx, j, sends, route.MaxAttempts)
		sends += res.Sends
		if res.Outcome == proto.NotRun && mayHaveRun {
			res.Outcome = proto.Unknown
		}
		delay, again := r.shouldRetry(ctx, j, route, policies, number, sends, res)
		if again {
			mayHaveRun = mayHaveRun || res.Outcome != proto.NotRun
			select {
			case <-r.cfg.Clock.After(delay):
				continue
			case <-ctx.Done():
			}
		}
		res.Sends = sends
		return res
	}
}

// shouldRetry decides from the result of an attempt whether the request is sent
// again, and after what delay.
func (r *Router) shouldRetry(
	ctx context.Context, j *job, route *rules.Route, policies retryPolicies, number, sends int, res Result,
) (time.Duration, bool) {
	switch {
	case res.Outcome == proto.Answered && !retryable(j, res), ctx.Err() != nil,
		res.Reason == ReasonCallerGone, res.Reason == ReasonTimeout, sends >= max(route.MaxAttempts, 1):
		return 0, false
	case res.Sends == 0:
		// No target received the request, so the retry-after of the refusing node stands.
		return 0, false
	}
	outcome := res.Outcome
	if outcome == proto.Answered {
		outcome = proto.Unknown
	}
	verdict := policies.forOutcome(outcome).Decide(retry.Attempt{
		Number: number, Outcome: outcome, Idempotent: j.idempotent, Remaining: j.deadline - r.cfg.Clock.Elapsed(),
	})
	return verdict.Delay, verdict.ShouldRetry()
}

// retryable reports whether another attempt may succeed where the target
// answered with an error.
func retryable(j *job, res Result) bool {
	return j.idempotent && res.Response.Status == 500
}

// dispatch makes one attempt to run a request on a target.
func (r *Router) dispatch(ctx context.Context, j *job) Result {
	if j.request.callerLeft() {
		return notRun(ReasonCallerGone, 0)
	}
	// The node of the target may have restarted and not know it yet.
	if r.guard.Known(j.fingerprint()).Quarantined() {
		return notRun(ReasonQuarantined, j.retryAfter(math.MaxInt64, r.cfg.Clock.Elapsed()))
	}
	if j.keyed {
		return r.dispatchKeyed(ctx, j)
	}
	return r.dispatchUnkeyed(ctx, j)
}

// dispatchKeyed sends a request to the owner of its key and follows at most one
// change of owner.
func (r *Router) dispatchKeyed(ctx context.Context, j *job) Result {
	if !j.request.HasKey || j.request.Key < 0 || j.request.Key > span.MaxKey {
		return Result{Outcome: proto.NotRun, Reason: ReasonInvalidKey}
	}
	var res Result
	for range 2 {
		v := r.cfg.Fleet.View()
		_, m, ok := v.Owner(j.service, j.request.Key)
		if !ok {
			if res = r.refuseUnplaced(v, j, r.cfg.Clock.Elapsed()); res.Reason != ReasonNoTarget {
				return res
			}
			return notRun(ReasonNoOwner, notReadyRetryAfter)
		}
		res = r.sendTo(ctx, j, m)
		if res.Reason != ReasonNotOwner || ctx.Err() != nil {
			return res
		}
		select {
		case <-v.Changed():
		case <-r.cfg.Clock.After(ownerChangeTimeout):
		case <-ctx.Done():
		}
	}
	return res
}

// dispatchUnkeyed sends a request to a target of a service without keys. A node
// without a free slot refuses at once, and the next one is tried.
func (r *Router) dispatchUnkeyed(ctx context.Context, j *job) Result {
	v := r.cfg.Fleet.View()
	picker := r.picker(j.service)
	now := r.cfg.Clock.Elapsed()
	candidates := r.candidates(v, j, now)
	// Prefer targets that have not already rejected or failed this request.
	tried := func(c pick.Candidate) bool { return slices.Contains(j.triedNodes, c.Name) }
	if rest := slices.DeleteFunc(slices.Clone(candidates), tried); len(rest) > 0 {
		candidates = rest
	}
	if len(candidates) == 0 {
		return r.refuseUnplaced(v, j, now)
	}
	res := notRun(ReasonNoTarget, notReadyRetryAfter)
	for number := range min(maxNodesTried, len(candidates)) {
		options := candidates
		if i := r.localIndex(j, candidates); number == 0 && i >= 0 {
			options = candidates[i : i+1]
		}
		c, ok := r.pick(picker, j.class, options)
		if !ok {
			break
		}
		m, _ := v.Member(c.Name)
		res = r.sendPicked(ctx, j, picker, c, m)
		if res.Sends > 0 {
			j.triedNodes = append(j.triedNodes, c.Name)
		}
		if res.Outcome != proto.NotRun || res.Sends > 0 || ctx.Err() != nil {
			return res
		}
		for i := range candidates {
			if candidates[i].Name == c.Name {
				candidates = append(candidates[:i], candidates[i+1:]...)
				break
			}
		}
		candidates = r.skipCold(v, m, res.Reason, candidates)
	}
	return res
}

// candidates returns the targets of a service without keys that may take a request.
func (r *Router) candidates(v *fleet.View, j *job, now time.Duration) []pick.Candidate {
	var candidates []pick.Candidate
	work := r.work(v, j)
	v.Members(func(m fleet.Member) {
		if m.Serves(j.service) && v.Policy().Check(work, m.Place(), now) == place.Allowed && (m.Name == r.cfg.Name || r.cfg.Peers.Reachable(m.Address)) {
			candidates = append(candidates, pick.Candidate{
				Name: m.Name, DataCentre: m.DataCentre, Region: m.Region, Slots: r.slotsFor(v, m),
				Local: m.Name == r.cfg.Name, Contended: v.Policy().Contended(j.service, work, m.Place()),
			})
		}
	})
	return candidates
}

// sendPicked sends a request to a target that the picker has counted.
func (r *Router) sendPicked(ctx context.Context, j *job, picker *pick.Picker, c pick.Candidate, m fleet.Member) Result {
	j.asked.set(c.Name)
	res := r.sendTo(ctx, j, m)
	busy := res.Reason == ReasonNoSlot || res.Reason == ReasonLimited || res.Reason == ReasonLink || res.Reason == ReasonRejected ||
		res.Reason == ReasonMemory
	picker.Done(c, pick.Result{
		Busy: busy, Success: busy || res.Outcome == proto.Answered && res.Response.Status < 500,
		Abandoned: res.Reason == ReasonCallerGone || refusedByPlace(res),
	})
	if res.Reason == ReasonNoSlot {
		r.hedges.noteFull(j.service, r.cfg.Clock.Elapsed())
	}
	return res
}

// localIndex returns the index of the local target among the candidates if the
// request should go there first, else -1: a large answer of another target takes the
// links of two hosts.
func (r *Router) localIndex(j *job, candidates []pick.Candidate) int {
	if r.sizes.large(j.class) == 0 || r.coldLimit().Pace > 0 {
		return -1
	}
	return slices.IndexFunc(candidates, func(c pick.Candidate) bool { return c.Name == r.cfg.Name })
}

func (r *Router) sendTo(ctx context.Context, j *job, m fleet.Member) Result {
	v, now := r.cfg.Fleet.View(), r.cfg.Clock.Elapsed()
	t := m.Place()
	t.Draining = m.Target != nil && r.leaving.over(m.Target.Incarnation, r.drainLimit(), now)
	w := r.work(v, j)
	w.Bound = j.keyed
	if res, refused := r.refusePlace(j, v.Policy().Check(w, t, now), now); refused {
		return res
	}
	if m.Name == r.cfg.Name {
		if j.keyed {
			r.cfg.Fleet.CountRequest(j.request.Key)
		}
		return r.runLocal(ctx, j)
	}
	return r.forward(ctx, j, m)
}

// sampleEvery is the log sampling interval: one in so many served requests is
// logged. Failures and refusals are always logged.
const sampleEvery = 50

// record counts the outcome of a request and logs it. Of served requests only a
// sample is logged.
func (r *Router) record(ctx context.Context, j *job, version uint64, begin time.Duration, res Result) {
	took := r.cfg.Clock.Elapsed() - begin
	served := res.Outcome == proto.Answered && res.Response.Status < 500
	outcome := string(res.Reason)
	if !served && res.Outcome == proto.Answered {
		outcome = "failed"
	}
	r.stats.Observe(j.service, "", outcome, took)
	e := eventRequestFailed
	if served {
		if r.servedCount.Add(1)%sampleEvery != 1 {
			return
		}
		e = eventRequestServed
	}
	attrs := []slog.Attr{
		slog.String("id", j.request.ID), slog.String("route", j.class), slog.String("service", j.service),
		slog.Uint64("rules", version), slog.String("outcome", string(res.Outcome)),
		slog.String("reason", string(res.Reason)), slog.Int("status", res.Response.Status), slog.Int("sends", res.Sends),
		slog.Int64("limit_ms", (j.deadline - begin).Milliseconds()), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int64("after_ms", res.RetryAfter.Milliseconds()),
	}
	if j.hedge != "" {
		attrs = append(attrs, slog.String("hedge", j.hedge))
	}
	if j.keyed {
		owned, _, _ := r.cfg.Fleet.View().Owner(j.service, j.request.Key)
		attrs = append(attrs, slog.Int("key", j.request.Key), slog.String("owner", owned.Node),
			slog.Uint64("epoch", owned.Epoch), slog.Int("prior", len(owned.Prior)))
	}
	e.Log(ctx, r.cfg.Log, attrs...)
}
