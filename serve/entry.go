package serve

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"burdocklift/fleet"
	"burdocklift/pick"
	"burdocklift/proto"
	"burdocklift/retry"
	"burdocklift/rules"
	"burdocklift/span"
)

const (
	// maxPlaces is how many nodes are asked for room for one request.
	maxPlaces = 4
	// answerMargin is kept from the time for which a caller waits, so that the
	// answer reaches it: callers are up to 3 ms away, nodes up to 10 ms.
	answerMargin = 40 * time.Millisecond
	// viewWait is how long a request waits for news if the node that should own
	// its key says that it does not. Relays pass changes on within 50 ms.
	viewWait = 200 * time.Millisecond
	// startAfter is when callers return to a node that knows no rules yet, or
	// whose service has no targets.
	startAfter = 500 * time.Millisecond
	// longest bounds a request without any time limit.
	longest = 60 * time.Second
)

// Serve takes a request of a caller to its target and returns the outcome.
func (r *Router) Serve(ctx context.Context, c *Call) Result {
	begin := r.cfg.Clock.Elapsed()
	v := r.cfg.Fleet.View()
	set := v.Rules()
	if set == nil {
		return notRun(ReasonRules, startAfter)
	}
	path, _, _ := strings.Cut(c.Path, "?")
	route, ok := set.Match(c.Host, path)
	if !ok {
		return Result{Outcome: proto.NotRun, Reason: ReasonRoute}
	}
	j := r.job(c, route, set, begin)
	ctx, cancel := context.WithTimeout(ctx, j.ends-begin)
	defer cancel()
	defer context.AfterFunc(r.cut, cancel)()
	res := r.attempts(ctx, j, route)
	if res.Reason == ReasonGone && r.cut.Err() != nil {
		res.Reason, res.After = ReasonStopping, minAfter
	}
	r.note(ctx, j, set.Version(), begin, res)
	return res
}

func (r *Router) job(c *Call, route *rules.Route, set *rules.Set, begin time.Duration) *job {
	j := &job{call: c, class: route.Name, urgency: route.Urgency, repeats: route.Repeats, ends: begin + longest}
	if route.Timeout > 0 {
		j.ends = min(j.ends, begin+route.Timeout)
	}
	if c.Left > 0 {
		j.ends = min(j.ends, begin+max(c.Left-answerMargin, c.Left/2))
	}
	j.age = r.age(route.Name, c.Left)
	j.aim = j.ends
	if route.Aim > 0 {
		j.aim = min(begin+route.Aim-j.age, j.ends)
	}
	j.service = r.part(route)
	if s, ok := set.Service(j.service); ok {
		j.keyed = s.Keyed
	}
	return j
}

// age returns how long ago a caller made its first attempt. Callers give a fixed
// time at first and what is left of it when they return, so that the longest
// time seen on a route is that of first attempts.
func (r *Router) age(route string, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ages[route] = max(r.ages[route], left)
	return r.ages[route] - left
}

