package terse_test

import (
	"bytes"
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"burdocklift/terse"
)

// Guards against strings that change on the way, such as ones that only look like packed ones.
func TestStrings(t *testing.T) {
	for _, s := range []string{
		"", "GET", "a", "0", "00", "007", "18446744073709551615", "2305843009213693951", "2305843009213693950", "+1", "-1", "12.5",
		"deadbeef", "DEADBEEF", "deadbeefa", "abc", "sid=0123456789abcdef", "sid=x0123456789abcdef0123", "zzzzzzzz", "QUJDRA==", "QUJDRB==",
		"Zm9vYmFyMTIz", "Zm9vYmFy\n123", "Sun, 06 Nov 1994 08:49:37 GMT", "Mon, 06 Nov 1994 08:49:37 GMT", "Sun, 06 Nov 1994 08:49:37 UTC",
		"Thu, 01 Jan 1970 00:00:00 GMT", "Wed, 31 Dec 1969 23:59:59 GMT", "/a/b?c=d", "naïve \x00\xff", strings.Repeat("x", 5000),
		"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
	} {
		var w terse.Writer
		w.String(s)
		r := terse.NewReader(w.Bytes())
		if got := r.String(); got != s || r.Err() != nil || len(r.Rest()) != 0 {
			t.Errorf("%q becomes %q, %v", s, got, r.Err())
		}
	}
}

// Guards against headers that change on the way.
func TestHeaders(t *testing.T) {
	for _, h := range []http.Header{
		nil,
		{"Accept": {"*/*"}, "Accept-Encoding": {"identity", "br"}, "X-Other": {"", "b"}, "odd name": {"v"}},
		{"Content-Type": {""}, "Date": {"Sun, 06 Nov 1994 08:49:37 GMT"}, "X-Response-Signature": {"0123456789abcdef"}},
	} {
		var w terse.Writer
		w.Header(h)
		w.Rest([]byte("body"))
		r := terse.NewReader(w.Bytes())
		if got := r.Header(); !reflect.DeepEqual(got, h) || string(r.Rest()) != "body" || r.Err() != nil {
			t.Errorf("%v becomes %v, %v", h, got, r.Err())
		}
	}
}

// Guards against a crash, or memory for lengths that are only claimed, on bytes of a faulty
// node, and against messages that read differently after another round.
func FuzzReader(f *testing.F) {
	var w terse.Writer
	w.String("sid=0123456789abcdef")
	w.Header(http.Header{"Accept": {"*/*"}, "X-Other": {"1"}})
	f.Add(w.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{5, 5, 5, 5})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := terse.NewReader(b).With(new(terse.Memory))
		s, h := r.String(), r.Header()
		if r.Err() != nil {
			if !errors.Is(r.Err(), terse.ErrInvalid) {
				t.Errorf("error %v", r.Err())
			}
			return
		}
		rest := bytes.Clone(r.Rest())
		var w terse.Writer
		w.String(s)
		w.Header(h)
		w.Rest(rest)
		again := terse.NewReader(w.Bytes())
		if s2, h2 := again.String(), again.Header(); s2 != s || !reflect.DeepEqual(h2, h) || !bytes.Equal(again.Rest(), rest) {
			t.Errorf("%q %v becomes %q %v", s, h, s2, h2)
		}
	})
}
