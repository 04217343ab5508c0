// Package site runs a whole deployment in one process: a stand-in of the
// platform's service, targets and nodes, all over real sockets on loopback.
package site

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"burdocklift/conf"
	"burdocklift/emul"
	"burdocklift/node"
	"burdocklift/proto"
	"burdocklift/store"
)

// loopback lets the system pick a free port.
const loopback = "127.0.0.1:0"

// HostSpec describes one host of a deployment.
type HostSpec struct {
	Name   string
	Place  proto.Place
	Target emul.TargetConfig
}

// Spec describes a deployment.
type Spec struct {
	Hosts []HostSpec
	Rules []byte
	Log   *slog.Logger
	Token string // of the operators; empty leaves their addresses closed
}

// Host is a running host: a target and the node beside it.
type Host struct {
	Spec   HostSpec
	Target *emul.Target
	Node   *node.Node

	server       *emul.Server
	stopAnnounce context.CancelFunc
	announceDone chan error
	log          *slog.Logger

	mu      sync.Mutex
	stopped bool          // the node ended
	touched bool          // a fault hit the host
	thaw    chan struct{} // closed to end a freeze; nil if the host is not frozen
}

// Site is a running deployment.
type Site struct {
	spec     Spec
	platform *emul.Platform
	server   *http.Server
	address  string
	hosts    []*Host
}

// Start starts a deployment and returns when the processes run; Ready waits
// until it serves.
func Start(ctx context.Context, spec Spec) (*Site, error) {
	s := &Site{spec: spec, platform: emul.NewPlatform(&emul.KV{})}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	s.address = "http://" + l.Addr().String()
	s.server = serve(l, s.platform)
	for _, hs := range spec.Hosts {
		h, err := s.startHost(ctx, hs)
		if err != nil {
			return nil, errors.Join(err, s.Stop())
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

func serve(l net.Listener, h http.Handler) *http.Server {
	hs := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = hs.Serve(l) }()
	return hs
}

func (s *Site) startHost(ctx context.Context, hs HostSpec) (*Host, error) {
	h := &Host{Spec: hs, Target: emul.NewTarget(hs.Target)}
	server, err := emul.Serve(h.Target, loopback)
	if err != nil {
		return nil, fmt.Errorf("start host %s: %w", hs.Name, err)
	}
	h.server = server
	if err := s.startNode(ctx, h); err != nil {
		return nil, errors.Join(err, server.Close())
	}
	return h, nil
}

// startNode starts a node beside the host's target, which announces itself.
func (s *Site) startNode(ctx context.Context, h *Host) error {
	log := s.spec.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	h.log = log.With("target", h.Spec.Name)
	n, err := node.New(node.Config{
		Settings: conf.Settings{
			Name: h.Spec.Name, DataCentre: h.Spec.Place.DataCentre, Region: h.Spec.Place.Region,
			Addresses: conf.Addresses{Caller: loopback, Peer: loopback, Control: loopback, Operator: loopback},
		},
		Store: store.NewConsul(s.address, nil),
		Token: s.spec.Token,
		Log:   log.With("node", h.Spec.Name),
	})
	if err != nil {
		return fmt.Errorf("start node %s: %w", h.Spec.Name, err)
	}
	h.Node = n
	nodeCtx := context.WithoutCancel(ctx)
	n.Start(nodeCtx)
	announceCtx, stop := context.WithCancel(nodeCtx)
	h.stopAnnounce = stop
	h.announceDone = make(chan error, 1)
	peer := n.Addresses().Peer
	go func() { h.announceDone <- h.Target.Announce(announceCtx, peer, h.server.Address()) }()
	return nil
}

// Platform returns the stand-in of the platform's service.
func (s *Site) Platform() *emul.Platform { return s.platform }

// Address returns the base URL of the platform's service.
func (s *Site) Address() string { return s.address }

// Hosts returns the hosts in the order of the specification.
func (s *Site) Hosts() []*Host { return s.hosts }

// Host returns a host by name.
func (s *Site) Host(name string) (*Host, bool) {
	for _, h := range s.hosts {
		if h.Spec.Name == name {
			return h, true
		}
	}
	return nil, false
}

// readyPoll is how often Ready looks at the nodes.
const readyPoll = 20 * time.Millisecond

// Ready stores the rules once all nodes know each other, and waits until every
// node holds its lease and knows an owner for every shard of every keyed
// service. With the rules in the store from the start, the first node to join
// could place all shards on itself.
func (s *Site) Ready(ctx context.Context) error {
	rules, err := conf.ParseRules("rules", s.spec.Rules)
	if err != nil {
		return fmt.Errorf("wait for the site: %w", err)
	}
	if err := s.wait(ctx, func() bool { return s.ready(nil) }); err != nil {
		return err
	}
	_, err = s.platform.KV().Swap(ctx, proto.KeyRules, 0, s.spec.Rules)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("store rules: %w", err)
	}
	return s.wait(ctx, func() bool { return s.ready(rules.Services) })
}

func (s *Site) wait(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the site: %w", ctx.Err())
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// ready reports whether all nodes hold their leases, know each other and know
// the owners of the services.
func (s *Site) ready(services []conf.Service) bool {
	for _, h := range s.hosts {
		if !h.Live() {
			continue
		}
		control := h.Node.Control()
		if !control.Gate().Valid(time.Now()) || len(control.View().Hosts()) < len(s.hosts) {
			return false
		}
		for _, service := range services {
			if !service.Keyed {
				continue
			}
			if t, ok := control.View().Table(service.Name); !ok || !t.Complete() {
				return false
			}
		}
	}
	return true
}

// Stop ends the deployment.
func (s *Site) Stop() error {
	var errs []error
	for _, h := range s.hosts {
		errs = append(errs, h.Kill(), h.server.Close())
	}
	errs = append(errs, s.server.Close())
	return errors.Join(errs...)
}

// Journals returns what ran at each target.
func (s *Site) Journals() []emul.Journal {
	journals := make([]emul.Journal, len(s.hosts))
	for i, h := range s.hosts {
		journals[i] = h.Target.Journal()
	}
	return journals
}

// Entries returns the caller addresses of all nodes by host name.
func (s *Site) Entries() map[string]string {
	entries := make(map[string]string, len(s.hosts))
	for _, h := range s.hosts {
		entries[h.Spec.Name] = h.Node.Addresses().Caller
	}
	return entries
}
