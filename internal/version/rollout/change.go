package rollout

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// Times of a change.
const (
	askRetry    = 400 * time.Millisecond
	quickRounds = 20
	slowRetry   = 2 * time.Second // after quickRounds, while the platform is down
	ackDeadline = 6 * time.Second // nodes that are alive but do not acknowledge by then cause a refusal
	callRetry   = 500 * time.Millisecond
	// giveUp bounds how long an unproposed change waits for the platform. It ends without a definite result.
	giveUp = 10 * time.Second
	// followFor is how long a change that another node coordinates may stay unsettled before this node takes over.
	followFor   = 7 * time.Second
	followEvery = 500 * time.Millisecond
	// A pending change whose row does not change for takeoverAfter plus a share of takeoverSpread is taken over by a
	// poller. The time is longer than ackDeadline, so that a coordinator that is alive is left alone.
	takeoverAfter  = 8 * time.Second
	takeoverSpread = 4 * time.Second
	// While the result is open, an acknowledgement lets a node rely on platform evidence for the bound, counted from the
	// ask, and for holdValidity once the coordinator said that it has the acknowledgement. A coordinator that rolls
	// forward without the lock of a member waits for so long, plus holdMargin for clocks of different speed.
	holdValidity = 20 * time.Second
	holdMargin   = 100 * time.Millisecond
	holdAfter    = 700 * time.Millisecond // most changes are settled before and need no hold
	holdEvery    = 5 * time.Second
	holdStep     = 200 * time.Millisecond // between holds for members that acknowledged late
	// coordinatorSilent is the silence after which the coordinator of a pending change counts as gone.
	coordinatorSilent = 1500 * time.Millisecond
	goneSpread        = 500 * time.Millisecond
	// settledFor is how long a settled change answers commands from memory.
	settledFor = time.Minute
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

// ackState is what the coordinator knows about one member.
type ackState struct {
	ok, clean, locked bool
	nack              string
	at                Time // of the last answer
	asked             Time // when the last ask for an acknowledgement was sent
	held              Time // when the last hold was sent
}

type relayAsk struct {
	members []string
	phase   phase
	at      Time
}

// change is one change that this node coordinates or follows.
type change struct {
	m       *Machine
	spec    Change
	hash    string
	status  bool   // asked for by a status command: never proposes
	auto    uint64 // ballot that is to be taken over without a command and without following it first
	tried   bool   // a proposal was written, with unknown result
	stage   stage
	began   Time
	busy    bool // a platform call is on its way
	next    Time // of the next platform call
	result  Result
	settled Time

	row      HeadRow
	cond     platform.Condition
	stored   bool
	roster   roster
	extra    roster // members that the roster of the first ballot lacks
	rosterID string
	takeover bool // the ballot is not the first: an earlier coordinator may have rolled forward
	issued   bool // an acceptance was written, with unknown result or in vain
	locking  bool
	rolled   bool

	acks     map[string]*ackState
	asks     map[uint64]relayAsk
	asked    Time // when the collection began
	lastQ    Time
	nextHold Time
	rounds   int
}

// Submit starts or resumes a change. The result arrives as EventSettled with the change's ID.
func (m *Machine) Submit(now Time, spec Change) {
	m.advance(now)
	if c := m.changes[spec.ID]; c != nil && c.stage != stageSettled {
		if c.status && !c.adopted() {
			c.status, c.spec, c.hash = false, spec, Hash(spec.Body)
		}
		return
	}
	m.start(spec, false)
}

// Status settles a change without proposing it. The result arrives as EventSettled with the change's ID.
func (m *Machine) Status(now Time, id string) {
	m.advance(now)
	if c := m.changes[id]; c == nil || c.stage == stageSettled {
		m.start(Change{ID: id}, true)
	}
}

func (m *Machine) start(spec Change, status bool) *change {
	c := &change{m: m, spec: spec, status: status, began: m.now, acks: map[string]*ackState{}, asks: map[uint64]relayAsk{}}
	if !status {
		c.hash = Hash(spec.Body)
		m.store(c.hash, spec.Body)
	}
	m.changes[spec.ID] = c
	c.step()
	return c
}

// Progress returns what this node knows about a change that is not settled.
func (m *Machine) Progress(id string) Result {
	r := Result{ID: id, State: StateUnknown, Reason: ReasonUnavailable}
	c := m.changes[id]
	if c == nil {
		return r
	}
	if c.stage == stageSettled {
		return c.result
	}
	if c.adopted() || c.stage == stageFollow {
		r.State, r.Reason = StatePending, ""
	}
	r.Base, r.Author, r.Comment = c.spec.Base, c.spec.Author, c.spec.Comment
	c.nameMissing(&r)
	return r
}

// adopted reports whether this node holds the ballot of the change.
func (c *change) adopted() bool {
	return c.stage == stageCollect || c.stage == stageAccept || c.stage == stageRefuse
}

func (m *Machine) coordinates(hash string) bool {
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
		if c.stage == stageSettled && m.now-c.settled > settledFor {
			delete(m.changes, id)
			continue
		}
		c.step()
	}
	m.takeOverStale()
}

