package rollout

import (
	"slices"
)

// relayTask collects the answers of some members on behalf of a coordinator.
type relayTask struct {
	from        string // the coordinator that asked
	ask         ask
	collected   answer         // of the members so far
	answers     int            // number of members that answered
	index       map[string]int // positions in ask.Members of the members that have not answered
	expiresAt   Time
	unsent      bool // collected has answers that are not sent yet
	lastFlushAt Time
}

// handleAsk relays an ask that lists members, and answers any other for this node.
func (m *Machine) handleAsk(from string, a ask) {
	if from != m.cfg.Address {
		at, ok := m.fromPeerTime(m.peers[from], a.At)
		if a.At = 0; ok {
			a.At = max(floorMS(at), 0)
		}
	}
	if len(a.Members) == 0 {
		m.answerLocally(from, a)
		return
	}
	if a.Phase == phaseHold {
		m.relay(a)
		return
	}
	t := &relayTask{
		from: from, ask: a, index: map[string]int{}, expiresAt: m.now + relayTaskTimeout, lastFlushAt: m.now,
		collected: answer{
			ID: a.ID, Ballot: a.Ballot, Phase: a.Phase, Token: a.Token,
			OK: newBitSet(len(a.Members)), Clean: newBitSet(len(a.Members)), Locked: newBitSet(len(a.Members)),
		},
	}
	for i, address := range a.Members {
		t.index[address] = i
	}
	m.relayTasks = append(m.relayTasks, t)
	if len(m.relayTasks) > maxRelayTasks {
		m.relayTasks = slices.Delete(m.relayTasks, 0, 1)
	}
	m.relay(a)
}

// relay passes the ask on to the listed members.
func (m *Machine) relay(a ask) {
	one := ask{ID: a.ID, Ballot: a.Ballot, Phase: a.Phase, Token: a.Token, At: a.At}
	for _, address := range a.Members {
		if address == m.cfg.Address {
			m.answerLocally(address, one)
			continue
		}
		m.sendAsk(address, one)
	}
}

func (m *Machine) sendAsk(to string, a ask) {
	if !m.hasRow || m.row.Pending == nil {
		return // the change is settled; the new row spreads by gossip
	}
	row := m.row
	m.send(to, &message{Kind: kindAsk, Ask: &a, Row: &row})
}

// answerLocally applies a hold to this node. Any other ask it queues, because the body of the proposal may not be here yet.
func (m *Machine) answerLocally(from string, a ask) {
	if a.Phase == phaseHold {
		if m.ackID == a.ID && m.ackBallot == a.Ballot && a.At > 0 {
			m.holdAt = max(m.holdAt, fromMS(a.At))
		}
		return
	}
	m.openAsks = slices.DeleteFunc(m.openAsks, func(x openAsk) bool { return x.from == from && x.ask.Phase == a.Phase })
	m.openAsks = append(m.openAsks, openAsk{from, a})
	if p := m.row.Pending; p != nil {
		m.requestBody(p.Head.Hash, from)
	}
}

// answerOpenAsks answers the asks whose body has arrived, and drops those that are not about the pending ballot any more.
func (m *Machine) answerOpenAsks() {
	if len(m.openAsks) == 0 {
		return
	}
	open := m.openAsks
	m.openAsks = nil
	for _, x := range open {
		if p := m.row.Pending; p != nil && p.Head.ID == x.ask.ID && p.Ballot == x.ask.Ballot {
			if body, ok := m.bodies[p.Head.Hash]; ok {
				m.answerOne(x, p, body)
			} else {
				m.requestBody(p.Head.Hash, x.from)
				m.openAsks = append(m.openAsks, x)
			}
		}
	}
}

