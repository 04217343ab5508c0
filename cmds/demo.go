package cmds

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"burdocklift/report"
	"burdocklift/trace"
	"burdocklift/traces"
)

// quickSpeed shortens the demo's 16 s to 6.4 s. Every fault still outlasts a
// lease of 600 ms.
const quickSpeed = 2.5

type demoCommand struct {
	Seed  uint64 `help:"Seed of the targets' service times." default:"1"`
	Quick bool   `help:"Play the traces 2.5 times as fast."`
	reporting
}

func (*demoCommand) Help() string {
	return `Starts two deployments in this process, on loopback: nine nodes and targets of a
grazing authority and ten of a recall service, each with a stand-in of the
platform's service. Recorded traces of permit look-ups, fee postings, recall
checks, refunds and replacement orders run through them, while each deployment
loses a host, has one frozen that returns, and is cut off from the platform.

Exits with status 1 if a promise was broken: a once-only request that ran twice,
a lost acknowledgement, a request that ran after the outcome "not-run", or an
answer to another request. Latencies depend on the machine and decide nothing.

Example:
  burdocklift demo --quick`
}

// demoSites are the traces of the demo.
var demoSites = []string{"authority", "cascadia"}

func (c *demoCommand) Run(e *environment) error {
	speed := 1.0
	if c.Quick {
		speed = quickSpeed
	}
	reports := make([]*report.Report, len(demoSites))
	g, ctx := errgroup.WithContext(e.ctx)
	for i, name := range demoSites {
		g.Go(func() (err error) {
			reports[i], err = c.play(ctx, e, name, speed)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		if e.ctx.Err() != nil {
			return fmt.Errorf("demo was interrupted: %w", context.Canceled)
		}
		return err
	}
	return c.show(e.stdout, reports...)
}

func (c *demoCommand) play(ctx context.Context, e *environment, name string, speed float64) (*report.Report, error) {
	f, err := traces.Demo.Open(name + ".jsonl")
	if err != nil {
		return nil, err
	}
	t, err := trace.Parse(name, f)
	if err := errors.Join(err, f.Close()); err != nil {
		return nil, err
	}
	spec, err := trace.Spec(name, c.Seed)
	if err != nil {
		return nil, err
	}
	o := trace.Options{Speed: speed, Progress: e.progress(name)}
	if o.Progress != nil {
		o.Progress(0, "starting")
	}
	return t.Run(ctx, spec, c.Seed, o)
}
