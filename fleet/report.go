package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/span"
)

// MethodReport is the call by which a node tells the planning node and its relay that it
// is alive, and the load of its keys.
const MethodReport peer.Method = 1

const (
	// reportInterval is the time between two reports to the planning node.
	reportInterval = time.Second
	// reportTimeout bounds a report, after which the next node by name is tried as the
	// planning node.
	reportTimeout = 500 * time.Millisecond
	// relayReportInterval and relayReportTimeout apply to reports to the relay, which is
	// in the same data centre and 0.2 ms away. After the loss of a relay its successor has
	// to pass changes on within 1 s, as rules are due within 2 s.
	relayReportInterval = 500 * time.Millisecond
	relayReportTimeout  = 350 * time.Millisecond
	// unreachableBackoff is how long a node that did not answer is skipped in the search
	// for the planning node or the relay.
	unreachableBackoff = time.Second
)

var (
	errAlive         = errors.New("node answers and will release its keys")
	errAddressReused = errors.New("address is in use by another node")
)

// Report is what a node sends to the planning node and, without load, to its relay.
type Report struct {
	Name           string           `cbor:"1,keyasint"`
	Rev            uint64           `cbor:"7,keyasint"`           // up to which the sender knows all records
	Requests       map[int]uint32   `cbor:"3,keyasint,omitempty"` // by key, since the last report
	Incarnation    span.Incarnation `cbor:"4,keyasint,omitzero"`  // of the target beside the sender
	Answered       int              `cbor:"5,keyasint,omitempty"` // requests that the target answered since the last report
	ServiceSeconds float64          `cbor:"6,keyasint,omitempty"` // seconds that the target spent on them
}

type reportReply struct {
	// Name shows whether the intended node answers, as addresses of removed nodes are used
	// again.
	Name  string `cbor:"5,keyasint"`
	Leads bool   `cbor:"2,keyasint,omitempty"` // the store serves the node, so that it can be the planning node
	// Relays is true if the node watches the store and passes changes on. A node that only
	// could do so passes nothing on.
	Relays bool   `cbor:"4,keyasint,omitempty"`
	Rev    uint64 `cbor:"3,keyasint,omitempty"` // up to which the node knows all records
	AgeMs  int64  `cbor:"6,keyasint,omitempty"` // since the store last confirmed that there is no newer record
}

func (r reportReply) age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// sendReports reports to the planning node once in an interval. The planning node is the
// first node by name that answers and is served by the store.
func (f *Fleet) sendReports(ctx context.Context) error {
	unreachable := make(map[string]time.Duration)
	for {
		f.sleep(ctx, reportInterval)
		if ctx.Err() != nil {
			return nil
		}
		leads, leader := f.reportToFirst(ctx, unreachable, f.takeReport(ctx, true), reportTimeout,
			func(Member) bool { return true }, func(r reportReply) bool { return r.Leads })
		// An error means that the loop has ended.
		_ = f.post(ctx, func(now time.Duration) {
			if f.planner.setLeads(leads, unreachable, now) {
				f.mustReload.Store(true)
			}
			f.leader = leader
		})
	}
}

// electRelay reports to the relay of the data centre once in an interval. A node that
// finds no relay becomes the relay and watches the store itself.
func (f *Fleet) electRelay(ctx context.Context) error {
	unreachable := make(map[string]time.Duration)
	for {
		f.sleep(ctx, relayReportInterval)
		if ctx.Err() != nil {
			return nil
		}
		here := func(m Member) bool { return m.DataCentre == f.cfg.DataCentre }
		_, other := f.reportToFirst(ctx, unreachable, f.takeReport(ctx, false), relayReportTimeout,
			here, func(r reportReply) bool { return r.Leads && r.Relays })
		if other == "" && !f.relays.Swap(true) {
			// An error means that the loop has ended.
			_ = f.post(ctx, func(time.Duration) { clear(f.peerRevs) }) // filled again by reports of the other nodes
		}
		f.relays.Store(other == "")
		// An error means that the loop has ended.
		_ = f.post(ctx, func(now time.Duration) { f.noteRelay(ctx, other, now) })
	}
}

