// Package event is the registry of numbered log events. Every event that an
// operator may act on has a number that never changes, a meaning and an action.
package event

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"regexp"
	"slices"
	"strings"
	"sync"
)

// Event is a kind of log line. Events are made with Define.
type Event struct {
	number  int
	name    string
	level   slog.Level
	meaning string
	action  string
}

// Number returns the number of the event.
func (e *Event) Number() int { return e.number }

// Name returns the short name, which is the message of the log line.
func (e *Event) Name() string { return e.name }

// Level returns the level at which the event is logged.
func (e *Event) Level() slog.Level { return e.level }

// Meaning says what happened.
func (e *Event) Meaning() string { return e.meaning }

// Action says what the operator should do.
func (e *Event) Action() string { return e.action }

// Log writes the event with its attributes.
func (e *Event) Log(ctx context.Context, l *slog.Logger, attrs ...slog.Attr) {
	if !l.Enabled(ctx, e.level) {
		return
	}
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int(NumberKey, e.number))
	l.LogAttrs(ctx, e.level, e.name, append(all, attrs...)...)
}

// NumberKey is the attribute that carries the number of an event.
const NumberKey = "event"

// Range is the block of numbers of one package.
type Range struct {
	Package string
	First   int
	Last    int
}

// ranges are fixed: a number never moves to another package.
var ranges = []Range{
	{"node", 1000, 1099},
	{"owner", 1100, 1199},
	{"conf", 1200, 1299},
	{"store", 1300, 1399},
	{"route", 1400, 1499},
	{"admit", 1500, 1599},
	{"dedup", 1600, 1699},
	{"poison", 1700, 1799},
	{"plan", 1800, 1899},
	{"spread", 1900, 1999},
	{"link", 2000, 2099},
	{"pick", 2100, 2199},
	{"retry", 2200, 2299},
	{"admin", 2300, 2399},
	{"stats", 2400, 2499},
	{"kernel", 2500, 2599},
	{"emul", 2600, 2699},
	{"load", 2700, 2799},
	{"trace", 2800, 2899},
	{"serve", 2900, 2999},
	{"fleet", 3000, 3099},
	{"agent", 3100, 3199},
}

// Ranges returns the blocks of numbers by package.
func Ranges() []Range { return slices.Clone(ranges) }

// RangeOf returns the block that holds a number.
func RangeOf(number int) (Range, bool) {
	i := slices.IndexFunc(ranges, func(r Range) bool { return number >= r.First && number <= r.Last })
	if i < 0 {
		return Range{}, false
	}
	return ranges[i], true
}

var (
	mu       sync.Mutex
	registry = make(map[int]*Event)
)

var names = regexp.MustCompile(`^[a-z][a-z0-9 -]*$`)

// Define adds an event to the registry. It is called for package variables and
// panics if the event is incomplete, or if its number or name is taken.
func Define(number int, name string, level slog.Level, meaning, action string) *Event {
	mu.Lock()
	defer mu.Unlock()
	e := &Event{number: number, name: name, level: level, meaning: meaning, action: action}
	if err := check(e); err != nil {
		panic(fmt.Sprintf("event %d %q: %v", number, name, err))
	}
	registry[number] = e
	return e
}

func check(e *Event) error {
	if _, ok := RangeOf(e.number); !ok {
		return fmt.Errorf("number is in no package's range")
	}
	if !names.MatchString(e.name) {
		return fmt.Errorf("name must be lower case words")
	}
	for _, text := range []string{e.meaning, e.action} {
		if strings.TrimSpace(text) == "" || strings.ContainsAny(text, "|\n") {
			return fmt.Errorf("meaning and action must be one line of text without |")
		}
	}
	for _, o := range registry {
		if o.number == e.number || o.name == e.name {
			return fmt.Errorf("number or name is taken by event %d %q", o.number, o.name)
		}
	}
	return nil
}

// All returns the events of all linked packages by number.
func All() []*Event {
	mu.Lock()
	defer mu.Unlock()
	list := make([]*Event, 0, len(registry))
	for _, e := range registry {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Event) int { return cmp.Compare(a.number, b.number) })
	return list
}

// Find returns the event with a number.
func Find(number int) (*Event, bool) {
	mu.Lock()
	defer mu.Unlock()
	e, ok := registry[number]
	return e, ok
}

// Markdown writes the page docs/events.md.
func Markdown(w io.Writer) error {
	var b strings.Builder
	b.WriteString(header)
	for _, r := range ranges {
		fmt.Fprintf(&b, "| %d to %d | `%s` |\n", r.First, r.Last, r.Package)
	}
	b.WriteString("\n## Events\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "\n### %d: %s\n\nLevel: %s. %s\n\nAction: %s\n", e.number, e.name, e.level, e.meaning, e.action)
	}
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("write events page: %w", err)
	}
	return nil
}

const header = `# Log events

Every log line on which an operator may act carries a number in the attribute
` + "`event`" + `. Numbers never change and are not reused. ` + "`burdocklift events NUMBER`" + `
explains one event. This page is written by ` + "`burdocklift events --markdown`" + `
and compared with the program by a test.

## Number ranges

| numbers | package |
|---|---|
`
