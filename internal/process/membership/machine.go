package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Envelope is an outgoing message and its destination.
type Envelope struct {
	To      string
	Message *Message // must not be modified
}

// EventKind is the kind of a membership event.
type EventKind uint8

// Kinds of membership events.
const (
	MemberJoined    EventKind = iota + 1 // a member was added, or is live again
	MemberChanged                        // a member made a new statement about itself
	MemberReplaced                       // another process runs at the member's address
	MemberSuspected                      // probes of a member failed, or a peer suspects it
	MemberDied                           // a member was declared dead: it did not refute in time
	MemberLeft                           // a member left by its own statement
	MemberRemoved                        // a record was removed from the view: it expired, or this node discarded its view
	SelfChanged                          // Self returns another status
	SelfRefuted                          // this node refuted a suspicion about itself
)

// Event is a change of the membership view or of the node's status.
type Event struct {
	Kind   EventKind
	Member Member // after the change; of this node for SelfChanged and SelfRefuted
	Self   Status // for SelfChanged
}

// entry is the record of another member.
type entry struct {
	Member
	addressHash       uint64
	infoStale         bool   // the fields of Info are older than the state, which was received without Info
	viewHashPart      uint64 // contribution to the view hash; zero unless live
	learnedFrom       string // peer that sent the last change; empty if this node made it
	changedAt         time.Time
	suspicionDeadline time.Time
	nextNotice        time.Time // when this node sends the suspect the next KindNotice; zero if other nodes send them
}

// Machine is the membership state machine of one node.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Time
	interned map[string]string // strings shared by many records

	self             Member
	selfHash         uint64
	announcedState   State // of the local target, given to Announce; this node's own state unless it is joining or has left
	status           Status
	metPeer          bool            // has exchanged records with a peer since the start
	maybeReplaced    bool            // was paused or isolated, so another process may have its address
	synced           bool            // received the view of a peer
	addressConflicts int             // times that another process claimed the address
	selfCheckAnswers map[string]bool // neighbours that have answered the self-check; see startSelfCheck
	selfCheckStarted time.Time
	selfCheckSent    time.Time

	seeds    []string
	nextJoin time.Time
	started  time.Time

	members         map[string]*entry
	sorted          []*entry // of members, by address
	suspects        map[string]*entry
	deadOrLeft      map[string]*entry
	graph           *graph
	neighbourCache  []string // used through Neighbours
	neighboursStale bool

	buckets           [buckets]uint64
	pending           map[string]*pendingUpdate // updates to send to the neighbours
	pendingOrder      []string                  // keys of pending in the order of arrival
	viewsCompared     bool                      // startSync was called
	receivingView     bool                      // is handling the answer to this node's join, or may recover a lost part
	joinRecoveryUntil time.Time                 // end of the time in which lost parts of that answer are recovered
	lastFlush         time.Time
	probes            []probe
	relays            []relay
	seq               uint32
	probeIndex        int // round-robin counter over the neighbours
	lastHeard         time.Time
	silentSince       time.Time // time of the last message before the current isolation
	nextProbe         time.Time
	nextSync          time.Time
	nextRedial        time.Time
	nextSweep         time.Time

	outbox []Envelope
	events []Event
}

// New returns the machine of a node that starts now. self provides the addresses, the instance, the availability zone
// and the region. If its incarnation is zero, the current time in Unix milliseconds is used.
func New(cfg Config, self Member, seed uint64, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	if self.Incarnation == 0 {
		self.Incarnation = uint64(max(now.UnixMilli(), 1))
	}
	self.Born, self.Meta = self.Incarnation, self.Incarnation
	self.State, self.Stated = Joining, Joining
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, hashAddress(self.Address))), now: now, interned: map[string]string{},
		self: self, selfHash: hashAddress(self.Address), status: StatusJoining, started: now,
		members: map[string]*entry{}, suspects: map[string]*entry{}, deadOrLeft: map[string]*entry{},
		announcedState: Starting, graph: newGraph(), pending: map[string]*pendingUpdate{}, lastHeard: now,
	}
	m.graph.add(zoneKey{self.Region, self.Zone}, point{m.selfHash, self.Address})
	m.nextProbe = now.Add(m.jitter(cfg.ProbeInterval))
	m.nextSync = now.Add(m.jitter(cfg.SyncInterval))
	m.nextRedial = now.Add(m.jitter(cfg.RedialInterval))
	m.nextSweep = now.Add(sweepInterval)
	m.toggleSelfHash()
	return m
}

// sweepInterval is the time between two searches for expired records.
const sweepInterval = time.Minute

