package cmds

import (
	"context"
	"fmt"
	"io"
	"time"
)

// quarantineCommand groups the commands on quarantined requests.
type quarantineCommand struct {
	List quarantineListCommand `cmd:"" help:"List suspect and quarantined requests."`
	Lift quarantineLiftCommand `cmd:"" help:"Let a quarantined request run again."`
}

type quarantineListCommand struct {
	output
	nodeFlags
	limit
}

// Help implements kong.HelpProvider.
func (*quarantineListCommand) Help() string {
	return `Lists the requests that were in flight when a target crashed. A request that was in flight at two crashes is quarantined and refused on all nodes.

Example: burdocklift quarantine list --node http://10.0.0.1:8083 --token-file token` + statusHelp
}

// Run prints the list.
func (c *quarantineListCommand) Run(e *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	list, err := client.Quarantine(ctx)
	if err != nil {
		return err
	}
	return c.print(e, list, func(w io.Writer) {
		line(w, "HASH", "CRASHES", "QUARANTINED", "EXPIRY")
		for _, q := range list {
			line(w, q.Hash, q.Crashes, yes(q.Quarantined), q.Expiry.UTC().Format(time.RFC3339))
		}
	})
}

type quarantineLiftCommand struct {
	output
	nodeFlags
	limit
	Hash string `arg:"" help:"Hash of the request, from list."`
}

// Help implements kong.HelpProvider.
func (*quarantineLiftCommand) Help() string {
	return `Lifts an entry of the quarantine. Lift it after the fault in the target is corrected; the request may crash two more targets otherwise.

Example: burdocklift quarantine lift 5f2c00d1a9e37b64 --node http://10.0.0.1:8083 --token-file token` + statusHelp
}

// Run lifts the entry.
func (c *quarantineLiftCommand) Run(e *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	if err := client.Lift(ctx, c.Hash); err != nil {
		return err
	}
	return c.print(e, map[string]string{"lifted": c.Hash}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "lifted %s\n", c.Hash)
	})
}
