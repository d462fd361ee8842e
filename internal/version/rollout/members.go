package rollout

import (
	"cmp"
	"slices"
)

// member is a member of the last view, or of an earlier one if it was heard within rosterWindow.
type member struct {
	Member
	live   bool // at the last rebuild
	listed bool // in the last view
}

// heard returns the time at which a member was last heard.
func (m *Machine) lastHeard(v *member) Time {
	if v.Alive {
		return max(v.LastHeard, m.viewAt)
	}
	return v.LastHeard
}

func (m *Machine) live(v *member) bool { return !v.Left && m.now-m.lastHeard(v) <= liveWindow }

// expired reports whether a member does not count in majorities any more.
func (m *Machine) expired(v *member) bool { return v.Left || m.now-m.lastHeard(v) > rosterWindow }

// SetMembers replaces the view of the members. Members that the view no longer contains keep counting in majorities
// until they have not been heard for an hour, unless they left.
func (m *Machine) SetMembers(now Time, view []Member) {
	m.advance(now)
	changed := m.viewStale
	for _, v := range m.members {
		v.LastHeard, v.listed = m.lastHeard(v), false
	}
	m.viewAt = m.now
	for i := range view {
		if view[i].Address != m.cfg.Address {
			changed = m.updateMember(view[i]) || changed
		}
	}
	for _, v := range m.members {
		if v.Alive && !v.listed {
			v.Alive, changed = false, true
		}
	}
	if changed {
		m.rebuild()
	}
}

// setMember takes over one member of the view and reports whether that may change what rebuild derives.
func (m *Machine) updateMember(now Member) bool {
	v := m.members[now.Address]
	if v == nil {
		v = &member{Member: now, listed: true}
		if m.expired(v) {
			delete(m.peers, now.Address)
			return false
		}
		m.members[now.Address] = v
		return true
	}
	if v.Zone == now.Zone {
		now.LastHeard = max(now.LastHeard, v.LastHeard)
	}
	changed := v.Zone != now.Zone || v.Left != now.Left || v.Alive != now.Alive
	v.Member, v.listed = now, true
	return changed || v.live != m.live(v)
}

// Refresh tells that the view of the last SetMembers still holds, so that its members that are alive count as heard now.
func (m *Machine) Refresh(now Time) {
	m.advance(now)
	m.viewAt = m.now
	if m.viewStale {
		m.rebuild()
	}
}

// expire follows the members whose state changes by time alone. Members that are alive share one time, and the others
// have the earliest of their times in m.due, so that a tick looks at no member while nothing is due.
func (m *Machine) rebuildIfDue() {
	if m.now > m.nextExpiry || m.viewStale != (m.now-m.viewAt > liveWindow) {
		m.rebuild()
	}
}

// rebuild derives ranks, neighbours and the roster from the members.
func (m *Machine) rebuild() {
	all, zone := []string{m.cfg.Address}, []string{m.cfg.Address}
	r := roster{{m.cfg.Address, m.cfg.Zone}}
	m.viewStale, m.nextExpiry = m.now-m.viewAt > liveWindow, m.now+rosterWindow
	for address, v := range m.members {
		if m.expired(v) {
			delete(m.members, address)
			delete(m.peers, address)
			continue
		}
		r = append(r, rosterMember{address, v.Zone})
		v.live = m.live(v)
		if v.live {
			all = append(all, address)
			if v.Zone == m.cfg.Zone {
				zone = append(zone, address)
			}
		}
		switch {
		case !v.live:
			m.nextExpiry = min(m.nextExpiry, m.lastHeard(v)+rosterWindow)
		case !v.Alive:
			m.nextExpiry = min(m.nextExpiry, m.lastHeard(v)+liveWindow)
		}
	}
	slices.SortFunc(r, func(a, b rosterMember) int { return cmp.Compare(a.Address, b.Address) })
	m.roster = r
	m.liveCount = len(all)
	m.liveInZone = ring(zone, 0)
	m.rank = slices.Index(m.liveInZone, m.cfg.Address)
	m.neighbours = neighbours(m.cfg.Address, zone, all)
	m.zoneMask, m.zoneSizes = voteSet{}, r.sizes()
	for _, v := range r {
		if v.Zone == m.cfg.Zone {
			m.zoneMask.set(voteBit(v.Address))
		}
	}
}
