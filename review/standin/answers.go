package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// answerSize is the size of the answers, and answerWork the service time.
	answerSize = 4 << 20
	answerWork = 300 * time.Millisecond
	// answerPause is the time between two requests at each machine: answers of 88 MB a
	// second, where the host's link carries 125 MB a second.
	answerPause = 47 * time.Millisecond
	// answerBurst is the same in a burst to 1.7 times the usual traffic.
	answerBurst = answerPause * 10 / 17
	// pingInterval is the time between two pings.
	pingInterval = 870 * time.Millisecond
)

// BigTarget is a target without keys whose answers are large.
type BigTarget struct {
	machine *Machine
	id      string
	body    []byte
	mu      sync.Mutex
	ran     map[string]bool
	running int
}

// ServeHTTP implements http.Handler.
func (t *BigTarget) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	t.mu.Lock()
	full := t.running >= 12
	if !full {
		t.running++
		t.ran[id] = true
	}
	t.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.machine.site.record.Note("%s: target %s runs %s", t.machine.name, t.id, id)
	select {
	case <-time.After(answerWork):
	case <-req.Context().Done():
	}
	w.Header().Set("X-Response-Signature", t.id)
	_, _ = w.Write(t.body) // the node may have gone
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
}

// Run serves and sends pings until the context ends.
func (t *BigTarget) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", t.machine.at(portTarget))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // ends with Close
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go t.ping(ctx)
	return nil
}

func (t *BigTarget) ping(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	startedAt := time.Now()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, err := json.Marshal(map[string]any{
			"born": startedAt.UnixMilli(), "address": t.machine.at(portTarget),
			"info":   map[string]any{"service": t.machine.service, "version": "v1", "zone": t.machine.zone, "slots": 12},
			"status": map[string]any{"state": "ready", "sequence": sequence, "coldRemainingS": 0},
			"holds":  []int{}, "freed": []int{},
		})
		if err != nil {
			panic(fmt.Sprintf("encode ping: %v", err))
		}
		url := "http://" + t.machine.at(portBeat) + "/api/instances/" + t.id
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
		if err != nil {
			panic(fmt.Sprintf("create ping: %v", err))
		}
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // not needed
			_ = resp.Body.Close()                 // as above
		}
		sleep(ctx, pingInterval)
	}
}

// playAnswers asks for large answers, which become more for a while.
func playAnswers(ctx context.Context, record *Record, trouble bool) ([]string, error) {
	site, err := NewSite(record, Rules([]Route{{"/export/", "safe", "records", 10, 6}}))
	if err != nil {
		return nil, err
	}
	defer site.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	targets := make(map[string]*BigTarget)
	for i := range 2 {
		m := &Machine{name: fmt.Sprintf("side-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), service: "records", bare: true}
		if err := site.Add(m); err != nil {
			return nil, err
		}
		t := &BigTarget{machine: m, id: "i-" + m.name, body: []byte(strings.Repeat("0123456789abcdef", answerSize/16)), ran: make(map[string]bool)}
		if err := t.Run(ctx); err != nil {
			return nil, err
		}
		targets[m.name] = t
	}
	if err := site.Begin(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	end := began.Add(bodyCalm + burstTime + bodyTail)
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for i, m := range site.machines {
		callers := &Callers{machine: m}
		group.Go(func() {
			for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
				pause := answerPause
				if since := time.Since(began); trouble && since > bodyCalm && since < bodyCalm+burstTime {
					pause = answerBurst
				}
				sleep(ctx, pause)
				id := fmt.Sprintf("%d-%d", i+1, n)
				group.Go(func() {
					record.Note("%s: caller sends %s", m.name, id)
					a, err := callers.Call(http.MethodGet, "/export/x", id, nil)
					record.Note("%s: caller of %s got status %d, kept connection %v, error %v", m.name, id, a.Status, a.Kept, err)
					ran := false
					for _, t := range targets {
						t.mu.Lock()
						ran = ran || t.ran[id]
						t.mu.Unlock()
					}
					mu.Lock()
					defer mu.Unlock()
					if err != nil && a.Kept && ran {
						broken = append(broken, fmt.Sprintf("LOST: %s ran, its kept connection to %s was closed without an answer", id, m.name))
					}
				})
			}
		})
	}
	group.Wait()
	for _, m := range site.machines {
		record.Note("%s: at most %d MiB", m.name, m.Peak())
	}
	if len(broken) <= allowedCuts {
		return nil, nil
	}
	return broken, nil
}
