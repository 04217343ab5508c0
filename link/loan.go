package link

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdocklift/proto"
)

const (
	// needHeadroom is the factor by which a node's need exceeds its measured demand.
	needHeadroom = 1.05
	// needDecay is the part of the previous need that remains after a round, so
	// that a node does not lend its share during a short pause in traffic.
	needDecay = 0.7
	// unlentShare is the part of a node's own share that it never lends, so that it
	// can start to send at once.
	unlentShare = 0.05
	// startShare is the part of its own share that a node uses right after its start.
	// An earlier incarnation may have lent up to 1 - unlentShare of its own share;
	// both together stay within that share even if the own share has doubled since.
	startShare = unlentShare / 2
	// extendThreshold is the part of a loan that the borrower must still need for the
	// loan to be extended. It is below 1 as needs vary from round to round.
	extendThreshold = 0.7
	// minLoanRate is the lowest rate of a loan, in bytes per second. Smaller loans
	// would cost more control traffic than they allow.
	minLoanRate = 64
)

// Report describes a node's traffic and need to other nodes, in bytes per second.
type Report struct {
	Node proto.HostID                    `cbor:"1,keyasint"`
	Sent [directions][PriorityLevels]int `cbor:"2,keyasint"`
	// Deficit is the need above the node's own part, which higher priorities use
	// first.
	Deficit [directions][PriorityLevels]int `cbor:"3,keyasint"`
	// Spare is the rate of the own part that the node does not need, whether lent or
	// not.
	Spare [directions]int `cbor:"4,keyasint"`
}

// Loan transfers part of a node's share to another node until it expires. The lender
// stops using that rate before it sends the loan and resumes after Expiry plus the
// skew on its own clock. Sending the loan again with a later Expiry extends it.
type Loan struct {
	From      proto.HostID `cbor:"1,keyasint"`
	To        proto.HostID `cbor:"2,keyasint"`
	Seq       uint64       `cbor:"3,keyasint"`
	Direction Direction    `cbor:"4,keyasint"`
	Rate      int          `cbor:"5,keyasint"` // bytes per second
	Expiry    int64        `cbor:"6,keyasint"` // Unix time in milliseconds
}

type loanKey struct {
	from proto.HostID
	seq  uint64
}

type receivedReport struct {
	report Report
	at     time.Time
}

// AddReport stores another node's report. A report is used for twice the lifetime
// of a loan, so that a lost report does not end a loan.
func (b *Budget) AddReport(r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Node != b.cfg.Node {
		b.reports[r.Node] = receivedReport{r, b.clock.Now()}
	}
}

// AddLoan adds a loan to this node, or extends it. A repeated or expired loan has no
// effect.
func (b *Budget) AddLoan(l Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.advance()
	key := loanKey{l.From, l.Seq}
	if l.To == b.cfg.Node && l.Direction < directions && l.Rate > 0 && l.Expiry > b.borrowed[key].Expiry {
		b.borrowed[key] = l
		b.updateRates(now)
	}
}

// EndRound ends an accounting round and returns the report and the loans to send. A
// round takes about half the lifetime of a loan, so that the loss of one extension
// does not end the loan. A report need not go to all nodes of the region: a fixed
// random set of nodes sees a representative sample of needs and spare rates.
func (b *Budget) EndRound() (Report, []Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.advance()
	report := b.measure(now)
	maps.DeleteFunc(b.reports, func(_ proto.HostID, h receivedReport) bool { return now.Sub(h.at) > 2*b.cfg.LoanLifetime })
	if b.pendingOwn > 0 {
		return report, nil // no new loans, as the own part is about to change
	}
	var loans []Loan
	for d := range b.buckets {
		loans = b.lend(now, Direction(d), report.Spare[d], loans)
	}
	if len(loans) > 0 {
		b.updateRates(now)
	}
	return report, loans
}

