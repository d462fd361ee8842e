package membership

import (
	"slices"
	"time"
)

// Status is the status of this node, which tells whether it may act as a member.
type Status uint8

// Statuses of a node.
const (
	StatusJoining  Status = iota + 1 // has not joined yet
	StatusActive                     // is a member
	StatusIsolated                   // has received no message for IsolationTimeout
	StatusChecking                   // was paused or isolated; asks peers whether it was declared dead or replaced
	StatusReplaced                   // another process runs at its address; final
	StatusLeft                       // left by its own statement; final
)

var statusNames = [...]string{"unknown", "joining", "active", "isolated", "checking", "replaced", "left"}

// String returns the name of the status.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// Self is a node's own record and status.
type Self struct {
	Member Member
	Status Status
}

// Self returns this node's own record and status.
func (m *Machine) Self() Self { return Self{Member: m.self, Status: m.status} }

func (m *Machine) setStatus(s Status) {
	if m.status == s {
		return
	}
	m.status = s
	m.emit(SelfChanged, m.self)
}

// toggleSelfHash adds this node's record to the view hash, or removes it if it is included.
func (m *Machine) toggleSelfHash() {
	if m.self.State.Live() {
		m.buckets[bucketOf(m.selfHash)] ^= recordHash(m.selfHash, &m.self)
	}
}

// updateSelf modifies this node's record with f, raises its incarnation above both its last one and the given one, and
// queues the record for the neighbours.
func (m *Machine) updateSelf(above uint64, f func(*Member)) {
	m.toggleSelfHash()
	before := m.self
	m.self.Incarnation = max(m.self.Incarnation, above) + 1
	f(&m.self)
	m.self.Stated = m.self.State
	if m.self.Service != before.Service || m.self.Slots != before.Slots || m.self.Born != before.Born {
		m.self.Meta = m.self.Incarnation
	}
	m.toggleSelfHash()
	m.enqueue(m.self.Address, m.self.Meta == m.self.Incarnation || before.State == Joining)
}

// Announce updates this node's record with the state of the local target. The zero Target means that no target has
// announced itself.
func (m *Machine) Announce(now time.Time, t Target) {
	m.advance(now)
	if m.status == StatusReplaced || m.status == StatusLeft {
		return
	}
	s := t.State
	if s < Starting || s > Draining {
		s = Starting
	}
	if m.self.Service == t.Service && m.self.Slots == t.Slots && m.announcedState == s {
		return
	}
	m.announcedState = s
	if m.status == StatusJoining {
		// activate sends the state when the node has joined.
		m.self.Service, m.self.Slots = t.Service, t.Slots
		return
	}
	m.updateSelf(0, func(self *Member) { self.Service, self.Slots, self.State = t.Service, t.Slots, s })
	m.flush()
}

// Leave announces that this node leaves. The machine still answers messages, so that the statement spreads.
func (m *Machine) Leave(now time.Time) {
	m.advance(now)
	if m.status == StatusReplaced || m.status == StatusLeft {
		return
	}
	m.updateSelf(0, func(self *Member) { self.State = Left })
	m.setStatus(StatusLeft)
	m.lastFlush = time.Time{}
	m.flush()
}

// Join starts to join through the seed addresses.
func (m *Machine) Join(now time.Time, seeds []string) {
	m.AddSeeds(now, seeds)
	m.nextJoin = now
	m.join()
}

// AddSeeds adds addresses through which the node can join.
func (m *Machine) AddSeeds(now time.Time, seeds []string) {
	m.advance(now)
	for _, s := range seeds {
		if s != m.self.Address && !slices.Contains(m.seeds, s) {
			m.seeds = append(m.seeds, s)
		}
	}
	if extra := len(m.seeds) - maxSeeds; extra > 0 {
		m.seeds = slices.Delete(m.seeds, 0, extra)
	}
}

// maxSeeds bounds the number of seeds; the oldest are dropped.
const maxSeeds = 256

// seedsPerAttempt is the number of seeds that are asked at the same time, since some of them may be down.
const seedsPerAttempt = 2

