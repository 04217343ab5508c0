package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"regexp"
	"strings"

	"github.com/mattn/go-isatty"
)

// Log formats.
const (
	FormatAuto = "auto" // text on a terminal, JSON otherwise
	FormatText = "text"
	FormatJSON = "json"
)

const redacted = "[redacted]"

// Options configure a logger. The zero value logs JSON or text, as the output
// requires, from level info.
type Options struct {
	Format string
	Level  string
	// Secrets are texts that must not appear in any log line, such as the
	// operators' token.
	Secrets []string
}

// NewLogger returns a logger that writes to w and removes secrets.
func NewLogger(w io.Writer, o Options) (*slog.Logger, error) {
	var level slog.Level
	if o.Level != "" {
		if err := level.UnmarshalText([]byte(o.Level)); err != nil {
			return nil, fmt.Errorf("log level %q: %w", o.Level, err)
		}
	}
	text := o.Format == FormatText
	switch o.Format {
	case FormatText, FormatJSON:
	case FormatAuto, "":
		f, ok := w.(*os.File)
		text = ok && isatty.IsTerminal(f.Fd())
	default:
		return nil, fmt.Errorf("log format %q is not one of %s, %s, %s", o.Format, FormatAuto, FormatText, FormatJSON)
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: replace}
	out := newFilter(w, o.Secrets)
	if text {
		return slog.New(slog.NewTextHandler(out, options)), nil
	}
	return slog.New(slog.NewJSONHandler(out, options)), nil
}

// credentials match an HTTP Authorization value. A backslash ends them, so that
// an escaped quote of a JSON line stays whole.
var credentials = regexp.MustCompile(`((?i:bearer)|Basic) +[^\s"',\\\]}]+`)

// replace removes the values of attributes that are named like a secret.
func replace(_ []string, a slog.Attr) slog.Attr {
	key := strings.ToLower(a.Key)
	for _, word := range []string{"token", "authorization", "secret", "password"} {
		if strings.Contains(key, word) {
			return slog.String(a.Key, redacted)
		}
	}
	return a
}

// filter removes known secrets and credentials from whole log lines, so that
// they are also found inside messages, errors and structured values. Handlers
// write each line with one call.
type filter struct {
	w       io.Writer
	secrets [][]byte
}

func newFilter(w io.Writer, secrets []string) *filter {
	f := &filter{w: w}
	for _, s := range secrets {
		if s = strings.TrimSpace(s); s == "" {
			continue
		}
		f.secrets = append(f.secrets, []byte(s))
		// A quoted value holds the secret in its escaped form.
		for _, html := range []bool{true, false} {
			if escaped := escape(s, html); !bytes.Equal(escaped, []byte(s)) {
				f.secrets = append(f.secrets, escaped)
			}
		}
	}
	return f
}

func escape(s string, html bool) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(html)
	if err := e.Encode(s); err != nil {
		return []byte(s)
	}
	return bytes.Trim(bytes.TrimSpace(b.Bytes()), `"`)
}

// Write implements io.Writer for one log line.
func (f *filter) Write(line []byte) (int, error) {
	out := credentials.ReplaceAll(line, []byte("$1 "+redacted))
	for _, s := range f.secrets {
		out = bytes.ReplaceAll(out, s, []byte(redacted))
	}
	if _, err := f.w.Write(out); err != nil {
		return 0, fmt.Errorf("write log line: %w", err)
	}
	return len(line), nil
}
