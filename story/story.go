// Package story puts the log lines of several nodes about one request in order,
// with what the nodes involved had come to believe before.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names the request")

const (
	// maxLine bounds a line of a log.
	maxLine = 1 << 20
	// before is how long before the request's first line changes of belief are
	// shown: a takeover takes 12 s.
	before = 15 * time.Second
	// after is how long after its last line they are shown: what ends a request is
	// often noticed a heartbeat or two later.
	after = 3 * time.Second
	// maxContext bounds the changes of belief that are shown, the last ones first.
	maxContext = 20
	// requestEvents are the numbers of events about single requests.
	requestEvents = 2900
)

// Entry is a line of a node's log.
type Entry struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Event   int            `json:"event"`
	Fields  map[string]any `json:"fields"`
	About   bool           `json:"about"` // about the request, and not about what nodes believed
}

// Story is what logs tell about a request.
type Story struct {
	ID      string   `json:"id"`
	Entries []Entry  `json:"entries"`
	Nodes   []string `json:"nodes"`   // that took part, or own the key
	Left    int      `json:"left"`    // changes of belief that are not shown
	Skipped int      `json:"skipped"` // lines without an entry
}

// Reader gathers entries from logs. The zero value is ready to use.
type Reader struct {
	entries []Entry
	skipped int
}

// Read takes in a log: one JSON object a line, after any other text.
func (r *Reader) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if e, ok := parse(lines.Bytes()); ok {
			r.entries = append(r.entries, e)
		} else {
			r.skipped++
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func parse(line []byte) (Entry, bool) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		return Entry{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(line[i:], &fields); err != nil {
		return Entry{}, false
	}
	e := Entry{Fields: fields}
	text := func(key string) string {
		s, _ := fields[key].(string)
		delete(fields, key)
		return s
	}
	stamp, err := time.Parse(time.RFC3339Nano, text("time"))
	number, ok := fields["event"].(float64)
	if err != nil || !ok {
		return Entry{}, false
	}
	delete(fields, "event")
	e.Time, e.Event = stamp, int(number)
	e.Level, e.Message, e.Node = text("level"), text("msg"), text("node")
	return e, true
}

// Story returns what is known of a request.
func (r *Reader) Story(id string) (Story, error) {
	s := Story{ID: id, Skipped: r.skipped}
	nodes := make(map[string]bool)
	var about []Entry
	for _, e := range r.entries {
		if e.Fields["id"] != id {
			continue
		}
		e.About = true
		about = append(about, e)
		nodes[e.Node] = true
		if owner, ok := e.Fields["owner"].(string); ok {
			nodes[owner] = true
		}
	}
	if len(about) == 0 {
		return s, fmt.Errorf("%w: %q in %d lines", ErrUnknown, id, len(r.entries))
	}
	byTime := func(a, b Entry) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(about, byTime)
	beliefs := r.beliefs(nodes, about[0].Time.Add(-before), about[len(about)-1].Time.Add(after))
	slices.SortStableFunc(beliefs, byTime)
	if n := len(beliefs) - maxContext; n > 0 {
		s.Left, beliefs = n, beliefs[n:]
	}
	s.Entries = append(about, beliefs...)
	slices.SortStableFunc(s.Entries, byTime)
	for name := range nodes {
		if name != "" {
			s.Nodes = append(s.Nodes, name)
		}
	}
	slices.Sort(s.Nodes)
	return s, nil
}

// beliefs returns the changes of belief in a time that nodes logged, or that
// others logged about them.
func (r *Reader) beliefs(nodes map[string]bool, from, to time.Time) []Entry {
	var out []Entry
	for _, e := range r.entries {
		member, _ := e.Fields["member"].(string)
		if member != "" && !nodes[member] && e.Level == "INFO" {
			continue // ordinary news of a node that took no part
		}
		single := e.Event >= requestEvents && e.Event < requestEvents+100
		if !single && (nodes[e.Node] || nodes[member]) && !e.Time.Before(from) && !e.Time.After(to) {
			out = append(out, e)
		}
	}
	return out
}

// Detail returns the fields of an entry as text, in the order of their names.
func (e Entry) Detail() string {
	var parts []string
	for name, v := range e.Fields {
		if name == "id" {
			continue
		}
		b, err := json.Marshal(v)
		if err != nil {
			b = fmt.Append(nil, v) // what JSON decoded encodes; this is for Entry values of other origin
		}
		parts = append(parts, name+"="+strings.Trim(string(b), `"`))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
