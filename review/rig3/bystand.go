package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"burdocklift/platform/stand"
)

const (
	// lookupWork is the service time of the lookups. The longest ones of the small sites take
	// 550 ms on the average and 3.3 s at most.
	lookupWork = time.Second
	// lookupEvery is the time between two lookups of a client.
	lookupEvery = 2 * time.Second
	// lookupClients is the number of clients of each node that send the lookup.
	lookupClients = 8
	// clientRetries is how often a client repeats a request after a failure.
	clientRetries = 2
	// poisons is the number of requests that crash targets, and poisonPause the time between two.
	poisons     = 6
	poisonPause = 2500 * time.Millisecond
	// calmTime is the time before the trouble.
	calmTime = 15 * time.Second
	// recoverTime is the time that the rule leaves for the recovery.
	recoverTime = 15 * time.Second
	// leastShare is the share that has to be served.
	leastShare = 0.25
)

// shares counts the requests of a time, and those that were served.
type shares struct {
	mu           sync.Mutex
	sent, served map[string]int // by phase
	phase        string
}

func (s *shares) begin(phase string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phase
}

func (s *shares) now() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

func (s *shares) count(phase string, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[phase]++
	if served {
		s.served[phase]++
	}
}

func (s *shares) share(phase string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.served[phase]) / float64(max(s.sent[phase], 1))
}

// bystanders sends a lookup again and again, and meanwhile some requests that crash the targets
// which begin them. Then all nodes are killed, as by a final fault. The rule is RECOVER.
func bystanders(r *run) error {
	work := func() time.Duration { return lookupWork }
	began := func(m *machine, e stand.Execution) {
		if strings.HasPrefix(e.ID, "poison") {
			m.crashTarget(poisonAway, work)
		}
	}
	for _, dc := range []string{"a", "a", "b", "c"} {
		region := "r"
		if dc == "c" {
			region = "q"
		}
		if _, err := r.site.add(dc, region, archive, work, began, func(*machine, stand.Execution) {}); err != nil {
			return err
		}
	}
	if err := r.site.awaitService("/read/warm"); err != nil {
		return err
	}
	time.Sleep(contactTime)
	s := &shares{sent: make(map[string]int), served: make(map[string]int), phase: "before"}
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range r.site.machines {
		for c := range lookupClients {
			clients.Go(func() {
				time.Sleep(time.Duration(c*len(r.site.machines)+i) * lookupEvery / time.Duration(lookupClients*len(r.site.machines)))
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: patience + time.Second}
				defer client.CloseIdleConnections()
				tick := time.NewTicker(lookupEvery)
				defer tick.Stop()
				for n := 0; ; n++ {
					select {
					case <-stopped:
						return
					case <-tick.C:
					}
					phase := s.now()
					a, err := m.askOn(client, fmt.Sprintf("c%d-%d-%d", i, c, n), "GET", "/read/list", -1, patience)
					s.count(phase, err == nil && a.Status == http.StatusOK)
				}
			})
		}
	}
	time.Sleep(calmTime)
	for k := range poisons {
		if r.trouble {
			go r.sendPoison(r.site.machines[k%len(r.site.machines)], k)
		}
		time.Sleep(poisonPause)
	}
	s.begin("recovery")
	if err := r.site.killAll(); err != nil {
		return err
	}
	time.Sleep(recoverTime)
	s.begin("after")
	time.Sleep(8 * time.Second)
	s.begin("end")
	close(stopped)
	clients.Wait()
	for _, phase := range []string{"before", "recovery", "after"} {
		r.record.note("%s: %.3f served", phase, s.share(phase))
		fmt.Printf("%s: %.3f served\n", phase, s.share(phase))
	}
	if s.share("before") >= leastShare && s.share("after") < leastShare {
		r.verdict.breach("RECOVER: %.3f of the requests were served before the final fault, and %.3f of those that were sent over %v after it",
			s.share("before"), s.share("after"), recoverTime)
	}
	return nil
}

// sendPoison sends a request that crashes the targets which begin it, and repeats it at once
// after a failure, as clients do.
func (r *run) sendPoison(m *machine, number int) {
	for try := range 1 + clientRetries {
		a, err := m.ask(fmt.Sprintf("poison-%d-%d", number, try), "GET", fmt.Sprintf("/read/poison-%d", number), -1, patience)
		if err == nil && a.Status == http.StatusServiceUnavailable {
			return // the client does not come back
		}
	}
}
