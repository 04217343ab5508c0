package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

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