// join asks seeds for their view until one has answered. A node that reaches no peer becomes active as the only member
// after BootstrapTimeout, because the first node of a cluster has no peer, and continues to ask.
func (m *Machine) join() {
	if m.synced || len(m.seeds) == 0 && m.status != StatusJoining || m.now.Before(m.nextJoin) {
		return
	}
	m.nextJoin = m.now.Add(m.cfg.JoinInterval)
	asked := seedsPerAttempt
	if m.now.Sub(m.started) < m.cfg.JoinInterval {
		asked = 1 // an answer is large, so two seeds are asked only if the first one did not answer
	}
	for range min(asked, len(m.seeds)) {
		to := m.seeds[m.rng.IntN(len(m.seeds))]
		m.send(to, &Message{Kind: KindJoin, Updates: []Update{m.self.full()}})
	}
	if m.status == StatusJoining && m.now.Sub(m.started) >= m.cfg.BootstrapTimeout {
		m.activate()
	}
}

// joinResponders is the number of members that answer a join together. At 2,300 members the view has 76 KB, for which
// one member would need 19 s at 4 KB/s. That is the limit for a node's control traffic, which the tests check
// (maxControlTraffic) and nothing enforces at run time.
const joinResponders = 8

// handleJoin answers with the view. If the view is large, neighbours each send some of its buckets; if any are lost,
// the comparison of views that follows a join fetches them. The joining node's record is treated as gossip, so that it
// spreads.
func (m *Machine) handleJoin(from string, msg *Message) {
	if msg.Target != "" {
		m.sendView(msg.Target, msg.Mask, false)
		return
	}
	for i := range msg.Updates {
		if msg.Updates[i].Address == from {
			m.apply(&msg.Updates[i], from, false)
		}
	}
	if len(m.seeds) == 0 {
		m.activate()
	}
	// The view of a node that is joining itself or has left is too incomplete to complete another node's join.
	member := m.status != StatusJoining && m.status != StatusLeft
	rest := ^uint64(0)
	if helpers := m.helpers(from); member && len(helpers) > 0 {
		shares := make([]uint64, len(helpers)+1)
		for i := range buckets {
			shares[i%len(shares)] |= 1 << i
		}
		for i, h := range helpers {
			m.send(h, &Message{Kind: KindJoin, Target: from, Mask: shares[i+1]})
		}
		rest = shares[0]
	}
	m.sendView(from, rest, member)
	m.metPeer = m.metPeer || member
}

// helpers returns the neighbours that answer a join together with this node. There are none while this node
// knows at most updatesPerMessage other members.
func (m *Machine) helpers(joiner string) []string {
	if len(m.members) <= updatesPerMessage {
		return nil
	}
	var out []string
	for _, a := range m.Neighbours() {
		if e := m.members[a]; e != nil && e.State >= Starting && e.State <= Draining && a != joiner && len(out) < joinResponders-1 {
			out = append(out, a)
		}
	}
	return out
}

// sendView sends a joining node the complete records in the buckets of the mask, including those of dead and left
// members.
func (m *Machine) sendView(to string, mask uint64, last bool) {
	updates := []Update{m.self.full()}
	for _, e := range m.sorted {
		if e.Address != to && mask&(1<<bucketOf(e.addressHash)) != 0 {
			updates = append(updates, m.completeUpdate(e))
		}
	}
	for len(updates) > updatesPerMessage {
		m.send(to, &Message{Kind: KindSync, Updates: updates[:updatesPerMessage], View: true})
		updates = updates[updatesPerMessage:]
	}
	m.send(to, &Message{Kind: KindSync, Updates: updates, View: true, Last: last})
}

// markSynced records that a peer answered the join. From then on applySelf counts a live record of another process at
// this node's address as an address conflict; before, such a record is expected, since it is that of the predecessor.
func (m *Machine) markSynced() { m.metPeer, m.synced = true, true }

// joinSyncDelay is the time from a join to the first comparison of views, which recovers lost parts of the answer. What
// the node learns from it within joinRecoveryTime is known to its neighbours already and is not sent to them.
const (
	joinSyncDelay    = time.Second
	joinRecoveryTime = 3 * time.Second
)