// takeOverStale resumes a change whose coordinator is gone. A node that hears no majority leaves that to the others: it
// could not settle the change, and would only interrupt a coordinator that can.
func (m *Machine) takeOverStale() {
	p := m.row.Pending
	if p == nil || m.rank >= pollers || 2*m.liveAll <= m.size.atLeast(m.row.Sizes).total() || !m.proof || m.now-m.fresh > staleAfter {
		return
	}
	rank := hash64(m.cfg.Address, p.Head.ID)
	wait := takeoverAfter + time.Duration(rank%uint64(takeoverSpread))
	if v, ok := m.members[p.Coordinator]; m.hearsMajority() && (!ok || m.now-v.LastHeard > coordinatorSilent) {
		wait = time.Duration(rank % uint64(goneSpread))
	}
	if c := m.changes[p.Head.ID]; m.now-m.pendSince < wait || (c != nil && c.stage != stageSettled) {
		return
	}
	m.start(Change{ID: p.Head.ID}, true).auto = p.Ballot
}

// hearsMajority reports whether most members were heard more recently than a coordinator that counts as gone. A node that
// was just cut off hears nobody, and must not take that for the loss of one.
func (m *Machine) hearsMajority() bool {
	n := 1
	for _, v := range m.members {
		if m.now-v.LastHeard <= coordinatorSilent {
			n++
		}
	}
	return 2*n > m.size.atLeast(m.row.Sizes).total()
}

