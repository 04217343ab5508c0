package cmds

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdocklift/emul"
	"burdocklift/platform"
	"burdocklift/platform/stand"
)

const (
	// agentMemory is the memory of the smallest hosts, in MiB.
	agentMemory = 184
	// agentSlots is the number of slots of a target, more than callers use at once.
	agentSlots = 256
)

// agentProcess is a node on the platform, as a process.
type agentProcess struct {
	*process
	name    string
	service string
	file    string // with the settings
	caller  string // address for callers
	beats   string // address for heartbeats
	target  string // address of the target
	peers   string // address for other nodes

	mu     sync.Mutex
	lives  int
	beside *stand.Target
}

// startStore starts the platform's store with rules for the services "archive" and
// "desk", and returns its address.
func startStore(t *testing.T) string {
	t.Helper()
	_, address := startLedger(t)
	return address
}

// startLedger is startStore for tests that change records.
func startLedger(t *testing.T) (*emul.Ledger, string) {
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
	return ledger, l.Addr().String()
}

// newAgent writes the settings of a node.
func newAgent(t *testing.T, name, service, target, store string) *agentProcess {
	t.Helper()
	a := freeAddresses(t, 5)
	ports := []string{strings.TrimPrefix(a[3], "127.0.0.1:"), strings.TrimPrefix(a[4], "127.0.0.1:")}
	slices.SortFunc(ports, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b)) })
	p := &agentProcess{
		name: name, service: service, file: filepath.Join(t.TempDir(), name+".toml"), caller: a[0], beats: a[2], target: target,
		peers: "127.0.0.1:" + ports[0],
	}
	text := fmt.Sprintf("name = %q\ndata_centre = \"d\"\nregion = \"r\"\nstore = %q\nmemory = %d\n"+
		"target = { service = %q, address = %q }\n"+
		"addresses = { ip = \"127.0.0.1\", caller = %q, ready = %q, target = %q, ports = [%s, %s] }\n",
		name, store, agentMemory, service, target, a[0], a[1], a[2], ports[0], ports[1])
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func (a *agentProcess) start(t *testing.T) {
	t.Helper()
	a.process = spawn(t, false, "agent", a.file)
}

// kill ends the process with SIGKILL.
func (a *agentProcess) kill(t *testing.T) {
	t.Helper()
	_ = a.end(t, syscall.SIGKILL) // tells that it was killed
}

// startTarget starts a further life of the target, which listens on an address.
func (a *agentProcess) startTarget(t *testing.T, address string, onExecution func(*stand.Target, stand.Execution)) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lives++
	target, err := stand.Start(stand.Config{
		ID: fmt.Sprint("i-", a.name, "-", a.lives), StartedAt: time.Now(), Service: a.service, Slots: agentSlots,
		Address: address, Node: a.beats, WorkTime: func() time.Duration { return time.Millisecond },
		OnExecution: onExecution, OnHoldsChange: func(*stand.Target) {},
	})
	if err != nil {
		t.Errorf("target does not start: %v", err)
		return
	}
	a.beside = target
	t.Cleanup(target.Crash)
}

// send sends a request of a caller to the node.
func (a *agentProcess) send(t *testing.T, path, id string) (stand.Response, error) {
	t.Helper()
	c := &http.Client{}
	defer c.CloseIdleConnections()
	return stand.Send(t.Context(), c, a.caller, stand.Request{
		Method: "GET", Host: "h.example", Path: path, ID: id, Key: -1, Timeout: time.Second,
	})
}

// awaitServing waits until the node serves callers.
func (a *agentProcess) awaitServing(t *testing.T) {
	t.Helper()
	a.await(t, func(resp stand.Response) bool { return resp.Status == http.StatusOK })
}

// await sends requests until the node answers one as wanted.
func (a *agentProcess) await(t *testing.T, wanted func(stand.Response) bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := a.send(t, "/read/1", fmt.Sprint(time.Now().UnixNano()))
		if err == nil && wanted(resp) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("node %s answers otherwise: status %d, body %q, %v", a.name, resp.Status, resp.Body, err)
		}
	}
}
