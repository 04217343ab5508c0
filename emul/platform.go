package emul

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdocklift/store"
)

// Faults are the failures of the platform's service.
type Faults struct {
	Down      bool          `json:"down"`       // connections end without a reply
	Delay     time.Duration `json:"delay"`      // every reply is late by this much
	LoseReply bool          `json:"lose_reply"` // writes take effect, their replies are lost
	// Every limits the faults to every n-th call; up to 1 means every call.
	Every int `json:"every"`
}

// Platform serves a KV over the subset of the Consul HTTP API that the store
// adapter uses. It counts calls; a waiting watch counts as one.
type Platform struct {
	kv     *KV
	mu     sync.Mutex
	faults Faults
	served atomic.Int64
	reads  atomic.Int64
	writes atomic.Int64
}

// NewPlatform returns a platform stand-in over a store.
func NewPlatform(kv *KV) *Platform { return &Platform{kv: kv} }

// KV returns the store behind the platform.
func (p *Platform) KV() *KV { return p.kv }

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the number of reads (watches included) and writes served.
func (p *Platform) Calls() (reads, writes int64) { return p.reads.Load(), p.writes.Load() }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/emul/faults":
		p.serveFaults(w, r)
		return
	case r.URL.Path == "/emul/calls":
		reads, writes := p.Calls()
		writeJSON(w, map[string]int64{"reads": reads, "writes": writes})
		return
	}
	f := p.Faults()
	if f.Every > 1 && p.served.Add(1)%int64(f.Every) != 0 {
		f = Faults{}
	}
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if r.Method == http.MethodGet {
		p.reads.Add(1)
	} else {
		p.writes.Add(1)
	}
	key, isKV := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	switch {
	case isKV && r.Method == http.MethodGet:
		p.read(w, r, key)
	case isKV && r.Method == http.MethodPut:
		p.write(w, r, key, f)
	case r.URL.Path == "/v1/session/create":
		p.createSession(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/session/renew/"):
		if !p.kv.RenewSession(strings.TrimPrefix(r.URL.Path, "/v1/session/renew/")) {
			http.Error(w, "session not found", http.StatusNotFound)
			return
		}
		writeJSON(w, []string{})
	case strings.HasPrefix(r.URL.Path, "/v1/session/destroy/"):
		p.kv.DestroySession(strings.TrimPrefix(r.URL.Path, "/v1/session/destroy/"))
		writeJSON(w, true)
	default:
		http.Error(w, "not found", http.StatusNotFound)
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f Faults
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	}
	writeJSON(w, p.Faults())
}

type kvReply struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	var records []store.Record
	var err error
	switch {
	case query.Has("recurse"):
		records, err = p.kv.List(r.Context(), key)
	case query.Get("index") != "":
		records, err = p.watch(r, key)
	default:
		var record store.Record
		record, err = p.kv.Get(r.Context(), key)
		records = []store.Record{record}
	}
	if errors.Is(err, store.ErrNotFound) || (err == nil && len(records) == 0) {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A fault that began while a watch waited also cuts off the watch.
	if f := p.Faults(); f.Down && f.Every <= 1 {
		panic(http.ErrAbortHandler)
	}
	replies := make([]kvReply, len(records))
	var index uint64
	for i, record := range records {
		replies[i] = kvReply{Key: record.Key, Value: record.Value, ModifyIndex: record.Index}
		index = max(index, record.Index)
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	writeJSON(w, replies)
}

// watch waits for a change of one key, or for the time-out of the query.
func (p *Platform) watch(r *http.Request, key string) ([]store.Record, error) {
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	record, err := p.kv.Watch(ctx, key, index)
	if err != nil && ctx.Err() != nil {
		record, err = p.kv.Get(r.Context(), key)
	}
	return []store.Record{record}, err
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string, f Faults) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > MaxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	ok := false
	if id := query.Get("acquire"); id != "" {
		ok = p.kv.Acquire(key, id)
	} else {
		index, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, "cas index is required", http.StatusBadRequest)
			return
		}
		_, err = p.kv.Swap(r.Context(), key, index, value)
		ok = err == nil
	}
	if f.LoseReply {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, ok)
}

func (p *Platform) createSession(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTL string }
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]string{"ID": p.kv.CreateSession(ttl)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