func (c *change) step() {
	m := c.m
	if c.stage == stageSettled {
		return
	}
	if c.adopted() {
		c.collect()
	}
	if c.busy || m.now < c.next || c.stage == stageSettled {
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
	c.busy = true
	c.m.call(call, func(r Reply) {
		c.busy = false
		if c.stage != stageSettled {
			done(r)
		}
		c.step()
	})
}

func (c *change) later(d time.Duration) { c.next = c.m.now + d }

// fail handles a call that did not tell anything.
func (c *change) fail() {
	c.later(callRetry)
	if c.m.now-c.began > giveUp && !c.tried && c.stage <= stagePropose {
		delete(c.m.changes, c.spec.ID)
		c.stage = stageSettled
		r := Result{ID: c.spec.ID, State: StateUnknown, Reason: ReasonUnavailable, Base: c.spec.Base}
		c.m.emit(Event{Kind: EventSettled, Result: r})
	}
}

// readChange finds out whether the change is settled, proposed or unknown to the platform.
func (c *change) readChange() {
	c.call(Call{Op: OpGet, Key: changePrefix + c.spec.ID}, func(r Reply) {
		if errors.Is(r.Err, platform.ErrNotFound) {
			c.absent()
			return
		}
		res, err := decodeResult(r.Row.Value)
		if r.Err != nil || err != nil {
			c.fail()
			return
		}
		switch {
		case res.Definite():
			c.settleAs(res)
		case c.auto != 0:
			c.stage = stageTakeover
		case c.stage == stageStart:
			c.stage = stageFollow
			c.later(followEvery)
		case c.m.now-max(c.began, c.m.pendSince) >= followFor:
			c.stage = stageTakeover
		default:
			c.later(followEvery)
		}
	})
}

func (c *change) absent() {
	if !c.status {
		c.stage = stageStore
		return
	}
	res := Result{ID: c.spec.ID, State: StateRefused, Reason: ReasonAbandoned}
	c.writeChange(res)
}

// settleAs ends the change with the result that the platform holds.
func (c *change) settleAs(res Result) {
	if !c.status && res.Hash != "" && res.Hash != c.hash {
		res = Result{ID: res.ID, State: StateRefused, Reason: ReasonReused, Other: &Head{
			Version: res.Version, Hash: res.Hash, ID: res.ID, Author: res.Author, Comment: res.Comment,
		}}
	}
	c.stage, c.settled, c.result = stageSettled, c.m.now, res
	c.m.emit(Event{Kind: EventSettled, Result: res})
}

// writeChange settles a change that was never proposed, unless it has a row by now.
func (c *change) writeChange(res Result) {
	w := platform.Write{Key: changePrefix + c.spec.ID, Value: must(encMode.Marshal(res)), Cond: platform.Condition{Absent: true}}
	c.call(Call{Op: OpCommit, Writes: append([]platform.Write{w}, c.record(res)...)}, func(r Reply) {
		if r.Err == nil {
			c.settleAs(res)
			return
		}
		c.stage = stageStart // read back
		c.fail()
	})
}

// storeObjects stores the roster and the body. Both calls may be repeated without effect.
func (c *change) storeObjects() {
	if c.roster == nil {
		c.roster = slices.Clone(c.m.roster)
		c.rosterID = Hash(encodeRoster(c.roster))
	}
	body := c.spec.Body
	if c.stored {
		body = encodeRoster(c.roster)
	}
	c.call(Call{Op: OpPutObject, Body: body}, func(r Reply) {
		switch {
		case r.Err == nil:
			c.storedOne()
		case errors.Is(r.Err, platform.ErrInDoubt):
			c.call(Call{Op: OpGetObject, Key: Hash(body)}, func(r Reply) {
				if r.Err != nil {
					c.fail()
					return
				}
				c.storedOne()
			})
		default:
			c.fail()
		}
	})
}

func (c *change) storedOne() {
	if c.stored {
		c.stage = stagePropose
	}
	c.stored = true
}

func (c *change) readHead(then func()) {
	start := c.m.now
	c.call(Call{Op: OpGet, Key: headKey}, func(r Reply) {
		row, cond, err := parseHead(r)
		if err != nil {
			c.fail()
			return
		}
		c.row, c.cond = row, cond
		c.m.takeRow(row, "")
		c.m.takeFresh(row.Seq, start)
		then()
	})
}

func (c *change) key() string { return changePrefix + c.spec.ID }

// propose writes the proposal, or the refusal if another change is ahead.
func (c *change) propose() {
	res := Result{
		ID: c.spec.ID, State: StateRefused, Base: c.spec.Base, Hash: c.hash, Author: c.spec.Author, Comment: c.spec.Comment,
		Changed: c.changed(),
	}
	if p := c.row.Pending; p != nil {
		if p.Head.ID == c.spec.ID {
			c.stage = stageStart
			if p.Coordinator == c.m.cfg.Address && p.Epoch == c.m.cfg.Epoch {
				c.lead(c.row)
			}
			return
		}
		res.Reason, res.Other = ReasonBusy, &p.Head
		c.writeChange(res)
		return
	}
	if c.row.Head.Version != c.spec.Base {
		other := c.row.Head
		res.Reason, res.Other = ReasonBase, &other
		c.writeChange(res)
		return
	}
	next := c.row
	next.Seq++
	next.Pending = &Pending{
		Head: Head{
			Version: c.row.Head.Version + 1, Hash: c.hash, ID: c.spec.ID,
			Author: c.spec.Author, Comment: c.spec.Comment, Changed: res.Changed,
		},
		Ballot: 1, Coordinator: c.m.cfg.Address, Epoch: c.m.cfg.Epoch, FirstSeq: next.Seq, Roster: c.rosterID,
		Sizes: c.roster.sizes().next(c.row.Sizes, c.m.now-c.m.started),
	}
	res.State = StatePending
	c.tried = true
	c.commit(next, res, platform.Condition{Absent: true}, func(err error) {
		if err == nil {
			c.lead(next)
			return
		}
		c.confirmLead(next)
	})
}

func (c *change) changed() []string {
	old, err := DecodeBundle(c.m.bodies[c.m.decided.Hash])
	if err != nil && c.spec.Base > 0 {
		return nil
	}
	b, err := DecodeBundle(c.spec.Body)
	if err != nil {
		return nil
	}
	return old.Differ(b)
}

// commit writes the head row and the change row together.
func (c *change) commit(next HeadRow, res Result, cond platform.Condition, done func(error)) {
	writes := []platform.Write{
		{Key: headKey, Value: must(encMode.Marshal(next)), Cond: c.cond},
		{Key: c.key(), Value: must(encMode.Marshal(res)), Cond: cond},
	}
	c.call(Call{Op: OpCommit, Writes: append(writes, c.record(res)...)}, func(r Reply) {
		if r.Err == nil {
			c.cond = platform.Condition{Version: r.Versions[0]}
		}
		done(r.Err)
	})
}

// record returns the rows that belong to a definite result. The transaction applies once, so they are written once.
func (c *change) record(res Result) []platform.Write {
	if c.m.cfg.Record == nil || !res.Definite() {
		return nil
	}
	return c.m.cfg.Record(res)
}

// confirmLead reads the head row back after a write of a ballot failed or stayed in doubt.
func (c *change) confirmLead(want HeadRow) {
	c.readHead(func() {
		p := c.row.Pending
		if p != nil && p.Head.ID == c.spec.ID && p.Ballot == want.Pending.Ballot && p.Epoch == c.m.cfg.Epoch &&
			p.Coordinator == c.m.cfg.Address {
			c.lead(c.row)
			return
		}
		c.stage, c.tried = stageStart, false
		c.later(callRetry)
	})
}

// lead begins to coordinate with the ballot in the row.
func (c *change) lead(row HeadRow) {
	c.row, c.takeover = row, row.Pending.Ballot > 1
	c.issued, c.locking, c.rolled = false, false, false // of an earlier ballot
	c.hash, c.rosterID = row.Pending.Head.Hash, row.Pending.Roster
	c.spec.Base, c.spec.Author, c.spec.Comment = row.Head.Version, row.Pending.Head.Author, row.Pending.Head.Comment
	c.stage, c.asked, c.rounds, c.lastQ = stageCollect, c.m.now, 0, c.m.now-askRetry
	c.nextHold = c.m.now + holdAfter
	if c.takeover {
		c.nextHold = c.m.now
	}
	clear(c.acks)
	c.m.takeRow(row, "")
	c.m.want(c.hash, row.Pending.Coordinator)
	c.collect()
}

// writeTakeover writes the next ballot of a change whose coordinator does not settle it.
func (c *change) writeTakeover() {
	p := c.row.Pending
	if p == nil || p.Head.ID != c.spec.ID {
		c.stage = stageStart // settled meanwhile
		return
	}
	if c.auto != 0 && c.auto != p.Ballot {
		c.auto, c.stage = 0, stageFollow // another node was faster
		c.later(followEvery)
		return
	}
	c.auto = 0
	next := c.row
	taken := *p
	taken.Ballot++
	taken.Coordinator, taken.Epoch = c.m.cfg.Address, c.m.cfg.Epoch
	next.Seq++
	next.Pending = &taken
	c.roster, c.rosterID = nil, p.Roster
	res := Result{ID: c.spec.ID, State: StatePending, Base: c.row.Head.Version, Hash: p.Head.Hash}
	c.commit(next, res, platform.Condition{}, func(err error) {
		if err == nil {
			c.m.emit(Event{Kind: EventTakenOver, Head: taken.Head})
			c.lead(next)
			return
		}
		c.confirmLead(next)
	})
}

// collect asks the members and decides as soon as their answers allow it.
func (c *change) collect() {
	m := c.m
	if p := m.row.Pending; m.row.Seq > c.row.Seq && (p == nil || p.Head.ID != c.spec.ID || p.Ballot != c.row.Pending.Ballot) {
		c.superseded()
		return
	}
	if c.roster == nil && !c.loadRoster() {
		return
	}
	if c.stage != stageRefuse && !c.rolled && m.now-c.lastQ >= askRetry {
		c.askAll()
	}
	if !c.locking && m.now >= c.nextHold && (!c.takeover || c.mayRefuse()) {
		c.hold()
	}
	switch {
	case c.stage == stageCollect:
		c.judge()
	case c.stage == stageAccept && c.locking && !c.rolled:
		c.rollForward()
	}
}

// superseded stops coordinating: another coordinator has a higher ballot, or the change is settled.
func (c *change) superseded() {
	m := c.m
	if m.row.Pending != nil && m.row.Pending.Head.ID == c.spec.ID {
		m.emit(Event{Kind: EventSuperseded, Head: c.row.Pending.Head})
	}
	c.stage, c.began, c.status, c.tried = stageFollow, m.now, true, true
	c.locking = false // a roll-forward of this ballot must not begin any more
	c.next = m.now
}

// loadRoster fetches the roster of the first ballot.
func (c *change) loadRoster() bool {
	body, ok := c.m.bodies[c.rosterID]
	if !ok {
		c.m.want(c.rosterID, c.row.Pending.Coordinator)
		return false
	}
	r, err := decodeRoster(body)
	if err != nil {
		return false
	}
	c.roster, c.asked = r, c.m.now
	c.extend()
	return true
}

// extend adds members that a first coordinator with few known members did not list. Without them a takeover could neither
// accept nor refuse. They do not count in a roll-forward, so that the locks of every ballot come from one roster, and fill
// the recorded sizes at most, so that a set that blocks still meets every sufficient set of locks.
func (c *change) extend() {
	count := c.roster.sizes()
	c.extra = nil
	for _, v := range c.m.roster {
		listed := slices.ContainsFunc(c.roster, func(x rosterMember) bool { return x.Address == v.Address })
		if !listed && count[v.Zone] < c.row.Pending.Sizes[v.Zone] {
			count[v.Zone]++
			c.extra = append(c.extra, v)
		}
	}
}

// full returns the members that are asked.
func (c *change) full() roster {
	if len(c.extra) == 0 {
		return c.roster
	}
	return slices.Concat(c.roster, c.extra)
}

func (c *change) phase() phase {
	if c.locking {
		return phaseLock
	}
	return phaseAck
}

// askAll asks the members without an answer, through relays of the same availability zone. Other relays are used in
// every round, so that a relay that died costs one round.
func (c *change) askAll() {
	m := c.m
	c.lastQ = m.now
	if c.rounds++; c.rounds > quickRounds {
		c.lastQ += slowRetry - askRetry
	}
	maps.DeleteFunc(c.asks, func(_ uint64, q relayAsk) bool { return m.now-q.at > relayTaskLife })
	zones := map[string][]string{}
	for _, v := range c.full() {
		a := c.acks[v.Address]
		if a == nil || (c.locking && !a.locked) || (!c.locking && !a.ok && a.nack == "") {
			if !c.locking {
				c.ack(v.Address).asked = m.now
			}
			zones[v.Zone] = append(zones[v.Zone], v.Address)
		}
	}
	c.sendParts(zones, c.phase())
}

// sendParts sends one ask to a relay for every part of the members.
func (c *change) sendParts(zones map[string][]string, p phase) {
	m := c.m
	size := max(int(math.Sqrt(float64(len(c.roster)+len(c.extra)))), 4)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list := zones[zone]
		for i := 0; i < len(list); i += size {
			part := list[i:min(i+size, len(list))]
			m.token++
			a := ask{
				ID: c.spec.ID, Ballot: c.row.Pending.Ballot, Phase: p, Token: m.token, Members: part, At: floorMS(m.now),
			}
			c.asks[a.Token] = relayAsk{part, a.Phase, m.now}
			c.sendRelay(part, a)
		}
	}
}

