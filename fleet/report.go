package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/peer"
	"burdocklift/span"
)

// MethodReport is the call by which a node tells the planning node and its relay
// that it lives, and how busy its keys are.
const MethodReport peer.Method = 1

const (
	// reportInterval is the time between two reports.
	reportInterval = time.Second
	// reportTimeout bounds a report, after which the next node is asked to plan.
	reportTimeout = 500 * time.Millisecond
	// contactInterval and contactTimeout are those between nodes of one data
	// centre, 0.2 ms apart. After the loss of a relay the next one is to pass
	// changes on within 1 s, as rules are due within 2 s.
	contactInterval = 500 * time.Millisecond
	contactTimeout  = 350 * time.Millisecond
	// silentAfter is how long a node is passed over as planner after it did not
	// answer.
	silentAfter = time.Second
)

var (
	errAlive = errors.New("node answers and will release its keys")
	errOther = errors.New("another node has the address")
)

// Report is sent to the planning node.
type Report struct {
	Name string           `cbor:"1,keyasint"`
	Rev  uint64           `cbor:"7,keyasint"`           // up to which the node knows all records
	Keys map[int]uint32   `cbor:"3,keyasint,omitempty"` // requests by key since the last report
	Life span.Incarnation `cbor:"4,keyasint,omitzero"`  // of the target beside the node
	Done int              `cbor:"5,keyasint,omitempty"` // requests that it answered since the last report
	Work float64          `cbor:"6,keyasint,omitempty"` // seconds for which it worked at them
}

type reportReply struct {
	// Name tells whether the node that was meant answers: addresses of nodes that
	// are gone are used again.
	Name  string `cbor:"5,keyasint"`
	Leads bool   `cbor:"2,keyasint,omitempty"` // the store serves the node, so that it can plan
	// Relays tells that the node watches the store and passes changes on. One
	// that only could do so passes nothing on.
	Relays bool   `cbor:"4,keyasint,omitempty"`
	Rev    uint64 `cbor:"3,keyasint,omitempty"` // up to which it knows all records
}

// report tells the planning node once in an interval that this node lives. The
// planning node is the first by name that answers.
func (f *Fleet) report(ctx context.Context) error {
	silent := make(map[string]time.Duration)
	for {
		f.pause(ctx, reportInterval)
		if ctx.Err() != nil {
			return nil
		}
		leads, leader := f.first(ctx, silent, f.takeReport(ctx, true), reportTimeout,
			func(Member) bool { return true }, func(r reportReply) bool { return r.Leads })
		// An error means that the loop has ended.
		_ = f.post(ctx, func(now time.Duration) {
			if f.planner.lead(leads, silent, now) {
				f.mustList.Store(true)
			}
			f.leader = leader
		})
	}
}

// contact keeps in touch with the relay of the data centre. A node that finds
// none watches the store itself.
func (f *Fleet) contact(ctx context.Context) error {
	silent := make(map[string]time.Duration)
	for {
		f.pause(ctx, contactInterval)
		if ctx.Err() != nil {
			return nil
		}
		here := func(m Member) bool { return m.DataCentre == f.cfg.DataCentre }
		_, other := f.first(ctx, silent, f.takeReport(ctx, false), contactTimeout,
			here, func(r reportReply) bool { return r.Leads && r.Relays })
		if other == "" && !f.relays.Swap(true) {
			// An error means that the loop has ended.
			_ = f.post(ctx, func(time.Duration) { clear(f.informed) }) // until the others report
		}
		f.relays.Store(other == "")
	}
}

// first reports to the first of some nodes that answers as wanted. It returns
// whether that is this node itself, or the address of another one.
func (f *Fleet) first(
	ctx context.Context, silent map[string]time.Duration, r Report, limit time.Duration,
	among func(Member) bool, wanted func(reportReply) bool,
) (self bool, other string) {
	v := f.View()
	for _, name := range v.order {
		if v.members[name].Ended || !among(v.members[name]) {
			continue
		}
		if name == f.cfg.Name {
			if !f.canLead() {
				continue
			}
			// An error means that the loop has ended.
			_ = f.post(ctx, func(now time.Duration) { f.planner.hear(r, now) })
			return true, ""
		}
		if until, ok := silent[name]; ok && f.cfg.Clock.Elapsed() < until {
			continue
		}
		call, cancel := context.WithTimeout(ctx, limit)
		reply, err := peer.Call[reportReply](call, f.cfg.Peers, v.members[name].Address, MethodReport, r)
		cancel()
		if err == nil && reply.Name != name {
			err = errOther
		}
		if err == nil && wanted(reply) {
			delete(silent, name)
			// An error means that the loop has ended.
			_ = f.post(ctx, func(now time.Duration) { f.newsAt = now })
			return false, v.members[name].Address
		}
		if err == nil {
			continue
		}
		silent[name] = f.cfg.Clock.Elapsed() + silentAfter
	}
	return false, ""
}

// maxFailing is how many calls in a row may fail at the store before a node
// leaves planning and relaying to others, which the store may serve.
const maxFailing = 2

// leadAgain is when such a node may do so again.
const leadAgain = 5 * time.Second

// canLead reports whether the store serves this node.
func (f *Fleet) canLead() bool {
	return f.failing.Load() < maxFailing || f.cfg.Clock.Elapsed()-time.Duration(f.failedAt.Load()) > leadAgain
}

// reaches reports whether a node answers now.
func (f *Fleet) reaches(ctx context.Context, m Member) bool {
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
		f.planner.hear(r, now)
		f.informed[r.Name] = r.Rev
		f.gather = f.gather || r.Rev < f.rev
		reply.Rev = f.rev
	})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}

// Count notes a request for a key of the target beside this node.
func (f *Fleet) Count(key int) {
	f.countMu.Lock()
	defer f.countMu.Unlock()
	if f.counts == nil {
		f.counts = make(map[int]uint32)
	}
	f.counts[key]++
}

// Worked notes how long the target worked at a request that it answered.
func (f *Fleet) Worked(d time.Duration) {
	f.countMu.Lock()
	defer f.countMu.Unlock()
	f.answers++
	f.work += d
}

// takeReport returns a report, to the planning node with the work since the last
// one.
func (f *Fleet) takeReport(ctx context.Context, work bool) Report {
	r := Report{Name: f.cfg.Name}
	// An error means that the loop has ended.
	_ = f.post(ctx, func(time.Duration) { r.Rev = f.rev })
	if !work {
		return r
	}
	if t := f.View().Target(); t != nil {
		r.Life = t.Life
	}
	f.countMu.Lock()
	defer f.countMu.Unlock()
	r.Keys, r.Done, r.Work = f.counts, f.answers, f.work.Seconds()
	f.counts, f.answers, f.work = nil, 0, 0
	return r
}
