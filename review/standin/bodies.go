package main

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"burdocklift/platform/stand"
)

const (
	// bodySize is the size of the bodies, of which the rules allow 64 MiB.
	bodySize = 10 << 20
	// bodyWork is the service time, and bodyPause the time between two requests at each
	// machine: a target runs 9.6 of its 12 slots.
	bodyWork  = 2 * time.Second
	bodyPause = 208 * time.Millisecond
	// bodyCalm and bodyTail are the times of usual traffic before and after the burst.
	bodyCalm = 10 * time.Second
	bodyTail = 5 * time.Second
	// burstPause and burstTime are those of a burst to 1.7 times the usual traffic.
	burstPause = bodyPause * 10 / 17
	burstTime  = 5 * time.Second
	// allowedCuts is how often a connection may be closed without an answer.
	allowedCuts = 3
)

// playBodies sends requests with large bodies, which become more for a while.
func playBodies(ctx context.Context, record *Record, trouble bool) ([]string, error) {
	site, err := NewSite(record, Rules([]Route{{"/import/", "unsafe", "records", 10, 6}}))
	if err != nil {
		return nil, err
	}
	defer site.Close()
	var mu sync.Mutex
	ran := make(map[string]string) // target by request
	for i := range 3 {
		m := &Machine{
			name: fmt.Sprintf("side-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), service: "records",
			work: func() time.Duration { return bodyWork },
			onExecution: func(m *Machine, t *stand.Target, e stand.Execution) {
				record.Note("%s: target %s runs %s", m.name, t.ID(), e.ID)
				mu.Lock()
				defer mu.Unlock()
				ran[e.ID] = t.ID()
			},
		}
		if err := site.Add(m); err != nil {
			return nil, err
		}
	}
	if err := site.Begin(ctx); err != nil {
		return nil, err
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), bodySize/16)
	began := time.Now()
	end := began.Add(bodyCalm + burstTime + bodyTail)
	var group sync.WaitGroup
	var broken []string
	for i, m := range site.machines {
		callers := &Callers{machine: m}
		group.Go(func() {
			for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
				pause := bodyPause
				if since := time.Since(began); trouble && since > bodyCalm && since < bodyCalm+burstTime {
					pause = burstPause
				}
				sleep(ctx, pause)
				id := fmt.Sprintf("%d-%d", i+1, n)
				group.Go(func() {
					record.Note("%s: caller sends %s", m.name, id)
					a, err := callers.Call("POST", "/import/x", id, body)
					record.Note("%s: caller of %s got status %d, kept connection %v, error %v", m.name, id, a.Status, a.Kept, err)
					mu.Lock()
					defer mu.Unlock()
					if err != nil && a.Kept && ran[id] != "" {
						broken = append(broken, fmt.Sprintf("LOST: %s ran at %s, its kept connection to %s was closed without an answer", id, ran[id], m.name))
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
