package terse

// field is a header field, with an empty value for one of any value.
type field struct{ name, value string }

// fields are the header fields that requests and responses commonly have. The order is part
// of the protocol.
var fields = []field{
	{"Accept", ""},
	{"Accept", "*/*"},
	{"Accept", "application/json"},
	{"Accept-Encoding", ""},
	{"Accept-Encoding", "identity"},
	{"Accept-Encoding", "gzip"},
	{"Accept-Encoding", "gzip, deflate"},
	{"Accept-Language", ""},
	{"Authorization", ""},
	{"Cache-Control", ""},
	{"Cache-Control", "no-cache"},
	{"Cache-Control", "no-store"},
	{"Content-Encoding", ""},
	{"Content-Language", ""},
	{"Content-Type", ""},
	{"Content-Type", "application/json"},
	{"Content-Type", "application/octet-stream"},
	{"Content-Type", "application/x-www-form-urlencoded"},
	{"Content-Type", "text/plain"},
	{"Content-Type", "text/plain; charset=utf-8"},
	{"Content-Type", "text/html"},
	{"Content-Type", "text/html; charset=utf-8"},
	{"Content-Type", "image/jpeg"},
	{"Cookie", ""},
	{"Date", ""},
	{"Etag", ""},
	{"Expires", ""},
	{"If-None-Match", ""},
	{"Last-Modified", ""},
	{"Location", ""},
	{"Pragma", ""},
	{"Referer", ""},
	{"Server", ""},
	{"Set-Cookie", ""},
	{"User-Agent", ""},
	{"User-Agent", "Go-http-client/1.1"},
	{"Vary", ""},
	{"Via", ""},
	{"X-Forwarded-For", ""},
	{"X-Request-Id", ""},
	{"X-Trace-Id", ""},
	{"Traceparent", ""},
}

// known are strings that occur as methods, reasons, paths and values. The order is part of
// the protocol; the first 16 take one byte.
var known = []string{
	"", "GET", "POST", "PUT", "answered", "/", "full", "DELETE", "rejected", "timeout",
	"limit", "grant", "moved", "target", "link", "gone",
	"HEAD", "PATCH", "OPTIONS", "peer", "stopping", "broken", "quarantined", "large", "no-owner", "rules", "route", "key",
	"identity", "gzip", "keep-alive", "close", "no-cache", "*/*", "application/json", "text/plain",
}

// recurring are the names of header fields whose values are likely to recur on a connection.
var recurring = map[string]bool{"Accept": true, "Accept-Language": true, "Content-Type": true, "User-Agent": true}

var (
	fieldIndex = indexOf(fields)
	knownIndex = indexOf(known)
)

func indexOf[T comparable](list []T) map[T]int {
	m := make(map[T]int, len(list))
	for i, v := range list {
		m[v] = i
	}
	return m
}
