package client

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
)

// ErrHead means that the head of an answer is not valid. http.ReadResponse accepts some of
// these, such as the status 000, which would reach the caller as an answer.
var ErrHead = errors.New("head of the answer is not valid")

// statusLine matches a status line: the version, one space and a status of three digits from
// 100 to 599.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9](?: [^\r\n]*)?\r?$`)

var (
	lengthHeader   = []byte("Content-Length")
	encodingHeader = []byte("Transfer-Encoding")
)

// ValidStatus reports whether a status is one of a final response. Targets in trouble were
// seen to answer with 000.
func ValidStatus(status int) bool { return status >= 200 && status <= 599 }

// checkHead validates the head with which some bytes begin. Lengths that are stated twice, or
// beside chunks, are refused: if another reader of the same bytes takes the other one, what it
// takes for the next answer is the body of this one.
func checkHead(raw []byte, status int) error {
	line, rest, _ := bytes.Cut(raw, []byte("\n"))
	if !statusLine.Match(line) {
		return fmt.Errorf("%w: status line %.40q", ErrHead, line)
	}
	if status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status 101 without a request to upgrade", ErrHead)
	}
	lengths, encodings := 0, 0
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(bytes.TrimRight(line, "\r")) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, lengthHeader):
			lengths++
		case bytes.EqualFold(name, encodingHeader):
			encodings++
		}
	}
	if lengths+encodings > 1 {
		return fmt.Errorf("%w: %d lengths and %d transfer encodings, at most one of them is allowed", ErrHead, lengths, encodings)
	}
	return nil
}
