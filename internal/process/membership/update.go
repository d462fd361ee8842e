package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// compare orders an update and a record: by incarnation; then by the first incarnation of the process, because two
// processes at one address can reach the same incarnation while one of them has just resumed from a pause; then by state.
func compare(u *Update, e *Member) int {
	return cmp.Or(cmp.Compare(u.Incarnation, e.Incarnation), cmp.Compare(u.born(), e.Born),
		cmp.Compare(u.State.rank(), e.State.rank()))
}

// apply takes over an update if it is newer than what is known, and reports whether it is older. Updates of a comparison
// of views may repeat a decision that was made on the other side of a partition. A death among them is therefore taken
// as a suspicion only, which the member can refute.
func (m *Machine) apply(u *Update, from string, fromSync bool) (older bool) {
	if u.Address == m.self.Address {
		m.applySelf(u, from)
		return false
	}
	e := m.members[u.Address]
	if e == nil {
		m.applyUnknown(u, from)
		return false
	}
	if c := compare(u, &e.Member); c <= 0 {
		if p := m.pending[u.Address]; c == 0 && p != nil {
			p.knownBy = append(p.knownBy, from)
		}
		return c < 0
	}
	infoKnown := !e.infoStale && u.born() == e.Born && u.meta() == e.Meta
	if u.Info == nil && !infoKnown && u.State.Live() {
		m.send(from, &Message{Kind: KindWant, Wants: []string{u.Address}})
		return false
	}
	state := u.State
	suspected := fromSync && state == Dead && e.State.Live()
	if suspected {
		if e.State == Suspect && e.Incarnation == u.Incarnation {
			return false
		}
		state = Suspect
	}
	m.updateRecord(e, u, state, from)
	if suspected {
		e.nextNotice = m.now
		return false
	}
	m.enqueue(u.Address, u.Info != nil)
	return false
}

// applyUnknown adds a member. The death of a member that was not known is remembered as well, since a record of its
// life may follow.
func (m *Machine) applyUnknown(u *Update, from string) {
	if u.Info == nil {
		if u.State.Live() {
			m.send(from, &Message{Kind: KindWant, Wants: []string{u.Address}})
		}
		return
	}
	e := &entry{addressHash: hashAddress(u.Address)}
	e.Address = u.Address
	m.members[u.Address] = e
	m.sorted = slices.Insert(m.sorted, m.indexOf(u.Address), e)
	m.updateRecord(e, u, u.State, from)
	m.enqueue(u.Address, true)
}

// updateRecord moves the record to the incarnation of the update and to the state.
func (m *Machine) updateRecord(e *entry, u *Update, state State, from string) {
	before := e.Member
	m.removeFromIndexes(e)
	if e.Born != u.born() {
		e.Instance = 0 // unknown unless the update has it
	}
	e.infoStale = u.Info == nil && (e.infoStale || e.Born != u.born() || e.Meta != u.meta())
	e.Incarnation, e.State, e.Born, e.Meta = u.Incarnation, state, u.born(), u.meta()
	if state.rank() == 0 {
		e.Stated = state
	}
	if i := u.Info; i != nil {
		if before.State.Live() && (i.Zone != e.Zone || i.Region != e.Region) {
			m.graph.remove(zoneKey{e.Region, e.Zone}, point{e.addressHash, e.Address})
			m.neighboursStale = true
		}
		e.Caller, e.Instance, e.Zone, e.Region = i.Caller, i.Instance, m.intern(i.Zone), m.intern(i.Region)
		e.Service, e.Slots = m.intern(i.Service), i.Slots
		if i.Stated != 0 {
			e.Stated = i.Stated
		}
	}
	e.changedAt, e.learnedFrom = m.now.Add(-time.Duration(u.Age)*time.Second), from
	e.suspicionDeadline, e.nextNotice = time.Time{}, time.Time{}
	m.addToIndexes(e)
	m.emit(changeKind(&before, &e.Member), e.Member)
}

func changeKind(before, after *Member) EventKind {
	switch {
	case after.State == Suspect:
		return MemberSuspected
	case after.State == Dead:
		return MemberDied
	case after.State == Left:
		return MemberLeft
	case before.Born != 0 && before.Born != after.Born:
		return MemberReplaced
	case !before.State.Live():
		return MemberJoined
	default:
		return MemberChanged
	}
}

// removeFromIndexes takes the record out of the indexes before it is changed.
func (m *Machine) removeFromIndexes(e *entry) {
	m.buckets[bucketOf(e.addressHash)] ^= e.digest
	delete(m.suspects, e.Address)
	delete(m.deadOrLeft, e.Address)
}

