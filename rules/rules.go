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

// maxRouteTime bounds the timeout of a route. Callers wait at most 10 s.
const maxRouteTime = 10 * time.Minute

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
		if v.Name == "" {
			return nil, fmt.Errorf("%w: service without a name", ErrInvalid)
		}
		if !(v.ColdRate >= 0) || math.IsInf(v.ColdRate, 0) || v.ColdTime < 0 {
			return nil, fmt.Errorf("%w: service %q: %v requests a second or %v of a cold target are out of range", ErrInvalid, v.Name, v.ColdRate, v.ColdTime)
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

func (s *Set) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	}
	if len(r.Services) == 0 {
		return errors.New("route has no service")
	}
	total := 0
	for _, p := range r.Services {
		if _, ok := s.services[p.Service]; !ok {
			return fmt.Errorf("service %q is not defined", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("weight %d of service %q is negative", p.Weight, p.Service)
		}
		total += p.Weight
	}
	if total == 0 {
		return errors.New("all services have weight 0, expected a positive weight")
	}
	if r.Timeout < 0 || r.MaxAttempts < 0 {
		return fmt.Errorf("timeout %v or maximum of %d attempts is negative", r.Timeout, r.MaxAttempts)
	}
	if r.Timeout > maxRouteTime {
		return fmt.Errorf("timeout %v exceeds %v", r.Timeout, maxRouteTime)
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
