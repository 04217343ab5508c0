// Command lab plays the cases of the second review: it starts nodes as processes, with
// stand-ins of the store, the targets and the callers, and checks one rule from outside.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// errSetup means that a case could not run.
var errSetup = errors.New("case could not run")

// play is a case. It returns how often the rule was broken.
type play func(l *lab, trouble bool) (broken int, err error)

func main() {
	plays := map[string]play{"evict": playEvict, "uplink": playUplink, "ping": playPing, "drill": playDrill, "header": playHeader}
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE NODE-PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(p play, program, record string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	out, err := os.Create(filepath.Clean(record))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return 2
	}
	l := newLab(program, dir, out)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		l.close()
		os.Exit(2)
	}()
	broken, err := p(l, trouble)
	l.close()
	l.notef("end: trouble %t, rule broken %d times, error %v", trouble, broken, err)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "lab:", err)
		return 2
	case broken > 0:
		fmt.Printf("rule broken %d times\n", broken)
		return 1
	}
	fmt.Println("rule held")
	return 0
}
