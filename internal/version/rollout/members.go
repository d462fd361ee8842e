package rollout

import (
	"cmp"
	"slices"
)

// member is a member of the last view, or of an earlier view if it was heard within rosterWindow.
type member struct {
	Member
	live   bool // at the last rebuild
	listed bool // in the last view
}

// lastHeard returns when a member was last heard. A member that is alive counts as heard when the view last held.
func (m *Machine) lastHeard(v *member) Time {
	if v.Alive {
		return max(v.LastHeard, m.viewAt)
	}
	return v.LastHeard
}

func (m *Machine) live(v *member) bool { return !v.Left && m.now-m.lastHeard(v) <= liveWindow }

// expired reports whether a member does not count in majorities any more.
func (m *Machine) expired(v *member) bool { return v.Left || m.now-m.lastHeard(v) > rosterWindow }

// SetMembers replaces the view of the members. A member that is missing from the new view still counts in majorities
// until it has not been heard for rosterWindow, unless it left.
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

// updateMember merges one member of the new view, and reports whether that may change what rebuild derives.
func (m *Machine) updateMember(update Member) bool {
	v := m.members[update.Address]
	if v == nil {
		v = &member{Member: update, listed: true}
		if m.expired(v) {
			delete(m.peers, update.Address)
			return false
		}
		m.members[update.Address] = v
		return true
	}
	if v.Zone == update.Zone {
		update.LastHeard = max(update.LastHeard, v.LastHeard)
	}
	changed := v.Zone != update.Zone || v.Left != update.Left || v.Alive != update.Alive
	v.Member, v.listed = update, true
	return changed || v.live != m.live(v)
}

// Refresh reports that the view of the last SetMembers still holds. Its members that are alive count as heard now.
func (m *Machine) Refresh(now Time) {
	m.advance(now)
	m.viewAt = m.now
	if m.viewStale {
		m.rebuild()
	}
}

// rebuildIfDue rebuilds when the state of a member changes by time alone. All members that are alive depend on viewAt, and
// nextExpiry is the earliest time for the others, so that a tick does not look at each member.
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
