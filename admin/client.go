package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// Errors that callers test with errors.Is.
var (
	ErrRefused  = errors.New("the node refused the token")
	ErrResponse = errors.New("the node refused the request")
)

// maxResponse bounds a response. The members of 1,200 hosts are about 250 KB.
const maxResponse = 16 << 20

// Client calls the operators' address of a node.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the node at a base URL such as
// http://10.0.0.1:8083.
func NewClient(base, token string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
		return nil, fmt.Errorf("%q is not a URL such as http://10.0.0.1:8083", base)
	}
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: &http.Client{
		// A redirect would carry the token to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// Status returns the state of the node.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/status", &s)
}

// Members returns the membership that the node knows.
func (c *Client) Members(ctx context.Context) (m []Member, err error) {
	return m, c.call(ctx, http.MethodGet, "/members", &m)
}

// Owner returns the owner of a key.
func (c *Client) Owner(ctx context.Context, service, key string) (o Ownership, err error) {
	q := url.Values{"service": {service}, "key": {key}}
	return o, c.call(ctx, http.MethodGet, "/owner?"+q.Encode(), &o)
}

// Drain starts a graceful leave of the node.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/drain", nil)
}

// Quarantine returns the suspects and the quarantined requests.
func (c *Client) Quarantine(ctx context.Context) (list []Quarantined, err error) {
	return list, c.call(ctx, http.MethodGet, "/quarantine", &list)
}

// Lift ends the quarantine of a hash.
func (c *Client) Lift(ctx context.Context, hash string) error {
	return c.call(ctx, http.MethodDelete, "/quarantine?"+url.Values{"hash": {hash}}.Encode(), nil)
}

func (c *Client) call(ctx context.Context, method, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("call node: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call node: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return fmt.Errorf("call node %s: %w", c.base, err)
	}
	switch {
	case resp.StatusCode == http.StatusUnauthorized:
		return fmt.Errorf("call node %s: %w", c.base, ErrRefused)
	case resp.StatusCode >= http.StatusMultipleChoices:
		var p problem
		if json.Unmarshal(body, &p) != nil || p.Error == "" {
			p.Error = resp.Status
		}
		return fmt.Errorf("call node %s: %w: %s", c.base, ErrResponse, p.Error)
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("call node %s: %w", c.base, err)
	}
	return nil
}
