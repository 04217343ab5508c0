// Package agent assembles a node that runs on the platform, beside one target. All
// persistent state is in the platform's metadata store.
package agent

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"burdocklift/budget"
	"burdocklift/clock"
	"burdocklift/conf"
	"burdocklift/fleet"
	"burdocklift/hangup"
	"burdocklift/kernel"
	"burdocklift/peer"
	"burdocklift/platform"
	"burdocklift/relay"
	"burdocklift/serve"
	"burdocklift/store"
	"burdocklift/uplink"
)

const (
	// readHeaderTimeout bounds the reading of a request's headers. Rules ask for 3 s.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes idle connections. Rules ask for 15 s.
	idleTimeout = 30 * time.Second
	// defaultMaxBodyBytes is the size limit of a body in bytes until rules are known.
	defaultMaxBodyBytes = 1 << 20
	// headSlack is what the head of a request may be larger than the rules say, as
	// callers and nodes may count its size in different ways.
	headSlack = 1 << 10
	// lameDuckTime is how long a stopping node reports that it is not ready but still
	// serves requests. The readiness probe runs once a second, so two probes fail.
	lameDuckTime = 2500 * time.Millisecond
	// handoverTime is how long before the end of lameDuckTime the handover of the target's
	// keys begins. It covers a heartbeat of 0.87 s, requests in flight and two writes.
	handoverTime = 1300 * time.Millisecond
	// abortMargin is how long before the end of the drain requests in flight are
	// aborted, so that their responses are still written.
	abortMargin = 250 * time.Millisecond
	// responseMemoryShare is the part of a node's memory for responses that are read
	// from its target. A response is copied twice on its way to another node.
	responseMemoryShare = 8
	// memoryRetryAfter is the retry-after of a request for which there is no memory: slow
	// clients give way after a second without progress.
	memoryRetryAfter = time.Second
	// exitMargin is the part of the configured stop time that is left for the exit
	// of the process.
	exitMargin = 500 * time.Millisecond
)

// Agent is a running node.
type Agent struct {
	kernel      kernel.Kernel
	settings    conf.Agent
	clock       clock.Clock
	log         *slog.Logger
	fleet       *fleet.Fleet
	router      *serve.Router
	callers     *httpService
	listener    *limitedListener // of callers
	account     *budget.Account
	pace        pace
	uplink      *uplink.Scheduler
	reloader    *reloader
	inputErrors errorLog
	refusals    errorLog // of clients and connections over the limits
	stopping    atomic.Bool
	inFlight    gauge // requests of callers

	heartbeatsRefused atomic.Int64
}

// apply applies the settings that can change without a restart.
func (a *Agent) apply(s conf.Agent) {
	a.router.SetDrainPeriod(s.Limits.Drain)
}

