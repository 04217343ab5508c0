package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/span"
	"burdocklift/store"
)

// MethodGather is the call by which the planning node learns what the others know of the
// ranges, after the store was restored from an older copy.
const MethodGather peer.Method = 12

const (
	// gatherTimeout bounds one call, whose round trip takes at most 16 ms.
	gatherTimeout = 600 * time.Millisecond
	// gatherRetryInterval is the time between two rounds of calls to the nodes that have
	// not answered.
	gatherRetryInterval = 500 * time.Millisecond
	// maxGatherCalls bounds the calls in flight.
	maxGatherCalls = 64
	// gatherVersion is the protocolVersion from which on nodes know MethodGather.
	gatherVersion = 2
)

// rangesMark orders the ranges of a service over all eras.
type rangesMark struct {
	Era uint64 `cbor:"1,keyasint,omitempty"` // that the ranges name
	Rev uint64 `cbor:"2,keyasint,omitempty"` // in that era
}

func (m rangesMark) compare(o rangesMark) int {
	return cmp.Or(cmp.Compare(m.Era, o.Era), cmp.Compare(m.Rev, o.Rev))
}

type gatherRequest struct {
	Era uint64 `cbor:"1,keyasint"`
	// Known are the newest ranges of earlier eras that the caller knows, by service. Only
	// newer ones are sent.
	Known map[string]rangesMark `cbor:"2,keyasint,omitempty"`
}

type gatherReply struct {
	Era uint64 `cbor:"1,keyasint"`
	// Ready is true if all holds that an earlier run of the node gave have ended.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// Kept are the services whose ranges the node knows from an earlier era.
	Kept []string `cbor:"3,keyasint,omitempty"`
	// Ranges are those of the kept ones that the caller does not know.
	Ranges []keptRanges `cbor:"4,keyasint,omitempty"`
	// MaxEpoch is the highest epoch that the node and its target have shown.
	MaxEpoch uint64 `cbor:"5,keyasint,omitempty"`
	// Missing are the nodes that have no record in the present era, or one of an earlier run,
	// as the node knows them.
	Missing []Member `cbor:"6,keyasint,omitempty"`
}

type keptRanges struct {
	Service string     `cbor:"1,keyasint"`
	Mark    rangesMark `cbor:"2,keyasint"`
	Data    []byte     `cbor:"3,keyasint"` // as it is stored
}

// gathering is what the planning node has learned from the others since a restore of the
// store. A node that has answered applies no ranges of an earlier era any more, so its
// answer stays valid in the present era.
type gathering struct {
	inFlight bool
	retryAt  time.Duration
	answered map[string][]string // services that a node knew, by node
	newest   map[string]gathered // ranges of earlier eras, by service
	maxEpoch uint64
	created  map[string]bool // services of which no node knows any ranges
}

type gathered struct {
	mark   rangesMark
	ranges span.Map
}

// unrestored returns the services whose ranges the planning node has yet to restore.
func (f *Fleet) unrestored() []string {
	return slices.DeleteFunc(slices.Clone(f.shardedServices()), func(service string) bool {
		return f.rangesRestored(service) || f.planner.gather.created[service]
	})
}

// mayCreateRanges reports whether the keys of a service may be assigned although no ranges
// of it are known: no node knows any, or the store was never restored.
func (f *Fleet) mayCreateRanges(service string) bool {
	_, known := f.ranges[service]
	return f.planner.leads.Load() && (f.planner.gather.created[service] || f.eras.now == store.FirstEra && !known)
}

// knownMarks returns the newest ranges of earlier eras that this node knows.
func (f *Fleet) knownMarks() map[string]rangesMark {
	marks := make(map[string]rangesMark)
	for service := range f.eras.kept {
		marks[service] = rangesMark{f.ranges[service].Era, f.rangesRev[service]}
	}
	for service, g := range f.planner.gather.newest {
		if g.mark.compare(marks[service]) > 0 {
			marks[service] = g.mark
		}
	}
	return marks
}

