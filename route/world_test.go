package route

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"burdocklift/conf"
	"burdocklift/emul"
	"burdocklift/hangup"
	"burdocklift/lease"
	"burdocklift/proto"
	"burdocklift/shard"
)

const clusterRules = `version = 1
[[service]]
name = "permit"
keyed = true
shards = 1024
key = { from = "path", segment = 3 }
[[service.class]]
name = "lookup"
methods = ["GET", "HEAD"]
once = false
deadline = "20s"
priority = 2
[[service.class]]
name = "urgent"
methods = ["PUT"]
once = false
deadline = "20s"
priority = 9
[[service.class]]
name = "fee"
methods = ["POST"]
once = true
deadline = "20s"
[[service]]
name = "registry"
keyed = false
[[service.class]]
name = "lookup"
methods = ["GET"]
once = false
deadline = "20s"
`

// host is a node with a fake control state and a fake target.
type host struct {
	id      proto.HostID
	member  proto.Member
	view    atomic.Pointer[shard.View]
	gate    *lease.Gate
	router  *Router
	caller  string
	callers *emul.Gate   // holds back connections of callers
	runs    atomic.Int64 // requests that reached the target
}

func (h *host) View() *shard.View { return h.view.Load() }
func (h *host) Gate() *lease.Gate { return h.gate }

// cluster is a few hosts connected over real sockets. Their views change only
// by publish.
type cluster struct {
	t     *testing.T
	hosts []*host
	index uint64
}

// newCluster starts hosts whose target is the handler; the first host owns all
// keys.
func newCluster(t *testing.T, n int, service string, target func(h *host, w http.ResponseWriter, r *http.Request)) *cluster {
	t.Helper()
	rules, err := conf.ParseRules("rules", []byte(clusterRules))
	if err != nil {
		t.Fatal(err)
	}
	w := &cluster{t: t}
	now := time.Now()
	for i := range n {
		h := &host{id: proto.HostID{Name: fmt.Sprintf("host%d", i), Incarnation: 1}, gate: lease.NewGate(now)}
		h.gate.SetEnd(now.Add(time.Hour))
		h.router = New(h, clockwork.NewRealClock(), proto.Place{})
		h.router.SetRules(rules)
		h.router.slowStart = 0
		start := func(f http.HandlerFunc) string {
			s := httptest.NewUnstartedServer(f)
			h.callers = &emul.Gate{Listener: s.Listener}
			s.Listener = h.callers
			s.Config.ConnContext = hangup.ConnContext
			s.Start()
			t.Cleanup(s.Close)
			t.Cleanup(s.CloseClientConnections)
			return strings.TrimPrefix(s.URL, "http://")
		}
		h.router.SetTarget(service, start(func(rw http.ResponseWriter, r *http.Request) {
			h.runs.Add(1)
			target(h, rw, r)
		}), 12, 110)
		h.member = proto.Member{ID: h.id, Service: service, Slots: 12, Addresses: proto.Addresses{Peer: start(h.router.ServePeer)}}
		h.caller = start(h.router.ServeCaller) // the last one, whose gate is kept
		w.hosts = append(w.hosts, h)
	}
	w.publish(proto.Entry{Epoch: 1})
	return w
}

// publish gives all entries the same ownership in the view of the given host,
// or of all hosts if none is given.
func (w *cluster) publish(e proto.Entry, to ...int) {
	w.index++
	p := &proto.Page{Service: "permit", Shards: make([]proto.Entry, proto.PageShards)}
	var members []proto.Member
	for _, h := range w.hosts {
		p.Owners = append(p.Owners, h.id)
		members = append(members, h.member)
	}
	for i := range p.Shards {
		p.Shards[i] = e
	}
	for i, h := range w.hosts {
		if len(to) > 0 && to[0] != i {
			continue
		}
		var b shard.Builder
		b.SetSelf(h.id)
		b.SetHosts(members)
		b.SetService("permit", 1024)
		b.SetPage(p, w.index)
		h.view.Store(b.View())
	}
}

// reply is the response that a caller receives.
type reply struct {
	status  int
	outcome proto.Outcome
	reason  Reason
	body    string
	header  http.Header
}

func (w *cluster) send(ingress int, method, path, body string, header ...string) reply {
	w.t.Helper()
	req, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+w.hosts[ingress].caller+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	return do(w.t, req, header...)
}

func do(t *testing.T, req *http.Request, header ...string) reply {
	t.Helper()
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	h := resp.Header
	return reply{resp.StatusCode, proto.Outcome(h.Get(proto.HeaderOutcome)), Reason(h.Get(proto.HeaderReason)), string(bytes.TrimSpace(b)), h}
}

// sendAsync sends a request in the background.
func (w *cluster) sendAsync(ingress int, method, path, body string, header ...string) <-chan reply {
	c := make(chan reply, 1)
	go func() { c <- w.send(ingress, method, path, body, header...) }()
	return c
}

func (r reply) want(t *testing.T, outcome proto.Outcome, reason Reason) {
	t.Helper()
	if r.outcome != outcome || r.reason != reason {
		t.Fatalf("outcome %q, reason %q, status %d, want %q, %q", r.outcome, r.reason, r.status, outcome, reason)
	}
}

func (w *cluster) runs() int {
	n := 0
	for _, h := range w.hosts {
		n += int(h.runs.Load())
	}
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("not reached: %s", what)
		case <-time.After(time.Millisecond):
		}
	}
}

func newID(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// echo responds with the name of its host and the request's tag.
func echo(h *host, w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "%s %s", h.id.Name, r.Header.Get("Tag"))
}

// truncateResponse sends a part of a response and closes the connection.
func truncateResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("part"))
	panic(http.ErrAbortHandler)
}
