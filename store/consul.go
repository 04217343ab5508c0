package store

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// watchWait is the time after which a blocking query returns without a change.
const watchWait = 5 * time.Minute

// maxReply bounds a reply; a listing of all records of the large fleet is
// about 1 MB.
const maxReply = 64 << 20

// Consul is an adapter over the Consul KV HTTP API: check-and-set index,
// blocking queries and sessions.
type Consul struct {
	base   string
	client *http.Client
}

// NewConsul returns an adapter for the service at a base URL such as
// http://10.0.0.5:8500. A nil client means a client of its own.
func NewConsul(base string, client *http.Client) *Consul {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	}
	return &Consul{base: strings.TrimRight(base, "/"), client: client}
}

type consulPair struct {
	Key         string
	Value       string
	ModifyIndex uint64
}

func (c *Consul) do(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, []byte, error) {
	u := c.base + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: read reply: %w", method, path, err)
	}
	return resp, b, nil
}

func (c *Consul) read(ctx context.Context, path string, query url.Values) ([]Record, uint64, error) {
	resp, body, err := c.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, index, ErrNotFound
	default:
		return nil, 0, fmt.Errorf("%w: GET %s: status %s", ErrUnavailable, path, resp.Status)
	}
	var pairs []consulPair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, 0, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	records := make([]Record, len(pairs))
	for i, p := range pairs {
		value, err := base64.StdEncoding.DecodeString(p.Value)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: GET %s: value of %s: %w", ErrUnavailable, path, p.Key, err)
		}
		records[i] = Record{Key: p.Key, Index: p.ModifyIndex, Value: value}
	}
	return records, index, nil
}

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (Record, error) {
	records, _, err := c.read(ctx, "/v1/kv/"+key, url.Values{"consistent": {""}})
	if err != nil {
		return Record{}, fmt.Errorf("get %s: %w", key, err)
	}
	return records[0], nil
}

// List implements Store.
func (c *Consul) List(ctx context.Context, prefix string) ([]Record, error) {
	records, _, err := c.read(ctx, "/v1/kv/"+prefix, url.Values{"recurse": {""}, "consistent": {""}})
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return records, nil
}

// Swap implements Store.
func (c *Consul) Swap(ctx context.Context, key string, index uint64, value []byte) (uint64, error) {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	resp, body, err := c.do(ctx, http.MethodPut, "/v1/kv/"+key, query, value)
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w: %w", key, writeError(err), err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("swap %s: %w: status %s", key, ErrUncertain, resp.Status)
	}
	if strings.TrimSpace(string(body)) != "true" {
		return 0, fmt.Errorf("swap %s at index %d: %w", key, index, ErrConflict)
	}
	// The reply to a check-and-set carries no index, so it is read. Another
	// writer may already have changed the record again; its index is then higher
	// than ours, which a compare-and-swap on it must not mistake for ours.
	record, err := c.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("swap %s: read back: %w", key, ErrUncertain)
	}
	if !bytes.Equal(record.Value, value) {
		return 0, fmt.Errorf("swap %s: changed since: %w", key, ErrUncertain)
	}
	return record.Index, nil
}

// writeError tells a write that was never sent from one that may have been.
func writeError(err error) error {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial") {
		return ErrUnavailable
	}
	return ErrUncertain
}

// Watch implements Store.
func (c *Consul) Watch(ctx context.Context, key string, index uint64) (Record, error) {
	query := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {watchWait.String()}}
	records, _, err := c.read(ctx, "/v1/kv/"+key, query)
	if err != nil {
		return Record{}, fmt.Errorf("watch %s: %w", key, err)
	}
	return records[0], nil
}

type consulLease struct {
	c       *Consul
	session string
	name    string
}

// Lease implements Store.
func (c *Consul) Lease(ctx context.Context, name string, ttl time.Duration) (Lease, error) {
	body, err := json.Marshal(map[string]string{"TTL": ttl.String(), "Behavior": "release", "LockDelay": "0s"})
	if err != nil {
		return nil, fmt.Errorf("lease %s: %w", name, err)
	}
	resp, reply, err := c.do(ctx, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("lease %s: create session: %w", name, ErrUnavailable)
	}
	var session struct{ ID string }
	if err := json.Unmarshal(reply, &session); err != nil {
		return nil, fmt.Errorf("lease %s: create session: %w: %w", name, ErrUnavailable, err)
	}
	lease := &consulLease{c: c, session: session.ID, name: name}
	resp, reply, err = c.do(ctx, http.MethodPut, "/v1/kv/"+name, url.Values{"acquire": {session.ID}}, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("lease %s: acquire: %w", name, ErrUnavailable)
	}
	if strings.TrimSpace(string(reply)) != "true" {
		_ = lease.Release(ctx)
		return nil, fmt.Errorf("lease %s: %w", name, ErrConflict)
	}
	return lease, nil
}

// Renew implements Lease.
func (l *consulLease) Renew(ctx context.Context) error {
	resp, _, err := l.c.do(ctx, http.MethodPut, "/v1/session/renew/"+l.session, nil, nil)
	if err != nil {
		return fmt.Errorf("renew lease %s: %w: %w", l.name, ErrUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("renew lease %s: %w", l.name, ErrLeaseLost)
	}
	return nil
}

// Release implements Lease.
func (l *consulLease) Release(ctx context.Context) error {
	if _, _, err := l.c.do(ctx, http.MethodPut, "/v1/session/destroy/"+l.session, nil, nil); err != nil {
		return fmt.Errorf("release lease %s: %w", l.name, err)
	}
	return nil
}
