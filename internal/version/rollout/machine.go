// Package rollout decides which configuration version a node runs and whether the node may take new work with it.
//
// Machine is a pure state machine: messages, results of platform calls and the present time go in; messages, platform
// calls and events come out. It starts no goroutines, does no I/O and is not safe for concurrent use. Runner drives a
// Machine in real time and is safe for concurrent use. docs/configuration.md describes the rules.
//
// Terms:
//
//   - The platform stores rows, which are written in transactions, and objects. It is shared by all nodes and may fail.
//   - A body is the content of a version (an encoded Bundle) or an encoded roster. It is named by its hash.
//   - The head row holds the accepted version and, while a change is pending, the proposed one. Each change has a row of its
//     own with its result. A definite result is accepted or refused, and does not change any more.
//   - The coordinator of a change is the node that proposed it or took it over. Each takeover writes a higher ballot. The
//     coordinator sends asks to the members, through a relay for each group of members of an availability zone.
//   - A member acknowledges a proposal that it can run. Asked for a lock, it takes no new evidence for the old version until
//     the change is settled. A hold tells a member that the coordinator has its acknowledgement.
//   - To roll forward is to decide a proposed version by the locks of the members, while the platform does not answer. A
//     version is decided when it is accepted or rolled forward.
//   - Evidence shows that nothing newer than the running version was accepted at some time. It comes from a read of the head
//     row by any node (platform evidence), or from the votes of a majority (majority evidence). A node without evidence that
//     is young enough takes no new work.
//   - Members vote in rounds while platform evidence is old. Members of one availability zone exchange the votes themselves;
//     other zones get a summary of them.
//   - The view is the list of members that the membership reports. A member is alive if the membership does not suspect it,
//     live if it was heard within liveWindow, and expired if it left or was not heard within rosterWindow. The roster holds
//     the members that are not expired; majorities are counted over it.
//   - The rank of a member is its place in a pseudo-random order of the live members of its availability zone.
//   - Members that have not acknowledged or locked block a decision if they are a majority of one availability zone or of
//     all members, as they could confirm the old version to each other. Otherwise the remaining members are sufficient.
package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Time is a reading of a machine's monotonic clock, counted from an arbitrary start. The clock must not stop while the
// process is paused.
type Time = time.Duration

// Config holds the settings of a machine.
type Config struct {
	Address string
	Zone    string
	Epoch   uint64                  // random, different for every process start
	Bound   time.Duration           // greatest age of the evidence with which the node takes new work; 0: DefaultBound
	Check   func(body []byte) error // rejects an invalid body; must depend on the body alone; nil: every body is valid
	Seed    uint64                  // of the random numbers for jitter and the choice of peers
	// Record returns the rows to write in the same transaction as a definite result. It may be nil.
	Record func(r Result) []platform.Write
	// Join lists the peers to contact while no other members are known.
	Join []string
}

// Defaults, intervals and limits.
const (
	// DefaultBound is the default of Config.Bound. The goal is that no node takes new work with a version for longer than
	// 3 s after any node knows a newer one. The difference to that goal, 0.5 s, covers clock rounding, timer delays and work
	// that was admitted just before the evidence became too old.
	DefaultBound = 2500 * time.Millisecond

	pollInterval = time.Second
	// pollersPerZone is the number of members of an availability zone that poll the head row regularly.
	pollersPerZone = 3
	// failedPollInterval is the mean time between two reads by a member that is not one of the pollers, while its reads
	// fail. At 2,300 nodes, these are 19 reads a second in total.
	failedPollInterval = 2 * time.Minute
	// pollStagger is how much longer each poller waits than the poller before it. That is longer than a read takes together
	// with the spread of its result in the availability zone, so a successful read spares the next poller its own.
	pollStagger   = 150 * time.Millisecond
	firstStaleAge = 1200 * time.Millisecond // age of evidence at which the first member after the pollers, by rank, reads
	// staleAgeStep is the additional age of evidence at which the next member by rank reads. So one member of each
	// availability zone reads in a second: 9 reads a second in 9 availability zones.
	staleAgeStep       = time.Second
	liveWindow         = 3 * time.Second // members heard within this time are ranked and can be neighbours
	rosterWindow       = time.Hour       // members heard within this time count in majorities
	keepAliveInterval  = time.Second
	minFreshnessGain   = 250 * time.Millisecond // evidence that is newer by less than this is not worth a message of its own
	voteAge            = time.Second            // age of platform evidence at which members start to vote
	fetchRetryInterval = 250 * time.Millisecond
	callTimeout        = time.Second
	offsetWindow       = 30 * time.Second // clocks drift, so peer.offset is dropped when it is one to two windows old
	maxBodies          = 4
	maxRelayTasks      = 64
	relayTaskTimeout   = 3 * time.Second
	relayFlushInterval = 100 * time.Millisecond
	farPast            = 24 * time.Hour
	headKey            = "config/head"
	changePrefix       = "config/change/"
)

