// Package agent assembles a node that runs on the platform, beside one target. All
// persistent state is in the platform's metadata store.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
	uplink      *uplink.Scheduler
	reloader    *reloader
	inputErrors errorLog
	stopping    atomic.Bool
	inFlight    gauge // requests of callers
}

// apply applies the settings that can change without a restart.
func (a *Agent) apply(s conf.Agent) {
	a.router.SetDrainPeriod(s.Limits.Drain)
}

// New opens the listeners of a node and registers its services. Run reloads the
// settings from the path when the file changes.
func New(s conf.Agent, path string, c clock.Clock, log *slog.Logger) (*Agent, error) {
	a := &Agent{settings: s, clock: c, log: log, inputErrors: errorLog{clock: c, log: log}}
	a.reloader = &reloader{path: path, clock: c, log: log, initial: s, lastRead: s, apply: a.apply}
	a.uplink = uplink.New(s.Limits.Link, c)
	peers := peer.New(c)
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
	a.router = serve.New(serve.Config{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region,
		Fleet: a.fleet, Peers: peers, Target: platform.NewTarget(s.Target.Address, int64(s.Memory)<<20/responseMemoryShare, c), Clock: c, Log: log,
		RetryRatio: s.Limits.Ratio, RetrySlack: s.Limits.Slack, DrainPeriod: s.Limits.Drain,
		Hedges: s.Limits.Hedges,
		Uplink: a.uplink,
	})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, a.ready)
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", a.metrics)
	var listeners []net.Listener
	var err error
	open := func(address string) net.Listener {
		l, lerr := net.Listen("tcp", address)
		if lerr != nil {
			err = errors.Join(err, fmt.Errorf("listen on %s: %w", address, lerr))
			return nil
		}
		listeners = append(listeners, l)
		return l
	}
	a.callers = &httpService{listener: open(s.Addresses.Caller), handler: http.HandlerFunc(a.serveCaller)}
	internal := open(s.Addresses.Internal())
	services := []struct {
		name    string
		service kernel.Service
	}{
		{"peers", runFunc(func(ctx context.Context) error { return peers.Run(ctx, internal) })},
		{"fleet", a.fleet},
		{"target", &httpService{listener: open(s.Addresses.Target), handler: a.targetHandler()}},
		{"callers", a.callers},
		{"ready", &httpService{listener: open(s.Addresses.Ready), handler: ready}},
		{"metrics", &httpService{listener: open(s.Addresses.Metrics()), handler: metrics}},
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

// targetHandler returns the handler for the target's heartbeats.
func (a *Agent) targetHandler() http.Handler {
	return platform.TargetHandler(a.fleet, a.settings.Target.Service, a.clock, func(id string, reason error) {
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
	if err := json.NewEncoder(w).Encode(a.router.Metrics()); err != nil {
		a.log.Warn("metrics not delivered", "error", err)
	}
}

func (a *Agent) serveCaller(w http.ResponseWriter, req *http.Request) {
	a.inFlight.add()
	defer a.inFlight.done()
	limit := defaultMaxBodyBytes
	if set := a.fleet.View().Rules(); set != nil && set.Limits().BodyBytes > 0 {
		limit = set.Limits().BodyBytes
	}
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r, err := platform.DecodeRequest(req, a.settings.Target.Service, limit)
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, platform.ErrTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		a.inputErrors.report(req.Context(), eventCallRefused, r.ID, err)
		http.Error(w, err.Error(), status)
		return
	}
	r.Left = func() bool { return hangup.Closed(req.Context()) }
	ctx, stop := hangup.Watch(req.Context(), a.clock)
	defer stop()
	paced := pacedWriter{ResponseWriter: w, ctx: req.Context(), uplink: a.uplink}
	if err := platform.WriteResult(paced, r.ID, a.router.Serve(ctx, r)); err != nil {
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
