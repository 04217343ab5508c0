package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"burdocklift/admin"
	"burdocklift/conf"
	"burdocklift/store"
)

const (
	// drainAttempts bounds the repeats after other operators' changes.
	drainAttempts = 8
	// drainPoll is how often --wait asks the node. Keys are moved by steps of the
	// planner, which are 10 s apart.
	drainPoll = 500 * time.Millisecond
)

type drainCommand struct {
	output
	remote
	nodeFlags
	Host        string        `arg:"" help:"Host in the inventory."`
	Force       bool          `help:"Drain although it is a dangerous change."`
	Author      string        `help:"Name of the operator." env:"BURDOCKLIFT_AUTHOR,USER" default:"unknown"`
	Wait        bool          `help:"Wait until the host owns no keys; needs --node and --token-file."`
	WaitTimeout time.Duration `help:"Time after which --wait gives up." default:"10m"`
}

// Help implements kong.HelpProvider.
func (*drainCommand) Help() string {
	return `Sets a host to leaving in the stored inventory, so that its keys are moved away and it receives no others until the state is changed again. Other operators' changes are kept. A drain that removes more than 25% of the serving slots needs --force. --wait asks a node, which must be another one than that of the host if it is to be stopped meanwhile.

Example: burdocklift drain herd-2 --wait --store http://10.0.0.5:8500 --node http://10.0.0.1:8083 --token-file token` + statusHelp
}

// Run stores the change and waits for its end if that is wanted.
func (c *drainCommand) Run(e *environment) error {
	var client *admin.Client
	if c.Wait {
		var err error
		if client, err = c.client(); err != nil {
			return err
		}
	}
	d, ctx, cancel, err := c.documents(e, conf.KindInventory)
	if err != nil {
		return err
	}
	defer cancel()
	result, err := d.drain(ctx, c.Host, c.Author, c.Force)
	if err != nil || client == nil {
		return result.report(e, c.output, conf.KindInventory, err)
	}
	waitCtx, cancelWait := context.WithTimeout(e.ctx, c.WaitTimeout)
	defer cancelWait()
	if err := waitDrained(waitCtx, client, c.Host, result.Version); err != nil {
		return result.report(e, c.output, conf.KindInventory, err)
	}
	if err := result.report(e, c.output, conf.KindInventory, nil); err != nil || c.JSON {
		return err
	}
	return c.print(e, nil, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s owns no keys\n", c.Host) })
}

// drain sets a host to leaving in the inventory in force. The change is the
// same on top of any version, so it is repeated after a conflict.
func (d *documents) drain(ctx context.Context, host, author string, force bool) (edit, error) {
	var result edit
	for range drainAttempts {
		now, err := d.current(ctx)
		if err != nil {
			return edit{}, err
		}
		if now.index == 0 {
			return edit{}, fmt.Errorf("stored inventory: %w", store.ErrNotFound)
		}
		doc, err := d.parse(now)
		if err != nil {
			return edit{}, err
		}
		if _, ok := doc.(*conf.Inventory).Host(host); !ok {
			return edit{}, fmt.Errorf("%w: host %q is not in version %d of the inventory", ErrUsage, host, now.head.Version)
		}
		text, err := conf.SetHostState(now.text, host, conf.Leaving)
		if err != nil {
			return edit{}, err
		}
		if conf.Same(now.text, text) {
			return edit{Result: "unchanged", Version: now.head.Version, text: now.text}, nil
		}
		newer, err := d.kind.Parse("inventory", text)
		if err != nil {
			return edit{}, err
		}
		result, err = d.change(ctx, now, text, newer, author, force)
		if !errors.Is(err, errConflict) {
			return result, err
		}
	}
	return result, errConflict
}

// waitDrained returns when the node has this version of the inventory in force
// and knows no entry that the host owns.
func waitDrained(ctx context.Context, client *admin.Client, host string, version uint64) error {
	for {
		entries, err := owned(ctx, client, host, version)
		switch {
		case err == nil && entries == 0:
			return nil
		case errors.Is(err, admin.ErrRefused):
			return err
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return fmt.Errorf("wait for the drain of %s: %w", host, err)
			}
			return fmt.Errorf("wait for the drain of %s: it still owns %d shards and hot keys", host, entries)
		case <-time.After(drainPoll):
		}
	}
}

// errOlder tells that the node does not apply the change yet.
var errOlder = errors.New("the node does not have the change in force")

func owned(ctx context.Context, client *admin.Client, host string, version uint64) (int, error) {
	s, err := client.Status(ctx)
	if err != nil {
		return 0, err
	}
	if s.Inventory.Version < version {
		return 0, fmt.Errorf("%w: its inventory has version %d", errOlder, s.Inventory.Version)
	}
	// A node that is starting knows no owners yet.
	if s.Phase != "member" && s.Phase != "leaving" {
		return 0, fmt.Errorf("%w: its phase is %s", errOlder, s.Phase)
	}
	members, err := client.Members(ctx)
	if err != nil {
		return 0, err
	}
	entries := 0
	for _, m := range members {
		if m.Node == host {
			entries += m.Entries
		}
	}
	return entries, nil
}
