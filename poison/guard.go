package poison

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/proto"
)

// lossWindow is the time within which all connections of a crashed target are
// lost and no process listens at its address any more. The kernel closes the
// sockets within milliseconds of the end of the process.
const lossWindow = 20 * time.Millisecond

// Outcome says how a request at the target ended.
type Outcome int

// The ways in which a request ends.
const (
	Answered       Outcome = iota // the target answered it
	ConnectionLost                // its connection was lost after it was sent
	Inconclusive                  // neither, which says nothing about the target
)

// Guard dispatches requests to one target, detects its crashes, and quarantines
// the requests that crash it.
type Guard struct {
	registry    *Registry
	notify      func([]Notice)
	awaitLosses func() // waits for lossWindow

	mu         sync.Mutex
	generation int // number of crashes
	inFlight   int // requests in flight, without those that a crash ended
	loss       *lossGroup
}

// lossGroup is a group of connections that were lost within lossWindow.
type lossGroup struct {
	expected int // requests in flight at the first loss
	lost     int
	crashed  bool
	decided  chan struct{}
}

// NewGuard returns a guard of one target. The function notify sends notices to
// the other nodes of the service and returns once they are sent.
func NewGuard(clock clockwork.Clock, notify func([]Notice)) *Guard {
	// Crashes are counted by origin, so a restarted node needs a new one.
	origin := proto.HostID{Incarnation: rand.Uint64()}
	return &Guard{
		registry:    NewRegistry(Config{Origin: origin}, clock),
		notify:      notify,
		awaitLosses: func() { clock.Sleep(lossWindow) },
	}
}

// Merge merges the notices of another node.
func (g *Guard) Merge(notices []Notice) { g.registry.Merge(notices...) }

// Inherit merges what an earlier run of this node recorded.
func (g *Guard) Inherit(notices []Notice) { g.registry.Inherit(notices...) }

// Own returns the crashes that this node and its earlier runs counted. Once recorded,
// they outlast this run.
func (g *Guard) Own() []Notice { return g.registry.Own() }

// Notices returns what this node knows of a request.
func (g *Guard) Notices(f Fingerprint) []Notice { return g.registry.Notices(f) }

// List returns the hashes of suspect and quarantined requests.
func (g *Guard) List() []Entry { return g.registry.List() }

// Known returns what this node knows of crashes during a request.
func (g *Guard) Known(f Fingerprint) Known { return g.registry.Known(f) }

// Lift ends the suspicion or quarantine of a hash on all nodes of the service.
func (g *Guard) Lift(h Hash) error {
	n, err := g.registry.Lift(h)
	if err != nil {
		return err
	}
	g.notify([]Notice{n})
	return nil
}

// Run dispatches a request, unless it is quarantined (ErrQuarantined) or it is
// suspect and another suspect runs (ErrSuspectRunning). It reports whether the
// target crashed; the notices of the crash have then been sent to the other nodes.
// The function notListening tells whether no process listens at the target's
// address.
func (g *Guard) Run(f Fingerprint, notListening func() bool, dispatch func() Outcome) (crashed bool, err error) {
	g.mu.Lock()
	if err := g.registry.Start(f); err != nil {
		g.mu.Unlock()
		return false, err
	}
	generation := g.generation
	g.inFlight++
	g.mu.Unlock()
	switch dispatch() {
	case Answered:
		g.release(generation)
		if notices := g.registry.Finish(f); len(notices) > 0 {
			g.notify(notices)
		}
		return false, nil
	case ConnectionLost:
		crashed = g.handleLoss(generation, notListening)
	}
	g.release(generation)
	g.registry.Cancel(f)
	return crashed, nil
}

// release ends a request in flight, unless a crash has ended it.
func (g *Guard) release(generation int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.generation == generation {
		g.inFlight--
	}
}

// handleLoss reports whether a connection was lost by a crash of the target. The
// first loss of a group decides for all, records the crash and sends its notices;
// the others wait for it.
func (g *Guard) handleLoss(generation int, notListening func() bool) bool {
	g.mu.Lock()
	if g.generation != generation {
		g.mu.Unlock()
		return true // another request has recorded the crash
	}
	l, first := g.loss, g.loss == nil
	if first {
		l = &lossGroup{expected: g.inFlight, decided: make(chan struct{})}
		g.loss = l
	}
	l.lost++
	g.mu.Unlock()
	if !first {
		<-l.decided
		return l.crashed
	}
	defer close(l.decided)
	crashed := notListening()
	if !crashed {
		g.awaitLosses()
		crashed = notListening()
	}
	g.mu.Lock()
	g.loss = nil
	// A target that was restarted at once accepts connections, but it has lost all
	// that were open. One connection that breaks leaves the others open.
	l.crashed = crashed || l.lost > 1 && l.lost >= l.expected
	var notices []Notice
	if l.crashed {
		g.generation++
		g.inFlight = 0
		notices = g.registry.RecordCrash()
	}
	g.mu.Unlock()
	if l.crashed {
		g.notify(notices)
	}
	return l.crashed
}
