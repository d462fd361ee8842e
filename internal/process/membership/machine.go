package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Envelope is a message to be sent.
type Envelope struct {
	To      string
	Message *Message // must not be changed
}

// EventKind is the kind of a membership event.
type EventKind uint8

// Kinds of membership events.
const (
	MemberJoined    EventKind = iota + 1 // a member became known or came back
	MemberChanged                        // a member stated something new
	MemberReplaced                       // another process runs at the member's address
	MemberSuspected                      // probes of a member failed
	MemberDied                           // a suspicion was not refuted in time
	MemberLeft                           // a member left by its own statement
	MemberForgotten                      // the record of a dead or left member was dropped
	SelfChanged                          // Self returns another status
	SelfRefuted                          // this node refuted a suspicion about itself
)

// Event is a change of the view.
type Event struct {
	Kind   EventKind
	Member Member // after the change; of this node for SelfChanged and SelfRefuted
	Self   Status // for SelfChanged
}

// entry is the record of another member.
type entry struct {
	Member
	hash     uint64 // of the address
	partial  bool   // Info is that of an earlier statement, because a death was learned without Info
	digest   uint64 // contribution to the hash of the view; zero unless live
	from     string // peer that the last change came from
	since    time.Time
	deadline time.Time // of a suspicion
	notice   time.Time // next notice to the suspect; zero if others take care of it
}

// Machine is the membership state of one node.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Time
	text map[string]string // strings that many records share

	self         Member
	selfHash     uint64
	announced    State // of the target; the own state unless the node joins or has left
	status       Status
	met          bool            // has exchanged records with a peer since the start
	doubt        bool            // was paused or cut off since the start, so that it may have been replaced
	synced       bool            // holds the view of a peer
	contests     int             // times that another process claimed the address
	answered     map[string]bool // neighbours that answered after a pause
	checkStarted time.Time
	checkAsked   time.Time

	seeds    []string
	nextJoin time.Time
	started  time.Time

	members  map[string]*entry
	sorted   []*entry // of members, by address
	suspects map[string]*entry
	gone     map[string]*entry // dead or left
	graph    *graph
	near     []string // neighbours
	nearOld  bool

	buckets     [buckets]uint64
	pending     map[string]bool // updates to push; true: with Info
	order       []string        // keys of pending in the order of arrival
	flushed     time.Time
	probes      []probe
	relays      []relay
	seq         uint32
	turn        int // next neighbour to probe
	lastHeard   time.Time
	silentSince time.Time // last message before the present isolation
	nextProbe   time.Time
	nextSync    time.Time
	nextDial    time.Time
	nextSweep   time.Time

	out    []Envelope
	events []Event
}

// New returns the machine of a node that starts now. The member gives the addresses, the instance, the availability zone
// and the region. Its incarnation may be left zero and is then the present time in Unix milliseconds.
func New(cfg Config, self Member, seed uint64, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	if self.Incarnation == 0 {
		self.Incarnation = uint64(max(now.UnixMilli(), 1))
	}
	self.Born, self.Meta = self.Incarnation, self.Incarnation
	self.State, self.Stated = Joining, Joining
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, hashAddress(self.Address))), now: now, text: map[string]string{},
		self: self, selfHash: hashAddress(self.Address), status: StatusJoining, started: now,
		members: map[string]*entry{}, suspects: map[string]*entry{}, gone: map[string]*entry{},
		announced: Starting, graph: newGraph(), pending: map[string]bool{}, lastHeard: now,
	}
	m.graph.add(zoneKey{self.Region, self.Zone}, point{m.selfHash, self.Address})
	m.nextProbe = now.Add(m.jitter(cfg.ProbeInterval))
	m.nextSync = now.Add(m.jitter(cfg.SyncInterval))
	m.nextDial = now.Add(m.jitter(cfg.RedialInterval))
	m.nextSweep = now.Add(sweepInterval)
	m.toggleSelf()
	return m
}

// sweepInterval is the time between two searches for records that are old enough to be dropped.
const sweepInterval = time.Minute

