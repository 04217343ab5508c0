package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
)

// Methods of calls from a node to witnesses.
const (
	// MethodConfirm asks a witness to confirm a node's right while the store does not
	// confirm its lease.
	MethodConfirm peer.Method = 4
	// MethodRefuse tells a witness never to confirm the right under a lease again.
	MethodRefuse peer.Method = 5
)

const (
	// witnessCount is how many nodes may confirm another node's right while the store does
	// not answer, and quorum is how many of them have to. Ending the right takes as many
	// refusals, so that the two quorums share at least one witness.
	witnessCount = 3
	quorum       = 2
	// witnessTimeout bounds a call to a witness, whose round trip takes at most 16 ms.
	witnessTimeout = 600 * time.Millisecond
	// witnessOnlyTime is how long witnesses alone may keep up a right after the store last
	// confirmed the lease. The longest outages of the store seen are 9 s. After this time
	// the right has ended even if no witness can be called.
	witnessOnlyTime = 25 * time.Second
)

// Witness is a run of a node that may confirm another node's right. A restarted node has
// lost its record of refusals and is no longer a witness.
type Witness struct {
	Name    string `cbor:"1,keyasint"`
	Run     int64  `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

type witnessRequest struct {
	Node  string `cbor:"1,keyasint"`
	Run   int64  `cbor:"2,keyasint"` // of the witness that is called
	Lease uint64 `cbor:"3,keyasint"`
	Era   uint64 `cbor:"4,keyasint,omitempty"` // of the lease, whose number may be given out again in the next one
}

type witnessReply struct {
	// Run is that of the answering node. If it is another run than the one called, the
	// witness has ended.
	Run       int64 `cbor:"1,keyasint"`
	Confirmed bool  `cbor:"2,keyasint"`
}

// chooseWitnesses returns the witnesses of a node: the nodes that follow it by name, in as
// many data centres as possible.
func chooseWitnesses(self Member, members []Member) []Witness {
	start, _ := slices.BinarySearchFunc(members, self.Name, func(m Member, name string) int {
		if m.Name < name {
			return -1
		}
		return 1
	})
	var out []Witness
	used := map[string]bool{self.DataCentre: true}
	for _, distinct := range []bool{true, false} {
		for i := range members {
			m := members[(start+i)%len(members)]
			taken := slices.ContainsFunc(out, func(w Witness) bool { return w.Name == m.Name })
			if len(out) == witnessCount || m.Name == self.Name || taken || distinct && used[m.DataCentre] {
				continue
			}
			used[m.DataCentre] = true
			out = append(out, Witness{Name: m.Name, Run: m.Run, Address: m.Address})
		}
	}
	return out
}

// askWitnesses calls witnesses of a node and reports whether enough of them gave the
// wanted reply. It returns as soon as the result is certain.
func (f *Fleet) askWitnesses(
	ctx context.Context, m Member, asked []Witness, needed int, method peer.Method, accept func(Witness, witnessReply) bool,
) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	replies := make(chan bool, len(asked))
	for _, w := range asked {
		go func() {
			r, err := peer.Call[witnessReply](ctx, f.cfg.Peers, w.Address, method,
				witnessRequest{Node: m.Name, Run: w.Run, Lease: m.Lease, Era: m.Era})
			replies <- err == nil && accept(w, r)
		}()
	}
	for left := len(asked); needed > 0 && needed <= left; left-- {
		if <-replies {
			needed--
		}
	}
	return needed <= 0
}

// requestConfirmation asks the witnesses to confirm this node's right.
func (f *Fleet) requestConfirmation(ctx context.Context, lease uint64) bool {
	m, ok := f.View().Member(f.cfg.Name)
	if !ok || m.Lease != lease {
		return false
	}
	confirmed := func(w Witness, r witnessReply) bool { return r.Run == w.Run && r.Confirmed }
	return f.askWitnesses(ctx, m, m.Witnesses, quorum, MethodConfirm, confirmed)
}

// requestRefusal has the witnesses of a node refuse to confirm its right, and reports
// whether enough of them do. The witnesses are those of the node's record at a revision. A
// witness that no longer runs, or whose own right has ended, counts as a refusal.
func (f *Fleet) requestRefusal(ctx context.Context, m Member, rev uint64) bool {
	asked := slices.Clone(m.Witnesses)
	err := f.query(ctx, func(time.Duration) {
		asked = slices.DeleteFunc(asked, func(w Witness) bool { return f.cannotConfirm(w, rev) })
	})
	if err != nil {
		return false // the loop has ended
	}
	refused := func(w Witness, r witnessReply) bool { return r.Run != w.Run || !r.Confirmed }
	return f.askWitnesses(ctx, m, asked, quorum-(len(m.Witnesses)-len(asked)), MethodRefuse, refused)
}

// cannotConfirm reports whether a witness that a record of a revision names will certainly
// confirm nothing any more: the right of its run has ended, or its node has another run,
// which is a later one if all records up to that revision are known.
func (f *Fleet) cannotConfirm(w Witness, rev uint64) bool {
	m, ok := f.members[w.Name]
	return ok && f.presentEra(m.Era) && (m.Run == w.Run && m.Revoked || m.Run != w.Run && f.knownRev >= rev)
}

// witnessState is what a node remembers as a witness of others.
type witnessState struct {
	refused map[leaseID]bool // leases that are no longer confirmed
}

// leaseID identifies a lease over all eras.
type leaseID struct{ lease, era uint64 }

func (f *Fleet) handleConfirm(ctx context.Context, body []byte) ([]byte, error) {
	return f.handleWitnessRequest(ctx, body, func(c witnessRequest, now time.Duration) bool {
		return !f.witness.refused[leaseID{c.Lease, c.Era}] && now < f.grantRight.validUntil
	})
}

func (f *Fleet) handleRefuse(ctx context.Context, body []byte) ([]byte, error) {
	return f.handleWitnessRequest(ctx, body, func(c witnessRequest, _ time.Duration) bool {
		if f.witness.refused == nil {
			f.witness.refused = make(map[leaseID]bool)
		}
		f.witness.refused[leaseID{c.Lease, c.Era}] = true
		eventConfirmationsRefused.Log(ctx, f.cfg.Log, slog.String("member", c.Node), slog.Uint64("lease", c.Lease))
		return false
	})
}

func (f *Fleet) handleWitnessRequest(ctx context.Context, body []byte, act func(c witnessRequest, now time.Duration) bool) ([]byte, error) {
	var c witnessRequest
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	var reply witnessReply
	err := f.query(ctx, func(now time.Duration) {
		reply.Run = f.run
		reply.Confirmed = c.Run == f.run && act(c, now)
	})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}
