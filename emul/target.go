package emul

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdocklift/proto"
)

// announceInterval is how often a target announces itself.
const announceInterval = time.Second

// HeaderAttempt carries a caller's unique name of one attempt to the target's
// journal, so that a test can tell what ran.
const HeaderAttempt = "Emul-Attempt"

// PoisonMark crashes the target that runs a request with it in path or body.
const PoisonMark = "poison-pill"

const (
	defaultColdFactor = 5
	defaultCrash      = time.Second
)

// TargetConfig describes a target.
type TargetConfig struct {
	Service      string
	Slots        int
	Connections  int
	ChecksGrants bool
	// Work is the mean service time of a request.
	Work time.Duration
	// Cold is the time after a start during which requests take ColdFactor times
	// as long (5 if it is zero).
	Cold       time.Duration
	ColdFactor float64
	// Shed is the number of waiting requests from which on new ones are refused
	// with status 503; zero means never.
	Shed int
	// ReportLag is how old the reported load may be. ReportFactor multiplies it;
	// zero means 1. Misleads reports a frozen or draining target as healthy.
	ReportLag    time.Duration
	ReportFactor float64
	Misleads     bool
	// Crash is how long the target is away after a crash (1 s if it is zero).
	Crash time.Duration
	Seed  uint64
}

// Health is the body of GET /health.
type Health struct {
	Healthy bool  `json:"healthy"`
	Active  int64 `json:"active"`
	Slots   int   `json:"slots"`
}

// Target is a stand-in for a server that owns keys. It runs at most Slots
// requests at a time, keeps a counter for each key, and records every run.
type Target struct {
	cfg     TargetConfig
	slots   chan struct{}
	journal journal

	mu       sync.Mutex
	rng      *rand.Rand
	epochs   map[string]uint64
	counts   map[string]int
	started  time.Time
	frozen   chan struct{} // closed when the target thaws; nil if it is not frozen
	draining bool
	down     bool   // between a crash and the return
	onCrash  func() // cuts off the connections
	reported Health
	reportAt time.Time

	active  atomic.Int64 // requests waiting or running
	refused atomic.Int64
	shed    atomic.Int64
}

// NewTarget returns a target.
func NewTarget(cfg TargetConfig) *Target {
	if cfg.Slots == 0 {
		cfg.Slots = 12
	}
	if cfg.Connections == 0 {
		cfg.Connections = 110
	}
	if cfg.ColdFactor == 0 {
		cfg.ColdFactor = defaultColdFactor
	}
	if cfg.ReportFactor == 0 {
		cfg.ReportFactor = 1
	}
	if cfg.Crash == 0 {
		cfg.Crash = defaultCrash
	}
	t := &Target{
		cfg:   cfg,
		slots: make(chan struct{}, cfg.Slots),
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	t.restart()
	return t
}

// restart begins a new life of the target without its earlier state.
func (t *Target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epochs = make(map[string]uint64)
	t.counts = make(map[string]int)
	t.started = time.Now()
	t.down = false
}

// Journal returns what ran here. It outlives crashes, as it belongs to the
// experiment and not to the target.
func (t *Target) Journal() Journal { return t.journal.snapshot() }

// Runs returns the number of requests that ran.
func (t *Target) Runs() int { return t.journal.count() }

// Ran returns how often each idempotency key ran here, for comparison across
// targets.
func (t *Target) Ran() map[string]int { return t.Journal().IDs }

// Refused returns the number of requests refused for their grant.
func (t *Target) Refused() int64 { return t.refused.Load() }

// Shed returns the number of requests refused for the load.
func (t *Target) Shed() int64 { return t.shed.Load() }

// Freeze makes the target stop working until Thaw.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen == nil {
		t.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze; frozen requests go on as if nothing happened.
func (t *Target) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen != nil {
		close(t.frozen)
		t.frozen = nil
	}
}

