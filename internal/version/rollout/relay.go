package rollout

import (
	"slices"
)

// relayTask collects the answers of some members on behalf of a coordinator.
type relayTask struct {
	from    string // coordinator
	ask     ask
	got     answer
	answers int
	index   map[string]int
	until   Time
	dirty   bool
	flushed Time
}

// takeAsk answers for this node, and relays the ask if it lists members.
func (m *Machine) takeAsk(from string, a ask) {
	if from != m.cfg.Address {
		at, ok := m.fromPeer(m.peers[from], a.At)
		if a.At = 0; ok {
			a.At = max(floorMS(at), 0)
		}
	}
	if len(a.Members) == 0 {
		m.askSelf(from, a)
		return
	}
	if a.Phase == phaseHold {
		m.relay(a)
		return
	}
	t := &relayTask{
		from: from, ask: a, index: map[string]int{}, until: m.now + relayTaskLife, flushed: m.now,
		got: answer{
			ID: a.ID, Ballot: a.Ballot, Phase: a.Phase, Token: a.Token,
			OK: newBits(len(a.Members)), Clean: newBits(len(a.Members)), Locked: newBits(len(a.Members)),
		},
	}
	for i, address := range a.Members {
		t.index[address] = i
	}
	m.tasks = append(m.tasks, t)
	if len(m.tasks) > maxRelayTasks {
		m.tasks = slices.Delete(m.tasks, 0, 1)
	}
	m.relay(a)
}

func (m *Machine) relay(a ask) {
	one := ask{ID: a.ID, Ballot: a.Ballot, Phase: a.Phase, Token: a.Token, At: a.At}
	for _, address := range a.Members {
		if address == m.cfg.Address {
			m.askSelf(address, one)
			continue
		}
		m.sendAsk(address, one)
	}
}

func (m *Machine) sendAsk(to string, a ask) {
	if !m.have || m.row.Pending == nil {
		return // settled meanwhile; the row itself spreads by gossip
	}
	row := m.row
	m.send(to, &message{Kind: kindAsk, Ask: &a, Row: &row})
}

func (m *Machine) askSelf(from string, a ask) {
	if a.Phase == phaseHold {
		if m.ackID == a.ID && m.ackBall == a.Ballot && a.At > 0 {
			m.holdAt = max(m.holdAt, fromMS(a.At))
		}
		return
	}
	m.asked = slices.DeleteFunc(m.asked, func(x askedBy) bool { return x.from == from && x.ask.Phase == a.Phase })
	m.asked = append(m.asked, askedBy{from, a})
	if p := m.row.Pending; p != nil {
		m.want(p.Head.Hash, from)
	}
}

// answerAsked answers the asks whose body has arrived and drops those that a newer row overtook.
func (m *Machine) answerAsked() {
	if len(m.asked) == 0 {
		return
	}
	open := m.asked
	m.asked = nil
	for _, x := range open {
		if p := m.row.Pending; p != nil && p.Head.ID == x.ask.ID && p.Ballot == x.ask.Ballot {
			if body, ok := m.bodies[p.Head.Hash]; ok {
				m.answerOne(x, p, body)
			} else {
				m.want(p.Head.Hash, x.from)
				m.asked = append(m.asked, x)
			}
		}
	}
}

// answerOne answers for this node. The answer promises to ignore lower ballots, which takeRow enforces: a lower ballot
// has a lower row number.
func (m *Machine) answerOne(x askedBy, p *Pending, body []byte) {
	got := answer{ID: x.ask.ID, Ballot: x.ask.Ballot, Phase: x.ask.Phase, Token: x.ask.Token, Self: true}
	clean := m.since != 0 && m.since <= p.FirstSeq
	runs := m.decided.Version >= p.Head.Version
	err := m.cfg.Check(body)
	switch {
	case err != nil && !runs:
		got.Nacks = []Rejection{{m.cfg.Address, err.Error()}}
	case x.ask.Phase == phaseLock:
		if !clean && !runs {
			return // an earlier process at this address may have promised a higher ballot to ignore this one
		}
		m.lockID = p.Head.ID
		got.OK = bits{1}
	default:
		m.acknowledge(p, x.ask.At)
		got.OK = bits{1}
	}
	if m.lockID == p.Head.ID || runs {
		got.Locked = bits{1}
	} else if clean {
		got.Clean = bits{1}
	}
	if x.from == m.cfg.Address {
		m.takeAnswer(m.cfg.Address, got)
		return
	}
	m.send(x.from, &message{Kind: kindAnswer, Answer: &got})
}

// acknowledge records the acknowledgement. That of a takeover does not let the node rely on platform evidence until the
// coordinator has excluded that an earlier one rolled forward, which a hold tells.
func (m *Machine) acknowledge(p *Pending, at int64) {
	if m.ackID != p.Head.ID || m.ackBall != p.Ballot {
		m.ackID, m.ackBall = p.Head.ID, p.Ballot
		m.ackAt, m.holdAt = m.now-longAgo, m.now-longAgo
	}
	if at > 0 && p.Ballot == 1 {
		m.ackAt = max(m.ackAt, fromMS(at))
	}
	m.useFresh()
}

// takeAnswer takes the answer of a member to a relay, or of a relay to the coordinator.
func (m *Machine) takeAnswer(from string, got answer) {
	for _, t := range m.tasks {
		if !got.Self || t.ask.Token != got.Token || t.ask.ID != got.ID || t.ask.Ballot != got.Ballot || t.ask.Phase != got.Phase {
			continue
		}
		i, ok := t.index[from]
		if !ok {
			return // repeated
		}
		delete(t.index, from)
		t.answers++
		t.dirty = true
		if bits(got.OK).has(0) {
			bits(t.got.OK).set(i)
		}
		if bits(got.Clean).has(0) {
			bits(t.got.Clean).set(i)
		}
		if bits(got.Locked).has(0) {
			bits(t.got.Locked).set(i)
		}
		for _, n := range got.Nacks {
			t.got.Nacks = append(t.got.Nacks, Rejection{from, n.Reason})
		}
		if t.answers == len(t.ask.Members) {
			m.flush(t)
		}
		return
	}
	if c := m.changes[got.ID]; c != nil {
		c.takeAnswer(from, got)
	}
}

func (m *Machine) flush(t *relayTask) {
	t.dirty, t.flushed = false, m.now
	if t.from == m.cfg.Address {
		if c := m.changes[t.got.ID]; c != nil {
			c.takeAnswer(t.from, t.got)
		}
		return
	}
	got := t.got
	m.send(t.from, &message{Kind: kindAnswer, Answer: &got})
}

// tickRelays sends partial answers and forgets old tasks.
func (m *Machine) tickRelays() {
	for _, t := range m.tasks {
		if t.dirty && m.now-t.flushed >= relayFlush {
			m.flush(t)
		}
	}
	m.tasks = slices.DeleteFunc(m.tasks, func(t *relayTask) bool {
		return m.now > t.until || t.answers == len(t.ask.Members) && !t.dirty
	})
}
