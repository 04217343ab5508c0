package trace

import (
	"bytes"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"burdocklift/emul"
	"burdocklift/load"
	"burdocklift/proto"
	"burdocklift/site"
)

// Experiment is a deployment, a load and faults over time, read from TOML.
type Experiment struct {
	Title string `toml:"title"`
	// Site is "authority" or "cascadia"; otherwise Rules and Hosts are set.
	Site   string            `toml:"site"`
	Rules  string            `toml:"rules"` // the text of the rules
	Seed   uint64            `toml:"seed"`
	Hosts  []ExperimentHost  `toml:"host"`
	Load   ExperimentLoad    `toml:"load"`
	Faults []ExperimentFault `toml:"fault"`
}

// ExperimentHost describes one host, or Count hosts that are named by the
// name and a number from 0. The target's keys are those of emul.TargetConfig.
type ExperimentHost struct {
	Name         string   `toml:"name"`
	Count        int      `toml:"count"`
	DataCentre   string   `toml:"data_centre"`
	Region       string   `toml:"region"`
	Service      string   `toml:"service"`
	Slots        int      `toml:"slots"`
	Connections  int      `toml:"connections"`
	ChecksGrants bool     `toml:"checks_grants"`
	Work         Duration `toml:"work"`
	Cold         Duration `toml:"cold"`
	ColdFactor   float64  `toml:"cold_factor"`
	Shed         int      `toml:"shed"`
	ReportLag    Duration `toml:"report_lag"`
	ReportFactor float64  `toml:"report_factor"`
	Misleads     bool     `toml:"misleads"`
	Crash        Duration `toml:"crash"`
}

// ExperimentLoad has the keys of load.Plan.
type ExperimentLoad struct {
	Rate     float64         `toml:"rate"`
	Constant bool            `toml:"constant"`
	Duration Duration        `toml:"duration"`
	Count    int             `toml:"count"`
	Keys     int             `toml:"keys"`
	Zipf     float64         `toml:"zipf"`
	Mix      []ExperimentMix `toml:"mix"`
}

// ExperimentMix has the keys of load.Mix.
type ExperimentMix struct {
	Class    string   `toml:"class"`
	Method   string   `toml:"method"`
	Path     string   `toml:"path"`
	Once     bool     `toml:"once"`
	Weight   float64  `toml:"weight"`
	Deadline Duration `toml:"deadline"`
}

// ExperimentFault is a fault at a time since the site is ready.
type ExperimentFault struct {
	At    Duration  `toml:"at"`
	Fault FaultKind `toml:"fault"`
	Host  string    `toml:"host"`
	Delay Duration  `toml:"delay"`
	Every int       `toml:"every"`
}

// ParseExperiment reads and checks an experiment. The name of the file is used
// in errors only.
func ParseExperiment(name string, b []byte) (*Experiment, error) {
	x := &Experiment{Title: "experiment", Seed: 1}
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(x); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", name, ErrFormat, err)
	}
	if _, err := x.Trace(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return x, nil
}

// Spec returns the deployment.
func (x *Experiment) Spec() (site.Spec, error) {
	if x.Site != "" {
		if x.Rules != "" || len(x.Hosts) > 0 {
			return site.Spec{}, fmt.Errorf("%w: site excludes rules and host", ErrFormat)
		}
		return Spec(x.Site, x.Seed)
	}
	s := site.Spec{Rules: []byte(x.Rules)}
	for _, h := range x.Hosts {
		if h.Name == "" || h.Service == "" || h.DataCentre == "" || h.Region == "" || h.Count < 0 {
			return s, fmt.Errorf("%w: host %q needs name, service, data_centre and region", ErrFormat, h.Name)
		}
		for i := range max(h.Count, 1) {
			hs := h.spec(x.Seed + uint64(len(s.Hosts)))
			if h.Count > 0 {
				hs.Name = fmt.Sprintf("%s%d", h.Name, i)
			}
			s.Hosts = append(s.Hosts, hs)
		}
	}
	if len(s.Hosts) == 0 || x.Rules == "" {
		return s, fmt.Errorf("%w: site, or rules and host, are required", ErrFormat)
	}
	return s, nil
}

func (h *ExperimentHost) spec(seed uint64) site.HostSpec {
	return site.HostSpec{
		Name: h.Name, Place: proto.Place{DataCentre: h.DataCentre, Region: h.Region},
		Target: emul.TargetConfig{
			Service: h.Service, Slots: h.Slots, Connections: h.Connections, ChecksGrants: h.ChecksGrants,
			Work: time.Duration(h.Work), Cold: time.Duration(h.Cold), ColdFactor: h.ColdFactor, Shed: h.Shed,
			ReportLag: time.Duration(h.ReportLag), ReportFactor: h.ReportFactor, Misleads: h.Misleads,
			Crash: time.Duration(h.Crash), Seed: seed,
		},
	}
}

// Plan returns the load.
func (x *Experiment) Plan() *load.Plan {
	l := x.Load
	p := &load.Plan{
		Rate: l.Rate, Constant: l.Constant, Duration: time.Duration(l.Duration), Count: l.Count,
		Keys: l.Keys, Zipf: l.Zipf, Seed: x.Seed,
	}
	for _, m := range l.Mix {
		p.Mix = append(p.Mix, load.Mix{
			Class: m.Class, Method: m.Method, Path: m.Path, Once: m.Once, Weight: m.Weight, Deadline: time.Duration(m.Deadline),
		})
	}
	return p
}

// Trace returns the requests and faults of the experiment in order.
func (x *Experiment) Trace() (*Trace, error) {
	spec, err := x.Spec()
	if err != nil {
		return nil, err
	}
	p := x.Plan()
	if err := p.Check(); err != nil {
		return nil, err
	}
	hosts := make(map[string]bool)
	var entries []string
	for _, h := range spec.Hosts {
		if hosts[h.Name] {
			return nil, fmt.Errorf("%w: host %q is named twice", ErrFormat, h.Name)
		}
		hosts[h.Name] = true
		entries = append(entries, h.Name)
	}
	var faults []Event
	for _, f := range x.Faults {
		e := Event{Kind: KindFault, At: f.At, Fault: Fault{Fault: f.Fault, Host: f.Host, Delay: f.Delay, Every: f.Every}}
		if err := e.Fault.check(); err != nil || f.At < 0 {
			return nil, fmt.Errorf("%w: fault at %v: %w", ErrFormat, time.Duration(f.At), err)
		}
		if f.Host != "" && !hosts[f.Host] {
			return nil, fmt.Errorf("%w: fault at %v: %w: %q", ErrFormat, time.Duration(f.At), ErrSite, f.Host)
		}
		faults = append(faults, e)
	}
	name := x.Site
	if name == "" {
		name = x.Title
	}
	return FromPlan(name, p, entries, faults), nil
}
