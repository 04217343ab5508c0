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

// regionBudgets holds the bandwidth budgets of the paid links from the
// router's region.
type regionBudgets struct {
	mu       sync.Mutex
	self     proto.HostID
	byRegion map[string]*link.Budget // keyed by the remote region
}

// updateLinkBudgets applies the rules to the link budgets. Each budget is
// shared by the given number of nodes in this region.
func (r *Router) updateLinkBudgets(self proto.HostID, regions []string, nodes int) {
	rules := r.rules.Load()
	r.linkBudgets.mu.Lock()
	defer r.linkBudgets.mu.Unlock()
	if r.linkBudgets.self != self {
		// Loans are made to an incarnation; a new incarnation starts without
		// any.
		r.linkBudgets.self, r.linkBudgets.byRegion = self, make(map[string]*link.Budget)
	}
	for _, other := range regions {
		rate, ok := rules.Link(r.place.Region, other)
		bytes := int(rate / 8)
		b := r.linkBudgets.byRegion[other]
		switch {
		case !ok:
			delete(r.linkBudgets.byRegion, other)
		case b == nil:
			cfg := link.Config{Node: self, Rate: bytes, Skew: rules.Limits.Skew}
			r.linkBudgets.byRegion[other] = link.New(cfg, nodes, r.clock)
		default:
			b.SetRate(bytes)
			b.SetNodes(nodes)
		}
	}
}

// linkBudget returns the budget of the link to a region, or nil if there is
// none.
func (r *Router) linkBudget(region string) *link.Budget {
	r.linkBudgets.mu.Lock()
	defer r.linkBudgets.mu.Unlock()
	return r.linkBudgets.byRegion[region]
}

// LinkCounts returns the bytes sent over each paid link by class and direction.
func (r *Router) LinkCounts() map[string][]link.Count {
	r.linkBudgets.mu.Lock()
	defer r.linkBudgets.mu.Unlock()
	counts := make(map[string][]link.Count, len(r.linkBudgets.byRegion))
	for region, b := range r.linkBudgets.byRegion {
		counts[region] = b.Counts()
	}
	return counts
}

// ChargeControlTraffic charges control traffic to the link budget of a region.
func (r *Router) ChargeControlTraffic(region string, bytes int) {
	if b := r.linkBudget(region); b != nil {
		b.ChargeControl(bytes, link.Out)
	}
}

// qualifiedClass returns the name of the class, unique across all services.
func (req *request) qualifiedClass() string { return req.service.Name + "/" + req.class.Name }

// linkLevel maps the priorities 1 to 9 of the rules to the priority levels of a
// link.
func linkLevel(priority int) int {
	return min(max(priority-1, 0)*link.PriorityLevels/9, link.PriorityLevels-1)
}

// checkedShareDivisor determines how many bytes of a request are checked
// against the budget: at most this fraction of the node's share. It is less
// than the lowest priority can accumulate (3% of the share); otherwise larger
// requests of that priority would never pass.
const checkedShareDivisor = 50

// chargeForward charges a request that is forwarded to another region. It
// reports false if the link budget refuses the request.
func (r *Router) chargeForward(req *request, to *shard.Host, header http.Header) bool {
	b := r.linkBudget(to.Member.Place.Region)
	if b == nil || to.Member.Place.Region == r.place.Region {
		return true
	}
	size := len(req.method) + len(req.uri) + messageSize(header, req.body)
	checked := min(size, max(1, b.Share(link.Out)/checkedShareDivisor))
	if !b.Allow(req.qualifiedClass(), linkLevel(req.class.Priority), checked, link.Out) {
		return false
	}
	b.Charge(req.qualifiedClass(), linkLevel(req.class.Priority), size-checked, link.Out)
	return true
}

// chargeResponse charges a response to another region. Responses are never
// refused, since their requests have already run.
func (r *Router) chargeResponse(req *request, res Result) {
	if req.region == r.place.Region {
		return
	}
	if b := r.linkBudget(req.region); b != nil {
		b.Charge(req.qualifiedClass(), linkLevel(req.class.Priority), messageSize(res.Header, res.Body), link.Out)
	}
}

// messageSize approximates the size of an HTTP message in bytes.
func messageSize(header http.Header, body []byte) int {
	n := len(body)
	for name, values := range header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// CompleteLinkRound completes an accounting round of all links and sends the
// resulting reports and loans to the other nodes of this region. regions are
// the regions of other nodes, and nodes is the number of nodes in this region.
func (r *Router) CompleteLinkRound(self proto.HostID, regions []string, nodes int, send func(to proto.HostID, m proto.Share)) error {
	if r.rules.Load() == nil || self.IsZero() {
		return nil
	}
	r.updateLinkBudgets(self, regions, nodes)
	for _, region := range regions {
		b := r.linkBudget(region)
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

// ReceiveShare applies a report or a loan from another node of this region.
func (r *Router) ReceiveShare(m proto.Share) error {
	b := r.linkBudget(m.Region)
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
