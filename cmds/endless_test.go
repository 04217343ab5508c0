package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/platform/stand"
)

const (
	// endlessCallers is the number of connections on which a target sends without end.
	endlessCallers = 64
	// endlessTime is how long it does so in each way.
	endlessTime = time.Second
)

// startEndless starts nodes as processes. The target of the last one serves "archive" and
// does not end its answers; that of the other one serves "desk" and runs nothing.
func startEndless(t *testing.T, n int) []*agentProcess {
	t.Helper()
	store := startStore(t)
	var agents []*agentProcess
	for i := range n {
		service := "archive"
		if i < n-1 {
			service = "desk"
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go stand.EndlessTarget(l)
		a := newAgent(t, fmt.Sprint("n-", i), service, l.Addr().String(), store)
		a.start(t)
		// A target of its own sends the heartbeats of the endless one.
		a.startTarget(t, freeAddresses(t, 1)[0], func(*stand.Target, stand.Execution) {})
		agents = append(agents, a)
	}
	for _, a := range agents {
		a.awaitServing(t)
	}
	return agents
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
			agents := startEndless(t, nodes)
			for _, kind := range stand.EndlessKinds() {
				t.Run(kind, func(t *testing.T) { playEndless(t, agents, kind) })
			}
		})
	}
}

func playEndless(t *testing.T, agents []*agentProcess, kind string) {
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
		if peak > agentMemory && !detectsRaces {
			t.Errorf("node %d took %d MiB, its limit is %d", i, peak, agentMemory)
		}
	}
}
