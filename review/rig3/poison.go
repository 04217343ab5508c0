package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"burdocklift/platform/stand"
)

const (
	// poisonAway is how long a target is away after a crash.
	poisonAway = 1500 * time.Millisecond
	// crashAfter is how long a target takes to crash once it has begun the request.
	crashAfter = 400 * time.Millisecond
	// poisonEvery is the time between two sends of the request.
	poisonEvery = 1500 * time.Millisecond
	// poisonStay is how long the client of the request stays where it leaves early.
	poisonStay = 150 * time.Millisecond
	// poisonSends is how often the request is sent.
	poisonSends = 22
	// mostRetries is how many retries may reach targets after the third crash.
	mostRetries = 3
)

// poisonCount counts what the request that crashes targets did.
type poisonCount struct {
	mu         sync.Mutex
	crashes    int
	thirdCrash time.Time
	sent       map[string]time.Time
	late       int // retries that reached targets and were sent over contactTime after the third crash
}

func (p *poisonCount) send(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[id] = time.Now()
}

func (p *poisonCount) reached(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.thirdCrash.IsZero() && p.sent[id].Sub(p.thirdCrash) > contactTime {
		p.late++
	}
}

func (p *poisonCount) crashed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashes++; p.crashes == 3 {
		p.thirdCrash = time.Now()
	}
}

// poisonSite starts a site of targets that crash some time after they have begun a request
// whose id begins with "poison".
func poisonSite(r *run, service, warm string, delay time.Duration) (*poisonCount, error) {
	p := &poisonCount{sent: make(map[string]time.Time)}
	work := func() time.Duration { return 60 * time.Millisecond }
	began := func(m *machine, e stand.Execution) {
		if !strings.HasPrefix(e.ID, "poison") {
			return
		}
		p.reached(e.ID)
		time.AfterFunc(delay, func() {
			p.crashed()
			m.crashTarget(poisonAway, work)
		})
		time.Sleep(delay)
	}
	for _, dc := range []string{"a", "a", "b", "c"} {
		region := "r"
		if dc == "c" {
			region = "q"
		}
		if _, err := r.site.add(dc, region, service, work, began, func(*machine, stand.Execution) {}); err != nil {
			return nil, err
		}
	}
	if err := r.site.awaitService(warm); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	return p, nil
}

// judge breaks BUDGET if too many retries reached targets.
func (p *poisonCount) judge(r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.record.note("%d crashes; %d retries sent over %v after the third one reached targets", p.crashes, p.late, contactTime)
	fmt.Printf("%d crashes, %d late retries reached targets\n", p.crashes, p.late)
	if p.late > mostRetries {
		r.verdict.breach("BUDGET: %d retries that were sent over %v after the third crash reached targets, at most %d may; %d crashes in all",
			p.late, contactTime, mostRetries, p.crashes)
	}
}

// impatientPoison sends a request again and again that crashes the target which begins it. Its
// client leaves before that, or stays without trouble.
func impatientPoison(r *run) error {
	p, err := poisonSite(r, archive, "/read/warm", crashAfter)
	if err != nil {
		return err
	}
	for n := range poisonSends {
		m := r.site.machines[n%len(r.site.machines)]
		id := fmt.Sprintf("poison-%d", n)
		p.send(id)
		if r.trouble {
			r.sendAndLeave(m, stand.Request{Method: "GET", Host: host, Path: "/read/poison", ID: id, Key: -1, Timeout: patience})
		} else {
			go func() { _, _ = m.ask(id, "GET", "/read/poison", -1, patience) }() // what it got is in the record
		}
		time.Sleep(poisonEvery)
	}
	p.judge(r)
	return nil
}

// sendAndLeave sends a request and closes the connection after poisonStay.
func (r *run) sendAndLeave(m *machine, req stand.Request) {
	r.record.note("client sends %s to %s: %s %s and leaves after %v", req.ID, m.name, req.Method, req.Path, poisonStay)
	c, err := net.DialTimeout("tcp", m.at(portCaller), time.Second)
	if err != nil {
		r.record.note("client cannot connect: %v", err)
		return
	}
	_, err = io.WriteString(c, req.Text())
	time.Sleep(poisonStay)
	r.record.note("client of %s leaves: %v", req.ID, err)
	_ = c.Close() // nothing more is wanted
}

// keyedPoison sends a request with the same path, caller and body again and again, with another
// key each time, or with the same one without trouble.
func keyedPoison(r *run) error {
	p, err := poisonSite(r, desk, "/look/warm", 0)
	if err != nil {
		return err
	}
	for n := range poisonSends {
		m := r.site.machines[0]
		id, key := fmt.Sprintf("poison-%d", n), 30_000
		if r.trouble {
			key = (30_000 + n*7919) % 65536
		}
		p.send(id)
		go func() { _, _ = m.ask(id, "GET", "/look/poison", key, patience) }() // what it got is in the record
		time.Sleep(poisonEvery)
	}
	p.judge(r)
	return nil
}