// activate makes a joining node a member.
func (m *Machine) activate() {
	if m.status != StatusJoining {
		return
	}
	m.setStatus(StatusActive)
	m.nextSync, m.joinRecoveryUntil = m.now.Add(joinSyncDelay), m.now.Add(joinRecoveryTime)
	m.updateSelf(0, func(self *Member) {
		self.State = m.announcedState
		self.Meta = self.Incarnation
	})
}

// applySelf handles an update of this node's own record that another node sent.
func (m *Machine) applySelf(u *Update, from string) {
	if u.Incarnation < m.self.Incarnation || m.status == StatusReplaced || m.status == StatusLeft {
		return
	}
	same := u.born() == m.self.Born && (u.Info == nil || u.Info.Instance == m.self.Instance)
	if same {
		if u.Incarnation > m.self.Incarnation || u.State.rank() > m.self.State.rank() {
			m.refute(u, true)
		}
		return
	}
	// Unless this process was paused or isolated, the other process is taken for a predecessor, even if that one's
	// clock was ahead, and its record is refuted. Two processes that both run repeat this until there are too many
	// conflicts.
	if m.metPeer && u.State.Live() {
		m.addressConflicts++
	}
	tooManyConflicts := m.addressConflicts > maxAddressConflicts
	// Normally the process with the larger Born is the later one. The larger Instance decides where Born cannot.
	instanceDecides := tooManyConflicts || m.maybeReplaced && u.born() == m.self.Born
	switch {
	case instanceDecides && u.Info == nil:
		m.send(from, &Message{Kind: KindWant, Wants: []string{m.self.Address}})
	case instanceDecides && u.Info.Instance > m.self.Instance,
		!instanceDecides && m.maybeReplaced && u.born() > m.self.Born:
		// This process stops even if the update declares the other process dead: the update may come from the side of
		// a partition that merely could not reach the other process.
		m.setStatus(StatusReplaced)
		m.pendingOrder = nil
		clear(m.pending)
	default:
		m.refute(u, false)
	}
}

// maxAddressConflicts is the number of times that a node raises its incarnation above that of another live process at
// its address. Two processes that were never paused would do so forever; beyond this number the larger Instance wins.
const maxAddressConflicts = 4

// refute states this node's state again with an incarnation above the update's. If the update is about an earlier
// process at the same address, Born is raised above it too, even if the clock of this VM is behind.
func (m *Machine) refute(u *Update, same bool) {
	m.updateSelf(u.Incarnation, func(self *Member) {
		if !same {
			self.Born = self.Incarnation
		}
	})
	m.emit(SelfRefuted, m.self)
	m.lastFlush = time.Time{}
}

// handleNotice handles a peer's record of this node and, if this node refuted it, answers the peer.
func (m *Machine) handleNotice(from string, msg *Message) {
	before := m.self.Incarnation
	for i := range msg.Updates {
		if msg.Updates[i].Address == m.self.Address {
			m.applySelf(&msg.Updates[i], from)
		}
	}
	if m.status == StatusReplaced || m.self.Incarnation == before {
		return
	}
	if m.status == StatusJoining {
		m.nextJoin = m.now
		m.join()
		return
	}
	m.send(from, &Message{Kind: KindGossip, Updates: []Update{m.self.full()}})
	// Views are compared only with a peer that this node considers dead, that is, one from the other side of a
	// partition. A live peer sends notices to all members of its own side when it learns that the other side declared
	// them dead; if each of them compared views with it, it would receive several MB.
	if e := m.members[from]; e != nil && !e.State.Live() {
		m.send(from, &Message{Kind: KindDigest, Hash: m.viewHash()})
	}
	m.confirmSelfCheck(from)
}

