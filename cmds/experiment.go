package cmds

import (
	"errors"
	"fmt"
	"os"

	"burdocklift/trace"
)

type experimentCommand struct {
	File   string  `arg:"" help:"Experiment (TOML)." type:"existingfile"`
	Speed  float64 `help:"Factor by which the experiment runs faster." default:"1"`
	Record string  `help:"Write the requests and faults as a trace to this file instead of running them." type:"path" placeholder:"FILE"`
	reporting
}

func (*experimentCommand) Help() string {
	return `Runs an experiment: a file names hosts, load and faults over time. All of it
runs in this process over loopback.

  site = "authority"
  [load]
  rate = 50
  duration = "10s"
  [[load.mix]]
  class = "fee"
  method = "POST"
  path = "/permit/fee/{key}"
  once = true
  [[fault]]
  at = "3s"
  fault = "lose"   # kill, lose, freeze, thaw, leave, crash, platform-down,
  host = "permit1" # platform-slow, lose-replies, platform-up

Example:
  burdocklift emulate run experiment.toml --plot latency.svg`
}

func (c *experimentCommand) Run(e *environment) error {
	if c.Speed <= 0 {
		return fmt.Errorf("%w: --speed %g must be over 0", ErrUsage, c.Speed)
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	x, err := trace.ParseExperiment(c.File, text)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	t, err := x.Trace()
	if err != nil {
		return err
	}
	if c.Record != "" {
		return writeTrace(c.Record, t)
	}
	spec, err := x.Spec()
	if err != nil {
		return err
	}
	r, err := t.Run(e.ctx, spec, x.Seed, trace.Options{Speed: c.Speed, Progress: e.progress(t.Site)})
	if err != nil {
		return err
	}
	r.Title = x.Title
	return c.show(e.stdout, r)
}

func writeTrace(name string, t *trace.Trace) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("record trace: %w", err)
	}
	if err := errors.Join(t.Write(f), f.Close()); err != nil {
		return fmt.Errorf("record trace to %s: %w", name, err)
	}
	return nil
}