// measure computes the needs from the bytes since the last round.
func (b *Budget) measure(now time.Time) Report {
	report := Report{Node: b.cfg.Node}
	elapsed := now.Sub(b.lastRound).Seconds()
	if elapsed <= 0 {
		return report
	}
	b.lastRound = now
	for d := range b.buckets {
		s := &b.buckets[d]
		left := float64(b.own)
		for p := PriorityLevels - 1; p >= 0; p-- {
			need := float64(s.requested[p]) / elapsed / (1 - b.cfg.Burst) * needHeadroom
			s.neededRate[p] = max(need, s.neededRate[p]*needDecay)
			report.Sent[d][p] = int(float64(s.sent[p]) / elapsed)
			report.Deficit[d][p] = int(max(0, s.neededRate[p]-left))
			left = max(0, left-s.neededRate[p])
		}
		report.Spare[d] = int(max(0, left-unlentShare*float64(b.own)))
		s.requested, s.sent = [PriorityLevels]int{}, [PriorityLevels]int{}
	}
	return report
}

// lend extends the loans of one direction that are still needed and makes new ones.
// This node's part of each grant is its spare rate divided by the spare rates of all
// nodes whose reports it has, itself included.
func (b *Budget) lend(now time.Time, d Direction, spare int, loans []Loan) []Loan {
	total := spare
	var deficits []Deficit
	for id, h := range b.reports {
		total += h.report.Spare[d]
		deficits = append(deficits, Deficit{id, h.report.Deficit[d]})
	}
	grants := Divide(total, deficits)
	wanted := make(map[proto.HostID]int, len(grants))
	for _, g := range grants {
		wanted[g.Node] = int(float64(g.Rate) * float64(spare) / float64(max(1, total)))
	}
	expiry := now.Add(b.cfg.LoanLifetime)
	// The borrower's clock may be behind this one by the skew.
	lenderExpiry := expiry.Add(b.cfg.Skew).UnixMilli() + 1
	unlent, extended := spare, 0
	for i := range b.lent {
		l := &b.lent[i]
		if l.Direction != d {
			continue
		}
		unlent -= l.Rate
		if float64(wanted[l.To]) < extendThreshold*float64(l.Rate) || extended+l.Rate > spare {
			continue
		}
		extended += l.Rate
		wanted[l.To] -= l.Rate
		l.Expiry = lenderExpiry
		loan := *l
		loan.Expiry = expiry.UnixMilli()
		loans = append(loans, loan)
	}
	for _, g := range grants {
		rate := min(wanted[g.Node], unlent)
		if rate < minLoanRate {
			continue
		}
		unlent -= rate
		b.seq++
		l := Loan{From: b.cfg.Node, To: g.Node, Seq: b.seq, Direction: d, Rate: rate, Expiry: expiry.UnixMilli()}
		loans = append(loans, l)
		l.Expiry = lenderExpiry
		b.lent = append(b.lent, l)
	}
	return loans
}

// Deficit is the need of a node above its own part, by priority.
type Deficit struct {
	Node proto.HostID
	Rate [PriorityLevels]int
}

// Grant is the part of the spare rate granted to a node.
type Grant struct {
	Node proto.HostID
	Rate int
}

// Divide divides a rate among nodes by need: higher priorities first, and max-min
// fair within a priority. The result is ordered by node, sums to at most the rate
// and is deterministic.
func Divide(rate int, deficits []Deficit) []Grant {
	deficits = slices.SortedFunc(slices.Values(deficits), func(x, y Deficit) int { return compareHosts(x.Node, y.Node) })
	grants := make([]Grant, len(deficits))
	order := make([]int, len(deficits))
	for i, l := range deficits {
		grants[i].Node, order[i] = l.Node, i
	}
	for p := PriorityLevels - 1; p >= 0; p-- {
		slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(deficits[i].Rate[p], deficits[j].Rate[p]) })
		for k, i := range order {
			part := min(deficits[i].Rate[p], rate/(len(order)-k))
			grants[i].Rate += part
			rate -= part
		}
	}
	return grants
}

func compareHosts(x, y proto.HostID) int {
	return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
}
