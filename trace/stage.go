package trace

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"burdocklift/emul"
	"burdocklift/report"
	"burdocklift/site"
)

// ErrSite marks an unknown site or host.
var ErrSite = errors.New("unknown site or host")

// Spec returns the deployment of a named site.
func Spec(name string, seed uint64) (site.Spec, error) {
	switch name {
	case "authority":
		return site.Authority(seed), nil
	case "cascadia":
		return site.Cascadia(seed), nil
	}
	return site.Spec{}, fmt.Errorf("%w: %q, want authority or cascadia", ErrSite, name)
}

// siteStage plays on a site in this process.
type siteStage struct{ site *site.Site }

// NewStage returns a stage on a site in this process.
func NewStage(s *site.Site) Stage { return siteStage{s} }

func (s siteStage) Entries() map[string]string { return s.site.Entries() }

func (s siteStage) Journals(context.Context) ([]emul.Journal, error) { return s.site.Journals(), nil }

func (s siteStage) Apply(ctx context.Context, f Fault) error {
	platform := s.site.Platform()
	switch f.Fault {
	case PlatformDown:
		platform.SetFaults(emul.Faults{Down: true, Every: f.Every})
		return nil
	case PlatformSlow:
		platform.SetFaults(emul.Faults{Delay: time.Duration(f.Delay), Every: f.Every})
		return nil
	case LoseReplies:
		platform.SetFaults(emul.Faults{LoseReply: true, Every: f.Every})
		return nil
	case PlatformUp:
		platform.SetFaults(emul.Faults{})
		return nil
	}
	h, ok := s.site.Host(f.Host)
	if !ok {
		return fmt.Errorf("%w: %q", ErrSite, f.Host)
	}
	switch f.Fault {
	case Kill:
		return h.Kill()
	case Lose:
		return h.Lose()
	case Leave:
		return h.Leave(ctx)
	case Freeze:
		h.Freeze(ctx)
	case Thaw:
		h.Thaw()
	case Crash:
		h.Crash()
	}
	return nil
}

// Remote is a stage of running nodes. It carries out no faults.
type Remote struct {
	Nodes   map[string]string // callers' addresses by host name
	Targets []string          // base URLs of emulated targets
}

// Entries implements Stage.
func (r *Remote) Entries() map[string]string { return r.Nodes }

// Apply implements Stage.
func (r *Remote) Apply(context.Context, Fault) error {
	return errors.New("faults cannot be carried out on running nodes")
}

// Journals implements Stage.
func (r *Remote) Journals(ctx context.Context) ([]emul.Journal, error) {
	var journals []emul.Journal
	for _, target := range r.Targets {
		j, err := fetch(ctx, target+"/emul/journal")
		if err != nil {
			return nil, fmt.Errorf("journal of target %s: %w", target, err)
		}
		journals = append(journals, j)
	}
	return journals, nil
}

func fetch(ctx context.Context, url string) (j emul.Journal, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return j, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return j, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return j, fmt.Errorf("status %s", resp.Status)
	}
	return j, json.NewDecoder(resp.Body).Decode(&j)
}

const (
	// readyTimeout bounds the start of a site, which takes about 2 s on an idle
	// machine.
	readyTimeout = 2 * time.Minute
	// settle is how long the nodes and targets finish work after the last answer.
	settle = 200 * time.Millisecond
)

// Run starts a site, plays the trace on it, stops it and returns the report
// with the figures of ownership.
func (t *Trace) Run(ctx context.Context, spec site.Spec, seed uint64, o Options) (r *report.Report, err error) {
	s, err := site.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.Stop()) }()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.Ready(ready); err != nil {
		return nil, err
	}
	m, err := s.Monitor(ctx)
	if err != nil {
		return nil, err
	}
	reads, writes := s.Platform().Calls()
	r, err = t.Play(ctx, settled{NewStage(s)}, o)
	services := m.Stop()
	if err != nil {
		return nil, err
	}
	r.Seed, r.Services = seed, services
	endReads, endWrites := s.Platform().Calls()
	r.Platform = report.Calls{Reads: endReads - reads, Writes: endWrites - writes}
	return r, nil
}

// settled waits before it reads the journals, so that abandoned requests are
// in them.
type settled struct{ Stage }

func (s settled) Journals(ctx context.Context) ([]emul.Journal, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(settle):
	}
	return s.Stage.Journals(ctx)
}