// jitter returns a random part of d, so that members that start together do not act together.
func (m *Machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// Take returns the messages and events since the last call.
func (m *Machine) Take() ([]Envelope, []Event) {
	out, events := m.out, m.events
	m.out, m.events = nil, nil
	return out, events
}

// Members returns a copy of the records of all other members, by address.
func (m *Machine) Members() []Member {
	out := make([]Member, len(m.sorted))
	for i, e := range m.sorted {
		out[i] = e.Member
	}
	return out
}

// find returns the place of the address in the ordered records.
func (m *Machine) find(address string) int {
	i, _ := slices.BinarySearchFunc(m.sorted, address, func(e *entry, a string) int { return strings.Compare(e.Address, a) })
	return i
}

// Member returns the record of another member.
func (m *Machine) Member(address string) (Member, bool) {
	e, ok := m.members[address]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Neighbours returns the members that this node probes and updates.
func (m *Machine) Neighbours() []string {
	if m.nearOld || m.near == nil {
		m.near = m.graph.neighbours(&m.cfg, zoneKey{m.self.Region, m.self.Zone}, point{m.selfHash, m.self.Address})
		m.nearOld = false
	}
	return m.near
}

// Tick advances the machine to the given time. It is called at least every BatchDelay while updates are pending, and at
// least a few times per ProbeInterval.
func (m *Machine) Tick(now time.Time) {
	if m.status == StatusReplaced {
		return
	}
	if gap := now.Sub(m.now); gap >= m.cfg.PauseThreshold {
		m.resume(now, gap)
	}
	m.advance(now)
	if m.status == StatusLeft {
		m.flush()
		return
	}
	m.join()
	m.checkProbes()
	m.checkSelf()
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
		m.probeNext()
	}
	m.checkSuspects()
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.cfg.SyncInterval/2 + m.jitter(m.cfg.SyncInterval))
		m.startSync()
	}
	if !now.Before(m.nextDial) {
		m.nextDial = now.Add(m.cfg.RedialInterval/2 + m.jitter(m.cfg.RedialInterval))
		m.redial()
	}
	if !now.Before(m.nextSweep) {
		m.nextSweep = now.Add(sweepInterval)
		m.sweep()
	}
	m.flush()
}

// advance never lets the time of the machine run backwards, since messages and ticks may carry times out of order.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

// Receive handles a message from the peer at the given address.
func (m *Machine) Receive(now time.Time, from string, msg *Message) {
	if m.status == StatusReplaced || from == m.self.Address {
		return
	}
	if gap := now.Sub(m.now); gap >= m.cfg.PauseThreshold {
		m.resume(now, gap)
	}
	m.advance(now)
	if !m.checkSender(from, msg) {
		m.flush()
		return
	}
	m.lastHeard = m.now
	for i := range m.probes {
		if m.probes[i].target != from {
			m.probes[i].heardOther = true
		}
	}
	m.handle(from, msg)
	m.flush()
}

// checkSender reports whether the message speaks for the sender's present process. A sender that is taken to be suspect,
// dead or replaced is told so, because it must refute or stop.
func (m *Machine) checkSender(from string, msg *Message) bool {
	e := m.members[from]
	if e == nil {
		if msg.Kind.opens() && !msg.about(from) {
			m.send(from, &Message{Kind: KindWant, Wants: []string{from}})
			if m.status == StatusJoining {
				m.AddSeeds(m.now, []string{from}) // a member that knows the predecessor of this node
			}
		}
		return true
	}
	stale := msg.Incarnation < e.Incarnation || (msg.Incarnation == e.Incarnation && !e.State.Live())
	if stale {
		// Both sides of a healed partition hold each other to be dead. The receiver of the first notice handles it although
		// its sender is dead to it, and does not answer it by another notice, which could go on without end between two
		// members that cannot refute.
		if msg.Kind == KindNotice {
			m.handleNotice(from, msg)
		} else if msg.Kind != KindWant {
			m.notify(e)
		}
		return false
	}
	switch {
	case msg.Incarnation == e.Incarnation && e.State == Suspect:
		m.notify(e)
	case msg.Incarnation > e.Incarnation && (msg.Kind.opens() || msg.Kind == KindAck) && !msg.about(from):
		// Also an answer to a probe tells that a statement was missed, for example that the member left during a partition.
		m.send(from, &Message{Kind: KindWant, Wants: []string{from}})
	}
	return true
}