// resume handles a pause of this process. Outstanding probes have become meaningless, and peers may have declared this
// node dead or seen a replacement.
func (m *Machine) resume(now time.Time, gap time.Duration) {
	m.advance(now)
	m.maybeReplaced = m.maybeReplaced || m.status != StatusJoining
	m.lastHeard = now
	m.probes, m.relays = nil, nil
	for _, e := range m.suspects {
		e.suspicionDeadline = e.suspicionDeadline.Add(gap)
	}
	if gap >= m.cfg.DeadRetention/2 {
		m.resetView()
	}
	if m.status == StatusJoining || m.status == StatusLeft || len(m.Neighbours()) == 0 {
		return
	}
	m.startSelfCheck()
}

// startSelfCheck starts to ask the neighbours whether they still consider this process a live member.
func (m *Machine) startSelfCheck() {
	m.maybeReplaced = true
	m.setStatus(StatusChecking)
	m.selfCheckStarted = m.now
	m.selfCheckAnswers = map[string]bool{}
	m.sendSelfCheck()
}

// sendSelfCheck pings the neighbours that have not answered. A neighbour that considers this process suspect, dead or
// replaced sends a notice.
func (m *Machine) sendSelfCheck() {
	m.selfCheckSent = m.now
	for _, a := range m.Neighbours() {
		if !m.selfCheckAnswers[a] {
			m.send(a, &Message{Kind: KindPing, Seq: m.nextSeq()})
		}
	}
}

// minCheckAnswers is the number of neighbours that must consider this node a live member after a pause. A single one
// may have missed its death or replacement too. After SuspicionTimeout one is enough, since the others may be dead.
const minCheckAnswers = 2

// confirmSelfCheck records the answer of a neighbour to the self-check.
func (m *Machine) confirmSelfCheck(from string) {
	if m.status != StatusChecking || !slices.Contains(m.Neighbours(), from) {
		return
	}
	m.selfCheckAnswers[from] = true
	if len(m.selfCheckAnswers) >= min(minCheckAnswers, len(m.Neighbours())) {
		m.setStatus(StatusActive)
	}
}

// checkStatus retries the self-check until it is answered, and detects isolation and its end. In a cluster of two,
// silence may as well mean that the other node is dead, so a node does not consider itself isolated.
func (m *Machine) checkStatus() {
	silent := m.graph.size > 1 && m.metPeer && m.now.Sub(m.lastHeard) >= m.cfg.IsolationTimeout
	switch {
	case m.status == StatusChecking && len(m.selfCheckAnswers) > 0 && m.now.Sub(m.selfCheckStarted) >= m.cfg.SuspicionTimeout:
		m.setStatus(StatusActive)
	case m.status == StatusChecking && m.now.Sub(m.selfCheckSent) >= m.cfg.ProbeInterval:
		m.sendSelfCheck()
	case m.status == StatusActive && silent && m.graph.size > 2:
		m.silentSince = m.lastHeard
		m.setStatus(StatusIsolated)
	case m.status == StatusIsolated && !silent:
		if m.now.Sub(m.silentSince) >= m.cfg.DeadRetention/2 {
			m.resetView()
			return
		}
		// As after a pause, peers may have declared this node dead or seen a replacement.
		m.startSelfCheck()
	}
}

// resetView discards the view and joins again. After a long pause or isolation it may contain live records of members
// that died since, whose records the other nodes have removed already, and would resurrect them. It is called from
// DeadRetention/2: after a shorter time the other nodes keep the records of such members for at least as long again, in
// which they correct this node's view.
func (m *Machine) resetView() {
	if len(m.members) == 0 {
		return
	}
	var live []string
	for _, e := range m.sorted {
		if e.State.Live() {
			live = append(live, e.Address)
		}
		m.removeFromIndexes(e)
		m.graph.remove(zoneKey{e.Region, e.Zone}, point{e.addressHash, e.Address})
		m.emit(MemberRemoved, e.Member)
	}
	m.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	m.AddSeeds(m.now, live[:min(len(live), maxSeeds/2)])
	clear(m.members)
	m.sorted = nil
	clear(m.pending)
	m.pendingOrder = m.pendingOrder[:0]
	m.neighbourCache, m.neighboursStale = nil, true
	m.synced, m.maybeReplaced = false, true
	m.nextJoin, m.started = m.now, m.now
	m.setStatus(StatusJoining)
}
