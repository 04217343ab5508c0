package pick_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"burdocklift/pick"
	"burdocklift/retry"
	"burdocklift/triage"
)

const (
	hedgeWarmUp   = 15 * time.Second // until the nodes know the latencies
	hedgeEnd      = 35 * time.Second
	hedgeEvery    = 5 // one in so many nodes has callers
	hedgeTail     = 7 // times the usual work of a slow request
	hedgeGap      = 4 * time.Second
	hedgeFullTime = 2 * time.Second
)

// hedgeWorld is the world of the uneven targets with long tails and copies of slow requests.
type hedgeWorld struct {
	*unevenWorld
	seed      uint64
	tail      float64       // share of the requests that take longer
	inherent  bool          // by the request, at any target; else by chance at each target
	limit     time.Duration // that callers wait
	share     float64       // of the requests that may get a copy, 0 for none
	withheld  bool          // decides about copies and sends none
	latencies []*retry.Hedge
	budgets   []*retry.Budget
	retries   []*retry.Budget
	fullAt    []time.Duration
	busy      time.Duration // of slots
	count     int           // requests so far
	answers   []time.Duration
	late      int
	copies    int
	first     int // requests after the warm-up
}

// hedged is a request with its legs.
type hedged struct {
	request
	number int
	legs   []*leg
	ended  bool
}

// leg is one copy of a request.
type leg struct {
	*hedged
	left      []pick.Candidate
	tries     int
	candidate pick.Candidate
	target    *unevenTarget
	way       time.Duration
	waiter    *waitingRequest
	startedAt time.Duration // of the run, if running
	running   bool
	over      bool
}

