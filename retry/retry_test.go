package retry

import (
	"math"
	"testing"
	"time"

	"burdocklift/proto"
	_ "burdocklift/seeds"

	"pgregory.net/rapid"
)

// Guards against a retry storm: in every period with at least 100 first
// attempts, there must be at most 1.2 times as many attempts in all.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		first, extra := []int{0}, []int{0} // sums after each step
		steps := rapid.SliceOfN(rapid.IntRange(-30, 60), 1, 60).Draw(t, "steps")
		for _, n := range steps {
			f, e := 0, 0
			for range max(n, 0) {
				b.RecordFirst()
				f++
			}
			for range max(-n, 0) {
				if b.Allow() {
					e++
				}
			}
			first = append(first, first[len(first)-1]+f)
			extra = append(extra, extra[len(extra)-1]+e)
		}
		for i := range first {
			for j := i + 1; j < len(first); j++ {
				f, e := first[j]-first[i], extra[j]-extra[i]
				if f >= 100 && float64(f+e) > 1.2*float64(f) {
					t.Fatalf("%d retries for %d first attempts, want at most 0.2 times as many", e, f)
				}
			}
		}
	})
}

// Guards against retries that multiply the load when all targets fail. The
// baseline retries up to the same number of attempts without a budget.
func TestAllFail(t *testing.T) {
	for _, n := range []int{100, 1000, 100000} {
		var p Policy
		attempts, baseline := 0, 0
		for range n {
			p.Budget().RecordFirst()
			for a := (Attempt{Number: 1, Outcome: proto.NotRun, NoDeadline: true}); ; a.Number++ {
				attempts++
				if !p.Decide(a).ShouldRetry() {
					break
				}
			}
			baseline += DefaultMaxAttempts
		}
		ratio := float64(attempts) / float64(n)
		t.Logf("%d first attempts: all attempts are %.3f times as many, without a budget %.3f", n, ratio, float64(baseline)/float64(n))
		if ratio > 1.2 {
			t.Errorf("ratio of all attempts to first attempts is %.3f, want at most 1.2", ratio)
		}
	}
}

// Guards against a second run of a request that is not idempotent, against a retry
// that can't end before the deadline, and against a token taken without a retry.
func TestDecide(t *testing.T) {
	ok := Attempt{Number: 1, Outcome: proto.NotRun, Remaining: 2 * time.Second, Expected: time.Millisecond}
	for name, c := range map[string]struct {
		change func(a *Attempt)
		want   Reason
	}{
		"not run":                 {func(*Attempt) {}, Repeat},
		"unknown, not idempotent": {func(a *Attempt) { a.Outcome = proto.Unknown }, NotIdempotent},
		"unknown, idempotent":     {func(a *Attempt) { a.Outcome, a.Idempotent = proto.Unknown, true }, Repeat},
		"answer":                  {func(a *Attempt) { a.Outcome, a.Idempotent = proto.Answered, true }, Answered},
		"no outcome":              {func(a *Attempt) { a.Outcome, a.Idempotent = "", true }, InvalidOutcome},
		"last attempt":            {func(a *Attempt) { a.Number = DefaultMaxAttempts }, AttemptsExhausted},
		"no time":                 {func(a *Attempt) { a.Remaining = a.Expected }, DeadlineTooClose},
		"no deadline, no time":    {func(a *Attempt) { a.Remaining, a.NoDeadline = 0, true }, Repeat},
		"deadline already passed": {func(a *Attempt) { a.Remaining = -time.Second }, DeadlineTooClose},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			a := ok
			c.change(&a)
			d := p.Decide(a)
			if d.Reason != c.want {
				t.Fatalf("reason is %s, want %s", d.Reason, c.want)
			}
			if taken := p.Budget().Counts().Allowed == 1; taken != d.ShouldRetry() {
				t.Fatalf("token taken: %v, for reason %s", taken, d.Reason)
			}
			for p.Budget().Allow() {
			}
			if d := p.Decide(a); d.ShouldRetry() {
				t.Fatal("request is retried although no token is left")
			}
		})
	}
}

// Guards against a delay that is raised to the limit although its double is still
// below the limit.
func TestMaxDelayBelowLimit(t *testing.T) {
	b, err := NewBackoff(time.Second, 3*time.Second, 0)
	if err != nil {
		t.Fatal(err)
	}
	for n, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		if got := b.MaxDelay(n + 1); got != want {
			t.Errorf("longest delay before retry %d is %v, want %v", n+1, got, want)
		}
	}
	b, err = NewBackoff(1, 3, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := b.MaxDelay(2); got != 2 {
		t.Errorf("longest delay before retry 2 is %v, want 2ns", got)
	}
}

