package emul

import (
	"maps"
	"sync"
)

// Journal is what ran at a target.
type Journal struct {
	Runs     int            `json:"runs"`
	IDs      map[string]int `json:"ids"`      // runs of each idempotency key
	Attempts map[string]int `json:"attempts"` // runs of each attempt
}

// Merge adds up the journals of several targets.
func Merge(journals ...Journal) Journal {
	all := Journal{IDs: make(map[string]int), Attempts: make(map[string]int)}
	for _, j := range journals {
		all.Runs += j.Runs
		for id, n := range j.IDs {
			all.IDs[id] += n
		}
		for id, n := range j.Attempts {
			all.Attempts[id] += n
		}
	}
	return all
}

// journal records runs while a target serves.
type journal struct {
	mu sync.Mutex
	j  Journal
}

func (l *journal) add(id, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.j.IDs == nil {
		l.j = Journal{IDs: make(map[string]int), Attempts: make(map[string]int)}
	}
	l.j.Runs++
	if id != "" {
		l.j.IDs[id]++
	}
	if attempt != "" {
		l.j.Attempts[attempt]++
	}
}

func (l *journal) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.j.Runs
}

func (l *journal) snapshot() Journal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Journal{Runs: l.j.Runs, IDs: maps.Clone(l.j.IDs), Attempts: maps.Clone(l.j.Attempts)}
}
