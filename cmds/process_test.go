package cmds

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"burdocklift/emul"
	"burdocklift/load"
	"burdocklift/proto"
	"burdocklift/site"
	"burdocklift/store"
	"burdocklift/trace"
)

// process is a running burdocklift process, the test binary under that name.
type process struct {
	*exec.Cmd
	listening string
}

// spawn starts a process and, if it announces an address, waits for that.
func spawn(t *testing.T, announces bool, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command("burdocklift", args...)}
	p.Stderr = t.Output()
	var out io.Reader
	if announces {
		var err error
		if out, err = p.StdoutPipe(); err != nil {
			t.Fatal(err)
		}
	} else {
		p.Stdout = t.Output() // the log; a process whose output nobody reads stops once the pipe is full
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
	if announces {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatalf("%v: %v", args, err)
		}
		p.listening = strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
	}
	return p
}

// end sends a signal and returns the error of the process.
func (p *process) end(t *testing.T, s os.Signal) error {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
	return p.Wait()
}

// Ports of test processes are below the usual net.ipv4.ip_local_port_range: the kernel gives
// none of them to an outgoing connection while a process that listens there restarts.
const (
	firstTestPort = 20000
	testPorts     = 32768 - firstTestPort
)

// lastTestPort counts the ports that were tried. It begins anywhere, as other runs of the
// tests may go on at the same time.
var lastTestPort atomic.Uint32

func init() { lastTestPort.Store(rand.Uint32N(testPorts)) }

// freeAddresses returns loopback addresses whose ports were free just now. It returns no
// address twice.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < n {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstTestPort+lastTestPort.Add(1)%testPorts))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

type cluster struct {
	platform *process
	nodes    []*process
	targets  []*process
	callers  []string
	remote   trace.Remote
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{platform: spawn(t, true, "emulate", "platform", "--listen", "127.0.0.1:0")}
	url := "http://" + c.platform.listening
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	if err := os.WriteFile(token, []byte("token-of-the-operators\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i, place := range []string{"bayelsa/brass", "rivers/bonny", "bayelsa/nembe", "rivers/andoni"} {
		region, dc, _ := strings.Cut(place, "/")
		a := freeAddresses(t, 4)
		file := filepath.Join(dir, dc+".toml")
		text := fmt.Sprintf("name = %q\ndata_centre = %q\nregion = %q\nstore = %q\ntoken_file = %q\n"+
			"addresses = { caller = %q, peer = %q, control = %q, operator = %q }\n",
			fmt.Sprint("permit", i), dc, region, url, token, a[0], a[1], a[2], a[3])
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, spawn(t, false, "node", file))
		c.callers = append(c.callers, a[0])
		target := spawn(t, true, "emulate", "target", "--listen", "127.0.0.1:0", "--service", "permit",
			"--node", a[1], "--checks-grants", "--work", "100ms", "--slots", "50")
		c.targets = append(c.targets, target)
		c.remote.Targets = append(c.remote.Targets, "http://"+target.listening)
	}
	// The rules follow when all nodes have joined, so that each gets keys.
	s := store.NewConsul(url, nil)
	for deadline := time.Now().Add(time.Minute); members(t, s) < len(c.nodes); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not all nodes joined")
		}
	}
	if _, err := s.Swap(t.Context(), proto.KeyRules, 0, site.Authority(1).Rules); err != nil {
		t.Fatal(err)
	}
	return c
}

// members returns the number of members in all group records.
func members(t *testing.T, s store.Store) int {
	t.Helper()
	records, err := s.List(t.Context(), proto.Prefix)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		t.Fatal(err)
	}
	n := 0
	for _, r := range records {
		if proto.IsGroupKey(r.Key) {
			g, err := proto.DecodeGroup(r.Value)
			if err != nil {
				t.Fatal(err)
			}
			n += len(g.Members)
		}
	}
	return n
}

