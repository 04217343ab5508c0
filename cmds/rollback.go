package cmds

import (
	"context"
	"fmt"

	"burdocklift/conf"
)

type rollbackCommand struct {
	output
	remote
	Kind     conf.Kind `arg:"" enum:"inventory,rules" help:"inventory or rules."`
	Revision uint64    `arg:"" help:"Version to return to, from history."`
	Force    bool      `help:"Store a dangerous change."`
	Author   string    `help:"Name of the operator." env:"BURDOCKLIFT_AUTHOR,USER" default:"unknown"`
}

// Help implements kong.HelpProvider.
func (*rollbackCommand) Help() string {
	return `Stores an earlier document again, as a new and higher version.

Example: burdocklift rollback rules 41 --store http://10.0.0.5:8500` + statusHelp
}

// Run stores the earlier document.
func (c *rollbackCommand) Run(e *environment) error {
	d, ctx, cancel, err := c.documents(e, c.Kind)
	if err != nil {
		return err
	}
	defer cancel()
	result, err := d.rollback(ctx, c.Revision, c.Author, c.Force)
	return result.report(e, c.output, c.Kind, err)
}

func (d *documents) rollback(ctx context.Context, version uint64, author string, force bool) (edit, error) {
	now, err := d.current(ctx)
	if err != nil {
		return edit{}, err
	}
	old, err := d.version(ctx, version)
	if err != nil {
		return edit{}, err
	}
	doc, err := d.parse(old)
	if err != nil {
		return edit{}, err
	}
	if conf.Same(now.text, old.text) {
		return edit{}, fmt.Errorf("%w: version %d is the same as version %d in force", ErrUsage, version, now.head.Version)
	}
	return d.change(ctx, now, old.text, doc, author, force)
}
