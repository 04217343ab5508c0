// Command standin plays the cases of a review: it starts nodes as processes, with
// stand-ins of the store, the targets, the callers and the platform around them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(ctx context.Context, record *Record, trouble bool) ([]string, error){
	"poison":  playPoison,
	"answers": playAnswers,
	"bodies":  playBodies,
	"pings":   playPings,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return statusNotRun
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTime := context.WithTimeout(ctx, maxTime)
	defer cancelTime()
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](ctx, record, trouble)
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("the case did not end: %w", ctx.Err())
	}
	for _, b := range broken {
		record.Note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if err = errors.Join(err, record.Close()); err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return statusNotRun
	}
	if len(broken) > 0 {
		return statusBroken
	}
	fmt.Println("the rule held")
	return statusHeld
}

// sleep waits for a time and reports whether the context still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
