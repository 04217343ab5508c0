// Package agent assembles a node that runs on the platform: beside one target,
// with all that must last in the platform's store.
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
	"burdocklift/kernel"
	"burdocklift/peer"
	"burdocklift/platform"
	"burdocklift/relay"
	"burdocklift/serve"
	"burdocklift/store"
)

const (
	// headerTime bounds the reading of a request's headers; rules ask for 3 s.
	headerTime = 5 * time.Second
	// idleTime is how long a caller's connection may be idle; rules ask for 15 s.
	idleTime = 30 * time.Second
	// maxBody bounds a body before rules are known.
	maxBody = 1 << 20
	// settleTime is how long a node that stops still takes requests, until the
	// platform's questions, one a second, have kept callers away twice.
	settleTime = 2500 * time.Millisecond
	// retireTime is how long before the end of that time the keys of the target are
	// passed on: a heartbeat of 0.87 s, the end of its work and two writes.
	retireTime = 1300 * time.Millisecond
	// cutMargin is the time that answers to requests still in flight then take.
	cutMargin = 250 * time.Millisecond
	// stopMargin is kept from the time in which a process has to stop.
	stopMargin = 500 * time.Millisecond
)

// Agent is a running node.
type Agent struct {
	kernel   kernel.Kernel
	settings conf.Agent
	clock    clock.Clock
	log      *slog.Logger
	fleet    *fleet.Fleet
	router   *serve.Router
	callers  *service
	reloader *reloader
	refused  refusals
	stopping atomic.Bool
}

// apply puts settings in force that may change while the node runs.
func (a *Agent) apply(s conf.Agent) {
	a.router.SetDrainPeriod(s.Limits.Drain)
}

// New opens the addresses of a node. The settings are read anew from the path
// when they change.
func New(s conf.Agent, path string, c clock.Clock, log *slog.Logger) (*Agent, error) {
	a := &Agent{settings: s, clock: c, log: log, refused: refusals{clock: c, log: log}}
	a.reloader = &reloader{path: path, clock: c, log: log, started: s, last: s, apply: a.apply}
	peers := peer.New(c)
	direct := store.NewCounted(platform.NewStore(s.Store), c, func(kind, outcome string, took time.Duration) {
		a.router.Metrics().Observe("store "+kind, "", outcome, took)
	})
	ledger := relay.New(direct, peers, c)
	a.fleet = fleet.New(fleet.Config{
		Name: s.Name, Address: s.Addresses.Peer(), DataCentre: s.DataCentre, Region: s.Region,
		Store: ledger, Peers: peers, Clock: c, Log: log,
		RulesKey: platform.RulesKey, Rules: platform.Rules,
	})
	ledger.SetRelays(a.fleet.PeerAddresses)
	a.router = serve.New(serve.Config{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region,
		Fleet: a.fleet, Peers: peers, Target: platform.NewTarget(s.Target.Address, c), Clock: c, Log: log,
		RetryRatio: s.Limits.Ratio, RetrySlack: s.Limits.Slack, DrainPeriod: s.Limits.Drain,
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
	a.callers = &service{listener: open(s.Addresses.Caller), handler: http.HandlerFunc(a.serveCaller)}
	internal := open(s.Addresses.Internal())
	parts := []struct {
		name string
		part kernel.Service
	}{
		{"peers", running(func(ctx context.Context) error { return peers.Run(ctx, internal) })},
		{"fleet", a.fleet},
		{"target", &service{listener: open(s.Addresses.Target), handler: a.targets()}},
		{"callers", a.callers},
		{"ready", &service{listener: open(s.Addresses.Ready), handler: ready}},
		{"metrics", &service{listener: open(s.Addresses.Metrics()), handler: metrics}},
		{"settings", a.reloader},
	}
	for _, p := range parts {
		err = errors.Join(err, a.kernel.Register(p.name, p.part))
	}
	if err != nil {
		for _, l := range listeners {
			err = errors.Join(err, l.Close())
		}
		return nil, err
	}
	return a, nil
}

// targets handles what the target says of itself.
func (a *Agent) targets() http.Handler {
	return platform.Targets(a.fleet, a.settings.Target.Service, func(id string, reason error) {
		a.refused.note(context.Background(), eventHeartbeatRefused, id, reason)
	})
}

// running makes a function a service of the kernel.
type running func(ctx context.Context) error

// Run implements kernel.Service.
func (f running) Run(ctx context.Context) error { return f(ctx) }

// Run serves until the context ends, and then until the callers are gone and
// their requests have ended.
func (a *Agent) Run(ctx context.Context) error {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.kernel.Start(life)
	select {
	case err := <-a.kernel.Failed():
		return errors.Join(err, a.kernel.Stop())
	case <-ctx.Done():
	}
	a.drain(life)
	return a.kernel.Stop()
}

// drain lets callers go: the node is not ready any more, still takes requests
// for a while and then ends those in flight.
func (a *Agent) drain(ctx context.Context) {
	a.stopping.Store(true)
	eventStopping.Log(ctx, a.log)
	settle := min(settleTime, a.settings.Limits.Stop/2)
	<-a.clock.After(max(settle-retireTime, 0))
	if err := a.fleet.BeginStop(ctx); err != nil {
		a.log.Warn("keys are not passed on before the stop", "error", err)
	}
	<-a.clock.After(min(settle, retireTime))
	left := a.settings.Limits.Stop - settle - stopMargin
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	cut := a.clock.AfterFunc(left-cutMargin, a.router.Abort)
	defer cut.Stop()
	forwarded := make(chan error, 1)
	go func() { forwarded <- a.router.Stop(ctx) }()
	if err := errors.Join(a.callers.shutdown(ctx), <-forwarded); err != nil {
		eventCut.Log(ctx, a.log, slog.String("error", err.Error()))
		return
	}
	eventDrained.Log(ctx, a.log)
}

// ready answers whether callers may use this node.
func (a *Agent) ready(w http.ResponseWriter, _ *http.Request) {
	if a.stopping.Load() || a.fleet.View().Rules() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// metrics writes counters and latency histograms as JSON.
func (a *Agent) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a.router.Metrics()); err != nil {
		a.log.Warn("metrics not delivered", "error", err)
	}
}

func (a *Agent) serveCaller(w http.ResponseWriter, req *http.Request) {
	limit := maxBody
	if set := a.fleet.View().Rules(); set != nil && set.Limits().BodyBytes > 0 {
		limit = set.Limits().BodyBytes
	}
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := platform.DecodeCall(req, a.settings.Target.Service, limit)
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, platform.ErrTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		a.refused.note(req.Context(), eventCallRefused, call.ID, err)
		http.Error(w, err.Error(), status)
		return
	}
	if err := platform.WriteResult(w, call.ID, a.router.Serve(req.Context(), call)); err != nil {
		eventAnswerLost.Log(req.Context(), a.log, slog.String("id", call.ID), slog.String("error", err.Error()))
	}
}
