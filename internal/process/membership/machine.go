package membership

import (
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
	MemberRemoved                        // the record of a dead or left member was dropped
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
	addressHash       uint64 // of the address
	infoStale         bool   // Info is that of an earlier statement, because a death was learned without Info
	digest            uint64 // contribution to the hash of the view; zero unless live
	learnedFrom       string // peer that the last change came from
	changedAt         time.Time
	suspicionDeadline time.Time // of a suspicion
	nextNotice        time.Time // next notice to the suspect; zero if others take care of it
}

// Machine is the membership state of one node.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Time
	interned map[string]string // strings that many records share

	self             Member
	selfHash         uint64
	announced        State // of the target; the own state unless the node joins or has left
	status           Status
	metPeer          bool            // has exchanged records with a peer since the start
	maybeReplaced    bool            // was paused or cut off since the start, so that it may have been replaced
	synced           bool            // holds the view of a peer
	addressConflicts int             // times that another process claimed the address
	checkAnswers     map[string]bool // neighbours that answered after a pause
	checkStarted     time.Time
	checkAsked       time.Time

	seeds    []string
	nextJoin time.Time
	started  time.Time

	members         map[string]*entry
	sorted          []*entry // of members, by address
	suspects        map[string]*entry
	deadOrLeft      map[string]*entry // dead or left
	graph           *graph
	neighbourCache  []string // neighbours
	neighboursStale bool

	buckets       [buckets]uint64
	pending       map[string]*pendingUpdate // updates to push
	pendingOrder  []string                  // keys of pending in the order of arrival
	viewsCompared bool                      // has compared views
	backfilling   bool                      // handles a part of the view that answers the own join, or fills a gap in it
	backfillUntil time.Time
	lastFlush     time.Time
	probes        []probe
	relays        []relay
	seq           uint32
	probeIndex    int // next neighbour to probe
	lastHeard     time.Time
	silentSince   time.Time // last message before the present isolation
	nextProbe     time.Time
	nextSync      time.Time
	nextRedial    time.Time
	nextSweep     time.Time

	outbox []Envelope
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
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, hashAddress(self.Address))), now: now, interned: map[string]string{},
		self: self, selfHash: hashAddress(self.Address), status: StatusJoining, started: now,
		members: map[string]*entry{}, suspects: map[string]*entry{}, deadOrLeft: map[string]*entry{},
		announced: Starting, graph: newGraph(), pending: map[string]*pendingUpdate{}, lastHeard: now,
	}
	m.graph.add(zoneKey{self.Region, self.Zone}, point{m.selfHash, self.Address})
	m.nextProbe = now.Add(m.jitter(cfg.ProbeInterval))
	m.nextSync = now.Add(m.jitter(cfg.SyncInterval))
	m.nextRedial = now.Add(m.jitter(cfg.RedialInterval))
	m.nextSweep = now.Add(sweepInterval)
	m.toggleSelfHash()
	return m
}

// sweepInterval is the time between two searches for records that are old enough to be dropped.
const sweepInterval = time.Minute

// jitter returns a random part of d, so that members that start together do not act together.
func (m *Machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// Take returns the messages and events since the last call.
func (m *Machine) Take() ([]Envelope, []Event) {
	out, events := m.outbox, m.events
	m.outbox, m.events = nil, nil
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

// indexOf returns the place of the address in the ordered records.
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
		if msg.Kind.initiates() && !msg.hasUpdateOf(from) {
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
			m.sendNotice(e)
		}
		return false
	}
	switch {
	case msg.Incarnation == e.Incarnation && e.State == Suspect:
		m.sendNotice(e)
	case msg.Incarnation > e.Incarnation && (msg.Kind.initiates() || msg.Kind == KindAck) && !msg.hasUpdateOf(from):
		// Also an answer to a probe tells that a statement was missed, for example that the member left during a partition.
		m.send(from, &Message{Kind: KindWant, Wants: []string{from}})
	}
	return true
}

// initiates reports whether a message of this kind is not an answer. Only such messages make the receiver ask for the record
// of a sender that it does not know, so that two nodes do not ask each other without end.
func (k Kind) initiates() bool {
	return k == KindPing || k == KindPingReq || k == KindGossip || k == KindDigest
}

// hasUpdateOf reports whether the message has an update hasUpdateOf the address.
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
