package route

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"

	"burdocklift/poison"
	"burdocklift/proto"
)

// crashCluster is four hosts whose targets stop when they run a request tagged
// "poison". Requests tagged "concurrent" run until the target stops.
type crashCluster struct {
	*cluster
	crashes, concurrent atomic.Int64
}

func newCrashCluster(t *testing.T) *crashCluster {
	w := &crashCluster{cluster: newCluster(t, 4, "permit", echo)}
	for _, h := range w.hosts {
		s := httptest.NewUnstartedServer(nil)
		s.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			h.runs.Add(1)
			switch r.Header.Get("Tag") {
			case "poison":
				w.crashes.Add(1)
				_ = s.Listener.Close()
				go s.CloseClientConnections()
				<-r.Context().Done()
			case "concurrent":
				if w.crashes.Load() == 0 {
					w.concurrent.Add(1)
					<-r.Context().Done()
					return
				}
			}
			echo(h, rw, r)
		})
		s.Start()
		t.Cleanup(s.CloseClientConnections)
		h.router.SetTarget("permit", s.Listener.Addr().String(), 12, 110)
		h.router.SetNoticeSender(func(n []poison.Notice) {
			for _, other := range w.hosts {
				if other != h {
					other.router.ReceiveNotices(n)
				}
			}
		})
	}
	return w
}

// Guards against a request that crashes every target it is sent to, and against
// a quarantine of the requests that ran concurrently with it.
func TestPoison(t *testing.T) {
	send := func(w *crashCluster, i int) reply {
		w.publish(proto.Entry{Owner: uint16(i), Epoch: uint64(i + 1)})
		return w.send((i+1)%len(w.hosts), "PUT", "/permit/p/k", "", "Tag", "poison")
	}
	t.Run("quarantined", func(t *testing.T) {
		w := newCrashCluster(t)
		var concurrent []<-chan reply
		for _, path := range []string{"/permit/p/a", "/permit/p/b", "/permit/p/c"} {
			concurrent = append(concurrent, w.sendAsync(0, "PUT", path, "", "Tag", "concurrent"))
		}
		eventually(t, "concurrent requests", func() bool { return w.concurrent.Load() == 3 })
		send(w, 0).want(t, proto.Unknown, ReasonResponseLost)
		for _, c := range concurrent {
			(<-c).want(t, proto.Unknown, ReasonResponseLost)
		}
		send(w, 1).want(t, proto.Unknown, ReasonResponseLost)
		for i := 2; i < 4; i++ {
			r := send(w, i)
			r.want(t, proto.NotRun, ReasonQuarantined)
			if r.status != http.StatusUnprocessableEntity {
				t.Errorf("status %d", r.status)
			}
			for _, path := range []string{"/permit/p/a", "/permit/p/b", "/permit/p/c"} {
				w.send(i, "PUT", path, "", "Tag", "concurrent").want(t, proto.Answered, "")
			}
		}
		if n := w.crashes.Load(); n != 2 {
			t.Fatalf("%d crashes, want 2", n)
		}
		for _, e := range w.hosts[3].router.QuarantineEntries() {
			if e.Quarantined {
				if err := w.hosts[3].router.LiftQuarantine(e.Hash); err != nil {
					t.Fatal(err)
				}
			}
		}
		send(w, 2).want(t, proto.Unknown, ReasonResponseLost)
	})
	t.Run("naive", func(t *testing.T) {
		w := newCrashCluster(t)
		for i, h := range w.hosts {
			h.router.SetNoticeSender(func([]poison.Notice) {})
			h.router.quarantine = poison.NewGuard(clockwork.NewRealClock(), func([]poison.Notice) {})
			send(w, i)
		}
		if n := w.crashes.Load(); n != 4 {
			t.Fatalf("%d crashes without notices, want 4", n)
		}
	})
}