// jitter returns a random duration below d, so that members that start at the same time do not act in step.
func (m *Machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// Take returns the messages and events since the last call.
func (m *Machine) Take() ([]Envelope, []Event) {
	outbox, events := m.outbox, m.events
	m.outbox, m.events = nil, nil
	return outbox, events
}

// Members returns a copy of the records of all other members, by address.
func (m *Machine) Members() []Member {
	out := make([]Member, len(m.sorted))
	for i, e := range m.sorted {
		out[i] = e.Member
	}
	return out
}

// indexOf returns the index of the address in sorted, or the index at which it would be inserted.
func (m *Machine) indexOf(address string) int {
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
	if m.neighboursStale || m.neighbourCache == nil {
		m.neighbourCache = m.graph.neighbours(&m.cfg, zoneKey{m.self.Region, m.self.Zone}, point{m.selfHash, m.self.Address})
		m.neighboursStale = false
	}
	return m.neighbourCache
}

// Tick advances the machine to the given time and does what is due. The caller must call it a few times per
// ProbeInterval; Runner does so every TickInterval. Pending updates are sent by the first call of Tick or
// Receive after their delay; see flush.
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
	m.checkStatus()
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
		m.probeNext()
	}
	m.checkSuspects()
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.cfg.SyncInterval/2 + m.jitter(m.cfg.SyncInterval))
		m.startSync()
	}
	if !now.Before(m.nextRedial) {
		m.nextRedial = now.Add(m.cfg.RedialInterval/2 + m.jitter(m.cfg.RedialInterval))
		m.redial()
	}
	if !now.Before(m.nextSweep) {
		m.nextSweep = now.Add(sweepInterval)
		m.sweep()
	}
	m.flush()
}

// advance sets the machine's time. The time never goes backwards, since messages and ticks may carry times out of
// order.
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

// checkSender reports whether the message comes from the current process at the sender's address. A sender that this
// node considers suspect, dead or replaced is sent this node's record of it (KindNotice), so that it refutes the
// record or, if it was replaced, takes part no longer.
func (m *Machine) checkSender(from string, msg *Message) bool {
	e := m.members[from]
	if e == nil {
		if msg.Kind.initiates() && !msg.hasUpdateOf(from) {
			m.send(from, &Message{Kind: KindWant, Wants: []string{from}})
			if m.status == StatusJoining {
				// The sender knows the previous process at this node's address, so this node can join through it.
				m.AddSeeds(m.now, []string{from})
			}
		}
		return true
	}
	stale := msg.Incarnation < e.Incarnation || (msg.Incarnation == e.Incarnation && !e.State.Live())
	if stale {
		// After a partition heals, both sides consider each other dead. A notice is handled although its sender is
		// considered dead, and is not answered by another notice: two members that cannot refute, for example because
		// both have left, would otherwise exchange notices forever.
		if msg.Kind == KindNotice {
			m.handleNotice(from, msg)
		} else if msg.Kind != KindWant {
			m.sendNotice(e)
		}
		return false
	}
	switch {
	case msg.Incarnation == e.Incarnation && e.State == Suspect:
		m.sendNotice(e)
	case msg.Incarnation > e.Incarnation && (msg.Kind.initiates() || msg.Kind == KindAck) && !msg.hasUpdateOf(from):
		// An answer to a probe also shows that a statement was missed, for example that the member left during a
		// partition.
		m.send(from, &Message{Kind: KindWant, Wants: []string{from}})
	}
	return true
}

// initiates reports whether a message of this kind starts an exchange. Only such messages make the receiver request the
// record of an unknown sender; otherwise two nodes could send each other requests forever.
func (k Kind) initiates() bool {
	return k == KindPing || k == KindPingReq || k == KindGossip || k == KindDigest
}

// hasUpdateOf reports whether the message contains an update of the member at the address.
func (msg *Message) hasUpdateOf(address string) bool {
	return slices.ContainsFunc(msg.Updates, func(u Update) bool { return u.Address == address })
}

func (m *Machine) handle(from string, msg *Message) {
	switch msg.Kind {
	case KindPing:
		m.send(from, &Message{Kind: KindAck, Seq: msg.Seq})
	case KindAck:
		m.handleAck(from, msg)
	case KindPingReq:
		m.handlePingReq(from, msg)
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
	m.outbox = append(m.outbox, Envelope{To: to, Message: msg})
}

func (m *Machine) emit(kind EventKind, member Member) {
	m.events = append(m.events, Event{Kind: kind, Member: member, Self: m.status})
}

// intern returns a string equal to s that other records share.
func (m *Machine) intern(s string) string {
	if t, ok := m.interned[s]; ok {
		return t
	}
	m.interned[s] = s
	return s
}
