package serve

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/pick"
	"burdocklift/proto"
	"burdocklift/retry"
	"burdocklift/stats"
	"burdocklift/uplink"
)

const (
	// fullTime is the time after a refusal for lack of a slot in which requests of the
	// service get no copies. Overload lasts for as long as callers have time, mostly 1 s to 5 s.
	fullTime = 2 * time.Second
	// maxHedgeClasses bounds the classes with a histogram of latencies, which takes about
	// 100 KiB. Requests of further classes get no copies.
	maxHedgeClasses = 64
)

// Values of the log field "hedge".
const (
	hedgeSent = "sent" // the answer, if any, is that of the first target
	hedgeWon  = "won"  // the answer is that of the copy
)

// hedges holds what decides about copies of slow requests to services without keys.
type hedges struct {
	share                  float64
	sent, won, overBudgets atomic.Int64

	mu       sync.Mutex
	classes  map[string]*retry.Hedge
	services map[string]*hedgedService
}

// hedgedService is the state of a service.
type hedgedService struct {
	budget *retry.Budget
	fullAt time.Duration // when a request was last refused for lack of a slot
	full   bool          // there was such a refusal
}

func newHedges(share float64) *hedges {
	return &hedges{share: share, classes: make(map[string]*retry.Hedge), services: make(map[string]*hedgedService)}
}

// class returns the latencies of a class, or nil if there are too many classes.
func (h *hedges) class(name string) *retry.Hedge {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.classes[name]
	if c == nil && len(h.classes) < maxHedgeClasses {
		c = retry.NewHedge(retry.LateQuantile)
		h.classes[name] = c
	}
	return c
}

// service returns the state of a service. Its budget begins empty, so that copies are at most
// their share of the requests at any time. The caller holds the lock.
func (h *hedges) service(name string) *hedgedService {
	s := h.services[name]
	if s == nil {
		b, err := retry.NewBudget(h.share, retry.MaxBurst)
		if err != nil {
			panic("invalid share of hedged requests in validated settings: " + err.Error())
		}
		b.Empty()
		s = &hedgedService{budget: b}
		h.services[name] = s
	}
	return s
}

func (h *hedges) budget(service string) *retry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).budget
}

// noteFull notes that a request was refused for lack of a slot.
func (h *hedges) noteFull(service string, now time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	s.fullAt, s.full = now, true
}

// fullLately reports whether a request was refused lately for lack of a slot.
func (h *hedges) fullLately(service string, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	return s.full && now-s.fullAt < fullTime
}

func (h *hedges) setGauges(s *stats.Set) {
	if h == nil {
		return
	}
	s.SetGauge("hedges_sent", h.sent.Load())
	s.SetGauge("hedges_won", h.won.Load())
	s.SetGauge("hedges_over_budget", h.overBudgets.Load())
}

// askedNode is the node that was asked last to run a request. The nil value stores nothing.
type askedNode struct{ name atomic.Pointer[string] }

func (a *askedNode) set(name string) {
	if a != nil {
		a.name.Store(&name)
	}
}

func (a *askedNode) get() string {
	if name := a.name.Load(); name != nil {
		return *name
	}
	return ""
}

// mayHedge reports whether a copy may be sent of a request that targets received a number of
// times before. Large bodies and answers would take the links of two more hosts, and the
// memory of a body is no longer accounted for once the first answer is passed on.
func (r *Router) mayHedge(j *job, sends, maxAttempts int) bool {
	return !j.keyed && j.idempotent && j.hedge == "" && sends+2 <= maxAttempts &&
		len(j.request.Body) <= uplink.LargeBytes && r.sizes.large(j.class) == 0
}

// dispatchOnceOrTwice makes one attempt to run a request that targets received a number of
// times before, with a copy if the request is slow.
func (r *Router) dispatchOnceOrTwice(ctx context.Context, j *job, sends, maxAttempts int) Result {
	if r.hedges == nil {
		return r.dispatch(ctx, j)
	}
	if first := sends == 0; first && !j.keyed {
		r.hedges.budget(j.service).RecordFirst()
	}
	if !r.mayHedge(j, sends, maxAttempts) {
		return r.dispatch(ctx, j)
	}
	class := r.hedges.class(j.class)
	if class == nil {
		return r.dispatch(ctx, j)
	}
	begin := r.cfg.Clock.Elapsed()
	res := r.race(ctx, j, class)
	if succeeded(j, res) {
		class.Observe(r.cfg.Clock.Elapsed() - begin)
	}
	return res
}

// succeeded reports whether a result is an answer that ends a request.
func succeeded(j *job, res Result) bool { return res.Outcome == proto.Answered && !retryable(j, res) }