// Envelope is a message to a peer.
type Envelope struct {
	To      string
	Payload []byte
}

// Op is the kind of a platform call.
type Op uint8

// Kinds of platform calls.
const (
	OpGet Op = iota + 1
	OpCommit
	OpPutObject
	OpGetObject
)

// Call is a platform call for the driver to make. The driver passes the result to Machine.Complete.
type Call struct {
	Token  uint64
	Op     Op
	Key    string // of the row or object
	Writes []platform.Write
	Body   []byte
}

// Reply is the result of a Call.
type Reply struct {
	Row      platform.Row
	Versions []platform.Version
	Body     []byte
	Err      error
	// StoreEpoch is the number of restores of the platform that its responses have shown, this one included.
	StoreEpoch uint64
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	EventApply         EventKind = iota + 1 // run Version with Body
	EventSettled                            // Result is definite, or unknown if nothing was proposed within proposeTimeout
	EventRolledForward                      // this coordinator rolled forward while the outcome of its acceptance was unknown
	EventSuperseded                         // another coordinator took over the change
	EventTakenOver                          // this node took over a change
	EventConflict                           // the platform or a peer has another body for the newest decided version
	EventUnusable                           // Check rejects the accepted body: the node takes no new work
	EventHeadRestored                       // this node wrote the head row that the platform had lost, or confirmed the one it has
)

// Event tells the driver what happened. Which fields are set depends on Kind.
type Event struct {
	Kind    EventKind
	Version uint64
	Body    []byte
	Head    VersionInfo
	Result  Result
	Err     error
}

// Output holds the messages, platform calls and events that the driver has to handle.
type Output struct {
	Sends  []Envelope
	Calls  []Call
	Events []Event
}

// peer is what this node knows about another node.
type peer struct {
	epoch         uint64
	remoteSentAt  int64               // Sent of its latest message, in its clock
	receivedAt    Time                // when that message arrived
	offset        [2]int64            // lower bounds of this node's clock minus its clock, in ms, by window: current, previous
	offsetSince   Time                // start of the current window
	offsetKnown   [2]bool             // which of offset are set
	row           rowID               // newest row that it is known to have
	freshAt       Time                // newest evidence for that row that it is known to have
	rolledForward versionID           // newest rolled-forward version that it is known to have
	lastContactAt Time                // when the last message to it was sent
	lastVotesAt   Time                // when votes were last sent to it
	lastZonesAt   Time                // when summaries of votes were last sent to it
	knownVotes    map[uint64]*voteSet // by round: votes that it is known to have
	zoneVotes     map[string]int64    // by availability zone: At of the newest summary of votes that it is known to have
	contacted     bool                // lastContactAt is set
}