// hold tells the members whose acknowledgement has arrived, so that a change that stays open, or loses its coordinator,
// does not keep them from taking work.
func (c *change) hold() {
	m := c.m
	c.nextHold = m.now + holdStep
	zones := map[string][]string{}
	for _, v := range c.full() {
		if a := c.acks[v.Address]; a != nil && a.ok && (a.held == 0 || m.now-a.held >= holdEvery) {
			a.held = m.now
			zones[v.Zone] = append(zones[v.Zone], v.Address)
		}
	}
	c.sendParts(zones, phaseHold)
}

// sendRelay sends the ask to one of the members that are alive. After the first round a part that is not alive at all is
// asked by the coordinator itself.
func (c *change) sendRelay(part []string, a ask) {
	m := c.m
	var alive []string
	for _, address := range part {
		if v, ok := m.members[address]; address == m.cfg.Address || ok && m.live(v) {
			alive = append(alive, address)
		}
	}
	if len(alive) == 0 || slices.Contains(part, m.cfg.Address) {
		m.takeAsk(m.cfg.Address, a)
		return
	}
	m.sendAsk(alive[(int(hash64(a.ID)%1024)+c.rounds)%len(alive)], a)
}

// takeAnswer takes an aggregated answer, or the answer of one member whose relay task at this node has ended.
func (c *change) takeAnswer(from string, got answer) {
	q, ok := c.asks[got.Token]
	if !ok || !c.adopted() || got.Ballot != c.row.Pending.Ballot || got.Phase != q.phase {
		return
	}
	if got.Self {
		if !slices.Contains(q.members, from) {
			return
		}
		q.members = []string{from}
	}
	for i, address := range q.members {
		if !bits(got.OK).has(i) {
			continue
		}
		a := c.ack(address)
		a.ok, a.nack = true, ""
		c.note(a, got, i)
	}
	for _, n := range got.Nacks {
		if i := slices.Index(q.members, n.Address); i >= 0 {
			a := c.ack(n.Address)
			a.ok, a.nack = false, n.Reason
			c.note(a, got, i)
		}
	}
	c.collect()
}

