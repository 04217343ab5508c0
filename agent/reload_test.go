package agent

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"burdocklift/conf"
)

const settingsText = `name = "n-1"
data_centre = "a"
region = "r"
store = "10.0.0.1:80"
memory = 284
[target]
service = "desk"
address = "10.0.0.2:80"
[addresses]
ip = "10.0.0.2"
caller = "10.0.0.2:81"
ready = "10.0.0.2:82"
target = "10.0.0.2:83"
ports = [7000, 7015]
[limits]
drain = "2s"
`

// Guards against settings changes that are missed, against a running node that
// applies invalid settings, and against a required restart that is not logged.
func TestReload(t *testing.T) {
	started, err := conf.ParseAgent("s", []byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, cause, old, fresh string
		drain                   time.Duration // applied; zero for none
		line                    string        // in the log; empty for none
	}{
		{"same file", "file", "", "", 0, ""},
		{"signal", "signal", "", "", 2 * time.Second, "restart=false"},
		{"limit", "file", `"2s"`, `"3s"`, 3 * time.Second, "restart=false"},
		{"store", "file", "10.0.0.1", "10.0.0.9", 2 * time.Second, "restart=true"},
		{"broken", "file", "drain", "drian", 0, "settings refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.toml")
			if err := os.WriteFile(path, []byte(strings.Replace(settingsText, c.old, c.fresh, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			var log bytes.Buffer
			applied := time.Duration(0)
			r := &reloader{
				path: path, log: slog.New(slog.NewTextHandler(&log, nil)), initial: started, lastRead: started,
				apply: func(s conf.Agent) { applied = s.Limits.Drain },
			}
			r.reload(context.Background(), c.cause)
			if applied != c.drain {
				t.Errorf("applied %v, want %v", applied, c.drain)
			}
			if (c.line == "") != (log.Len() == 0) || !strings.Contains(log.String(), c.line) {
				t.Errorf("log is %q, want %q", log.String(), c.line)
			}
		})
	}
}
