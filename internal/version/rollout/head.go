package rollout

// mergeState merges the row, version and evidence in a message into the state.
func (m *Machine) mergeState(from string, p *peer, msg *message) {
	m.observeEpoch(msg.StoreEpoch)
	if msg.Row != nil {
		m.updateRow(*msg.Row, from)
	}
	if msg.RolledForward != nil {
		m.recordDecided(*msg.RolledForward, from)
		id := msg.RolledForward.id()
		if id.after(m.rolledForward.id()) {
			m.rolledForward = *msg.RolledForward
		}
		if id.after(p.rolledForward) {
			p.rolledForward = id
		}
	}
	if id := msg.rowID(); msg.Kind == kindState || id.after(p.row) {
		p.row = id
	}
	if msg.FreshAt != 0 {
		if at, ok := m.fromPeerTime(p, msg.FreshAt); ok {
			p.freshAt = max(p.freshAt, at)
			m.updateFreshness(msg.rowID(), at)
		}
	}
	if len(msg.Rounds) > 0 || len(msg.ZoneVotes) > 0 {
		m.mergeVotes(p, msg)
	}
	if msg.rowID().after(m.row.id()) {
		m.send(from, &message{Kind: kindState}) // the peer left out the row, assuming that this node has it
	}
}

// updateRow replaces the known head row by a newer one, which the platform holds or held.
func (m *Machine) updateRow(r HeadRow, from string) {
	if m.hasRow && !r.id().after(m.row.id()) {
		return
	}
	m.row, m.hasRow, m.rowAt = r, true, m.now
	if r.StoreEpoch >= m.storeEpoch {
		m.repair.due = false
	}
	m.freshAt, m.freshKnown = 0, false
	if r.Pending == nil || r.Pending.Ballot != m.seenBallot {
		m.ballotSince = m.now
	}
	m.seenBallot = 0
	if r.Pending != nil {
		m.seenBallot = r.Pending.Ballot
		m.requestBody(r.Pending.Head.Hash, from)
		if m.rank < pollersPerZone { // they keep the roster in case the platform loses it
			m.requestBody(r.Pending.Roster, r.Pending.Coordinator)
		}
	}
	m.recordDecided(r.Head, from)
}

// updateFreshness records evidence that the platform held the row at the given time of this machine's clock.
func (m *Machine) updateFreshness(id rowID, at Time) {
	if !m.hasRow || id != m.row.id() || at > m.now {
		return
	}
	if !m.freshKnown || at > m.freshAt {
		m.freshAt = at
	}
	m.freshKnown = true
	if m.firstFreshSeq == 0 && at >= m.started {
		m.firstFreshSeq = id.seq + 1 // rows are numbered from 0, and 0 stands for unset
	}
	m.applyFreshness()
}

// applyFreshness uses the newest evidence for the head row as evidence for the running version.
func (m *Machine) applyFreshness() {
	if !m.freshKnown || m.decided.id() != m.running.id() {
		return
	}
	if m.freshAt < m.started {
		// After freshAt, an earlier process at this address may have run a newer version. With this evidence, this process
		// could take work with the older one.
		return
	}
	if p := m.newerProposal(); p != nil {
		if p.Head.ID == m.ackID && p.Ballot == m.ackBallot && (!m.hasPendingAt || m.freshAt > m.pendingAt) {
			m.pendingAt, m.hasPendingAt = m.freshAt, true
		}
		return
	}
	if !m.hasPlatformAt || m.freshAt > m.platformAt {
		m.platformAt, m.hasPlatformAt = m.freshAt, true
	}
}

// newerProposal returns the pending proposal for a version above the decided one, or nil.
func (m *Machine) newerProposal() *Pending {
	if p := m.row.Pending; p != nil && p.Head.id().after(m.decided.id()) {
		return p
	}
	return nil
}

// recordDecided records a version that was accepted or rolled forward, and requests its body.
func (m *Machine) recordDecided(h VersionInfo, from string) {
	if h.id() == m.decided.id() && h.Version > 0 && h.Hash != m.decided.Hash {
		m.emit(Event{Kind: EventConflict, Version: h.Version, Head: h})
	}
	if !h.id().after(m.decided.id()) {
		return
	}
	m.decided = h
	m.remember(h)
	m.requestBody(h.Hash, from)
}

// applyDecided runs the newest decided version as soon as its body is available, and answers the asks that it can.
func (m *Machine) applyDecided() {
	if m.decided.id().after(m.running.id()) {
		if body, ok := m.bodies[m.decided.Hash]; ok && m.canRun(body) {
			m.running = m.decided
			m.hasPlatformAt, m.hasMajorityAt, m.hasPendingAt = false, false, false
			clear(m.voteRounds)
			clear(m.zoneVotes)
			m.emit(Event{Kind: EventApply, Version: m.running.Version, Body: body, Head: m.running})
			m.applyFreshness()
		}
	}
	m.answerOpenAsks()
}

// canRun reports whether this node can run the decided body. A node of another release may reject a body that the others
// accepted while this node was silent. It then takes no new work.
func (m *Machine) canRun(body []byte) bool {
	if m.unusableHash == m.decided.Hash {
		return false
	}
	if err := m.cfg.Check(body); err != nil {
		m.unusableHash = m.decided.Hash
		m.emit(Event{Kind: EventUnusable, Version: m.decided.Version, Head: m.decided, Err: err})
		return false
	}
	return true
}