func (c *change) ack(address string) *ackState {
	a := c.acks[address]
	if a == nil {
		a = &ackState{}
		c.acks[address] = a
	}
	return a
}

func (c *change) note(a *ackState, got answer, i int) {
	a.at = c.m.now
	a.clean = bits(got.Clean).has(i)
	a.locked = a.locked || bits(got.Locked).has(i)
}

func (c *change) missing(address string) bool {
	a := c.acks[address]
	return (a == nil || !a.ok) && !c.gone(address)
}

// gone reports whether a member fell out of the roster since the proposal: this process would have heard it within the
// window, and is not itself the one that is cut off.
func (c *change) gone(address string) bool {
	m := c.m
	_, seen := m.members[address]
	return !seen && address != m.cfg.Address && m.now-m.started >= rosterWindow && 2*m.liveAll > c.row.Pending.Sizes.total()
}

// silent reports whether a member has not been heard, and has not answered, for longer than the bound.
func (c *change) silent(address string) bool {
	m := c.m
	if address == m.cfg.Address {
		return false
	}
	v, ok := m.members[address]
	if !ok || v.Left {
		return true
	}
	last := v.LastHeard
	if a := c.acks[address]; a != nil {
		last = max(last, a.at)
	}
	return m.now-last > m.cfg.Bound
}

