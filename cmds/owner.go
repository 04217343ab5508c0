package cmds

import (
	"context"
	"io"
)

type ownerCommand struct {
	output
	nodeFlags
	limit
	Service string `arg:"" help:"Keyed service."`
	Key     string `arg:"" help:"Key of a request."`
}

// Help implements kong.HelpProvider.
func (*ownerCommand) Help() string {
	return `Shows the shard, epoch and owner of a key as one node knows them, and the next owner while the key is being moved.

Example: burdocklift owner permit P-1042 --node http://10.0.0.1:8083 --token-file token` + statusHelp
}

// Run prints the owner.
func (c *ownerCommand) Run(e *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	o, err := client.Owner(ctx, c.Service, c.Key)
	if err != nil {
		return err
	}
	return c.print(e, o, func(w io.Writer) {
		line(w, "SERVICE", "KEY", "SHARD", "EPOCH", "OWNER", "NEXT", "HOT")
		line(w, o.Service, o.Key, o.Shard, o.Epoch, o.Owner, orDash(o.Next), yes(o.Hot))
	})
}

// orDash fills an empty cell, so that the columns stay apart for scripts.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
