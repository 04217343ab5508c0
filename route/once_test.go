package route

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"burdocklift/proto"
	"burdocklift/shard"
)

func (w *cluster) sendFee(ingress int, id, tag string) reply {
	return w.send(ingress, "POST", "/permit/p/k", tag, proto.HeaderID, id, "Tag", tag)
}

func (w *cluster) syncTables() {
	for _, h := range w.hosts {
		h.tableSync().Sync(time.Now())
	}
}

var tableSyncs sync.Map // map from *host to *IdempotencySync

func (h *host) tableSync() *IdempotencySync {
	e, _ := tableSyncs.LoadOrStore(h, h.router.NewIdempotencySync())
	return e.(*IdempotencySync)
}

// Guards against a second execution of a once-only request that is resent at
// another node, after a graceful move, or after the loss of its owner.
func TestOnceOnly(t *testing.T) {
	w := newCluster(t, 3, "permit", echo)
	w.syncTables()
	id := newID(t)
	first := w.sendFee(0, id, "a")
	first.want(t, proto.Answered, "")
	again := func(ingress int) {
		t.Helper()
		r := w.sendFee(ingress, id, "a")
		if r.want(t, proto.Answered, ""); r.body != first.body || w.runs() != 1 {
			t.Fatalf("response %q after %d runs, want %q", r.body, w.runs(), first.body)
		}
	}
	again(1)
	w.sendFee(1, id, "other body").want(t, proto.NotRun, ReasonIdempotencyKeyConflict)

	// Graceful move from host 0 to host 1.
	w.publish(proto.Entry{Owner: 0, Next: 2, Epoch: 1})
	w.syncTables()
	s := shard.ForKey("k", 1024)
	chunks, err := w.hosts[0].router.IdempotencyTable().Export(Scope(s, ""), 1)
	if err != nil {
		t.Fatal(err)
	}
	w.publish(proto.Entry{Owner: 1, Epoch: 2})
	w.syncTables()
	waiting := w.sendAsync(2, "POST", "/permit/p/k", "a", proto.HeaderID, id)
	eventually(t, "resend at the next owner", func() bool { return w.hosts[1].router.ActiveRequests() > 0 })
	for _, c := range chunks {
		if _, err := w.hosts[1].router.IdempotencyTable().Import(c); err != nil {
			t.Fatal(err)
		}
	}
	if r := <-waiting; r.outcome != proto.Answered || r.body != first.body || w.runs() != 1 {
		t.Fatalf("after the move: %+v, %d runs", r, w.runs())
	}
	again(0)

	// Host 1 fails and host 2 takes over without a handover.
	w.hosts[1].member.State = proto.Marked
	w.publish(proto.Entry{Owner: 2, Epoch: 3})
	w.syncTables()
	w.sendFee(0, id, "a").want(t, proto.Unknown, ReasonMayHaveRun)
	if w.runs() != 1 {
		t.Fatalf("%d runs, want 1", w.runs())
	}
	eventually(t, "a new request runs after the takeover", func() bool {
		return w.sendFee(0, newID(t), "b").outcome == proto.Answered
	})
	if w.runs() != 2 {
		t.Fatalf("%d runs, want 2", w.runs())
	}
	t.Run("naive node without idempotency keys runs twice", func(t *testing.T) {
		n := newCluster(t, 3, "permit", echo)
		n.send(0, "PUT", "/permit/p/k", "a", proto.HeaderID, id)
		n.publish(proto.Entry{Owner: 1, Epoch: 2})
		n.send(0, "PUT", "/permit/p/k", "a", proto.HeaderID, id)
		if n.runs() != 2 {
			t.Fatalf("%d runs, want 2", n.runs())
		}
	})
}

// Guards against an owner that waits forever for a handover from a failed host.
func TestHandoverGivenUp(t *testing.T) {
	w := newCluster(t, 2, "permit", echo)
	w.syncTables()
	w.publish(proto.Entry{Owner: 0, Next: 2, Epoch: 1})
	w.syncTables()
	w.hosts[0].member.State = proto.Marked
	w.publish(proto.Entry{Owner: 1, Epoch: 2})
	w.syncTables()
	w.sendFee(1, newID(t), "a").want(t, proto.Unknown, ReasonMayHaveRun)
	eventually(t, "a new request runs", func() bool { return w.sendFee(1, newID(t), "a").outcome == proto.Answered })
}

