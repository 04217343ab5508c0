package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdocklift/emul"
	"burdocklift/platform"
	"burdocklift/platform/stand"
)

// Ports on the loopback address of each machine.
const (
	portStore  = 7100 // proxy of the store
	portCaller = 7101
	portReady  = 7102
	portBeat   = 7103
	portTarget = 7104
	portPeer   = 7110
	portLast   = 7111
)

const (
	host      = "soak.example"
	desk      = "desk"    // keyed
	archive   = "archive" // not keyed
	slots     = 12
	storeTime = 4 * time.Millisecond // of each call to the store
	stopTime  = 6 * time.Second      // that a node has to stop; in its settings
	stopSlack = 2 * time.Second      // for a loaded machine, after which it is killed
	// contactTime is how long a machine counts as disturbed afterwards.
	contactTime = 3 * time.Second
	longEvery   = 12 // one request in so many takes over half a second
	dataCentres = 3
)

// runs is the number of sites that this process has started.
var runs atomic.Int32

// Site is the processes and stand-ins of a run.
type Site struct {
	binary string
	dir    string // of settings and logs
	check  *Checker
	ledger *emul.Ledger
	store  *http.Server
	rng    *rand.Rand // of service times
	rngMu  sync.Mutex
	left   Departures
	advice Advice

	machines []*Machine

	// forks is held while a process or a target starts: until a new process runs its
	// program it has copies of all listeners, whose addresses are in use then.
	forks sync.Mutex

	mu      sync.Mutex
	version int
	written map[int]time.Time // when each version was written
	targets int               // started so far
}

// Machine is a node, its target and the proxies around them.
type Machine struct {
	site       *Site
	name       string
	dataCentre string
	ip         string
	service    string
	peers      *Proxy // calls of other nodes
	stored     *Proxy // calls to the store

	starting sync.Mutex // one start at a time

	mu        sync.Mutex
	process   *Process
	target    *stand.Target
	disturbed []period      // in the order of their begin
	unserved  []period      // without the store, as disturbed
	limited   *stand.Target // that named a limit last
}

// period is a time from one moment to another.
type period struct{ from, to time.Time }

// Process is one run of a node.
type Process struct {
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	known int  // version of the rules that it showed
	stops bool // it was told to stop
}

