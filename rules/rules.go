// Package rules holds the operators' routing rules: which route a request matches,
// the services it may go to and its time limits.
package rules

import (
	"errors"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
	"time"
)

// ErrInvalid is returned for rules that fail validation.
var ErrInvalid = errors.New("invalid rules")

// MaxRouteTime bounds the timeout of a route. Callers wait at most 10 s.
const MaxRouteTime = 10 * time.Minute

// Field is a part of a route, of a service or of the limits.
type Field uint8

// Fields. The zero value stands for the whole.
const (
	FieldNone Field = iota
	FieldVersion
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
	FieldName
	FieldPrefix
	FieldServices
	FieldWeight
	FieldTimeout
	FieldMaxAttempts
	FieldRegions
	FieldColdRate
	FieldColdTime
)

// Fault is a reason why a route or a service is not valid.
type Fault struct {
	Field   Field
	Element int // index in a list of services or regions
	Err     error
}

// WeightedService is a service that a route sends requests to, with its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route configures requests for a host name and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Services    []WeightedService
	Idempotent  bool          // the request may run more than once
	Timeout     time.Duration // within which the caller gets a response; zero for none
	MaxAttempts int           // maximum number of targets that a request is sent to
	Urgency     int           // a higher one is served first
	Regions     []string      // in which requests may be served; empty for all
}

// Service is a group of targets.
type Service struct {
	Name           string
	Sharded        bool // each key is owned by one target
	MaxConnections int  // maximum number of connections per target
	WarmUp         time.Duration
	ColdRate       float64       // requests a second that a cold target tolerates; 0 for no limit
	ColdTime       time.Duration // for which a target is cold after its start
	HealthPath     string        // of the health check of a target
}

// ColdLimit returns how many requests a second a cold target of the service gets at an even
// pace, and how many at most in any second, by the site's factor and slack. Both are 0 if a cold
// target has no limit.
func (s Service) ColdLimit(factor, slack float64) (pace float64, bound int) {
	if s.ColdRate <= 0 {
		return 0, 0
	}
	pace = s.ColdRate * factor
	return pace, int(min(pace+slack, math.MaxInt32))
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Set is one version of the rules. It is immutable.
type Set struct {
	version  uint64
	limits   Limits
	routes   map[string]map[string]*Route
	services map[string]Service
	sharded  []string
}

// New validates and indexes the rules of a version.
func New(version uint64, limits Limits, routes []Route, services []Service) (*Set, error) {
	s := &Set{
		version: version, limits: limits,
		routes: make(map[string]map[string]*Route), services: make(map[string]Service, len(services)),
	}
	for _, v := range services {
		if faults := v.Faults(); len(faults) > 0 {
			return nil, fmt.Errorf("%w: service %q: %w", ErrInvalid, v.Name, faults[0].Err)
		}
		s.services[v.Name] = v
		if v.Sharded {
			s.sharded = append(s.sharded, v.Name)
		}
	}
	slices.Sort(s.sharded)
	for i := range routes {
		if err := s.addRoute(&routes[i]); err != nil {
			return nil, fmt.Errorf("%w: route %q: %w", ErrInvalid, routes[i].Name, err)
		}
	}
	return s, nil
}

// Faults returns the reasons why a service is not valid.
func (s Service) Faults() []Fault {
	var faults []Fault
	if s.Name == "" {
		faults = append(faults, Fault{Field: FieldName, Err: errors.New("service without a name")})
	}
	if !(s.ColdRate >= 0) || math.IsInf(s.ColdRate, 0) {
		faults = append(faults, Fault{Field: FieldColdRate, Err: fmt.Errorf("%v requests a second of a cold target are out of range", s.ColdRate)})
	}
	if s.ColdTime < 0 {
		faults = append(faults, Fault{Field: FieldColdTime, Err: fmt.Errorf("%v of a cold target is out of range", s.ColdTime)})
	}
	return faults
}

// Faults returns the reasons why a route is not valid, given whether a service is defined.
func (r *Route) Faults(defined func(service string) bool) []Fault {
	var faults []Fault
	add := func(field Field, element int, format string, args ...any) {
		faults = append(faults, Fault{Field: field, Element: element, Err: fmt.Errorf(format, args...)})
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add(FieldPrefix, 0, "prefix %q must begin and end with a slash", r.Prefix)
	}
	total := 0
	for i, p := range r.Services {
		if !defined(p.Service) {
			add(FieldServices, i, "service %q is not defined", p.Service)
		}
		if p.Weight < 0 {
			add(FieldWeight, i, "weight %d of service %q is negative", p.Weight, p.Service)
		}
		total += max(p.Weight, 0)
	}
	switch {
	case len(r.Services) == 0:
		add(FieldServices, 0, "route has no service")
	case total == 0:
		add(FieldServices, 0, "all services have weight 0, expected a positive weight")
	}
	if r.MaxAttempts < 0 {
		add(FieldMaxAttempts, 0, "maximum of %d attempts is negative", r.MaxAttempts)
	}
	switch {
	case r.Timeout < 0:
		add(FieldTimeout, 0, "timeout %v is negative", r.Timeout)
	case r.Timeout > MaxRouteTime:
		add(FieldTimeout, 0, "timeout %v exceeds %v", r.Timeout, MaxRouteTime)
	}
	return faults
}

func (s *Set) addRoute(r *Route) error {
	defined := func(service string) bool { _, ok := s.services[service]; return ok }
	if faults := r.Faults(defined); len(faults) > 0 {
		return faults[0].Err
	}
	prefixes := s.routes[r.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		s.routes[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	return nil
}

// Version returns the version, which increases with each change of the rules.
func (s *Set) Version() uint64 { return s.version }

// Limits returns the limits on what a caller may send.
func (s *Set) Limits() Limits { return s.limits }

// Service returns a service by name.
func (s *Set) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// ShardedServices returns the sorted names of the services whose keys are sharded.
func (s *Set) ShardedServices() []string { return s.sharded }

// Routes returns all routes, in no order.
func (s *Set) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, prefixes := range s.routes {
			for _, r := range prefixes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Match returns the route for a host name whose prefix is the longest match of the
// path.
func (s *Set) Match(host, path string) (*Route, bool) {
	prefixes := s.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}