// Machine is the state of one node.
type Machine struct {
	cfg     Config
	now     Time
	started Time
	random  *rand.Rand
	out     Output

	members    map[string]*member // heard within rosterWindow, without this node
	viewAt     Time               // latest time at which the current view held
	viewStale  bool               // viewAt was older than liveWindow at the last rebuild, so Alive made no member live
	nextExpiry Time               // earliest time at which a member that is not alive stops being live, or expires
	neighbours []string
	liveInZone []string // live members of the availability zone and this node, by rank
	rank       int      // index of this node in liveInZone
	roster     roster
	zoneSizes  sizes   // of the roster
	zoneMask   voteSet // vote bits of the members of this node's availability zone
	liveCount  int     // number of live members, with this node

	peers         map[string]*peer
	row           HeadRow // newest head row known
	freshAt       Time    // the platform held row.Seq at this time or later
	freshKnown    bool    // freshAt is set
	firstFreshSeq uint64  // 1 + Seq of the first row that any node read after this process started; 0: none known
	hasRow        bool    // row is set
	rowAt         Time    // when this node learned of row
	storeEpoch    uint64  // restores of the platform that this node knows of
	repair        repair
	history       []VersionInfo // decided versions, oldest first

	decided       VersionInfo // newest version known to be accepted or rolled forward
	rolledForward VersionInfo // newest version that was rolled forward
	running       VersionInfo
	unusableHash  string // hash of the decided body if Check rejects it
	platformAt    Time   // platform evidence: at this time, the head row held nothing newer than running
	hasPlatformAt bool   // platformAt is set
	// pendingAt is the time at which the head row still held the proposal and ballot that this node acknowledged, so that
	// the proposal was not accepted. It counts as evidence only within the limits at holdValidity, because a coordinator
	// that rolls forward waits for nodes that may rely on it.
	pendingAt     Time
	hasPendingAt  bool // pendingAt is set
	majorityAt    Time // majority evidence: at this time, nothing newer than running was decided, as votes show
	hasMajorityAt bool // majorityAt is set
	voteRounds    map[uint64]*voteRound
	newestRound   uint64              // newest of voteRounds
	zoneVotes     map[string]zoneVote // summaries of votes, by availability zone; At in the time of this machine
	ackID         string              // ID of the proposal that this process acknowledged last
	ackBallot     uint64              // ballot of that acknowledgement
	ackAt         Time                // when the coordinator asked for that acknowledgement
	holdAt        Time                // when the coordinator sent its latest hold, so it had this acknowledgement then
	lockID        string              // ID of the proposal that this process has locked for roll-forward

	bodies     map[string][]byte     // by hash
	bodyOrder  []string              // keys of bodies, oldest first
	fetches    map[string]*bodyFetch // by hash
	openAsks   []openAsk             // not answered yet
	relayTasks []*relayTask

	token      uint64
	openCalls  map[uint64]func(Reply)
	polled     bool // lastPoll is set
	lastPoll   Time
	polling    bool
	pollFailed bool
	pollJitter float64 // factor of the time until the next read, random after a failure

	ballotSince Time   // when the pending ballot was first seen
	seenBallot  uint64 // the pending ballot; 0: none
	changes     map[string]*change
}

// bodyFetch is a body that this node needs and does not have.
type bodyFetch struct {
	sources []string // peers that named the body
	tries   int
	nextTry Time
}

// openAsk is an ask that this node has not answered yet.
type openAsk struct {
	from string
	ask  ask
}

// New returns the machine of a node without a version and without known members.
func New(cfg Config, now Time) *Machine {
	if cfg.Bound == 0 {
		cfg.Bound = DefaultBound
	}
	if cfg.Check == nil {
		cfg.Check = func([]byte) error { return nil }
	}
	m := &Machine{
		cfg: cfg, now: now, started: now, viewAt: now,
		random:     rand.New(rand.NewPCG(cfg.Seed, hash64(cfg.Address))),
		members:    map[string]*member{},
		peers:      map[string]*peer{},
		voteRounds: map[uint64]*voteRound{},
		zoneVotes:  map[string]zoneVote{},
		ackAt:      now - farPast,
		holdAt:     now - farPast,
		bodies:     map[string][]byte{},
		fetches:    map[string]*bodyFetch{},
		openCalls:  map[uint64]func(Reply){},
		changes:    map[string]*change{},
	}
	m.rebuild()
	return m
}

