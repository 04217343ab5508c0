package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocklift/clock"
	"burdocklift/emul"
	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/relay"
	"burdocklift/rules"
	"burdocklift/span"
)

const (
	desk              = "desk"
	heartbeatInterval = 870 * time.Millisecond
	evacuate          = "evacuate/"
	clockDriftFactor  = 1.02 // the clock of a target may run 2% slow
)

// site is a set of nodes and targets on top of an emulated store and network.
type site struct {
	t      *testing.T
	ctx    context.Context
	clock  clock.Clock
	ledger *emul.Ledger
	net    *emul.Net
	log    *slog.Logger
	// crashLog is that of the nodes that are started next.
	crashLog fleet.CrashLog

	// heartbeatDelay returns how long a heartbeat is held up on its way; nil for not at all.
	// The target gets no reply to one that is.
	heartbeatDelay func() time.Duration

	starting   sync.Mutex // held while missing nodes are started
	mu         sync.Mutex
	faults     emul.LedgerFaults
	nodes      map[string]*node
	targets    map[string]*target
	timers     []*time.Timer
	epochs     [64]map[string]uint64 // highest epoch of each incarnation, by block of 1,024 keys
	violations []string
}

type node struct {
	name  string
	fleet *fleet.Fleet
	stop  context.CancelFunc
	ended chan struct{}
}

func newSite(ctx context.Context, t *testing.T, names []string) *site {
	return newSiteWithLog(ctx, t, names, slog.DiscardHandler)
}

func newSiteWithLog(ctx context.Context, t *testing.T, names []string, h slog.Handler) *site {
	return newSiteInEra(ctx, t, names, h, 0)
}

// newSiteInEra returns a site whose store names an era, unless that is 0.
func newSiteInEra(ctx context.Context, t *testing.T, names []string, h slog.Handler, era uint64) *site {
	w := &site{
		t: t, ctx: ctx, clock: clock.NewBubble(), log: slog.New(h),
		ledger: emul.NewLedger(4 * time.Millisecond), net: emul.NewNet(),
		nodes: make(map[string]*node), targets: make(map[string]*target),
	}
	w.ledger.SetEra(era)
	w.ledger.Put("rules", nil)
	for _, name := range names {
		w.startNode(name)
		w.startTarget(name)
	}
	return w
}

// decodeRules returns rules whose version is the first byte. The second is the rate that a cold
// target tolerates if it is below the letters; else the others are the regions of a route, one
// letter each, and a bar begins the next route.
func decodeRules(b []byte) (*rules.Set, error) {
	version, coldRate := uint64(1), 0.0
	if len(b) > 0 {
		version = uint64(b[0])
	}
	if len(b) > 1 && b[1] < 'A' {
		coldRate = float64(b[1])
	}
	var routes []rules.Route
	if len(b) > 1 && b[1] >= 'A' {
		for i, regions := range strings.Split(string(b[1:]), "|") {
			routes = append(routes, rules.Route{
				Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Regions: strings.Split(regions, ""),
				Services: []rules.WeightedService{{Service: desk, Weight: 1}},
			})
		}
	}
	return rules.New(version, rules.Limits{}, routes, []rules.Service{{Name: desk, Sharded: true, ColdRate: coldRate}})
}

func (w *site) startNode(name string) { w.startNodeAt(name, name) }

func (w *site) startNodeAt(name, address string) {
	ctx, cancel := context.WithCancel(w.ctx)
	peers := peer.New(w.clock)
	peers.SetDialer(w.net.Dialer(address))
	ledger := relay.New(w.ledger.Client(name), peers, w.clock)
	f := fleet.New(fleet.Config{
		Name: name, Address: address, DataCentre: "dc-" + name[:1], Region: name[:1], Store: ledger, Health: ledger.Health(), Peers: peers,
		Clock: w.clock, Log: w.log, RulesKey: "rules", Rules: decodeRules, EvacuationPrefix: evacuate,
		ColdFactor: 1.5, ColdSlack: 8,
	})
	ledger.SetRelays(f.PeerAddresses)
	f.SetCrashLog(w.crashLog)
	n := &node{name: name, fleet: f, stop: cancel, ended: make(chan struct{})}
	listener := w.net.Listen(address)
	ends := make(chan struct{}, 2)
	go func() { _ = peers.Run(ctx, listener); ends <- struct{}{} }()
	go func() { _ = f.Run(ctx); ends <- struct{}{} }()
	go func() { <-ends; <-ends; close(n.ended) }()
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
}

