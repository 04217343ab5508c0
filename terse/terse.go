// Package terse encodes strings and headers of messages between nodes in few bytes. Known
// names and values are numbers of a dictionary, and identifiers are packed. The dictionary is
// part of the protocol: a change of its order needs a new feature of connections (package
// peer).
package terse

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// ErrInvalid is returned for bytes that no node of this version sends.
var ErrInvalid = errors.New("message is not valid")

// Forms of a string. They are the low bits of the number that a string begins with.
const (
	formLiteral = iota // length, then the bytes
	formKnown          // number in the dictionary
	formHex            // length, then the bytes that the string shows as lower-case hexadecimal
	formBase64         // likewise, as standard base64 with padding
	formDecimal        // the decimal number that the string shows
	formSplit          // length of a literal, its bytes, then another string that follows it
	formDate           // the Unix time that the string shows as an HTTP date
	formLearned        // number of a string of the connection, or its definition
	formBits    = 3
)

const (
	// minPacked is the length from which hexadecimal is packed. Shorter text gains nothing.
	minPacked = 8
	// maxDepth bounds how many times a string is split.
	maxDepth = 1
	// maxHeaderValues bounds the values of a header. Sections of 16 KiB hold fewer.
	maxHeaderValues = 1 << 14
)

// Writer appends the parts of a message to a buffer. The zero value is empty.
type Writer struct {
	buf     []byte
	learner *Learner // nil without recurring strings
	defined []int    // numbers that the message defines
}

// NewWriter returns a writer for a connection.
func NewWriter(l *Learner) *Writer { return &Writer{learner: l} }

// Bytes returns the message.
func (w *Writer) Bytes() []byte { return w.buf }

// Uint appends a number.
func (w *Writer) Uint(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }

// Int appends a number that may be negative.
func (w *Writer) Int(n int64) { w.buf = binary.AppendVarint(w.buf, n) }

// Rest appends bytes that end the message.
func (w *Writer) Rest(b []byte) { w.buf = append(w.buf, b...) }

// String appends a string.
func (w *Writer) String(s string) { w.buf = w.appendString(s, maxDepth) }

func (w *Writer) appendString(s string, depth int) []byte {
	if i, ok := knownIndex[s]; ok {
		return appendForm(w.buf, formKnown, uint64(i))
	}
	if n, ok := parseDecimal(s); ok {
		return appendForm(w.buf, formDecimal, n)
	}
	if len(s) == len(http.TimeFormat) && s[len(s)-3:] == "GMT" {
		if t, err := time.Parse(http.TimeFormat, s); err == nil && t.Unix() >= 0 && t.UTC().Format(http.TimeFormat) == s {
			return appendForm(w.buf, formDate, uint64(t.Unix()))
		}
	}
	if tail := hexTail(s); tail == len(s) && tail > 0 {
		if b, err := hex.DecodeString(s); err == nil {
			return append(appendForm(w.buf, formHex, uint64(len(b))), b...)
		}
	} else if tail > 0 && depth > 0 {
		head := s[:len(s)-tail]
		w.buf = append(appendForm(w.buf, formSplit, uint64(len(head))), head...)
		return w.appendString(s[len(head):], depth-1)
	}
	if len(s) >= minPacked && len(s)%4 == 0 {
		// Text whose unused bits are set would change on the way.
		if b, err := base64.StdEncoding.Strict().DecodeString(s); err == nil && base64.StdEncoding.EncodeToString(b) == s {
			return append(appendForm(w.buf, formBase64, uint64(len(b))), b...)
		}
	}
	return append(appendForm(w.buf, formLiteral, uint64(len(s))), s...)
}

func appendForm(b []byte, form int, n uint64) []byte {
	return binary.AppendUvarint(b, n<<formBits|uint64(form))
}

// parseDecimal returns the number that a string shows, if it is the usual way to write it.
func parseDecimal(s string) (uint64, bool) {
	if s == "" || s[0] < '0' || s[0] > '9' || s[0] == '0' && len(s) > 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil && n < math.MaxUint64>>formBits
}

// hexTail returns the length of the end of a string that can be packed as hexadecimal, or 0.
func hexTail(s string) int {
	n := 0
	for n < len(s) && isHex(s[len(s)-1-n]) {
		n++
	}
	if n -= n % 2; n < minPacked {
		return 0
	}
	return n
}

