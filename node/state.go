package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"burdocklift/admin"
	"burdocklift/event"
	"burdocklift/owner"
	"burdocklift/store"
)

// States of the store and of a lease as operators see them.
const (
	stateUnknown     = "unknown"
	stateAvailable   = "available"
	stateUnavailable = "unavailable"
	stateValid       = "valid"
	stateLapsed      = "lapsed"
)

// storeState is the state of the platform's store as the last calls showed it.
type storeState struct {
	mu    sync.Mutex
	state admin.Store
}

func (s *storeState) get() admin.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.State == "" {
		return admin.Store{State: stateUnknown}
	}
	return s.state
}

// set reports whether the state changed.
func (s *storeState) set(now time.Time, state string, called bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if called {
		s.state.LastCall = now
	}
	if s.state.State == state {
		return false
	}
	s.state.State, s.state.Since = state, now
	return true
}

// called takes the outcome of a call of the store. A call that the node itself
// cancelled says nothing.
func (c *Control) called(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	up := !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUncertain)
	c.changed(up, true, err)
}

func (c *Control) storeChanged(up bool, detail string) {
	c.changed(up, false, errors.New(detail))
}

func (c *Control) changed(up, called bool, err error) {
	state, e := stateAvailable, event.StoreAvailable
	if !up {
		state, e = stateUnavailable, event.StoreUnavailable
	}
	before := c.storeState.get().State
	if !c.storeState.set(c.clock.Now(), state, called) || up && before == stateUnknown {
		return
	}
	var attrs []slog.Attr
	if !up {
		attrs = append(attrs, slog.Any("error", err))
	}
	e.Log(context.Background(), c.log, attrs...)
}

// phaseNames are the phases of membership in operators' words.
var phaseNames = map[owner.Phase]string{
	owner.Loading: "loading", owner.Idle: "idle", owner.Joining: "joining",
	owner.Member: "member", owner.Leaving: "leaving", owner.Gone: "gone",
}