// killNode ends a node without a graceful stop.
func (w *site) killNode(name string) {
	w.mu.Lock()
	n := w.nodes[name]
	delete(w.nodes, name)
	w.mu.Unlock()
	if n != nil {
		n.stop()
		<-n.ended
	}
}

func (w *site) node(name string) *fleet.Fleet {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.nodes[name]; n != nil {
		return n.fleet
	}
	return nil
}

// target emulates the target beside a node.
type target struct {
	w     *site
	node  string
	inc   span.Incarnation
	stop  context.CancelFunc
	ended chan struct{}

	// Guarded by the lock of the site.
	sequence  uint64
	leaving   bool
	silent    bool
	coldUntil time.Duration
	up        bool
	holds     []fleet.KeyRange
	revoked   []fleet.KeyRange // to be released when the work ends
	workEnds  time.Duration
	released  []fleet.ReleasedRange
	holdUntil time.Duration
	tokens    int
}

func (w *site) startTarget(node string) *target { return w.startTargetAs(node, "target-"+node) }

// startTargetAs starts a target, and ends one that another step of a schedule has started: a
// host has one at a time.
func (w *site) startTargetAs(node, id string) *target {
	w.crashTarget(node)
	ctx, cancel := context.WithCancel(w.ctx)
	t := &target{
		w: w, node: node, up: true, stop: cancel, ended: make(chan struct{}),
		inc: span.Incarnation{Target: id, StartedAt: time.Now().UnixMilli()},
	}
	w.mu.Lock()
	w.targets[node] = t
	w.mu.Unlock()
	go t.run(ctx)
	return t
}

// crashTarget ends a target, which then holds nothing.
func (w *site) crashTarget(node string) {
	w.mu.Lock()
	t := w.targets[node]
	delete(w.targets, node)
	if t != nil {
		t.up, t.holds, t.revoked = false, nil, nil
	}
	w.mu.Unlock()
	if t != nil {
		t.stop()
		<-t.ended
	}
}

