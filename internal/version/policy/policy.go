// Package policy holds the effective policy of a site: the base file, which all sites share, with the site's overlay applied.
//
// A Policy is immutable once built. Readers load it from an atomic pointer and may use the same version for the duration of
// one request.
package policy

import (
	"strings"
	"time"
)

// Policy is one version of the effective policy of a site.
type Policy struct {
	Version  uint64
	Site     string
	Services map[string]*Service
	Classes  map[string]uint8 // rank by class name
	Retry    Retry
	Queue    Queue
	Shed     Shed
	Limits   Limits
	Balance  Balance
	Once     Once
}

// Service describes the targets of one service.
type Service struct {
	Name        string
	Slots       int     // requests that one target runs at once
	Connections int     // connections that one target accepts
	Routes      []Route // longest prefix first
}

// Route describes the requests of one method and path prefix of a service.
type Route struct {
	Name       string
	Method     string // empty: every method
	Prefix     string
	Class      string
	Rank       uint8 // of the class; a higher rank is shed later
	Idempotent bool  // may be executed more than once
	Timeout    time.Duration
}

// Retry bounds retries.
type Retry struct {
	Budget int     // retries of one root request over its whole call chain
	Ratio  float64 // retries of a service as a share of its first attempts
}

// Queue bounds the queue in front of a target.
type Queue struct {
	Length  float64       // requests, as a multiple of the target's slots
	MaxWait time.Duration // longest wait that admission accepts
}

// Shed configures the shedding of requests under overload.
type Shed struct {
	ReturnStep float64 // largest part of a class that a target with idle slots readmits per 100 ms
}

// Limits bounds the sizes of one request and its response.
type Limits struct {
	RequestBody  int // bytes
	ResponseBody int // bytes
	Header       int // bytes
}

// Balance configures the selection of targets.
type Balance struct {
	EjectFailures int           // consecutive failures that eject a target
	EjectTime     time.Duration // duration of the first ejection of a target
	EjectShare    float64       // largest share of a service's targets that may be ejected
}

// Once configures idempotency keys.
type Once struct {
	KeyValidity     time.Duration // how long a node-issued key may be used
	RecordRetention time.Duration // how long the record of a key is kept after its first use; longer than KeyValidity
}

// WithVersion returns a copy of the policy with the given version. Both share all
// other data, which is immutable.
func (p *Policy) WithVersion(version uint64) *Policy {
	q := *p
	q.Version = version
	return &q
}

// LowestNonIdempotentRank returns the lowest rank of the routes that must not be executed twice, or zero if there are none.
func (p *Policy) LowestNonIdempotentRank() uint8 {
	var lowest uint8
	for _, s := range p.Services {
		for i := range s.Routes {
			r := &s.Routes[i]
			if !r.Idempotent && (lowest == 0 || r.Rank < lowest) {
				lowest = r.Rank
			}
		}
	}
	return lowest
}

// Match returns the route for a request of a service.
func (s *Service) Match(method, path string) (*Route, bool) {
	for i := range s.Routes {
		r := &s.Routes[i]
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Defaults of optional keys.
const (
	DefaultRetryBudget     = 3
	DefaultRetryRatio      = 0.1
	DefaultQueueLength     = 1.0
	DefaultQueueMaxWait    = 200 * time.Millisecond
	DefaultShedReturnStep  = 0.3
	DefaultTimeout         = 2 * time.Second
	DefaultRequestBody     = 1 << 20
	DefaultResponseBody    = 4 << 20
	DefaultHeader          = 16 << 10
	DefaultEjectFailures   = 5
	DefaultEjectTime       = time.Second
	DefaultEjectShare      = 0.5
	DefaultKeyValidity     = 10 * time.Minute
	DefaultRecordRetention = 20 * time.Minute
)

// New returns a policy without services that holds the defaults.
func New() *Policy {
	return &Policy{
		Services: map[string]*Service{},
		Classes:  map[string]uint8{},
		Retry:    Retry{Budget: DefaultRetryBudget, Ratio: DefaultRetryRatio},
		Queue:    Queue{Length: DefaultQueueLength, MaxWait: DefaultQueueMaxWait},
		Shed:     Shed{ReturnStep: DefaultShedReturnStep},
		Limits:   Limits{RequestBody: DefaultRequestBody, ResponseBody: DefaultResponseBody, Header: DefaultHeader},
		Balance:  Balance{EjectFailures: DefaultEjectFailures, EjectTime: DefaultEjectTime, EjectShare: DefaultEjectShare},
		Once:     Once{KeyValidity: DefaultKeyValidity, RecordRetention: DefaultRecordRetention},
	}
}