func isHex(c byte) bool { return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' }

// Header appends a header. Names with several values are repeated; ones without are left out.
func (w *Writer) Header(h http.Header) {
	names := make([]string, 0, len(h))
	count := 0
	for name, values := range h {
		names = append(names, name)
		count += len(values)
	}
	slices.Sort(names)
	w.Uint(uint64(count))
	for _, name := range names {
		for _, value := range h[name] {
			w.field(name, value)
		}
	}
}

// field appends a name and a value. It begins with the number of a field in the dictionary,
// or 0 for another name.
func (w *Writer) field(name, value string) {
	if i, ok := fieldIndex[field{name, value}]; ok && value != "" {
		w.Uint(uint64(i + 1))
		return
	}
	if i, ok := fieldIndex[field{name, ""}]; ok {
		w.Uint(uint64(i + 1))
	} else {
		w.Uint(0)
		w.Recurring(name)
	}
	if recurring[name] {
		w.Recurring(value)
		return
	}
	w.String(value)
}

// Reader reads the parts of a message in the order in which they were written. After an
// error, which Err returns, all parts are empty.
type Reader struct {
	buf    []byte
	err    error
	memory *Memory // nil without recurring strings
}

// NewReader returns a reader of a message.
func NewReader(b []byte) *Reader { return &Reader{buf: b} }

// With sets the memory of the connection.
func (r *Reader) With(m *Memory) *Reader {
	r.memory = m
	return r
}

// Err returns the first error.
func (r *Reader) Err() error { return r.err }

func (r *Reader) fail(reason string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", ErrInvalid, reason)
	}
	r.buf = nil
}

// Uint reads a number.
func (r *Reader) Uint() uint64 {
	n, size := binary.Uvarint(r.buf)
	if size <= 0 {
		r.fail("expected a number")
		return 0
	}
	r.buf = r.buf[size:]
	return n
}

// Int reads a number that may be negative.
func (r *Reader) Int() int64 {
	n, size := binary.Varint(r.buf)
	if size <= 0 {
		r.fail("expected a number")
		return 0
	}
	r.buf = r.buf[size:]
	return n
}

// Rest reads the bytes that end the message, nil for none.
func (r *Reader) Rest() []byte {
	b := r.buf
	r.buf = nil
	if len(b) == 0 {
		return nil
	}
	return b
}

func (r *Reader) take(n uint64) []byte {
	if n > uint64(len(r.buf)) {
		r.fail("length is above that of the message")
		return nil
	}
	b := r.buf[:n]
	r.buf = r.buf[n:]
	return b
}

// String reads a string.
func (r *Reader) String() string { return r.string(maxDepth) }

func (r *Reader) string(depth int) string {
	n := r.Uint()
	form := n & (1<<formBits - 1)
	n >>= formBits
	switch form {
	case formLiteral:
		return string(r.take(n))
	case formKnown:
		if n < uint64(len(known)) {
			return known[n]
		}
	case formHex:
		return hex.EncodeToString(r.take(n))
	case formBase64:
		return base64.StdEncoding.EncodeToString(r.take(n))
	case formDecimal:
		return strconv.FormatUint(n, 10)
	case formDate:
		if n < 1<<40 {
			return time.Unix(int64(n), 0).UTC().Format(http.TimeFormat)
		}
	case formLearned:
		if s, ok := r.learned(n); ok {
			return s
		}
	case formSplit:
		if depth > 0 {
			head := string(r.take(n))
			return head + r.string(depth-1)
		}
	}
	r.fail("form of a string is not known")
	return ""
}

// Header reads a header, nil for an empty one.
func (r *Reader) Header() http.Header {
	count := r.Uint()
	if count > maxHeaderValues {
		r.fail("too many values of a header")
		return nil
	}
	if count == 0 {
		return nil
	}
	h := make(http.Header, min(count, 32))
	for range count {
		name, value := r.field()
		if r.err != nil {
			return nil
		}
		h[name] = append(h[name], value)
	}
	return h
}

func (r *Reader) field() (name, value string) {
	n := r.Uint()
	switch {
	case n == 0:
		name = r.String()
		return name, r.String()
	case n <= uint64(len(fields)):
		f := fields[n-1]
		if f.value != "" {
			return f.name, f.value
		}
		return f.name, r.String()
	}
	r.fail("number of a field is not known")
	return "", ""
}
