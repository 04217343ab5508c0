package route

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"burdocklift/conf"
	"burdocklift/hangup"
	"burdocklift/proto"
)

// MaxDeadline is the longest deadline that a caller may request.
const MaxDeadline = 5 * time.Minute

// request is a parsed request whose body is buffered so that it can be retried.
type request struct {
	service  *conf.Service
	class    *conf.Class
	key      string
	tenant   string
	id       uuid.UUID
	method   string
	uri      string
	header   http.Header
	body     []byte
	deadline time.Time
	epoch    uint64 // epoch of the entry as known to the forwarding node; zero if unknown
	hop      int
	region   string // region of the forwarding node
	// left reports whether the caller has closed its connection; nil if unknown.
	left func() bool
	// uncertain is the result of the last attempt that may have run.
	uncertain *Result
}

func (req *request) classKey() classKey { return classKey{req.service.Name, req.class.Name} }

func (req *request) callerLeft() bool { return req.left != nil && req.left() }

// origin is the kind of address on which a request arrived. Headers set by
// nodes are trusted only from peers.
type origin uint8

const (
	fromCaller origin = iota
	fromPeer
)

// maxHeaderBytes bounds the request target and headers. The HTTP server accepts
// somewhat more, so that the refusal can state its reason.
const maxHeaderBytes = 32 << 10

// parse validates the request line and headers; the body is not read yet. A
// request that is refused did not run, and the result states the reason.
func parse(r *http.Request, from origin, rules *conf.Rules, now time.Time) (*request, *Result) {
	refuse := func(reason Reason, status int) (*request, *Result) {
		res := notRun(reason, status)
		return nil, &res
	}
	if headerSize(r) > maxHeaderBytes {
		return refuse(ReasonHeadersTooLarge, http.StatusRequestHeaderFieldsTooLarge)
	}
	service, class, ok := rules.Match(r.Method, r.URL.Path)
	if service == nil {
		return refuse(ReasonUnknownService, http.StatusNotFound)
	}
	if !ok {
		return refuse(ReasonNoMatchingClass, http.StatusNotFound)
	}
	req := &request{
		service: service, class: class, method: r.Method, uri: r.URL.RequestURI(), header: r.Header,
		left: func() bool { return hangup.Closed(r.Context()) },
	}
	if service.Keyed {
		if req.key, ok = service.Key(r.URL.Path, r.Header, r.URL.RawQuery); !ok {
			return refuse(ReasonMissingKey, http.StatusBadRequest)
		}
	}
	if rules.TenantHeader != "" {
		req.tenant = r.Header.Get(rules.TenantHeader)
	}
	timeout := class.Deadline
	if s := r.Header.Get(proto.HeaderDeadline); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 || d > MaxDeadline {
			return refuse(ReasonBadDeadline, http.StatusBadRequest)
		}
		timeout = d
	}
	req.deadline = now.Add(timeout)
	if class.Once {
		id, err := uuid.Parse(r.Header.Get(proto.HeaderID))
		if err != nil || id.Version() != 7 {
			return refuse(ReasonBadIdempotencyKey, http.StatusBadRequest)
		}
		req.id = id
	}
	if from == fromPeer && !req.parseHop(r.Header) {
		return refuse(ReasonBadHop, http.StatusBadRequest)
	}
	if r.ContentLength > int64(rules.Limits.Body) {
		return refuse(ReasonBodyTooLarge, http.StatusRequestEntityTooLarge)
	}
	return req, nil
}

// parseHop reads the headers set by the forwarding node. A missing or malformed
// header means that the request does not come from a node.
func (req *request) parseHop(h http.Header) bool {
	hop, err := strconv.Atoi(h.Get(proto.HeaderHop))
	if err != nil || hop < 1 || hop > maxHops {
		return false
	}
	req.hop, req.region = hop, h.Get(proto.HeaderRegion)
	if s := h.Get(proto.HeaderEpoch); s != "" {
		if req.epoch, err = strconv.ParseUint(s, 10, 64); err != nil {
			return false
		}
	}
	return true
}

// headerSize approximates the bytes of the request target and headers.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody buffers the body and stops at the request's deadline.
func (req *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) *Result {
	refuse := func(reason Reason, status int) *Result {
		res := notRun(reason, status)
		return &res
	}
	conn := http.NewResponseController(w)
	if r.ContentLength != 0 {
		// A ResponseWriter without an underlying connection has no read
		// deadline; the size limit still applies.
		_ = conn.SetReadDeadline(req.deadline)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(ReasonBodyNotRead, http.StatusRequestTimeout)
	case err != nil:
		return refuse(ReasonBodyNotRead, http.StatusBadRequest)
	case int64(len(body)) > limit:
		return refuse(ReasonBodyTooLarge, http.StatusRequestEntityTooLarge)
	}
	// Without this reset, the server's read timeout would cancel a longer
	// request.
	_ = conn.SetReadDeadline(time.Time{})
	req.body = body
	return nil
}

// hopByHopHeaders are not forwarded, as they apply to a single connection (RFC
// 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// nodeHeaderPrefix is the prefix of headers that only nodes set.
const nodeHeaderPrefix = "Burdocklift-"

// forwardableHeaders returns the headers of a request or response without
// hop-by-hop headers and headers set by nodes.
func forwardableHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+6)
	for name, values := range h {
		if !strings.HasPrefix(name, nodeHeaderPrefix) {
			out[name] = values
		}
	}
	for _, name := range strings.Split(strings.Join(h["Connection"], ","), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