func (t *target) run(ctx context.Context) {
	defer close(t.ended)
	for {
		releasing := t.heartbeat(ctx)
		pause := heartbeatInterval
		if releasing {
			pause = 100 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat sends a heartbeat and applies the reply. It reports whether keys are still to be
// released.
func (t *target) heartbeat(ctx context.Context) bool {
	w := t.w
	w.mu.Lock()
	t.expire()
	if w.clock.Elapsed() >= t.workEnds {
		for _, k := range t.revoked {
			t.tokens++
			t.released = append(t.released, fleet.ReleasedRange{From: k.From, To: k.To, Token: fmt.Sprint(t.inc.Target, "-", t.tokens)})
		}
		t.revoked = nil
	}
	t.sequence++
	hb := fleet.Heartbeat{
		Target:        fleet.Target{Incarnation: t.inc, Service: desk, Slots: 12, Leaving: t.leaving},
		ColdRemaining: max(0, t.coldUntil-w.clock.Elapsed()),
		Sequence:      t.sequence, Holds: append(slices.Clone(t.holds), t.revoked...), Released: slices.Clone(t.released),
	}
	silent := t.silent
	delay := time.Duration(0)
	if w.heartbeatDelay != nil {
		delay = w.heartbeatDelay()
	}
	w.mu.Unlock()
	if delay > 0 && !silent {
		w.after(delay, func() {
			if f := w.node(t.node); f != nil {
				_, _ = f.Heartbeat(w.ctx, hb) // the target waits for the reply no more
			}
		})
		silent = true
	}
	if f := w.node(t.node); f != nil && !silent {
		sent := w.clock.Elapsed()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		reply, err := f.Heartbeat(callCtx, hb)
		if err == nil && callCtx.Err() == nil {
			t.apply(reply, sent, len(hb.Released))
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(t.revoked) > 0 || len(t.released) > 0
}

func (t *target) expire() {
	if t.w.clock.Elapsed() >= t.holdUntil {
		t.holds = nil
	}
}

func (t *target) apply(r fleet.HeartbeatReply, sent time.Duration, reported int) {
	w := t.w
	w.mu.Lock()
	defer w.mu.Unlock()
	t.released = t.released[reported:]
	if r.Hold == 0 || !t.up {
		return
	}
	t.holdUntil = sent + time.Duration(float64(r.Hold)*clockDriftFactor)
	if t.holdUntil <= w.clock.Elapsed() {
		t.holds = nil
		return
	}
	var next []fleet.KeyRange
	for _, g := range r.Grants {
		if w.accepts(t, g.KeyRange) {
			next = append(next, g.KeyRange)
		}
	}
	for _, h := range t.holds {
		t.revoked = append(t.revoked, subtract(h, next)...)
	}
	t.holds = next
	for _, k := range next {
		w.checkGrant(t, k)
	}
}

// subtract returns the parts of a range that are in none of the others.
func subtract(k fleet.KeyRange, others []fleet.KeyRange) []fleet.KeyRange {
	parts := []fleet.KeyRange{k}
	for _, o := range others {
		var left []fleet.KeyRange
		for _, p := range parts {
			if o.To < p.From || o.From > p.To {
				left = append(left, p)
				continue
			}
			if p.From < o.From {
				left = append(left, fleet.KeyRange{From: p.From, To: o.From - 1, Epoch: p.Epoch})
			}
			if p.To > o.To {
				left = append(left, fleet.KeyRange{From: o.To + 1, To: p.To, Epoch: p.Epoch})
			}
		}
		parts = left
	}
	return parts
}

// accepts reports whether the target takes a range, which it refuses if it has seen a
// higher epoch on it.
func (w *site) accepts(t *target, k fleet.KeyRange) bool {
	id := fmt.Sprint(t.inc)
	for block := k.From / 1024; block <= k.To/1024; block++ {
		if k.From <= block*1024 && block*1024 <= k.To && w.epochs[block][id] > k.Epoch {
			return false
		}
	}
	return true
}

// checkGrant records a violation: keys held by two targets, or an epoch that is not above
// those of other incarnations.
func (w *site) checkGrant(t *target, k fleet.KeyRange) {
	for _, o := range w.targets {
		if o == t || !o.up || w.clock.Elapsed() >= o.holdUntil && len(o.revoked) == 0 {
			continue
		}
		held := o.revoked
		if w.clock.Elapsed() < o.holdUntil {
			held = append(slices.Clone(held), o.holds...)
		}
		for _, h := range held {
			if h.From <= k.To && k.From <= h.To {
				w.violations = append(w.violations, fmt.Sprintf("%v: keys %d to %d of epoch %d at %s, %d to %d of epoch %d at %s",
					w.clock.Elapsed(), k.From, k.To, k.Epoch, t.inc.Target, h.From, h.To, h.Epoch, o.inc.Target))
			}
		}
	}
	id := fmt.Sprint(t.inc)
	for block := (k.From + 1023) / 1024; block*1024 <= k.To; block++ {
		if w.epochs[block] == nil {
			w.epochs[block] = make(map[string]uint64)
		}
		for other, epoch := range w.epochs[block] {
			if other != id && epoch >= k.Epoch {
				w.violations = append(w.violations, fmt.Sprintf("%v: key %d with epoch %d at %s, %d at %s",
					w.clock.Elapsed(), block*1024, k.Epoch, id, epoch, other))
			}
		}
		w.epochs[block][id] = max(w.epochs[block][id], k.Epoch)
	}
}

// heldKeys returns how many keys are held by their owner.
func (w *site) heldKeys() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.targets {
		t.expire()
		for _, k := range t.holds {
			n += k.To - k.From + 1
		}
	}
	return n
}

func (w *site) setFaults(change func(f *emul.LedgerFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
	w.ledger.SetFaults(w.faults)
}

// after runs a step after a delay, unless the site is stopped before.
func (w *site) after(after time.Duration, step func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timers = append(w.timers, time.AfterFunc(after, step))
}

// stop ends all nodes and targets, as synctest waits for their goroutines.
func (w *site) stop() {
	w.ledger.Close()
	w.mu.Lock()
	for _, timer := range w.timers {
		timer.Stop()
	}
	var nodes []*node
	var targets []*target
	for _, n := range w.nodes {
		nodes = append(nodes, n)
	}
	for _, t := range w.targets {
		targets = append(targets, t)
	}
	w.mu.Unlock()
	for _, t := range targets {
		t.stop()
		<-t.ended
	}
	for _, n := range nodes {
		n.stop()
		<-n.ended
	}
}

// randomSeconds returns a random duration between two numbers of seconds.
func randomSeconds(r *rand.Rand, from, to float64) time.Duration {
	return time.Duration((from + r.Float64()*(to-from)) * float64(time.Second))
}
