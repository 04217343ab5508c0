package route

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"burdocklift/client"
	"burdocklift/proto"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the idle timeout of the servers, so that a
	// request is rarely written to a connection that the server is closing.
	idleTimeout       = 30 * time.Second
	serverIdleTimeout = 120 * time.Second
)

// errNotSent reports that no byte of a request was written to the connection.
var errNotSent = errors.New("request was not sent")

// trackedConn records whether any byte of the current request was written. This
// separates a request that was certainly not sent from one that may have
// reached the server.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	preSend func() error // runs before the first byte of a request
	sent    bool
	aborted bool
	refused bool // a target refused a request on it
}

// startRequest resets the connection state for a new request.
func (c *trackedConn) startRequest(preSend func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preSend, c.sent = preSend, false
}

// abort makes later writes fail and reports whether any byte was written. It is
// needed because the transport may still write after it has returned an error.
func (c *trackedConn) abort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	return c.sent
}

// allowWrite returns an error if the connection was aborted or if preSend
// rejects the first write of the request.
func (c *trackedConn) allowWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || c.refused {
		return errNotSent
	}
	if !c.sent && c.preSend != nil {
		if err := c.preSend(); err != nil {
			return err
		}
	}
	c.sent = true
	return nil
}

// retire makes later writes fail because a target refused a request. The target may write
// the refusal once more, where it would be taken for the answer to another request.
func (c *trackedConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
}

func (c *trackedConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// newClient returns an HTTP client that never retries a request by itself.
func newClient(connections int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &trackedConn{Conn: conn}, nil
			},
			MaxIdleConns:        0,
			MaxIdleConnsPerHost: max(connections, 1),
			MaxConnsPerHost:     connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			// The default of 10 MiB a connection exceeds the memory of a host.
			MaxResponseHeaderBytes: client.MaxHead,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// opaqueBody hides the concrete type of the body from net/http. If a request
// has an Idempotency-Key header and a body that can be rewound, or no body, the
// transport silently retries it after a lost connection.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// exchange sends a request once and reads the whole response. It returns an
// error that wraps errNotSent if no byte was sent. preSend runs right before
// the first byte is written, since a request may wait for a free connection; an
// error from it keeps the request from being sent.
func exchange(ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte, limit int64, preSend func() error) (*http.Response, []byte, error) {
	for {
		resp, b, retired, err := exchangeOnce(ctx, client, method, url, header, body, limit, preSend)
		if !retired || !errors.Is(err, errNotSent) || ctx.Err() != nil {
			return resp, b, err
		}
	}
}

// exchangeOnce is exchange on one connection. It reports whether that was retired before, so
// that nothing was sent.
func exchangeOnce(
	ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte, limit int64, preSend func() error,
) (_ *http.Response, _ []byte, retired bool, _ error) {
	var conn *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			conn = c
			c.startRequest(preSend)
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, opaqueBody{bytes.NewReader(body)})
	if err != nil {
		return nil, nil, false, fmt.Errorf("%w: %w", errNotSent, err)
	}
	req.ContentLength = int64(len(body))
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		if conn == nil || !conn.abort() {
			return nil, nil, conn != nil && conn.isRetired(), fmt.Errorf("%w: %w", errNotSent, err)
		}
		return nil, nil, false, err
	}
	invalid := !hasValidStatus(resp)
	if conn != nil && (invalid || isRefusal(resp)) {
		conn.retire()
	}
	defer func() { _ = resp.Body.Close() }()
	if invalid {
		return nil, nil, false, fmt.Errorf("%w: %q", errInvalidStatus, resp.Status)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, false, fmt.Errorf("read response: %w", err)
	}
	if len(b) > 0 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, nil, false, errNoBodyLength
	}
	return resp, b, false, nil
}

// errInvalidStatus reports a response whose status is not one of a final response.
var errInvalidStatus = errors.New("status of the response is not valid")

func hasValidStatus(resp *http.Response) bool { return client.ValidStatus(resp.StatusCode) }

// isRefusal reports whether a target refused a request that it did not run.
func isRefusal(resp *http.Response) bool {
	return resp.StatusCode == http.StatusPreconditionFailed && resp.Header.Get(proto.HeaderOutcome) == string(proto.NotRun)
}

// errNoBodyLength reports a response that is delimited only by the end of the
// connection, so that truncation cannot be detected (RFC 9112, section 8).
var errNoBodyLength = errors.New("response has neither Content-Length nor chunked encoding")

// exchangeFailure maps an error of exchange to a result. The reason notSent
// applies if no byte of the request was sent.
func exchangeFailure(err error, notSent Reason) Result {
	switch {
	case errors.Is(err, errNotSent):
		return notRun(notSent, http.StatusServiceUnavailable)
	case errors.Is(err, errNoBodyLength):
		return unknown(ReasonNoBodyLength)
	case errors.Is(err, context.DeadlineExceeded):
		return unknown(ReasonDeadlineExceeded)
	}
	return unknown(ReasonResponseLost)
}

// headContentLength returns the Content-Length field of a response to a HEAD
// request, or an empty string for other methods.
func headContentLength(method string, resp *http.Response) string {
	if method == http.MethodHead {
		return resp.Header.Get("Content-Length")
	}
	return ""
}
