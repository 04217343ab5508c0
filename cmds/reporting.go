package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"

	"burdocklift/report"
)

// errBroken ends a command whose report names a failure.
var errBroken = errors.New("a promise was broken or an expectation was not met")

// reporting is how commands with a report show it.
type reporting struct {
	JSON bool   `help:"Write the report as JSON."`
	Plot string `help:"Write a plot of latencies over time to this file; its suffix (.png, .svg) selects the format." type:"path" placeholder:"FILE"`
}

// show writes the reports and returns errBroken if one names a failure.
func (o *reporting) show(w io.Writer, reports ...*report.Report) error {
	broken := false
	for i, r := range reports {
		write := r.Text
		if o.JSON {
			write = r.JSON
		}
		if err := write(w); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		if o.Plot != "" {
			if err := r.Plot(plotPath(o.Plot, i)); err != nil {
				return err
			}
		}
		broken = broken || len(r.Broken()) > 0
	}
	if broken {
		return errBroken
	}
	return nil
}

// plotPath gives the plots of a second and later report a number.
func plotPath(path string, i int) string {
	if i == 0 {
		return path
	}
	for n := len(path) - 1; n >= 0 && path[n] != '/'; n-- {
		if path[n] == '.' {
			return fmt.Sprintf("%s-%d%s", path[:n], i+1, path[n:])
		}
	}
	return fmt.Sprintf("%s-%d", path, i+1)
}

// progress returns a function that shows progress lines on a terminal.
func (e *environment) progress(title string) func(at time.Duration, what string) {
	f, ok := e.stderr.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return nil
	}
	return func(at time.Duration, what string) {
		_, _ = fmt.Fprintf(f, "%-10s %5.1fs  %s\n", title, at.Seconds(), what)
	}
}
