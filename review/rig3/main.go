// Command rig3 plays the cases of the third review that are no days of the bench: it starts real
// nodes as separate processes on loopback addresses, with stand-ins of the store, the targets
// and the clients, and judges by what clients and targets see.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// verdict is the result of a case: the breaches of its rule.
type verdict struct {
	mu       sync.Mutex
	breaches []string
}

func (v *verdict) breach(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.breaches = append(v.breaches, fmt.Sprintf(format, args...))
}

func (v *verdict) all() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.breaches...)
}

// run is what a case gets.
type run struct {
	site    *site
	record  *record
	trouble bool
	verdict verdict
}

func contextOf() context.Context { return context.Background() }

var cases = map[string]func(r *run) error{
	"stop-twice":       stopTwice,
	"impatient-poison": impatientPoison,
	"keyed-poison":     keyedPoison,
	"bystanders":       bystanders,
	"spoiled-answers":  spoiledAnswers,
}

func main() {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("binary", "target/burdocklift", "program of the nodes")
	flag.Parse()
	os.Exit(play(*name, *path, *binary))
}

func play(name, path, binary string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig3: no case %q\n", name)
		return exitNotRun
	}
	r := &run{record: &record{began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	s, err := newSite(binary, r.record)
	if err == nil {
		r.site = s
		err = f(r)
		s.close()
	}
	breaches := r.verdict.all()
	for _, b := range breaches {
		r.record.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if err != nil {
		r.record.note("not run: %v", err)
	}
	if err = errors.Join(err, r.record.write(path)); err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
