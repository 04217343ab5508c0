package lease

import (
	"encoding/binary"
	"maps"
	"slices"
	"testing"
	"time"

	"burdocklift/proto"
)

// The model has one holder, three witnesses, a fourth that replaces the third, and
// up to two coordinators. Each message may arrive at any later step or never.
// Duplicates are not modelled, as a second renewal or refusal only makes the
// coordinator wait for longer. A grant and the answer to a Refuse arrive at once: a
// grant runs from its renewal whenever it arrives, and a later answer only makes
// the coordinator wait for longer.
const (
	stepTime   = 199 * time.Millisecond // 3 steps are within the lease on the slow clock only
	maxSteps   = 4
	maxRenewal = 1 // after the first
)

type kind byte

const (
	mRenew   kind = iota // to witness a
	mRefuse              // from coordinator b to witness a
	mWrite               // new witnesses to the store
	mWritten             // confirmation of the write
)

type message struct {
	kind kind
	a, b int
	seq  uint64
}

type coordinator struct {
	started, assigned bool
	changed           bool // the marked record names the new witnesses
	revocation        Revocation
}

type world struct {
	step                   int
	holder                 *Holder
	witness                [4]*Witness
	restarted              [4]bool
	marked, changed        bool
	coords                 []coordinator
	msgs                   []message
	holderRate, othersRate float64
	renewals               int
	unstretched            bool
}

var (
	modelHost = proto.HostID{Name: "holder", Incarnation: 1}
	modelIDs  = []proto.HostID{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1}, {Name: "d", Incarnation: 1}}
	oldSet    = modelIDs[:3]
	newSet    = []proto.HostID{modelIDs[0], modelIDs[1], modelIDs[3]}
	modelBase = time.Unix(1_700_000_000, 0)
)

func (w *world) clock(rate float64) time.Time {
	return modelBase.Add(time.Duration(float64(w.step) * float64(stepTime) * rate))
}

func (w *world) set(changed bool) []proto.HostID {
	if changed {
		return newSet
	}
	return oldSet
}

func (w *world) clone() *world {
	c := *w
	h := *w.holder
	h.ends, h.sets, h.proposed = maps.Clone(h.ends), slices.Clone(h.sets), slices.Clone(h.proposed)
	c.holder = &h
	for i, x := range w.witness {
		n := *x
		n.refused = maps.Clone(x.refused)
		n.holders = make(map[proto.HostID]*holderState, len(x.holders))
		for id, g := range x.holders {
			k := *g
			n.holders[id] = &k
		}
		c.witness[i] = &n
	}
	c.coords = slices.Clone(w.coords)
	for i := range c.coords {
		c.coords[i].revocation.ends = maps.Clone(c.coords[i].revocation.ends)
	}
	c.msgs = slices.Clone(w.msgs)
	return &c
}

func (w *world) send(m message) {
	if !slices.Contains(w.msgs, m) {
		w.msgs = append(w.msgs, m)
	}
}

// key identifies the state, regardless of the order in which messages were sent.
func (w *world) key() string {
	var b []byte
	num := func(n int64) { b = binary.AppendVarint(b, n) }
	at := func(t time.Time) { num(int64(max(t.Sub(modelBase), -1))) }
	flags := func(fs ...bool) {
		n := int64(0)
		for i, f := range fs {
			if f {
				n |= 1 << i
			}
		}
		num(n)
	}
	num(int64(w.step))
	num(int64(w.renewals))
	flags(w.marked, w.changed, w.restarted[0], w.restarted[1], w.restarted[2], w.restarted[3])
	for _, id := range modelIDs {
		at(w.holder.ends[id])
	}
	num(int64(len(w.holder.sets)))
	for i := range w.holder.sent {
		at(w.holder.sent[i].at)
	}
	for _, x := range w.witness {
		num(int64(x.refused[modelHost.Name]))
		if g := x.holders[modelHost]; g != nil {
			at(g.lastGrant)
		}
		num(-2)
	}
	for i := range w.coords {
		c := &w.coords[i]
		flags(c.started, c.assigned, c.changed)
		for _, id := range modelIDs {
			at(c.revocation.ends[id])
		}
	}
	ms := slices.Clone(w.msgs)
	slices.SortFunc(ms, func(x, y message) int {
		return slices.Compare([]int64{int64(x.kind), int64(x.a), int64(x.b), int64(x.seq)},
			[]int64{int64(y.kind), int64(y.a), int64(y.b), int64(y.seq)})
	})
	for _, m := range ms {
		num(int64(m.kind)<<8 | int64(m.a)<<4 | int64(m.b))
		num(int64(m.seq))
	}
	return string(b)
}

// deliver hands a message to its receiver.
func (w *world) deliver(m message) {
	now, timing := w.clock(w.othersRate), proto.DefaultTiming()
	switch m.kind {
	case mRenew:
		// The grant of a restarted witness carries its new incarnation, which the
		// holder does not know.
		if w.witness[m.a].Renew(now, modelHost) && !w.restarted[m.a] {
			w.holder.Grant(modelIDs[m.a], m.seq)
		}
	case mRefuse:
		var left time.Duration
		if w.restarted[m.a] {
			left = w.witness[m.a].RefuseForPredecessor(now, modelHost)
		} else {
			left = w.witness[m.a].Refuse(now, modelHost)
		}
		if w.unstretched {
			left = max(0, left-timing.Stretch(timing.Lease)+timing.Lease)
		}
		w.coords[m.b].revocation.AddRefusal(now, timing, modelIDs[m.a], left)
	case mWrite:
		if !w.marked {
			w.changed = true
			w.send(message{kind: mWritten})
		}
	case mWritten:
		w.holder.SetWitnesses(newSet)
	}
}

