package cmds

import (
	"fmt"

	"burdocklift/conf"
	"burdocklift/store"
)

type diffCommand struct {
	output
	remote
	Kind conf.Kind `arg:"" enum:"inventory,rules" help:"inventory or rules."`
	Old  string    `arg:"" help:"File with the older document, or the only file: then it is compared with the stored document."`
	New  string    `arg:"" optional:"" help:"File with the newer document."`
}

// Help implements kong.HelpProvider.
func (*diffCommand) Help() string {
	return `Shows what changes from one document to another, in hosts, services and classes, and what is dangerous about it. Versions and authors are not compared.

Example: burdocklift diff rules rules.toml --store http://10.0.0.5:8500` + statusHelp
}

// Run compares two files, or the stored document with one file.
func (c *diffCommand) Run(e *environment) error {
	_, newer, err := readDocument(c.Kind, c.Old)
	if err != nil {
		return err
	}
	var older conf.Document
	if c.New != "" {
		older = newer
		_, newer, err = readDocument(c.Kind, c.New)
	} else {
		older, err = c.current(e)
	}
	if err != nil {
		return err
	}
	result := compare(older, newer).filled()
	return c.print(e, result, result.table)
}

func (c *diffCommand) current(e *environment) (conf.Document, error) {
	d, ctx, cancel, err := c.documents(e, c.Kind)
	if err != nil {
		return nil, err
	}
	defer cancel()
	s, err := d.current(ctx)
	if err != nil {
		return nil, err
	}
	if s.index == 0 {
		return nil, fmt.Errorf("stored %s: %w", c.Kind, store.ErrNotFound)
	}
	return d.parse(s)
}
