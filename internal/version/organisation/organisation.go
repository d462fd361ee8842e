// Package organisation holds the organisations of one version of the operator's configuration: the customers whose requests a
// deployment serves, with the keys by which their requests are recognised.
//
// A Set is immutable and safe for concurrent use.
package organisation

import (
	"crypto/rand"
	"crypto/sha256"
)

// Organisation is one customer of a deployment.
type Organisation struct {
	Name     string
	Priority int     // 0 is the highest
	Rate     float64 // requests per second over all nodes; zero: no limit
	Burst    float64 // requests beyond Rate
}

// MaxPriority is the number of the lowest priority. The rank of a request has eight bits and also contains the priority of the route.
const MaxPriority = 9

// digest is the keyed hash of a key.
type digest [sha256.Size]byte

// hashKey makes the digests of this process differ from those of all others, so that callers cannot choose keys with
// digests that they know.
var hashKey = newHashKey()

func newHashKey() (b [32]byte) {
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand.Read
	return b
}

// digestOf returns the digest under which a key is looked up. The duration of a lookup depends on the digest only, so it
// reveals nothing of other keys. A prefix is enough as the secret, because digests are never shown to callers.
func digestOf(key string) digest {
	var stack [128]byte
	b := append(stack[:0], hashKey[:]...)
	return sha256.Sum256(append(b, key...))
}

// Set is the organisations of one configuration. A nil set belongs to a configuration that does not know organisations.
type Set struct {
	named  bool // see Named
	list   []*Organisation
	byName map[string]*Organisation
	byKey  map[digest]*Organisation // nil value: claimed by several organisations
	lowest int                      // see LowestPriority
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{byName: map[string]*Organisation{}, byKey: map[digest]*Organisation{}}
}

// Add adds an organisation. It reports false if the set has one of that name; the set is unchanged then.
func (s *Set) Add(o Organisation) bool {
	if _, exists := s.byName[o.Name]; exists {
		return false
	}
	s.byName[o.Name] = &o
	s.list = append(s.list, &o)
	s.lowest = max(s.lowest, o.Priority)
	return true
}

// AddKey adds a key of the organisation of the given name. It reports false if another organisation has it too: it then belongs to
// neither. The key of an unknown organisation, whose name may be empty, belongs to nobody and is reported in the same way if another
// one has it.
func (s *Set) AddKey(name, key string) bool {
	owner := s.byName[name]
	d := digestOf(key)
	if other, exists := s.byKey[d]; exists && other != owner {
		s.byKey[d] = nil
		return false
	}
	s.byKey[d] = owner
	return true
}

// ByKey returns the organisation that has the key.
func (s *Set) ByKey(key string) (*Organisation, bool) {
	if s == nil {
		return nil, false
	}
	o := s.byKey[digestOf(key)]
	return o, o != nil
}

// ByName returns the organisation of the name.
func (s *Set) ByName(name string) (*Organisation, bool) {
	if s == nil {
		return nil, false
	}
	o, ok := s.byName[name]
	return o, ok
}

// All returns the organisations in the order of the configuration. The slice must not be changed.
func (s *Set) All() []*Organisation {
	if s == nil {
		return nil
	}
	return s.list
}

// LowestPriority returns the number of the lowest priority of an organisation.
func (s *Set) LowestPriority() int {
	if s == nil {
		return 0
	}
	return s.lowest
}

// SetNamed records that the configuration names organisations, also if none of them can be used. It must be called before the set is
// used.
func (s *Set) SetNamed() { s.named = true }

// Named reports whether the configuration names organisations.
func (s *Set) Named() bool { return s != nil && (s.named || len(s.list) > 0) }

// Len returns the number of organisations.
func (s *Set) Len() int { return len(s.All()) }
