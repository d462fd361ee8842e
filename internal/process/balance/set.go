package balance

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Set holds a Picker for every service. Readers load a map that is replaced as a whole. It is safe for concurrent use.
type Set struct {
	zone string

	mu       sync.Mutex // held while the map is replaced
	settings policy.Balance
	pickers  atomic.Pointer[map[string]*Picker]
}

// NewSet returns a set without targets for a node in the availability zone.
func NewSet(zone string, settings policy.Balance) *Set {
	s := &Set{zone: zone, settings: settings}
	s.pickers.Store(&map[string]*Picker{})
	return s
}

// SetPolicy replaces the settings of all pickers.
func (s *Set) SetPolicy(settings policy.Balance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	for _, p := range *s.pickers.Load() {
		p.SetPolicy(settings, DefaultRampTime)
	}
}

// Update replaces the targets of all services. Services that are not in the map no longer have targets.
func (s *Set) Update(targets map[string][]Target) {
	s.Refresh(func() map[string][]Target { return targets })
}

// Refresh replaces the targets of all services by those that read returns. It calls read with the set locked, so that of two
// concurrent calls the list that was read later stays.
func (s *Set) Refresh(read func() map[string][]Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := read()
	pickers := maps.Clone(*s.pickers.Load())
	for service, list := range targets {
		p, ok := pickers[service]
		if !ok {
			p = New(s.zone, s.settings, DefaultRampTime)
			pickers[service] = p
		}
		p.Update(list)
	}
	for service, p := range pickers {
		if _, ok := targets[service]; !ok {
			p.Update(nil)
		}
	}
	s.pickers.Store(&pickers)
}

// SetCondition records the reported condition of a target of the service.
func (s *Set) SetCondition(service, address string, c Condition) {
	if p := s.Picker(service); p != nil {
		p.SetCondition(address, c)
	}
}

// Picker returns the picker of a service, or nil if the service never had a target.
func (s *Set) Picker(service string) *Picker { return (*s.pickers.Load())[service] }

// IgnoredFigures returns the sum of that of all pickers.
func (s *Set) IgnoredFigures() int64 {
	var sum int64
	for _, p := range *s.pickers.Load() {
		sum += p.IgnoredFigures()
	}
	return sum
}
