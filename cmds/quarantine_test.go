package cmds

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/platform/stand"
)

const (
	// poisonID begins the ids of requests that crash targets.
	poisonID = "poison"
	// crashedTime is how long a crashed target is away, and recordTime the time until its
	// crash is at the store.
	crashedTime = 500 * time.Millisecond
	recordTime  = time.Second
	// restartGap is the time between the restarts of two groups of nodes.
	restartGap = 300 * time.Millisecond
)

// crashingAgents are nodes whose targets crash at poison requests.
type crashingAgents struct {
	agents  []*agentProcess
	crashes atomic.Int32
	sent    int
}

func startCrashing(t *testing.T, n int) *crashingAgents {
	t.Helper()
	c := &crashingAgents{}
	store := startStore(t)
	for i := range n {
		a := newAgent(t, fmt.Sprint("n-", i), "archive", freeAddresses(t, 1)[0], store)
		a.start(t)
		c.startTarget(t, a)
		c.agents = append(c.agents, a)
	}
	for _, a := range c.agents {
		a.awaitServing(t)
	}
	return c
}

func (c *crashingAgents) startTarget(t *testing.T, a *agentProcess) {
	t.Helper()
	a.startTarget(t, a.target, func(target *stand.Target, e stand.Execution) {
		if !strings.HasPrefix(e.ID, poisonID) {
			return
		}
		c.crashes.Add(1)
		t.Logf("target of %s crashes at %s", a.name, e.ID)
		target.Crash() // before the handler answers
		go func() {
			time.Sleep(crashedTime)
			c.startTarget(t, a)
		}()
	})
}

// sendPoison sends a poison request to each node, one after the other, and waits after each
// for targets that crashed. It returns the statuses of the answers.
func (c *crashingAgents) sendPoison(t *testing.T) []int {
	t.Helper()
	var statuses []int
	for _, a := range c.agents {
		c.sent++
		before := c.crashes.Load()
		resp, err := a.send(t, "/read/poison", fmt.Sprint(poisonID, c.sent))
		if err != nil {
			t.Errorf("node %s gives no answer: %v", a.name, err)
		}
		statuses = append(statuses, resp.Status)
		t.Logf("node %s answers %s%d with %d, after %d crashes", a.name, poisonID, c.sent, resp.Status, c.crashes.Load())
		if c.crashes.Load() > before {
			time.Sleep(crashedTime + recordTime)
		}
	}
	return statuses
}

// Guards against nodes that forget which requests crash targets when they are killed: one
// after the other, half of them at a time, or all at the same moment.
func TestQuarantineOutlastsKills(t *testing.T) {
	const nodes, crashes = 4, 2
	for name, size := range map[string]int{"one after the other": 1, "half at a time": 2, "all at once": nodes} {
		t.Run(name, func(t *testing.T) {
			c := startCrashing(t, nodes)
			c.sendPoison(t)
			if n := c.crashes.Load(); n != crashes {
				t.Fatalf("request crashed %d targets before the kills, want %d", n, crashes)
			}
			for first := 0; first < nodes; first += size {
				group := c.agents[first : first+size]
				for _, a := range group {
					a.kill(t)
				}
				for _, a := range group {
					a.start(t)
				}
				time.Sleep(restartGap)
			}
			for _, a := range c.agents {
				a.awaitServing(t)
			}
			for range 2 {
				for i, status := range c.sendPoison(t) {
					if status != http.StatusServiceUnavailable {
						t.Errorf("node %s answers a quarantined request with %d, want %d", c.agents[i].name, status, http.StatusServiceUnavailable)
					}
				}
			}
			if n := c.crashes.Load(); n != crashes {
				t.Errorf("request crashed %d targets, want %d", n, crashes)
			}
		})
	}
}