// reportToFirst sends a report to the first of some nodes that answers as wanted. It
// returns whether that is this node itself, or the address of another one.
func (f *Fleet) reportToFirst(
	ctx context.Context, unreachable map[string]time.Duration, r Report, timeout time.Duration,
	among func(Member) bool, wanted func(reportReply) bool,
) (self bool, other string) {
	v := f.View()
	for _, name := range v.order {
		if v.members[name].Revoked || !among(v.members[name]) {
			continue
		}
		if name == f.cfg.Name {
			if !f.canLead() {
				continue
			}
			// An error means that the loop has ended.
			_ = f.post(ctx, func(now time.Duration) { f.planner.receiveReport(r, now) })
			return true, ""
		}
		if until, ok := unreachable[name]; ok && f.cfg.Clock.Elapsed() < until {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		reply, err := peer.Call[reportReply](callCtx, f.cfg.Peers, v.members[name].Address, MethodReport, r)
		cancel()
		if err == nil && reply.Name != name {
			err = errAddressReused
		}
		if err == nil && wanted(reply) {
			delete(unreachable, name)
			// An error means that the loop has ended.
			_ = f.post(ctx, func(now time.Duration) {
				f.relayHeardAt = now
				f.confirmThrough(reply.Rev, reply.age(), now)
			})
			return false, v.members[name].Address
		}
		if err == nil {
			continue
		}
		unreachable[name] = f.cfg.Clock.Elapsed() + unreachableBackoff
	}
	return false, ""
}

// maxWatchFailures is how many consecutive calls to the store may fail before a node
// leaves planning and relaying to nodes that the store may still serve.
const maxWatchFailures = 2

// leadRetryDelay is the time after the last failure when such a node may plan and relay
// again.
const leadRetryDelay = 5 * time.Second

// canLead reports whether the store serves this node, so that it may plan and relay.
func (f *Fleet) canLead() bool {
	return f.watchFailures.Load() < maxWatchFailures || f.cfg.Clock.Elapsed()-time.Duration(f.lastWatchFailure.Load()) > leadRetryDelay
}

// probe reports whether a node answers a report now.
func (f *Fleet) probe(ctx context.Context, m Member) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := peer.Call[reportReply](ctx, f.cfg.Peers, m.Address, MethodReport, Report{Name: f.cfg.Name})
	return err == nil && r.Name == m.Name
}

func (f *Fleet) handleReport(ctx context.Context, body []byte) ([]byte, error) {
	var r Report
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	reply := reportReply{Name: f.cfg.Name, Leads: f.canLead(), Relays: f.relays.Load()}
	err := f.post(ctx, func(now time.Duration) {
		f.planner.receiveReport(r, now)
		f.peerRevs[r.Name] = r.Rev
		f.changesPending = f.changesPending || r.Rev < f.knownRev
		reply.Rev, reply.AgeMs = f.knownRev, f.freshness.age(now).Milliseconds()
	})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}

// CountRequest records a request for a key of the target beside this node.
func (f *Fleet) CountRequest(key int) {
	f.loadMu.Lock()
	defer f.loadMu.Unlock()
	if f.requestsByKey == nil {
		f.requestsByKey = make(map[int]uint32)
	}
	f.requestsByKey[key]++
}

// RecordServiceTime records how long the target took for a request that it answered.
func (f *Fleet) RecordServiceTime(d time.Duration) {
	f.loadMu.Lock()
	defer f.loadMu.Unlock()
	f.answered++
	f.serviceTime += d
}

// takeReport returns the next report, if wanted with the load since the last one that had
// it.
func (f *Fleet) takeReport(ctx context.Context, withLoad bool) Report {
	r := Report{Name: f.cfg.Name}
	// An error means that the loop has ended.
	_ = f.post(ctx, func(time.Duration) { r.Rev = f.knownRev })
	if !withLoad {
		return r
	}
	if t := f.View().Target(); t != nil {
		r.Incarnation = t.Incarnation
	}
	f.loadMu.Lock()
	defer f.loadMu.Unlock()
	r.Requests, r.Answered, r.ServiceSeconds = f.requestsByKey, f.answered, f.serviceTime.Seconds()
	f.requestsByKey, f.answered, f.serviceTime = nil, 0, 0
	return r
}
