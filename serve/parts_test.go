package serve

import "testing"

// Guards against sites without any retries: each node's part of the burst was
// less than one retry, so its budget allowed none.
func TestBurst(t *testing.T) {
	for _, c := range []struct {
		slack       float64
		nodes, want int
	}{{60, 10, 6}, {53, 87, 1}, {0, 3, 1}, {1000, 2, 10}, {60, 0, 10}} {
		if got := retryBurst(c.slack, c.nodes); got != c.want {
			t.Errorf("burst of %d nodes with a slack of %v is %d, want %d", c.nodes, c.slack, got, c.want)
		}
	}
}
