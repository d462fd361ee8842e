package rollout

// takeState merges the rows, versions and evidence in a message.
func (m *Machine) takeState(from string, p *peer, msg *message) {
	if msg.Row != nil {
		m.takeRow(*msg.Row, from)
	}
	if msg.Chosen != nil {
		m.decide(*msg.Chosen, from)
		if msg.Chosen.Version > m.chosen.Version {
			m.chosen = *msg.Chosen
		}
		p.chosen = max(p.chosen, msg.Chosen.Version)
	}
	if msg.Kind == kindState {
		p.seq = msg.Seq
	} else {
		p.seq = max(p.seq, msg.Seq)
	}
	if msg.FreshAt != 0 {
		if at, ok := m.fromPeer(p, msg.FreshAt); ok {
			p.fresh = max(p.fresh, at)
			m.takeFresh(msg.Seq, at)
		}
	}
	if len(msg.Rounds) > 0 || len(msg.Zones) > 0 {
		m.takeVotes(p, msg)
	}
	if msg.Seq > m.row.Seq {
		m.send(from, &message{Kind: kindState}) // the peer believed that this node has the row
	}
}

// takeRow takes a row that the platform holds or held.
func (m *Machine) takeRow(r HeadRow, from string) {
	if m.have && r.Seq <= m.row.Seq {
		return
	}
	m.row, m.have = r, true
	m.fresh, m.proof = 0, false
	if r.Pending == nil || r.Pending.Ballot != m.pendBall {
		m.pendSince = m.now
	}
	m.pendBall = 0
	if r.Pending != nil {
		m.pendBall = r.Pending.Ballot
		m.want(r.Pending.Head.Hash, from)
	}
	m.decide(r.Head, from)
}

// takeFresh takes evidence that the platform held row seq at the given time of this machine's clock.
func (m *Machine) takeFresh(seq uint64, at Time) {
	if !m.have || seq != m.row.Seq || at > m.now {
		return
	}
	if !m.proof || at > m.fresh {
		m.fresh = at
	}
	m.proof = true
	if m.since == 0 && at >= m.started {
		m.since = seq + 1 // rows are numbered from 0; 0 stands for unset
	}
	m.useFresh()
}

// useFresh applies the newest evidence to the running version.
func (m *Machine) useFresh() {
	if !m.proof || m.decided.Version != m.running.Version {
		return
	}
	if m.fresh < m.started {
		return // an earlier process at this address may have run a newer version since
	}
	if p := m.newer(); p != nil {
		if p.Head.ID == m.ackID && p.Ballot == m.ackBall && (!m.pendOK || m.fresh > m.pendAt) {
			m.pendAt, m.pendOK = m.fresh, true
		}
		return
	}
	if !m.platOK || m.fresh > m.platAt {
		m.platAt, m.platOK = m.fresh, true
	}
}

// newer returns the known proposal for a version above the decided one.
func (m *Machine) newer() *Pending {
	if p := m.row.Pending; p != nil && p.Head.Version > m.decided.Version {
		return p
	}
	return nil
}

func (m *Machine) decide(h VersionInfo, from string) {
	if h.Version == m.decided.Version && h.Version > 0 && h.Hash != m.decided.Hash {
		m.emit(Event{Kind: EventConflict, Version: h.Version, Head: h})
	}
	if h.Version <= m.decided.Version {
		return
	}
	m.decided = h
	m.want(h.Hash, from)
}

// settleState runs the newest decided version as soon as its body is there.
func (m *Machine) settleState() {
	if m.decided.Version > m.running.Version {
		if body, ok := m.bodies[m.decided.Hash]; ok && m.usable(body) {
			m.running = m.decided
			m.platOK, m.majOK, m.pendOK = false, false, false
			clear(m.tallies)
			clear(m.zones)
			m.emit(Event{Kind: EventApply, Version: m.running.Version, Body: body, Head: m.running})
			m.useFresh()
		}
	}
	m.answerAsked()
}

// usable reports whether this node can run the decided body. A node of another release may reject a body that the others
// accepted while this one was silent; it then takes no new work.
func (m *Machine) usable(body []byte) bool {
	if m.unusable == m.decided.Hash {
		return false
	}
	if err := m.cfg.Check(body); err != nil {
		m.unusable = m.decided.Hash
		m.emit(Event{Kind: EventUnusable, Version: m.decided.Version, Head: m.decided, Err: err})
		return false
	}
	return true
}
