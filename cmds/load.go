package cmds

import (
	"fmt"
	"strings"
	"time"

	"burdocklift/load"
	"burdocklift/trace"
)

type loadCommand struct {
	Nodes    []string      `arg:"" help:"Caller addresses (IP:PORT) of nodes." name:"node"`
	Rate     float64       `help:"Mean arrivals per second." default:"100"`
	Constant bool          `help:"Equal intervals instead of Poisson arrivals."`
	Duration time.Duration `help:"Time over which requests arrive." default:"10s"`
	Count    int           `help:"Largest number of requests; 0 means 200000." default:"0"`
	Keys     int           `help:"Number of keys." default:"1000"`
	Zipf     float64       `help:"Exponent of the distribution of keys, over 1; 0 means that all keys are equally frequent." default:"1.1"`
	Class    []string      `help:"Class of requests as NAME,METHOD,PATH[,once][,WEIGHT]; {key} in the path stands for the key. Repeat for each class." required:"" sep:"none" placeholder:"CLASS"`
	Targets  []string      `help:"Base URLs of emulated targets, to check what ran." placeholder:"URL"`
	Seed     uint64        `help:"Seed of arrivals, keys and classes." default:"1"`
	reporting
}

func (*loadCommand) Help() string {
	return `Sends requests to running nodes. Arrivals do not wait for answers, and latency
counts from the scheduled arrival. Requests without an answer are sent again to
the next node, those of once-only classes under the same id.

Example:
  burdocklift load 127.0.0.1:7001 127.0.0.1:7011 --rate 200 \
    --class 'lookup,GET,/permit/p/{key},9' --class 'fee,POST,/permit/fee/{key},once,1'`
}

func (c *loadCommand) Run(e *environment) error {
	p := load.Plan{
		Rate: c.Rate, Constant: c.Constant, Duration: c.Duration, Count: c.Count,
		Keys: c.Keys, Zipf: c.Zipf, Seed: c.Seed,
	}
	for _, s := range c.Class {
		m, err := parseMix(s)
		if err != nil {
			return err
		}
		p.Mix = append(p.Mix, m)
	}
	if err := p.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	caller := load.NewCaller(c.Nodes)
	defer caller.Close()
	var l load.Ledger
	start := time.Now()
	load.Drive(e.ctx, start, p.Arrivals(), func(due time.Time, r load.Request) {
		l.Add(caller.Do(e.ctx, due, r))
	})
	if err := e.ctx.Err(); err != nil {
		return fmt.Errorf("load ended after %d requests: %w", l.Len(), err)
	}
	journals, err := (&trace.Remote{Targets: c.Targets}).Journals(e.ctx)
	if err != nil {
		return err
	}
	r := l.Report(start, journals...)
	r.Title, r.Seed = "load", c.Seed
	return c.show(e.stdout, r)
}

// parseMix reads NAME,METHOD,PATH[,once][,WEIGHT].
func parseMix(s string) (load.Mix, error) {
	parts := strings.Split(s, ",")
	if len(parts) < 3 {
		return load.Mix{}, fmt.Errorf("%w: class %q needs name, method and path", ErrUsage, s)
	}
	m := load.Mix{Class: parts[0], Method: parts[1], Path: parts[2]}
	for _, part := range parts[3:] {
		if part == "once" {
			m.Once = true
			continue
		}
		if _, err := fmt.Sscanf(part, "%g", &m.Weight); err != nil {
			return load.Mix{}, fmt.Errorf("%w: class %q: %q is neither once nor a weight", ErrUsage, s, part)
		}
	}
	return m, nil
}
