package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdocklift/platform/stand"
)

const (
	// uploadBytes is the size of one body of legal size: the rules allow 64 MiB.
	uploadBytes = 60 << 20
	// freezeTime is how long the node that owns the key of the upload stands still.
	freezeTime = 5 * time.Second
	// uplinkMemory and uplinkRate are those of the smallest machines, in MiB and Mbit/s.
	uplinkMemory = 184
	uplinkRate   = 10.0
	// Requests count if they are sent so long after the upload, when the frozen node runs
	// again and is in touch.
	uplinkFrom  = 14 * time.Second
	uplinkUntil = 44 * time.Second
	// lookers callers look up a record each lookPause. One answer in largeEvery has largeAnswer
	// bytes, the others have smallAnswer.
	lookers     = 20
	lookPause   = 400 * time.Millisecond
	largeEvery  = 10
	smallAnswer = 4 << 10
	largeAnswer = 24 << 10
	// routeTimeout is the timeout of the routes of stand.Rules, and answerSlack the time after
	// it within which the rule wants an answer.
	routeTimeout = 2 * time.Second
	answerSlack  = 500 * time.Millisecond
	// lookPatience is how long a caller waits.
	lookPatience = 10 * time.Second
	// Bounds of the rule.
	unansweredLeast = 8
)

// playUplink freezes a node for some seconds, while a client of another node sends it a large
// body. It then checks that callers of that other node, which is not disturbed, are answered
// by the timeout of their route.
func playUplink(l *lab, trouble bool) (int, error) {
	l.memory, l.link = uplinkMemory, uplinkRate
	sized := &sizer{}
	l.wrapTarget = sized.wrap
	if err := l.startSite(3, stand.Config{
		WorkTime: func() time.Duration { return 5 * time.Millisecond }, OnExecution: func(*stand.Target, stand.Execution) {},
	}); err != nil {
		return 0, err
	}
	sized.on.Store(true)
	near, frozen := l.nodes[0], l.nodes[1]
	u := &uplinkCase{lab: l, address: near.at(portCaller), end: time.Now().Add(uplinkUntil)}
	nearKey, farKey := firstKey(near.target), firstKey(frozen.target)
	if nearKey < 0 || farKey < 0 {
		return 0, fmt.Errorf("%w: a target holds no keys", errSetup)
	}
	u.from = time.Now().Add(uplinkFrom)
	var group sync.WaitGroup
	for i := range lookers {
		group.Go(func() { u.look(i, nearKey) })
	}
	if trouble {
		l.notef("node %s stands still for %v", frozen.name, freezeTime)
		if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return 0, err
		}
		group.Go(func() { u.upload(farKey) })
		time.Sleep(freezeTime)
		if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return 0, err
		}
		l.notef("node %s runs again", frozen.name)
	}
	group.Wait()
	l.notef("requests sent from %v after the upload on: %d; unanswered at the route's timeout %d, of these no answer %v later %d; their answers: %d",
		uplinkFrom, u.counted.Load(), u.late.Load(), answerSlack, u.missing.Load(), u.answered.Load())
	if u.counted.Load() == 0 {
		return 0, fmt.Errorf("%w: no request counts", errSetup)
	}
	late, missing := u.late.Load(), u.missing.Load()
	if missing >= unansweredLeast && 2*missing > late {
		l.notef("CONFIG: %d of %d requests that were unanswered at their route's timeout have no answer %v later", missing, late, answerSlack)
		return int(missing), nil
	}
	return 0, nil
}

// firstKey returns a key that a target holds, or -1.
func firstKey(t *stand.Target) int {
	for _, h := range t.Holds() {
		return h.From
	}
	return -1
}

type uplinkCase struct {
	lab       *lab
	address   string
	from, end time.Time

	counted, late, missing, answered atomic.Int64
}

// upload sends one body of legal size to the frozen node's key.
func (u *uplinkCase) upload(key int) {
	conn, err := net.DialTimeout("tcp", u.address, time.Second)
	if err != nil {
		u.lab.notef("upload: %v", err)
		return
	}
	defer func() { _ = conn.Close() }() // nothing is under way on it
	u.lab.notef("a client posts %d bytes to key %d", uploadBytes, key)
	head := fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: upload\r\nX-Deadline-Ms: 5000\r\nX-Shard-Key: %d\r\nContent-Length: %d\r\n\r\n",
		host, key, uploadBytes)
	if _, err = io.Copy(conn, io.MultiReader(strings.NewReader(head), io.LimitReader(zeros{}, uploadBytes))); err != nil {
		u.lab.notef("upload: %v", err)
		return
	}
	c := caller{conn: conn}
	resp, body, err := c.read(lookPatience)
	if err != nil {
		u.lab.notef("upload: %v", err)
		return
	}
	u.lab.notef("the upload is answered %d %q", resp.StatusCode, body)
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// look sends requests that may be repeated, for a key of the near node's own target.
func (u *uplinkCase) look(i, key int) {
	time.Sleep(time.Duration(i) * lookPause / lookers)
	var c *caller
	for k := 0; time.Now().Before(u.end); k++ {
		if c == nil {
			c = dialCaller(u.address)
		}
		if c == nil {
			time.Sleep(callerBackOff)
			continue
		}
		id := fmt.Sprintf("look-%d-%d", i, k)
		sent := time.Now()
		err := c.send("GET", "/look/x", id, key, lookPatience)
		var resp *http.Response
		if err == nil {
			resp, _, err = c.read(lookPatience)
		}
		took := time.Since(sent)
		u.count(id, sent, took, resp, err)
		if err != nil || resp.Close {
			c = c.close()
		}
		time.Sleep(lookPause)
	}
	if c != nil {
		c.close()
	}
}

func (u *uplinkCase) count(id string, sent time.Time, took time.Duration, resp *http.Response, err error) {
	if sent.Before(u.from) {
		return
	}
	u.counted.Add(1)
	if err == nil && resp.StatusCode == http.StatusOK {
		u.answered.Add(1)
	}
	if took < routeTimeout {
		return
	}
	u.late.Add(1)
	if took > routeTimeout+answerSlack {
		u.missing.Add(1)
		status := 0
		if err == nil {
			status = resp.StatusCode
		}
		u.lab.notef("%s: no answer for %v, then status %d, error %v", id, took.Round(time.Millisecond), status, err)
	}
}

// sizer gives the answers of targets their sizes.
type sizer struct {
	on    atomic.Bool
	count atomic.Int64
}

func (s *sizer) wrap(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		rec := httptest.NewRecorder()
		inner.ServeHTTP(rec, req)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		body := rec.Body.Bytes()
		if rec.Code == http.StatusOK && s.on.Load() {
			size := smallAnswer
			if s.count.Add(1)%largeEvery == 0 {
				size = largeAnswer
			}
			body = bytes.Repeat([]byte("r"), size)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body) // the caller may have left
	})
}