// addToIndexes puts the record into the indexes after it was changed.
func (m *Machine) addToIndexes(e *entry) {
	e.digest = 0
	k, p := zoneKey{e.Region, e.Zone}, point{e.addressHash, e.Address}
	if e.State.Live() {
		e.digest = recordHash(e.addressHash, &e.Member)
		size := m.graph.size
		m.graph.add(k, p)
		m.neighboursStale = m.neighboursStale || m.graph.size != size
	} else {
		m.deadOrLeft[e.Address] = e
		m.graph.remove(k, p)
		m.neighboursStale = true
	}
	m.buckets[bucketOf(e.addressHash)] ^= e.digest
	if e.State == Suspect {
		m.suspects[e.Address] = e
		wait := m.cfg.SuspicionTimeout
		if !slices.Contains(m.Neighbours(), e.Address) {
			wait *= 3
		}
		e.suspicionDeadline = m.now.Add(wait)
	}
}

// enqueue marks an update to be sent to the neighbours. A node that joins does not enqueue what it learns, since it learns the
// whole view, parts of which may arrive after it has joined.
func (m *Machine) enqueue(address string, full bool) {
	if (m.status == StatusJoining || m.backfilling) && address != m.self.Address {
		return
	}
	p := m.pending[address]
	if p == nil {
		m.pendingOrder = append(m.pendingOrder, address)
		p = &pendingUpdate{}
		m.pending[address] = p
	}
	p.full = p.full || full
	p.knownBy = nil // the update is new
}

// pendingUpdate is an update that waits to be pushed.
type pendingUpdate struct {
	full    bool     // with Info
	knownBy []string // neighbours that sent the same while it waited
}

// flush sends the pending updates to the neighbours, but not back to the peer that an update came from. The first update
// after a quiet time is sent at once; those that follow within BatchDelay are sent together. Many updates at once, as when
// a partition heals, wait for longer, and go only to the neighbours that have not sent the same meanwhile.
func (m *Machine) flush() {
	wait := m.cfg.BatchDelay
	if len(m.pendingOrder) >= largeBatch {
		wait = max(wait, largeBatchDelay)
	}
	if len(m.pendingOrder) == 0 || m.now.Sub(m.lastFlush) < wait || m.status == StatusJoining {
		return
	}
	m.lastFlush = m.now
	updates := make([]Update, 0, len(m.pendingOrder))
	known := make([][]string, 0, len(m.pendingOrder))
	for _, a := range m.pendingOrder {
		p := m.pending[a]
		if u, f, ok := m.updateFor(a, p.full); ok {
			updates, known = append(updates, u), append(known, append(p.knownBy, f))
		}
	}
	m.pendingOrder = m.pendingOrder[:0]
	clear(m.pending)
	for _, to := range m.Neighbours() {
		some := make([]Update, 0, len(updates))
		for i, u := range updates {
			if !slices.Contains(known[i], to) {
				some = append(some, u)
			}
		}
		m.sendUpdates(to, KindGossip, some)
	}
}

// Many updates wait at once when a partition heals, since every member refutes its death.
const (
	largeBatch      = 32 // updates
	largeBatchDelay = 200 * time.Millisecond
)

func (m *Machine) updateFor(address string, full bool) (u Update, from string, ok bool) {
	if address == m.self.Address {
		if full {
			return m.self.full(), "", true
		}
		return m.self.brief(), "", true
	}
	e := m.members[address]
	if e == nil {
		return u, "", false
	}
	if full {
		return m.completeUpdate(e), e.learnedFrom, true
	}
	return e.brief(), e.learnedFrom, true
}

// completeUpdate returns the completeUpdate record of another member. Records of dead and left members carry their age: without it
// every node that joins would keep them for the whole retention anew and pass them on to the next.
func (m *Machine) completeUpdate(e *entry) Update {
	u := e.full()
	if e.infoStale {
		u.Info = nil
	}
	if !e.State.Live() {
		u.Age = uint32(m.now.Sub(e.changedAt) / time.Second)
	}
	return u
}

// sendUpdates sends updates in messages of bounded size.
func (m *Machine) sendUpdates(to string, kind Kind, updates []Update) {
	for part := range slices.Chunk(updates, updatesPerMessage) {
		m.send(to, &Message{Kind: kind, Updates: part})
	}
}

// sweep drops the records of members that have been dead or left for long enough.
func (m *Machine) sweep() {
	for a, e := range m.deadOrLeft {
		if m.now.Sub(e.changedAt) >= m.cfg.DeadRetention {
			delete(m.deadOrLeft, a)
			delete(m.members, a)
			i := m.indexOf(a)
			m.sorted = slices.Delete(m.sorted, i, i+1)
			m.emit(MemberRemoved, e.Member)
		}
	}
}

func (m *Machine) bucketHashes() []byte {
	b := make([]byte, 0, buckets*bucketBytes)
	for _, h := range m.buckets {
		b = binary.BigEndian.AppendUint32(b, uint32(h))
	}
	return b
}
