package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"burdocklift/emul"
	"burdocklift/platform"
	"burdocklift/platform/stand"
)

const (
	host        = "office.example"
	desk        = "desk" // keyed service
	storeDelay  = 4 * time.Millisecond
	targetSlots = 12
	nodeMemory  = 284    // MiB
	nodeLink    = 1000.0 // Mbit/s
	zones       = 3
	startKeys   = 32
	startLimit  = 40 * time.Second
	rulesKey    = platform.RulesKey
)

// Ports of a node.
const (
	portCaller = iota
	portReady
	portHeartbeat
	portTarget
	portFirst // of those between nodes
	portLast
	portCount
)

// lab is the processes and stand-ins of one case.
type lab struct {
	program string
	dir     string
	began   time.Time

	mu     sync.Mutex
	record io.Writer

	ledger *emul.Ledger
	rules  []byte // in the store
	store  *http.Server
	nodes  []*node

	// Settings of a case. The zero values stand for those of a small site.
	era        uint64                          // of the store, 0 if it names none
	memory     int                             // of a node, in MiB
	link       float64                         // of a machine, in Mbit/s
	wrapTarget func(http.Handler) http.Handler // changes the answers of targets
}

// node is a node process with the stand-in of its target.
type node struct {
	lab     *lab
	name    string
	ip      string
	ports   [portCount]int
	cmd     *exec.Cmd
	target  *stand.Target
	front   *http.Server // before the target, if its answers are changed
	started int          // runs of the process
	targets int          // lives of the target
}

func newLab(program, dir string, record io.Writer) *lab {
	return &lab{program: program, dir: dir, began: time.Now(), record: record}
}

// notef writes a line of the record.
func (l *lab) notef(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...)) // for people
}

// address returns the loopback address of a node, which no other run has.
func address(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%250, 1+i)
}

// freePort returns a port that nobody listens on.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	port := l.Addr().(*net.TCPAddr).Port
	return port, l.Close()
}

// startStore starts the stand-in of the platform's store with rules.
func (l *lab) startStore(rules []byte) (address string, err error) {
	l.ledger = emul.NewLedger(storeDelay)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.store = &http.Server{Handler: stand.Store(l.ledger.Client("lab")), ReadHeaderTimeout: time.Second}
	go func() { _ = l.store.Serve(listener) }() // ends with close
	l.ledger.SetEra(l.era)
	l.rules = rules
	l.ledger.Put(rulesKey, rules)
	return listener.Addr().String(), nil
}

// bodyLimit is that of the example of the pages, in bytes.
const bodyLimit = 64 << 20

// withBodyLimit returns rules with the bodyLimit.
func withBodyLimit(rules []byte) ([]byte, error) {
	var m map[string]any
	if err := json.Unmarshal(rules, &m); err != nil {
		return nil, err
	}
	limits, ok := m["limits"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%w: rules without limits", errSetup)
	}
	limits["maxBodyBytes"] = bodyLimit
	return json.Marshal(m)
}

// startSite starts a number of nodes with targets, and waits until the keys have owners.
func (l *lab) startSite(nodes int, target stand.Config) error {
	rules, err := withBodyLimit(stand.Rules(2, host, desk, []stand.Route{
		{Prefix: "/look/", Service: desk, Idempotent: true}, {Prefix: "/pay/", Service: desk},
	}))
	if err != nil {
		return err
	}
	store, err := l.startStore(rules)
	if err != nil {
		return err
	}
	for i := range nodes {
		n, err := l.addNode(fmt.Sprintf("n-%02d", i), fmt.Sprintf("zone-%d", i%zones), store)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		if err := n.startTarget(target); err != nil {
			return err
		}
	}
	return l.awaitOwners()
}

// targetID returns the id of a life of the target beside a node.
func targetID(node string, life int) string { return fmt.Sprintf("i-%s-%d", node, life) }

