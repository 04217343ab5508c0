// Package node assembles the services of a running node.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uptrace/bunrouter"

	"burdocklift/conf"
	"burdocklift/hangup"
	"burdocklift/kernel"
	"burdocklift/owner"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/route"
	"burdocklift/store"
	"burdocklift/wire"
)

const (
	// leaveTimeout bounds the handover of entries at a graceful stop.
	leaveTimeout = 60 * time.Second
	// headerLimit exceeds the bound that package route checks, so that a refusal
	// names its reason.
	headerLimit = 64 << 10
	headerTime  = 5 * time.Second
	bodyTime    = 30 * time.Second
)

// Config is what a node is made of.
type Config struct {
	Settings conf.Settings
	Store    store.Store
	Log      *slog.Logger
	Clock    clockwork.Clock
	// Token is the operators' token. Without it the operators' address is not
	// opened.
	Token string
	// PlanInterval is the time between two steps of the planner; zero means
	// plan.DefaultInterval.
	PlanInterval time.Duration
}

// Node is a running node.
type Node struct {
	cfg       Config
	kernel    kernel.Kernel
	addresses proto.Addresses
	transport *wire.Transport
	control   *Control
	router    *route.Router
	planner   *planner
	measures  *measures
	servers   []*server

	mu          sync.Mutex
	quarantined map[poison.Hash]bool // as logged
}

// New opens the addresses of a node. Port 0 in the settings picks a free port.
func New(cfg Config) (*Node, error) {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	l, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, transport: l.transport, addresses: l.addresses()}
	n.control = newControlOf(n)
	n.router = route.New(n.control, cfg.Clock, cfg.Settings.Place())
	n.planner = newPlanner(n)
	n.measures = newMeasures(n)
	if err := n.assemble(l); err != nil {
		return nil, errors.Join(err, l.close())
	}
	return n, nil
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() proto.Addresses { return n.addresses }

// Control returns the driver of the control core.
func (n *Node) Control() *Control { return n.control }

// Router returns the path of requests through the node.
func (n *Node) Router() *route.Router { return n.router }

// Start runs the node's services. The context bounds their lifetime.
func (n *Node) Start(ctx context.Context) { n.kernel.Start(ctx) }

// Failed delivers the error of a service that ended by itself.
func (n *Node) Failed() <-chan error { return n.kernel.Failed() }

// leave waits until all entries are handed over and the node is no member.
func (n *Node) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.control.Do(ctx, func(core *owner.Core, _ time.Time, _ owner.Effects) { core.Leave() })
	for n.control.Phase() != owner.Gone {
		select {
		case <-ctx.Done():
			return fmt.Errorf("leave: entries are not handed over: %w", ctx.Err())
		case <-n.cfg.Clock.After(tickInterval):
		}
	}
	return nil
}

// Stop ends all services. Requests in flight end first.
func (n *Node) Stop() error { return n.kernel.Stop() }

// Kill ends all services at once and cuts off requests in flight, as the loss
// of the process would.
func (n *Node) Kill() error {
	for _, s := range n.servers {
		s.abort()
	}
	return n.kernel.Stop()
}

func (n *Node) peerHandler() http.Handler {
	r := bunrouter.New()
	r.PUT(proto.PathTarget, n.announced)
	mux := http.NewServeMux()
	mux.Handle("/burdocklift/", r)
	mux.HandleFunc("/", n.router.ServePeer)
	return mux
}

// announced takes the announcement of the target on this host.
func (n *Node) announced(w http.ResponseWriter, req bunrouter.Request) error {
	var a proto.Announcement
	if err := json.NewDecoder(io.LimitReader(req.Body, 1<<16)).Decode(&a); err != nil || a.Service == "" || a.Address == "" {
		http.Error(w, "announcement needs service and address", http.StatusBadRequest)
		return nil
	}
	n.router.HandleAnnouncement(a)
	n.control.Do(req.Context(), func(core *owner.Core, _ time.Time, _ owner.Effects) {
		if a.Leaving {
			core.Leave()
			return
		}
		core.SetTarget(owner.Target{
			Service: a.Service, Slots: a.Slots, Connections: a.Connections, ChecksGrants: a.ChecksGrants,
		})
	})
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// server is an HTTP server as a service of the kernel.
type server struct {
	listener net.Listener
	http     *http.Server
}

func newServer(l net.Listener, h http.Handler) *server {
	return &server{listener: l, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       bodyTime,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    headerLimit,
		ConnContext:       hangup.ConnContext,
	}}
}

// abort closes the listener and all connections.
func (s *server) abort() { _ = s.http.Close() }

// Run serves until the context ends, and then until the requests in flight end.
func (s *server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(s.listener) }()
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	err := s.http.Shutdown(stop)
	if serveErr := <-ended; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}
