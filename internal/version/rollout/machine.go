// Package rollout decides which configuration version a node runs and whether the node may take new work with it.
//
// Machine is a pure state machine: messages, results of platform calls and the present time go in; messages, platform
// calls and events come out. It starts no goroutines, does no I/O and is not safe for concurrent use. Runner drives a
// Machine in real time and is safe for concurrent use. docs/configuration.md describes the rules.
package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Time is the time of a machine's monotonic clock since an arbitrary start. It must go on while the process is paused.
type Time = time.Duration

// Config holds the settings of a machine. Zero values are replaced by the defaults below.
type Config struct {
	Address string
	Zone    string
	Epoch   uint64 // random, different for every process start
	Bound   time.Duration
	Check   func(body []byte) error // must depend on the body alone
	Seed    uint64                  // of the jitter
	// Record returns rows to write together with a definite result, in the same transaction; may be nil.
	Record func(r Result) []platform.Write
	// Join lists peers to ask while the members are unknown.
	Join []string
}

// Defaults and fixed times.
const (
	// DefaultBound is the longest time that a node takes new work without confirmation of its version. The goal of 3 s
	// leaves 0.5 s for clock rounding, timer delays and work that was admitted just before.
	DefaultBound = 2500 * time.Millisecond

	pollInterval = time.Second
	// pollers is the number of members of an availability zone that poll the head row regularly.
	pollersPerZone = 3
	// pollRetry is the mean time between failed reads of the other members: 19 reads a second at 2,300 nodes.
	failedPollInterval = 2 * time.Minute
	pollStagger        = 150 * time.Millisecond  // longer than a read and its way through the zone
	firstStaleAge      = 1200 * time.Millisecond // age of evidence at which the first other member of a zone reads
	// staleStep is the time until the next member by rank reads: 9 reads a second in 9 availability zones.
	staleAgeStep       = time.Second
	liveWindow         = 3 * time.Second // a member heard within this time counts for ranks and neighbours
	rosterWindow       = time.Hour       // a member heard within this time counts in majorities
	keepAliveInterval  = time.Second
	minFreshnessGain   = 250 * time.Millisecond // smallest gain in freshness that is worth a message
	voteAge            = time.Second            // age of platform evidence at which members vote for each other
	fetchRetryInterval = 250 * time.Millisecond
	callTimeout        = time.Second
	offsetWindow       = 30 * time.Second // clock offsets older than one to two windows are dropped, because clocks drift
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

// Platform calls.
const (
	OpGet Op = iota + 1
	OpCommit
	OpPutObject
	OpGetObject
)

// Call is a platform call that the driver makes and answers with Machine.Complete.
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
}

// EventKind is the kind of an Event.
type EventKind uint8

// Events.
const (
	EventApply         EventKind = iota + 1 // run Version with Body
	EventSettled                            // Result is definite
	EventRolledForward                      // the coordinator rolled forward while the acceptance was in doubt
	EventSuperseded                         // another coordinator took the change over
	EventTakenOver                          // this node took a change over
	EventConflict                           // the platform or a peer holds another body for the running version
	EventUnusable                           // the check rejects the accepted body: the node takes no new work
)

// Event is something that the driver acts on.
type Event struct {
	Kind    EventKind
	Version uint64
	Body    []byte
	Head    VersionInfo
	Result  Result
	Err     error
}

// Output is what a step produced.
type Output struct {
	Sends  []Envelope
	Calls  []Call
	Events []Event
}

type peer struct {
	epoch         uint64
	lastSent      int64 // Sent of its last message
	lastSentAt    Time  // when that arrived
	offset        [2]int64
	offsetSince   Time
	offsetKnown   [2]bool
	seq           uint64 // row it has, as far as known
	freshAt       Time   // freshness it has, as far as known
	rolledForward uint64
	lastSendAt    Time
	lastVotesAt   Time
	lastZonesAt   Time
	knownVotes    map[uint64]*voteSet // votes that it has, as far as known
	zoneVotes     map[string]int64    // summaries that it has
	contacted     bool
}

// Machine is the state of one node.
type Machine struct {
	cfg     Config
	now     Time
	started Time
	random  *rand.Rand
	out     Output

	members    map[string]*member // seen within rosterWindow, without self
	viewAt     Time               // the present view held until this time
	viewStale  bool               // viewAt was too old for a live member at the last rebuild
	nextExpiry Time               // earliest time at which a silent member changes by time alone
	neighbours []string
	liveInZone []string // live members of the availability zone, with self
	rank       int      // in zoneLive
	roster     roster
	zoneSizes  sizes   // of the roster
	zoneMask   voteSet // votes of the members of the availability zone
	liveCount  int     // live members, with self

	peers         map[string]*peer
	row           HeadRow // newest row known
	freshAt       Time    // the platform held row.Seq at this time or later
	freshKnown    bool    // fresh is set, for a read that began after the start of this process
	firstFreshSeq uint64  // first row that a read after the start of this process showed
	hasRow        bool    // row is set

	decided       VersionInfo // newest version known to be accepted or rolled forward
	rolledForward VersionInfo // newest version that was rolled forward
	running       VersionInfo
	unusableHash  string // hash of the decided body if the check rejects it
	platformAt    Time   // the platform accepted nothing newer than running at this time
	hasPlatformAt bool
	pendingAt     Time // as platAt, but the row held the proposal and ballot that this node acknowledged
	hasPendingAt  bool
	majorityAt    Time
	hasMajorityAt bool
	voteRounds    map[uint64]*voteRound
	newestRound   uint64              // newest of tallies
	zoneVotes     map[string]zoneVote // At in the time of this machine
	ackID         string              // proposal that this process acknowledged last
	ackBallot     uint64
	ackAt         Time   // when the coordinator asked for it
	holdAt        Time   // when the coordinator said that it has the acknowledgement
	lockID        string // proposal that this process holds for roll-forward

	bodies     map[string][]byte
	bodyOrder  []string // of bodies, oldest first
	fetches    map[string]*bodyFetch
	openAsks   []openAsk
	relayTasks []*relayTask

	token      uint64
	openCalls  map[uint64]func(Reply)
	polled     bool // lastPoll is set
	lastPoll   Time
	polling    bool
	pollFailed bool
	pollJitter float64 // factor of the time until the next read

	ballotSince Time // when the pending ballot was first seen
	seenBallot  uint64
	changes     map[string]*change
}

type bodyFetch struct {
	from    []string
	tries   int
	nextTry Time
}

type openAsk struct {
	from string
	ask  ask
}

// New returns the machine of a node that knows nothing yet.
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

// DecidedVersion returns the newest version that this node knows to be accepted.
func (m *Machine) DecidedVersion() uint64 { return m.decided.Version }

// Confirmed reports whether this node may take new work at the given time: it runs a version, and it has evidence
// younger than the bound that nothing newer was accepted.
func (m *Machine) Confirmed(now Time) bool {
	at, ok := m.evidence(now)
	return ok && now-at <= m.cfg.Bound
}

// evidence returns the latest time at which nothing newer than the running version was accepted.
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

// Complete takes the result of a platform call. Results of unknown calls are ignored.
func (m *Machine) Complete(now Time, token uint64, r Reply) {
	m.advance(now)
	if done := m.openCalls[token]; done != nil {
		delete(m.openCalls, token)
		done(r)
	}
	m.applyDecided()
}

// Receive takes a message from a peer.
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

// Tick lets time pass. The driver calls it about ten times a second.
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