// attempts sends a request until it has an outcome that stands. A refusal of the
// last attempt is "not run" only if no earlier one may have run.
func (r *Router) attempts(ctx context.Context, j *job, route *rules.Route) Result {
	budget := r.policies(j.service)
	budget.first()
	sends, unclear := 0, false
	for number := 1; ; number++ {
		res := r.place(ctx, j)
		sends += res.Sends
		if res.Outcome == proto.NotRun && unclear {
			res.Outcome = proto.Unknown
		}
		delay, again := r.again(ctx, j, route, budget, number, sends, res)
		if again {
			unclear = unclear || res.Outcome != proto.NotRun
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

// again decides whether a request is sent once more after the result of an
// attempt, and when.
func (r *Router) again(
	ctx context.Context, j *job, route *rules.Route, budget policies, number, sends int, res Result,
) (time.Duration, bool) {
	switch {
	case res.Outcome == proto.Answered && !retryable(j, res), ctx.Err() != nil,
		res.Reason == ReasonGone, res.Reason == ReasonTimeout, sends >= max(route.Attempts, 1):
		return 0, false
	case res.Sends == 0:
		// No target got the request: the node that refused knows when there is room.
		return 0, false
	}
	outcome := res.Outcome
	if outcome == proto.Answered {
		outcome = proto.Unknown
	}
	verdict := budget.after(outcome).Decide(retry.Attempt{
		Number: number, Outcome: outcome, MayRepeat: j.repeats, Remaining: j.ends - r.cfg.Clock.Elapsed(),
	})
	return verdict.Delay, verdict.ShouldRetry()
}

// retryable reports whether another attempt may do better than a failure that
// the target answered.
func retryable(j *job, res Result) bool {
	return j.repeats && res.Answer.Status == 500
}

// place sends a request to one target.
func (r *Router) place(ctx context.Context, j *job) Result {
	if j.keyed {
		return r.placeKeyed(ctx, j)
	}
	return r.placeFree(ctx, j)
}

// placeKeyed sends a request to the owner of its key. It follows one change of
// owner.
func (r *Router) placeKeyed(ctx context.Context, j *job) Result {
	if !j.call.HasKey || j.call.Key < 0 || j.call.Key > span.Last {
		return Result{Outcome: proto.NotRun, Reason: ReasonKey}
	}
	var res Result
	for range 2 {
		v := r.cfg.Fleet.View()
		_, m, ok := v.Owner(j.service, j.call.Key)
		if !ok {
			return notRun(ReasonNoOwner, startAfter)
		}
		res = r.send(ctx, j, m)
		if res.Reason != ReasonMoved || ctx.Err() != nil {
			return res
		}
		select {
		case <-v.Changed():
		case <-r.cfg.Clock.After(viewWait):
		case <-ctx.Done():
		}
	}
	return res
}

// placeFree sends a request to a target of a service without keys. A node that
// has no room refuses at once, and another one is asked.
func (r *Router) placeFree(ctx context.Context, j *job) Result {
	v := r.cfg.Fleet.View()
	picker := r.picker(j.service)
	var candidates []pick.Candidate
	v.Members(func(m fleet.Member) {
		if m.Serves(j.service) && (m.Name == r.cfg.Name || r.cfg.Peers.Reachable(m.Address)) {
			candidates = append(candidates, pick.Candidate{
				Name: m.Name, DataCentre: m.DataCentre, Region: m.Region, Slots: m.Target.Slots,
			})
		}
	})
	// Another target may do better than one that rejected or failed the request.
	tried := func(c pick.Candidate) bool { return slices.Contains(j.tried, c.Name) }
	if rest := slices.DeleteFunc(slices.Clone(candidates), tried); len(rest) > 0 {
		candidates = rest
	}
	res := notRun(ReasonTarget, startAfter)
	for range min(maxPlaces, len(candidates)) {
		c, ok := picker.Pick(candidates)
		if !ok {
			break
		}
		m, _ := v.Member(c.Name)
		res = r.send(ctx, j, m)
		busy := res.Reason == ReasonFull || res.Reason == ReasonRejected
		picker.Done(c, pick.Result{Busy: busy, Success: busy || res.Outcome == proto.Answered && res.Answer.Status < 500})
		if res.Sends > 0 {
			j.tried = append(j.tried, c.Name)
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
	}
	return res
}

func (r *Router) send(ctx context.Context, j *job, m fleet.Member) Result {
	if m.Name == r.cfg.Name {
		if j.keyed {
			r.cfg.Fleet.Count(j.call.Key)
		}
		return r.runLocal(ctx, j)
	}
	return r.forward(ctx, j, m)
}

// sampleEvery is the number of served requests of which one is logged. Failures
// and refusals are always logged.
const sampleEvery = 50

// note counts the outcome of a request and logs it: all that were not served,
// and a sample of the others.
func (r *Router) note(ctx context.Context, j *job, version uint64, begin time.Duration, res Result) {
	took := r.cfg.Clock.Elapsed() - begin
	served := res.Outcome == proto.Answered && res.Answer.Status < 500
	outcome := string(res.Reason)
	if !served && res.Outcome == proto.Answered {
		outcome = "failed"
	}
	r.stats.Observe(j.service, "", outcome, took)
	e := eventRequestFailed
	if served {
		if r.served.Add(1)%sampleEvery != 1 {
			return
		}
		e = eventRequestServed
	}
	attrs := []slog.Attr{
		slog.String("id", j.call.ID), slog.String("route", j.class), slog.String("service", j.service),
		slog.Uint64("rules", version), slog.String("outcome", string(res.Outcome)),
		slog.String("reason", string(res.Reason)), slog.Int("status", res.Answer.Status), slog.Int("sends", res.Sends),
		slog.Int64("age_ms", j.age.Milliseconds()), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int64("after_ms", res.After.Milliseconds()),
	}
	if j.keyed {
		owned, _, _ := r.cfg.Fleet.View().Owner(j.service, j.call.Key)
		attrs = append(attrs, slog.Int("key", j.call.Key), slog.String("owner", owned.Node),
			slog.Uint64("epoch", owned.Epoch), slog.Int("prior", len(owned.Prior)))
	}
	e.Log(ctx, r.cfg.Log, attrs...)
}
