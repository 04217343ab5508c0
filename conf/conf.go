// Package conf defines the three TOML documents of the system: the settings of
// a node, the inventory of hosts and the rules of the services. Documents are
// parsed strictly, and a document with any problem is refused as a whole.
package conf

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"burdocklift/proto"
)

// ErrInvalid matches every refusal of a document.
var ErrInvalid = errors.New("invalid document")

// MaxDocument bounds the size of a stored document in bytes. The store accepts
// values up to 1 MB.
const MaxDocument = 1_000_000

// Problem is one fault of a document.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Problems is the error of a refused document: all of its faults, by line.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// Kind names a stored document.
type Kind string

// Kinds of stored documents.
const (
	KindInventory Kind = "inventory"
	KindRules     Kind = "rules"
)

// StoreKey returns the key of the document in the store.
func (k Kind) StoreKey() string {
	if k == KindInventory {
		return proto.KeyInventory
	}
	return proto.KeyRules
}

// Parse reads a document of this kind.
func (k Kind) Parse(name string, b []byte) (Document, error) {
	switch k {
	case KindInventory:
		v, err := ParseInventory(name, b)
		if err != nil {
			return nil, err
		}
		return v, nil
	case KindRules:
		r, err := ParseRules(name, b)
		if err != nil {
			return nil, err
		}
		return r, nil
	}
	return nil, fmt.Errorf("%w: unknown kind %q", ErrInvalid, k)
}

// Head is the part that both stored documents have in common. Author and
// Write are set by the command that stores the document.
type Head struct {
	// Version rises by one with each accepted change; zero was never stored.
	Version uint64 `toml:"version,required"`
	Author  string `toml:"author"`
	// Write identifies the write, so that a writer whose reply was lost can tell
	// by reading whether its write took effect.
	Write string `toml:"write"`
}

// Stamp returns the head of a document.
func (h Head) Stamp() Head { return h }

// Document is a stored document: *Inventory or *Rules.
type Document interface {
	Kind() Kind
	Stamp() Head
}

func (c *checker) head(h Head) {
	c.word("author", h.Author, true)
	c.word("write", h.Write, true)
	if h.Version > 1<<62 {
		c.add("version", "%d is out of range, must be from 0 to %d", h.Version, uint64(1)<<62)
	}
}
