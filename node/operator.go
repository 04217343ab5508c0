package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"burdocklift/admin"
	"burdocklift/conf"
	"burdocklift/event"
	"burdocklift/owner"
	"burdocklift/spread"
)

// recordsTimeout bounds the wait for the control goroutine, so that a node
// whose control hangs still shows its other state.
const recordsTimeout = time.Second

// operator is the node as its operators see it. As a service it carries out
// the graceful leave that they ask for.
type operator struct {
	node   *Node
	drains chan struct{}
}

var _ admin.Source = (*operator)(nil)

func newOperator(n *Node) *operator { return &operator{node: n, drains: make(chan struct{}, 1)} }

// Run implements kernel.Service.
func (o *operator) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.drains:
			// Leave logs a failure, and the operator may ask again.
			_ = o.node.Leave(ctx)
		}
	}
}

// Drain implements admin.Source. A second request during a drain has no effect.
func (o *operator) Drain() {
	select {
	case o.drains <- struct{}{}:
	default:
	}
}

// Status implements admin.Source.
func (o *operator) Status(ctx context.Context) admin.Status {
	n, c := o.node, o.node.control
	now, view, documents := n.cfg.Clock.Now(), c.View(), c.Documents()
	s := admin.Status{
		Node: n.cfg.Settings.Name, Incarnation: view.Self().Incarnation,
		DataCentre: n.cfg.Settings.DataCentre, Region: n.cfg.Settings.Region,
		Phase: phaseNames[c.Phase()], Lease: admin.Lease{State: stateLapsed},
		Relay: c.Relay(), Planner: n.planner.leads.Load(),
		Rules: document(documents.Status(conf.KindRules)), Inventory: document(documents.Status(conf.KindInventory)),
		Members: len(view.Hosts()), Store: c.storeState.get(),
		Records: o.records(ctx),
	}
	if c.Gate().Valid(now) {
		s.Lease = admin.Lease{State: stateValid, RemainingMS: c.Gate().Remaining(now).Milliseconds()}
	}
	// The last step may be older than what the rest of the status shows.
	n.measures.update()
	s.Measures = n.measures.list(now, 2*n.planner.interval(), s.Planner)
	return s
}

func (o *operator) records(ctx context.Context) *admin.Records {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	counted := make(chan admin.Records, 1)
	o.node.control.Do(ctx, func(core *owner.Core, _ time.Time, _ owner.Effects) {
		var r admin.Records
		for _, index := range core.Records {
			r.Count, r.Newest = r.Count+1, max(r.Newest, index)
		}
		counted <- r
	})
	select {
	case r := <-counted:
		return &r
	case <-ctx.Done():
		return nil
	}
}

// Members implements admin.Source.
func (o *operator) Members() []admin.Member {
	list := []admin.Member{}
	o.node.measures.update()
	hosts, entries := o.node.control.View().Hosts(), o.node.measures.entries()
	for id, h := range hosts {
		list = append(list, admin.Member{
			Node: id.Name, Incarnation: id.Incarnation, DataCentre: h.Member.Place.DataCentre,
			Service: h.Member.Service, State: h.Member.State.String(),
			Operator: h.Member.Addresses.Operator, Entries: entries[id],
		})
	}
	// Entries of a host whose member record is gone wait for another owner.
	for id, n := range entries {
		if _, ok := hosts[id]; !ok {
			list = append(list, admin.Member{Node: id.Name, Incarnation: id.Incarnation, State: "absent", Entries: n})
		}
	}
	slices.SortFunc(list, func(a, b admin.Member) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Owner implements admin.Source.
func (o *operator) Owner(service, key string) (admin.Ownership, error) {
	view := o.node.control.View()
	d, ok := view.Route(service, key)
	if !ok {
		return admin.Ownership{}, fmt.Errorf("service %q: %w", service, admin.ErrUnknownService)
	}
	if d.OwnerID.IsZero() {
		return admin.Ownership{}, fmt.Errorf("key %q of service %q: %w", key, service, admin.ErrUnknownOwner)
	}
	a := admin.Ownership{
		Service: service, Key: key, Shard: d.Shard, Epoch: d.Epoch, Owner: d.OwnerID.String(), Hot: d.Hot,
	}
	hot := ""
	if d.Hot {
		hot = key
	}
	if next := view.Ownership(service, d.Shard, hot).Next; !next.IsZero() {
		a.Next = next.String()
	}
	return a, nil
}

func document(s spread.Status) admin.Document {
	d := admin.Document{Version: s.InForce.Version, Index: s.InForce.Index, Since: s.InForce.Since}
	if s.Refused.Reason != "" {
		d.Refused = &admin.Refused{Index: s.Refused.Index, At: s.Refused.At, Reason: s.Refused.Reason}
	}
	return d
}

// Leave hands over all entries and removes the node from membership.
func (n *Node) Leave(ctx context.Context) error {
	event.DrainStarted.Log(ctx, n.cfg.Log)
	if err := n.leave(ctx); err != nil {
		event.DrainFailed.Log(ctx, n.cfg.Log)
		return err
	}
	event.DrainEnded.Log(ctx, n.cfg.Log)
	return nil
}