// Guards against a response delivered to the wrong caller, and against a second
// execution, when a target freezes during requests and its late responses
// arrive together with new requests.
func TestLateAnswers(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]int)
	thaw := make(chan struct{})
	w := newCluster(t, 2, "permit", func(h *host, rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.Header.Get(proto.HeaderID)]++
		mu.Unlock()
		if r.Header.Get("Freeze") != "" {
			<-thaw
		}
		echo(h, rw, r)
	})
	const requests = 12
	ids := make([]string, requests)
	var frozen []<-chan reply
	for i := range ids {
		ids[i] = newID(t)
		tag := fmt.Sprint(i)
		frozen = append(frozen, w.sendAsync(i%2, "POST", "/permit/p/k", tag, "Tag", tag,
			proto.HeaderID, ids[i], "Freeze", "1", proto.HeaderDeadline, "1s"))
	}
	for i, c := range frozen {
		if r := <-c; r.outcome == proto.Answered {
			t.Fatalf("request %d answered by a frozen target: %+v", i, r)
		}
	}
	close(thaw)
	var tasks sync.WaitGroup
	for i := range 20 * requests {
		tasks.Go(func() {
			tag := fmt.Sprint("new", i)
			if r := w.sendFee(i%2, newID(t), tag); r.outcome != proto.Answered || r.body != "host0 "+tag {
				t.Errorf("request %s: %+v", tag, r)
			}
		})
	}
	tasks.Wait()
	for i, id := range ids {
		tag := fmt.Sprint(i)
		if r := w.sendFee(0, id, tag); r.outcome == proto.Answered && r.body != "host0 "+tag {
			t.Errorf("resend %s: %+v", tag, r)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if n != 1 {
			t.Errorf("id %s ran %d times", id, n)
		}
	}
}

// Guards against a drain that misses requests in flight, and against requests
// accepted for an entry after its drain.
func TestEntryDrain(t *testing.T) {
	release := make(chan struct{})
	w := newCluster(t, 2, "permit", func(h *host, rw http.ResponseWriter, r *http.Request) {
		<-release
		echo(h, rw, r)
	})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.hosts[0].router.InFlight().Drain(ended, w.hosts[0].View, "permit", shard.ForKey("k", 1024), ""); err == nil {
		t.Fatal("drain of an idle entry ended before the view shows it as moving")
	}
	first := w.sendAsync(0, "GET", "/permit/p/k", "")
	eventually(t, "request at the target", func() bool { return w.runs() == 1 })
	drained := make(chan error, 1)
	go func() {
		drained <- w.hosts[0].router.InFlight().Drain(t.Context(), w.hosts[0].View, "permit", shard.ForKey("k", 1024), "")
	}()
	w.publish(proto.Entry{Owner: 0, Next: 2, Epoch: 1})
	second := w.sendAsync(0, "GET", "/permit/p/k", "")
	eventually(t, "second request", func() bool { return w.hosts[0].router.ActiveRequests() == 2 })
	select {
	case err := <-drained:
		t.Fatalf("drain ended with work in flight: %v", err)
	default:
	}
	close(release)
	(<-first).want(t, proto.Answered, "")
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	w.publish(proto.Entry{Owner: 1, Epoch: 2})
	if r := <-second; r.body != "host1" {
		t.Fatalf("second request: %+v", r)
	}
}

// Guards against a hot key whose scope collides with a shard number.
func TestScope(t *testing.T) {
	if Scope(7, "") != 7 || Scope(7, "k") < 1<<31 || Scope(7, "k") != Scope(8, "k") {
		t.Fatalf("scopes %d, %d, %d", Scope(7, ""), Scope(7, "k"), Scope(8, "k"))
	}
}

// Guards against a recorded HEAD length that is sent as a separate header.
func TestReplayKeepsLength(t *testing.T) {
	w := newCluster(t, 1, "permit", echo)
	r, id := w.hosts[0].router, uuid.MustParse(newID(t))
	d, _ := w.hosts[0].View().Route("permit", "k")
	rules := r.rules.Load()
	service, class, _ := rules.Match("POST", "/permit/p/k")
	req := &request{service: service, class: class, key: "k", id: id, method: "POST", uri: "/permit/p/k", header: http.Header{}, deadline: time.Now().Add(time.Minute)}
	for range 2 {
		res, wait := r.runDeduplicated(context.Background(), req, r.target.Load(), d)
		if wait || res.Outcome != proto.Answered || res.Header.Get(recordedLengthKey) != "" {
			t.Fatalf("got %+v", res)
		}
	}
}
