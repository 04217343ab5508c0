package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"burdocklift/platform/stand"
)

const (
	// writerDelay is the time from the acknowledgement of the drain to the other writer's
	// ping.
	writerDelay = 450 * time.Millisecond
	// drainWait is the time after the start of the drain in which the holds are checked.
	drainWait = 12 * time.Second
	// sampleInterval is the time between two looks at the holds.
	sampleInterval = 10 * time.Millisecond
	// allowedOverlap is how long two targets may hold the same keys.
	allowedOverlap = 500 * time.Millisecond
)

// pingWithoutLists sends one ping in the name of a target that lacks the lists of keys. Its
// sequence is the time of day, which is higher than the target's count.
func pingWithoutLists(ctx context.Context, m *Machine, id string, startedAt time.Time) {
	body, err := json.Marshal(map[string]any{
		"born": startedAt.UnixMilli(), "address": m.at(portTarget),
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": 12},
		"status": map[string]any{"state": "ready", "sequence": time.Now().UnixMilli(), "coldRemainingS": 0},
	})
	if err != nil {
		panic(fmt.Sprintf("encode ping: %v", err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.at(portBeat)+"/api/instances/"+id, bytes.NewReader(body))
	if err != nil {
		panic(fmt.Sprintf("create ping: %v", err))
	}
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		m.site.record.Note("%s: another writer's ping without lists: %v", m.name, err)
		return
	}
	m.site.record.Note("%s: another writer's ping without lists: status %d", m.name, resp.StatusCode)
	_ = resp.Body.Close() // not read
}

// overlap returns keys that two targets hold.
func overlap(a, b []stand.KeyRange) (stand.KeyRange, bool) {
	for _, x := range a {
		for _, y := range b {
			if x.From <= y.To && y.From <= x.To {
				return stand.KeyRange{From: max(x.From, y.From), To: min(x.To, y.To)}, true
			}
		}
	}
	return stand.KeyRange{}, false
}

// playPings drains a target while another writer sends a ping without lists in its name.
func playPings(ctx context.Context, record *Record, trouble bool) ([]string, error) {
	site, err := NewSite(record, Rules([]Route{{"/look/", "safe", "desk", 5, 1.5}}, "desk"))
	if err != nil {
		return nil, err
	}
	defer site.Close()
	for i := range 3 {
		m := &Machine{
			name: fmt.Sprintf("side-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), service: "desk", sharded: true,
			work: func() time.Duration { return 200 * time.Millisecond },
		}
		if err := site.Add(m); err != nil {
			return nil, err
		}
	}
	if err := site.Begin(ctx); err != nil {
		return nil, err
	}
	leaving := site.machines[2]
	target, startedAt := leaving.Target()
	record.Note("%s: target %s drains, it holds %v", leaving.name, target.ID(), target.Holds())
	target.Drain()
	end := time.Now().Add(drainWait)
	writer, stop := context.WithCancel(ctx)
	defer stop()
	acked := false
	var since time.Time // of the present overlap
	longest, text := time.Duration(0), ""
	for time.Now().Before(end) && sleep(ctx, sampleInterval) {
		if _, ok := target.DrainAcked(); ok && !acked {
			acked = true
			record.Note("%s: the drain is acknowledged", leaving.name)
			if trouble {
				time.AfterFunc(writerDelay, func() { pingWithoutLists(writer, leaving, target.ID(), startedAt) })
			}
		}
		both := false
		for _, m := range site.machines[:2] {
			other, _ := m.Target()
			keys, ok := overlap(target.Holds(), other.Holds())
			if !ok {
				continue
			}
			both = true
			if since.IsZero() {
				since = time.Now()
				record.Note("targets %s and %s hold keys %d to %d", target.ID(), other.ID(), keys.From, keys.To)
			}
			if d := time.Since(since); d > longest {
				longest, text = d, fmt.Sprintf("targets %s and %s held keys %d to %d", target.ID(), other.ID(), keys.From, keys.To)
			}
		}
		if !both && !since.IsZero() {
			record.Note("the overlap ends after %.3f s", time.Since(since).Seconds())
			since = time.Time{}
		}
	}
	record.Note("the longest overlap is %.3f s", longest.Seconds())
	if longest <= allowedOverlap {
		return nil, nil
	}
	return []string{fmt.Sprintf("OWNER: %s at the same time for %.2f s", text, longest.Seconds())}, nil
}
