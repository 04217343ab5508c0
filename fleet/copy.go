package fleet

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/store"
)

// MethodCopy is the call by which a node that the store does not serve copies records from
// another node.
const MethodCopy peer.Method = 7

// copyInterval is the time between two copies. Rules are due within 2 s.
const copyInterval = 400 * time.Millisecond

type copyRequest struct {
	After uint64 `cbor:"1,keyasint"` // revision up to which the caller knows all records
}

type copyReply struct {
	Items []store.Item `cbor:"1,keyasint,omitempty"`
	Rev   uint64       `cbor:"2,keyasint"` // up to which Items has all newer records
}

// copyRecords copies newer records from one of the nodes that watch the store for other
// data centres. It tries two of them.
func (f *Fleet) copyRecords(ctx context.Context) {
	after := uint64(0)
	// An error means that the loop has ended.
	_ = f.post(ctx, func(time.Duration) { after = f.knownRev })
	others := f.otherRelays()
	for i := range min(2, len(others)) {
		f.copyCursor++
		address := others[(f.copyCursor+i)%len(others)]
		callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
		r, err := peer.Call[copyReply](callCtx, f.cfg.Peers, address, MethodCopy, copyRequest{After: after})
		cancel()
		if err == nil {
			// An error means that the loop has ended.
			_ = f.post(ctx, func(time.Duration) { f.applyChanges(r.Items, r.Rev, fromCopy) })
			return
		}
	}
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
	var r copyReply
	err := f.post(ctx, func(time.Duration) {
		r.Rev = f.knownRev
		for _, it := range f.items {
			if it.Rev > c.After {
				r.Items = append(r.Items, it)
			}
		}
	})
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
