package route

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdocklift/proto"
)

// Guards against a refusal while views differ: right after a change of owner,
// the ingress node or the new owner may not have received it yet.
func TestDifferentViews(t *testing.T) {
	t.Run("the new owner has an old view", func(t *testing.T) {
		w := newCluster(t, 3, "permit", echo)
		w.publish(proto.Entry{Owner: 2, Epoch: 2}, 0)
		got := w.sendAsync(0, "GET", "/permit/p/k", "")
		eventually(t, "request at the new owner", func() bool { return w.hosts[2].router.ActiveRequests() > 0 })
		w.publish(proto.Entry{Owner: 2, Epoch: 2})
		(<-got).want(t, proto.Answered, "")
	})
	t.Run("the ingress node has an old view", func(t *testing.T) {
		w := newCluster(t, 3, "permit", echo)
		w.publish(proto.Entry{Owner: 2, Epoch: 2}, 0)
		w.publish(proto.Entry{Owner: 2, Epoch: 2}, 2)
		got := w.sendAsync(1, "GET", "/permit/p/k", "")
		eventually(t, "request at the ingress node", func() bool { return w.hosts[1].router.ActiveRequests() > 0 })
		w.publish(proto.Entry{Owner: 2, Epoch: 2})
		(<-got).want(t, proto.Answered, "")
	})
	t.Run("the wait ends at the deadline", func(t *testing.T) {
		w := newCluster(t, 2, "permit", echo)
		w.publish(proto.Entry{Owner: 1, Epoch: 2}, 0)
		r := w.send(0, "GET", "/permit/p/k", "", proto.HeaderDeadline, "100ms")
		if r.outcome == proto.Answered || r.reason != ReasonDeadlineExceeded || w.runs() != 0 {
			t.Fatalf("got %+v after %d runs", r, w.runs())
		}
	})
}

// naiveRetry retries a request on any error, at most three times in total.
func naiveRetry(ctx context.Context, client *http.Client, method, url string) {
	for range 3 {
		if _, _, err := exchange(ctx, client, method, url, http.Header{}, nil, 1<<20, nil); err == nil {
			return
		}
	}
}

// Guards against a partial response that reaches the caller, and against a
// second execution of a once-only request whose response was lost.
func TestLostAnswer(t *testing.T) {
	first := func(h *host, w http.ResponseWriter, r *http.Request) {
		if h.runs.Load() == 1 {
			truncateResponse(w)
		}
		echo(h, w, r)
	}
	for ingress := range 2 {
		t.Run(fmt.Sprintf("ingress %d", ingress), func(t *testing.T) {
			w := newCluster(t, 2, "permit", first)
			w.send(ingress, "GET", "/permit/p/k", "").want(t, proto.Answered, "")
			w = newCluster(t, 2, "permit", first)
			id := newID(t)
			for range 2 {
				r := w.send(ingress, "POST", "/permit/p/k", "", proto.HeaderID, id)
				if r.outcome != proto.Unknown || strings.Contains(r.body, "part") || w.runs() != 1 {
					t.Fatalf("got %+v after %d runs", r, w.runs())
				}
			}
		})
	}
	t.Run("naive retry runs twice", func(t *testing.T) {
		w := newCluster(t, 1, "permit", first)
		naiveRetry(t.Context(), newClient(0), "POST", "http://"+w.hosts[0].router.target.Load().address+"/permit/p/k")
		if w.runs() != 2 {
			t.Fatalf("naive retry ran %d times, want 2", w.runs())
		}
	})
	t.Run("response without a length", func(t *testing.T) {
		w := newCluster(t, 1, "permit", func(_ *host, w http.ResponseWriter, _ *http.Request) {
			conn, buf, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
			_ = buf.Flush()
			_ = conn.Close()
		})
		w.send(0, "GET", "/permit/p/k", "").want(t, proto.Unknown, ReasonNoBodyLength)
	})
}