// New opens the listeners of a node and registers its services. Run reloads the
// settings from the path when the file changes.
func New(s conf.Agent, path string, c clock.Clock, log *slog.Logger) (*Agent, error) {
	a := &Agent{settings: s, clock: c, log: log, inputErrors: errorLog{clock: c, log: log}, refusals: errorLog{clock: c, log: log}}
	a.reloader = &reloader{path: path, clock: c, log: log, initial: s, lastRead: s, apply: a.apply}
	a.uplink = uplink.New(s.Limits.Link, c)
	if s.Memory > 0 {
		a.account = budget.New(budget.Size(s.Memory), c)
	}
	a.pace = pace{clock: c, pause: s.Limits.Pause, rate: s.Limits.Rate}
	descriptors, err := files()
	if err != nil {
		return nil, err
	}
	peers := peer.New(c)
	peers.SetLimits(a.account, max(descriptors*peerFileEighths/8, fewConnections), func(reason error) {
		a.refusals.report(context.Background(), eventConnectionRefused, s.Addresses.Internal(), reason)
	})
	peers.SetUplink(a.uplink)
	peers.OnPanic(func(m peer.Method, reason any, stack []byte) {
		eventHandlerPanicked.Log(context.Background(), log, slog.Int("method", int(m)), slog.Any("reason", reason), slog.String("stack", string(stack)))
	})
	direct := store.NewCounted(platform.NewStore(s.Store), c, func(kind, outcome string, took time.Duration) {
		a.router.Metrics().Observe("store "+kind, "", outcome, took)
	})
	ledger := relay.New(direct, peers, c)
	a.fleet = fleet.New(fleet.Config{
		Name: s.Name, Address: s.Addresses.Peer(), DataCentre: s.DataCentre, Region: s.Region,
		Store: ledger, Health: ledger.Health(), Peers: peers, Clock: c, Log: log,
		RulesKey: platform.RulesKey, Rules: platform.RulesDecoder(s.Regions),
		EvacuationPrefix: platform.EvacuationPrefix, EvacuationTime: s.Limits.Evacuation,
		ColdFactor: s.Limits.ColdFactor, ColdSlack: s.Limits.ColdSlack,
	})
	ledger.SetRelays(a.fleet.PeerAddresses)
	target := platform.NewTarget(s.Target.Address, int64(s.Memory)<<20/responseMemoryShare, c)
	target.SetLimit(max(descriptors/targetFileShare, fewConnections))
	a.router = serve.New(serve.Config{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region,
		Fleet: a.fleet, Peers: peers, Target: target, Clock: c, Log: log,
		RetryRatio: s.Limits.Ratio, RetrySlack: s.Limits.Slack, DrainPeriod: s.Limits.Drain,
		Hedges: s.Limits.Hedges,
		Uplink: a.uplink,
	})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, a.ready)
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", a.metrics)
	var listeners []net.Listener
	open := func(address string) net.Listener {
		l, lerr := net.Listen("tcp", address)
		if lerr != nil {
			err = errors.Join(err, fmt.Errorf("listen on %s: %w", address, lerr))
			return nil
		}
		listeners = append(listeners, l)
		return l
	}
	limited := func(address string, most, perClient int) *limitedListener {
		return &limitedListener{
			Listener: open(address), clock: c, account: a.account, max: most, perClient: perClient,
			refused: func(reason error) { a.refusals.report(context.Background(), eventConnectionRefused, address, reason) },
		}
	}
	most, perClient := callerConnections(s, descriptors)
	a.listener = limited(s.Addresses.Caller, most, perClient)
	a.callers = &httpService{listener: a.listener, handler: http.HandlerFunc(a.serveCaller), header: s.Limits.Header}
	inner := func(address string, h http.Handler) *httpService {
		return &httpService{listener: limited(address, innerConnections, innerConnections), handler: h, header: s.Limits.Header}
	}
	internal := open(s.Addresses.Internal())
	services := []struct {
		name    string
		service kernel.Service
	}{
		{"peers", runFunc(func(ctx context.Context) error { return peers.Run(ctx, internal) })},
		{"fleet", a.fleet},
		{"target", inner(s.Addresses.Target, a.targetHandler())},
		{"callers", a.callers},
		{"ready", inner(s.Addresses.Ready, ready)},
		{"metrics", inner(s.Addresses.Metrics(), metrics)},
		{"settings", a.reloader},
	}
	for _, sv := range services {
		err = errors.Join(err, a.kernel.Register(sv.name, sv.service))
	}
	if err != nil {
		for _, l := range listeners {
			err = errors.Join(err, l.Close())
		}
		return nil, err
	}
	return a, nil
}

// callerConnections returns the bound on connections of callers, and on those of a single
// address.
func callerConnections(s conf.Agent, descriptors int) (all, perClient int) {
	most := descriptors / callerFileShare
	if s.Memory > 0 {
		most = min(most, int(budget.Size(s.Memory)/connMemoryShare/connBytes))
	}
	all = cmp.Or(s.Limits.Connections, max(most, fewConnections))
	return all, cmp.Or(s.Limits.ClientConnections, max(all*3/4, 1))
}

// targetHandler returns the handler for the target's heartbeats.
func (a *Agent) targetHandler() http.Handler {
	return platform.TargetHandler(a.fleet, a.settings.Target.Service, a.clock, func(id string, reason error) {
		a.heartbeatsRefused.Add(1)
		a.inputErrors.report(context.Background(), eventHeartbeatRefused, id, reason)
	})
}

// runFunc adapts a function to kernel.Service.
type runFunc func(ctx context.Context) error

