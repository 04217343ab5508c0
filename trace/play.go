package trace

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"burdocklift/emul"
	"burdocklift/load"
	"burdocklift/proto"
	"burdocklift/report"
)

// Stage is a deployment on which a trace is played.
type Stage interface {
	// Entries returns the callers' addresses of the nodes by host name.
	Entries() map[string]string
	// Apply carries out a fault.
	Apply(ctx context.Context, f Fault) error
	// Journals returns what ran at the targets, or nothing if it is not known.
	Journals(ctx context.Context) ([]emul.Journal, error)
}

// Options change how a trace is played.
type Options struct {
	Speed    float64 // zero means 1; 2 halves all times
	Progress func(at time.Duration, what string)
}

// player is one play of a trace.
type player struct {
	stage   Stage
	options Options
	start   time.Time
	names   []string // of the entries, ordered
	caller  *load.Caller
	ledger  load.Ledger

	mu      sync.Mutex
	ids     map[string]string
	results map[int]load.Result // by index of the event
	marks   []report.Mark
	errs    []string
}

// Play sends the requests of a trace at their times, carries out its faults
// and compares the outcomes. Unmet expectations are in the report.
func (t *Trace) Play(ctx context.Context, stage Stage, o Options) (*report.Report, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	p := &player{stage: stage, options: o, ids: make(map[string]string), results: make(map[int]load.Result)}
	entries := stage.Entries()
	p.names = slices.Sorted(maps.Keys(entries))
	if len(p.names) == 0 {
		return nil, fmt.Errorf("play trace: no entry is known")
	}
	addresses := make([]string, len(p.names))
	for i, name := range p.names {
		addresses[i] = entries[name]
	}
	for i := range t.Events {
		if e := &t.Events[i]; e.Kind == KindRequest && entries[e.Entry] == "" {
			return nil, fmt.Errorf("play trace: %w: entry %q is not a host of the site", ErrFormat, e.Entry)
		}
	}
	p.caller = load.NewCaller(addresses)
	defer p.caller.Close()
	p.start = time.Now()
	p.drive(ctx, t)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("play trace: %w", err)
	}
	journals, err := stage.Journals(ctx)
	if err != nil {
		return nil, fmt.Errorf("play trace: %w", err)
	}
	r := p.ledger.Report(p.start, journals...)
	r.Title = t.Site
	r.Faults = append(r.Faults, p.marks...)
	r.Failures = append(p.errs, p.compare(t, journals)...)
	return r, nil
}

// drive runs all events. An event that waits ends a part of the trace; the
// times of the next part count from the end of the wait.
func (p *player) drive(ctx context.Context, t *Trace) {
	start, base := p.start, Duration(0)
	for first := 0; first < len(t.Events) && ctx.Err() == nil; {
		n := slices.IndexFunc(t.Events[first:], func(e Event) bool { return e.Kind == KindWait })
		if n < 0 {
			p.part(ctx, t, first, len(t.Events), start, base)
			return
		}
		wait := first + n
		p.part(ctx, t, first, wait, start, base)
		start = start.Add(p.scale(t.Events[wait].At - base))
		if now := time.Now(); start.Before(now) {
			start = now
		}
		first, base = wait+1, t.Events[wait].At
	}
}

// part runs the events from first to end. Faults run in order, beside the
// requests.
func (p *player) part(ctx context.Context, t *Trace, first, end int, start time.Time, base Duration) {
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() {
		for i := first; i < end; i++ {
			e := &t.Events[i]
			if e.Kind != KindFault {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(p.scale(e.At - base)))):
			}
			p.fault(ctx, e)
		}
	})
	items := iter.Seq2[time.Duration, int](func(yield func(time.Duration, int) bool) {
		for i := first; i < end; i++ {
			if e := &t.Events[i]; e.Kind == KindRequest && !yield(p.scale(e.At-base), i) {
				return
			}
		}
	})
	load.Drive(ctx, start, items, func(due time.Time, i int) {
		e := &t.Events[i]
		r := e.request(p.names)
		if e.Name != "" && e.ID == "" {
			r.ID = p.id(e.Name)
		}
		res := p.caller.Do(ctx, due, r)
		p.ledger.Add(res)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.results[i] = res
	})
}

func (p *player) scale(d Duration) time.Duration {
	return time.Duration(float64(d) / p.options.Speed)
}

func (p *player) fault(ctx context.Context, e *Event) {
	at := time.Since(p.start)
	if p.options.Progress != nil {
		p.options.Progress(at, fmt.Sprintf("%s (%d requests done)", e.Fault, p.ledger.Len()))
	}
	err := p.stage.Apply(ctx, e.Fault)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.marks = append(p.marks, report.Mark{At: at, Name: e.Fault.String()})
	if err != nil {
		p.errs = append(p.errs, fmt.Sprintf("fault %s: %v", e.Fault, err))
	}
}

// id returns the id that a name stands for.
func (p *player) id(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids[name] == "" {
		p.ids[name] = uuid.Must(uuid.NewV7()).String()
	}
	return p.ids[name]
}

// compare lists the expectations that were not met.
func (p *player) compare(t *Trace, journals []emul.Journal) []string {
	var diff []string
	all := emul.Merge(journals...)
	answers := make(map[string]load.Result)
	for i := range t.Events {
		e := &t.Events[i]
		if e.Kind != KindRequest {
			continue
		}
		res := p.results[i]
		last := res.Last()
		fail := func(format string, args ...any) {
			diff = append(diff, fmt.Sprintf("%v %s %s %s: %s", time.Duration(e.At), e.Method, e.Path, e.Name, fmt.Sprintf(format, args...)))
		}
		if len(e.Expect) > 0 && !allowed(e.Expect, last) {
			fail("outcome %s:%s after %d attempts, want %s", last.Outcome, last.Reason, len(res.Attempts), strings.Join(e.Expect, " or "))
		}
		if len(e.Status) > 0 && !slices.Contains(e.Status, last.Status) {
			fail("status %d, want one of %v", last.Status, e.Status)
		}
		if n := all.IDs[res.Request.ID]; len(e.Runs) > 0 && len(journals) > 0 && !slices.Contains(e.Runs, n) {
			fail("ran %d times, want one of %v", n, e.Runs)
		}
		if other, ok := answers[e.Same]; ok && last.Outcome == proto.Answered && string(other.Body) != string(res.Body) {
			fail("answer %q differs from the answer %q to the same request", res.Body, other.Body)
		}
		if last.Outcome == proto.Answered && e.Name != "" {
			answers[e.Name] = res
		}
	}
	return diff
}

func allowed(expect []string, a load.Attempt) bool {
	for _, x := range expect {
		outcome, reason, exact := strings.Cut(x, ":")
		if outcome == string(a.Outcome) && (!exact || reason == a.Reason) {
			return true
		}
	}
	return false
}