// gatherDue asks the nodes that have not answered yet if ranges are to be restored.
func (f *Fleet) gatherDue(ctx context.Context, now time.Duration) {
	g := &f.planner.gather
	if f.eras.now == 0 || !f.planner.leads.Load() || f.eras.relisting || !f.synced || g.inFlight || now < g.retryAt || len(f.unrestored()) == 0 {
		return
	}
	var asked []Member
	for name, m := range f.members {
		if _, ok := g.answered[name]; !ok && name != f.cfg.Name && !(m.Revoked && f.presentEra(m.Era)) && f.versions[name] >= gatherVersion {
			asked = append(asked, m)
		}
	}
	g.inFlight, g.retryAt = true, now+gatherRetryInterval
	go f.askAll(ctx, asked, gatherRequest{Era: f.eras.now, Known: f.knownMarks()})
}

// askAll asks nodes what they know of the ranges.
func (f *Fleet) askAll(ctx context.Context, asked []Member, req gatherRequest) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxGatherCalls)
	for _, m := range asked {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, gatherTimeout)
			r, err := peer.Call[gatherReply](callCtx, f.cfg.Peers, m.Address, MethodGather, req)
			cancel()
			if err != nil {
				return // asked again in the next round
			}
			// An error means that the loop has ended.
			_ = f.query(ctx, func(now time.Duration) { f.receiveGathered(ctx, m.Name, r, now) })
		})
	}
	calls.Wait()
	// An error means that the loop has ended.
	_ = f.post(ctx, func(time.Duration) {
		if req.Era == f.eras.now {
			f.planner.gather.inFlight = false
		}
	})
}

func (f *Fleet) receiveGathered(ctx context.Context, name string, r gatherReply, now time.Duration) {
	if !f.enterEra(r.Era, now) {
		return
	}
	g := &f.planner.gather
	g.maxEpoch = max(g.maxEpoch, r.MaxEpoch)
	for _, k := range r.Ranges {
		m, err := span.Decode(k.Data)
		if err != nil {
			eventGatheredInvalid.Log(ctx, f.cfg.Log, slog.String("member", name), slog.String("service", k.Service), slog.String("error", err.Error()))
			return
		}
		if known, ok := g.newest[k.Service]; !ok || k.Mark.compare(known.mark) > 0 {
			if g.newest == nil {
				g.newest = make(map[string]gathered)
			}
			g.newest[k.Service] = gathered{k.Mark, m}
		}
	}
	f.addMissing(r.Missing, now)
	if r.Ready {
		if g.answered == nil {
			g.answered = make(map[string][]string)
		}
		g.answered[name] = r.Kept
	}
}

// addMissing adds nodes that this one does not know. They write their records again
// themselves.
func (f *Fleet) addMissing(missing []Member, now time.Duration) {
	added := false
	for _, m := range missing {
		if old, ok := f.members[m.Name]; ok && old.Run >= m.Run || m.Name == f.cfg.Name || m.Name == "" || m.Address == "" {
			continue
		}
		if !added {
			f.members = maps.Clone(f.members)
		}
		added = true
		f.members[m.Name] = m
		f.eras.recordedAt[m.Name] = now
	}
	if added {
		f.publish()
	}
}

func (f *Fleet) handleGather(ctx context.Context, body []byte) ([]byte, error) {
	var c gatherRequest
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	var r gatherReply
	var encodeErr error
	err := f.query(ctx, func(now time.Duration) {
		f.enterEra(c.Era, now)
		r.Era, r.Ready, r.MaxEpoch = f.eras.now, now >= f.local.earlierHoldEndsBy, f.shownEpoch()
		for service := range f.eras.kept {
			r.Kept = append(r.Kept, service)
			mark := rangesMark{f.ranges[service].Era, f.rangesRev[service]}
			if mark.compare(c.Known[service]) <= 0 {
				continue
			}
			data, err := f.ranges[service].Encode()
			if err != nil {
				encodeErr = err
				return
			}
			r.Ranges = append(r.Ranges, keptRanges{service, mark, data})
		}
		for name, m := range f.members {
			if it, ok := f.items[prefixMember+name]; !ok || it.Removed || f.eras.laterRun[name] {
				r.Missing = append(r.Missing, m)
			}
		}
	})
	if err == nil {
		err = encodeErr
	}
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(r)
}