// startTarget starts a life of the target beside the node.
func (n *node) startTarget(c stand.Config) error {
	n.targets++
	c.ID, c.StartedAt, c.Service, c.Sharded = targetID(n.name, n.targets), time.Now(), desk, true
	c.Address, c.Node, c.Slots = n.at(portTarget), n.at(portHeartbeat), targetSlots
	if n.lab.wrapTarget != nil {
		c.Address = n.ip + ":0"
	}
	if c.OnHoldsChange == nil {
		c.OnHoldsChange = func(*stand.Target) {}
	}
	t, err := stand.Start(c)
	n.target = t
	if err != nil || n.lab.wrapTarget == nil {
		return err
	}
	listener, err := net.Listen("tcp", n.at(portTarget))
	if err != nil {
		return err
	}
	n.front = &http.Server{Handler: n.lab.wrapTarget(t), ReadHeaderTimeout: time.Second}
	go func() { _ = n.front.Serve(listener) }() // ends with close
	return nil
}

// awaitOwners waits until all nodes serve some keys of all.
func (l *lab) awaitOwners() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if l.servesAll() {
			return nil
		}
	}
	for _, n := range l.nodes {
		l.notef("the log of node %s ends with %s", n.name, n.lastLine())
	}
	return fmt.Errorf("%w: requests are not served %v after the start", errSetup, startLimit)
}

func (l *lab) servesAll() bool {
	for i, n := range l.nodes {
		c := dialCaller(n.at(portCaller))
		if c == nil {
			return false
		}
		for k := range startKeys {
			id := fmt.Sprintf("start-%d-%d-%d", time.Now().UnixNano(), i, k)
			if resp, _, err := c.post("/pay/x", id, k*(1<<16)/startKeys); err != nil || resp.StatusCode != http.StatusOK {
				c.close()
				return false
			}
		}
		c.close()
	}
	return true
}

// addNode writes the settings of a node as deploy/settings.toml renders them.
func (l *lab) addNode(name, zone, store string) (*node, error) {
	n := &node{lab: l, name: name, ip: address(len(l.nodes))}
	for i := range n.ports {
		var err error
		if n.ports[i], err = freePort(n.ip); err != nil {
			return nil, err
		}
	}
	if n.ports[portLast] < n.ports[portFirst] {
		n.ports[portLast], n.ports[portFirst] = n.ports[portFirst], n.ports[portLast]
	}
	text := fmt.Sprintf(`name = %q
data_centre = %q
region = "region"
store = %q
memory = %d
[target]
service = %q
address = %q
[addresses]
ip = %q
caller = %q
ready = %q
target = %q
ports = [%d, %d]
[limits]
drain = "2s"
stop = "6s"
hold = "10s"
ratio = 0.2
slack = 56
link = %.1f
`, n.name, zone, store, cmp.Or(l.memory, nodeMemory), desk, n.at(portTarget), n.ip, n.at(portCaller), n.at(portReady), n.at(portHeartbeat),
		n.ports[portFirst], n.ports[portLast], cmp.Or(l.link, nodeLink))
	if err := os.WriteFile(n.settings(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, n.ports[port]) }

func (n *node) settings() string { return filepath.Join(n.lab.dir, n.name+".toml") }

// start starts the node with the command of the deploy file.
func (n *node) start() error {
	n.started++
	log, err := os.Create(n.logFile())
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a copy
	n.cmd = exec.Command(n.lab.program, "agent")
	n.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.settings())
	n.cmd.Stdout, n.cmd.Stderr = log, log
	return n.cmd.Start()
}

// lastLine returns the last line of the log.
func (n *node) lastLine() string {
	text, err := os.ReadFile(n.logFile())
	if err != nil {
		return err.Error()
	}
	text = bytes.TrimSpace(text)
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

func (n *node) logFile() string {
	return filepath.Join(n.lab.dir, fmt.Sprintf("%s-%d.log", n.name, n.started))
}

func (n *node) kill() {
	if n.cmd != nil {
		_ = n.cmd.Process.Kill() // it may have ended
		_ = n.cmd.Wait()         // it was killed
		n.cmd = nil
	}
}

func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
		if n.target != nil {
			n.target.Crash()
		}
		if n.front != nil {
			_ = n.front.Close() // its connections are cut
		}
	}
	if l.ledger != nil {
		l.ledger.Close()
	}
	if l.store != nil {
		_ = l.store.Close() // its connections are cut
	}
}
