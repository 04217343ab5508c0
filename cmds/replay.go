package cmds

import (
	"fmt"
	"os"

	"burdocklift/report"
	"burdocklift/trace"
)

type replayCommand struct {
	File    string            `arg:"" help:"Trace (JSON lines)." type:"existingfile"`
	Seed    uint64            `help:"Seed of the targets' service times." default:"1"`
	Speed   float64           `help:"Factor by which the trace is played faster." default:"1"`
	Node    map[string]string `help:"Play against a running node instead of a site in this process: NAME=IP:PORT of its caller address. Repeat for each node." placeholder:"NAME=ADDRESS"`
	Targets []string          `help:"Base URLs of the emulated targets behind --node, to check what ran." placeholder:"URL"`
	reporting
}

func (*replayCommand) Help() string {
	return `Plays a recorded trace and compares the outcomes with those that the trace
states. Without --node, the trace's site runs in this process and the trace's
faults are carried out. Exits with status 1 and prints the differences if an
outcome is not as stated or a promise is broken.

Example:
  burdocklift replay traces/lost-host.jsonl`
}

func (c *replayCommand) Run(e *environment) error {
	if c.Speed <= 0 {
		return fmt.Errorf("%w: --speed %g must be over 0", ErrUsage, c.Speed)
	}
	t, err := readTrace(c.File)
	if err != nil {
		return err
	}
	o := trace.Options{Speed: c.Speed, Progress: e.progress(t.Site)}
	var r *report.Report
	if len(c.Node) > 0 {
		r, err = t.Play(e.ctx, &trace.Remote{Nodes: c.Node, Targets: c.Targets}, o)
	} else {
		spec, specErr := trace.Spec(t.Site, c.Seed)
		if specErr != nil {
			return fmt.Errorf("%w: %w", ErrUsage, specErr)
		}
		r, err = t.Run(e.ctx, spec, c.Seed, o)
	}
	if err != nil {
		return err
	}
	return c.show(e.stdout, r)
}

func readTrace(name string) (*trace.Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	defer func() { _ = f.Close() }()
	t, err := trace.Parse(name, f)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return t, nil
}