func (c *cluster) journals(t *testing.T) []emul.Journal {
	t.Helper()
	journals, err := c.remote.Journals(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return journals
}

// patient bounds the attempts of a request during a start or a takeover; with
// 2 s each at a node that waits for an owner, this is about a minute.
const patient = 30

// all sends one request for each of 40 keys at the same time and returns the
// results.
func all(ctx context.Context, callers []string, method, kind string, attempts int) []load.Result {
	caller := load.NewCaller(callers)
	defer caller.Close()
	results := make([]load.Result, 40)
	var calls sync.WaitGroup
	for i := range results {
		calls.Go(func() {
			results[i] = caller.Do(ctx, time.Now(), load.Request{
				Class: kind, Method: method, Path: fmt.Sprintf("/permit/%s/k%d", kind, i), Once: method == "POST",
				Entry: i, Attempts: attempts, Deadline: 10 * time.Second,
			})
		})
	}
	calls.Wait()
	return results
}

func answered(t *testing.T, what string, results []load.Result) {
	t.Helper()
	for _, r := range results {
		if a := r.Last(); a.Outcome != proto.Answered || a.Status != 200 {
			t.Errorf("%s, %s: outcome %s, reason %s, status %d", what, r.Request.Path, a.Outcome, a.Reason, a.Status)
		}
	}
}

// Guards against failures that only separate processes show: a killed node
// whose keys stay unserved, a node that cuts off requests when it ends, and
// processes that do not end cleanly on a signal.
func TestProcesses(t *testing.T) {
	c := startCluster(t)
	first := all(t.Context(), c.callers, "GET", "p", patient)
	answered(t, "after the start", first)

	t.Run("kill -9 of a node moves its keys", func(t *testing.T) {
		before := c.journals(t)[0]
		var lost []string
		for _, r := range first {
			if before.Attempts[r.Last().ID] > 0 {
				lost = append(lost, r.Request.Path)
			}
		}
		if len(lost) == 0 {
			t.Fatal("the killed node owned no key")
		}
		_ = c.nodes[0].end(t, syscall.SIGKILL)
		answered(t, "after the kill", all(t.Context(), c.callers[1:], "GET", "p", patient))
		if runs := c.journals(t)[0].Runs; runs != before.Runs {
			t.Errorf("the killed node's target ran %d requests more", runs-before.Runs)
		}
		t.Logf("%d keys moved", len(lost))
	})
	t.Run("SIGTERM cuts off no request in flight", func(t *testing.T) {
		before := emul.Merge(c.journals(t)...).Runs
		start := time.Now()
		done := make(chan []load.Result)
		go func() { done <- all(t.Context(), c.callers[1:2], "POST", "fee", 1) }()
		for emul.Merge(c.journals(t)...).Runs < before+40 {
			if time.Since(start) > time.Minute {
				t.Fatal("the requests did not reach the targets")
			}
			time.Sleep(time.Millisecond)
		}
		if err := c.nodes[1].end(t, syscall.SIGTERM); err != nil {
			t.Errorf("node ended with %v", err)
		}
		results := <-done
		answered(t, "in flight at SIGTERM", results)
		var l load.Ledger
		for _, r := range results {
			l.Add(r)
		}
		for _, broken := range l.Report(start, c.journals(t)...).Broken() {
			t.Error(broken)
		}
	})
	// Guards against a leaving witness that takes the leases of others with it.
	t.Run("two nodes that remain serve all keys", func(t *testing.T) {
		answered(t, "after the leave", all(t.Context(), c.callers[2:], "GET", "p", patient/5))
	})
	t.Run("SIGINT ends the stand-ins with status 0", func(t *testing.T) {
		for _, p := range []*process{c.targets[3], c.platform} {
			if err := p.end(t, syscall.SIGINT); err != nil {
				t.Errorf("%v ended with %v", p.Args, err)
			}
		}
	})
}

// Guards against a run that an interrupt does not end, or that then reports
// success.
func TestInterrupt(t *testing.T) {
	reached := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case reached <- struct{}{}:
		default:
		}
	}))
	defer server.Close()
	p := spawn(t, false, "load", strings.TrimPrefix(server.URL, "http://"), "--duration", "1h", "--class", "lookup,GET,/x")
	<-reached
	err := p.end(t, syscall.SIGINT)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != ExitFailure {
		t.Errorf("load ended with %v, want exit status %d", err, ExitFailure)
	}
}
