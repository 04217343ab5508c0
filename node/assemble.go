package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"

	"burdocklift/admin"
	"burdocklift/owner"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/route"
	"burdocklift/spread"
	"burdocklift/stats"
	"burdocklift/wire"
)

// listeners are the open addresses of a node. Without a token there is no
// operators' address.
type listeners struct {
	transport *wire.Transport
	caller    net.Listener
	peer      net.Listener
	operator  net.Listener
}

func listen(cfg Config) (*listeners, error) {
	a := cfg.Settings.Addresses
	l := &listeners{}
	var err error
	if l.transport, err = wire.Listen(a.Control); err != nil {
		return nil, err
	}
	open := func(name, address string) net.Listener {
		if err != nil {
			return nil
		}
		var opened net.Listener
		if opened, err = net.Listen("tcp", address); err != nil {
			err = fmt.Errorf("listen on %s address: %w", name, err)
			return nil
		}
		return opened
	}
	l.caller = open("caller", a.Caller)
	l.peer = open("peer", a.Peer)
	if cfg.Token != "" {
		l.operator = open("operator", a.Operator)
	}
	if err != nil {
		return nil, errors.Join(err, l.close())
	}
	return l, nil
}

func (l *listeners) close() error {
	err := l.transport.Close()
	for _, open := range []net.Listener{l.caller, l.peer, l.operator} {
		if open != nil {
			err = errors.Join(err, open.Close())
		}
	}
	return err
}

func (l *listeners) addresses() proto.Addresses {
	a := proto.Addresses{
		Caller: l.caller.Addr().String(), Peer: l.peer.Addr().String(), Control: l.transport.Address(),
	}
	if l.operator != nil {
		a.Operator = l.operator.Addr().String()
	}
	return a
}

// newControlOf returns the driver of a node's control core.
func newControlOf(n *Node) *Control {
	now, place := n.cfg.Clock.Now(), n.cfg.Settings.Place()
	core := owner.New(owner.Config{
		Name:           n.cfg.Settings.Name,
		Place:          place,
		Addresses:      n.addresses,
		Timing:         proto.DefaultTiming(),
		RunID:          rand.Uint64(),
		MinIncarnation: uint64(now.UnixMilli()),
		ClockBase:      now,
	})
	engine := spread.New(spread.Config{
		Place: place, Control: n.addresses.Control, Seeds: n.cfg.Settings.Seeds,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return NewControl(core, engine, n.transport, n.cfg.Store, n.cfg.Clock, n.cfg.Log)
}

// assemble connects the parts of a node and registers its services.
func (n *Node) assemble(l *listeners) error {
	ids, metrics := newEntries(n), &stats.Set{}
	n.control.configured = func(d spread.Documents) { n.router.SetRules(d.Rules) }
	n.control.drain = ids.drain
	n.control.loads = n.planner.received
	n.control.notices = n.noticed
	n.control.shares = n.shared
	n.control.sent = n.router.ChargeControl
	n.router.SetNotify(n.notify)
	n.router.SetMeter(n.planner.meter.Observe)
	n.router.SetObserver(observer{metrics})

	peer := newServer(l.peer, n.peerHandler())
	caller := newServer(l.caller, http.HandlerFunc(n.router.ServeCaller))
	n.servers = []*server{peer, caller}
	type registration struct {
		name    string
		service any
	}
	services := []registration{
		{"wire", n.transport},
		{"control", n.control},
		{"planner", n.planner},
		{"route", n.router},
		{"entries", ids},
		{admin.MetricsService, metrics},
		{admin.QuarantineService, quarantine{n.router}},
		{"target", watcher{n}},
		{"share", sharer{n}},
		{"peer", peer},
		{"caller", caller},
		{"measures", n.measures},
	}
	if l.operator != nil {
		o := newOperator(n)
		s := newServer(l.operator, admin.New(admin.Config{
			Token: n.cfg.Token, Source: o, Kernel: &n.kernel, Log: n.cfg.Log,
		}))
		n.servers = append(n.servers, s)
		services = append(services, registration{"operator", o}, registration{"admin", s})
	}
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// shared takes a report or a loan of another node's share of the paid link.
func (n *Node) shared(m proto.Share) {
	if err := n.router.Shared(m); err != nil {
		n.cfg.Log.Warn("budget of the paid link is not shared", "error", err)
	}
}

// quarantine shows operators the requests that are kept from running.
type quarantine struct{ router *route.Router }

// List implements admin.Quarantine.
func (q quarantine) List() []poison.Entry { return q.router.Quarantine() }

// Lift implements admin.Quarantine.
func (q quarantine) Lift(h poison.Hash) error { return q.router.Lift(h) }
