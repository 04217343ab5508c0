package route

import (
	"fmt"
	"net/http"
	"testing"

	"burdocklift/proto"
)

// Guards against new work for a leaving target, and against a drain that cuts
// off a request in flight.
func TestLeavingTarget(t *testing.T) {
	release := make(chan struct{})
	w := newCluster(t, 1, "registry", func(h *host, rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Block") != "" {
			<-release
		}
		echo(h, rw, r)
	})
	h := w.hosts[0]
	inFlight := w.sendAsync(0, "GET", "/registry/x", "", "Block", "1")
	eventually(t, "request at the target", func() bool { return w.runs() == 1 })
	a := proto.Announcement{Service: "registry", Address: h.router.target.Load().address, Slots: 12, Connections: 110, Leaving: true}
	h.router.HandleAnnouncement(a)
	eventually(t, "new work is refused", func() bool {
		return w.send(0, "GET", "/registry/x", "", proto.HeaderDeadline, "1s").reason == ReasonDraining
	})
	close(release)
	(<-inFlight).want(t, proto.Answered, "")
	a.Leaving = false
	h.router.HandleAnnouncement(a)
	w.send(0, "GET", "/registry/x", "").want(t, proto.Answered, "")
}

// Guards against overload that is not shed, or shed in order of arrival:
// requests of the higher priority must be served and those of the lower
// refused. An unbounded queue refuses nothing.
func TestShedding(t *testing.T) {
	const slots = 2
	for _, c := range []struct {
		name         string
		queue        int
		shed, served int
	}{
		{"bounded queue", 4, 4, 6},
		{"naive: unbounded queue", 1 << 20, 0, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			w := newCluster(t, 1, "permit", func(h *host, rw http.ResponseWriter, r *http.Request) {
				<-release
				echo(h, rw, r)
			})
			r := w.hosts[0].router
			rules := *r.rules.Load()
			rules.Limits.Queue = c.queue
			rules.Limits.Slots = slots
			r.SetRules(&rules)
			address := r.target.Load().address
			r.SetTarget("", "", 0, 0)
			r.SetTarget("permit", address, 12, 110)
			limiter := r.target.Load().limiter
			var low, high []<-chan reply
			for i := range slots + 4 {
				low = append(low, w.sendAsync(0, "GET", fmt.Sprint("/permit/p/", i), ""))
			}
			eventually(t, "slots and queue are full", func() bool { return limiter.InFlight() == slots && limiter.Waiting() == 4 })
			for i := range 4 {
				high = append(high, w.sendAsync(0, "PUT", fmt.Sprint("/permit/p/", i), ""))
			}
			eventually(t, "the higher class waits", func() bool {
				return limiter.Counts("urgent", "").Queued == 4 && limiter.Counts("lookup", "").Shed == uint64(c.shed)
			})
			close(release)
			for _, c := range high {
				(<-c).want(t, proto.Answered, "")
			}
			shed := 0
			for _, c := range low {
				if (<-c).reason == ReasonShed {
					shed++
				}
			}
			if shed != c.shed || w.runs() != c.served {
				t.Fatalf("%d shed, %d ran, want %d and %d", shed, w.runs(), c.shed, c.served)
			}
		})
	}
}
