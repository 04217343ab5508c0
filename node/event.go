package node

import (
	"context"
	"log/slog"

	"burdocklift/event"
	"burdocklift/owner"
)

// events are the numbered log events of the control core's events.
var events = map[owner.EventKind]*event.Event{
	owner.HostJoined:       event.HostJoined,
	owner.LeaseLapsed:      event.LeaseLapsed,
	owner.LeaseRecovered:   event.LeaseRecovered,
	owner.HostFenced:       event.HostFenced,
	owner.HostMarked:       event.HostMarked,
	owner.TakeoverStarted:  event.TakeoverStarted,
	owner.TakeoverEnded:    event.TakeoverEnded,
	owner.EntryMoved:       event.KeysMoved,
	owner.HostLeft:         event.HostLeft,
	owner.StoreUnavailable: event.StoreUnavailable,
	owner.StoreAvailable:   event.StoreAvailable,
	owner.RecordInvalid:    event.RecordInvalid,
}

// Event implements owner.Effects.
func (c *Control) Event(e owner.Event) {
	switch e.Kind {
	case owner.StoreUnavailable, owner.StoreAvailable:
		// Relays notice the store's state on their watches too.
		c.storeChanged(e.Kind == owner.StoreAvailable, e.Detail)
		return
	}
	var attrs []slog.Attr
	if !e.Host.IsZero() {
		attrs = append(attrs, slog.String("host", e.Host.String()))
	}
	if e.Ref.Service != "" {
		attrs = append(attrs, slog.String("entry", e.Ref.String()))
	}
	if e.Detail != "" {
		attrs = append(attrs, slog.String("detail", e.Detail))
	}
	events[e.Kind].Log(context.Background(), c.log, attrs...)
}