// Guards against a response without a body that gains or loses header fields.
func TestAnswersWithoutBody(t *testing.T) {
	w := newCluster(t, 2, "permit", func(_ *host, w http.ResponseWriter, r *http.Request) {
		switch status := r.Header.Get("Status"); status {
		case "204":
			w.WriteHeader(http.StatusNoContent)
		case "304":
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("Content-Length", "7")
			if r.Method != http.MethodHead {
				_, _ = w.Write([]byte("<html>!"))
			}
		}
	})
	for ingress := range 2 {
		for _, c := range []struct{ method, status, length string }{
			{"HEAD", "200", "7"}, {"GET", "204", ""}, {"GET", "304", ""}, {"GET", "200", "7"},
		} {
			r := w.send(ingress, c.method, "/permit/p/k", "", "Status", c.status)
			if r.outcome != proto.Answered || fmt.Sprint(r.status) != c.status || r.header.Get("Content-Length") != c.length {
				t.Fatalf("ingress %d, %s %s: got %+v", ingress, c.method, c.status, r)
			}
		}
	}
}

// Guards against invalid input that runs, hangs or is refused without a reason,
// and against trust in node headers forged by a caller.
func TestRefusals(t *testing.T) {
	w := newCluster(t, 2, "permit", echo)
	large := strings.Repeat("x", 1<<20+1)
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		reason             Reason
	}{
		{"GET", "/nobody/p/k", "", nil, 404, ReasonUnknownService},
		{"GET", "/permit/p", "", nil, 400, ReasonMissingKey},
		{"DELETE", "/permit/p/k", "", nil, 404, ReasonNoMatchingClass},
		{"GET", "/permit/p/k", "", []string{proto.HeaderDeadline, "soon"}, 400, ReasonBadDeadline},
		{"GET", "/permit/p/k", "", []string{proto.HeaderDeadline, "-1s"}, 400, ReasonBadDeadline},
		{"POST", "/permit/p/k", "", nil, 400, ReasonBadIdempotencyKey},
		{"POST", "/permit/p/k", "", []string{proto.HeaderID, "7"}, 400, ReasonBadIdempotencyKey},
		{"PUT", "/permit/p/k", large, nil, 413, ReasonBodyTooLarge},
		{"GET", "/permit/p/k", "", []string{"Padding", strings.Repeat("x", maxHeaderBytes)}, 431, ReasonHeadersTooLarge},
	} {
		r := w.send(1, c.method, c.path, c.body, c.header...)
		if r.status != c.status || r.outcome != proto.NotRun || r.reason != c.reason {
			t.Errorf("%s %s %.40q: status %d, outcome %q, reason %q", c.method, c.path, c.header, r.status, r.outcome, r.reason)
		}
	}
	if w.runs() != 0 {
		t.Fatalf("%d refused requests ran", w.runs())
	}
	t.Run("slow body", func(t *testing.T) {
		conn, err := net.Dial("tcp", w.hosts[0].caller)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "PUT /permit/p/k HTTP/1.1\r\nHost: x\r\n%s: 100ms\r\nContent-Length: 9\r\n\r\npart", proto.HeaderDeadline)
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		b := make([]byte, 512)
		n, _ := conn.Read(b)
		if got := string(b[:n]); !strings.HasPrefix(got, "HTTP/1.1 408") || !strings.Contains(got, string(ReasonBodyNotRead)) {
			t.Fatalf("got %q", got)
		}
	})
	t.Run("headers of nodes", func(t *testing.T) {
		forged := []string{proto.HeaderEpoch, "99", proto.HeaderHop, "x", proto.HeaderDeadline, "5s"}
		w.send(0, "GET", "/permit/p/k", "", forged...).want(t, proto.Answered, "")
		for i, reason := range []Reason{ReasonBadHop, ReasonNotOwner} {
			req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+w.hosts[1].member.Addresses.Peer+"/permit/p/k", nil)
			if err != nil {
				t.Fatal(err)
			}
			do(t, req, proto.HeaderHop, []string{"", "1"}[i]).want(t, proto.NotRun, reason)
		}
		if n := w.runs(); n != 1 {
			t.Fatalf("%d runs, want 1", n)
		}
	})
}

