package admin_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/admin"
	"burdocklift/conf"
	"burdocklift/emul"
	"burdocklift/kernel"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/site"
	"burdocklift/stats"
)

const token = "right-token-0123456789"

const rules = `version = 1
[[service]]
name = "permit"
keyed = true
shards = 1024
key = { from = "path", segment = 3 }
[[service.class]]
name = "lookup"
methods = ["GET"]
once = false
`

// quarantine is a registry as a node without peers uses it.
type quarantine struct{ *poison.Registry }

func (q quarantine) Lift(h poison.Hash) error {
	_, err := q.Registry.Lift(h)
	return err
}

type source struct{ admin.Source }

func (source) Status(context.Context) admin.Status { return admin.Status{Node: "h1"} }

// begin serves the operators' address of a node without control.
func begin(t *testing.T, token string, k *kernel.Kernel) (*httptest.Server, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	s := httptest.NewServer(admin.New(admin.Config{
		Token: token, Source: source{}, Kernel: k, Log: slog.New(slog.NewJSONHandler(&log, nil)),
	}))
	t.Cleanup(s.Close)
	return s, &log
}

// must ends the test if a call failed: must(call())(t).
func must[T any](v T, err error) func(*testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// Guards against a path that answers without the token, and against a token
// that appears in a log line or a response.
func TestToken(t *testing.T) {
	for name, c := range map[string]struct {
		token, header string
		status        int
	}{
		"missing":        {token, "", 401},
		"empty":          {token, "Bearer ", 401},
		"wrong":          {token, "Bearer wrong-token-0123456789", 401},
		"prefix":         {token, "Bearer " + token[:8], 401},
		"longer":         {token, "Bearer " + token + "0", 401},
		"other scheme":   {token, "Basic " + token, 401},
		"no token set":   {"", "Bearer ", 401},
		"no header, set": {"", "", 401},
		"right":          {token, "Bearer " + token, 200},
	} {
		t.Run(name, func(t *testing.T) {
			s, log := begin(t, c.token, &kernel.Kernel{})
			for _, path := range []string{"/status", "/members", "/metrics", "/owner", "/drain", "/quarantine", "/", "/absent"} {
				if c.status == 200 && path != "/status" {
					continue
				}
				req := must(http.NewRequest(http.MethodGet, s.URL+path, nil))(t)
				if c.header != "" {
					req.Header.Set("Authorization", c.header)
				}
				resp := must(http.DefaultClient.Do(req))(t)
				var body bytes.Buffer
				_, err := body.ReadFrom(resp.Body)
				if err := errors.Join(err, resp.Body.Close()); err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != c.status {
					t.Errorf("%s: status is %d, want %d", path, resp.StatusCode, c.status)
				}
				if text := body.String() + log.String(); strings.Contains(text, token[:8]) || strings.Contains(text, "wrong-token") {
					t.Errorf("%s: a token appears in %q", path, text)
				}
			}
			if refused := strings.Contains(log.String(), `"event":2300`); refused != (c.status == 401) {
				t.Errorf("event 2300 logged: %v", refused)
			}
		})
	}
}

// Guards against errors that show the token, and against a token file that is
// empty or holds something else.
func TestTokenInErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	for _, text := range []string{"", "short-secret", "secret with spaces 0123", "secret-first-line\nsecond-line"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := admin.ReadToken(file)
		if !errors.Is(err, admin.ErrToken) || strings.Contains(err.Error(), "secret") {
			t.Errorf("token file %q: error is %v", text, err)
		}
	}
	s, _ := begin(t, token, &kernel.Kernel{})
	for _, base := range []string{s.URL, "http://127.0.0.1:1"} {
		_, err := must(admin.NewClient(base, "wrong-token-0123456789"))(t).Status(t.Context())
		if err == nil || strings.Contains(err.Error(), "wrong-token") {
			t.Errorf("error is %v", err)
		}
	}
}

