package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"burdocklift/conf"
)

type putCommand struct {
	output
	remote
	Kind   conf.Kind `arg:"" enum:"inventory,rules" help:"inventory or rules."`
	File   string    `arg:"" help:"File with the edited document."`
	Force  bool      `help:"Store a dangerous change."`
	Update bool      `help:"Write the stored document, with its new version, back to the file."`
	Author string    `help:"Name of the operator." env:"BURDOCKLIFT_AUTHOR,USER" default:"unknown"`
}

// Help implements kong.HelpProvider.
func (*putCommand) Help() string {
	return `Stores an edited document. Its version must be the one that was edited, or 0 for the first document; put raises it by one. If another operator stored a change meanwhile, nothing is written and their change is shown. A change that removes more than 25% of the serving slots, changes a shard count or otherwise endangers ownership needs --force.

Example: burdocklift put rules rules.toml --store http://10.0.0.5:8500` + statusHelp
}

// edit is the result of storing a document.
type edit struct {
	Result  string `json:"result"` // stored, unchanged, conflict, dangerous or unknown
	Version uint64 `json:"version"`
	comparison
	text []byte
}

// Run stores the file.
func (c *putCommand) Run(e *environment) error {
	text, doc, err := readDocument(c.Kind, c.File)
	if err != nil {
		return err
	}
	d, ctx, cancel, err := c.documents(e, c.Kind)
	if err != nil {
		return err
	}
	defer cancel()
	result, err := d.put(ctx, text, doc, c.Author, c.Force)
	if err == nil && c.Update {
		if writeErr := os.WriteFile(c.File, result.text, 0o644); writeErr != nil {
			err = fmt.Errorf("the document is stored, but the file was not updated: %w", writeErr)
		}
	}
	return result.report(e, c.output, c.Kind, err)
}

// put stores an edited document if the version that was edited is still in force.
func (d *documents) put(ctx context.Context, text []byte, doc conf.Document, author string, force bool) (edit, error) {
	based := doc.Stamp().Version
	now, err := d.current(ctx)
	if errors.Is(err, errStored) && force {
		now, err = d.broken(ctx, based)
	}
	if err != nil {
		return edit{}, err
	}
	if now.index != 0 && conf.Same(now.text, text) {
		// Also the second run of a put whose first run did not learn its outcome.
		return edit{Result: "unchanged", Version: now.head.Version, text: now.text}, nil
	}
	if now.head.Version != based && !now.broken {
		return d.conflict(ctx, based, doc)
	}
	return d.change(ctx, now, text, doc, author, force)
}

// change checks a change for danger and stores it.
func (d *documents) change(ctx context.Context, now stored, text []byte, doc conf.Document, author string, force bool) (edit, error) {
	result := edit{Version: now.head.Version}
	if now.index != 0 {
		older, err := d.parse(now)
		if err != nil && !force {
			return result, err
		}
		if err == nil {
			result.comparison = compare(older, doc)
		}
	}
	if len(result.Dangerous) > 0 && !force {
		result.Result = "dangerous"
		return result, errDangerous
	}
	next, err := d.replace(ctx, now, text, author)
	switch {
	case err == nil:
		result.Result, result.Version, result.text = "stored", next.head.Version, next.text
		return result, nil
	case errors.Is(err, errConflict):
		return d.conflict(ctx, now.head.Version, doc)
	case errors.Is(err, errUnknown):
		result.Result = "unknown"
	}
	return result, err
}

// conflict shows the other operators' changes since the version that was
// edited, or the difference from the edit if that version is not kept.
func (d *documents) conflict(ctx context.Context, based uint64, doc conf.Document) (edit, error) {
	now, err := d.current(ctx)
	if err != nil {
		return edit{Result: "conflict"}, errors.Join(errConflict, err)
	}
	result := edit{Result: "conflict", Version: now.head.Version}
	if now.index == 0 {
		return result, fmt.Errorf("%w: version %d was edited, but none is stored", errConflict, based)
	}
	newer, err := d.parse(now)
	if err != nil {
		return result, errors.Join(errConflict, err)
	}
	older, what := doc, "differs from the edit as follows"
	if base, err := d.version(ctx, based); err == nil {
		if parsed, err := d.parse(base); err == nil {
			older, what = parsed, fmt.Sprintf("changed since version %d as follows", based)
		}
	}
	result.Changes = conf.Diff(older, newer)
	return result, fmt.Errorf("%w: version %d was edited, version %d by %s is stored and %s", errConflict, based, now.head.Version, now.head.Author, what)
}

// report prints the result of a write and passes the error on.
func (r edit) report(e *environment, o output, kind conf.Kind, err error) error {
	if o.JSON {
		if r.Result == "" {
			return err
		}
		r.comparison = r.filled()
		if printErr := o.print(e, r, nil); printErr != nil {
			return printErr
		}
		return err
	}
	printErr := o.print(e, r, func(w io.Writer) {
		r.table(w)
		if err == nil {
			_, _ = fmt.Fprintf(w, "%s: %s version %d\n", kind, r.Result, r.Version)
		}
	})
	return errors.Join(err, printErr)
}
