package rollout

import (
	"maps"
	"math"
	"slices"
)

// collect asks the members, and decides the change as soon as their answers allow it.
func (c *change) collect() {
	m := c.m
	if m.row.id().after(c.row.id()) && !c.row.Pending.sameBallot(m.row.Pending) {
		c.superseded()
		return
	}
	if c.roster == nil && !c.loadRoster() {
		return
	}
	if c.stage != stageRefuse && !c.didRollForward && m.now-c.lastAskAt >= askInterval {
		c.askAll()
	}
	if !c.locking && m.now >= c.nextHoldAt && (!c.takeover || c.canRefuse()) {
		c.hold()
	}
	switch {
	case c.stage == stageCollect:
		c.decide()
	case c.stage == stageAccept && c.locking && !c.didRollForward:
		c.rollForward()
	}
}

// superseded stops coordinating, because another coordinator has a higher ballot or the change is settled.
func (c *change) superseded() {
	m := c.m
	if m.row.Pending != nil && m.row.Pending.Head.ID == c.spec.ID {
		m.emit(Event{Kind: EventSuperseded, Head: c.row.Pending.Head})
	}
	c.stage, c.startedAt, c.statusOnly, c.proposalWritten = stageFollow, m.now, true, true
	c.locking = false // this ballot must not be rolled forward any more
	c.nextCallAt = m.now
}

// loadRoster loads the roster of the first ballot. It reports false while the roster has to be fetched. If the platform has lost it,
// and no node has it, the members known now take its place.
func (c *change) loadRoster() bool {
	r := c.m.roster
	if body, ok := c.m.bodies[c.rosterID]; ok {
		var err error
		if r, err = decodeRoster(body); err != nil {
			return false
		}
	} else {
		c.m.requestBody(c.rosterID, c.row.Pending.Coordinator)
		if c.m.now-c.collectingSince < rosterLostTimeout {
			return false
		}
		c.rosterLost = true
	}
	c.roster, c.collectingSince = slices.Clone(r), c.m.now
	c.extendRoster()
	return true
}

// extendRoster adds members that the first coordinator did not list because it knew only some of the members. Without them
// a takeover could neither accept nor refuse the change: the unlisted members count as not acknowledged, and may be a
// blocking majority. The locks of the added members do not count for a roll-forward, so that the locks of all ballots come
// from the same roster. No more members are added than the recorded sizes of the availability zones allow. So every set of
// members that blocks a roll-forward (canRefuse) still shares a member with every set whose locks are sufficient for one.
func (c *change) extendRoster() {
	count := c.roster.sizes()
	c.extraMembers = nil
	for _, v := range c.m.roster {
		listed := slices.ContainsFunc(c.roster, func(x rosterMember) bool { return x.Address == v.Address })
		if !listed && count[v.Zone] < c.row.Pending.Sizes[v.Zone] {
			count[v.Zone]++
			c.extraMembers = append(c.extraMembers, v)
		}
	}
}

// askedMembers returns the members that are asked: the roster and the extra members.
func (c *change) askedMembers() roster {
	if len(c.extraMembers) == 0 {
		return c.roster
	}
	return slices.Concat(c.roster, c.extraMembers)
}

func (c *change) phase() phase {
	if c.locking {
		return phaseLock
	}
	return phaseAck
}

// askAll asks the members that have neither acknowledged nor rejected the proposal, or, for a roll-forward, the members
// without a lock. It asks through relays in their availability zones. Each round uses other relays, so that a dead relay
// costs only one round.
func (c *change) askAll() {
	m := c.m
	c.lastAskAt = m.now
	if c.askRounds++; c.askRounds > quickAskRounds {
		c.lastAskAt += slowAskInterval - askInterval
	}
	maps.DeleteFunc(c.sentAsks, func(_ uint64, q sentAsk) bool { return m.now-q.at > relayTaskTimeout })
	zones := map[string][]string{}
	for _, v := range c.askedMembers() {
		a := c.memberStates[v.Address]
		if a == nil || (c.locking && !a.locked) || (!c.locking && !a.ok && a.rejection == "") {
			if !c.locking {
				c.stateOf(v.Address).askedAt = m.now
			}
			zones[v.Zone] = append(zones[v.Zone], v.Address)
		}
	}
	c.sendAsks(zones, c.phase())
}

