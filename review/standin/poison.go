package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"burdocklift/platform/stand"
)

const (
	// poisonPause is the time between two arrivals of the request at some machine, and
	// targetBack the time until a crashed target is back.
	poisonPause = 1500 * time.Millisecond
	targetBack  = 2 * time.Second
	// rollPause is the time between the return of a machine and the next SIGTERM.
	rollPause = 7 * time.Second
	// poisonTime is how long the request goes on to come, and poisonLead the time before
	// the first SIGTERM.
	poisonTime = 75 * time.Second
	poisonLead = 8 * time.Second
	// crashesBefore is the number of crashes after which retries count, and
	// allowedRetries how many of them may reach a target.
	crashesBefore  = 3
	allowedRetries = 3
)

// poisonMark is in the ids of all attempts of the request that crashes targets.
const poisonMark = "poison"

// poison holds where the request that crashes targets ran.
type poison struct {
	mu      sync.Mutex
	entries map[string]*Machine // machine that took an attempt from its caller
	crashes int
	third   time.Time // of the third crash
	counted []string
}

// arrives notes that the request begins to run at a target.
func (p *poison) arrives(m *Machine, t *stand.Target, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[id]
	p.crashes++
	calm := entry.InTouch() && m.InTouch()
	m.site.record.Note("%s: target %s runs %s from %s and crashes, crash %d, both machines in touch: %v", m.name, t.ID(), id, entry.name, p.crashes, calm)
	switch {
	case p.crashes == crashesBefore:
		p.third = time.Now()
	case p.crashes > crashesBefore && calm && time.Since(p.third) > contactTime:
		p.counted = append(p.counted, fmt.Sprintf("BUDGET: %s from %s reached target %s %.1f s after the third crash", id, entry.name, t.ID(), time.Since(p.third).Seconds()))
	}
}

// playPoison has a request come again and again that crashes each target, while the
// nodes are restarted in turn.
func playPoison(ctx context.Context, record *Record, trouble bool) ([]string, error) {
	site, err := NewSite(record, Rules([]Route{{"/look/", "safe", "records", 5, 1.5}}))
	if err != nil {
		return nil, err
	}
	defer site.Close()
	p := &poison{entries: make(map[string]*Machine)}
	for i := range 6 {
		m := &Machine{
			name: fmt.Sprintf("side-%d", i+1), zone: fmt.Sprintf("zone-%d", i%2+1), service: "records",
			work: func() time.Duration { return 200 * time.Millisecond },
			onExecution: func(m *Machine, t *stand.Target, e stand.Execution) {
				if strings.HasPrefix(e.ID, poisonMark) {
					p.arrives(m, t, e.ID)
					go m.CrashTarget(t, targetBack)
				}
			},
		}
		if err := site.Add(m); err != nil {
			return nil, err
		}
	}
	if err := site.Begin(ctx); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	load, stop := context.WithTimeout(ctx, poisonTime)
	defer stop()
	if trouble {
		group.Go(func() {
			sleep(load, poisonLead)
			for _, m := range site.machines {
				if load.Err() != nil {
					return
				}
				if err := m.Restart(); err != nil {
					record.Note("%v", err)
				}
				sleep(load, rollPause)
			}
		})
	}
	for n := 0; sleep(load, poisonPause); n++ {
		m := site.machines[n%len(site.machines)]
		id := fmt.Sprintf("%s-%d", poisonMark, n)
		p.mu.Lock()
		p.entries[id] = m
		p.mu.Unlock()
		group.Go(func() {
			record.Note("%s: caller sends %s", m.name, id)
			callers := &Callers{machine: m}
			a, err := callers.Call(http.MethodGet, "/look/poison", id, nil)
			record.Note("%s: caller of %s got status %d, error %v", m.name, id, a.Status, err)
		})
	}
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	record.Note("%d crashes, %d retries count", p.crashes, len(p.counted))
	if len(p.counted) <= allowedRetries {
		return nil, nil
	}
	return p.counted, nil
}
