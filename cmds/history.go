package cmds

import (
	"io"
	"time"

	"github.com/google/uuid"

	"burdocklift/conf"
)

type historyCommand struct {
	output
	remote
	Kind conf.Kind `arg:"" enum:"inventory,rules" help:"inventory or rules."`
}

// Help implements kong.HelpProvider.
func (*historyCommand) Help() string {
	return `Lists the stored versions of a document, newest first. The version in force and the 48 before it are kept.

Example: burdocklift history inventory --store http://10.0.0.5:8500` + statusHelp
}

type revision struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Bytes   int       `json:"bytes"`
	InForce bool      `json:"in_force"`
}

// Run lists the versions.
func (c *historyCommand) Run(e *environment) error {
	d, ctx, cancel, err := c.documents(e, c.Kind)
	if err != nil {
		return err
	}
	defer cancel()
	list, err := d.history(ctx)
	if err != nil {
		return err
	}
	revisions := make([]revision, len(list))
	for i, s := range list {
		revisions[i] = revision{Version: s.head.Version, Author: s.head.Author, Time: written(s.head), Bytes: len(s.text), InForce: i == 0}
	}
	return c.print(e, revisions, func(w io.Writer) {
		line(w, "VERSION", "AUTHOR", "TIME", "BYTES", "IN FORCE")
		for _, r := range revisions {
			line(w, r.Version, r.Author, r.Time.Format(time.RFC3339), r.Bytes, map[bool]string{true: "yes"}[r.InForce])
		}
	})
}

// written returns when a document was stored, on the operator's clock.
func written(h conf.Head) time.Time {
	id, err := uuid.Parse(h.Write)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime()).UTC()
}
