package route

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/link"
	"burdocklift/proto"
	"burdocklift/shard"
)

// links holds the budgets of the paid links from the router's region.
type links struct {
	mu      sync.Mutex
	self    proto.HostID
	budgets map[string]*link.Budget // by the other region
}

// setLinks brings the budgets in step with the rules. The nodes are those of this
// region, which share each budget.
func (r *Router) setLinks(self proto.HostID, regions []string, nodes int) {
	rules := r.rules.Load()
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	if r.links.self != self {
		// Loans are made to an incarnation; a new one begins without any.
		r.links.self, r.links.budgets = self, make(map[string]*link.Budget)
	}
	for _, other := range regions {
		rate, ok := rules.Link(r.place.Region, other)
		bytes := int(rate / 8)
		b := r.links.budgets[other]
		switch {
		case !ok:
			delete(r.links.budgets, other)
		case b == nil:
			cfg := link.Config{Node: self, Rate: bytes, Skew: rules.Limits.Skew}
			r.links.budgets[other] = link.New(cfg, nodes, r.clock)
		default:
			b.SetRate(bytes)
			b.SetNodes(nodes)
		}
	}
}

// link returns the budget of the link to a region, or nil if there is none.
func (r *Router) link(region string) *link.Budget {
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	return r.links.budgets[region]
}

// Links returns the bytes over each paid link by class and direction.
func (r *Router) Links() map[string][]link.Count {
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	counts := make(map[string][]link.Count, len(r.links.budgets))
	for region, b := range r.links.budgets {
		counts[region] = b.Counts()
	}
	return counts
}

// ChargeControl charges control traffic to another region.
func (r *Router) ChargeControl(region string, bytes int) {
	if b := r.link(region); b != nil {
		b.ChargeControl(bytes, link.Out)
	}
}

// className names a class among those of all services.
func (req *request) className() string { return req.service.Name + "/" + req.class.Name }

// level maps the priorities 1 to 9 of the rules to those of a link.
func level(priority int) int {
	return min(max(priority-1, 0)*link.PriorityLevels/9, link.PriorityLevels-1)
}

// pieces is the part of a share that decides whether a request may pass: a
// lower part than the lowest priority may save up (3% of the share).
const pieces = 50

// mayCross charges a forward to another region, or refuses it.
func (r *Router) mayCross(req *request, to *shard.Host, header http.Header) bool {
	b := r.link(to.Member.Place.Region)
	if b == nil || to.Member.Place.Region == r.place.Region {
		return true
	}
	size := len(req.method) + len(req.uri) + messageSize(header, req.body)
	piece := min(size, max(1, b.Share(link.Out)/pieces))
	if !b.Allow(req.className(), level(req.class.Priority), piece, link.Out) {
		return false
	}
	b.Charge(req.className(), level(req.class.Priority), size-piece, link.Out)
	return true
}

// crossed charges an answer to another region, which always passes: its request
// has run.
func (r *Router) crossed(req *request, res Result) {
	if req.region == r.place.Region {
		return
	}
	if b := r.link(req.region); b != nil {
		b.Charge(req.className(), level(req.class.Priority), messageSize(res.Header, res.Body), link.Out)
	}
}

// messageSize approximates the bytes of an HTTP message.
func messageSize(header http.Header, body []byte) int {
	n := len(body)
	for name, values := range header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// Round ends a round of all links and passes the reports for the partners and
// the loans to send. The regions are those of other nodes, and nodes is the
// number of nodes in this one.
func (r *Router) Round(self proto.HostID, regions []string, nodes int, send func(to proto.HostID, m proto.Share)) error {
	if r.rules.Load() == nil || self.IsZero() {
		return nil
	}
	r.setLinks(self, regions, nodes)
	for _, region := range regions {
		b := r.link(region)
		if b == nil {
			continue
		}
		report, loans := b.EndRound()
		body, err := cbor.Marshal(report)
		if err != nil {
			return fmt.Errorf("encode report for %s: %w", region, err)
		}
		send(proto.HostID{}, proto.Share{Region: region, Report: body})
		for _, l := range loans {
			if body, err = cbor.Marshal(l); err != nil {
				return fmt.Errorf("encode loan for %s: %w", region, err)
			}
			send(l.To, proto.Share{Region: region, Loan: body})
		}
	}
	return nil
}

// Shared takes a report or a loan of another node of this region.
func (r *Router) Shared(m proto.Share) error {
	b := r.link(m.Region)
	if b == nil {
		return nil
	}
	if len(m.Report) > 0 {
		var report link.Report
		if err := cbor.Unmarshal(m.Report, &report); err != nil {
			return fmt.Errorf("decode report for %s: %w", m.Region, err)
		}
		b.AddReport(report)
	}
	if len(m.Loan) > 0 {
		var loan link.Loan
		if err := cbor.Unmarshal(m.Loan, &loan); err != nil {
			return fmt.Errorf("decode loan for %s: %w", m.Region, err)
		}
		b.AddLoan(loan)
	}
	return nil
}
