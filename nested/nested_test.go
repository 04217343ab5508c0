package nested_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocklift/nested"
)

const seed = 1

// observe reports how many of a number of requests of a class count as nested calls. Each comes
// from a host of a service that is chosen at random.
func observe(d *nested.Detector, class string, count int, from time.Duration, services ...string) int {
	r := rand.New(rand.NewPCG(seed, uint64(count)))
	found := 0
	for i := range count {
		if d.Observe(class, services[r.IntN(len(services))], from+time.Duration(i)*time.Millisecond) {
			found++
		}
	}
	return found
}

func assertNested(t *testing.T, found, least, most int) {
	t.Helper()
	if found < least || found > most {
		t.Errorf("%d requests count as nested calls, want %d to %d", found, least, most)
	}
}

// TestDetector guards against callers' requests that go ahead of others as nested calls, and
// against nested calls that wait behind new requests.
func TestDetector(t *testing.T) {
	t.Logf("seed %d", seed)
	t.Run("calls from the hosts of one service", func(t *testing.T) {
		var d nested.Detector
		assertNested(t, observe(&d, "publish", 200, 0, "desk", "desk", "archive"), 0, 0)
		assertNested(t, observe(&d, "check", 100, 0, "desk"), 70, 100)
	})
	t.Run("requests of callers only", func(t *testing.T) {
		var d nested.Detector
		for range 50 {
			assertNested(t, observe(&d, "publish", 20, 0, "desk", "archive")+observe(&d, "renew", 20, 0, "desk", "archive"), 0, 0)
		}
	})
	t.Run("nothing to compare with", func(t *testing.T) {
		var d nested.Detector
		assertNested(t, observe(&d, "check", 1000, 0, "desk"), 0, 0)
	})
	t.Run("too little to compare with", func(t *testing.T) {
		var d nested.Detector
		assertNested(t, observe(&d, "publish", 20, 0, "desk", "archive"), 0, 0)
		assertNested(t, observe(&d, "renew", 100, 0, "desk"), 0, 0)
	})
	t.Run("a service with most of the hosts", func(t *testing.T) {
		var d nested.Detector
		observe(&d, "publish", 1000, 0, "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "archive")
		assertNested(t, observe(&d, "renew", 40, 0, "desk"), 0, 0)
	})
	t.Run("callers begin to use the route", func(t *testing.T) {
		var d nested.Detector
		observe(&d, "publish", 200, 0, "desk", "archive")
		assertNested(t, observe(&d, "check", 100, 0, "desk"), 70, 100)
		d.Observe("check", "archive", time.Second)
		assertNested(t, observe(&d, "check", 100, time.Second, "desk"), 0, 0)
	})
	t.Run("callers no longer use the route", func(t *testing.T) {
		var d nested.Detector
		observe(&d, "check", 100, 0, "desk", "archive")
		found := 0
		for at := time.Duration(0); at < 5*time.Minute; at += time.Second {
			observe(&d, "publish", 20, at, "desk", "archive")
			found += observe(&d, "check", 5, at, "desk")
		}
		if found == 0 {
			t.Error("calls of one service count as requests of callers for good")
		}
	})
}
