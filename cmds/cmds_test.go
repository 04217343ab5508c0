package cmds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"burdocklift/admin"
	"burdocklift/conf"
	"burdocklift/emul"
	"burdocklift/event"
	"burdocklift/kernel"
	"burdocklift/poison"
	"burdocklift/proto"
	"burdocklift/site"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"burdocklift": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against commands that lose, hide or misreport a change, and against
// exit statuses and messages that scripts cannot rely on. Each script has a
// store of its own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                "testdata",
		RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(emul.NewPlatform(&emul.KV{}))
			env.Defer(server.Close)
			env.Setenv("BURDOCKLIFT_STORE", server.URL)
			env.Setenv("BURDOCKLIFT_AUTHOR", "ebi")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"status": status, "fault": fault, "site": startSite, "suspects": startSuspects},
	})
}

// status runs burdocklift and compares its exit status: status 2 check x.toml.
func status(ts *testscript.TestScript, _ bool, args []string) {
	want, got := args[0], "0"
	if err := ts.Exec("burdocklift", args[1:]...); err != nil {
		exit, ok := err.(interface{ ExitCode() int })
		if !ok {
			ts.Fatalf("run: %v", err)
		}
		got = fmt.Sprint(exit.ExitCode())
	}
	if got != want {
		ts.Fatalf("exit status is %s, want %s", got, want)
	}
}

// startSite starts n nodes in two data centres, with an inventory, in this
// process: site 4. The commands find its store, the first node and the token.
func startSite(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	spec := site.Spec{Token: "site-token-0123456789", Rules: []byte("version = 1\n" + `[[service]]
name = "permit"
keyed = true
shards = 1024
key = { from = "path", segment = 3 }
class = [{ name = "lookup", methods = ["GET"], once = false }]
`)}
	inventory := "version = 1\n# four hosts\n"
	for i := range n {
		h := site.HostSpec{
			Name: fmt.Sprintf("h%d", i), Place: proto.Place{DataCentre: fmt.Sprintf("dc%d", i%2), Region: "r"},
			Target: emul.TargetConfig{Service: "permit", Slots: 12, Connections: 110},
		}
		spec.Hosts = append(spec.Hosts, h)
		inventory += fmt.Sprintf("[[host]]\nname = %q\ndata_centre = %q\nregion = \"r\"\nstate = \"in-use\"\nslots = 12\nconnections = 110\n",
			h.Name, h.Place.DataCentre)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	ts.Defer(cancel)
	s, err := site.Start(ctx, spec)
	ts.Check(err)
	ts.Defer(func() { ts.Check(s.Stop()) })
	_, err = s.Platform().KV().Swap(ctx, proto.KeyInventory, 0, []byte(inventory))
	ts.Check(err)
	ts.Check(s.Ready(ctx))
	for _, h := range s.Hosts() {
		for h.Node.Control().Documents().Inventory == nil {
			ts.Check(ctx.Err())
			time.Sleep(10 * time.Millisecond)
		}
	}
	file := ts.MkAbs("token")
	ts.Check(os.WriteFile(file, []byte(spec.Token+"\n"), 0o600))
	ts.Setenv("BURDOCKLIFT_STORE", s.Address())
	ts.Setenv("BURDOCKLIFT_NODE", "http://"+s.Hosts()[0].Node.Addresses().Operator)
	ts.Setenv("BURDOCKLIFT_TOKEN_FILE", file)
}

// liftable is a registry of a node without peers.
type liftable struct{ *poison.Registry }

func (l liftable) Lift(h poison.Hash) error {
	_, err := l.Registry.Lift(h)
	return err
}

// startSuspects serves an operators' address with a quarantine in which one
// request was in flight at two crashes and one at a single crash.
func startSuspects(ts *testscript.TestScript, _ bool, _ []string) {
	r := poison.NewRegistry(poison.Config{Origin: proto.HostID{Name: "h0", Incarnation: 1}}, clockwork.NewRealClock())
	for _, content := range []poison.Hash{0x5f2c00d1a9e37b64, 0x5f2c00d1a9e37b64, 0x77} {
		f := poison.Fingerprint{Content: content}
		ts.Check(r.Start(f))
		r.RecordCrash()
		r.Cancel(f)
	}
	var k kernel.Kernel
	ts.Check(k.Register(admin.QuarantineService, liftable{r}))
	const token = "site-token-0123456789"
	s := httptest.NewServer(admin.New(admin.Config{Token: token, Kernel: &k, Log: slog.New(slog.DiscardHandler)}))
	ts.Defer(s.Close)
	file := ts.MkAbs("token")
	ts.Check(os.WriteFile(file, []byte(token), 0o600))
	ts.Setenv("BURDOCKLIFT_NODE", s.URL)
	ts.Setenv("BURDOCKLIFT_TOKEN_FILE", file)
}

// fault sets the faults of the store: fault '{"down":true}'.
func fault(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodPut, ts.Getenv("BURDOCKLIFT_STORE")+"/emul/faults", strings.NewReader(args[0]))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_, err = io.Copy(io.Discard, resp.Body)
	ts.Check(err)
	ts.Check(resp.Body.Close())
}

// Guards against a node that logs the token or ignores its log settings.
func TestNodeLog(t *testing.T) {
	var b bytes.Buffer
	const token = "site-token-0123456789"
	log, err := nodeLog(&b, conf.Settings{Name: "h1", Log: conf.Log{Format: "json", Level: "warn"}}, token)
	if err != nil {
		t.Fatal(err)
	}
	event.NodeStarted.Log(t.Context(), log)
	if b.Len() > 0 {
		t.Errorf("an event below the level is logged: %s", &b)
	}
	event.RecordInvalid.Log(t.Context(), log, slog.Any("error", fmt.Errorf("key is %s", token)))
	if got := b.String(); strings.Contains(got, token) || !strings.Contains(got, `"node":"h1","event":1302`) {
		t.Errorf("line is %s", got)
	}
}

// Guards against an event that docs/events.md leaves out, and against one that
// is described there and does not exist.
func TestEventsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, m := range regexp.MustCompile(`(?m)^### (\d+): `).FindAllSubmatch(page, -1) {
		documented = append(documented, string(m[1]))
	}
	var defined []string
	for _, e := range event.All() {
		number := fmt.Sprint(e.Number())
		defined = append(defined, number)
		if !slices.Contains(documented, number) {
			t.Errorf("event %s is not documented", number)
		}
	}
	for _, number := range documented {
		if !slices.Contains(defined, number) {
			t.Errorf("event %s is documented and does not exist", number)
		}
	}
	var b bytes.Buffer
	if err := event.Markdown(&b); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b.Bytes(), page) {
		t.Error("docs/events.md differs from the program; write it with burdocklift events --markdown")
	}
}