// Output returns and clears what the steps since the last call produced.
func (m *Machine) Output() Output {
	out := m.out
	m.out = Output{}
	return out
}

// Version returns the version that this node runs; 0 before the first.
func (m *Machine) Version() uint64 { return m.running.Version }

// Head returns the version that this node runs.
func (m *Machine) Head() VersionInfo { return m.running }

// StoreEpoch returns the number of restores of the platform that this node knows of, by its own calls or from other nodes.
func (m *Machine) StoreEpoch() uint64 { return m.storeEpoch }

// DecidedVersion returns the newest version that this node knows to be accepted or rolled forward.
func (m *Machine) DecidedVersion() uint64 { return m.decided.Version }

// Confirmed reports whether this node may take new work at the given time: it runs a version, and it has evidence
// not older than Config.Bound that nothing newer was accepted.
func (m *Machine) Confirmed(now Time) bool {
	at, ok := m.evidence(now)
	return ok && now-at <= m.cfg.Bound
}

// evidence returns the latest time at which, as far as this node can prove, nothing newer than the running version was
// accepted. It reports false if there is no such time.
func (m *Machine) evidence(now Time) (Time, bool) {
	if m.running.Version == 0 {
		return 0, false
	}
	at, ok := m.platformAt, m.hasPlatformAt
	if m.hasPendingAt && m.lockID != m.ackID && (now-m.ackAt <= m.cfg.Bound || now-m.holdAt <= holdValidity) {
		if !ok || m.pendingAt > at {
			at, ok = m.pendingAt, true
		}
	}
	if m.hasMajorityAt && (!ok || m.majorityAt > at) {
		at, ok = m.majorityAt, true
	}
	return at, ok
}

func (m *Machine) advance(now Time) { m.now = max(m.now, now) }

func (m *Machine) emit(e Event) { m.out.Events = append(m.out.Events, e) }

func (m *Machine) call(c Call, done func(Reply)) {
	m.token++
	c.Token = m.token
	m.openCalls[c.Token] = done
	m.out.Calls = append(m.out.Calls, c)
}

// Complete handles the result of a platform call. Results of unknown calls are ignored.
func (m *Machine) Complete(now Time, token uint64, r Reply) {
	m.advance(now)
	m.observeEpoch(r.StoreEpoch)
	if done := m.openCalls[token]; done != nil {
		delete(m.openCalls, token)
		done(r)
	}
	m.applyDecided()
}

// Receive handles a message from a peer. It fails with ErrMessage if the message is malformed.
func (m *Machine) Receive(now Time, from string, payload []byte) error {
	m.advance(now)
	msg, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	p := m.observe(from, msg)
	m.mergeState(from, p, msg)
	switch msg.Kind {
	case kindAsk:
		m.handleAsk(from, *msg.Ask)
	case kindAnswer:
		m.handleAnswer(from, *msg.Answer)
	case kindFetch:
		if body, ok := m.bodies[msg.Hash]; ok {
			m.send(from, &message{Kind: kindBody, Hash: msg.Hash, Body: body})
		}
	case kindBody:
		if Hash(msg.Body) == msg.Hash && m.fetches[msg.Hash] != nil {
			m.storeBody(msg.Hash, msg.Body)
		}
	}
	m.applyDecided()
	return nil
}

// Tick does all that is due at the given time. The driver calls it about ten times a second.
func (m *Machine) Tick(now Time) {
	m.advance(now)
	m.rebuildIfDue()
	m.maybePoll()
	m.retryFetches()
	m.tickRelays()
	m.tickChanges()
	m.applyDecided()
	m.countVotes()
	m.gossip()
}
