package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// compare orders an update and a record: by incarnation, then by the first incarnation of the process, then by the rank
// of the state. Two processes at one address can reach the same incarnation when one of them has just resumed from a
// pause.
func compare(u *Update, e *Member) int {
	return cmp.Or(cmp.Compare(u.Incarnation, e.Incarnation), cmp.Compare(u.born(), e.Born),
		cmp.Compare(u.State.rank(), e.State.rank()))
}

// apply applies an update if it is newer than the known record, and reports whether it is older. An update from
// KindSync or KindSummary (fromSync) may carry a decision that was made on the other side of a partition. If it
// declares a live member dead, the member only becomes suspect, so that it can refute.
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

// applyUnknown adds an unknown member, or requests its complete record. Records of dead and left members are added as
// well, since an older record of the live member may still arrive.
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

// updateRecord applies the update to the record, with the given state instead of the update's.
func (m *Machine) updateRecord(e *entry, u *Update, state State, learnedFrom string) {
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
	e.changedAt, e.learnedFrom = m.now.Add(-time.Duration(u.Age)*time.Second), learnedFrom
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

// removeFromIndexes removes the record from the bucket hashes, suspects and deadOrLeft before it is changed.
func (m *Machine) removeFromIndexes(e *entry) {
	m.buckets[bucketOf(e.addressHash)] ^= e.viewHashPart
	delete(m.suspects, e.Address)
	delete(m.deadOrLeft, e.Address)
}

// addToIndexes adds the record to the bucket hashes, the graph, suspects and deadOrLeft after it was changed.
func (m *Machine) addToIndexes(e *entry) {
	e.viewHashPart = 0
	k, p := zoneKey{e.Region, e.Zone}, point{e.addressHash, e.Address}
	if e.State.Live() {
		e.viewHashPart = recordHash(e.addressHash, &e.Member)
		size := m.graph.size
		m.graph.add(k, p)
		m.neighboursStale = m.neighboursStale || m.graph.size != size
	} else {
		m.deadOrLeft[e.Address] = e
		m.graph.remove(k, p)
		m.neighboursStale = true
	}
	m.buckets[bucketOf(e.addressHash)] ^= e.viewHashPart
	if e.State == Suspect {
		m.suspects[e.Address] = e
		wait := m.cfg.SuspicionTimeout
		if !slices.Contains(m.Neighbours(), e.Address) {
			wait *= 3
		}
		e.suspicionDeadline = m.now.Add(wait)
	}
}

// enqueue queues an update for the neighbours. A joining node does not forward what it learns, since that is the whole
// view. Parts of the view may arrive after it has joined, and are not forwarded either.
func (m *Machine) enqueue(address string, full bool) {
	if (m.status == StatusJoining || m.receivingView) && address != m.self.Address {
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

// pendingUpdate is an update that is queued for the neighbours.
type pendingUpdate struct {
	full    bool     // with Info
	knownBy []string // neighbours that sent the same update in the meantime
}

// flush sends the pending updates to the neighbours, except to those that sent the same update. The first update after
// an idle period is sent immediately; those that follow within BatchDelay are sent together. A large batch, as when a
// partition heals, is delayed by largeBatchDelay, so that more neighbours turn out to have an update already.
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
	knownBy := make([][]string, 0, len(m.pendingOrder))
	for _, a := range m.pendingOrder {
		p := m.pending[a]
		if u, f, ok := m.updateFor(a, p.full); ok {
			updates, knownBy = append(updates, u), append(knownBy, append(p.knownBy, f))
		}
	}
	m.pendingOrder = m.pendingOrder[:0]
	clear(m.pending)
	for _, to := range m.Neighbours() {
		some := make([]Update, 0, len(updates))
		for i, u := range updates {
			if !slices.Contains(knownBy[i], to) {
				some = append(some, u)
			}
		}
		m.sendUpdates(to, KindGossip, some)
	}
}

// A large batch of updates is pending when a partition heals, since every member refutes its death.
const (
	largeBatch      = 32 // updates
	largeBatchDelay = 200 * time.Millisecond
)

// updateFor returns this node's record of the member at the address, with Info if full, and the peer that sent it. ok
// is false if there is no record.
func (m *Machine) updateFor(address string, full bool) (u Update, learnedFrom string, ok bool) {
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

// completeUpdate returns the complete record of another member. Records of dead and left members carry their age:
// otherwise every joining node would keep them for the whole DeadRetention again and pass them on to the next one.
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

// sweep removes the records of members that have been dead or left for DeadRetention.
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
