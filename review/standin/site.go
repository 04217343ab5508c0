package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdocklift/emul"
	"burdocklift/platform"
	"burdocklift/platform/stand"
)

const (
	// host is the host name of all routes.
	host = "review.example"
	// storeTime is what each call to the store takes.
	storeTime = 4 * time.Millisecond
	// memoryMiB is the memory of a process, above which the platform kills it.
	memoryMiB = 284
	// contactTime is the bound contactS: how long a machine must have been without
	// disruption to be in touch.
	contactTime = 3 * time.Second
	// stopTime is the bound graceS.
	stopTime = 6 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

// Site is a small deployment on loopback addresses: the store and some machines.
type Site struct {
	record  *Record
	dir     string // of settings and logs
	ledger  *emul.Ledger
	store   *http.Server
	address string // of the store

	// forks is held while a process starts: until it runs its program it has copies of
	// all listeners.
	forks    sync.Mutex
	machines []*Machine
}

// Machine is a host with a node and a target.
type Machine struct {
	site    *Site
	name    string
	zone    string
	service string
	sharded bool
	bare    bool // its target is started by the case
	ip      string
	ports   []int // caller, ready, heartbeats, target, nodes, metrics

	work        func() time.Duration
	onExecution func(m *Machine, t *stand.Target, e stand.Execution)
	onHolds     func()

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	killed    bool      // the platform killed the process for its memory
	disturbed time.Time // end of the last disruption
	target    *stand.Target
	startedAt time.Time // of the target
	lives     int
	peak      int // MiB
}

// Order of a machine's ports.
const (
	portCaller = iota
	portReady
	portBeat
	portTarget
	portNodes
	portMetrics
	portCount
)

// NewSite starts the store, which holds rules.
func NewSite(record *Record, rules []byte) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &Site{record: record, dir: dir, ledger: emul.NewLedger(storeTime)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.store = &http.Server{Handler: stand.Store(s.ledger.Client("site")), ReadHeaderTimeout: time.Second}
	go func() { _ = s.store.Serve(l) }() // ends with Close
	s.ledger.Put(platform.RulesKey, rules)
	return s, nil
}

// freePorts returns ports of an address that nobody listens on, in rising order.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // only held to find different ports
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		number, err := strconv.Atoi(port)
		if err != nil {
			return nil, err
		}
		ports = append(ports, number)
	}
	slices.Sort(ports)
	return ports, nil
}

// Add adds a machine and writes the settings of its node.
func (s *Site) Add(m *Machine) error {
	m.site = s
	m.ip = fmt.Sprintf("127.0.0.%d", len(s.machines)+2)
	var err error
	if m.ports, err = freePorts(m.ip, portCount); err != nil {
		return err
	}
	s.machines = append(s.machines, m)
	return os.WriteFile(m.settings(), []byte(fmt.Sprintf(`name = %q
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
link = 1000.0
`, m.name, m.zone, s.address, memoryMiB, m.service, m.at(portTarget), m.ip, m.at(portCaller), m.at(portReady), m.at(portBeat),
		m.ports[portNodes], m.ports[portMetrics])), 0o600)
}

// warmUp is the time from readiness until the keys of a site are divided and held.
const warmUp = 5 * time.Second

// Begin starts all nodes and targets, and waits until they serve.
func (s *Site) Begin(ctx context.Context) error {
	for _, m := range s.machines {
		err := m.StartNode()
		if !m.bare {
			err = errors.Join(err, m.StartTarget())
		}
		if err != nil {
			return err
		}
		go m.watchMemory(ctx)
	}
	if err := s.awaitReady(startTime); err != nil {
		return err
	}
	sleep(ctx, warmUp)
	return ctx.Err()
}

// Peak returns the most memory that the node took, in MiB.
func (m *Machine) Peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// Close ends all that was started.
func (s *Site) Close() {
	for _, m := range s.machines {
		m.Kill()
		m.mu.Lock()
		t := m.target
		m.target = nil
		m.mu.Unlock()
		if t != nil {
			t.Crash()
		}
	}
	s.ledger.Close()
	_ = s.store.Close() // its connections are cut
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir) // a temporary folder
	}
}

func (m *Machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[port]) }

func (m *Machine) settings() string { return filepath.Join(m.site.dir, m.name+".toml") }