// next calls fn with each successor state.
func (w *world) next(rules modelRules, fn func(*world)) {
	step := func(change func(n *world)) {
		n := w.clone()
		change(n)
		fn(n)
	}
	if w.step < maxSteps {
		step(func(n *world) { n.step++ })
	}
	if w.renewals < maxRenewal {
		step(func(n *world) {
			n.renewals++
			seq, to := n.holder.Renew(n.clock(n.holderRate))
			for _, id := range to {
				n.send(message{kind: mRenew, a: slices.Index(modelIDs, id), seq: seq})
			}
		})
	}
	for _, m := range w.msgs {
		step(func(n *world) {
			n.msgs = slices.DeleteFunc(n.msgs, func(o message) bool { return o == m })
			n.deliver(m)
		})
	}
	for i := range w.coords {
		c := &w.coords[i]
		end, ok := c.revocation.EndsAt(w.set(c.changed))
		if rules.oneRefusal {
			ok = ok || len(c.revocation.ends) > 0
		}
		switch {
		case !c.started:
			step(func(n *world) {
				n.marked = true
				n.coords[i].started, n.coords[i].changed = true, n.changed
				for _, id := range n.set(n.coords[i].changed) {
					n.send(message{kind: mRefuse, a: slices.Index(modelIDs, id), b: i})
				}
			})
		case ok && !c.assigned && (rules.noWait || !w.clock(w.othersRate).Before(end)):
			step(func(n *world) { n.coords[i].assigned = true })
		}
	}
	if rules.restart && w.restarted == [4]bool{} {
		step(func(n *world) {
			n.witness[0] = NewWitness(proto.DefaultTiming())
			n.restarted[0] = true
		})
	}
}

func (w *world) violated() bool {
	for i := range w.coords {
		if w.coords[i].assigned && w.holder.End().After(w.clock(w.holderRate)) {
			return true
		}
	}
	return false
}

// modelRules selects the parts of the model and the faults to inject.
type modelRules struct {
	coords          int
	change, restart bool
	depth           int
	oneRefusal      bool // coordinators wait for one refusal only
	noWait          bool // coordinators do not wait for the remaining time
	oneSet          bool // a change of witnesses needs a quorum of the new set only
	unstretched     bool // witnesses do not stretch the lease by the drift bound
}

// explore visits the states up to the depth, until one is found in which entries
// are reassigned while their earlier owner has a lease. It returns the number of
// states and whether such a state was found.
func explore(rules modelRules, holderRate, othersRate float64) (states int, broken bool) {
	start := &world{holder: NewHolder(proto.DefaultTiming(), 0), unstretched: rules.unstretched, holderRate: holderRate, othersRate: othersRate, coords: make([]coordinator, rules.coords)}
	start.holder.SetWitnesses(oldSet)
	for i := range start.witness {
		start.witness[i] = NewWitness(proto.DefaultTiming())
	}
	// The holder starts with a lease that all three witnesses have just granted.
	seq, _ := start.holder.Renew(modelBase)
	for i, id := range oldSet {
		start.witness[i].Renew(modelBase, modelHost)
		start.holder.Grant(id, seq)
	}
	if rules.change {
		// A change of witnesses has started and its write is in flight.
		start.holder.SetWitnesses(oldSet, newSet)
		if rules.oneSet {
			start.holder.SetWitnesses(newSet)
		}
		start.send(message{kind: mWrite})
	}
	seen := map[string]bool{start.key(): true}
	layer := []*world{start}
	for range rules.depth {
		var nextLayer []*world
		for _, w := range layer {
			w.next(rules, func(n *world) {
				k := n.key()
				if seen[k] {
					return
				}
				seen[k] = true
				broken = broken || n.violated()
				nextLayer = append(nextLayer, n)
			})
			if broken {
				return len(seen), true
			}
		}
		layer = nextLayer
	}
	return len(seen), false
}

// Guards against an order of renewals, refusals, witness changes and restarts in
// which a coordinator reassigns entries while the holder has a lease. The cases
// with an injected fault show that the depth is sufficient to find one.
func TestExhaustive(t *testing.T) {
	for _, c := range []struct {
		name   string
		rules  modelRules
		broken bool
	}{
		{"one coordinator", modelRules{coords: 1, depth: 11}, false},
		{"two coordinators", modelRules{coords: 2, depth: 9}, false},
		{"witness change", modelRules{coords: 1, change: true, depth: 11}, false},
		{"witness restart", modelRules{coords: 1, restart: true, depth: 10}, false},
		{"fault: one refusal", modelRules{coords: 1, oneRefusal: true, depth: 10}, true},
		{"fault: no wait", modelRules{coords: 1, noWait: true, depth: 10}, true},
		{"fault: one set", modelRules{coords: 1, change: true, oneSet: true, depth: 11}, true},
		{"fault: lease not stretched", modelRules{coords: 1, unstretched: true, depth: 10}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for i, rates := range [][2]float64{{1, 1.01}, {1.01, 1}} {
				if i > 0 && c.rules.change {
					continue // half a million states
				}
				states, broken := explore(c.rules, rates[0], rates[1])
				t.Logf("depth %d, rates %v: %d states, broken %v", c.rules.depth, rates, states, broken)
				// A slow holder is the worse case; some faults only show with it.
				if want := c.broken && rates[0] < rates[1]; broken != want && (want || !c.broken) {
					t.Errorf("rates %v: broken = %v, want %v", rates, broken, want)
				}
			}
		})
	}
}
