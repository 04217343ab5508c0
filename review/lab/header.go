package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklift/platform/stand"
)

const (
	headerNodes = 16
	// callersByNode callers of each node send a request each headerPause.
	callersByNode = 2
	headerPause   = 100 * time.Millisecond
	// before is how long requests are sent before the final fault.
	before = 8 * time.Second
	// killedTime is how long the killed processes are down.
	killedTime = time.Second
	// recovery is the recoveryS of the sheet, and judged how long requests count after it.
	recovery = 15 * time.Second
	judged   = 15 * time.Second
	// officer is a header of the callers, with a byte of Latin-1.
	officer = "X-Officer: Jos\xe9"
	// servedLeast is the share of the requests that the rule wants served, one in so many.
	servedLeast = 4
)

// playHeader sends requests with a header that is not ASCII, kills all nodes, and checks that
// requests are served again.
func playHeader(l *lab, trouble bool) (int, error) {
	err := l.startSite(headerNodes, stand.Config{
		WorkTime: func() time.Duration { return 5 * time.Millisecond }, OnExecution: func(*stand.Target, stand.Execution) {},
	})
	if err != nil {
		return 0, err
	}
	h := &headerCase{lab: l}
	var group sync.WaitGroup
	end := make(chan struct{})
	for i := range callersByNode * len(l.nodes) {
		group.Go(func() { h.call(i, end) })
	}
	time.Sleep(before)
	served, sent := h.take()
	l.notef("before: %d of %d requests served", served, sent)
	if servedLeast*served < sent {
		close(end)
		group.Wait()
		return 0, fmt.Errorf("%w: less than a quarter is served before the fault", errSetup)
	}
	if trouble {
		l.notef("all processes are killed")
		for _, n := range l.nodes {
			n.kill()
		}
		time.Sleep(killedTime)
		for _, n := range l.nodes {
			if err := n.start(); err != nil {
				return 0, err
			}
		}
		l.notef("all processes run again")
	}
	time.Sleep(recovery)
	served, sent = h.take()
	l.notef("in the %v after that: %d of %d requests served", recovery, served, sent)
	time.Sleep(judged)
	served, sent = h.take()
	close(end)
	group.Wait()
	l.notef("in the next %v: %d of %d requests served; all answers: %v", judged, served, sent, h.counts())
	if servedLeast*served < sent {
		l.notef("RECOVER: less than a quarter of the requests is served later than %v after the processes run again", recovery)
		return 1, nil
	}
	return 0, nil
}

type headerCase struct {
	lab          *lab
	served, sent atomic.Int64

	mu      sync.Mutex
	answers map[string]int
}

// take returns the counts since it was last called.
func (h *headerCase) take() (served, sent int64) { return h.served.Swap(0), h.sent.Swap(0) }

func (h *headerCase) counts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answers
}

// call sends requests to one node until the end.
func (h *headerCase) call(i int, end <-chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(i), 3))
	address := h.lab.nodes[i%len(h.lab.nodes)].at(portCaller)
	var c *caller
	for k := 0; ; k++ {
		select {
		case <-end:
			return
		case <-time.After(headerPause):
		}
		if c == nil {
			c = dialCaller(address)
		}
		h.sent.Add(1)
		answer := "no connection"
		if c != nil {
			c.header = officer
			resp, _, err := c.post("/pay/x", fmt.Sprintf("officer-%d-%d", i, k), rng.IntN(1<<16))
			switch {
			case err != nil:
				answer, c = "no answer", c.close()
			case resp.StatusCode == http.StatusOK:
				h.served.Add(1)
				answer = resp.Status
			default:
				answer = resp.Status
			}
		}
		h.mu.Lock()
		if h.answers == nil {
			h.answers = make(map[string]int)
		}
		h.answers[answer]++
		h.mu.Unlock()
	}
}