// Run implements kernel.Service.
func (f runFunc) Run(ctx context.Context) error { return f(ctx) }

// Run serves until the context ends and then drains the node: it returns when
// requests in flight have ended or their time is up.
func (a *Agent) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.kernel.Start(runCtx)
	select {
	case err := <-a.kernel.Failed():
		return errors.Join(err, a.kernel.Stop())
	case <-ctx.Done():
	}
	a.drain(runCtx)
	return a.kernel.Stop()
}

// drain reports that the node is not ready, hands the target's keys over while it
// still serves requests, and then waits for those in flight. Until these have ended, the
// listener and the connections stay open, and further requests get a refusal that they
// did not run.
func (a *Agent) drain(ctx context.Context) {
	a.stopping.Store(true)
	eventStopping.Log(ctx, a.log)
	whole := a.settings.Limits.Stop - exitMargin
	a.router.SetEnd(a.clock.Elapsed() + whole - abortMargin)
	lameDuck := min(lameDuckTime, a.settings.Limits.Stop/2)
	<-a.clock.After(max(lameDuck-handoverTime, 0))
	if err := a.fleet.BeginStop(ctx); err != nil {
		a.log.Warn("cannot hand over keys before the stop", "error", err)
	}
	<-a.clock.After(min(lameDuck, handoverTime))
	a.router.CloseToCallers()
	ctx, cancel := context.WithTimeout(ctx, whole-lameDuck)
	defer cancel()
	abort := a.clock.AfterFunc(whole-lameDuck-abortMargin, a.router.Abort)
	defer abort.Stop()
	forwarded := make(chan error, 1)
	go func() { forwarded <- a.router.Stop(ctx) }()
	err := errors.Join(a.inFlight.wait(ctx), <-forwarded)
	if err = errors.Join(err, a.callers.shutdown(ctx)); err != nil {
		eventRequestsCut.Log(ctx, a.log, slog.String("error", err.Error()))
		return
	}
	eventRequestsEnded.Log(ctx, a.log)
}

// ready serves the readiness probe.
func (a *Agent) ready(w http.ResponseWriter, _ *http.Request) {
	if a.stopping.Load() || a.fleet.View().Rules() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// metrics serves counters and latency histograms as JSON.
func (a *Agent) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	a.recordLimits()
	a.router.Metrics().SetGauge("heartbeats_refused", a.heartbeatsRefused.Load())
	if era, ok := a.fleet.Era(); ok {
		a.router.Metrics().SetGauge("store_era", int64(min(era, math.MaxInt64)))
	}
	if err := json.NewEncoder(w).Encode(a.router.Metrics()); err != nil {
		a.log.Warn("metrics not delivered", "error", err)
	}
}

// recordLimits sets the gauges of memory and connections.
func (a *Agent) recordLimits() {
	set, usage := a.router.Metrics(), a.account.Usage()
	open, dropped := a.listener.load()
	for name, value := range map[string]int64{
		"memory_size": usage.Size, "memory_used": usage.Used, "memory_peak": usage.Peak,
		"memory_refused": usage.Refused, "memory_evicted": usage.Evicted,
		"connections_callers": int64(open), "connections_callers_dropped": dropped,
	} {
		set.SetGauge(name, value)
	}
}

// errHead means that the head of a request is over the limit of the rules.
var errHead = errors.New("head of the request is too large")

// headBytes returns the size of the head of a request as HTTP/1.1 writes it.
func headBytes(req *http.Request) int {
	const line = len(": \r\n")
	n := len(req.Method) + len(req.RequestURI) + len("  HTTP/1.1\r\n") + len("Host") + len(req.Host) + line
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + line
		}
	}
	return n
}

