// Package trace reads and replays recorded traces: requests, faults and the
// outcomes that callers may be told.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"burdocklift/load"
	"burdocklift/proto"
)

// ErrFormat marks a trace that cannot be read.
var ErrFormat = errors.New("invalid trace")

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	KindSite    Kind = "site"    // names the deployment; the first line
	KindRequest Kind = "request" // a request of a caller
	KindFault   Kind = "fault"   // a fault or its end
	// KindWait lets the events below begin only when those above have ended, so
	// that stated outcomes do not depend on the speed of the machine.
	KindWait Kind = "wait"
)

// Duration is a time.Duration in Go's notation.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Event is one line of a trace.
type Event struct {
	Kind Kind     `json:"kind"`
	At   Duration `json:"at,omitzero"` // since the site is ready

	// Site is "authority" or "cascadia".
	Site string `json:"site,omitempty"`

	// Name stands for the id of a once-only request: requests of one name share
	// an id, which is made when the first of them is sent.
	Name   string            `json:"name,omitempty"`
	Class  string            `json:"class,omitempty"`
	Entry  string            `json:"entry,omitempty"`
	Method string            `json:"method,omitempty"`
	Path   string            `json:"path,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   string            `json:"body,omitempty"`
	Once   bool              `json:"once,omitempty"`
	// ID replaces the id that Name stands for, to send a bad one.
	ID       string   `json:"id,omitempty"`
	Deadline Duration `json:"deadline,omitzero"`
	Attempts int      `json:"attempts,omitempty"` // bound; the caller resends up to it
	// Expect lists the allowed final outcomes, each as "outcome" or
	// "outcome:reason". Status lists the allowed final statuses and Runs the
	// allowed numbers of runs of the request's id. Empty means any.
	Expect []string `json:"expect,omitempty"`
	Status []int    `json:"status,omitempty"`
	Runs   []int    `json:"runs,omitempty"`
	// Same names an earlier request whose answer this one must equal if both
	// were answered.
	Same string `json:"same,omitempty"`

	Fault `json:",omitzero"`
}

// FaultKind is a kind of fault.
type FaultKind string

// Faults. A host is its node and its target.
const (
	Kill         FaultKind = "kill"   // the node's process ends, the target goes on
	Lose         FaultKind = "lose"   // node and target end
	Freeze       FaultKind = "freeze" // see site.Host.Freeze
	Thaw         FaultKind = "thaw"
	Leave        FaultKind = "leave" // graceful
	Crash        FaultKind = "crash" // the target's process ends and returns
	PlatformDown FaultKind = "platform-down"
	PlatformSlow FaultKind = "platform-slow" // Delay per call
	LoseReplies  FaultKind = "lose-replies"  // writes take effect without a reply
	PlatformUp   FaultKind = "platform-up"   // ends all faults of the platform
)

var hostFaults = []FaultKind{Kill, Lose, Freeze, Thaw, Leave, Crash}

var platformFaults = []FaultKind{PlatformDown, PlatformSlow, LoseReplies, PlatformUp}

// Fault is a fault of an event.
type Fault struct {
	Fault FaultKind `json:"fault,omitempty"`
	Host  string    `json:"host,omitempty"`
	Delay Duration  `json:"delay,omitzero"`
	Every int       `json:"every,omitempty"` // only every n-th call
}

func (f Fault) String() string {
	s := string(f.Fault)
	if f.Host != "" {
		s += " " + f.Host
	}
	if f.Delay != 0 {
		s += " " + time.Duration(f.Delay).String()
	}
	return s
}

func (f Fault) check() error {
	switch {
	case slices.Contains(hostFaults, f.Fault):
		if f.Host == "" {
			return fmt.Errorf("fault %q needs a host", f.Fault)
		}
	case !slices.Contains(platformFaults, f.Fault):
		return fmt.Errorf("fault %q is not known", f.Fault)
	case f.Fault == PlatformSlow && f.Delay <= 0:
		return fmt.Errorf("fault %q needs a delay", f.Fault)
	}
	return nil
}

// Trace is a recorded sequence of events.
type Trace struct {
	Site   string
	Events []Event // ordered by time
}

// maxLine bounds a line: a body of 1 MiB in JSON's longest notation.
const maxLine = 8 << 20

// Parse reads a trace. The name of the file is used in errors only.
func Parse(name string, r io.Reader) (*Trace, error) {
	t := &Trace{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for n := 1; s.Scan(); n++ {
		line := bytes.TrimSpace(s.Bytes())
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		var e Event
		d := json.NewDecoder(bytes.NewReader(line))
		d.DisallowUnknownFields()
		err := d.Decode(&e)
		if err == nil {
			err = t.add(e)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w: %w", name, n, ErrFormat, err)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if t.Site == "" {
		return nil, fmt.Errorf("%s: %w: the first event must be of kind %q", name, ErrFormat, KindSite)
	}
	return t, nil
}

func (t *Trace) add(e Event) error {
	if e.Kind == KindSite {
		if t.Site != "" || e.Site == "" {
			return errors.New("one site with a name is required")
		}
		t.Site = e.Site
		return nil
	}
	if t.Site == "" {
		return fmt.Errorf("the first event must be of kind %q", KindSite)
	}
	if n := len(t.Events); e.At < 0 || n > 0 && t.Events[n-1].At > e.At {
		return fmt.Errorf("time %v is before the event above", time.Duration(e.At))
	}
	if err := e.check(); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return nil
}

func (e *Event) check() error {
	switch e.Kind {
	case KindFault:
		return e.Fault.check()
	case KindWait:
		return nil
	case KindRequest:
	default:
		return fmt.Errorf("kind %q is not known", e.Kind)
	}
	if e.Class == "" || e.Entry == "" || e.Method == "" || !strings.HasPrefix(e.Path, "/") {
		return errors.New("a request needs class, entry, method and a path that begins with /")
	}
	if e.Deadline < 0 || e.Attempts < 0 {
		return errors.New("deadline or attempts is negative")
	}
	for _, x := range e.Expect {
		outcome, _, _ := strings.Cut(x, ":")
		switch proto.Outcome(outcome) {
		case proto.Answered, proto.NotRun, proto.Unknown:
		default:
			return fmt.Errorf("outcome %q is not known", x)
		}
	}
	if e.Fault != (Fault{}) {
		return errors.New("a request has no fault")
	}
	return nil
}

// Write writes a trace in the form that Parse reads.
func (t *Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(Event{Kind: KindSite, Site: t.Site}); err != nil {
		return err
	}
	for _, e := range t.Events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// request returns the request of an event. Entries lists the known entries.
func (e *Event) request(entries []string) load.Request {
	r := load.Request{
		Class: e.Class, Method: e.Method, Path: e.Path, Body: e.Body, Once: e.Once, ID: e.ID,
		Deadline: time.Duration(e.Deadline), Attempts: e.Attempts, Entry: slices.Index(entries, e.Entry),
		Header: make(http.Header, len(e.Header)),
	}
	for name, value := range e.Header {
		r.Header.Set(name, value)
	}
	return r
}

// FromPlan records the arrivals of a plan, spread over entries, together with
// faults.
func FromPlan(siteName string, p *load.Plan, entries []string, faults []Event) *Trace {
	t := &Trace{Site: siteName}
	for at, r := range p.Arrivals() {
		e := Event{
			Kind: KindRequest, At: Duration(at.Round(time.Millisecond)), Class: r.Class, Entry: entries[r.Entry%len(entries)],
			Method: r.Method, Path: r.Path, Body: r.Body, Once: r.Once, Deadline: Duration(r.Deadline),
		}
		t.Events = append(t.Events, e)
	}
	t.Events = append(t.Events, faults...)
	slices.SortStableFunc(t.Events, func(a, b Event) int { return int(a.At - b.At) })
	return t
}
