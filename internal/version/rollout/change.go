package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Intervals and time limits of a change.
const (
	askInterval     = 400 * time.Millisecond
	quickAskRounds  = 20
	slowAskInterval = 2 * time.Second // after quickAskRounds, as in an outage of the platform
	ackDeadline     = 6 * time.Second // if a live node has not acknowledged by then, the change is refused
	callRetryDelay  = 500 * time.Millisecond
	// proposeTimeout is how long a change that is not proposed yet waits for the platform. After that it ends without a
	// definite result.
	proposeTimeout = 10 * time.Second
	// rosterLostTimeout is how long a coordinator tries to get the roster of the first ballot.
	rosterLostTimeout = 10 * time.Second
	// followTimeout is how long a change that another node coordinates may stay unsettled before this node takes over.
	followTimeout  = 7 * time.Second
	followInterval = 500 * time.Millisecond
	// A poller takes over a pending change whose ballot has not changed for takeoverDelay plus a node's share of
	// takeoverSpread. That is longer than ackDeadline, so that a live coordinator is not interrupted.
	takeoverDelay  = 8 * time.Second
	takeoverSpread = 4 * time.Second
	// While a change is pending, a node that acknowledged it may use platform evidence for its old version until Config.Bound
	// has passed since the coordinator sent the ask, or until holdValidity has passed since the coordinator sent a hold,
	// whichever is later. A coordinator that rolls forward without the lock of a member first waits until both times have
	// passed for that member, plus holdMargin for clocks of different speed.
	holdValidity     = 20 * time.Second
	holdMargin       = 100 * time.Millisecond
	firstHoldDelay   = 700 * time.Millisecond // most changes are settled earlier and need no hold
	holdInterval     = 5 * time.Second
	lateHoldInterval = 200 * time.Millisecond // between holds for members that acknowledged late
	// coordinatorTimeout is how long the coordinator of a pending change may be silent before it counts as gone.
	coordinatorTimeout = 1500 * time.Millisecond
	// goneTakeoverSpread is the time over which the nodes spread their takeovers when the coordinator is gone.
	goneTakeoverSpread = 500 * time.Millisecond
	// settledRetention is how long Progress knows the result of a settled change, and how long this node writes it again if the
	// platform loses it.
	settledRetention = platform.MaxCopyAge
)

type stage uint8

const (
	stageStart    stage = iota // reading what the platform knows about the change
	stageStore                 // storing body and roster
	stagePropose               // writing the proposal
	stageCollect               // collecting acknowledgements
	stageAccept                // writing the acceptance
	stageRefuse                // writing the refusal
	stageFollow                // another node coordinates
	stageTakeover              // writing the next ballot
	stageSettled
)

// memberState is what the coordinator knows about one member.
type memberState struct {
	ok, clean, locked bool
	rejection         string // reason; empty: not rejected
	answeredAt        Time   // when the last answer arrived
	askedAt           Time   // when the last ask for an acknowledgement was sent
	heldAt            Time   // when the last hold was sent
}

// sentAsk is an ask that the coordinator sent to a relay.
type sentAsk struct {
	members []string
	phase   phase
	at      Time
}

// change is one change that this node coordinates or follows.
type change struct {
	m               *Machine
	spec            Change
	hash            string // of the body
	statusOnly      bool   // never proposes: started by a status command or a takeover, or superseded
	takeoverBallot  uint64 // of a lost coordinator, to take over at once if it is still pending; 0: none
	proposalWritten bool   // a proposal was sent to the platform; its outcome may be unknown
	stage           stage
	startedAt       Time
	callRunning     bool // a platform call is running
	nextCallAt      Time // earliest time of the next platform call
	result          Result
	settledAt       Time

	row               HeadRow            // as last read or written for this change
	cond              platform.Condition // that the head row still is row
	readEpoch         uint64             // of the platform when row was read
	changeRow         platform.Version   // of the row of the change, as last read
	storedEpoch       uint64             // of the platform that is known to have the result of a settled change
	bodyStored        bool
	roster            roster // of the first ballot; nil: not known yet
	extraMembers      roster // members that are missing from the roster of the first ballot
	rosterID          string // hash of the encoded roster
	rosterLost        bool   // roster holds other members than that of the first ballot, which nobody has any more
	takeover          bool   // the ballot is not the first: an earlier coordinator may have rolled forward
	acceptanceWritten bool   // an acceptance was sent to the platform; its outcome is unknown, or it failed
	locking           bool   // asks for locks, because the outcome of the acceptance is unknown
	didRollForward    bool

	memberStates    map[string]*memberState // by address
	sentAsks        map[uint64]sentAsk      // by token
	collectingSince Time                    // when this node began to collect answers
	lastAskAt       Time
	nextHoldAt      Time
	askRounds       int
}

// Submit starts or resumes a change. The result arrives as EventSettled with the change's ID.
func (m *Machine) Submit(now Time, spec Change) {
	m.advance(now)
	if c := m.changes[spec.ID]; c != nil && c.stage != stageSettled {
		if c.statusOnly && !c.holdsBallot() {
			c.statusOnly, c.spec, c.hash = false, spec, Hash(spec.Body)
		}
		return
	}
	m.startChange(spec, false)
}

// Status settles a change without proposing it: it waits for the result, takes over from a coordinator that does not settle
// the change, and refuses a change that was never proposed. The result arrives as EventSettled with the change's ID.
func (m *Machine) Status(now Time, id string) {
	m.advance(now)
	if c := m.changes[id]; c == nil || c.stage == stageSettled {
		m.startChange(Change{ID: id}, true)
	}
}

