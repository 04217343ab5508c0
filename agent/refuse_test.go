package agent

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/clock"
)

// Guards against input that is rejected without a log line, and against a faulty
// sender that floods the log.
func TestRejectedInputIsLoggedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := errorLog{clock: clock.NewBubble(), log: slog.New(slog.NewTextHandler(&out, nil))}
		assertLines := func(want int) {
			t.Helper()
			if n := strings.Count(out.String(), eventHeartbeatRefused.Name()); n != want {
				t.Errorf("%d lines, want %d:\n%s", n, want, out.String())
			}
		}
		broken, foreign := errors.New("no sequence"), errors.New("another service")
		for range 5 {
			r.report(t.Context(), eventHeartbeatRefused, "i-1", broken)
			r.report(t.Context(), eventHeartbeatRefused, "i-1", foreign)
		}
		assertLines(2)
		time.Sleep(repeatInterval)
		r.report(t.Context(), eventHeartbeatRefused, "i-1", broken)
		assertLines(3)
		if !strings.Contains(out.String(), "id=i-1") || !strings.Contains(out.String(), "no sequence") {
			t.Errorf("id or reason is missing:\n%s", out.String())
		}
	})
}
