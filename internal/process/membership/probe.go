package membership

import (
	"slices"
	"time"
)

// probe is a probe of a neighbour that has not been answered.
type probe struct {
	seq         uint32
	target      string
	sent        time.Time
	incarnation uint64 // of the target when the probe was sent
	indirect    bool   // relays were asked
	heardOther  bool   // a message from another member arrived since the probe was sent
}

// relay is an indirect probe that this node performs for another member.
type relay struct {
	seq       uint32 // of the ping to the target
	origin    string // member that asked for the probe
	originSeq uint32 // sequence number of the origin's request
	target    string
	expires   time.Time
}

func (m *Machine) nextSeq() uint32 {
	m.seq++
	return m.seq
}

// probeNext probes the next neighbour, in round-robin order.
func (m *Machine) probeNext() {
	near := m.Neighbours()
	if len(near) == 0 || m.status == StatusJoining {
		return
	}
	m.probeIndex++
	target := near[m.probeIndex%len(near)]
	if slices.ContainsFunc(m.probes, func(p probe) bool { return p.target == target }) {
		return
	}
	m.probes = append(m.probes, probe{
		seq: m.nextSeq(), target: target, sent: m.now, incarnation: m.members[target].Incarnation,
	})
	m.send(target, &Message{Kind: KindPing, Seq: m.seq})
}

// probeTimeouts is the time until a probe has failed, as a multiple of ProbeTimeout: one for the direct probe and two
// for the indirect probes, whose path is twice as long.
const probeTimeouts = 3

func (m *Machine) checkProbes() {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return !m.now.Before(r.expires) })
	for i := 0; i < len(m.probes); {
		p := &m.probes[i]
		age := m.now.Sub(p.sent)
		if age >= probeTimeouts*m.cfg.ProbeTimeout {
			failed := *p
			m.probes = slices.Delete(m.probes, i, i+1)
			m.probeFailed(&failed)
			continue
		}
		if age >= m.cfg.ProbeTimeout && !p.indirect {
			p.indirect = true
			m.askRelays(p)
		}
		i++
	}
}

func (m *Machine) askRelays(p *probe) {
	near := slices.Clone(m.Neighbours())
	m.rng.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	asked := 0
	for _, r := range near {
		if asked == m.cfg.Relays {
			return
		}
		if e := m.members[r]; r == p.target || e == nil || e.State == Suspect {
			continue
		}
		m.send(r, &Message{Kind: KindPingReq, Seq: p.seq, Target: p.target})
		asked++
	}
}

// handlePingReq performs an indirect probe for another member.
func (m *Machine) handlePingReq(from string, msg *Message) {
	if msg.Target == m.self.Address {
		m.send(from, &Message{Kind: KindAck, Seq: msg.Seq, Target: msg.Target})
		return
	}
	seq := m.nextSeq()
	m.relays = append(m.relays, relay{
		seq: seq, origin: from, originSeq: msg.Seq, target: msg.Target,
		expires: m.now.Add(probeTimeouts * m.cfg.ProbeTimeout),
	})
	m.send(msg.Target, &Message{Kind: KindPing, Seq: seq})
}

func (m *Machine) handleAck(from string, msg *Message) {
	m.confirmSelfCheck(from)
	for _, r := range m.relays {
		if r.seq == msg.Seq && r.target == from {
			m.send(r.origin, &Message{Kind: KindAck, Seq: r.originSeq, Target: from})
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool {
		return p.seq == msg.Seq && (p.target == from || p.target == msg.Target)
	})
}

// probeFailed suspects the target. A node that has received no message from another member since it sent the
// probe is probably isolated itself, so it suspects no member. In a cluster of two nodes there is no other
// member to hear.
func (m *Machine) probeFailed(p *probe) {
	e := m.members[p.target]
	if e == nil || !e.State.Live() || e.State == Suspect {
		return
	}
	if e.Incarnation != p.incarnation {
		return // the target made a statement after the probe was sent, so the failure says nothing about it
	}
	others := m.graph.size - 2
	if m.status != StatusActive || (others > 0 && !p.heardOther) {
		return
	}
	u := e.brief()
	u.State = Suspect
	m.updateRecord(e, &u, Suspect, "")
	e.nextNotice = m.now
	m.enqueue(e.Address, false)
}

// checkSuspects sends notices to suspects and declares those dead that have not refuted the suspicion in time.
func (m *Machine) checkSuspects() {
	if len(m.suspects) == 0 || m.status != StatusActive {
		return
	}
	for _, a := range sortedKeys(m.suspects) {
		e := m.suspects[a]
		if !m.now.Before(e.suspicionDeadline) {
			u := e.brief()
			u.State = Dead
			m.updateRecord(e, &u, Dead, "")
			m.enqueue(a, false)
			// If all other members seem dead, this node may have been isolated.
			m.maybeReplaced = m.maybeReplaced || m.graph.size == 1
			continue
		}
		if !e.nextNotice.IsZero() && !m.now.Before(e.nextNotice) {
			e.nextNotice = m.now.Add(m.cfg.NoticeInterval)
			m.sendNotice(e)
		}
	}
}

// sendNotice sends a member this node's record of it.
func (m *Machine) sendNotice(e *entry) {
	m.send(e.Address, &Message{Kind: KindNotice, Updates: []Update{m.completeUpdate(e)}})
}
