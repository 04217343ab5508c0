// Command soak runs real nodes as separate processes on this machine, disturbs them
// from outside and checks what callers and targets see. A seed fixes the schedule.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// Options are the arguments of a run.
type Options struct {
	Seed    uint64        `help:"Seed of the schedule; 0 for a fresh one."`
	Seeds   int           `help:"Number of seeds, one after the other." default:"1"`
	Time    time.Duration `help:"Length of the schedule of each seed." default:"30s"`
	Nodes   int           `help:"Number of nodes, 2 to 100." default:"6"`
	Binary  string        `help:"Program to run; built from this module if empty." type:"existingfile"`
	Dir     string        `help:"Directory for settings and logs; a temporary one if empty." type:"path"`
	Series  bool          `help:"Bring the store back from older copies in series as well, with kills of all nodes between."`
	Plant   string        `help:"Fault to be found: ${plants}."`
	Verbose bool          `help:"Print each step of the schedule."`
}

const (
	// startTime is how long a site may take to serve after its start, and settleTime
	// after the last fault: keys of lost nodes are served again within 6.5 s, and
	// three nodes lost together wait 25.3 s for their witnesses.
	startTime  = 20 * time.Second
	settleTime = 40 * time.Second
	// calmEnd is how long the load goes on once no machine counts as disturbed: time
	// for callers that leave.
	calmEnd = 6 * time.Second
	// enough is the share of requests that is to be served then.
	enough = 0.9
	// probes is the number of requests for each node by which it is measured.
	probes = 10
)

var errBroken = errors.New("promises were broken")

func main() {
	var o Options
	kong.Parse(&o, kong.Name("soak"), kong.Vars{"plants": strings.Join(Plants, ", ")},
		kong.Description("Runs nodes as processes, injects faults from outside and checks the promises of the system. "+
			"Exit status 1 means that one was broken; settings and logs of that seed are kept."))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := Soak(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		cancel()
		os.Exit(1)
	}
}

// Soak runs all seeds and returns errBroken if a promise was broken.
func Soak(ctx context.Context, o Options, out io.Writer) error {
	if o.Nodes < 2 || o.Nodes > 100 {
		return fmt.Errorf("%d nodes are out of range, must be from 2 to 100", o.Nodes)
	}
	if o.Plant != "" && !strings.Contains(" "+strings.Join(Plants, " ")+" ", " "+o.Plant+" ") {
		return fmt.Errorf("fault %q is not one of %s", o.Plant, strings.Join(Plants, ", "))
	}
	dir := o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
	}
	if o.Binary == "" {
		o.Binary = filepath.Join(dir, "burdocklift")
		build := exec.CommandContext(ctx, "go", "build", "-o", o.Binary, "burdocklift")
		if text, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w\n%s", err, text)
		}
	}
	seed := o.Seed
	if seed == 0 {
		seed = 1 + rand.Uint64N(1<<32)
	}
	failed := 0
	for i := range max(o.Seeds, 1) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		one := o
		one.Seed = seed + uint64(i)
		one.Dir = filepath.Join(dir, fmt.Sprint("seed-", one.Seed))
		broken, notes, err := play(ctx, one, out)
		if err != nil {
			return fmt.Errorf("seed %d: %w", one.Seed, err)
		}
		if len(broken) > 0 {
			failed++
			printf(out, "seed %d: %d broken promises; logs in %s\n", one.Seed, len(broken), one.Dir)
			for _, b := range broken[:min(len(broken), 10)] {
				printf(out, "  %s\n", b)
			}
		}
		if len(notes) > 0 {
			printf(out, "seed %d: noted, logs in %s\n", one.Seed, one.Dir)
			for _, n := range notes[:min(len(notes), 10)] {
				printf(out, "  %s\n", n)
			}
		}
		if len(broken)+len(notes) > 0 {
			continue
		}
		if err := os.RemoveAll(one.Dir); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d seeds", errBroken, failed, max(o.Seeds, 1))
	}
	return nil
}

// printf tells people what happened; the exit status does not depend on it.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// play runs one seed and returns the broken promises, and notes on what came close.
func play(ctx context.Context, o Options, out io.Writer) (broken, notes []string, err error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, nil, err
	}
	check := NewChecker()
	era := uint64(1)
	if o.Series {
		era = o.Seed % 2 // from the first restore on only, or from the start
	}
	site, err := NewSite(o.Binary, o.Dir, o.Nodes, o.Seed, era, o.Plant, check)
	if err != nil {
		return nil, nil, err
	}
	defer site.Close()
	schedule, err := os.Create(filepath.Join(o.Dir, "schedule.log"))
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = schedule.Close() }() // only read by people
	r := &Runner{site: site, check: check, rng: rand.New(rand.NewPCG(o.Seed, 0)), plant: o.Plant}
	var mu sync.Mutex
	r.report = func(step string) {
		mu.Lock()
		defer mu.Unlock()
		line := fmt.Sprintf("%7.3f s %s\n", time.Since(check.began).Seconds(), step)
		_, _ = io.WriteString(schedule, line) // only read by people
		if o.Verbose {
			_, _ = io.WriteString(out, line) // as above
		}
	}
	if !r.awaitServed(ctx, startTime) {
		check.Breaks("START", "less than %.0f%% is served %v after the start", 100*enough, startTime)
		return check.Broken(), nil, ctx.Err()
	}
	load, endLoad := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i, m := range site.machines {
		for j := range callers {
			group.Go(func() { r.caller(load, m, o.Seed*1000+uint64(i*callers+j)) })
		}
	}
	faults, endFaults := context.WithTimeout(ctx, o.Time)
	group.Go(func() { r.sendOthers(faults, o.Seed) })
	if o.Series {
		group.Go(func() { r.playSeries(faults, o.Seed) })
	}
	r.Play(faults)
	endFaults()
	r.report("all disturbances end")
	r.Settle()
	if !r.awaitServed(ctx, settleTime) {
		check.Breaks("RECOVER", "less than %.0f%% is served %v after all disturbances", 100*enough, settleTime)
	}
	wait(ctx, time.Until(site.CalmFrom())+calmEnd)
	endLoad()
	group.Wait()
	left, lasting, late := site.left.Check(check, (*Machine).Disturbed)
	limited, most := site.advice.Check(check)
	printf(out, "seed %d: %d nodes, %v of faults, %v in all, answers %v; callers left %d requests, %d of them long, %d late; "+
		"%d limits, %.2f of one used\n",
		o.Seed, o.Nodes, o.Time, time.Since(check.began).Round(time.Second), check.Counts(), left, lasting, late, limited, most)
	return check.Broken(), check.Notes(), ctx.Err()
}

// awaitServed waits until enough requests are served.
func (r *Runner) awaitServed(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if r.served(ctx, probes) >= enough {
			return true
		}
		if !wait(ctx, time.Second) {
			return false
		}
	}
	return false
}