// judge accepts, refuses or waits.
func (c *change) judge() {
	var noisy, locked, nacked int
	for _, v := range c.full() {
		a := c.acks[v.Address]
		switch {
		case a != nil && a.locked:
			locked++
		case a != nil && a.nack != "":
			nacked++
		}
		if c.missing(v.Address) && !c.silent(v.Address) {
			noisy++
		}
	}
	overdue := c.m.now-c.asked > ackDeadline
	blocked := c.full().blocks(c.row.Pending.Sizes, true, c.missing)
	switch {
	case locked > 0 && !blocked:
		c.accept() // an earlier coordinator may have rolled forward
	case nacked > 0 && c.mayRefuse():
		c.refuse(ReasonRejected)
	case !blocked && noisy == 0:
		c.accept()
	case overdue && c.mayRefuse():
		c.refuse(ReasonUnreached)
	case c.takeover && overdue && !blocked:
		c.accept() // refusal is not provably safe
	}
}

// mayRefuse reports whether no coordinator can have rolled forward. A coordinator rolls forward with the locks of
// members whose complement blocks nothing. Members that hold no lock, have held none since before the proposal, and
// ignore lower ballots from now on exclude that if they block.
func (c *change) mayRefuse() bool {
	if !c.takeover {
		return !c.issued
	}
	return c.full().blocks(c.row.Pending.Sizes, false, func(address string) bool {
		a := c.acks[address]
		return a != nil && !a.locked && (a.clean || a.nack != "")
	})
}

func (c *change) accept() {
	c.stage = stageAccept
	c.next = c.m.now
	c.step()
}