// opens reports whether a message of this kind is not an answer. Only such messages make the receiver ask for the record
// of a sender that it does not know, so that two nodes do not ask each other without end.
func (k Kind) opens() bool {
	return k == KindPing || k == KindPingReq || k == KindGossip || k == KindDigest
}

// about reports whether the message has an update about the address.
func (msg *Message) about(address string) bool {
	return slices.ContainsFunc(msg.Updates, func(u Update) bool { return u.Address == address })
}

func (m *Machine) handle(from string, msg *Message) {
	switch msg.Kind {
	case KindPing:
		m.send(from, &Message{Kind: KindAck, Seq: msg.Seq})
	case KindAck:
		m.ack(from, msg)
	case KindPingReq:
		m.relay(from, msg)
	case KindGossip:
		for i := range msg.Updates {
			m.apply(&msg.Updates[i], from, false)
		}
	case KindJoin:
		m.handleJoin(from, msg)
	case KindSync:
		m.handleSync(from, msg)
	case KindDigest:
		if msg.Hash != m.viewHash() {
			m.send(from, &Message{Kind: KindBuckets, Buckets: m.bucketHashes()})
		}
	case KindBuckets:
		m.handleBuckets(from, msg)
	case KindSummary:
		m.handleSummary(from, msg)
	case KindWant:
		m.handleWant(from, msg)
	case KindNotice:
		m.handleNotice(from, msg)
	}
}

func (m *Machine) send(to string, msg *Message) {
	msg.Incarnation = m.self.Incarnation
	m.out = append(m.out, Envelope{To: to, Message: msg})
}

func (m *Machine) emit(kind EventKind, member Member) {
	m.events = append(m.events, Event{Kind: kind, Member: member, Self: m.status})
}

// intern returns a string equal to s that other records share.
func (m *Machine) intern(s string) string {
	if t, ok := m.text[s]; ok {
		return t
	}
	m.text[s] = s
	return s
}

// compare orders an update and a record: by incarnation; then by the first incarnation of the process, because two
// processes at one address can reach the same incarnation while one of them has just resumed from a pause; then by state.
func compare(u *Update, e *Member) int {
	return cmp.Or(cmp.Compare(u.Incarnation, e.Incarnation), cmp.Compare(u.born(), e.Born),
		cmp.Compare(u.State.rank(), e.State.rank()))
}

// apply takes over an update if it is newer than what is known, and reports whether it is older. Updates of a comparison
// of views may repeat a decision that was made on the other side of a partition. A death among them is therefore taken
// as a suspicion only, which the member can refute.
func (m *Machine) apply(u *Update, from string, compared bool) (older bool) {
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
		return c < 0
	}
	known := !e.partial && u.born() == e.Born && u.meta() == e.Meta
	if u.Info == nil && !known && u.State.Live() {
		m.send(from, &Message{Kind: KindWant, Wants: []string{u.Address}})
		return false
	}
	state := u.State
	suspected := compared && state == Dead && e.State.Live()
	if suspected {
		if e.State == Suspect && e.Incarnation == u.Incarnation {
			return false
		}
		state = Suspect
	}
	m.change(e, u, state, from)
	if suspected {
		e.notice = m.now
		return false
	}
	m.push(u.Address, u.Info != nil)
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
	e := &entry{hash: hashAddress(u.Address)}
	e.Address = u.Address
	m.members[u.Address] = e
	m.sorted = slices.Insert(m.sorted, m.find(u.Address), e)
	m.change(e, u, u.State, from)
	m.push(u.Address, true)
}

