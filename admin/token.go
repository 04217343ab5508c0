package admin

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// MinToken is the shortest token in bytes. 16 random bytes are beyond guessing
// over a network.
const MinToken = 16

// ErrToken marks a token file without a usable token.
var ErrToken = errors.New("token must be one line of at least 16 printable ASCII characters without spaces")

// ReadToken reads the operators' token from a file. Errors name the file and
// never its contents.
func ReadToken(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read token file: %w", err)
	}
	b = bytes.TrimSpace(b)
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(b) < MinToken || bytes.ContainsFunc(b, unprintable) {
		return "", fmt.Errorf("token file %s: %w", file, ErrToken)
	}
	return string(b), nil
}

// verifier compares tokens in constant time. It holds digests, so that the
// comparison does not depend on the length either.
type verifier [sha256.Size]byte

func newVerifier(token string) verifier { return sha256.Sum256([]byte(token)) }

func (v verifier) allows(req *http.Request) bool {
	scheme, token, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	given := sha256.Sum256([]byte(strings.TrimSpace(token)))
	same := subtle.ConstantTimeCompare(v[:], given[:]) == 1
	return strings.EqualFold(scheme, "Bearer") && token != "" && same
}
