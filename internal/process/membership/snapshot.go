package membership

import (
	"slices"
	"strings"
	"time"
)

// Count holds the numbers of members of one availability zone or of all, including this node.
type Count struct {
	Live    int // including suspect members
	Suspect int // included in Live
	Dead    int // declared dead within Config.CountRetention; members that left are not counted
}

// Total returns the number of members including those that are counted as dead. A majority must be computed of this
// number: on the smaller side of a partition, the members that are live in the view are a minority of all.
func (c Count) Total() int { return c.Live + c.Dead }

// Snapshot is the view at one point in time. It is immutable, so that readers need no lock: its slices and maps must
// not be modified.
type Snapshot struct {
	Self     Self
	Members  []Member            // all other members, including dead and left ones, sorted by address
	Services map[string][]Member // other live members with a target, by service; sorted by address
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

// Snapshot returns the current view.
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

// snapshotInterval is the time after which a snapshot is rebuilt although no event occurred, because members may have
// been dead for longer than Config.CountRetention.
const snapshotInterval = 10 * time.Second
