package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdocklift/platform/stand"
)

const (
	evictTime = 70 * time.Second
	// evictCallers send a fee once in about evictPause each, on a kept connection.
	evictCallers = 250
	evictPause   = time.Second
	// evictSpread is by how much the pauses of a caller differ.
	evictSpread = 2 * time.Millisecond
	// openBodies clients send a body of bodyBytes but for its last byte and stay open. One
	// whose connection is closed comes back after comeBack.
	openBodies = 1400
	bodyBytes  = 4096
	comeBack   = 150 * time.Millisecond
	// callerBackOff is the wait of a caller whose connection was closed.
	callerBackOff = 500 * time.Millisecond
	reportPause   = 5 * time.Second
)

// playEvict has callers post a fee a second on kept connections, while other clients open
// many connections, send a body but for its end, and stay.
func playEvict(l *lab, trouble bool) (int, error) {
	e := &eviction{lab: l}
	err := l.startSite(3, stand.Config{
		WorkTime: func() time.Duration { return 2 * time.Millisecond },
		OnExecution: func(_ *stand.Target, x stand.Execution) {
			e.runs.Add(1)
			e.ran.Store(x.ID, true)
		},
	})
	if err != nil {
		return 0, err
	}
	e.address, e.end = l.nodes[0].at(portCaller), time.Now().Add(evictTime)
	var group sync.WaitGroup
	for i := 0; trouble && i < openBodies; i++ {
		group.Go(func() {
			for time.Now().Before(e.end) {
				e.stopShort(i)
				time.Sleep(comeBack)
			}
		})
	}
	for i := range evictCallers {
		group.Go(func() { e.call(i) })
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	e.report(done)
	if e.answered.Load() == 0 {
		return 0, fmt.Errorf("%w: no fee was answered", errSetup)
	}
	return int(e.broken.Load()), nil
}

type eviction struct {
	lab     *lab
	address string
	end     time.Time
	ran     sync.Map // ids of fees that a target ran

	sent, runs, broken, answered, refused, closed, opened atomic.Int64
}

// report writes what happened so far into the record, until the callers have ended.
func (e *eviction) report(done <-chan struct{}) {
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(reportPause):
		}
		e.lab.notef("fees sent %d, run %d, answered by a target %d, refused %d, success without a target %d; connections of callers closed %d; "+
			"bodies that stopped short %d",
			e.sent.Load(), e.runs.Load(), e.answered.Load(), e.refused.Load(), e.broken.Load(), e.closed.Load(), e.opened.Load())
	}
}

// stopShort sends a body of legal size but for its last byte, and stays until the node closes
// the connection.
func (e *eviction) stopShort(i int) {
	conn, err := net.DialTimeout("tcp", e.address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // nothing is read from it
	e.opened.Add(1)
	_, err = fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: open-%d\r\nX-Shard-Key: 1\r\nContent-Length: %d\r\n\r\n%s",
		host, i, bodyBytes, strings.Repeat("x", bodyBytes-1))
	if err == nil && conn.SetReadDeadline(e.end) == nil {
		_, _ = io.Copy(io.Discard, conn) // ends when the node closes the connection
	}
}

// call posts a fee about once a second on a kept connection.
func (e *eviction) call(i int) {
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	time.Sleep(time.Duration(rng.Int64N(int64(evictPause))))
	var c *caller
	for k := 0; time.Now().Before(e.end); k++ {
		if c == nil {
			c = dialCaller(e.address)
		}
		if c == nil {
			time.Sleep(callerBackOff)
			continue
		}
		id := fmt.Sprintf("fee-%d-%d", i, k)
		e.sent.Add(1)
		resp, body, err := c.post("/pay/x", id, rng.IntN(1<<16))
		if err != nil {
			e.closed.Add(1)
			c = c.close()
			time.Sleep(callerBackOff)
			continue
		}
		e.check(id, resp, body)
		if resp.Close {
			c = c.close()
		}
		time.Sleep(evictPause - evictSpread/4 + time.Duration(rng.Int64N(int64(evictSpread))))
	}
	if c != nil {
		c.close()
	}
}

// check applies the rule: no success without the target's signature.
func (e *eviction) check(id string, resp *http.Response, body []byte) {
	switch {
	case resp.StatusCode/100 != 2:
		e.refused.Add(1)
	case resp.Header.Get("X-Response-Signature") == "":
		e.broken.Add(1)
		_, ran := e.ran.Load(id)
		e.lab.notef("MIXED: %s is answered %d without a signature, with %d bytes of body; a target has run it: %t; header %v",
			id, resp.StatusCode, len(body), ran, resp.Header)
	default:
		e.answered.Add(1)
	}
}
