package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"burdocklift/platform/stand"
)

const (
	// contactTime is the time without a disturbance after which a machine is in touch.
	contactTime = 3 * time.Second
	// longWork is the service time of a request in stopTwice: the longest ones of the small
	// sites take 2.1 s and 3.3 s.
	longWork = 800 * time.Millisecond
	// patience is the time limit of the clients, and of the routes.
	patience = 2 * time.Second
	// betweenStops is the time from a SIGTERM to the next one.
	betweenStops = time.Second
	// lastSixth is the part of the grace time in which work that is cut does not count.
	lastSixth = graceTime / 6
)

// stopTwice stops a node by SIGTERM, and once more while it drains. The rule is LOST: around a
// planned stop, no request that was passed on to a target may end without an answer.
func stopTwice(r *run) error {
	var mu sync.Mutex
	begun := make(map[string]time.Time)
	began := func(_ *machine, e stand.Execution) {
		mu.Lock()
		defer mu.Unlock()
		begun[e.ID] = time.Now()
	}
	ended := func(*machine, stand.Execution) {}
	work := func() time.Duration { return longWork }
	for _, dc := range []string{"a", "a", "b", "c"} {
		region := "r"
		if dc == "c" {
			region = "q"
		}
		if _, err := r.site.add(dc, region, archive, work, began, ended); err != nil {
			return err
		}
	}
	if err := r.site.awaitService("/read/warm"); err != nil {
		return err
	}
	time.Sleep(contactTime) // all machines are in touch
	m := r.site.machines[0]
	var firstStop time.Time
	var clients sync.WaitGroup
	stopped := make(chan struct{})
	for c := range 8 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: patience + time.Second}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				method, path := "GET", "/read/x"
				if n%2 == 1 {
					method, path = "POST", "/book/x"
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				sent := time.Now()
				_, err := m.askOn(client, id, method, path, -1, patience)
				took := time.Since(sent)
				if err == nil {
					continue
				}
				mu.Lock()
				at, ran := begun[id]
				first := firstStop
				mu.Unlock()
				cut := sent.Add(took).Sub(first)
				// Only requests that a target began count, which were cut before their time
				// limit, not in the last sixth of the grace time.
				if ran && !first.IsZero() && took < patience && cut >= 0 && cut < graceTime-lastSixth {
					r.verdict.breach("LOST: %s %s began at its target %v after it was sent, and its connection ended after %v without an answer, %v after the first SIGTERM",
						method, id, at.Sub(sent).Round(time.Millisecond), took.Round(time.Millisecond), cut.Round(time.Millisecond))
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	firstStop = time.Now()
	mu.Unlock()
	m.signal(syscall.SIGTERM)
	if r.trouble {
		time.Sleep(betweenStops)
		m.signal(syscall.SIGTERM)
	}
	r.record.note("node %s: %s", m.name, m.waitExit(graceTime))
	close(stopped)
	clients.Wait()
	return nil
}
