package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"burdocklift/emul"
	"burdocklift/platform"
	"burdocklift/platform/stand"
)

// Ports on the loopback address of each machine.
const (
	portStore  = 7600
	portCaller = 7601
	portReady  = 7602
	portBeat   = 7603
	portTarget = 7604
	// portSpoiler is where the node finds its target if a spoiler stands between them.
	portSpoiler = 7605
	portPeer    = 7610
	portLast    = 7625
)

const (
	host      = "rig.example"
	desk      = "desk"    // keyed
	archive   = "archive" // not keyed
	slots     = 12
	storeTime = 4 * time.Millisecond // of each call to the store
	graceTime = 6 * time.Second      // from SIGTERM to SIGKILL
	// killedTime is how long killed nodes are away.
	killedTime = time.Second
)

// errSetup means that a case could not run.
var errSetup = errors.New("case could not run")

// site is the processes and stand-ins of a case.
type site struct {
	dir      string // of settings and logs
	binary   string
	record   *record
	ledger   *emul.Ledger
	store    *http.Server
	machines []*machine
	spoils   bool // a spoiler stands before the target that is added next

	mu     sync.Mutex
	number int // of targets that were started
}

// machine is a node and the target beside it.
type machine struct {
	site    *site
	name    string
	dc      string
	region  string
	ip      string
	service string
	door    int // port at which the node finds its target
	// began is called when a request begins to run at the target.
	began func(m *machine, e stand.Execution)
	ended func(m *machine, e stand.Execution)

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	target *stand.Target
}

// newSite starts the store. Machines are added by add.
func newSite(binary string, r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, binary: binary, record: r, ledger: emul.NewLedger(storeTime)}
	l, err := net.Listen("tcp", s.address(0, portStore))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	s.store = &http.Server{Handler: stand.Store(s.ledger.Client("rig")), ReadHeaderTimeout: time.Second}
	go func() { _ = s.store.Serve(l) }() // ends with close
	s.putRules(1)
	return s, nil
}

// putRules writes a version of the operators' rules.
func (s *site) putRules(version int) {
	s.ledger.Put(platform.RulesKey, stand.Rules(version, host, desk, []stand.Route{
		{Prefix: "/look/", Service: desk, Idempotent: true},
		{Prefix: "/pay/", Service: desk},
		{Prefix: "/read/", Service: archive, Idempotent: true},
		{Prefix: "/book/", Service: archive},
	}))
}

// address returns an address of a machine. Cases that run at the same time use other ones.
func (s *site) address(number, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 20+pid%200, 1+pid/200%250, number+1, port)
}

// add starts a machine.
func (s *site) add(dc, region, service string, work func() time.Duration, began, ended func(*machine, stand.Execution)) (*machine, error) {
	n := len(s.machines) + 1
	ip, _, err := net.SplitHostPort(s.address(n, 0))
	if err != nil {
		return nil, err
	}
	m := &machine{site: s, name: fmt.Sprintf("n-%02d", n), dc: dc, region: region, ip: ip, service: service, door: portTarget, began: began, ended: ended}
	if s.spoils {
		m.door = portSpoiler
	}
	if err := m.writeSettings(); err != nil {
		return nil, err
	}
	s.machines = append(s.machines, m)
	return m, errors.Join(m.startNode(), m.startTarget(work))
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) settings() string { return filepath.Join(m.site.dir, m.name+".toml") }

// writeSettings writes what the template of the deploy file gives for a small deployment.
func (m *machine) writeSettings() error {
	text := fmt.Sprintf(`name = %q
data_centre = %q
region = %q
store = %q
memory = 284
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
stop = %q
hold = "10s"
ratio = 0.2
slack = 56
link = 1000.0
[regions]
"a" = "r"
"b" = "r"
"c" = "q"
`, m.name, m.dc, m.region, m.site.address(0, portStore), m.service, m.at(m.door), m.ip, m.at(portCaller),
		m.at(portReady), m.at(portBeat), portPeer, portLast, graceTime)
	return os.WriteFile(m.settings(), []byte(text), 0o600)
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.site.binary, "agent")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), platform.SettingsVariable + "=" + m.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("%w: node %s: %w", errSetup, m.name, err), log.Close())
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = cmd.Wait() // how it ended is in the state of the command
		_ = log.Close()
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.exited = cmd, exited
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.cmd.Process.Signal(sig)
	m.site.record.note("%s to %s: %v", sig, m.name, err)
}