// Guards against delays above the limit, overflow, and delays without full jitter.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "base"))
		limit := base * time.Duration(rapid.IntRange(1, 1000).Draw(t, "factor"))
		b, err := NewBackoff(base, limit, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.IntRange(1, 100).Draw(t, "attempt")
		want := limit
		if n < 30 {
			want = min(limit, base<<(n-1))
			if want < base { // overflow
				want = limit
			}
		}
		if got := b.MaxDelay(n); got != want {
			t.Fatalf("longest delay is %v, want %v", got, want)
		}
		if d := b.Delay(n); d < 0 || d > want {
			t.Fatalf("delay %v is outside of 0 to %v", d, want)
		}
	})
	var b Backoff
	low, high := 0, 0
	for range 1000 {
		if d := b.Delay(4); d < 20*time.Millisecond {
			low++
		} else if d > 60*time.Millisecond {
			high++
		}
	}
	if low < 150 || high < 150 { // 250 each are expected
		t.Fatalf("%d of 1000 delays are in the lowest quarter and %d in the highest, want at least 150 each", low, high)
	}
}

// Guards against hedges of requests that are not idempotent, hedges in an overloaded
// service or in one without measured latencies, and hedges without enough time or
// tokens.
func TestHedgeRules(t *testing.T) {
	var h Hedge
	var b Budget
	a := Attempt{Idempotent: true, Remaining: time.Second, Expected: time.Millisecond}
	if h.Allow(&b, a, 0) {
		t.Fatal("request is hedged before any latency was measured")
	}
	for range hedgeSamples {
		h.Observe(10 * time.Millisecond)
	}
	if d, ok := h.Delay(); !ok || d < 9*time.Millisecond || d > 11*time.Millisecond {
		t.Fatalf("delay before a hedge is %v, want about 10ms", d)
	}
	notIdempotent, late := a, a
	notIdempotent.Idempotent, late.Remaining = false, time.Millisecond
	if h.Allow(&b, notIdempotent, 0) || h.Allow(&b, late, 0) || h.Allow(&b, a, 1) {
		t.Fatal("request is hedged that is not idempotent, has too little time or meets an overloaded service")
	}
	n := 0
	for h.Allow(&b, a, 0) {
		n++
	}
	// A hedge after the mean latency costs just over 2 tokens, as the histogram
	// rounds up.
	if n != (MaxBurst-1)/2 {
		t.Fatalf("%d hedges from a full budget, want %d", n, (MaxBurst-1)/2)
	}
}

// Guards against copies that cost more than they gain: each condition alone must prevent one.
func TestWorthOfCopy(t *testing.T) {
	h := NewHedge(LateQuantile)
	for range hedgeSamples {
		h.Observe(10 * time.Millisecond)
	}
	for _, c := range []struct {
		want   Reason
		again  bool
		change func(a *Attempt, p *Prospect)
	}{
		{Repeat, false, func(*Attempt, *Prospect) {}},
		{TooEarly, true, func(_ *Attempt, p *Prospect) { p.Waited = 5 * time.Millisecond }},
		{NotIdempotent, false, func(a *Attempt, _ *Prospect) { a.Idempotent = false }},
		{SuspectCrash, false, func(_ *Attempt, p *Prospect) { p.Suspect = true }},
		{Overloaded, false, func(_ *Attempt, p *Prospect) { p.Overload = true }},
		{Overloaded, false, func(_ *Attempt, p *Prospect) { p.Load = math.Inf(1) }},
		{QueuedFirst, true, func(_ *Attempt, p *Prospect) { p.Queued = true }},
		{NoFreeTarget, true, func(_ *Attempt, p *Prospect) { p.Free = false }},
		{DeadlineTooClose, false, func(a *Attempt, _ *Prospect) { a.Remaining = 8 * time.Millisecond }},
		{NotSooner, true, func(_ *Attempt, p *Prospect) { p.Second = 40 * time.Millisecond }},
	} {
		a := Attempt{Idempotent: true, Remaining: time.Second}
		p := Prospect{Waited: 30 * time.Millisecond, Second: 8 * time.Millisecond, Free: true, Load: 0.5}
		c.change(&a, &p)
		got := h.Decide(a, p)
		if again := AskAgain(got, p) > 0; got != c.want || again != c.again {
			t.Errorf("%+v, %+v: %s, asked again: %v, want %s and %v", a, p, got, again, c.want, c.again)
		}
	}
}
