package membership

import (
	"slices"
	"strings"
	"time"
)

// Count is the number of members of an availability zone or of all, this node included.
type Count struct {
	Live    int // reachable as far as known, suspect members included
	Suspect int // of the live ones
	Dead    int // died within Config.CountRetention; members that left do not count
}

// Total returns the number of members that a majority is counted from.
func (c Count) Total() int { return c.Live + c.Dead }

// Snapshot is the view at one time. It never changes after it was published, so that readers need no lock. Its slices
// and maps must not be changed.
type Snapshot struct {
	Self     Self
	Members  []Member            // all others by address, dead and left ones included
	Services map[string][]Member // live others with a target, by service and address
	Zones    map[string]Count
	All      Count
}

// Find returns the record of another member.
func (s *Snapshot) Find(address string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, address, func(m Member, a string) int {
		return strings.Compare(m.Address, a)
	})
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// Snapshot returns the present view.
func (m *Machine) Snapshot() *Snapshot {
	s := &Snapshot{
		Self: m.Self(), Members: m.Members(), Services: map[string][]Member{}, Zones: map[string]Count{},
	}
	s.count(&m.self)
	for i := range s.Members {
		e := &s.Members[i]
		if e.State == Dead && m.now.Sub(m.sorted[i].changedAt) >= m.cfg.CountRetention {
			continue
		}
		s.count(e)
		if e.State.Live() && e.Service != "" {
			s.Services[e.Service] = append(s.Services[e.Service], *e)
		}
	}
	return s
}

func (s *Snapshot) count(m *Member) {
	c := s.Zones[m.Zone]
	for _, c := range []*Count{&c, &s.All} {
		switch {
		case m.State == Dead:
			c.Dead++
		case m.State.Live():
			c.Live++
		}
		if m.State == Suspect {
			c.Suspect++
		}
	}
	s.Zones[m.Zone] = c
}

// snapshotInterval is the time after which a snapshot is rebuilt without a change, because the time for which dead
// members count passes.
const snapshotInterval = 10 * time.Second