// answerOne answers for this node. The answer is a promise to ignore lower ballots. This node keeps it because it answers
// only for the ballot in the newest row that it knows, and a row with a lower ballot has a lower Seq, so that updateRow
// ignores it.
func (m *Machine) answerOne(x openAsk, p *Pending, body []byte) {
	got := answer{ID: x.ask.ID, Ballot: x.ask.Ballot, Phase: x.ask.Phase, Token: x.ask.Token, Self: true}
	clean := m.firstFreshSeq != 0 && m.firstFreshSeq <= p.FirstSeq
	isDecided := !p.Head.id().after(m.decided.id())
	err := m.cfg.Check(body)
	switch {
	case err != nil && !isDecided:
		got.Rejections = []Rejection{{m.cfg.Address, err.Error()}}
	case x.ask.Phase == phaseLock:
		if !clean && !isDecided {
			return // an earlier process at this address may have answered a higher ballot, and so promised to ignore this one
		}
		m.lockID = p.Head.ID
		got.OK = bitSet{1}
	default:
		m.acknowledge(p, x.ask.At)
		got.OK = bitSet{1}
	}
	if m.lockID == p.Head.ID || isDecided {
		got.Locked = bitSet{1}
	} else if clean {
		got.Clean = bitSet{1}
	}
	if x.from == m.cfg.Address {
		m.handleAnswer(m.cfg.Address, got)
		return
	}
	m.send(x.from, &message{Kind: kindAnswer, Answer: &got})
}

// acknowledge records the acknowledgement. In the first ballot, the node may use platform evidence for its old version from
// then on, for Config.Bound after the ask. After a takeover it may not until a hold arrives: an earlier coordinator may
// have rolled forward, and the new coordinator sends holds only when it has excluded that (canRefuse).
func (m *Machine) acknowledge(p *Pending, at int64) {
	if m.ackID != p.Head.ID || m.ackBallot != p.Ballot {
		m.ackID, m.ackBallot = p.Head.ID, p.Ballot
		m.ackAt, m.holdAt = m.now-farPast, m.now-farPast
	}
	if at > 0 && p.Ballot == 1 {
		m.ackAt = max(m.ackAt, fromMS(at))
	}
	m.applyFreshness()
}

// handleAnswer handles the answer of a member to this node as relay, or an answer to this node as coordinator.
func (m *Machine) handleAnswer(from string, got answer) {
	for _, t := range m.relayTasks {
		if !got.Self || t.ask.Token != got.Token || t.ask.ID != got.ID || t.ask.Ballot != got.Ballot || t.ask.Phase != got.Phase {
			continue
		}
		i, ok := t.index[from]
		if !ok {
			return // this member has answered before, or was not asked
		}
		delete(t.index, from)
		t.answers++
		t.unsent = true
		if bitSet(got.OK).has(0) {
			bitSet(t.collected.OK).set(i)
		}
		if bitSet(got.Clean).has(0) {
			bitSet(t.collected.Clean).set(i)
		}
		if bitSet(got.Locked).has(0) {
			bitSet(t.collected.Locked).set(i)
		}
		for _, n := range got.Rejections {
			t.collected.Rejections = append(t.collected.Rejections, Rejection{from, n.Reason})
		}
		if t.answers == len(t.ask.Members) {
			m.flushRelay(t)
		}
		return
	}
	if c := m.changes[got.ID]; c != nil {
		c.handleAnswer(from, got)
	}
}

func (m *Machine) flushRelay(t *relayTask) {
	t.unsent, t.lastFlushAt = false, m.now
	if t.from == m.cfg.Address {
		if c := m.changes[t.collected.ID]; c != nil {
			c.handleAnswer(t.from, t.collected)
		}
		return
	}
	collected := t.collected
	m.send(t.from, &message{Kind: kindAnswer, Answer: &collected})
}

// tickRelays sends partial answers, and drops the tasks that are complete or too old.
func (m *Machine) tickRelays() {
	for _, t := range m.relayTasks {
		if t.unsent && m.now-t.lastFlushAt >= relayFlushInterval {
			m.flushRelay(t)
		}
	}
	m.relayTasks = slices.DeleteFunc(m.relayTasks, func(t *relayTask) bool {
		return m.now > t.expiresAt || t.answers == len(t.ask.Members) && !t.unsent
	})
}
