package agent

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"burdocklift/clock"
	"burdocklift/conf"
)

// settingsPollInterval is the interval at which the settings file is polled for changes
// that come without a signal.
const settingsPollInterval = 2 * time.Second

// reloader reloads the settings on SIGHUP and when the file has changed. An invalid
// file leaves the current settings in force.
type reloader struct {
	path     string
	clock    clock.Clock
	log      *slog.Logger
	initial  conf.Agent // settings at the start, in force except for what apply changes
	lastRead conf.Agent // settings that were read last
	apply    func(conf.Agent)
	modTime  time.Time // modification time of the file when it was last polled
}

// Run implements kernel.Service.
func (r *reloader) Run(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticks := r.clock.NewTicker(settingsPollInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			r.reload(ctx, "signal")
		case <-ticks.Chan():
			if info, err := os.Stat(r.path); err == nil && !info.ModTime().Equal(r.modTime) {
				r.modTime = info.ModTime()
				r.reload(ctx, "file")
			}
		}
	}
}

func (r *reloader) reload(ctx context.Context, cause string) {
	text, err := os.ReadFile(r.path)
	if err != nil {
		eventSettingsRefused.Log(ctx, r.log, slog.String("cause", cause), slog.String("error", err.Error()))
		return
	}
	s, err := conf.ParseAgent(r.path, text)
	if err != nil {
		eventSettingsRefused.Log(ctx, r.log, slog.String("cause", cause), slog.String("error", err.Error()))
		return
	}
	if cause == "file" && s.Equal(r.lastRead) {
		return
	}
	r.lastRead = s
	r.apply(s)
	restartOnly := s
	restartOnly.Limits.Drain = r.initial.Limits.Drain
	restart := !restartOnly.Equal(r.initial)
	eventSettingsRead.Log(ctx, r.log, slog.String("cause", cause), slog.Bool("restart", restart))
}
