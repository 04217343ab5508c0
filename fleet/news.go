package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/span"
	"burdocklift/store"
)

// MethodChanges is the call by which the relay of a data centre, which watches the store,
// passes changed records on. Traffic inside a data centre is free.
const MethodChanges peer.Method = 3

const (
	// relayDelay is how long changes are collected before they are passed on.
	relayDelay = 20 * time.Millisecond
	// largeChangesTimeout replaces reportTimeout for changes with compressed records, which
	// all nodes of the data centre get over the link of the relay.
	largeChangesTimeout = 2 * time.Second
)

// changeSet holds the records that changed after one revision up to another, as far as
// they concern the receiving node.
type changeSet struct {
	After uint64       `cbor:"1,keyasint"`
	Rev   uint64       `cbor:"2,keyasint"`
	Items []store.Item `cbor:"3,keyasint,omitempty"`
	Large []string     `cbor:"4,keyasint,omitempty"` // keys to be read from the store
	AgeMs int64        `cbor:"5,keyasint,omitempty"` // since the store last confirmed that there is no newer record
	// Packed holds compressed records.
	Packed []packedItem `cbor:"6,keyasint,omitempty"`
	Era    uint64       `cbor:"7,keyasint,omitempty"` // of the revisions
}

// rangeChange is the revision at which the ranges of a service last changed for a node.
type rangeChange struct {
	ownerRev uint64            // last change of owners, which concerns all nodes
	nodeRevs map[string]uint64 // last change of earlier owners or handovers, by node of the present owner
}

// noteRangeChange records which nodes a change of ranges concerns.
func (f *Fleet) noteRangeChange(service string, old, m span.Map, rev uint64) {
	c, ok := f.rangeChanges[service]
	if !ok {
		c = &rangeChange{nodeRevs: make(map[string]uint64)}
		f.rangeChanges[service] = c
	}
	if old.Era != m.Era {
		c.ownerRev = rev // all nodes wait for the ranges of their era
	}
	for _, r := range m.Ranges {
		before, ok := old.Find(r.From)
		if !ok || before.From != r.From || before.To != r.To || before.Epoch != r.Epoch || before.Owner != r.Owner {
			c.ownerRev = rev
		}
		if !ok || before.Token != r.Token || before.Next != r.Next || !slices.Equal(before.Prior, r.Prior) {
			c.nodeRevs[r.Node] = rev
		}
	}
}

// changesFor returns the changes that a node lacks which knows all records up to a
// revision.
func (f *Fleet) changesFor(node string, after uint64, now time.Duration) (changeSet, bool) {
	var b batch
	n := changeSet{After: after, Rev: f.knownRev, Era: f.eras.now, AgeMs: f.freshness.ageMs(now)}
	for key, it := range f.items {
		if it.Rev <= after || f.isEvacuation(key) && f.versions[node] < evacuationVersion {
			continue
		}
		if service, ok := strings.CutPrefix(key, prefixRanges); ok && !it.Removed {
			c := f.rangeChanges[service]
			if c != nil && max(c.ownerRev, c.nodeRevs[node]) <= after {
				continue
			}
		}
		f.addToBatch(&b, it, f.versions[node] > 0)
	}
	n.Items, n.Packed, n.Large = b.items, b.packed, b.large
	return n, len(n.Items)+len(n.Packed)+len(n.Large) > 0
}

// relayChanges starts calls to all nodes of the data centre that lack changes. It is
// called on the loop of a relay.
func (f *Fleet) relayChanges(ctx context.Context) {
	if f.eras.relisting {
		return
	}
	for name, m := range f.members {
		after, ok := f.peerRevs[name]
		if !ok || m.DataCentre != f.cfg.DataCentre || name == f.cfg.Name || f.relaying[name] || !f.cfg.Peers.Reachable(m.Address) {
			continue
		}
		n, some := f.changesFor(name, after, f.cfg.Clock.Elapsed())
		if !some {
			continue
		}
		f.relaying[name] = true
		go f.sendChanges(ctx, m, n)
	}
}

// sendChanges passes changes on to a node and records the revision that it knows then.
func (f *Fleet) sendChanges(ctx context.Context, m Member, n changeSet) {
	timeout := reportTimeout
	if len(n.Packed) > 0 {
		timeout = largeChangesTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	reply, err := peer.Call[reportReply](callCtx, f.cfg.Peers, m.Address, MethodChanges, n)
	cancel()
	// An error means that the loop has ended.
	_ = f.query(ctx, func(now time.Duration) {
		delete(f.relaying, m.Name)
		if err == nil && f.notePeerRev(m.Name, reply.Rev, reply.Era, now) {
			f.changesPending = true
		}
	})
}

// notePeerRev records the revision up to which a node knows all records. It returns false
// if that is not of the present era.
func (f *Fleet) notePeerRev(name string, rev, era uint64, now time.Duration) bool {
	if era != 0 && !f.enterEra(era, now) || era == 0 && !f.presentEra(era) {
		f.peerRevs[name] = 0
		return false
	}
	f.peerRevs[name] = rev
	return true
}

// enterPeerEra takes over the era of records from another node, and reports whether they
// may be used.
func (f *Fleet) enterPeerEra(era uint64, now time.Duration) bool {
	if era == 0 {
		return f.presentEra(era)
	}
	return f.enterEra(era, now)
}

func (f *Fleet) handleChanges(ctx context.Context, body []byte) ([]byte, error) {
	var n changeSet
	if err := cbor.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	items, err := unpackAll(n.Items, n.Packed)
	if err != nil {
		return nil, err
	}
	var read []readItem
	for _, key := range n.Large {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		it, err := f.read(callCtx, key)
		cancel()
		if err != nil {
			// The relay passes on again what is still missing.
			f.noteStoreState(ctx, err)
			n.Rev = n.After
			continue
		}
		read = append(read, it)
	}
	var reply reportReply
	err = f.post(ctx, func(now time.Duration) {
		f.relayHeardAt = now
		defer func() { reply.Rev, reply.Era = f.knownRev, f.eras.now }()
		if !f.enterPeerEra(n.Era, now) {
			return
		}
		f.applyRecords(items, fromRelay)
		for _, it := range read {
			f.applyRead(it, now)
		}
		// The changes of a relay that passes on no evacuations are not complete.
		if n.After <= f.knownRev && !f.watchesAlone.Load() {
			f.knownRev = max(f.knownRev, n.Rev)
		}
		f.confirmThrough(n.Rev, n.AgeMs, now)
	})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}