func newHedgeWorld(seed uint64, tail, share float64, inherent bool) *hedgeWorld {
	w := &hedgeWorld{
		unevenWorld: newUnevenWorld(seed, true), seed: seed, tail: tail, share: share, inherent: inherent, limit: unevenDeadline,
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	for _, t := range w.targets {
		t.slow = nil
		for at := time.Duration(0); at < 2*hedgeEnd; at += slowTime {
			at += time.Duration(rng.ExpFloat64() * float64(hedgeGap))
			t.slow = append(t.slow, at)
		}
	}
	for range unevenNodes {
		b, _ := retry.NewBudget(share, retry.MaxBurst) // shares of the tests are valid
		b.Empty()
		r, _ := retry.NewBudget(0.25*0.2, 1) // as in the deployments: a quarter of 0.2 for what may have run
		w.latencies = append(w.latencies, retry.NewHedge(retry.LateQuantile))
		w.budgets, w.retries, w.fullAt = append(w.budgets, b), append(w.retries, r), append(w.fullAt, -hedgeFullTime)
	}
	return w
}

// work returns the work of a leg, which depends on the request and, by chance, on the target.
func (w *hedgeWorld) work(l *leg) time.Duration {
	stream := uint64(l.number)
	if !w.inherent {
		i, _ := strconv.ParseUint(l.candidate.Name, 10, 64) // names are numbers
		stream = stream*unevenTargets + i
	}
	if rand.New(rand.NewPCG(w.seed, stream)).Float64() < w.tail {
		return hedgeTail * l.request.work
	}
	return l.request.work
}

func (w *hedgeWorld) begin(q *hedged) {
	w.budgets[q.node].RecordFirst()
	w.retries[q.node].RecordFirst()
	w.sendLeg(w.newLeg(q, w.candidates(q.node)))
	if delay, ok := w.latencies[q.node].Delay(); ok && w.share > 0 {
		w.after(delay, func() { w.consider(q) })
	}
	w.after(w.limit, func() { w.end(q, false) })
}

func (w *hedgeWorld) newLeg(q *hedged, left []pick.Candidate) *leg {
	l := &leg{hedged: q, left: left}
	q.legs = append(q.legs, l)
	return l
}

// consider decides about a copy as package serve does.
func (w *hedgeWorld) consider(q *hedged) {
	first := q.legs[0]
	if q.ended || first.over {
		return
	}
	p := w.pickers[q.node]
	if i := targetOf(q.node); i >= 0 {
		p.Report(fmt.Sprint(i), class, w.load(w.targets[i]))
	}
	c, s, _ := p.Second(class, first.candidate.Name, w.candidates(q.node))
	prospect := retry.Prospect{
		Waited: w.now - q.request.begin, Second: s.Time, Free: s.Free, Load: s.Load, Queued: s.Queued,
		Overload: w.now-w.fullAt[q.node] < hedgeFullTime,
	}
	reason := w.latencies[q.node].Decide(retry.Attempt{Idempotent: true, Remaining: q.deadline - w.now}, prospect)
	if reason != retry.Repeat {
		if again := retry.AskAgain(reason, prospect); again > 0 {
			w.after(again, func() { w.consider(q) })
		}
		return
	}
	if w.withheld {
		return
	}
	if !w.budgets[q.node].Allow() || !w.retries[q.node].Allow() {
		return
	}
	if q.request.begin >= hedgeWarmUp {
		w.copies++
	}
	p.Take(c)
	l := w.newLeg(q, nil)
	w.deliverLeg(l, c)
}

func (w *hedgeWorld) sendLeg(l *leg) {
	if l.tries++; l.tries > unevenTries || w.now >= l.deadline || l.ended {
		w.legOver(l)
		return
	}
	p := w.pickers[l.node]
	if i := targetOf(l.node); i >= 0 {
		p.Report(fmt.Sprint(i), class, w.load(w.targets[i]))
	}
	c, _ := p.PickExpected(class, l.left)
	w.deliverLeg(l, c)
}

func (w *hedgeWorld) deliverLeg(l *leg, c pick.Candidate) {
	i, _ := strconv.Atoi(c.Name) // names are numbers
	l.candidate, l.target = c, w.targets[i]
	l.way = 0
	if !c.Local {
		l.way = latency(centreOf(l.node), l.target.centre)
	}
	w.after(l.way, func() { w.arriveLeg(l) })
}

// reply returns the result of a leg to its node.
func (w *hedgeWorld) reply(l *leg, answered bool) {
	c, figures := l.candidate, w.load(l.target)
	w.after(l.way, func() {
		if l.over {
			return
		}
		if !c.Local {
			w.pickers[l.node].Report(c.Name, class, figures)
		}
		w.pickers[l.node].Done(c, pick.Result{Success: true, Busy: !answered})
		if answered {
			l.over = true
			w.end(l.hedged, true)
			return
		}
		w.fullAt[l.node] = w.now
		l.left = slices.DeleteFunc(slices.Clone(l.left), func(x pick.Candidate) bool { return x.Name == c.Name })
		if len(l.left) == 0 {
			w.legOver(l)
			return
		}
		w.sendLeg(l)
	})
}

// legOver ends a leg without an answer.
func (w *hedgeWorld) legOver(l *leg) {
	l.over = true
	if !slices.ContainsFunc(l.legs, func(o *leg) bool { return !o.over }) {
		w.end(l.hedged, false)
	}
}

// end ends a request, and cancels the legs that are still in flight.
func (w *hedgeWorld) end(q *hedged, answered bool) {
	if q.ended {
		return
	}
	q.ended = true
	took := w.now - q.request.begin
	if answered {
		w.latencies[q.node].Observe(took)
	}
	if q.request.begin >= hedgeWarmUp {
		w.first++
		if !answered {
			w.late++
			took = w.limit
		}
		w.answers = append(w.answers, took)
	}
	for _, l := range q.legs {
		if !l.over {
			l.over = true
			w.pickers[q.node].Done(l.candidate, pick.Result{Abandoned: true})
			w.after(l.way, func() { w.cancelLeg(l) })
		}
	}
}

// cancelLeg cancels a leg at its target, or withdraws it from the queue there.
func (w *hedgeWorld) cancelLeg(l *leg) {
	switch {
	case l.running:
		w.stopRun(l, false)
	case l.waiter != nil && slices.Contains(l.target.waiting, l.waiter):
		if l.target.limiter.Cancel(l.waiter.Waiter) {
			l.target.waiting = slices.DeleteFunc(l.target.waiting, func(x *waitingRequest) bool { return x == l.waiter })
		}
	}
}

func (w *hedgeWorld) stopRun(l *leg, answered bool) {
	t := l.target
	l.running = false
	d := w.now - l.startedAt
	if l.request.begin >= hedgeWarmUp {
		w.busy += d
	}
	t.limiter.ObservePace(t.factor(w.now), w.now)
	t.limiter.ReleaseAtPace(class, d, triage.Lasting(d, 1, t.limiter.Present(w.now)), answered, w.now)
	w.deliver(t)
}

func (w *hedgeWorld) arriveLeg(l *leg) {
	t := l.target
	run := func() {
		l.running, l.startedAt = true, w.now
		if l.over {
			w.stopRun(l, false)
			return
		}
		w.after(t.duration(w.work(l), w.now), func() {
			if l.running {
				w.stopRun(l, true)
				w.reply(l, true)
			}
		})
	}
	waiter, err := t.limiter.Acquire(triage.Request{Class: class, Deadline: l.deadline - l.way}, w.now)
	switch {
	case err != nil:
		w.reply(l, false)
	case waiter == nil:
		run()
	default:
		l.waiter = &waitingRequest{waiter, func(err error) {
			if err != nil {
				w.reply(l, false)
				return
			}
			run()
		}}
		t.waiting = append(t.waiting, l.waiter)
		w.expire(t, l.waiter)
	}
	w.deliver(t)
}

// hedgeFigures is the result of a run.
type hedgeFigures struct {
	p50, p99, p999 time.Duration
	inTime         float64 // share of the requests
	busy           time.Duration
	copies         float64 // share of the requests
}

func (f *hedgeFigures) add(g hedgeFigures) {
	f.inTime += g.inTime
	f.copies += g.copies
	f.p50 += g.p50
	f.p99 += g.p99
	f.p999 += g.p999
}

func (f hedgeFigures) String() string {
	return fmt.Sprintf("in time %.4f, p50 %v, p99 %v, p99.9 %v, copies %.4f", f.inTime,
		f.p50.Round(time.Millisecond), f.p99.Round(time.Millisecond), f.p999.Round(time.Millisecond), f.copies)
}

func (w *hedgeWorld) run(load float64) hedgeFigures {
	rng := rand.New(rand.NewPCG(w.seed, 8))
	const work = 200 * time.Millisecond
	capacity := 0.0
	for _, t := range w.targets {
		capacity += unevenSlots * t.speed / work.Seconds()
	}
	capacity /= 1 + (hedgeTail-1)*w.tail
	var next func()
	next = func() {
		w.count++
		node := hedgeEvery * rng.IntN(unevenNodes/hedgeEvery)
		w.begin(&hedged{number: w.count, request: request{
			node: node, begin: w.now, deadline: w.now + w.limit,
			work: time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(work)),
		}})
		w.after(time.Duration(rng.ExpFloat64()/(load*capacity)*float64(time.Second)), next)
	}
	w.after(0, next)
	for w.events[0].at < hedgeEnd {
		e := heap.Pop(&w.events).(moment)
		w.clock.now = w.clock.now.Add(e.at - w.now)
		w.now = e.at
		e.do()
	}
	slices.Sort(w.answers)
	n := len(w.answers)
	return hedgeFigures{
		p50: w.answers[n/2], p99: w.answers[n*99/100], p999: w.answers[n*999/1000],
		inTime: 1 - float64(w.late)/float64(n), busy: w.busy, copies: float64(w.copies) / float64(n),
	}
}

