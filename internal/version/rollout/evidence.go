package rollout

import (
	"slices"
)

func newPeer(epoch uint64, now Time) *peer {
	return &peer{epoch: epoch, offsetSince: now, knownVotes: map[uint64]*voteSet{}, zoneVotes: map[string]int64{}}
}

// observe updates what is known about a peer and its clock.
//
// The peer received a message of this node, sent at Echo of this node's clock, at EchoAt of its own clock. The peer's clock
// was at EchoAt when this node's clock was at Echo or later, so Echo - EchoAt is a lower bound of the offset between the
// clocks. A time of the peer plus the largest such bound is a time of this node's clock that is not later than the true
// one. So evidence that was delayed in a connection, or because this process was paused, never looks younger than it is.
func (m *Machine) observe(from string, msg *message) *peer {
	p := m.peers[from]
	if p == nil || p.epoch != msg.Epoch {
		p = newPeer(msg.Epoch, m.now)
		m.peers[from] = p
	}
	if msg.Sent >= p.remoteSentAt {
		p.remoteSentAt, p.receivedAt = msg.Sent, m.now
	}
	if msg.EchoEpoch != m.cfg.Epoch || msg.Echo > floorMS(m.now) {
		return p
	}
	if m.now-p.offsetSince > offsetWindow {
		p.offset[1], p.offsetKnown[1] = p.offset[0], p.offsetKnown[0]
		p.offsetKnown[0] = false
		p.offsetSince = m.now
	}
	if o := msg.Echo - msg.EchoAt; !p.offsetKnown[0] || o > p.offset[0] {
		p.offset[0], p.offsetKnown[0] = o, true
	}
	return p
}

// fromPeerTime converts a time of the peer's clock to the latest time of this machine's clock that is certain not to be
// later than the true one. It reports false if no offset between the clocks is known.
func (m *Machine) fromPeerTime(p *peer, ms int64) (Time, bool) {
	switch {
	case p.offsetKnown[0] && p.offsetKnown[1]:
		return fromMS(ms + max(p.offset[0], p.offset[1])), true
	case p.offsetKnown[0]:
		return fromMS(ms + p.offset[0]), true
	case p.offsetKnown[1]:
		return fromMS(ms + p.offset[1]), true
	}
	return 0, false
}

// send adds to the message what the peer is not known to have of the newest row, its evidence and the version that was
// rolled forward, and queues it.
func (m *Machine) send(to string, msg *message) {
	if to == m.cfg.Address || to == "" {
		return
	}
	p := m.peers[to]
	if p == nil {
		p = newPeer(0, m.now)
		m.peers[to] = p
	}
	msg.Epoch, msg.Sent = m.cfg.Epoch, floorMS(m.now)
	if p.epoch != 0 {
		msg.EchoEpoch, msg.Echo, msg.EchoAt = p.epoch, p.remoteSentAt, ceilMS(p.receivedAt)
	}
	msg.StoreEpoch = m.storeEpoch
	if m.hasRow {
		msg.Seq, msg.RowEpoch = m.row.Seq, m.row.StoreEpoch
		if msg.Row == nil && (m.row.id().after(p.row) || !p.contacted) {
			row := m.row
			msg.Row = &row
		}
		if m.freshKnown {
			msg.FreshAt = floorMS(m.freshAt)
			p.freshAt = max(p.freshAt, m.freshAt)
		}
		if m.row.id().after(p.row) {
			p.row = m.row.id()
		}
	}
	if m.owesRollForward(p) {
		h := m.rolledForward
		msg.RolledForward = &h
		p.rolledForward = h.id()
	}
	p.lastContactAt, p.contacted = m.now, true
	m.out.Sends = append(m.out.Sends, Envelope{To: to, Payload: msg.encode()})
}

// owesRollForward reports whether the peer may not know of the version that was rolled forward and that no head row shows yet.
func (m *Machine) owesRollForward(p *peer) bool {
	id := m.rolledForward.id()
	return id.after(m.row.Head.id()) && id.after(p.rolledForward)
}

// gossip sends the neighbours what they are not known to have, and a message every keepAliveInterval at least.
func (m *Machine) gossip() {
	to := m.neighbours
	if len(to) == 0 {
		to = m.cfg.Join
	}
	voting := m.voting()
	for _, a := range to {
		p := m.peers[a]
		due := p == nil || !p.contacted || m.now-p.lastContactAt >= keepAliveInterval ||
			(m.hasRow && m.row.id().after(p.row)) || m.owesRollForward(p) ||
			(m.freshKnown && m.freshAt-p.freshAt >= minFreshnessGain)
		msg := &message{Kind: kindState}
		votes := voting && p != nil && m.addVotes(msg, a, p)
		if due || votes {
			m.send(a, msg)
		}
	}
}

// voting reports whether platform evidence is so old that members vote to confirm their version.
func (m *Machine) voting() bool {
	return m.running.Version > 0 && m.running.id() == m.decided.id() && m.newerProposal() == nil &&
		(!m.hasPlatformAt || m.now-m.platformAt >= voteAge)
}

// canAttest reports whether this node can vote. With a vote, the node attests that nothing newer than its version was
// decided with its acknowledgement or lock. As a version is decided only if the members without either are no blocking
// majority, the votes of a majority show that nothing newer was decided. A process without platform evidence from after its
// start cannot vote, because an earlier process at its address may have acknowledged a proposal that this process does not
// know.
func (m *Machine) canAttest() bool {
	return m.firstFreshSeq != 0 && m.running.Version > 0 && m.running.id() == m.decided.id() && m.newerProposal() == nil
}

// mergeZoneVote keeps the better of two summaries of an availability zone: the newer one, or the one with more votes if
// they are of about the same age.
func (m *Machine) mergeZoneVote(z zoneVote) {
	same := m.voteIntervals().round.Milliseconds() / 2
	old, ok := m.zoneVotes[z.Zone]
	if !ok || z.At > old.At+same || (z.At > old.At-same && (z.Count > old.Count || (z.Count == old.Count && z.At > old.At))) {
		m.zoneVotes[z.Zone] = z
	}
}

// countZoneVotes derives majority evidence from the summaries of the availability zones, if they hold the votes of a strict
// majority of all members.
func (m *Machine) countZoneVotes(size sizes) {
	var list []zoneVote
	for _, z := range m.zoneVotes {
		if m.now-fromMS(z.At) <= m.cfg.Bound {
			z.Count = min(z.Count, size[z.Zone])
			list = append(list, z)
		}
	}
	slices.SortFunc(list, func(a, b zoneVote) int { return int(b.At - a.At) })
	n := 0
	for _, z := range list {
		if n += z.Count; 2*n > size.total() {
			m.confirmByMajority(fromMS(z.At))
			return
		}
	}
}

func (m *Machine) confirmByMajority(at Time) {
	if at >= m.started && m.newerProposal() == nil && (!m.hasMajorityAt || at > m.majorityAt) {
		m.majorityAt, m.hasMajorityAt = at, true
	}
}
