package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"burdocklift/admin"
	"burdocklift/conf"
	"burdocklift/store"
)

const statusHelp = `

Exit status: 0 on success; 1 if the command failed, was refused or met a
conflict; 2 if the command line or a document is wrong.`

// output selects the form of what a command prints.
type output struct {
	JSON bool `help:"Print JSON instead of a table."`
}

// print writes v as JSON, or calls table.
func (o output) print(e *environment, v any, table func(w io.Writer)) error {
	if o.JSON {
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return fmt.Errorf("print JSON: %w", err)
		}
		return nil
	}
	w := tabwriter.NewWriter(e.stdout, 0, 8, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// line prints the cells of a row of a table.
func line(w io.Writer, cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.TrimRight(strings.Join(text, "\t"), "\t"))
}

// remote are the flags of commands that use the store.
type remote struct {
	Store   string        `help:"Base URL of the platform's store." env:"BURDOCKLIFT_STORE" placeholder:"URL"`
	Timeout time.Duration `help:"Time after which the command gives up." default:"30s"`
}

// documents opens the store. The returned function ends the time limit.
func (r remote) documents(e *environment, kind conf.Kind) (*documents, context.Context, func(), error) {
	u, err := url.Parse(r.Store)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, nil, nil, fmt.Errorf("%w: --store %q is not a URL such as http://10.0.0.5:8500", ErrUsage, r.Store)
	}
	ctx, cancel := context.WithTimeout(e.ctx, r.Timeout)
	return openDocuments(store.NewConsul(r.Store, nil), kind), ctx, cancel, nil
}

// nodeFlags are the flags of commands that call the operators' address of a node.
type nodeFlags struct {
	Node      string `help:"Base URL of a node's operator address." env:"BURDOCKLIFT_NODE" placeholder:"URL"`
	TokenFile string `help:"File with the operators' token." env:"BURDOCKLIFT_TOKEN_FILE" placeholder:"FILE"`
}

// client returns a client of a node.
func (f nodeFlags) client() (*admin.Client, error) {
	c, _, err := f.open()
	return c, err
}

// open returns a client of a node, and the token for calls to further nodes.
func (f nodeFlags) open() (*admin.Client, string, error) {
	if f.TokenFile == "" {
		return nil, "", fmt.Errorf("%w: --token-file is required", ErrUsage)
	}
	token, err := admin.ReadToken(f.TokenFile)
	if err != nil {
		return nil, "", fmt.Errorf("%w: %w", ErrUsage, err)
	}
	c, err := admin.NewClient(f.Node, token)
	if err != nil {
		return nil, "", fmt.Errorf("%w: --node %w", ErrUsage, err)
	}
	return c, token, nil
}

// limit is the time limit of commands that call nodes only.
type limit struct {
	Timeout time.Duration `help:"Time after which the command gives up." default:"10s"`
}

// readFile reads a file that the operator named.
func readFile(name string) ([]byte, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return b, nil
}

// readDocument reads and parses a document from a file.
func readDocument(kind conf.Kind, name string) ([]byte, conf.Document, error) {
	b, err := readFile(name)
	if err != nil {
		return nil, nil, err
	}
	d, err := kind.Parse(name, b)
	return b, d, err
}

// comparison is the difference of two documents.
type comparison struct {
	Changes   []conf.Change `json:"changes"`
	Dangerous []string      `json:"dangerous"`
}

func compare(older, newer conf.Document) comparison {
	return comparison{Changes: conf.Diff(older, newer), Dangerous: conf.Dangerous(older, newer)}
}

// filled returns the comparison with lists that JSON writes as [], not as null.
func (c comparison) filled() comparison {
	return comparison{Changes: append([]conf.Change{}, c.Changes...), Dangerous: append([]string{}, c.Dangerous...)}
}

func (c comparison) table(w io.Writer) {
	if len(c.Changes) > 0 {
		line(w, "ACTION", "ITEM", "NAME", "FIELD", "OLD", "NEW")
	}
	for _, ch := range c.Changes {
		line(w, ch.Action, ch.Item, ch.Name, ch.Field, ch.Old, ch.New)
	}
	for _, reason := range c.Dangerous {
		_, _ = fmt.Fprintf(w, "dangerous: %s\n", reason)
	}
}

// fail prints an error and returns the exit status that belongs to it.
func fail(stderr io.Writer, err error) int {
	var problems conf.Problems
	if errors.As(err, &problems) {
		// One problem in each line, in the form file:line that editors follow.
		_, _ = fmt.Fprintln(stderr, problems)
		return ExitUsage
	}
	_, _ = fmt.Fprintf(stderr, "burdocklift: %v\n", err)
	if errors.Is(err, ErrUsage) || errors.Is(err, conf.ErrInvalid) || errors.Is(err, errUnread) {
		return ExitUsage
	}
	return ExitFailure
}
