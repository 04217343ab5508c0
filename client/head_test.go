package client_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdocklift/client"
)

// exchangeTimeout ends a test that waits for more of an answer.
const exchangeTimeout = 5 * time.Second

// answerOnce serves a target that answers the first request on each connection with a text
// and leaves the connection open.
func answerOnce(t *testing.T, answer string) *client.Pool {
	t.Helper()
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		_, _ = r.ReadByte() // until the other side closes
	})
}

func exchange(t *testing.T, answer string) (client.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	return answerOnce(t, answer).Do(ctx, &client.Request{Method: http.MethodGet, Path: "/", Host: "h", ID: "1"})
}

// TestInvalidHeads guards against bytes of a failing target that reach a caller as an answer:
// http.ReadResponse accepts the status 000, signs and several lengths.
func TestInvalidHeads(t *testing.T) {
	const end = "\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n"
	for name, answer := range map[string]string{
		"status 000":                "HTTP/1.1 000 None" + end,
		"status 099":                "HTTP/1.1 099 None" + end,
		"status 600":                "HTTP/1.1 600 None" + end,
		"status 999":                "HTTP/1.1 999 None" + end,
		"status with a plus":        "HTTP/1.1 +20 OK" + end,
		"status with a minus":       "HTTP/1.1 -20 OK" + end,
		"two digits":                "HTTP/1.1 20 OK" + end,
		"four digits":               "HTTP/1.1 2000 OK" + end,
		"two spaces before status":  "HTTP/1.1  200 OK" + end,
		"space before the version":  " HTTP/1.1 200 OK" + end,
		"switching protocols":       "HTTP/1.1 101 Switching Protocols" + end,
		"informational answer last": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 5),
		"invalid after 100":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None" + end,
		"equal lengths":             "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"different lengths":         "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\ncontent-length: 3\r\n\r\nok",
		"length beside chunks":      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a, err := exchange(t, answer)
			if !errors.Is(err, client.ErrMalformed) || !errors.Is(err, client.ErrUnclear) {
				t.Errorf("answer %+v with error %v, want %v", a, err, client.ErrMalformed)
			}
		})
	}
}

// TestValidHeads guards against a check that refuses answers which the protocol allows.
func TestValidHeads(t *testing.T) {
	for name, answer := range map[string]string{
		"no reason":       "HTTP/1.1 204\r\nRequest-Id: 1\r\n\r\n",
		"empty reason":    "HTTP/1.1 200 \r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"line feeds only": "HTTP/1.1 200 OK\nRequest-Id: 1\nContent-Length: 0\n\n",
		"after 100":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 299 Own\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"chunks":          "HTTP/1.1 599 Own\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"names in body":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 38\r\n\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if a, err := exchange(t, answer); err != nil || a.Status/100 < 2 {
				t.Errorf("status %d, error %v, want an answer", a.Status, err)
			}
		})
	}
}

// FuzzHead guards against heads that are taken for answers although their status is none, and
// against a parser that fails in other ways. The seeds run with every test.
func FuzzHead(f *testing.F) {
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 000 None", "HTTP/1.1 +20 OK", "HTTP/1.1 2000 OK", "HTTP/1.0 599", "HTTP/1.1 101 Up",
		"HTTP/2.0 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\x00OK", "", "\r\n", "HTTP/1.1 20\u0660 OK", "garbage",
	} {
		f.Add(line, "Content-Length: 0\r\n")
	}
	f.Add("HTTP/1.1 200 OK", "Content-Length: 0\r\nContent-Length: 0\r\n")
	f.Add("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n")
	f.Fuzz(func(t *testing.T, line, headers string) {
		a, err := client.ReadAnswer(strings.NewReader(fmt.Sprintf("%s\r\nRequest-Id: 1\r\n%s\r\n0\r\n\r\n", line, headers)), http.MethodGet)
		if err == nil && (a.StatusCode < 100 || a.StatusCode > 599 || a.StatusCode == http.StatusSwitchingProtocols) {
			t.Errorf("head %q is taken for an answer with status %d", line, a.StatusCode)
		}
	})
}