// Drain makes the target refuse new requests with status 503 and announce that
// it leaves. Requests in flight end.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Crash cuts off all connections and loses the state. A Server brings the
// target back.
func (t *Target) Crash() {
	t.mu.Lock()
	crash := t.onCrash
	if t.down {
		crash = nil
	}
	t.down = true
	t.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// answer is the body of a target's response.
type answer struct {
	Key     string `json:"key,omitempty"`
	ID      string `json:"id,omitempty"`
	Count   int    `json:"count"`
	Echo    string `json:"echo,omitempty"`
	Attempt string `json:"attempt,omitempty"`
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		t.serveHealth(w, r)
		return
	case "/emul/journal":
		writeJSON(w, t.Journal())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.thawed(r.Context()) {
		return
	}
	waiting := int(t.active.Add(1)) - t.cfg.Slots
	defer t.active.Add(-1)
	if t.cfg.Shed > 0 && waiting > t.cfg.Shed || t.isDraining() {
		t.shed.Add(1)
		w.Header().Set(proto.HeaderOutcome, string(proto.NotRun))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "target takes no more requests", http.StatusServiceUnavailable)
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	a, ok := t.run(r, body)
	if !ok {
		t.refused.Add(1)
		w.Header().Set(proto.HeaderOutcome, string(proto.NotRun))
		http.Error(w, "grant is not valid", http.StatusPreconditionFailed)
		return
	}
	if strings.Contains(r.URL.Path, PoisonMark) || bytes.Contains(body, []byte(PoisonMark)) {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if d := t.workTime(); d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	if !t.thawed(r.Context()) {
		return
	}
	writeJSON(w, a)
}

// serveHealth reports the load, late or falsely if the target is set up so.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !t.cfg.Misleads && !t.thawed(r.Context()) {
		return
	}
	t.mu.Lock()
	if now := time.Now(); t.reportAt.IsZero() || now.Sub(t.reportAt) >= t.cfg.ReportLag {
		t.reportAt = now
		t.reported = Health{
			Healthy: t.cfg.Misleads || !t.draining,
			Active:  int64(float64(t.active.Load()) * t.cfg.ReportFactor),
			Slots:   t.cfg.Slots,
		}
	}
	h := t.reported
	t.mu.Unlock()
	writeJSON(w, h)
}

func (t *Target) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *Target) thawed(ctx context.Context) bool {
	t.mu.Lock()
	frozen := t.frozen
	t.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-frozen:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) workTime() time.Duration {
	if t.cfg.Work <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.rng.ExpFloat64() * float64(t.cfg.Work)
	if time.Since(t.started) < t.cfg.Cold {
		d *= t.cfg.ColdFactor
	}
	return time.Duration(d)
}

// run checks the grant and executes the request. A target that is down runs
// nothing.
func (t *Target) run(r *http.Request, body []byte) (answer, bool) {
	key := r.Header.Get(proto.HeaderKey)
	epoch, _ := strconv.ParseUint(r.Header.Get(proto.HeaderEpoch), 10, 64)
	end, _ := strconv.ParseInt(r.Header.Get(proto.HeaderGrantEnd), 10, 64)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		panic(http.ErrAbortHandler)
	}
	if t.cfg.ChecksGrants && key != "" {
		if epoch < t.epochs[key] || time.Now().UnixMilli() >= end {
			return answer{}, false
		}
		t.epochs[key] = epoch
	}
	t.counts[key]++
	a := answer{
		Key: key, ID: r.Header.Get(proto.HeaderID), Count: t.counts[key], Echo: string(body),
		Attempt: r.Header.Get(HeaderAttempt),
	}
	t.journal.add(a.ID, a.Attempt)
	return a, true
}

// state reports whether the target announces itself, and as leaving.
func (t *Target) state() (announces, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.frozen == nil && !t.down, t.draining
}

// Announce tells the node at a peer address about this target until the
// context ends, and says at the end that it leaves.
func (t *Target) Announce(ctx context.Context, node, address string) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if announces, leaving := t.state(); announces {
			// The node may not be up yet; the next announcement tries again.
			_ = t.announce(ctx, node, address, leaving)
		}
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceInterval)
			defer cancel()
			return t.announce(last, node, address, true)
		case <-ticker.C:
		}
	}
}

func (t *Target) announce(ctx context.Context, node, address string, leaving bool) error {
	b, err := json.Marshal(proto.Announcement{
		Service: t.cfg.Service, Address: address, Slots: t.cfg.Slots, Connections: t.cfg.Connections,
		ChecksGrants: t.cfg.ChecksGrants, Leaving: leaving,
	})
	if err != nil {
		return fmt.Errorf("announce target: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+node+proto.PathTarget, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("announce target: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announce target to %s: %w", node, err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announce target to %s: status %s", node, resp.Status)
	}
	return nil
}
