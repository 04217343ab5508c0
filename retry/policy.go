package retry

import (
	"cmp"
	"time"

	"burdocklift/proto"
)

// DefaultMaxAttempts is the greatest number of attempts of one request.
const DefaultMaxAttempts = 3

// Reason says why an attempt is retried or not.
type Reason string

// The reasons of a Decision.
const (
	Repeat            Reason = "repeat"   // the request may be attempted again
	Answered          Reason = "answered" // the target answered; the answer is final, whatever its status
	NotIdempotent     Reason = "once"     // the request may have run and is not idempotent
	AttemptsExhausted Reason = "attempts" // the greatest number of attempts is reached
	DeadlineTooClose  Reason = "deadline" // another attempt would not end before the deadline
	BudgetExhausted   Reason = "budget"   // too few tokens are left in the budget
	InvalidOutcome    Reason = "unclear"  // the outcome is not one of those in package proto
)

// Attempt describes an attempt that has ended.
type Attempt struct {
	Number     int // counted from 1
	Outcome    proto.Outcome
	Idempotent bool // the request may run more than once
	// Remaining is the time until the deadline. Requests without a deadline set NoDeadline.
	Remaining  time.Duration
	NoDeadline bool
	Expected   time.Duration // usual latency of an attempt of this class, zero if unknown
}

// Decision says whether to retry a request, and after which delay.
type Decision struct {
	Reason Reason
	Delay  time.Duration
}

// ShouldRetry reports whether to retry the request.
func (d Decision) ShouldRetry() bool { return d.Reason == Repeat }

// Policy decides which requests of one class are retried. The zero value uses the
// default budget, backoff and number of attempts. It is safe for concurrent use.
type Policy struct {
	budget      *Budget
	backoff     *Backoff
	maxAttempts int

	defaultBudget  Budget
	defaultBackoff Backoff
}

// NewPolicy returns a policy with the given budget, backoff and greatest number
// of attempts. Nil and zero stand for the defaults.
func NewPolicy(budget *Budget, backoff *Backoff, maxAttempts int) *Policy {
	return &Policy{budget: budget, backoff: backoff, maxAttempts: maxAttempts}
}

// Budget returns the budget of the class, which its retries and hedges share.
func (p *Policy) Budget() *Budget { return cmp.Or(p.budget, &p.defaultBudget) }

// Decide returns whether a request is retried after an attempt that has ended. It
// takes a token from the budget only if all other conditions hold.
func (p *Policy) Decide(a Attempt) Decision {
	switch a.Outcome {
	case proto.Answered:
		return Decision{Reason: Answered}
	case proto.NotRun:
	case proto.Unknown:
		if !a.Idempotent {
			return Decision{Reason: NotIdempotent}
		}
	default:
		return Decision{Reason: InvalidOutcome}
	}
	if a.Number >= cmp.Or(p.maxAttempts, DefaultMaxAttempts) {
		return Decision{Reason: AttemptsExhausted}
	}
	delay := cmp.Or(p.backoff, &p.defaultBackoff).Delay(a.Number)
	if !a.NoDeadline && delay+a.Expected >= a.Remaining {
		return Decision{Reason: DeadlineTooClose}
	}
	if !p.Budget().Allow() {
		return Decision{Reason: BudgetExhausted}
	}
	return Decision{Reason: Repeat, Delay: delay}
}
