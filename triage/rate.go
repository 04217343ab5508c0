package triage

import (
	"math"
	"time"
)

const (
	// minRate is the rate at which a target is still tried that wants no requests at all, as
	// only an answer tells that it takes requests again. Per second.
	minRate = 0.25
	// burstTime is the time for which starts that were not used can be made up for.
	burstTime = 250 * time.Millisecond
)

// bucket is a token bucket that limits how often requests start. The zero value does not
// limit.
type bucket struct {
	rate   float64 // per second; 0 for no limit
	tokens float64
	filled time.Duration // when tokens was computed
}

// set changes the rate. The tokens of a bucket that did not limit are a full burst.
func (b *bucket) set(rate float64, now time.Duration) {
	if rate <= 0 {
		*b = bucket{}
		return
	}
	first := b.rate == 0
	b.fill(now)
	b.rate = max(rate, minRate)
	b.tokens = min(b.tokens, b.burst())
	if first {
		b.tokens = b.burst()
	}
}

func (b *bucket) burst() float64 { return 1 + b.rate*burstTime.Seconds() }

func (b *bucket) fill(now time.Duration) {
	if now > b.filled {
		b.tokens = min(b.burst(), b.tokens+b.rate*(now-b.filled).Seconds())
		b.filled = now
	}
}

// take takes a token, or returns false if there is none.
func (b *bucket) take(now time.Duration) bool {
	if b.rate == 0 {
		return true
	}
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until a request with a number of others ahead of it finds a token.
func (b *bucket) wait(ahead float64, now time.Duration) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.fill(now)
	// Rounded up, so that the token is there after the wait.
	return time.Duration(math.Ceil(max(0, ahead+1-b.tokens) / b.rate * float64(time.Second)))
}

// SetRate limits how many requests start in a second, whatever slots are free; 0 ends the
// limit.
func (l *Limiter) SetRate(perSecond float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts.set(perSecond, now)
	l.returns = 0
	if perSecond <= 0 {
		l.startLoad = load{}
	}
	l.dispatch(now)
}

// Rate returns the limit of starts in a second, or 0.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts.rate
}

// Dispatch starts the waiting requests that may start by now. It returns the time until
// the next one may, as far as that depends on the rate, or zero.
func (l *Limiter) Dispatch(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatch(now)
	if len(l.queue) == 0 {
		return 0
	}
	return l.startWait(0, now)
}

// returnTime returns the time after which the caller of a request that the rate refuses finds
// a token if those that were refused before it return as they were told. Callers that will
// have given up by then do not count.
func (l *Limiter) returnTime(r Request, now time.Duration) time.Duration {
	earliest := now + l.startWait(len(l.queue), now)
	at := max(l.returns+time.Duration(float64(time.Second)/l.startRate()), earliest)
	if at < r.Deadline {
		l.returns = at
	}
	return at - now
}