func newChange(m *Machine, spec Change, statusOnly bool) *change {
	return &change{
		m: m, spec: spec, statusOnly: statusOnly, startedAt: m.now,
		memberStates: map[string]*memberState{}, sentAsks: map[uint64]sentAsk{},
	}
}

func (m *Machine) startChange(spec Change, statusOnly bool) *change {
	c := newChange(m, spec, statusOnly)
	if !statusOnly {
		c.hash = Hash(spec.Body)
		m.storeBody(c.hash, spec.Body)
	}
	m.changes[spec.ID] = c
	c.step()
	return c
}

// Progress returns what this node knows about a change: its result until settledRetention after it was settled, and before
// that its state and the nodes that have not acknowledged it.
func (m *Machine) Progress(id string) Result {
	r := Result{ID: id, State: StateUnknown, Reason: ReasonUnavailable}
	c := m.changes[id]
	if c == nil {
		return r
	}
	if c.stage == stageSettled {
		return c.result
	}
	if c.holdsBallot() || c.stage == stageFollow {
		r.State, r.Reason = StatePending, ""
	}
	r.Base, r.Author, r.Comment = c.spec.Base, c.spec.Author, c.spec.Comment
	c.listFailures(&r)
	return r
}

// holdsBallot reports whether this node holds the ballot of the change.
func (c *change) holdsBallot() bool {
	return c.stage == stageCollect || c.stage == stageAccept || c.stage == stageRefuse
}

func (m *Machine) neededByChange(hash string) bool {
	for _, c := range m.changes {
		if c.stage != stageSettled && (c.hash == hash || (c.rosterID == hash && c.roster == nil)) {
			return true
		}
	}
	return false
}

func (m *Machine) tickChanges() {
	for _, id := range slices.Sorted(maps.Keys(m.changes)) {
		c := m.changes[id]
		if c.stage == stageSettled && m.now-c.settledAt > settledRetention {
			delete(m.changes, id)
			continue
		}
		c.restoreResult()
		c.step()
	}
	m.takeOverAbandoned()
}

// takeOverAbandoned takes over a pending change whose coordinator is gone or makes no progress. A node that does not hear
// a majority must not: it could not settle the change, and would only interrupt a coordinator that can.
func (m *Machine) takeOverAbandoned() {
	p := m.row.Pending
	if p == nil || m.rank >= pollersPerZone || 2*m.liveCount <= m.zoneSizes.atLeast(m.row.Sizes).total() ||
		!m.freshKnown || m.now-m.freshAt > firstStaleAge {
		return
	}
	rank := hash64(m.cfg.Address, p.Head.ID)
	wait := takeoverDelay + time.Duration(rank%uint64(takeoverSpread))
	if v, ok := m.members[p.Coordinator]; m.hearsMajority() && (!ok || m.now-m.lastHeard(v) > coordinatorTimeout) {
		wait = time.Duration(rank % uint64(goneTakeoverSpread))
	}
	if c := m.changes[p.Head.ID]; m.now-m.ballotSince < wait || (c != nil && c.stage != stageSettled) {
		return
	}
	m.startChange(Change{ID: p.Head.ID}, true).takeoverBallot = p.Ballot
}

// hearsMajority reports whether a majority of the members was heard within coordinatorTimeout. If not, the node itself may
// be cut off, and the silence of the coordinator does not show that the coordinator is gone.
func (m *Machine) hearsMajority() bool {
	n := 1
	for _, v := range m.members {
		if m.now-m.lastHeard(v) <= coordinatorTimeout {
			n++
		}
	}
	return 2*n > m.zoneSizes.atLeast(m.row.Sizes).total()
}

func (c *change) step() {
	m := c.m
	if c.stage == stageSettled {
		return
	}
	if c.holdsBallot() {
		c.collect()
	}
	if c.callRunning || m.now < c.nextCallAt || c.stage == stageSettled {
		return
	}
	switch c.stage {
	case stageStart:
		c.readChange()
	case stageStore:
		c.storeObjects()
	case stagePropose:
		c.readHead(c.propose)
	case stageFollow:
		c.readChange()
	case stageTakeover:
		c.readHead(c.writeTakeover)
	case stageAccept:
		c.writeAccept()
	case stageRefuse:
		c.writeRefuse()
	case stageCollect, stageSettled:
	}
}

func (c *change) call(call Call, done func(Reply)) {
	c.callRunning = true
	c.m.call(call, func(r Reply) {
		c.callRunning = false
		if c.stage != stageSettled {
			done(r)
		}
		c.step()
	})
}

func (c *change) delayCall(d time.Duration) { c.nextCallAt = c.m.now + d }

// callFailed schedules a retry after a platform call without a usable answer. A change that was not proposed within
// proposeTimeout ends with StateUnknown.
func (c *change) callFailed() {
	c.delayCall(callRetryDelay)
	if c.m.now-c.startedAt > proposeTimeout && !c.proposalWritten && c.stage <= stagePropose {
		delete(c.m.changes, c.spec.ID)
		c.stage = stageSettled
		r := Result{ID: c.spec.ID, State: StateUnknown, Reason: ReasonUnavailable, Base: c.spec.Base}
		c.m.emit(Event{Kind: EventSettled, Result: r})
	}
}