// Guards against a request that hangs at a failed owner after a takeover, and
// against a second execution of a request that must not be repeated.
func TestTakeoverInFlight(t *testing.T) {
	thaw := make(chan struct{})
	w := newCluster(t, 3, "permit", func(h *host, rw http.ResponseWriter, r *http.Request) {
		if h.id.Name == "host0" {
			select {
			case <-thaw:
			case <-r.Context().Done():
			}
		}
		echo(h, rw, r)
	})
	defer close(thaw)
	lookup := w.sendAsync(1, "GET", "/permit/p/k", "", "Tag", "a")
	fee := w.sendAsync(1, "POST", "/permit/p/k", "", proto.HeaderID, newID(t), proto.HeaderDeadline, "2s")
	eventually(t, "both requests at the target", func() bool { return w.runs() == 2 })
	w.hosts[0].member.State = proto.Marked
	w.publish(proto.Entry{Owner: 2, Epoch: 2})
	r := <-lookup
	if r.want(t, proto.Answered, ""); r.body != "host2 a" {
		t.Fatalf("response %q", r.body)
	}
	if r := <-fee; r.outcome != proto.Unknown || w.runs() != 3 {
		t.Fatalf("got %+v after %d runs", r, w.runs())
	}
}

// Guards against retries that multiply the load while every target fails.
func TestNoRetryStorm(t *testing.T) {
	w := newCluster(t, 3, "registry", func(_ *host, rw http.ResponseWriter, _ *http.Request) { truncateResponse(rw) })
	const first = 200
	for i := range first {
		if r := w.send(i%3, "GET", "/registry/x", ""); r.outcome != proto.Unknown {
			t.Fatalf("got %+v", r)
		}
	}
	// Each of the three ingress nodes has its own budget and burst.
	if n, limit := w.runs(), first*11/10+3*10; n > limit || n <= first {
		t.Fatalf("%d attempts of %d requests, want more and at most %d", n, first, limit)
	}
	w = newCluster(t, 1, "registry", func(_ *host, rw http.ResponseWriter, _ *http.Request) { truncateResponse(rw) })
	for range first {
		naiveRetry(t.Context(), newClient(0), "GET", "http://"+w.hosts[0].router.target.Load().address+"/registry/x")
	}
	if n := w.runs(); n <= first*12/10 {
		t.Fatalf("naive retry made only %d attempts of %d", n, first)
	}
}

// Guards against a request parser that fails on input from callers or peers.
func FuzzParse(f *testing.F) {
	rules := rulesWithShards(f, 1024)
	f.Add("POST", "/permit/fee/k", "1s", "018f0000-0000-7000-8000-000000000000", "1", "1", uint8(0))
	f.Add("GET", "/permit/../fee", "-1h", "x", "9999999999999999999", "-1", uint8(1))
	f.Fuzz(func(t *testing.T, method, path, deadline, id, hop, epoch string, from uint8) {
		r, err := http.NewRequest(method, "http://x"+path, nil)
		if err != nil {
			return
		}
		r.Header = http.Header{
			proto.HeaderDeadline: {deadline}, proto.HeaderID: {id}, proto.HeaderHop: {hop}, proto.HeaderEpoch: {epoch},
		}
		now := time.Now()
		req, refused := parse(r, origin(from%2), rules, now)
		switch {
		case (req == nil) == (refused == nil):
			t.Fatal("want either a request or a refusal")
		case refused != nil && (refused.Outcome != proto.NotRun || refused.Status/100 != 4 || refused.Reason == ""):
			t.Fatalf("refusal %+v", refused)
		case req != nil && (!req.deadline.After(now) || req.deadline.After(now.Add(10*time.Minute))):
			t.Fatalf("deadline %v", req.deadline)
		case req != nil && from%2 == 0 && (req.epoch != 0 || req.hop != 0):
			t.Fatal("a caller's headers are trusted")
		}
	})
}

// Guards against the outcome not run for a request of which an earlier attempt
// has run: the target fails while it responds and refuses the retry.
func TestRefusedRetryOfLostAnswer(t *testing.T) {
	for _, service := range []string{"permit", "registry"} {
		w := newCluster(t, 2, service, func(h *host, rw http.ResponseWriter, _ *http.Request) {
			h.router.SetTarget("other", "127.0.0.1:1", 12, 110)
			truncateResponse(rw)
		})
		r := w.send(0, "GET", "/"+service+"/p/k", "")
		if r.outcome != proto.Unknown || w.runs() == 0 {
			t.Errorf("%s: got %+v after %d runs", service, r, w.runs())
		}
	}
}