// race dispatches a request, and after the delay of its class a copy, if that is worth it.
// The first answer wins.
func (r *Router) race(ctx context.Context, j *job, class *retry.Hedge) Result {
	delay, ok := class.Delay()
	if begin := r.cfg.Clock.Elapsed(); !ok || delay >= j.deadline-begin {
		return r.dispatch(ctx, j)
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	copyCtx, cancelCopy := context.WithCancel(ctx)
	defer cancelCopy()
	j.asked = new(askedNode)
	j.fingerprint() // before j is copied
	second := *j
	second.asked, second.triedNodes = nil, slices.Clone(j.triedNodes)
	p := &pair{router: r, class: class, begin: r.cfg.Clock.Elapsed(), asked: j.asked, done: make(chan Result, 1)}
	p.startTimer(delay, func() { p.runCopy(copyCtx, &second, cancelFirst) })
	res := r.dispatch(firstCtx, j)
	if !p.end() {
		return res
	}
	j.hedge = hedgeSent
	if succeeded(j, res) {
		cancelCopy()
		select {
		case other := <-p.done:
			res.Sends += other.Sends
		default:
			res.Sends++ // it may have reached its target; its end is not waited for
		}
		return res
	}
	other := <-p.done // ends by the deadline
	j.triedNodes = append(j.triedNodes, second.triedNodes...)
	if succeeded(j, other) {
		j.hedge = hedgeWon
		r.hedges.won.Add(1)
	}
	return merge(j, res, other)
}

// pair is a request and its copy.
type pair struct {
	router *Router
	class  *retry.Hedge
	begin  time.Duration
	asked  *askedNode  // by the first
	done   chan Result // has room for the result of the copy, which may come too late

	mu      sync.Mutex
	timer   clockwork.Timer
	ended   bool // the first has ended, and no copy is sent any more
	started bool // a copy is sent
}

func (p *pair) startTimer(d time.Duration, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = p.router.cfg.Clock.AfterFunc(d, f)
}

// end notes that the first has ended, and reports whether a copy was sent.
func (p *pair) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
	return p.started
}

// runCopy sends a copy if that is worth it, and cancels the first if the copy is answered.
func (p *pair) runCopy(ctx context.Context, j *job, cancelFirst func()) {
	c, ok := p.start(j)
	if !ok {
		return
	}
	r := p.router
	r.hedges.sent.Add(1)
	m, _ := r.cfg.Fleet.View().Member(c.Name)
	res := r.sendPicked(ctx, j, r.picker(j.service), c, m)
	if res.Sends > 0 {
		j.triedNodes = append(j.triedNodes, c.Name)
	}
	p.done <- res
	if succeeded(j, res) {
		cancelFirst()
	}
}

// start decides whether a copy is sent, and to which target, which the picker has counted then.
func (p *pair) start(j *job) (pick.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return pick.Candidate{}, false
	}
	r := p.router
	c, again := r.secondTarget(j, p)
	if c.Name == "" {
		if again > 0 {
			p.timer.Reset(again)
		}
		return pick.Candidate{}, false
	}
	if !r.hedges.budget(j.service).Allow() || !r.policiesFor(j.service).mayHaveRun.Budget().Allow() {
		r.hedges.overBudgets.Add(1)
		return pick.Candidate{}, false
	}
	r.picker(j.service).Take(c)
	p.started = true
	return c, true
}

// secondTarget returns the target for a copy of a request. If none is worth it now but may
// be later, it returns the time after which to ask again.
func (r *Router) secondTarget(j *job, p *pair) (pick.Candidate, time.Duration) {
	v, now, first := r.cfg.Fleet.View(), r.cfg.Clock.Elapsed(), p.asked.get()
	if first == "" {
		return pick.Candidate{}, 0 // no target was asked yet
	}
	candidates := r.candidates(v, j, now)
	// Cold targets and those that received the request before are left out.
	candidates = slices.DeleteFunc(candidates, func(c pick.Candidate) bool {
		m, _ := v.Member(c.Name)
		return c.Name != first && (r.isCold(v, m) || slices.Contains(j.triedNodes, c.Name))
	})
	picker := r.picker(j.service)
	if slices.ContainsFunc(candidates, func(c pick.Candidate) bool { return c.Local }) {
		picker.Report(r.cfg.Name, j.class, r.load(j.class))
	}
	c, s, ok := picker.Second(j.class, first, candidates)
	if !ok {
		return pick.Candidate{}, 0
	}
	a := retry.Attempt{Idempotent: j.idempotent, Remaining: j.deadline - now}
	prospect := retry.Prospect{
		Waited: now - p.begin, Second: s.Time, Free: s.Free, Load: s.Load, Queued: s.Queued,
		Overload: r.hedges.fullLately(j.service, now) || v.Target().Serves(j.service) && r.admission.OverloadLasts(),
		Suspect:  r.guard.Known(j.fingerprint()).Suspect(),
	}
	reason := p.class.Decide(a, prospect)
	if reason == retry.Repeat {
		return c, 0
	}
	return pick.Candidate{}, retry.AskAgain(reason, prospect)
}

// merge returns the result of a request and its copy after both have ended without the first
// succeeding. Only if neither ran is the outcome proto.NotRun.
func merge(j *job, first, second Result) Result {
	res := first
	switch {
	case succeeded(j, second):
		res = second
	case first.Outcome == proto.Answered:
	case second.Outcome == proto.Answered, first.Outcome == proto.NotRun && second.Outcome != proto.NotRun:
		res = second
	}
	res.Sends = first.Sends + second.Sends
	return res
}
