package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/span"
)

// protocolVersion is the version of the calls between nodes of this package: 1 has
// MethodResign, compressed records and ages, which nodes of version 0 do not know. Nodes of
// version 1 don't read and pass on records of evacuations, and don't know eras and
// MethodGather.
const protocolVersion = 2

// evacuationVersion is the first version whose nodes pass on records of evacuations.
const evacuationVersion = 2

// MethodReport is the call by which a node tells the planning node and its relay that it
// is alive, and the load of its keys.
const MethodReport peer.Method = 1

const (
	// reportInterval is the time between two reports to the planning node.
	reportInterval = time.Second
	// reportTimeout bounds a report, after which the next node by name is tried as the
	// planning node.
	reportTimeout = 500 * time.Millisecond
	// unreachableBackoff is how long a node that did not answer is skipped in the search
	// for the planning node or the relay.
	unreachableBackoff = time.Second
)

var (
	errAlive         = errors.New("node answers and will release its keys")
	errUnreachable   = errors.New("node did not answer a short time ago")
	errAddressReused = errors.New("address is in use by another node")
)

// Report is what a node sends to the planning node and, without load, to its relay.
type Report struct {
	Name           string           `cbor:"1,keyasint"`
	Rev            uint64           `cbor:"7,keyasint"`            // up to which the sender knows all records
	Requests       map[int]uint32   `cbor:"3,keyasint,omitempty"`  // by key, since the last report
	Incarnation    span.Incarnation `cbor:"4,keyasint,omitzero"`   // of the target beside the sender
	Answered       int              `cbor:"5,keyasint,omitempty"`  // requests that the target answered since the last report
	ServiceSeconds float64          `cbor:"6,keyasint,omitempty"`  // seconds that the target spent on them
	MayRelay       bool             `cbor:"8,keyasint,omitempty"`  // the store answers the sender reliably
	Version        uint8            `cbor:"9,keyasint,omitempty"`  // protocolVersion of the sender
	Era            uint64           `cbor:"10,keyasint,omitempty"` // of Rev
}

type reportReply struct {
	// Name shows whether the intended node answers, as addresses of removed nodes are used
	// again.
	Name  string `cbor:"5,keyasint"`
	Leads bool   `cbor:"2,keyasint,omitempty"` // the store serves the node, so that it can be the planning node
	// Relays is true if the node watches the store, which answers it, and passes changes
	// on. A node that only could do so passes nothing on.
	Relays bool   `cbor:"4,keyasint,omitempty"`
	Rev    uint64 `cbor:"3,keyasint,omitempty"` // up to which the node knows all records
	AgeMs  int64  `cbor:"6,keyasint,omitempty"` // since the store last confirmed that there is no newer record
	// Version is the protocolVersion of the answering node, 0 before version 2.
	Version uint8  `cbor:"7,keyasint,omitempty"`
	Era     uint64 `cbor:"8,keyasint,omitempty"` // of Rev
}

// sendReports reports to the planning node once in an interval. The planning node is the
// first node by name that answers and is served by the store.
func (f *Fleet) sendReports(ctx context.Context) error {
	unreachable := make(map[string]time.Duration)
	for {
		f.sleep(ctx, reportInterval)
		if ctx.Err() != nil {
			return nil
		}
		leads, leader := f.reportToFirst(ctx, unreachable, f.takeReport(ctx, true),
			func(r reportReply) bool { return r.Leads })
		// An error means that the loop has ended.
		_ = f.post(ctx, func(now time.Duration) {
			if f.planner.setLeads(leads, unreachable, now) {
				f.mustReload.Store(true)
			}
			f.leader = leader
		})
	}
}

// reportToFirst sends a report to the first of some nodes that answers as wanted. It
// returns whether that is this node itself, or the address of another one.
func (f *Fleet) reportToFirst(
	ctx context.Context, unreachable map[string]time.Duration, r Report, wanted func(reportReply) bool,
) (self bool, other string) {
	v := f.View()
	for _, name := range v.order {
		if v.members[name].Revoked {
			continue
		}
		if name == f.cfg.Name {
			if !f.canLead() {
				continue
			}
			// An error means that the loop has ended.
			_ = f.query(ctx, func(now time.Duration) { f.planner.receiveReport(r, now) })
			return true, ""
		}
		reply, err := f.report(ctx, v.members[name], r, reportTimeout, unreachable)
		if err == nil && wanted(reply) {
			return false, v.members[name].Address
		}
	}
	return false, ""
}

// report sends a report to a node, unless that did not answer a short time ago.
func (f *Fleet) report(
	ctx context.Context, m Member, r Report, timeout time.Duration, unreachable map[string]time.Duration,
) (reportReply, error) {
	if until, ok := unreachable[m.Name]; ok && f.cfg.Clock.Elapsed() < until {
		return reportReply{}, errUnreachable
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := peer.Call[reportReply](callCtx, f.cfg.Peers, m.Address, MethodReport, r)
	if err == nil && reply.Name != m.Name {
		err = errAddressReused
	}
	if err != nil {
		unreachable[m.Name] = f.cfg.Clock.Elapsed() + unreachableBackoff
		return reportReply{}, err
	}
	delete(unreachable, m.Name)
	// An error means that the loop has ended.
	_ = f.query(ctx, func(now time.Duration) {
		if reply.Leads || reply.Relays {
			f.relayHeardAt = now
		}
		f.replyVersions[m.Name] = reply.Version
		if f.enterPeerEra(reply.Era, now) {
			f.confirmThrough(reply.Rev, reply.AgeMs, now)
		}
	})
	return reply, nil
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
	reply := reportReply{Name: f.cfg.Name, Leads: f.canLead(), Version: protocolVersion}
	err := f.query(ctx, func(now time.Duration) {
		f.planner.receiveReport(r, now)
		f.notePeerRev(r.Name, r.Rev, r.Era, now)
		reply.Relays = f.relaysReliably(now)
		f.versions[r.Name] = r.Version
		if delete(f.election.candidates, r.Name); r.MayRelay && f.members[r.Name].DataCentre == f.cfg.DataCentre {
			f.election.candidates[r.Name] = now
		}
		f.changesPending = f.changesPending || f.peerRevs[r.Name] < f.knownRev
		if reply.Rev, reply.Era = f.knownRev, f.eras.now; !f.eras.relisting {
			reply.AgeMs = f.freshness.ageMs(now)
		}
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
	r := Report{Name: f.cfg.Name, MayRelay: f.mayRelay(f.cfg.Clock.Elapsed()), Version: protocolVersion}
	// An error means that the loop has ended.
	_ = f.query(ctx, func(time.Duration) { r.Rev, r.Era = f.knownRev, f.eras.now })
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
