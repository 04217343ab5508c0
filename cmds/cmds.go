// Package cmds is the command line, with one command in each file.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// Exit statuses of all commands.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command ran and failed, or a promise was broken
	ExitUsage   = 2 // the command line or a settings file is wrong
)

// Version is reported by --version.
const Version = "0.1.0"

// ErrUsage marks errors that end with ExitUsage.
var ErrUsage = errors.New("invalid usage")

// environment is what commands get from the process.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

type commandLine struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Node       nodeCommand       `cmd:"" help:"Run a node beside a target."`
	Agent      agentCommand      `cmd:"" help:"Run a node on the platform, beside a target."`
	Demo       demoCommand       `cmd:"" help:"Show two deployments that lose hosts and the platform."`
	Emulate    emulateCommand    `cmd:"" help:"Run a stand-in of an outside system, or an experiment."`
	Load       loadCommand       `cmd:"" help:"Send requests to running nodes."`
	Replay     replayCommand     `cmd:"" help:"Play a recorded trace and compare the outcomes."`
	Check      checkCommand      `cmd:"" help:"Check settings, inventory and rules in files."`
	Diff       diffCommand       `cmd:"" help:"Show what changes between two documents."`
	Get        getCommand        `cmd:"" help:"Print the stored inventory or rules."`
	Put        putCommand        `cmd:"" help:"Store an edited inventory or rules."`
	History    historyCommand    `cmd:"" help:"List the versions of the inventory or rules."`
	Rollback   rollbackCommand   `cmd:"" help:"Store an earlier version again."`
	Status     statusCommand     `cmd:"" help:"Show the state of a node or of all nodes."`
	Owner      ownerCommand      `cmd:"" help:"Show which host owns a key."`
	Drain      drainCommand      `cmd:"" help:"Set a host to leaving, so that its keys are moved away."`
	Quarantine quarantineCommand `cmd:"" help:"List or lift quarantined requests."`
	Events     eventsCommand     `cmd:"" help:"Explain a numbered log event."`
	Explain    explainCommand    `cmd:"" help:"Show what logs tell about a request."`
	Completion completionCommand `cmd:"" help:"Print the set-up of shell completion."`
}

// Main runs a command line and returns the exit status. SIGINT and SIGTERM end
// the command's context, so that it shuts down gracefully.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	return run(ctx, args, stdout, stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commandLine
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("burdocklift"),
		kong.Description("Routes requests to servers that own keys exclusively."),
		kong.Vars{"version": Version},
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "burdocklift: %v\n", err)
		return ExitFailure
	}
	// Answers the shell and exits if the shell asks for completions.
	kongplete.Complete(parser)
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "burdocklift: %v\n", err)
		return ExitUsage
	}
	if err := parsed.Run(&environment{ctx: ctx, stdout: stdout, stderr: stderr}); err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}