// Guards against copies that do not help where targets are slow by chance, that cost more than
// their share, or that are sent while overload lasts. Copies are compared with a run that
// decides about them and sends none: decisions draw random numbers, and this alone changes the
// share of the requests in time by up to 0.008 under overload.
func TestHedgedTails(t *testing.T) {
	const share = 0.05
	for _, sc := range []struct {
		name     string
		load     float64
		tail     float64
		inherent bool
		limit    time.Duration
		helps    bool
	}{
		{"0.1 % slow", 0.5, 0.001, false, unevenDeadline, false},
		{"1 % slow", 0.5, 0.01, false, unevenDeadline, true},
		{"3 % slow", 0.5, 0.03, false, unevenDeadline, true},
		{"1 % slow at any target", 0.5, 0.01, true, unevenDeadline, false},
		{"0.1 % slow, 3 s", 0.5, 0.001, false, 3 * time.Second, false},
		{"1 % slow, 3 s", 0.5, 0.01, false, 3 * time.Second, true},
		{"3 % slow, 3 s", 0.5, 0.03, false, 3 * time.Second, true},
		{"overload", 1.4, 0.01, false, unevenDeadline, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var none, on hedgeFigures // sums
			for _, seed := range []uint64{11, 12} {
				run := func(share float64, withheld bool) hedgeFigures {
					w := newHedgeWorld(seed, sc.tail, share, sc.inherent)
					w.withheld, w.limit = withheld, sc.limit
					return w.run(sc.load)
				}
				off, withheld, sent := run(0, false), run(share, true), run(share, false)
				t.Logf("seed %d: off: %v", seed, off)
				t.Logf("seed %d: decided, none sent: %v, work %+.2f %%", seed, withheld, 100*(float64(withheld.busy)/float64(off.busy)-1))
				t.Logf("seed %d: on:  %v, work %+.2f %%", seed, sent, 100*(float64(sent.busy)/float64(off.busy)-1))
				none.add(withheld)
				on.add(sent)
				if sent.copies > share || float64(sent.busy) > (1+share)*float64(withheld.busy) {
					t.Errorf("seed %d: copies of %.4f of the requests, and work of %v, without copies %v", seed, sent.copies, sent.busy, withheld.busy)
				}
			}
			if sc.helps && (on.inTime <= none.inTime || on.p99 >= none.p99) {
				t.Errorf("copies do not help: sums %v, without copies %v", on, none)
			}
			if sc.load > 1 && (on.copies > 0 || on.inTime < none.inTime) {
				t.Errorf("overload: sums %v, without copies %v", on, none)
			}
		})
	}
}