// sendAsks divides the members of each availability zone into parts of about the square root of the member count, and
// sends one ask for each part to a relay.
func (c *change) sendAsks(zones map[string][]string, p phase) {
	m := c.m
	size := max(int(math.Sqrt(float64(len(c.roster)+len(c.extraMembers)))), 4)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list := zones[zone]
		for i := 0; i < len(list); i += size {
			part := list[i:min(i+size, len(list))]
			m.token++
			a := ask{
				ID: c.spec.ID, Ballot: c.row.Pending.Ballot, Phase: p, Token: m.token, Members: part, At: floorMS(m.now),
			}
			c.sentAsks[a.Token] = sentAsk{part, a.Phase, m.now}
			c.sendRelay(part, a)
		}
	}
}

// hold tells members that their acknowledgement has arrived, so that they can go on taking work while the change stays
// pending or loses its coordinator.
func (c *change) hold() {
	m := c.m
	c.nextHoldAt = m.now + lateHoldInterval
	zones := map[string][]string{}
	for _, v := range c.askedMembers() {
		if a := c.memberStates[v.Address]; a != nil && a.ok && (a.heldAt == 0 || m.now-a.heldAt >= holdInterval) {
			a.heldAt = m.now
			zones[v.Zone] = append(zones[v.Zone], v.Address)
		}
	}
	c.sendAsks(zones, phaseHold)
}

// sendRelay sends the ask to a live member of the part, which relays it. The coordinator relays the ask itself if it
// belongs to the part or no member of the part is live.
func (c *change) sendRelay(part []string, a ask) {
	m := c.m
	var alive []string
	for _, address := range part {
		if v, ok := m.members[address]; address == m.cfg.Address || ok && m.live(v) {
			alive = append(alive, address)
		}
	}
	if len(alive) == 0 || slices.Contains(part, m.cfg.Address) {
		m.handleAsk(m.cfg.Address, a)
		return
	}
	m.sendAsk(alive[(int(hash64(a.ID)%1024)+c.askRounds)%len(alive)], a)
}

// handleAnswer handles an answer that a relay aggregated, or that of one member (Self). An answer of one member gets here if
// this node was the relay and has dropped the task.
func (c *change) handleAnswer(from string, got answer) {
	sent, ok := c.sentAsks[got.Token]
	if !ok || !c.holdsBallot() || got.Ballot != c.row.Pending.Ballot || got.Phase != sent.phase {
		return
	}
	if got.Self {
		if !slices.Contains(sent.members, from) {
			return
		}
		sent.members = []string{from}
	}
	for i, address := range sent.members {
		if !bitSet(got.OK).has(i) {
			continue
		}
		a := c.stateOf(address)
		a.ok, a.rejection = true, ""
		c.recordAnswer(a, got, i)
	}
	for _, n := range got.Rejections {
		if i := slices.Index(sent.members, n.Address); i >= 0 {
			a := c.stateOf(n.Address)
			a.ok, a.rejection = false, n.Reason
			c.recordAnswer(a, got, i)
		}
	}
	c.collect()
}

func (c *change) stateOf(address string) *memberState {
	a := c.memberStates[address]
	if a == nil {
		a = &memberState{}
		c.memberStates[address] = a
	}
	return a
}

func (c *change) recordAnswer(a *memberState, got answer, i int) {
	a.answeredAt = c.m.now
	a.clean = bitSet(got.Clean).has(i)
	a.locked = a.locked || bitSet(got.Locked).has(i)
}

// unacknowledged reports whether a member has not acknowledged the proposal and has not left the roster.
func (c *change) unacknowledged(address string) bool {
	a := c.memberStates[address]
	return (a == nil || !a.ok) && !c.leftRoster(address)
}

// leftRoster reports whether a member has expired since the proposal. Only a process that has run for rosterWindow, and
// would have heard the member, and that is not cut off from the majority itself can tell.
func (c *change) leftRoster(address string) bool {
	m := c.m
	_, seen := m.members[address]
	return !seen && address != m.cfg.Address && m.now-m.started >= rosterWindow && 2*m.liveCount > c.row.Pending.Sizes.total()
}

// silent reports whether a member was not heard, and did not answer, for longer than Config.Bound. A member that left or
// is unknown counts as silent.
func (c *change) silent(address string) bool {
	m := c.m
	if address == m.cfg.Address {
		return false
	}
	v, ok := m.members[address]
	if !ok || v.Left {
		return true
	}
	last := m.lastHeard(v)
	if a := c.memberStates[address]; a != nil {
		last = max(last, a.answeredAt)
	}
	return m.now-last > m.cfg.Bound
}
