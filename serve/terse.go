package serve

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/budget"
	"burdocklift/fleet"
	"burdocklift/peer"
	"burdocklift/pick"
	"burdocklift/terse"
)

// MethodServeTerse is the call that forwards a request in the terse form, for nodes that
// announce acceptsTerse.
const MethodServeTerse peer.Method = 11

// acceptsTerse is announced by nodes that know MethodServeTerse with the first dictionary of
// package terse. Parts of replies have bit 0.
const acceptsTerse peer.Features = 2

// forwardedLoad is what a terse result says of the target, and of the time that its node
// took. The zero value says nothing.
type forwardedLoad struct {
	load  pick.Load
	spent time.Duration
}

// Bits of the first number of a terse request.
const (
	terseKeyed = 1 << iota
	terseIdempotent
)

// pacePrecision is the unit of the pace in a terse result.
const pacePrecision = 0.01

func encodeTerseRequest(m *forwardedRequest, l *terse.Learner) *terse.Writer {
	w := terse.NewWriter(l)
	bits := uint64(0)
	if m.Key >= 0 {
		bits |= terseKeyed
	}
	if m.Idempotent {
		bits |= terseIdempotent
	}
	w.Uint(bits)
	w.String(m.ID)
	w.String(m.Method)
	w.String(m.Path)
	for _, s := range []string{m.Host, m.Origin, m.Service, m.Class} {
		w.Recurring(s)
	}
	if m.Key >= 0 {
		w.Uint(uint64(m.Key))
	}
	w.Int(int64(m.Urgency))
	w.Int(m.Remaining)
	w.Header(m.Header)
	w.Rest(m.Body)
	return w
}

func decodeTerseRequest(b []byte, memory *terse.Memory) (forwardedRequest, error) {
	r := terse.NewReader(b).With(memory)
	m := forwardedRequest{Key: -1}
	bits := r.Uint()
	m.Idempotent = bits&terseIdempotent != 0
	for _, s := range []*string{&m.ID, &m.Method, &m.Path, &m.Host, &m.Origin, &m.Service, &m.Class} {
		*s = r.String()
	}
	if bits&terseKeyed != 0 {
		m.Key = int(r.Uint())
	}
	m.Urgency = int(r.Int())
	m.Remaining = r.Int()
	m.Header = r.Header()
	m.Body = r.Rest()
	return m, r.Err()
}

func encodeTerseResult(m *forwardedResult, l forwardedLoad) []byte {
	var w terse.Writer
	w.Uint(uint64(m.Outcome))
	w.String(string(m.Reason))
	w.Uint(uint64(m.Status))
	w.Int(m.RetryAfter)
	w.Uint(uint64(m.Sends))
	w.Uint(uint64(l.load.Limit))
	if l.load.Limit > 0 {
		w.Uint(uint64(l.load.Running))
		w.Uint(uint64(l.load.Waiting))
		w.Uint(uint64(l.load.ServiceTime.Microseconds()))
		w.Uint(uint64(math.Round(l.load.Pace / pacePrecision)))
		w.Uint(uint64(l.spent.Microseconds()))
	}
	w.Header(m.Header)
	w.Rest(m.Body)
	return w.Bytes()
}

func decodeTerseResult(b []byte) (forwardedResult, forwardedLoad, error) {
	r := terse.NewReader(b)
	m := forwardedResult{
		Outcome: uint8(min(r.Uint(), uint64(len(outcomes)))), Reason: Reason(r.String()), Status: int(r.Uint()),
		RetryAfter: r.Int(), Sends: int(r.Uint()),
	}
	var l forwardedLoad
	if l.load.Limit = int(r.Uint()); l.load.Limit > 0 {
		l.load.Running, l.load.Waiting = int(r.Uint()), int(r.Uint())
		l.load.ServiceTime = time.Duration(r.Uint()) * time.Microsecond
		l.load.Pace = float64(r.Uint()) * pacePrecision
		l.spent = time.Duration(r.Uint()) * time.Microsecond
	}
	m.Header = r.Header()
	m.Body = r.Rest()
	return m, l, r.Err()
}

// exchange sends a request to the node of its target, in the shortest form that the node
// accepts, and takes in what the node says of the target.
func (r *Router) exchange(ctx context.Context, j *job, m fleet.Member, msg forwardedRequest) (forwardedResult, error) {
	var strings *terse.Learner
	var written *terse.Writer // nil in the long form
	path := r.latencies.PathTo(m.DataCentre, m.Region)
	begin := r.cfg.Clock.Elapsed()
	bulk := j.request.Body // is not copied
	reply, err := r.cfg.Peers.Exchange(ctx, m.Address, len(bulk), func(to peer.Remote) (peer.Method, [][]byte, error) {
		method, pieces, err := MethodServe, [][]byte(nil), error(nil)
		if to.Accepted&acceptsTerse != 0 {
			strings, written = to.Strings, encodeTerseRequest(&msg, to.Strings)
			method, pieces = MethodServeTerse, [][]byte{written.Bytes(), bulk}
		} else {
			pieces, err = peer.MarshalBulk(msg, requestBody, bulk)
		}
		for _, piece := range pieces {
			r.exchanged[path].Add(int64(len(piece)))
		}
		return method, pieces, err
	})
	if err != nil {
		return forwardedResult{}, fmt.Errorf("call %s: %w", m.Address, err)
	}
	r.exchanged[path].Add(int64(len(reply)))
	var res forwardedResult
	var l forwardedLoad
	if written != nil {
		strings.Confirm(written)
		res, l, err = decodeTerseResult(reply)
	} else {
		err = cbor.Unmarshal(reply, &res)
	}
	if err != nil {
		return forwardedResult{}, fmt.Errorf("call %s: %w: decode reply: %w", m.Address, peer.ErrNoReply, err)
	}
	if l.load.Limit > 0 {
		r.latencies.Observe(m.DataCentre, m.Region, r.cfg.Clock.Elapsed()-begin-l.spent)
		if !j.keyed {
			r.picker(j.service).Report(m.Name, j.class, l.load)
		}
	}
	return res, nil
}

// handleServeTerse handles MethodServeTerse.
func (r *Router) handleServeTerse(ctx context.Context, body []byte) ([]byte, error) {
	begin := r.cfg.Clock.Elapsed()
	msg, err := decodeTerseRequest(body, peer.Memory(ctx))
	if err != nil {
		return nil, fmt.Errorf("decode forwarded request: %w", err)
	}
	res := r.serveForwarded(ctx, msg)
	budget.From(ctx).Force(int64(len(res.Body))) // the encoded reply is a copy
	l := forwardedLoad{load: r.load(msg.Class), spent: r.cfg.Clock.Elapsed() - begin}
	// A target that did not take part has a load, but not one of this service.
	if t := r.cfg.Fleet.View().Target(); t == nil || t.Service != msg.Service {
		l = forwardedLoad{}
	}
	return encodeTerseResult(&res, l), nil
}
