package cmds

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burdocklift/emul"
	"burdocklift/platform"
	"burdocklift/platform/stand"
)

// Guards against rules records that pass the check although nodes refuse them, or although keys
// have owners that may not serve all requests.
func TestCheckRegions(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	record := func(name string, first, second []string) string {
		return write(name, stand.Rules(1, "h", "desk", []stand.Route{
			{Prefix: "/a/", Service: "desk", Regions: first}, {Prefix: "/b/", Service: "desk", Regions: second},
		}))
	}
	settings := write("agent.toml", []byte(`name = "n"
data_centre = "n1"
region = "north"
store = "10.0.0.1:80"
memory = 284
target = { service = "desk", address = "10.0.0.2:80" }
addresses = { ip = "10.0.0.2", caller = "10.0.0.2:81", ready = "10.0.0.2:82", target = "10.0.0.2:83", ports = [7000, 7015] }
regions = { n1 = "north", s1 = "south" }
`))
	for _, c := range []struct {
		name, record string
		exit         int
		out, err     string
	}{
		{"in common", record("1", []string{"north", "south"}, []string{"south"}), ExitOK, "ok", ""},
		{"nothing in common", record("2", []string{"north"}, []string{"south"}), ExitOK, `warning  `, ""},
		{"unknown region", record("3", []string{"north"}, []string{"west"}), ExitUsage, "invalid", `route "r-1": region "west"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			exit := run(context.Background(), []string{"check", "--agent", settings, "--record", c.record}, &out, &errs)
			if exit != c.exit || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.err) {
				t.Errorf("exit status %d, want %d, output:\n%s%s", exit, c.exit, &out, &errs)
			}
			if warns := strings.Contains(out.String(), "warning"); warns != (c.name == "nothing in common") {
				t.Errorf("a warning is printed: %v, output:\n%s", warns, &out)
			}
		})
	}
}

// Guards against a comparison with another record than the one in force in the store, and
// against a store without rules that passes for one with the same.
func TestCheckAgainstStore(t *testing.T) {
	ledger := emul.NewLedger(0)
	t.Cleanup(ledger.Close)
	server := httptest.NewServer(stand.Store(ledger.Client("test")))
	t.Cleanup(server.Close)
	record := filepath.Join(t.TempDir(), "record.json")
	if err := os.WriteFile(record, stand.Rules(2, "h", "desk", []stand.Route{{Prefix: "/a/", Service: "desk"}}), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		inForce  []byte
		exit     int
		out, err string
	}{
		{"no rules", nil, ExitUsage, "", "the record in force was not read: read op/config: record not found"},
		{"older", stand.Rules(1, "h", "desk", []stand.Route{{Prefix: "/a/", Service: "other"}}), ExitOK, "other 1   desk 1", ""},
		{"newer", stand.Rules(3, "h", "desk", nil), ExitFailure, "does not exceed 00000003", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.inForce != nil {
				ledger.Put(platform.RulesKey, c.inForce)
			}
			var out, errs bytes.Buffer
			exit := run(context.Background(), []string{"check", record, "--store", server.URL}, &out, &errs)
			if exit != c.exit || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.err) {
				t.Errorf("exit status %d, want %d, output:\n%s%s", exit, c.exit, &out, &errs)
			}
		})
	}
}
