// Package load sends requests to running nodes as callers would do, and checks
// what the callers were told against what the targets ran.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"burdocklift/emul"
	"burdocklift/proto"
)

const (
	// DefaultAttempts bounds how often a caller sends one request.
	DefaultAttempts = 8
	// DefaultDeadline is the time that one attempt has at the nodes.
	DefaultDeadline = 2 * time.Second
	// grace is how much longer than the deadline a caller waits for the outcome.
	grace       = 3 * time.Second
	backoffBase = 50 * time.Millisecond
	backoffMax  = time.Second
	// answerLimit is one byte more than the largest answer that nodes pass on.
	answerLimit = 1<<20 + 1
)

// Request is a request of a caller.
type Request struct {
	Class    string
	Method   string
	Path     string
	Header   http.Header
	Body     string
	Deadline time.Duration // zero means DefaultDeadline
	// Once says that the request must run at most once. ID is its idempotency
	// key; if it is empty, Do makes one.
	Once bool
	ID   string
	// Entry is the index of the node to which the first attempt goes. Later
	// attempts go to the nodes that follow.
	Entry int
	// Attempts bounds the attempts; zero means DefaultAttempts.
	Attempts int
}

// Attempt is what the caller was told about one attempt.
type Attempt struct {
	ID      string // unique
	Outcome proto.Outcome
	Reason  string
	Status  int
}

// Result is a request with the outcome of its last attempt.
type Result struct {
	Request  Request
	Due      time.Time
	Latency  time.Duration // since Due, so that a late start counts
	Attempts []Attempt
	Body     []byte
	Crossed  bool // the answer belongs to another request
}

// Last returns the last attempt.
func (r *Result) Last() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{Outcome: proto.NotRun, Reason: "not sent"}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// Caller sends requests to nodes and resends those without an answer.
type Caller struct {
	entries []string
	client  *http.Client
	count   atomic.Uint64
	run     string // keeps attempts of two callers apart
}

// NewCaller returns a caller that knows the caller addresses of some nodes.
func NewCaller(entries []string) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{
		entries: entries,
		run:     strconv.FormatUint(rand.Uint64(), 36),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
		}},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request that was due at a time until it has an answer or an
// outcome that a resend does not change, or until the attempts are used up.
func (c *Caller) Do(ctx context.Context, due time.Time, r Request) Result {
	if r.Once && r.ID == "" {
		r.ID = uuid.Must(uuid.NewV7()).String()
	}
	res := Result{Request: r, Due: due}
	limit := r.Attempts
	if limit <= 0 {
		limit = DefaultAttempts
	}
	name := r.ID
	if name == "" {
		name = c.run + "-" + strconv.FormatUint(c.count.Add(1), 10)
	}
	for n := range limit {
		a := Attempt{ID: fmt.Sprintf("%s/%s-%d", name, c.run, c.count.Add(1))}
		body, err := c.attempt(ctx, &r, n, &a)
		if err != nil && a.Reason == "" {
			a.Reason = err.Error()
		}
		res.Attempts = append(res.Attempts, a)
		res.Body = body
		if a.Outcome == proto.Answered {
			res.Crossed = crossed(body, name)
			break
		}
		if !resend(a) || n == limit-1 || !sleep(ctx, n) {
			break
		}
	}
	res.Latency = time.Since(due)
	return res
}

// resend reports whether another attempt may end better.
func resend(a Attempt) bool {
	return a.Outcome == proto.Unknown || a.Status == 0 ||
		a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// sleep waits before the next attempt: exponential backoff with full jitter.
func sleep(ctx context.Context, attempt int) bool {
	d := min(backoffBase<<min(attempt, 10), backoffMax)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(rand.N(d) + time.Millisecond):
		return true
	}
}

// opaqueBody hides the body's type from net/http, which would otherwise send a
// request a second time by itself when a reused connection is lost.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

func (c *Caller) attempt(ctx context.Context, r *Request, n int, a *Attempt) ([]byte, error) {
	a.Outcome = proto.NotRun
	deadline := r.Deadline
	if deadline <= 0 {
		deadline = DefaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+grace)
	defer cancel()
	url := "http://" + c.entries[(r.Entry+n)%len(c.entries)] + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, url, opaqueBody{strings.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(proto.HeaderDeadline, deadline.String())
	req.Header.Set(emul.HeaderAttempt, a.ID)
	if r.ID != "" {
		req.Header.Set(proto.HeaderID, r.ID)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			a.Outcome = proto.Unknown
		}
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status = resp.StatusCode
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		a.Outcome = proto.Unknown
		return nil, err
	}
	a.Outcome = proto.Outcome(resp.Header.Get(proto.HeaderOutcome))
	a.Reason = resp.Header.Get(proto.HeaderReason)
	switch a.Outcome {
	case proto.Answered, proto.NotRun, proto.Unknown:
		return body, nil
	}
	a.Outcome = proto.Unknown
	return body, errors.New("response states no outcome")
}

// crossed reports whether an answer of an emulated target belongs to another
// request. Answers of other targets cannot be judged.
func crossed(body []byte, name string) bool {
	var a struct {
		Attempt string `json:"attempt"`
	}
	if json.Unmarshal(body, &a) != nil || a.Attempt == "" {
		return false
	}
	owner, _, _ := strings.Cut(a.Attempt, "/")
	return owner != name
}