// NewSite starts stand-ins and nodes. The store names its eras from the given one on, or from
// its first restore on if that is 0.
func NewSite(binary, dir string, nodes int, seed, era uint64, plant string, check *Checker) (*Site, error) {
	s := &Site{
		binary: binary, dir: dir, check: check, ledger: emul.NewLedger(storeTime), version: 1, written: make(map[int]time.Time),
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	s.ledger.SetEra(era)
	// Runs at the same time use other addresses.
	number := os.Getpid()*8 + int(runs.Add(1))
	net1, net2 := 16+number%100, 1+number/100%200
	address := func(machine, port int) string { return fmt.Sprintf("127.%d.%d.%d:%d", net1, net2, machine+1, port) }
	storeAddress := address(nodes+1, portStore)
	l, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s.store = &http.Server{Handler: stand.Store(plantStore(plant, s.ledger.Client("soak"))), ReadHeaderTimeout: time.Second}
	go func() { _ = s.store.Serve(l) }() // ends with Close
	s.PutRules()
	for i := range nodes {
		m := &Machine{site: s, name: fmt.Sprintf("n-%02d", i), dataCentre: fmt.Sprint("dc-", i*dataCentres/nodes), ip: strings.Split(address(i, 0), ":")[0], service: desk}
		if i%2 == 1 {
			m.service = archive
		}
		if m.stored, err = NewProxy(address(i, portStore), storeAddress); err != nil {
			return nil, err
		}
		peers := fmt.Sprintf("127.%d.%d.%d:%d", net1+100, net2, i+1, portPeer)
		if m.peers, err = NewProxy(peers, address(i, portPeer)); err != nil {
			return nil, err
		}
		if err := m.writeSettings(peers); err != nil {
			return nil, err
		}
		s.machines = append(s.machines, m)
		if err := errors.Join(m.StartNode(), m.StartTarget(plant)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// PutRules writes rules of the next version, which have a route of their own.
func (s *Site) PutRules() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.written[version] = time.Now()
	}()
	routes := []stand.Route{
		{Prefix: "/look/", Service: desk, Idempotent: true},
		{Prefix: "/pay/", Service: desk},
		{Prefix: "/read/", Service: archive, Idempotent: true},
	}
	for v := 2; v <= version; v++ {
		routes = append(routes, stand.Route{Prefix: fmt.Sprintf("/v%d/", v), Service: archive, Idempotent: true})
	}
	s.ledger.Put(platform.RulesKey, stand.Rules(version, host, desk, routes))
}

// Version returns the version of the newest rules.
func (s *Site) Version() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Work returns a service time.
func (s *Site) Work() time.Duration {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	if s.rng.IntN(longEvery) == 0 {
		return time.Duration(600+s.rng.IntN(1000)) * time.Millisecond
	}
	return time.Duration(5+s.rng.IntN(60)) * time.Millisecond
}

func (m *Machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *Machine) settings() string { return filepath.Join(m.site.dir, m.name+".toml") }

func (m *Machine) writeSettings(called string) error {
	text := fmt.Sprintf(`name = %q
data_centre = %q
region = "region"
store = %q
memory = 256
[target]
service = %q
address = %q
[addresses]
ip = %q
called = %q
caller = %q
ready = %q
target = %q
ports = [%d, %d]
[limits]
drain = %q
stop = %q
ratio = 0.2
slack = 60
`, m.name, m.dataCentre, m.at(portStore), m.service, m.at(portTarget), m.ip, called, m.at(portCaller),
		m.at(portReady), m.at(portBeat), portPeer, portLast, drainTime, stopTime)
	return os.WriteFile(m.settings(), []byte(text), 0o600)
}

// Disturb notes that the machine is disturbed for a time from now on. It counts as
// disturbed for contactTime more.
func (m *Machine) Disturb(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = append(m.disturbed, period{time.Now(), time.Now().Add(d + contactTime)})
}

// Unserve notes that the store does not serve the machine for a time from now on.
func (m *Machine) Unserve(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unserved = append(m.unserved, period{time.Now(), time.Now().Add(d + contactTime)})
}

// Served reports whether the machine was not disturbed and served by the store at all moments
// of a time.
func (m *Machine) Served(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	overlaps := func(p period) bool { return p.from.Before(to) && from.Before(p.to) }
	return !slices.ContainsFunc(m.disturbed, overlaps) && !slices.ContainsFunc(m.unserved, overlaps)
}

// Written returns when a version of the rules was written.
func (s *Site) Written(version int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written[version]
}

// Entry returns the machine whose node a caller sent a request to.
func (s *Site) Entry(id string) *Machine {
	for _, m := range s.machines {
		if strings.Contains(id, m.name+"-") {
			return m
		}
	}
	return nil
}

// Disturbed reports whether the machine was disturbed at some moment of a time.
func (m *Machine) Disturbed(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.disturbed, func(p period) bool { return p.from.Before(to) && from.Before(p.to) })
}

// CalmFrom returns the moment from which no machine counts as disturbed, or the
// present.
func (s *Site) CalmFrom() time.Time {
	from := time.Now()
	for _, m := range s.machines {
		m.mu.Lock()
		for _, p := range m.disturbed {
			if p.to.After(from) {
				from = p.to
			}
		}
		m.mu.Unlock()
	}
	return from
}

// StartNode starts the node, whose log goes on in the same file.
func (m *Machine) StartNode() error {
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.site.binary, "agent", m.settings())
	cmd.Stdout, cmd.Stderr = log, log
	m.site.forks.Lock()
	err = cmd.Start()
	m.site.forks.Unlock()
	if err != nil {
		return errors.Join(fmt.Errorf("node %s: %w", m.name, err), log.Close())
	}
	p := &Process{cmd: cmd, log: log, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = cmd.Wait() // killed nodes end with an error; others are seen in the log
		_ = log.Close()
	}()
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
	return nil
}

