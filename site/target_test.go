package site_test

import (
	"fmt"
	"testing"
	"time"

	"burdocklift/emul"
	"burdocklift/proto"
	"burdocklift/site"
)

// startCrashing starts a site whose targets return after the given time.
func startCrashing(t *testing.T, crash time.Duration) *site.Site {
	sp := spec()
	for i := range sp.Hosts {
		sp.Hosts[i].Target.Crash = crash
	}
	return startSpec(t, sp)
}

func reached(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// Guards against keys that stay with a host whose target has ended while its
// node lives, and against a host that stays out after its target has returned.
func TestTargetEnds(t *testing.T) {
	shown := func(s *site.Site, i int) bool {
		view := s.Hosts()[1].Node.Control().View()
		h, ok := view.Host(s.Hosts()[i].Node.Control().View().Self())
		return ok && h.Member.TargetDown
	}
	t.Run("for good", func(t *testing.T) {
		s := startCrashing(t, time.Hour)
		s.Hosts()[0].Crash()
		began := time.Now()
		reached(t, "member record shows the target down", func() bool { return shown(s, 0) })
		t.Logf("shown after %v", time.Since(began))
		for k := range 40 {
			reached(t, fmt.Sprintf("key%d is served", k), func() bool {
				outcome, _ := get(t, s.Hosts()[1], fmt.Sprintf("/permit/p/key%d", k))
				return outcome == proto.Answered
			})
		}
		t.Logf("40 keys served after %v", time.Since(began))
	})
	t.Run("for a while", func(t *testing.T) {
		s := startCrashing(t, 3*time.Second)
		s.Hosts()[0].Crash()
		reached(t, "member record shows the target down", func() bool { return shown(s, 0) })
		reached(t, "member record shows that the target serves", func() bool { return !shown(s, 0) })
	})
}

// Guards against notices of crashes that do not reach the other nodes.
func TestPoisonNotices(t *testing.T) {
	s := startCrashing(t, 3*time.Second)
	crashes := func() (n int) {
		for _, h := range s.Hosts() {
			n += h.Target.Runs()
		}
		return n
	}
	reached(t, "request is quarantined", func() bool {
		for _, h := range s.Hosts() {
			if outcome, body := get(t, h, "/permit/p/key/"+emul.PoisonMark); outcome == proto.NotRun && body == "not-run: quarantined" {
				return true
			}
		}
		return false
	})
	for _, h := range s.Hosts()[:5] {
		reached(t, h.Spec.Name+" knows the quarantine", func() bool {
			entries := h.Node.Router().QuarantineEntries()
			return len(entries) == 1 && entries[0].Quarantined
		})
	}
	if n := crashes(); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}
