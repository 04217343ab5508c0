package load

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"burdocklift/emul"
	"burdocklift/proto"
	"burdocklift/report"
)

// Ledger collects the results of requests. The zero value is ready to use.
type Ledger struct {
	mu      sync.Mutex
	results []Result
}

// Add records a result.
func (l *Ledger) Add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// Len returns the number of results.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// Report counts the results by class and outcome and checks them against what
// the targets ran. Without their journals, only the answers are checked.
func (l *Ledger) Report(start time.Time, journals ...emul.Journal) *report.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := emul.Merge(journals...)
	r := &report.Report{Duration: time.Since(start), Checked: len(journals) > 0, Faults: []report.Mark{}}
	var b report.Builder
	doubled := make(map[string]bool)
	reasons := make(map[report.Reason]int)
	for i := range l.results {
		res := &l.results[i]
		c, sample := b.Class(res.Request.Class)
		c.Requests++
		c.Resent += max(len(res.Attempts)-1, 0)
		last := res.Last()
		if last.Outcome != proto.Answered {
			reasons[report.Reason{Class: res.Request.Class, Outcome: string(last.Outcome), Name: last.Reason}]++
		}
		switch last.Outcome {
		case proto.Answered:
			c.Answered++
			sample.Update(res.Latency.Microseconds())
		case proto.NotRun:
			c.NotRun++
		default:
			c.Unknown++
		}
		r.Points = append(r.Points, report.Point{
			At: res.Due.Sub(start) + res.Latency, Latency: res.Latency, Class: res.Request.Class,
		})
		if res.Crossed {
			r.Promises.Crossed++
		}
		if r.Checked {
			check(&r.Promises, res, all, doubled)
		}
	}
	r.Promises.Doubled = len(doubled)
	r.Classes = b.Classes()
	r.Reasons = ordered(reasons)
	return r
}

// ordered returns the counted reasons by class, outcome and name.
func ordered(counts map[report.Reason]int) []report.Reason {
	var out []report.Reason
	for x, n := range counts {
		x.Requests = n
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b report.Reason) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// check compares a result with the journals of all targets.
func check(p *report.Promises, res *Result, all emul.Journal, doubled map[string]bool) {
	ran := 0
	for _, a := range res.Attempts {
		n := all.Attempts[a.ID]
		ran += n
		if a.Outcome == proto.NotRun && n > 0 {
			p.Ran++
		}
	}
	if res.Request.Once {
		if n := all.IDs[res.Request.ID]; n > 1 {
			doubled[res.Request.ID] = true
		}
		ran = all.IDs[res.Request.ID]
	}
	// A target's refusal is an answer too, but it acknowledges nothing.
	if last := res.Last(); last.Outcome == proto.Answered && last.Status == http.StatusOK && ran == 0 {
		p.Lost++
	}
}
