package fleet

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
)

// MethodResign is the call by which a relay that the store fails tells the nodes of its
// data centre which node relays from now on.
const MethodResign peer.Method = 10

const (
	// relayReportInterval and relayReportTimeout apply to reports to the relay, which is
	// in the same data centre and 0.2 ms away. After the loss of a relay its successor has
	// to pass changes on within 1 s, as rules are due within 2 s.
	relayReportInterval = 500 * time.Millisecond
	relayReportTimeout  = 350 * time.Millisecond
	// relayFailureMemory is how long after a call that the store did not answer a node
	// leaves relaying to others.
	relayFailureMemory = 2 * time.Second
	// maxRelayAge is the age of a relay's knowledge from which it is no relay for others,
	// and relayTrialTime the time in which a new relay has to bring its knowledge up to date.
	maxRelayAge    = watchWait + watchGrace
	relayTrialTime = 600 * time.Millisecond
	// resignTimeout bounds the calls of a relay that resigns.
	resignTimeout = 200 * time.Millisecond
)

// resignation tells which node relays for a data centre after the sender.
type resignation struct {
	Successor string `cbor:"1,keyasint"`
}

// election is the state of the choice of a relay. It is owned by the loop.
type election struct {
	candidates map[string]time.Duration // nodes of the data centre that may relay, by name: time of the last report
	hint       string                   // node that is asked first
	since      time.Duration            // when this node became a relay
}

// mayRelay reports whether the store answers this node reliably.
func (f *Fleet) mayRelay(now time.Duration) bool {
	return f.cfg.Health.Steady(relayFailureMemory, now)
}

// relaysReliably reports whether other nodes may rely on this node as their relay. It is
// called on the loop.
func (f *Fleet) relaysReliably(now time.Duration) bool {
	return f.relays.Load() && f.mayRelay(now) &&
		(f.freshness.age(now) <= maxRelayAge || now-f.election.since <= relayTrialTime)
}

// electRelay looks for the relay of the data centre once in an interval, and at once when
// the store begins to fail this node or another relay resigns. The relay is the first node
// by name that relays already, or this node if the store answers it and no earlier node
// relays. While the store answers no node of the data centre, the first one that can be
// reached takes the place of the relay and copies records from other data centres.
func (f *Fleet) electRelay(ctx context.Context) error {
	unreachable := make(map[string]time.Duration)
	for {
		timer := f.cfg.Clock.NewTimer(relayReportInterval)
		select {
		case <-timer.Chan():
		case <-f.resigned:
		case <-f.cfg.Health.Failing():
			f.resign(ctx)
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil
		}
		relay := f.findRelay(ctx, unreachable)
		// An error means that the loop has ended.
		_ = f.query(ctx, func(now time.Duration) {
			f.setRelays(relay == f.cfg.Name, now)
			f.setWatchesAlone(relay)
			f.noteRelay(ctx, relay, now)
		})
	}
}

// findRelay reports to the nodes of the data centre until one is the relay, and returns the
// name of the relay or of the node that takes its place.
func (f *Fleet) findRelay(ctx context.Context, unreachable map[string]time.Duration) string {
	var hint string
	// An error means that the loop has ended.
	_ = f.query(ctx, func(time.Duration) { hint, f.election.hint = f.election.hint, "" })
	report := f.takeReport(ctx, false)
	v := f.View()
	if m, ok := v.members[hint]; ok && hint != f.cfg.Name {
		if reply, err := f.report(ctx, m, report, relayReportTimeout, unreachable); err == nil && reply.Relays {
			return hint
		}
	}
	first := "" // node that takes the place of a relay
	for _, name := range v.order {
		m := v.members[name]
		if m.Revoked || m.DataCentre != f.cfg.DataCentre {
			continue
		}
		if name == f.cfg.Name {
			if f.mayRelay(f.cfg.Clock.Elapsed()) {
				return name
			}
			if first == "" {
				first = name
			}
			continue
		}
		reply, err := f.report(ctx, m, report, relayReportTimeout, unreachable)
		if err != nil {
			continue
		}
		if reply.Relays {
			return name
		}
		if first == "" {
			first = name
		}
	}
	if first == "" {
		return f.cfg.Name // its own record is not stored yet
	}
	return first
}

// setRelays makes this node a relay, or a node that gets changes from one.
func (f *Fleet) setRelays(relays bool, now time.Duration) {
	if f.relays.Swap(relays) == relays || !relays {
		return
	}
	f.election.since = now
	clear(f.peerRevs) // filled again by reports of the other nodes
	select {
	case f.roleChanged <- struct{}{}:
	default:
	}
}

// setWatchesAlone makes this node watch the store itself while its relay passes on no
// evacuations. All records are listed first, as the relay may have left one out.
func (f *Fleet) setWatchesAlone(relay string) {
	alone := f.cfg.EvacuationPrefix != "" && relay != f.cfg.Name && f.replyVersions[relay] < evacuationVersion
	if !f.watchesAlone.Swap(alone) && alone {
		f.mustReload.Store(true)
	}
}

// resign hands the role of the relay to a node that the store answers, if this node is the
// relay and there is one. The successor is told first, as the other nodes report to it at
// once.
func (f *Fleet) resign(ctx context.Context) {
	var successor Member
	var others []Member
	// An error means that the loop has ended.
	_ = f.query(ctx, func(now time.Duration) {
		if !f.relays.Load() {
			return
		}
		for name, m := range f.members {
			if m.Revoked || m.DataCentre != f.cfg.DataCentre || name == f.cfg.Name || f.versions[name] == 0 {
				continue
			}
			others = append(others, m)
			at, ok := f.election.candidates[name]
			if ok && now-at <= 2*relayReportInterval && (successor.Name == "" || name < successor.Name) {
				successor = m
			}
		}
		f.election.hint = successor.Name
	})
	if successor.Name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	f.tellSuccessor(ctx, successor, successor.Name)
	told := make(chan struct{}, len(others))
	for _, m := range others {
		go func() {
			if m.Name != successor.Name {
				f.tellSuccessor(ctx, m, successor.Name)
			}
			told <- struct{}{}
		}()
	}
	for range others {
		<-told
	}
}

// tellSuccessor tells a node who relays from now on.
func (f *Fleet) tellSuccessor(ctx context.Context, m Member, successor string) {
	// A node that does not hear of it finds the new relay with its next report.
	_, _ = peer.Call[struct{}](ctx, f.cfg.Peers, m.Address, MethodResign, resignation{Successor: successor})
}

func (f *Fleet) handleResign(ctx context.Context, body []byte) ([]byte, error) {
	var r resignation
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	err := f.query(ctx, func(now time.Duration) {
		f.election.hint = r.Successor
		if r.Successor == f.cfg.Name && f.mayRelay(now) {
			f.setRelays(true, now)
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case f.resigned <- struct{}{}:
	default:
	}
	return cbor.Marshal(struct{}{})
}
