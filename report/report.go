// Package report shows the results of an experiment as tables, JSON or a plot.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"burdocklift/stats"
)

// Report is the result of one deployment's run. The tables and the JSON form
// show the same values.
type Report struct {
	Title    string        `json:"title"`
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration_ns"`
	Classes  []Class       `json:"classes"`
	Reasons  []Reason      `json:"reasons,omitempty"`
	Services []Service     `json:"services,omitempty"`
	Promises Promises      `json:"promises"`
	// Checked says that the records of the targets were at hand, without which
	// doubled, lost and ran stay zero.
	Checked  bool     `json:"checked"`
	Platform Calls    `json:"platform_calls"`
	Faults   []Mark   `json:"faults"`
	Failures []string `json:"failures,omitempty"`
	// Points are plotted, they are no part of the tables.
	Points []Point `json:"-"`
}

// Class counts the requests of a class. Every request has one final outcome;
// Resent counts the attempts after the first.
type Class struct {
	Name     string        `json:"name"`
	Requests int           `json:"requests"`
	Answered int           `json:"answered"`
	NotRun   int           `json:"not_run"`
	Unknown  int           `json:"unknown"`
	Resent   int           `json:"resent"`
	Latency  stats.Summary `json:"latency_ms"`
}

// Reason counts the requests of a class that ended without an answer for the
// same reason.
type Reason struct {
	Class    string `json:"class"`
	Outcome  string `json:"outcome"`
	Name     string `json:"reason"`
	Requests int    `json:"requests"`
}

// Service describes the placement of a keyed service over the run.
type Service struct {
	Name string `json:"name"`
	// Imbalance is the maximum over the mean of the requests that each target
	// ran, among the hosts that served from beginning to end.
	Imbalance float64 `json:"imbalance"`
	// Churn counts the shards that changed their owner, Shards all of them.
	Churn  int `json:"churn_shards"`
	Shards int `json:"shards"`
	// Worst is the longest time that a shard was without an owner able to serve,
	// Total the sum over all shards; both are sampled.
	Worst time.Duration `json:"worst_unavailable_ns"`
	Total time.Duration `json:"total_unavailable_ns"`
}

// Promises counts broken promises; each must be zero.
type Promises struct {
	Doubled int `json:"doubled"`     // once-only requests that ran more than once
	Lost    int `json:"lost"`        // answered requests that never ran
	Ran     int `json:"ran_not_run"` // attempts that ran although the caller was told "not-run"
	Crossed int `json:"crossed"`     // answers to another request than the caller's
}

// Calls counts the calls to the platform's service.
type Calls struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Mark is a fault at a time since the start.
type Mark struct {
	At   time.Duration `json:"at_ns"`
	Name string        `json:"name"`
}

// Point is the end of one request.
type Point struct {
	At      time.Duration
	Latency time.Duration
	Class   string
}

// Broken lists what failed: broken promises and unmet expectations.
func (r *Report) Broken() []string {
	var broken []string
	add := func(n int, format string) {
		if n > 0 {
			broken = append(broken, fmt.Sprintf(format, n))
		}
	}
	add(r.Promises.Doubled, "%d once-only requests ran more than once")
	add(r.Promises.Lost, "%d answered requests never ran")
	add(r.Promises.Ran, "%d attempts ran after the outcome not-run")
	add(r.Promises.Crossed, "%d answers belong to another request")
	return append(broken, r.Failures...)
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Text writes the report as tables.
func (r *Report) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(cells ...any) {
		for _, c := range cells {
			_, _ = fmt.Fprintf(t, "%v\t", c)
		}
		_, _ = fmt.Fprintln(t)
	}
	_, _ = fmt.Fprintf(t, "%s: %v, seed %d\n\n", r.Title, r.Duration.Round(time.Millisecond), r.Seed)
	line("class", "requests", "answer", "not-run", "unknown", "resent", "p50 ms", "p99 ms", "max ms")
	for _, c := range r.Classes {
		l := c.Latency
		line(c.Name, c.Requests, c.Answered, c.NotRun, c.Unknown, c.Resent, ms(l.P50), ms(l.P99), ms(l.Max))
	}
	_, _ = fmt.Fprintln(t)
	if len(r.Reasons) > 0 {
		line("class", "outcome", "reason", "requests")
		for _, x := range r.Reasons {
			line(x.Class, x.Outcome, x.Name, x.Requests)
		}
		_, _ = fmt.Fprintln(t)
	}
	if len(r.Services) > 0 {
		line("service", "imbalance", "churn", "shards", "worst unavailable", "total unavailable")
		for _, s := range r.Services {
			line(s.Name, fmt.Sprintf("%.2f", s.Imbalance), s.Churn, s.Shards,
				s.Worst.Round(time.Millisecond), s.Total.Round(time.Millisecond))
		}
		_, _ = fmt.Fprintln(t)
	}
	if r.Checked {
		line("doubled", "lost", "ran after not-run", "crossed")
		line(r.Promises.Doubled, r.Promises.Lost, r.Promises.Ran, r.Promises.Crossed)
	} else {
		line("crossed")
		line(r.Promises.Crossed)
	}
	if r.Platform != (Calls{}) {
		_, _ = fmt.Fprintf(t, "\nplatform calls: %d reads, %d writes\n", r.Platform.Reads, r.Platform.Writes)
	}
	for _, m := range r.Faults {
		_, _ = fmt.Fprintf(t, "fault at %v: %s\n", m.At.Round(time.Millisecond), m.Name)
	}
	for _, b := range r.Broken() {
		_, _ = fmt.Fprintf(t, "FAILED: %s\n", b)
	}
	_, _ = fmt.Fprintln(t)
	return t.Flush()
}

func ms(v float64) string { return fmt.Sprintf("%.1f", v) }

type outcomes struct {
	class  Class
	sample *stats.Sample
}

// Builder makes the class lines of a report. It is not safe for concurrent use.
type Builder struct {
	classes map[string]*outcomes
}

// Class returns the counts of a class to be changed, and its latency sample.
func (b *Builder) Class(name string) (*Class, *stats.Sample) {
	if b.classes == nil {
		b.classes = make(map[string]*outcomes)
	}
	o := b.classes[name]
	if o == nil {
		o = &outcomes{class: Class{Name: name}, sample: stats.NewSample()}
		b.classes[name] = o
	}
	return &o.class, o.sample
}

// Classes returns the lines, ordered by name.
func (b *Builder) Classes() []Class {
	var classes []Class
	for _, o := range b.classes {
		o.class.Latency = stats.Summarize(o.sample)
		classes = append(classes, o.class)
	}
	slices.SortFunc(classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	return classes
}
