package main

import (
	"sync"
	"syscall"
	"time"

	"burdocklift/emul"
	"burdocklift/platform/stand"
)

const (
	drillNodes = 3
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 300 * time.Millisecond
	// firstAge and secondAge are the ages of the copies.
	firstAge  = time.Second
	secondAge = 6 * time.Second
	// rollAfter is the time from the first copy to the planned stop of a node, and killAfter
	// from there to the moment at which all nodes are killed.
	rollAfter = time.Second
	killAfter = 3500 * time.Millisecond
	// downTime is how long the killed nodes are down.
	downTime  = 4 * time.Second
	drillTime = 20 * time.Second
)

// playDrill restores the store twice within seconds, and kills all nodes before the second
// time. It checks that keys move to other targets with higher generation numbers only.
func playDrill(l *lab, trouble bool) (int, error) {
	g := &generations{lab: l, seen: make(map[grant]bool)}
	l.era = 1
	err := l.startSite(drillNodes, stand.Config{
		WorkTime: func() time.Duration { return 5 * time.Millisecond }, OnExecution: func(*stand.Target, stand.Execution) {},
		OnHoldsChange: g.changed,
	})
	if err != nil {
		return 0, err
	}
	time.Sleep(drillTime / 10)
	if trouble {
		l.restore(firstAge)
	}
	time.Sleep(rollAfter)
	rolled := l.nodes[0]
	l.notef("node %s is stopped and started again", rolled.name)
	if err := rolled.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	if !trouble {
		_ = rolled.cmd.Wait() // it was told to end
		rolled.cmd = nil
		if err := rolled.start(); err != nil {
			return 0, err
		}
		time.Sleep(drillTime)
		return g.broken, nil
	}
	time.Sleep(killAfter)
	l.notef("all nodes are killed")
	for _, n := range l.nodes {
		n.kill()
	}
	l.restore(secondAge)
	time.Sleep(downTime)
	for _, n := range l.nodes {
		if err := n.start(); err != nil {
			return 0, err
		}
	}
	l.notef("all nodes run again")
	time.Sleep(drillTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken, nil
}

// restore takes the store away and brings it back from a copy of some age.
func (l *lab) restore(age time.Duration) {
	l.ledger.SetFaults(emul.LedgerFaults{Down: true})
	time.Sleep(storeAway)
	l.ledger.Restore(age)
	l.ledger.Put(rulesKey, l.rules) // the operators write their records again
	l.ledger.SetFaults(emul.LedgerFaults{})
	l.notef("the store comes back from a copy of %v ago", age)
}

// grant is keys that a target was given.
type grant struct {
	target string
	keys   stand.KeyRange
}

// generations checks the generation numbers of grants.
type generations struct {
	lab *lab

	mu     sync.Mutex
	seen   map[grant]bool
	broken int
}

// changed notes what a target holds.
func (g *generations) changed(t *stand.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range t.Holds() {
		taken := grant{t.ID(), k}
		if g.seen[taken] {
			continue
		}
		g.lab.notef("%s takes keys %d to %d with generation number %d", t.ID(), k.From, k.To, k.Epoch)
		for o := range g.seen {
			if o.target != t.ID() && o.keys.From <= k.To && k.From <= o.keys.To && o.keys.Epoch >= k.Epoch {
				g.broken++
				g.lab.notef("OWNER: %s takes keys %d to %d with generation number %d, %s had %d to %d with %d",
					t.ID(), k.From, k.To, k.Epoch, o.target, o.keys.From, o.keys.To, o.keys.Epoch)
			}
		}
		g.seen[taken] = true
	}
}