// change moves the record to the incarnation of the update and to the state.
func (m *Machine) change(e *entry, u *Update, state State, from string) {
	before := e.Member
	m.detach(e)
	if e.Born != u.born() {
		e.Instance = 0 // unknown unless the update has it
	}
	e.partial = u.Info == nil && (e.partial || e.Born != u.born() || e.Meta != u.meta())
	e.Incarnation, e.State, e.Born, e.Meta = u.Incarnation, state, u.born(), u.meta()
	if state.rank() == 0 {
		e.Stated = state
	}
	if i := u.Info; i != nil {
		if before.State.Live() && (i.Zone != e.Zone || i.Region != e.Region) {
			m.graph.remove(zoneKey{e.Region, e.Zone}, point{e.hash, e.Address})
			m.nearOld = true
		}
		e.Caller, e.Instance, e.Zone, e.Region = i.Caller, i.Instance, m.intern(i.Zone), m.intern(i.Region)
		e.Service, e.Slots = m.intern(i.Service), i.Slots
		if i.Stated != 0 {
			e.Stated = i.Stated
		}
	}
	e.since, e.from = m.now.Add(-time.Duration(u.Age)*time.Second), from
	e.deadline, e.notice = time.Time{}, time.Time{}
	m.attach(e)
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

// detach takes the record out of the indexes before it is changed.
func (m *Machine) detach(e *entry) {
	m.buckets[bucketOf(e.hash)] ^= e.digest
	delete(m.suspects, e.Address)
	delete(m.gone, e.Address)
}

// attach puts the record into the indexes after it was changed.
func (m *Machine) attach(e *entry) {
	e.digest = 0
	k, p := zoneKey{e.Region, e.Zone}, point{e.hash, e.Address}
	if e.State.Live() {
		e.digest = recordHash(e.hash, &e.Member)
		size := m.graph.size
		m.graph.add(k, p)
		m.nearOld = m.nearOld || m.graph.size != size
	} else {
		m.gone[e.Address] = e
		m.graph.remove(k, p)
		m.nearOld = true
	}
	m.buckets[bucketOf(e.hash)] ^= e.digest
	if e.State == Suspect {
		m.suspects[e.Address] = e
		wait := m.cfg.SuspicionTimeout
		if !slices.Contains(m.Neighbours(), e.Address) {
			wait *= 3
		}
		e.deadline = m.now.Add(wait)
	}
}

// push marks an update to be sent to the neighbours. A node that joins does not push what it learns, since it learns the
// whole view.
func (m *Machine) push(address string, full bool) {
	if m.status == StatusJoining && address != m.self.Address {
		return
	}
	if was, ok := m.pending[address]; !ok {
		m.order = append(m.order, address)
	} else if was {
		full = true
	}
	m.pending[address] = full
}

// flush sends the pending updates to the neighbours, but not back to the peer that an update came from. The first update
// after a quiet time is sent at once; those that follow within BatchDelay are sent together.
func (m *Machine) flush() {
	if len(m.order) == 0 || m.now.Sub(m.flushed) < m.cfg.BatchDelay || m.status == StatusJoining {
		return
	}
	m.flushed = m.now
	updates := make([]Update, 0, len(m.order))
	from := make([]string, 0, len(m.order))
	for _, a := range m.order {
		if u, f, ok := m.update(a, m.pending[a]); ok {
			updates, from = append(updates, u), append(from, f)
		}
	}
	m.order = m.order[:0]
	clear(m.pending)
	for _, to := range m.Neighbours() {
		some := updates
		if slices.Contains(from, to) {
			some = make([]Update, 0, len(updates))
			for i, u := range updates {
				if from[i] != to {
					some = append(some, u)
				}
			}
		}
		m.sendUpdates(to, KindGossip, some)
	}
}

func (m *Machine) update(address string, full bool) (u Update, from string, ok bool) {
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
		return m.complete(e), e.from, true
	}
	return e.brief(), e.from, true
}

// complete returns the complete record of another member. Records of dead and left members carry their age: without it
// every node that joins would keep them for the whole retention anew and pass them on to the next.
func (m *Machine) complete(e *entry) Update {
	u := e.full()
	if e.partial {
		u.Info = nil
	}
	if !e.State.Live() {
		u.Age = uint32(m.now.Sub(e.since) / time.Second)
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
	for a, e := range m.gone {
		if m.now.Sub(e.since) >= m.cfg.DeadRetention {
			delete(m.gone, a)
			delete(m.members, a)
			i := m.find(a)
			m.sorted = slices.Delete(m.sorted, i, i+1)
			m.emit(MemberForgotten, e.Member)
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
