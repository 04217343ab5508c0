package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"burdocklift/admin"
	"burdocklift/conf"
	"burdocklift/event"
	"burdocklift/node"
	"burdocklift/store"
)

type nodeCommand struct {
	Settings string `arg:"" help:"Settings file (TOML)." type:"existingfile"`
}

func (*nodeCommand) Help() string {
	return `Runs the node beside a target. The target announces itself at the node's peer
address. SIGINT and SIGTERM hand over the node's keys and end it; a second
signal ends it at once.

Example:
  burdocklift node /etc/burdocklift/node.toml`
}

func (c *nodeCommand) Run(e *environment) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	settings, err := conf.ParseSettings(c.Settings, text)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	token, err := admin.ReadToken(settings.TokenFile)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	log, err := nodeLog(e.stderr, settings, token)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	n, err := node.New(node.Config{
		Settings: settings, Store: store.NewConsul(settings.Store, nil), Log: log, Token: token,
	})
	if err != nil {
		return err
	}
	event.NodeStarted.Log(e.ctx, log)
	err = runNode(e.ctx, n)
	event.NodeStopped.Log(e.ctx, log)
	return err
}

// nodeLog returns the log of a node, from which the token is removed.
func nodeLog(w io.Writer, s conf.Settings, token string) (*slog.Logger, error) {
	log, err := event.NewLogger(w, event.Options{Format: s.Log.Format, Level: s.Log.Level, Secrets: []string{token}})
	if err != nil {
		return nil, err
	}
	return log.With("node", s.Name), nil
}

// runNode runs a node until the context ends, and then leaves gracefully.
func runNode(ctx context.Context, n *node.Node) error {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.Start(life)
	select {
	case err := <-n.Failed():
		return errors.Join(err, n.Stop())
	case <-ctx.Done():
	}
	return errors.Join(n.Leave(life), n.Stop())
}
