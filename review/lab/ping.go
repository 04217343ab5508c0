package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"burdocklift/platform/stand"
)

const (
	pingNodes = 4
	// watchTime is how long holds are watched after the ping, in steps of watchStep.
	watchTime = 12 * time.Second
	watchStep = 10 * time.Millisecond
	// sharedLimit is how long two targets may hold the same keys.
	sharedLimit = 500 * time.Millisecond
	pingTimeout = time.Second
)

// playPing sends a node one ping of another writer, which lacks its address, and watches
// whether two targets hold the same keys.
func playPing(l *lab, trouble bool) (int, error) {
	renewed := make(chan struct{}, 1)
	err := l.startSite(pingNodes, stand.Config{
		WorkTime: func() time.Duration { return 50 * time.Millisecond }, OnExecution: func(*stand.Target, stand.Execution) {},
		OnHoldsChange: func(t *stand.Target) {
			if t.ID() != targetID(l.nodes[0].name, 1) {
				return
			}
			select {
			case renewed <- struct{}{}:
			default:
			}
		},
	})
	if err != nil {
		return 0, err
	}
	time.Sleep(watchTime / 4)
	l.noteHolds()
	// The ping comes just after the node has renewed the hold of its target.
	<-renewed
	<-renewed
	if trouble {
		if err := l.sendForeignPing(l.nodes[0]); err != nil {
			return 0, err
		}
	}
	broken := l.watchHolds()
	l.noteHolds()
	answers := make(map[string]int)
	for k := range startKeys {
		c := dialCaller(l.nodes[1].at(portCaller))
		if c == nil {
			continue
		}
		resp, _, err := c.post("/pay/x", fmt.Sprintf("after-%d", k), k*(1<<16)/startKeys)
		status := "none"
		if err == nil {
			status = resp.Status
		}
		answers[status]++
		c.close()
	}
	l.notef("%d requests for keys of all targets, sent afterwards: %v", startKeys, answers)
	return broken, nil
}

// sendForeignPing sends a ping without an address, which names no target to use.
func (l *lab) sendForeignPing(n *node) error {
	ping, err := json.Marshal(map[string]any{
		"born":   time.Now().UnixMilli(),
		"info":   map[string]any{"service": desk, "version": "v1", "zone": "zone-0", "slots": targetSlots},
		"status": map[string]any{"state": "draining", "sequence": 1, "coldRemainingS": 0},
		"holds":  []any{}, "freed": []any{},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+n.at(portHeartbeat)+"/api/instances/other-writer", bytes.NewReader(ping))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: pingTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	answer, err := io.ReadAll(resp.Body)
	l.notef("node %s gets a ping of another writer, without an address: %s", n.name, ping)
	l.notef("it answers %d %s", resp.StatusCode, bytes.TrimSpace(answer))
	return err
}

// noteHolds writes the keys that each target holds into the record.
func (l *lab) noteHolds() {
	for _, n := range l.nodes {
		l.notef("%s holds %v", n.target.ID(), n.target.Holds())
	}
}

// pair is two targets, by their places.
type pair struct{ a, b int }

// watchHolds returns how many pairs of targets held the same keys for longer than allowed.
func (l *lab) watchHolds() int {
	since := make(map[pair]time.Time) // when both began to hold a key
	told := make(map[pair]bool)
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(watchStep) {
		now := time.Now()
		for a := range l.nodes {
			for b := range a {
				p := pair{a, b}
				from, to, shared := sharedKeys(l.nodes[a].target.Holds(), l.nodes[b].target.Holds())
				if !shared {
					delete(since, p)
					continue
				}
				if since[p].IsZero() {
					since[p] = now
				}
				if now.Sub(since[p]) > sharedLimit && !told[p] {
					told[p] = true
					l.notef("OWNER: %s and %s have both held keys for over %v, now %d to %d",
						l.nodes[a].target.ID(), l.nodes[b].target.ID(), sharedLimit, from, to)
				}
			}
		}
	}
	return len(told)
}

// sharedKeys returns a range of keys that two targets hold.
func sharedKeys(a, b []stand.KeyRange) (from, to int, shared bool) {
	for _, x := range a {
		for _, y := range b {
			if x.From <= y.To && y.From <= x.To {
				return max(x.From, y.From), min(x.To, y.To), true
			}
		}
	}
	return 0, 0, false
}
