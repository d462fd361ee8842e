// Package routing holds the routes of a transparently forwarded deployment: one immutable version of the operator's
// configuration, matched by host and path.
//
// A Table is immutable apart from the positions of its splits, which are atomics. It is safe for concurrent use.
package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Version orders configurations. Versions rise in uneven steps.
type Version uint64

// Table is one version of the configuration.
type Table struct {
	Version Version
	Limits  Limits
	Raw     []byte // encoded form, as nodes hand it to each other

	hosts    map[string][]*Route // longest prefix first
	services map[string]Service
}

// Service describes the targets of one service.
type Service struct {
	Name        string
	Connections int // connections that one target accepts
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a kept connection
}

// Limits that hold until a configuration is known.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 16 << 20
	DefaultHeaderTimeout = 3 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// DefaultLimits returns the limits that hold until a configuration is known.
func DefaultLimits() Limits {
	return Limits{DefaultHeaderBytes, DefaultBodyBytes, DefaultHeaderTimeout, DefaultIdleTimeout}
}

// Route sends the requests of a host and path prefix to one service or splits them among several.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // longest time that a request may take; zero: none
	Objective   time.Duration // time within which an answer is worth most
	Priority    int           // 0 is the most important
	MaxAttempts int           // targets to which one request may be sent
	Split       []WeightedService

	position []atomic.Int64 // credit of each share, in units of weight
	patience atomic.Int64   // longest time that a caller has stated, in nanoseconds
}

// returnedShare is the part of the callers' patience from which on a caller counts as one that has waited before.
const returnedShare = 0.985

// WaitedBefore reports whether a caller who states that it will wait for the given time has waited before: it then has less time
// than callers of the route have at first.
func (r *Route) WaitedBefore(left time.Duration) bool {
	longest := r.patience.Load()
	for int64(left) > longest && !r.patience.CompareAndSwap(longest, int64(left)) {
		longest = r.patience.Load()
	}
	return float64(left) < returnedShare*float64(longest)
}

// WeightedService is one service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// ErrInvalid reports a configuration that cannot be used.
var ErrInvalid = errors.New("invalid configuration")

// New builds a table. The routes must not be changed afterwards.
func New(version Version, routes []*Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Limits: limits, hosts: map[string][]*Route{}, services: map[string]Service{}}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		if err := t.add(r); err != nil {
			return nil, err
		}
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%w: route %q: prefix %q does not begin and end with a slash", ErrInvalid, r.Name, r.Prefix)
	}
	total := 0
	for _, s := range r.Split {
		if _, ok := t.services[s.Service]; !ok {
			return fmt.Errorf("%w: route %q: unknown service %q", ErrInvalid, r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("%w: route %q: weight %d of service %q", ErrInvalid, r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return fmt.Errorf("%w: route %q names no service with a weight", ErrInvalid, r.Name)
	}
	r.position = make([]atomic.Int64, len(r.Split))
	host := NormalizeHost(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route with the longest prefix that begins the path. The path is compared as it was sent, without its
// query.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range t.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NormalizeHost returns a host in lower case without its port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NextService returns the service of the next request. The shares of any run of requests follow the weights closely (smooth
// weighted round robin); concurrent calls can swap neighbours and change no share.
func (r *Route) NextService() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total, best := 0, 0
	var most int64
	for i, s := range r.Split {
		credit := r.position[i].Add(int64(s.Weight))
		total += s.Weight
		if s.Weight > 0 && (i == 0 || credit > most || r.Split[best].Weight == 0) {
			best, most = i, credit
		}
	}
	r.position[best].Add(-int64(total))
	return r.Split[best].Service
}
