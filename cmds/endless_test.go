package cmds

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/emul"
	"burdocklift/platform"
	"burdocklift/platform/stand"
)

const (
	// endlessMemory is the memory of the smallest hosts, in MiB.
	endlessMemory = 184
	// endlessCallers is the number of connections on which a target sends without end.
	endlessCallers = 64
	// endlessTime is how long it does so in each way.
	endlessTime = time.Second
)

// agentProcess is a node beside a target, as a process.
type agentProcess struct {
	*process
	caller string // address for callers
}

// startAgents starts nodes as processes. The target of the last one serves "archive" and is
// an endless one; that of the other one serves "desk" and runs nothing.
func startAgents(t *testing.T, n int) []agentProcess {
	t.Helper()
	ledger := emul.NewLedger(time.Millisecond)
	t.Cleanup(ledger.Close)
	ledger.Put(platform.RulesKey, stand.Rules(1, "h.example", "none", []stand.Route{
		{Prefix: "/read/", Service: "archive", Idempotent: true}, {Prefix: "/pay/", Service: "archive"},
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := &http.Server{Handler: stand.Store(ledger.Client("test")), ReadHeaderTimeout: time.Second}
	go func() { _ = store.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = store.Close() })
	var agents []agentProcess
	for i := range n {
		service := "archive"
		if i < n-1 {
			service = "desk"
		}
		agents = append(agents, startAgent(t, fmt.Sprint("n-", i), service, l.Addr().String()))
	}
	for _, a := range agents {
		awaitServing(t, a)
	}
	return agents
}

func startAgent(t *testing.T, name, service, store string) agentProcess {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	go stand.EndlessTarget(target)
	a := freeAddresses(t, 6)
	ports := []string{strings.TrimPrefix(a[3], "127.0.0.1:"), strings.TrimPrefix(a[4], "127.0.0.1:")}
	slices.SortFunc(ports, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b)) })
	file := filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf("name = %q\ndata_centre = \"d\"\nregion = \"r\"\nstore = %q\nmemory = %d\n"+
		"target = { service = %q, address = %q }\n"+
		"addresses = { ip = \"127.0.0.1\", caller = %q, ready = %q, target = %q, ports = [%s, %s] }\n",
		name, store, endlessMemory, service, target.Addr(), a[0], a[1], a[2], ports[0], ports[1])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := spawn(t, false, "agent", file)
	beats, err := stand.Start(stand.Config{
		ID: "i-" + name, StartedAt: time.Now(), Service: service, Slots: 4 * endlessCallers, Address: a[5], Node: a[2],
		OnExecution: func(*stand.Target, stand.Execution) {}, OnHoldsChange: func(*stand.Target) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(beats.Crash)
	return agentProcess{p, a[0]}
}

func awaitServing(t *testing.T, a agentProcess) {
	t.Helper()
	c := &http.Client{}
	defer c.CloseIdleConnections()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := stand.Send(t.Context(), c, a.caller, stand.Request{
			Method: "GET", Host: "h.example", Path: "/read/1", ID: fmt.Sprint(time.Now().UnixNano()), Key: -1, Timeout: time.Second,
		})
		if err == nil && resp.Status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("node does not serve: status %d, %v", resp.Status, err)
		}
	}
}

// peakMemory returns the most private memory that a process takes until the context ends,
// in MiB.
func peakMemory(ctx context.Context, pid int) int {
	peak := 0
	for ctx.Err() == nil {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return peak
		}
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
				kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
				if err == nil {
					peak = max(peak, kib>>10)
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return peak
}

// sendUntil sends requests one after the other until the context ends, and returns how
// many were answered and the first one that was not.
func sendUntil(ctx context.Context, address, path, name string, want int) (int, error) {
	c := &http.Client{}
	defer c.CloseIdleConnections()
	for n := 0; ; n++ {
		if ctx.Err() != nil {
			return n, nil
		}
		resp, err := stand.Send(context.WithoutCancel(ctx), c, address, stand.Request{
			Method: "POST", Host: "h.example", Path: path, ID: fmt.Sprint(name, "-", n), Key: -1, Timeout: 2 * time.Second,
		})
		if want > 0 && (err != nil || resp.Status != http.StatusOK || len(resp.Body) != want) {
			return n, fmt.Errorf("%s-%d: status %d, %d bytes of %d (%.20q), %v", name, n, resp.Status, len(resp.Body), want, resp.Body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a target that sends bytes without end, in any part of an answer, on many
// connections at once: its node, or that of the callers, would exceed its memory or let
// the requests of other callers fail.
func TestEndlessAnswersBesideOthers(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			agents := startAgents(t, nodes)
			for _, kind := range stand.EndlessKinds() {
				t.Run(kind, func(t *testing.T) { playEndless(t, agents, kind) })
			}
		})
	}
}

func playEndless(t *testing.T, agents []agentProcess, kind string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	var group sync.WaitGroup
	peaks := make([]int, len(agents))
	for i, a := range agents {
		group.Go(func() { peaks[i] = peakMemory(ctx, a.Process.Pid) })
	}
	entry := agents[0].caller
	for i := range endlessCallers {
		group.Go(func() { _, _ = sendUntil(ctx, entry, "/read/"+kind, fmt.Sprint(kind, i), 0) })
	}
	var answered atomic.Int64
	for i, size := range []int{1, 2 << 10, 64 << 10, 256 << 10, 1 << 20} {
		group.Go(func() {
			n, err := sendUntil(ctx, entry, fmt.Sprint("/pay/", size), fmt.Sprint(kind, "-other-", i), size)
			if err != nil {
				t.Errorf("request of another caller: %v", err)
			}
			answered.Add(int64(n))
		})
	}
	group.Wait()
	t.Logf("peaks of %v MiB, %d requests of others answered", peaks, answered.Load())
	for i, peak := range peaks {
		if peak > endlessMemory && !detectsRaces {
			t.Errorf("node %d took %d MiB, its limit is %d", i, peak, endlessMemory)
		}
	}
}
