package cmds

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"burdocklift/conf"
	"burdocklift/store"
)

type getCommand struct {
	output
	remote
	Kind     conf.Kind `arg:"" enum:"inventory,rules" help:"inventory or rules."`
	Revision uint64    `help:"Version to read instead of the one in force." placeholder:"VERSION"`
	File     string    `help:"File to write instead of the standard output." short:"o" placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*getCommand) Help() string {
	return `Prints a stored document as TOML. Edit it and store it with put; the version in the document tells put which revision was edited.

Example: burdocklift get rules -o rules.toml --store http://10.0.0.5:8500` + statusHelp
}

// Run prints the document.
func (c *getCommand) Run(e *environment) error {
	d, ctx, cancel, err := c.documents(e, c.Kind)
	if err != nil {
		return err
	}
	defer cancel()
	var s stored
	if c.Revision > 0 {
		s, err = d.version(ctx, c.Revision)
	} else {
		s, err = d.current(ctx)
	}
	if err != nil {
		return err
	}
	if s.index == 0 {
		return fmt.Errorf("stored %s: %w", c.Kind, store.ErrNotFound)
	}
	if c.File != "" {
		if err := os.WriteFile(c.File, s.text, 0o644); err != nil {
			return fmt.Errorf("write document: %w", err)
		}
		return nil
	}
	if c.JSON {
		var tree map[string]any
		if err := toml.Unmarshal(s.text, &tree); err != nil {
			return fmt.Errorf("%w: %w", errStored, err)
		}
		return c.print(e, tree, nil)
	}
	if _, err := e.stdout.Write(s.text); err != nil {
		return fmt.Errorf("print document: %w", err)
	}
	return nil
}