// Guards against a quarantine that operators cannot see or lift, and against
// metrics that are not served.
func TestLookups(t *testing.T) {
	var k kernel.Kernel
	s, log := begin(t, token, &k)
	client := must(admin.NewClient(s.URL, token))(t)
	if _, err := client.Quarantine(t.Context()); !errors.Is(err, admin.ErrResponse) {
		t.Errorf("without a quarantine the error is %v", err)
	}
	r := poison.NewRegistry(poison.Config{Origin: proto.HostID{Name: "h1", Incarnation: 1}}, clockwork.NewFakeClock())
	f := poison.Fingerprint{Content: 0xabc}
	for range 2 {
		if err := r.Start(f); err != nil {
			t.Fatal(err)
		}
		r.RecordCrash()
		r.Cancel(f)
	}
	var set stats.Set
	set.Observe("lookup", "ward-7", "answer", time.Millisecond)
	if err := errors.Join(k.Register(admin.QuarantineService, quarantine{r}), k.Register(admin.MetricsService, &set)); err != nil {
		t.Fatal(err)
	}
	list := must(client.Quarantine(t.Context()))(t)
	if len(list) != 1 || list[0].Hash != "0000000000000abc" || !list[0].Quarantined || list[0].Crashes != 2 {
		t.Fatalf("quarantine is %+v", list)
	}
	for _, hash := range []string{"zzz", "abd"} {
		if err := client.Lift(t.Context(), hash); err == nil || !strings.Contains(err.Error(), hash) {
			t.Errorf("lift of %s: error is %v", hash, err)
		}
	}
	if err := client.Lift(t.Context(), list[0].Hash); err != nil {
		t.Fatal(err)
	}
	if err := r.Start(f); err != nil || !strings.Contains(log.String(), `"event":2301`) {
		t.Errorf("after the lift: %v, log %s", err, log)
	}
	req := must(http.NewRequest(http.MethodGet, s.URL+"/metrics", nil))(t)
	req.Header.Set("Authorization", "Bearer "+token)
	resp := must(http.DefaultClient.Do(req))(t)
	var body bytes.Buffer
	_, err := body.ReadFrom(resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"lookup"`, `"ward-7"`, `"latency_ms"`} {
		if !strings.Contains(body.String(), want) {
			t.Errorf("metrics lack %s: %s", want, &body)
		}
	}
}

// Guards against a status that differs from the state of the node, and against
// a drain through the operators' address that leaves keys behind.
func TestSite(t *testing.T) {
	spec := site.Spec{Rules: []byte(rules), Token: token}
	for i := range 4 {
		spec.Hosts = append(spec.Hosts, site.HostSpec{
			Name: fmt.Sprintf("h%d", i), Place: proto.Place{DataCentre: fmt.Sprintf("dc%d", i/2), Region: "r"},
			Target: emul.TargetConfig{Service: "permit"},
		})
	}
	s := must(site.Start(t.Context(), spec))(t)
	t.Cleanup(func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	if err := s.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	node := func(i int) *admin.Client {
		return must(admin.NewClient("http://"+s.Hosts()[i].Node.Addresses().Operator, token))(t)
	}
	waitOn := func(host int, what string, done func(admin.Status) bool) admin.Status {
		t.Helper()
		for {
			st := must(node(host).Status(ctx))(t)
			if done(st) {
				return st
			}
			if err := ctx.Err(); err != nil {
				t.Fatalf("%s: did not happen: %+v", what, st)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	wait := func(what string, done func(admin.Status) bool) admin.Status {
		t.Helper()
		return waitOn(0, what, done)
	}
	st := wait("serving", func(st admin.Status) bool {
		return st.Rules.Version == 1 && len(st.Measures) == 1 && st.Measures[0].Unavailable == 0 && st.Members == 4
	})
	view := s.Hosts()[0].Node.Control().View()
	if st.Node != "h0" || st.Incarnation != view.Self().Incarnation || st.Phase != "member" || st.Lease.State != "valid" ||
		st.Records == nil || st.Records.Newest == 0 || st.Store.State != "available" || st.Measures[0].EntryImbalance > 1.15 {
		t.Errorf("status is %+v", st)
	}
	d, _ := view.Route("permit", "P-1")
	if o := must(node(1).Owner(ctx, "permit", "P-1"))(t); o.Owner != d.OwnerID.String() || o.Shard != d.Shard || o.Hot {
		t.Errorf("owner is %+v, want %v", o, d)
	}
	if _, err := node(1).Owner(ctx, "absent", "P-1"); !errors.Is(err, admin.ErrResponse) {
		t.Errorf("unknown service: %v", err)
	}
	caller := must(admin.NewClient("http://"+s.Hosts()[0].Node.Addresses().Caller, token))(t)
	if _, err := caller.Status(ctx); err == nil {
		t.Error("the callers' address shows the status")
	}

	kv := s.Platform().KV()
	index := must(kv.Swap(ctx, proto.KeyRules, must(kv.Get(ctx, proto.KeyRules))(t).Index, []byte("version = broken")))(t)
	st = wait("refusal", func(st admin.Status) bool { return st.Rules.Refused != nil })
	if st.Rules.Refused.Index != index || st.Rules.Version != 1 || !strings.Contains(st.Rules.Refused.Reason, string(conf.KindRules)) {
		t.Errorf("refusal is %+v", st.Rules)
	}

	moved := 0
	for _, m := range must(node(0).Members(ctx))(t) {
		if m.Node == "h3" {
			moved = m.Entries
		}
	}
	before := st.Measures[0].Churn
	if moved == 0 {
		t.Fatal("h3 owns nothing that a drain could move")
	}
	if err := node(3).Drain(ctx); err != nil {
		t.Fatal(err)
	}
	st = wait("drain", func(st admin.Status) bool {
		return st.Members == 3 && st.Measures[0].Unavailable == 0 && st.Measures[0].Churn >= before+moved
	})
	// The other nodes may read the record that h3 has left before h3 has the reply to its write.
	seen := time.Now()
	waitOn(3, "end of the drain", func(st admin.Status) bool { return st.Phase == "gone" })
	t.Logf("h3 is gone %v after h0 has seen it", time.Since(seen))
	entries := 0
	for _, m := range must(node(0).Members(ctx))(t) {
		entries += m.Entries
	}
	if entries != 1024 {
		t.Errorf("%d entries have an owner, want 1024", entries)
	}
}