// StartNode starts the node with the command of the deploy file.
func (m *Machine) StartNode() error {
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	cmd := exec.Command("target/burdocklift", "agent")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + m.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.site.forks.Lock()
	err = cmd.Start()
	m.site.forks.Unlock()
	if err != nil {
		return fmt.Errorf("node %s: %w", m.name, err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait() // nodes that are killed end with an error
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.ended = cmd, ended
	m.site.record.Note("%s: node starts", m.name)
	return nil
}

func (m *Machine) running() (*exec.Cmd, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process, m.ended
}

// Kill ends the node at once.
func (m *Machine) Kill() {
	if cmd, ended := m.running(); cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
		<-ended
	}
}

// Restart stops the node with SIGTERM and starts it again, as the platform does.
func (m *Machine) Restart() error {
	cmd, ended := m.running()
	m.Disturb()
	m.site.record.Note("%s: node gets SIGTERM", m.name)
	_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-ended:
	case <-time.After(stopTime):
		m.site.record.Note("%s: node gets SIGKILL", m.name)
		m.Kill()
	}
	time.Sleep(restartDelay)
	err := m.StartNode()
	m.Disturb()
	return err
}

// Disturb notes that a disruption of the machine ends now at the earliest.
func (m *Machine) Disturb() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = time.Now()
}

// InTouch reports whether the machine has been without disruption for contactTime.
func (m *Machine) InTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbed) > contactTime
}

// StartTarget starts a new life of the target.
func (m *Machine) StartTarget() error {
	m.mu.Lock()
	m.lives++
	id := fmt.Sprintf("i-%s-%d", m.name, m.lives)
	m.mu.Unlock()
	startedAt := time.Now()
	t, err := stand.Start(stand.Config{
		ID: id, StartedAt: startedAt, Service: m.service, Slots: 12, Sharded: m.sharded, Address: m.at(portTarget),
		Node: m.at(portBeat), WorkTime: m.work,
		OnExecution: func(t *stand.Target, e stand.Execution) {
			if m.onExecution != nil {
				m.onExecution(m, t, e)
			}
		},
		OnHoldsChange: func(*stand.Target) {
			if m.onHolds != nil {
				m.onHolds()
			}
		},
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target, m.startedAt = t, startedAt
	return nil
}

// Target returns the present life of the target, or nil, and its start.
func (m *Machine) Target() (*stand.Target, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target, m.startedAt
}

// CrashTarget ends a life of the target and starts the next one after a time.
func (m *Machine) CrashTarget(t *stand.Target, back time.Duration) {
	t.Crash()
	m.mu.Lock()
	if m.target != t {
		m.mu.Unlock()
		return
	}
	m.target = nil
	m.mu.Unlock()
	time.Sleep(back)
	if err := m.StartTarget(); err != nil {
		m.site.record.Note("%s: target does not start: %v", m.name, err)
	}
}

// watchMemory kills the node when it exceeds its memory, as the platform does, and
// starts it again.
func (m *Machine) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		cmd, ended := m.running()
		select {
		case <-ended:
			continue
		default:
		}
		used := anonymousMiB(cmd.Process.Pid)
		m.mu.Lock()
		m.peak = max(m.peak, used)
		m.mu.Unlock()
		if used <= memoryMiB {
			continue
		}
		m.site.record.Note("%s: node uses %d MiB, limit %d: killed", m.name, used, memoryMiB)
		m.mu.Lock()
		m.killed = true
		m.mu.Unlock()
		m.Kill()
		time.Sleep(restartDelay)
		if err := m.StartNode(); err != nil {
			m.site.record.Note("%v", err)
			return
		}
	}
}

// anonymousMiB returns the memory of a process without the pages of its program file.
func anonymousMiB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			if err != nil {
				return 0
			}
			return kib >> 10
		}
	}
	return 0
}

// Route is a route of the operators' rules.
type Route struct {
	Prefix, Kind, Service string
	TimeoutS, ObjectiveS  float64
}

// Rules encodes rules with some routes. The limits are those of the pages' example.
func Rules(routes []Route, sharded ...string) []byte {
	type object = map[string]any
	var list, clusters []object
	services := make(map[string]bool)
	for i, r := range routes {
		list = append(list, object{
			"name": fmt.Sprint("r-", i), "kind": r.Kind, "targetLatencyS": r.ObjectiveS, "priority": 1,
			"match":  object{"pathPrefix": r.Prefix},
			"action": object{"service": r.Service, "timeoutS": r.TimeoutS, "maxAttempts": 2},
		})
		if !services[r.Service] {
			clusters = append(clusters, object{
				"name": r.Service, "healthCheckPath": "/health", "maxConnections": 110, "sharded": slices.Contains(sharded, r.Service), "warmS": 5.0,
			})
		}
		services[r.Service] = true
	}
	b, err := json.Marshal(object{
		"version":   "00000007",
		"limits":    object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []object{{"hostname": host, "rules": list}},
		"clusters":  clusters,
	})
	if err != nil {
		panic(fmt.Sprintf("encode rules: %v", err))
	}
	return b
}

// startTime is how long nodes may take to be ready.
const startTime = 20 * time.Second

// awaitReady waits until all nodes say that they are ready.
func (s *Site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range s.machines {
		for {
			resp, err := http.Get("http://" + m.at(portReady) + platform.ReadyPath)
			if err == nil {
				_ = resp.Body.Close() // empty
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready after %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