// refuseCall answers a request that was not read as a whole. It has not run.
func (a *Agent) refuseCall(w http.ResponseWriter, req *http.Request, id string, reason error) {
	status, e := http.StatusBadRequest, eventCallRefused
	switch {
	case errors.Is(reason, errHead):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, errHead // one line a minute for all
	case errors.Is(reason, platform.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(reason, budget.ErrExhausted), errors.Is(reason, budget.ErrEvicted):
		status, e = http.StatusServiceUnavailable, eventMemoryRefused
		w.Header().Set("Retry-After", strconv.FormatFloat(memoryRetryAfter.Seconds(), 'f', 3, 64))
		reason = budget.ErrExhausted // one line a minute for all
	case errors.Is(reason, errSlow), errors.Is(reason, os.ErrDeadlineExceeded):
		status, e = http.StatusRequestTimeout, eventSlowClient
		reason = errSlow
	}
	a.refusals.report(req.Context(), e, id, reason)
	w.Header().Set("Connection", "close")
	control := http.NewResponseController(w)
	err := errors.Join(control.SetReadDeadline(time.Now().Add(refusalTime)), control.SetWriteDeadline(time.Now().Add(refusalTime)))
	if err != nil {
		eventAnswerNotDelivered.Log(req.Context(), a.log, slog.String("id", id), slog.String("error", err.Error()))
		return
	}
	http.Error(w, reason.Error(), status)
}

func (a *Agent) serveCaller(w http.ResponseWriter, req *http.Request) {
	conn := connOf(req.Context())
	if !conn.enter(readsBody) {
		return // nobody would get the answer
	}
	a.inFlight.add()
	defer a.inFlight.done()
	limit, headLimit := defaultMaxBodyBytes, 0
	if set := a.fleet.View().Rules(); set != nil {
		limit = cmp.Or(max(set.Limits().BodyBytes, 0), defaultMaxBodyBytes)
		headLimit = set.Limits().HeaderBytes
	}
	if head := headBytes(req); headLimit > 0 && head > headLimit+headSlack {
		a.refuseCall(w, req, "", fmt.Errorf("%w: %d bytes, at most %d", errHead, head, headLimit))
		return
	}
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	hold := a.account.Open()
	defer hold.Close()
	req = req.WithContext(budget.With(req.Context(), hold))
	if req.Body != http.NoBody {
		req.Body = &pacedBody{ReadCloser: req.Body, pace: a.pace, control: control, hold: hold, conn: conn, began: a.clock.Elapsed()}
		hold.Begin(func() { _ = control.SetReadDeadline(time.Now()) }) // fails only if the connection is closed
	}
	r, err := platform.DecodeRequest(req, a.settings.Target.Service, limit)
	if endErr := hold.End(); endErr != nil {
		err = endErr
	}
	if err == nil && req.Body != http.NoBody {
		err = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		a.refuseCall(w, req, r.ID, err)
		return
	}
	r.Left = func() bool { return hangup.Closed(req.Context()) }
	ctx, stop := hangup.Watch(req.Context(), a.clock)
	defer stop()
	if !conn.enter(runsRequest) {
		return // nobody would get the answer
	}
	res := a.router.Serve(ctx, r)
	conn.enter(writesAnswer)
	answer := &pacedAnswer{ResponseWriter: w, pace: a.pace, control: control, hold: hold, conn: conn, began: a.clock.Elapsed()}
	hold.Begin(func() { _ = control.SetWriteDeadline(time.Now()) }) // fails only if the connection is closed
	paced := pacedWriter{ResponseWriter: answer, ctx: req.Context(), uplink: a.uplink}
	// Also for an answer without a body: the deadline of the one before may have passed.
	err = control.SetWriteDeadline(a.pace.deadline())
	err = errors.Join(err, platform.WriteResult(paced, r.ID, res))
	if endErr := hold.End(); endErr != nil {
		a.refusals.report(req.Context(), eventMemoryRefused, r.ID, endErr)
	}
	if errors.Is(err, errSlow) || errors.Is(err, os.ErrDeadlineExceeded) {
		a.refusals.report(req.Context(), eventSlowClient, r.ID, errSlow)
	}
	if err != nil {
		eventAnswerNotDelivered.Log(req.Context(), a.log, slog.String("id", r.ID), slog.String("error", err.Error()))
	}
}

// pacedWriter writes large bodies as the host's link becomes free, and no further once
// the caller has left.
type pacedWriter struct {
	http.ResponseWriter
	ctx    context.Context
	uplink *uplink.Scheduler
}

// Write implements io.Writer.
func (w pacedWriter) Write(b []byte) (int, error) { return w.uplink.Write(w.ctx, w.ResponseWriter, b) }
