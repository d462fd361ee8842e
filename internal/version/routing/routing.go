// Package routing holds the routes of a deployment that forwards requests transparently: one version of the operator's
// configuration, matched by host and path.
//
// A Table is immutable apart from two kinds of state of its routes, which are atomics: the round-robin credits and the longest
// stated wait. It is safe for concurrent use.
package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/version/organisation"
)

// Version orders configurations: a newer one has a higher version, but not always by one.
type Version uint64

// Table is one version of the configuration.
type Table struct {
	Version Version
	Limits  Limits
	Raw     []byte // encoded form, as nodes send it to each other
	Stamp   Stamp  // set by Source, like Raw
	// Organisations are those whose requests are served; nil: the configuration does not name any. Set before the table is used.
	Organisations *organisation.Set
	// Ignored describes the parts of the configuration that could not be used, without keys.
	Ignored []string

	hosts    map[string][]*Route // longest prefix first
	services map[string]Service
}

// Stamp tells configurations apart and orders them.
type Stamp struct {
	Version Version
	Epoch   uint64 // of the operator's store when the configuration was read
	Sum     uint64 // hash of the encoded form
}

// Source sets the encoded form and the epoch in which the operator's store had it. It must be called before the table is used.
func (t *Table) Source(raw []byte, epoch uint64) {
	t.Raw = raw
	t.Stamp = Stamp{Version: t.Version, Epoch: epoch, Sum: xxhash.Sum64(raw)}
}

// NewerThan reports whether a configuration takes the place of another one. The operator's store can lose a version, and the
// operator then gives its number to another configuration: of two with one number, the one that was read in a later epoch holds.
func (s Stamp) NewerThan(other Stamp) bool {
	return s.Version > other.Version || s.Version == other.Version && s.Sum != other.Sum && s.Epoch > other.Epoch
}

// Service describes the targets of one service.
type Service struct {
	Name        string
	Connections int // connections that one target accepts
}

// Limits bounds the size of what a caller sends and the time in which it must send it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a keep-alive connection
}

// Limits in force until a configuration is known.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 16 << 20
	DefaultHeaderTimeout = 3 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// DefaultLimits returns the limits in force until a configuration is known.
func DefaultLimits() Limits {
	return Limits{DefaultHeaderBytes, DefaultBodyBytes, DefaultHeaderTimeout, DefaultIdleTimeout}
}

// Route sends the requests of a host and path prefix to one service or splits them among several.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // longest duration of a request; zero: none
	Objective   time.Duration // response time within which a response is worth most
	Priority    int           // 0 is the most important
	MaxAttempts int           // targets to which one request may be sent
	Public      bool          // requests need no key of an organisation
	Split       []WeightedService

	credits     []atomic.Int64 // round-robin credit of each service in Split, in units of weight
	longestWait atomic.Int64   // longest wait that a caller has stated, in nanoseconds
}

// waitedBeforeShare is the share of the longest stated wait below which a caller counts as having waited before.
const waitedBeforeShare = 0.985

// WaitedBefore reports whether a caller has already waited for an earlier attempt. It judges by the time that the caller
// states it will still wait: after an earlier attempt, this is less than callers of the route have at first. WaitedBefore also
// records the time if it is the longest so far.
func (r *Route) WaitedBefore(left time.Duration) bool {
	longest := r.longestWait.Load()
	for int64(left) > longest && !r.longestWait.CompareAndSwap(longest, int64(left)) {
		longest = r.longestWait.Load()
	}
	return float64(left) < waitedBeforeShare*float64(longest)
}

// ReturnedAtOnce reports whether a caller states less time than callers of the route have at first, as one does that retries without
// waiting. It is no proof of an earlier attempt: a caller with a shorter deadline states less too.
func (r *Route) ReturnedAtOnce(left time.Duration) bool {
	return int64(left) < r.longestWait.Load()-int64(time.Millisecond)
}

// WeightedService is one of the services among which a route splits its requests.
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
	totalWeight := 0
	for _, s := range r.Split {
		if _, ok := t.services[s.Service]; !ok {
			return fmt.Errorf("%w: route %q: unknown service %q", ErrInvalid, r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("%w: route %q: weight %d of service %q", ErrInvalid, r.Name, s.Weight, s.Service)
		}
		totalWeight += s.Weight
	}
	if totalWeight == 0 {
		return fmt.Errorf("%w: route %q names no service with a weight", ErrInvalid, r.Name)
	}
	r.credits = make([]atomic.Int64, len(r.Split))
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

// Match returns the route of the host with the longest prefix of the path. The path is compared as it was sent, without its
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

// NormalizeHost returns the host in lower case and without its port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NextService returns the service of the next request by smooth weighted round robin: within any sequence of requests, the
// services get nearly the shares that follow from their weights. Concurrent calls may swap adjacent requests but do not
// change the shares.
func (r *Route) NextService() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	totalWeight, selected := 0, 0
	var highestCredit int64
	for i, s := range r.Split {
		credit := r.credits[i].Add(int64(s.Weight))
		totalWeight += s.Weight
		if s.Weight > 0 && (i == 0 || credit > highestCredit || r.Split[selected].Weight == 0) {
			selected, highestCredit = i, credit
		}
	}
	r.credits[selected].Add(-int64(totalWeight))
	return r.Split[selected].Service
}
