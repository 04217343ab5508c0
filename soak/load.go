package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"burdocklift/platform/stand"
	"burdocklift/span"
)

const (
	// callers is the number of callers of each node, and pause the time between two
	// requests of one: 40 requests a second for each node.
	callers = 6
	pause   = 150 * time.Millisecond
	// patience is how long a caller waits, and patienceSlack what the answer may take
	// besides.
	patience      = 2 * time.Second
	patienceSlack = time.Second
	// calmTime is the time without a disturbance after which a planned stop may cut no
	// request.
	calmTime = 3 * time.Second
	// maxStay is how long callers that leave stay, in milliseconds.
	maxStay = 300
	// hotKeys of all requests for keys are for a few neighbouring ones.
	hotKeys = 0.3
)

// caller sends requests to one node over kept connections until the context ends.
func (r *Runner) caller(ctx context.Context, m *Machine, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: patience + patienceSlack}
	defer client.CloseIdleConnections()
	for n := 0; wait(ctx, pause); n++ {
		id := fmt.Sprintf("%s-%d-%d", m.name, seed, n)
		switch rng.IntN(8) {
		case 0, 1:
			r.call(ctx, client, m, "POST", "/pay/x", id, key(rng), false)
		case 2:
			r.call(ctx, client, m, "GET", "/look/x", id, key(rng), true)
		case 3, 4:
			r.call(ctx, client, m, "GET", "/read/x", id, -1, true)
		case 5:
			r.probe(ctx, client, m, id, rng)
		default:
			r.leave(ctx, m, id, rng)
		}
	}
}

func key(rng *rand.Rand) int {
	if rng.Float64() < hotKeys {
		return 30_000 + rng.IntN(50)
	}
	return rng.IntN(span.MaxKey + 1)
}

// send sends a request, which ends with its own time: a run that ends cuts none.
func (r *Runner) send(ctx context.Context, client *http.Client, m *Machine, method, path, id string, key int) (stand.Response, error) {
	return stand.Send(context.WithoutCancel(ctx), client, m.at(portCaller), stand.Request{
		Method: method, Host: host, Path: path, ID: id, Key: key, Timeout: patience,
	})
}

// call sends one request and has its end checked.
func (r *Runner) call(ctx context.Context, client *http.Client, m *Machine, method, path, id string, key int, repeats bool) {
	calm := r.calm()
	r.check.Sends(id, repeats)
	a, err := r.send(ctx, client, m, method, path, id, key)
	r.check.Answer(id, a, err, calm && r.stopsPlanned(m))
}

// How callers leave.
const (
	leaveAtOnce = iota
	leaveLater
	leaveAfterMore // later, and after the start of a further request
	leaveKinds     // number of the above
)

// leave sends a request and closes the connection, in most cases before the answer
// is due.
func (r *Runner) leave(ctx context.Context, m *Machine, id string, rng *rand.Rand) {
	req := stand.Request{Method: "GET", Host: host, Path: "/read/x", ID: id, Key: -1, Timeout: patience}
	switch rng.IntN(4) {
	case 0:
		req.Path, req.Key = "/look/x", key(rng)
	case 1:
		req.Method, req.Path, req.Key = "POST", "/pay/x", key(rng)
	}
	stay := time.Duration(rng.IntN(maxStay)) * time.Millisecond
	how := rng.IntN(leaveKinds)
	conn, err := net.DialTimeout("tcp", m.at(portCaller), patience)
	if err != nil {
		return // the node does not run
	}
	r.check.Sends(id, req.Method == "GET")
	_, _ = io.WriteString(conn, req.Text()) // fails if the node ends meanwhile
	if how != leaveAtOnce {
		wait(ctx, stay)
	}
	if how == leaveAfterMore {
		_, _ = io.WriteString(conn, "GET /re") // as above
		wait(ctx, stay/2)
	}
	_ = conn.Close() // as above
	r.site.left.Left(id, m, req.Method == "GET")
}

// probe asks whether a node knows the route of a version.
func (r *Runner) probe(ctx context.Context, client *http.Client, m *Machine, id string, rng *rand.Rand) {
	p := m.Process()
	newest := r.site.Version()
	version := max(2, newest-rng.IntN(2))
	r.check.Sends(id, true)
	sent := time.Now()
	a, err := r.send(ctx, client, m, "GET", fmt.Sprintf("/v%d/x", version), id, -1)
	if err != nil || p == nil || p != m.Process() {
		return
	}
	switch a.Status {
	case http.StatusNotFound:
		r.check.Rules(m.name, version, false, &p.known)
		if due := r.site.Written(version); m.Served(due, sent) && sent.Sub(due) > applyTime+applySlack {
			r.check.Breaks("CONFIG", "%s denies a route of version %d %v after it was written", m.name, version, sent.Sub(due))
		}
	case http.StatusOK:
		r.check.Rules(m.name, version, true, &p.known)
	}
}

// served returns which share of some requests of a kind is served now.
func (r *Runner) served(ctx context.Context, tries int) float64 {
	client := &http.Client{Timeout: patience + patienceSlack}
	defer client.CloseIdleConnections()
	good, sent := 0, 0
	for n := range tries {
		for i, m := range r.site.machines {
			path, k := "/look/x", (n*7919+i*104729)%(span.MaxKey+1)
			if n%2 == 1 {
				path, k = "/read/x", -1
			}
			id := fmt.Sprintf("end-%d-%s-%d", time.Now().UnixNano(), m.name, n)
			r.check.Sends(id, true)
			sent++
			if a, err := r.send(ctx, client, m, "GET", path, id, k); err == nil && a.Status == http.StatusOK {
				good++
			}
		}
	}
	return float64(good) / float64(sent)
}