func (c *change) refuse(why Reason) {
	c.result = Result{
		ID: c.spec.ID, State: StateRefused, Reason: why, Base: c.row.Head.Version, Hash: c.hash,
		Author: c.spec.Author, Comment: c.spec.Comment, Changed: c.row.Pending.Head.Changed,
	}
	c.nameMissing(&c.result)
	c.stage = stageRefuse
	c.next = c.m.now
	c.step()
}

func (c *change) nameMissing(r *Result) {
	if !c.adopted() {
		return
	}
	for _, v := range c.full() {
		a := c.acks[v.Address]
		switch {
		case a != nil && a.nack != "":
			r.RejectedCount++
			if len(r.Rejected) < maxNamed {
				r.Rejected = append(r.Rejected, Reject{v.Address, a.nack})
			}
		case a == nil || !a.ok:
			r.UnreachedCount++
			if len(r.Unreached) < maxNamed {
				r.Unreached = append(r.Unreached, v.Address)
			}
		}
	}
}

// writeAccept writes the acceptance. Until the result is known, the coordinator asks for locks to roll forward.
func (c *change) writeAccept() {
	next := HeadRow{Seq: c.row.Seq + 1, Head: c.row.Pending.Head, Sizes: c.row.Pending.Sizes}
	h := next.Head
	res := Result{
		ID: h.ID, State: StateAccepted, Base: c.row.Head.Version, Version: h.Version, Hash: h.Hash,
		Author: h.Author, Comment: h.Comment, Changed: h.Changed,
	}
	c.nameMissing(&res)
	c.issued = true
	start := c.m.now
	c.commit(next, res, platform.Condition{}, func(err error) { c.wrote(next, res, start, err) })
}

func (c *change) writeRefuse() {
	next := HeadRow{Seq: c.row.Seq + 1, Head: c.row.Head, Sizes: c.row.Sizes}
	res := c.result
	start := c.m.now
	c.commit(next, res, platform.Condition{}, func(err error) { c.wrote(next, res, start, err) })
}

// wrote handles the result of the write that settles the change.
func (c *change) wrote(next HeadRow, res Result, start Time, err error) {
	if err == nil {
		c.m.takeRow(next, c.m.cfg.Address)
		c.m.takeFresh(next.Seq, start)
		c.settleAs(res)
		return
	}
	if c.stage == stageAccept && !c.locking && !errors.Is(err, platform.ErrConflict) {
		c.locking, c.lastQ = true, c.m.now-askRetry
	}
	c.readBack()
}

// readBack finds out after a failed write whether it took effect or another coordinator was faster.
func (c *change) readBack() {
	ballot := c.row.Pending.Ballot
	c.later(callRetry)
	if c.stage == stageFollow {
		return
	}
	start := c.m.now
	c.call(Call{Op: OpGet, Key: headKey}, func(r Reply) {
		row, cond, err := parseHead(r)
		if err != nil {
			c.later(callRetry)
			return
		}
		c.m.takeRow(row, "")
		c.m.takeFresh(row.Seq, start)
		if !c.adopted() {
			return
		}
		if p := row.Pending; p == nil || p.Head.ID != c.spec.ID || p.Ballot != ballot {
			c.superseded()
			return
		}
		c.row, c.cond = row, cond
		c.next = c.m.now
	})
}

// rollForward makes the version effective once every member is locked, or cannot be confirmed on the old version any
// more, and the locked ones are enough that no later coordinator may refuse. A member whose acknowledgement was lost may
// rely on platform evidence until the bound after the last ask has passed.
func (c *change) rollForward() {
	m := c.m
	unlocked := func(address string) bool { a := c.acks[address]; return a == nil || !a.locked }
	if c.roster.blocks(c.row.Pending.Sizes, true, unlocked) {
		return
	}
	for _, v := range c.full() {
		a := c.acks[v.Address]
		if a == nil || a.locked {
			continue
		}
		if m.now-a.asked <= m.cfg.Bound+holdMargin || a.held > 0 && m.now-a.held <= holdValidity+holdMargin {
			return
		}
	}
	c.rolled = true
	m.chosen = c.row.Pending.Head
	m.emit(Event{Kind: EventForwarded, Version: m.chosen.Version, Head: m.chosen})
	m.decide(m.chosen, "")
	m.settleState()
}