// shownEpoch returns the highest epoch that this node knows of.
func (f *Fleet) shownEpoch() uint64 {
	epoch := uint64(0)
	for _, m := range f.ranges {
		epoch = max(epoch, m.NextEpoch)
	}
	for _, k := range f.local.heartbeat.Holds {
		epoch = max(epoch, k.Epoch)
	}
	return epoch
}

// restoreTxn writes the ranges of a service again after the store was restored from an
// older copy, once no node can let its target hold keys by newer ones than those that
// this node knows: each node has told what it knows, or its right has ended.
func (f *Fleet) restoreTxn(service string, now time.Duration) (store.Txn, bool) {
	if !f.planner.leads.Load() || !f.planner.reloaded || now < f.local.earlierHoldEndsBy {
		return store.Txn{}, false
	}
	g := &f.planner.gather
	var absent []string
	_, kept := f.eras.kept[service]
	renewed := !kept
	for name, m := range f.members {
		services, ok := g.answered[name]
		switch {
		case name == f.cfg.Name:
		case ok:
			renewed = renewed || !slices.Contains(services, service)
		case m.Revoked && f.presentEra(m.Era):
			renewed = true
		case f.versions[name] > 0 && f.versions[name] < gatherVersion:
			renewed = true // a node of an earlier version goes by the stored ranges
		case !f.rightEnded(name, now):
			return store.Txn{}, false
		default:
			absent, renewed = append(absent, name), true
		}
	}
	if len(absent) > maxRevokedPerTxn {
		var txn store.Txn
		f.addRevocations(&txn, absent[:maxRevokedPerTxn])
		return txn, true
	}
	m, ok := f.newestRanges(service)
	if !ok {
		if g.created == nil {
			g.created = make(map[string]bool)
		}
		g.created[service] = true
		return store.Txn{}, false
	}
	m = m.Clone()
	m.RaiseEpochs(max(lastEpochBefore(f.eras.now), max(g.maxEpoch, f.shownEpoch())+epochGap), renewed)
	m.Era = f.eras.now
	value, err := m.Encode()
	if err != nil {
		panic("cannot encode ranges of service " + service + ": " + err.Error())
	}
	key := prefixRanges + service
	txn := store.Txn{Expect: []store.Expect{f.expect(key)}, Writes: []store.Write{{Key: key, Value: value}}}
	f.addRevocations(&txn, absent)
	eventRangesRestored.Log(context.Background(), f.cfg.Log, slog.String("service", service), slog.Int("answered", len(g.answered)),
		slog.Int("absent", len(absent)), slog.Bool("renewed", renewed), slog.Uint64("next_epoch", m.NextEpoch))
	return txn, true
}

// newestRanges returns the newest ranges of a service that any node knew before the present
// era or, if none did, the stored ones. Those are not compared: a late write can give them
// any revision. If some node knew ranges, those that nobody knows are not in use any more.
func (f *Fleet) newestRanges(service string) (span.Map, bool) {
	m, ok := f.ranges[service]
	_, kept := f.eras.kept[service]
	g, some := f.planner.gather.newest[service]
	if some && (!kept || g.mark.compare(rangesMark{m.Era, f.rangesRev[service]}) > 0) {
		return g.ranges, true
	}
	return m, ok && len(m.Ranges) > 0
}

// ownerUnknown reports whether a range has an owner beside a node that this one does not
// know and whose right may not have ended. Its record may be missing from a restored store.
func (f *Fleet) ownerUnknown(m span.Map, now time.Duration) bool {
	if f.eras.now == 0 {
		return false
	}
	return slices.ContainsFunc(m.Ranges, func(r span.Range) bool {
		_, ok := f.members[r.Node]
		return !ok && !f.rightEnded(r.Node, now)
	})
}
