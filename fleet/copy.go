package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/store"
)

// MethodCopy is the call by which a node that the store does not serve copies records from
// another node.
const MethodCopy peer.Method = 7

const (
	// copyInterval is the time between two copies. Rules are due within 2 s.
	copyInterval = 400 * time.Millisecond
	// maxCopies bounds how many nodes are asked for one copy.
	maxCopies = 4
)

type copyRequest struct {
	After   uint64 `cbor:"1,keyasint"`           // revision up to which the caller knows all records
	Version uint8  `cbor:"2,keyasint,omitempty"` // protocolVersion of the caller
	Era     uint64 `cbor:"3,keyasint,omitempty"` // of After
}

type copyReply struct {
	Items []store.Item `cbor:"1,keyasint,omitempty"`
	Rev   uint64       `cbor:"2,keyasint"`           // up to which Items has all newer records
	AgeMs int64        `cbor:"3,keyasint,omitempty"` // since the store last confirmed that there is no newer record
	// Packed holds compressed records.
	Packed []packedItem `cbor:"4,keyasint,omitempty"`
	// Origin tells where the records come from.
	Origin origin `cbor:"5,keyasint,omitempty"`
	// Version is the protocolVersion of the sender, 0 before version 2.
	Version uint8  `cbor:"6,keyasint,omitempty"`
	Era     uint64 `cbor:"7,keyasint,omitempty"` // of the revisions
}

// origin tells how a node gets its records.
type origin uint8

const (
	originUnknown origin = iota // sent by nodes of earlier versions
	originStore                 // the store answers the node's own watch
	originNodes                 // other nodes send them
)

// mayBeFromStore reports whether the store answers the node that sent the reply, or the
// node does not tell.
func (r copyReply) mayBeFromStore() bool { return r.Origin != originNodes }

// copyRecords copies newer records from nodes of other data centres, until one of them has
// its records from the store itself. The store may fail their relays as well, and what a
// chain of nodes copies from each other grows older with each of them. If no node that was
// asked is answered by the store, the one whose records were the youngest is asked first
// next time, and then others than this time.
func (f *Fleet) copyRecords(ctx context.Context) {
	best, bestAge := "", time.Duration(0)
	for _, address := range f.copySources() {
		r, err := f.copyFrom(ctx, address)
		if err != nil {
			continue
		}
		age := time.Duration(r.AgeMs) * time.Millisecond
		if best == "" || age < bestAge {
			best, bestAge = address, age
		}
		if r.mayBeFromStore() && age <= maxRelayAge+relayReportInterval {
			best = address
			break
		}
	}
	f.copySource = best
}

// copySources returns the addresses of the nodes to ask for one copy.
func (f *Fleet) copySources() []string {
	others := f.otherRelays()
	var out []string
	if i := slices.Index(others, f.copySource); i >= 0 {
		out = append(out, f.copySource)
		others = slices.Delete(others, i, i+1)
	}
	for range min(maxCopies-len(out), len(others)) {
		out = append(out, others[f.copyCursor%len(others)])
		f.copyCursor++
	}
	return out
}

// copyFrom copies newer records from a node.
func (f *Fleet) copyFrom(ctx context.Context, address string) (copyReply, error) {
	req := copyRequest{Version: protocolVersion}
	// An error means that the loop has ended.
	_ = f.query(ctx, func(time.Duration) { req.After, req.Era = f.knownRev, f.eras.now })
	callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	r, err := peer.Call[copyReply](callCtx, f.cfg.Peers, address, MethodCopy, req)
	if err != nil {
		return r, err
	}
	if r.Items, err = unpackAll(r.Items, r.Packed); err != nil {
		return r, err
	}
	return r, f.post(ctx, func(now time.Duration) {
		if !f.enterPeerEra(r.Era, now) || r.Era != req.Era && f.eras.relisting {
			return // the next copy begins at the first revision
		}
		if f.cfg.EvacuationPrefix != "" && r.Version < evacuationVersion {
			f.applyChanges(r.Items, 0, fromCopy) // records of evacuations may be missing
			return
		}
		f.applyChanges(r.Items, r.Rev, fromCopy)
		f.confirmThrough(r.Rev, r.AgeMs, now)
	})
}

// otherRelays returns the addresses of the first two reachable nodes of each other data
// centre. The first one usually watches the store; the second one takes its place if it
// fails.
func (f *Fleet) otherRelays() []string {
	v := f.View()
	count := make(map[string]int)
	var out []string
	v.Members(func(m Member) {
		if m.Revoked || m.DataCentre == f.cfg.DataCentre || !f.cfg.Peers.Reachable(m.Address) {
			return
		}
		if count[m.DataCentre]++; count[m.DataCentre] <= 2 {
			out = append(out, m.Address)
		}
	})
	return out
}

func (f *Fleet) handleCopy(ctx context.Context, body []byte) ([]byte, error) {
	var c copyRequest
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	r := copyReply{Version: protocolVersion}
	var b batch
	relisting := false
	err := f.query(ctx, func(now time.Duration) {
		if c.Era > f.eras.now {
			f.enterEra(c.Era, now)
		}
		r.Era, relisting = f.eras.now, f.eras.relisting
		if !f.presentEra(c.Era) {
			c.After = 0
		}
		r.Rev, r.AgeMs = f.knownRev, f.freshness.ageMs(now)
		r.Origin = originNodes
		if f.watches() && f.watchFailures.Load() == 0 {
			r.Origin = originStore
		}
		for _, it := range f.items {
			if it.Rev > c.After && (c.Version >= evacuationVersion || !f.isEvacuation(it.Key)) {
				f.addToBatch(&b, it, c.Version > 0)
			}
		}
		r.Items, r.Packed = b.items, b.packed
		for _, key := range b.large {
			r.Items = append(r.Items, f.items[key])
		}
	})
	if err == nil && relisting {
		err = errEraUnknown
	}
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(r)
}

// PeerAddresses returns the addresses of the other reachable nodes, beginning with the
// next one by name.
func (f *Fleet) PeerAddresses() []string {
	v := f.View()
	var before, after []string
	v.Members(func(m Member) {
		switch {
		case m.Revoked || m.Name == f.cfg.Name || !f.cfg.Peers.Reachable(m.Address):
		case m.Name < f.cfg.Name:
			before = append(before, m.Address)
		default:
			after = append(after, m.Address)
		}
	})
	return append(after, before...)
}