// Process returns the present run of the node, or nil.
func (m *Machine) Process() *Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// Signal sends a signal to the node, if it runs.
func (m *Machine) Signal(sig syscall.Signal) {
	if p := m.Process(); p != nil {
		_ = p.cmd.Process.Signal(sig) // it may have ended meanwhile
	}
}

// Kill ends the node at once.
func (m *Machine) Kill() {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.mu.Unlock()
	if p != nil {
		_ = p.cmd.Process.Kill() // it may have ended meanwhile
		<-p.ended
	}
}

// Stop tells the node to stop and waits until it has.
func (m *Machine) Stop() {
	p := m.Process()
	if p == nil {
		return
	}
	m.mu.Lock()
	p.stops = true
	m.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended meanwhile
	select {
	case <-p.ended:
	case <-time.After(stopTime + stopSlack):
		m.site.check.Breaks("STOP", "node %s runs %v after SIGTERM", m.name, stopTime+stopSlack)
	}
	m.Kill()
}

// releaseTime bounds the wait for the address of an earlier target. A process that is being
// started holds copies of all descriptors, and closes them one by one after its start counts
// as successful.
const releaseTime = 2 * time.Second

// StartTarget starts a new life of the target.
func (m *Machine) StartTarget(plant string) error {
	s := m.site
	s.mu.Lock()
	s.targets++
	id := fmt.Sprintf("i-%04d", s.targets)
	s.mu.Unlock()
	s.forks.Lock()
	defer s.forks.Unlock()
	cfg := stand.Config{
		ID: id, StartedAt: time.Now(), Service: m.service, Slots: slots, Sharded: m.service == desk, Address: m.at(portTarget),
		Node: m.at(portBeat), WorkTime: s.Work,
		OnExecution:   func(t *stand.Target, e stand.Execution) { s.check.Began(t, e); s.left.Began(m, e); s.began(t, e) },
		OnEnd:         func(t *stand.Target, e stand.Execution) { s.left.Ended(e); s.ended(t, e) },
		OnHoldsChange: s.check.Held, Fault: plantTarget(plant),
	}
	t, err := stand.Start(cfg)
	for end := time.Now().Add(releaseTime); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(releaseTime / 100)
		t, err = stand.Start(cfg)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.target = t
	m.mu.Unlock()
	return nil
}

func (s *Site) began(t *stand.Target, e stand.Execution) {
	if m := s.Entry(e.ID); m != nil {
		s.advice.Began(s.check, t, e.ID, m)
	}
}

func (s *Site) ended(t *stand.Target, e stand.Execution) {
	if m := s.Entry(e.ID); m != nil {
		s.advice.Ended(t, m)
	}
}

// Target returns the present life of the target, or nil.
func (m *Machine) Target() *stand.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target
}

// limitOnce reports whether a target has not named a limit before.
func (m *Machine) limitOnce(t *stand.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.limited != t
	m.limited = t
	return first
}

// CrashTarget ends the target without a word. None is started before its address is
// free again.
func (m *Machine) CrashTarget() {
	m.starting.Lock()
	defer m.starting.Unlock()
	m.mu.Lock()
	t := m.target
	m.target = nil
	m.mu.Unlock()
	if t != nil {
		t.Crash()
	}
}

// Close ends everything that the site started.
func (s *Site) Close() {
	for _, m := range s.machines {
		m.Signal(syscall.SIGCONT)
		m.Kill()
		m.CrashTarget()
		m.peers.Close()
		m.stored.Close()
	}
	s.ledger.Close()
	_ = s.store.Close() // its connections are cut
}

// wait sleeps unless the context ends before.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