// waitExit waits until the node has ended or the time is up, and returns how it ended.
func (m *machine) waitExit(limit time.Duration) string {
	m.mu.Lock()
	exited, cmd := m.exited, m.cmd
	m.mu.Unlock()
	select {
	case <-exited:
		return cmd.ProcessState.String()
	case <-time.After(limit):
		return "still runs"
	}
}

// ready reports whether the node says that it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + m.at(portReady) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startTarget starts a new life of the target.
func (m *machine) startTarget(work func() time.Duration) error {
	s := m.site
	s.mu.Lock()
	s.number++
	id := fmt.Sprintf("i-%04d", s.number)
	s.mu.Unlock()
	t, err := stand.Start(stand.Config{
		ID: id, StartedAt: time.Now(), Service: m.service, Slots: slots, Sharded: m.service == desk, Address: m.at(portTarget),
		Node: m.at(portBeat), WorkTime: work, OnHoldsChange: func(*stand.Target) {},
		OnExecution: func(t *stand.Target, e stand.Execution) {
			s.record.note("%s runs %s", t.ID(), e.ID)
			m.began(m, e)
		},
		OnEnd: func(_ *stand.Target, e stand.Execution) { m.ended(m, e) },
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target = t
	return nil
}

// crashTarget ends the target without a word, and starts another one after a time.
func (m *machine) crashTarget(away time.Duration, work func() time.Duration) {
	m.mu.Lock()
	t := m.target
	m.target = nil
	m.mu.Unlock()
	if t == nil {
		return
	}
	t.Crash()
	m.site.record.note("target %s beside %s crashed", t.ID(), m.name)
	time.AfterFunc(away, func() {
		if err := m.startTarget(work); err != nil {
			m.site.record.note("target beside %s: %v", m.name, err)
		}
	})
}

// awaitService waits until all nodes are ready and each has answered requests.
func (s *site) awaitService(paths ...string) error {
	end := time.Now().Add(30 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		good := true
		for i, m := range s.machines {
			good = good && m.ready()
			for _, path := range paths {
				a, err := m.ask(fmt.Sprintf("warm-%d-%d", i, n), "GET", path, 100*n%65536, 2*time.Second)
				good = good && err == nil && a.Status == http.StatusOK
			}
		}
		if good {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: the nodes serve no requests", errSetup)
}

// ask sends a request on a connection of its own.
func (m *machine) ask(id, method, path string, key int, timeout time.Duration) (stand.Response, error) {
	client := &http.Client{Timeout: timeout + time.Second}
	defer client.CloseIdleConnections()
	return m.askOn(client, id, method, path, key, timeout)
}

// askOn sends a request on the connections of a client, and records it.
func (m *machine) askOn(client *http.Client, id, method, path string, key int, timeout time.Duration) (stand.Response, error) {
	m.site.record.note("%s sends %s to %s: %s %s key %d", "client", id, m.name, method, path, key)
	a, err := stand.Send(contextOf(), client, m.at(portCaller), stand.Request{Method: method, Host: host, Path: path, ID: id, Key: key, Timeout: timeout})
	if err != nil {
		m.site.record.note("client gets no whole answer to %s: %v", id, err)
	} else {
		m.site.record.note("client gets %d to %s", a.Status, id)
	}
	return a, err
}

// killAll kills all nodes at once and starts them again, as after a final fault.
func (s *site) killAll() error {
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		s.record.note("node %s: %s", m.name, m.waitExit(graceTime))
	}
	time.Sleep(killedTime)
	for _, m := range s.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all that the site started. Logs are kept if the case asks for it.
func (s *site) close() {
	for _, m := range s.machines {
		m.mu.Lock()
		cmd, exited, t := m.cmd, m.exited, m.target
		m.target = nil
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill() // it may have ended before
			<-exited
		}
		if t != nil {
			t.Crash()
		}
	}
	s.ledger.Close()
	_ = s.store.Close() // its connections are cut
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(s.dir) // only temporary files are left otherwise
	}
}
