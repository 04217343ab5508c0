package cmds

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/jonboulle/clockwork"

	"burdocklift/agent"
	"burdocklift/budget"
	"burdocklift/clock"
	"burdocklift/conf"
	"burdocklift/event"
	"burdocklift/platform"
)

type agentCommand struct {
	Settings string `arg:"" optional:"" help:"Settings file (TOML). Default: the path in BURDOCKLIFT_CONFIG." type:"existingfile"`
}

func (*agentCommand) Help() string {
	return `Runs a node on the platform, beside one target. All that must last lies in the
platform's store. SIGTERM ends the node after the requests in flight.

Example:
  burdocklift agent /etc/burdocklift/settings.toml`
}

func (c *agentCommand) Run(e *environment) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	text, err := readFile(path)
	if err != nil {
		return err
	}
	settings, err := conf.ParseAgent(path, text)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	debug.SetMemoryLimit(budget.HeapLimit(settings.Memory))
	lines := event.NewAsync(e.stdout, clockwork.NewRealClock())
	defer lines.Close()
	log, err := event.NewLogger(lines, event.Options{Format: settings.Log.Format, Level: settings.Log.Level})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	log = log.With("node", settings.Name)
	a, err := agent.New(settings, path, clock.New(), log)
	if err != nil {
		return err
	}
	event.NodeStarted.Log(e.ctx, log, slog.String("settings", path))
	err = a.Run(e.ctx)
	event.NodeStopped.Log(e.ctx, log)
	return err
}
