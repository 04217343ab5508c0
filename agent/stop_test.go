package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// stopResult counts the requests that callers sent while a node stopped.
type stopResult struct {
	mu       sync.Mutex
	answered int
	refused  int
	lost     []string // passed on to a target, without its answer
}

// pressOn sends requests that may run once over connections that it keeps until the
// node closes them, and opens new ones as long as the node accepts them.
func (r *stopResult) pressOn(t *testing.T, h, target *host, name string, stopped <-chan struct{}) {
	var c net.Conn
	defer func() {
		if c != nil {
			_ = c.Close() // the node may have closed it
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stopped:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", h.settings.Addresses.Caller); err != nil {
				return
			}
		}
		id := fmt.Sprint(name, "-", i)
		status := exchange(c, id)
		r.note(t, target, id, status)
		if status != http.StatusOK {
			_ = c.Close() // the caller goes on with a new one
			c = nil
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// exchange sends a request and returns the status of its answer, or 0 without one.
func exchange(c net.Conn, id string) int {
	if _, err := c.Write([]byte(head("POST", "/pay/x", id))); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // its length is known to be within the buffer
	return resp.StatusCode
}

func (r *stopResult) note(t *testing.T, target *host, id string, status int) {
	t.Helper()
	target.mu.Lock()
	_, ran := target.began[id]
	target.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status == http.StatusOK:
		r.answered++
	case ran:
		r.lost = append(r.lost, fmt.Sprintf("%s (status %d)", id, status))
	case status == http.StatusServiceUnavailable:
		r.refused++
	}
}

// Guards against requests that a stopping node takes although they can't be answered
// before its end: they are passed on, and cut off at the end of the grace.
func TestStopLosesNoRequest(t *testing.T) {
	// The queue of eight callers takes 1.2 s, as long as the node serves.
	const callers, slots, work = 8, 1, 150 * time.Millisecond
	for name, nodes := range map[string]int{"local target": 1, "forwarded": 2} {
		t.Run(name, func(t *testing.T) {
			hosts := startHostsWith(t, nodes, slots, work)
			var r stopResult
			var wg sync.WaitGroup
			stopped := make(chan struct{})
			for i := range callers {
				wg.Go(func() { r.pressOn(t, hosts[0], hosts[nodes-1], fmt.Sprint("caller-", i), stopped) })
			}
			time.Sleep(300 * time.Millisecond)
			if err := hosts[0].stop(); err != nil {
				t.Errorf("node ended with %v", err)
			}
			close(stopped)
			wg.Wait()
			t.Logf("%d answered, %d refused", r.answered, r.refused)
			if len(r.lost) > 0 {
				t.Errorf("%d requests ran without an answer: %v", len(r.lost), r.lost)
			}
			if r.answered == 0 || r.refused == 0 {
				t.Errorf("%d requests were answered and %d refused: the node was not under load", r.answered, r.refused)
			}
		})
	}
}

// Guards against connections that are closed while requests are still in flight: their
// callers see no answer where a refusal would tell them to go elsewhere.
func TestStopRefusesOnOpenConnections(t *testing.T) {
	h := startHosts(t, 1, 1150*time.Millisecond)[0]
	idle := dial(t, h)
	busy := dial(t, h)
	write(t, busy, head("POST", "/pay/x", "long"))
	h.await(t, &h.began, "long")
	ended := make(chan error, 1)
	go func() { ended <- h.stop() }()
	time.Sleep(1050 * time.Millisecond) // the node serves for 1 s
	if status := exchange(idle, "late"); status != http.StatusServiceUnavailable {
		t.Errorf("a request on an open connection got status %d, want 503", status)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request in flight was not answered: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("node ended with %v", err)
	}
}
