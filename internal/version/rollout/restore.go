package rollout

import (
	"errors"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// The platform can come back from an older copy of its data. Then the head row has an earlier state, or is missing, and with it a
// version that nodes run or a proposal that they have acknowledged. The nodes have what is lost in memory: one of them writes the
// newest state that a majority knows as a new row. Until then the head row is no evidence, and nothing is proposed against it.
//
// A row that was lost is known to a node that hears a majority, unless only nodes that it does not hear knew it: a row spreads
// within repairDelay.

const (
	// repairDelay is the time for which a node that finds the head row lost waits for what other nodes know.
	repairDelay = 1500 * time.Millisecond
	// epochBallotShift makes the ballots of a later epoch of the platform higher than all of earlier ones, as ballots can be lost.
	epochBallotShift = 32
	// historySize is the number of decided versions that a node remembers: more than are accepted within the age of a copy.
	historySize = 32
)

// storeEpoch returns the number of times that the platform had been restored in an epoch. Epochs count from one, and rows of a
// platform that states none, or has never been restored, are those of earlier releases.
func storeEpoch(e platform.Epoch) uint64 { return uint64(max(e, 1)) - 1 }

// repair is the state of writing the head row anew.
type repair struct {
	due     bool // the platform may have lost the head row
	since   Time // when this node learned that
	running bool // a write is under way
}

// observeEpoch records the newest epoch of the platform.
func (m *Machine) observeEpoch(epoch uint64) {
	if epoch <= m.storeEpoch {
		return
	}
	m.storeEpoch = epoch
	if m.row.StoreEpoch < epoch {
		m.headLost()
	}
}

func (m *Machine) headLost() {
	if !m.repair.due {
		m.repair.due, m.repair.since = true, m.now
	}
}

// headRead is a read of the head row.
type headRead struct {
	row   HeadRow
	cond  platform.Condition // that the head row still is row
	epoch uint64             // of the platform when the row was read
	lost  bool               // the row was written before the platform was restored, or a newer one is known
}

// headRead handles the reply to a read of the head row that began at start.
func (m *Machine) headRead(r Reply, start Time) (headRead, error) {
	row, cond, err := parseHead(r)
	if err != nil {
		return headRead{}, err
	}
	read := headRead{row: row, cond: cond, epoch: r.StoreEpoch}
	if v := r.Row.Version; v != (platform.Version{}) {
		read.epoch = storeEpoch(v.Epoch)
	}
	newerKnown := m.hasRow && m.row.id().after(row.id()) && start >= m.rowAt // the platform had the newer row before the read
	m.updateRow(row, "")
	read.lost = newerKnown || row.StoreEpoch < read.epoch
	if read.lost {
		m.headLost()
		return read, nil
	}
	if read.epoch >= m.storeEpoch {
		m.repair.due = false
	}
	m.updateFreshness(row.id(), start)
	return read, nil
}

// repairHead writes the newest row that this node knows in place of the one that it has read. A pending proposal is taken over,
// so that all rules for a lost coordinator hold.
func (m *Machine) repairHead(read headRead) {
	if m.repair.running || m.now-m.repair.since < repairDelay || !m.hearsMajority() {
		return
	}
	next := m.row
	next.Seq++
	next.StoreEpoch = read.epoch
	if m.decided.id().after(next.Head.id()) { // rolled forward, or accepted in a row that is lost
		next.Head = m.decided
	}
	if p := next.Pending; p != nil && !p.Head.id().after(next.Head.id()) {
		next.Pending, next.Sizes = nil, p.Sizes
	}
	if p := next.Pending; p != nil {
		taken := *p
		taken.Ballot = max(p.Ballot+1, read.epoch<<epochBallotShift)
		taken.Coordinator, taken.Epoch = m.cfg.Address, m.cfg.Epoch
		next.Pending = &taken
	}
	m.repair.running = true
	m.putBodies(next.bodies(), func() { m.writeRepaired(read, next) })
}

// bodies returns the hashes of the objects that the row names.
func (r HeadRow) bodies() []string {
	hashes := []string{r.Head.Hash}
	if p := r.Pending; p != nil {
		hashes = append(hashes, p.Head.Hash, p.Roster)
	}
	return hashes
}

// putBodies stores those of the bodies that this node has, one after the other, as the platform may have lost them, and then calls
// done. A body that cannot be stored is not needed as long as a node has it.
func (m *Machine) putBodies(hashes []string, done func()) {
	for i, hash := range hashes {
		if body, ok := m.bodies[hash]; ok {
			m.call(Call{Op: OpPutObject, Body: body}, func(Reply) { m.putBodies(hashes[i+1:], done) })
			return
		}
	}
	done()
}

func (m *Machine) writeRepaired(read headRead, next HeadRow) {
	writes := []platform.Write{{Key: headKey, Value: must(cborEncMode.Marshal(next)), Cond: read.cond}}
	if p := next.Pending; p != nil {
		pending := Result{ID: p.Head.ID, State: StatePending, Base: next.Head.Version, Hash: p.Head.Hash}
		writes = append(writes, platform.Write{Key: changePrefix + p.Head.ID, Value: must(cborEncMode.Marshal(pending))})
	}
	start := m.now
	m.call(Call{Op: OpCommit, Writes: writes}, func(r Reply) {
		m.repair.running = false
		if r.Err != nil {
			return // the next read shows whether another node was faster
		}
		m.repair.due = false
		m.updateRow(next, m.cfg.Address)
		m.updateFreshness(next.id(), start)
		m.emit(Event{Kind: EventHeadRestored, Version: next.Head.Version, Head: next.Head})
		m.restoreResults(next)
		if next.Pending != nil {
			m.coordinateRepaired(next, platform.Condition{Version: r.Versions[0]})
		}
	})
}

// coordinateRepaired goes on with the proposal in a row that this node has written.
func (m *Machine) coordinateRepaired(row HeadRow, cond platform.Condition) {
	id := row.Pending.Head.ID
	c := m.changes[id]
	if c == nil || c.stage == stageSettled {
		c = newChange(m, Change{ID: id}, true)
		m.changes[id] = c
	}
	m.emit(Event{Kind: EventTakenOver, Head: row.Pending.Head})
	c.roster, c.cond, c.readEpoch = nil, cond, row.StoreEpoch
	c.coordinate(row)
}

// restoreResults writes the result of the accepted version again if the platform has lost it.
func (m *Machine) restoreResults(row HeadRow) {
	if row.Head.Version == 0 {
		return
	}
	if c := m.changes[row.Head.ID]; c != nil {
		return // restoreResult does it
	}
	c := newChange(m, Change{ID: row.Head.ID}, true)
	c.stage, c.settledAt, c.result = stageSettled, m.now, acceptedResult(row.Head)
	m.changes[row.Head.ID] = c
}

// restoreResult writes the result of a settled change again after the platform was restored, unless its row has a definite result.
func (c *change) restoreResult() {
	m := c.m
	if c.stage != stageSettled || c.storedEpoch >= m.storeEpoch || c.callRunning || m.now < c.nextCallAt ||
		!c.result.Definite() || c.result.Reason == ReasonIDReused {
		return
	}
	epoch := m.storeEpoch
	c.callRunning = true
	m.call(Call{Op: OpGet, Key: c.rowKey()}, func(r Reply) {
		cond := platform.Condition{Version: r.Row.Version}
		switch res, err := decodeResult(r.Row.Value); {
		case errors.Is(r.Err, platform.ErrNotFound):
			cond = platform.Condition{Absent: true}
		case r.Err != nil || err != nil:
			c.callRunning = false
			c.delayCall(callRetryDelay)
			return
		case res.Definite():
			c.callRunning, c.storedEpoch = false, max(c.storedEpoch, epoch)
			return
		}
		w := platform.Write{Key: c.rowKey(), Value: must(cborEncMode.Marshal(c.result)), Cond: cond}
		m.call(Call{Op: OpCommit, Writes: append([]platform.Write{w}, c.resultRows(c.result)...)}, func(Reply) {
			c.callRunning = false // the next read shows whether the write took effect
			c.delayCall(callRetryDelay)
		})
	})
}

// settleOrphan settles a change whose row says that it is pending, while the head row holds no such proposal. If it was settled in
// the meantime, its row has another version, and the write has no effect. Otherwise the platform has lost the result, or the
// proposal.
func (c *change) settleOrphan() {
	next := HeadRow{Seq: c.row.Seq + 1, Head: c.row.Head, Pending: c.row.Pending, Sizes: c.row.Sizes, StoreEpoch: c.readEpoch}
	other := c.row.Head
	res := Result{
		ID: c.spec.ID, State: StateRefused, Reason: ReasonBaseChanged, Base: c.spec.Base, Author: c.spec.Author, Comment: c.spec.Comment,
		Other: &other,
	}
	if h, ok := c.m.recall(c.spec.ID); ok {
		res = acceptedResult(h)
	}
	c.commit(next, res, platform.Condition{Version: c.changeRow}, func(err error) {
		if err == nil {
			c.m.updateRow(next, "")
			c.settle(res)
			return
		}
		c.stage = stageStart
		c.callFailed()
	})
}

// remember adds a decided version to the history.
func (m *Machine) remember(h VersionInfo) {
	m.history = append(m.history, h)
	if len(m.history) > historySize {
		m.history = m.history[1:]
	}
}

// recall returns the decided version that a change made, if this node remembers it.
func (m *Machine) recall(id string) (VersionInfo, bool) {
	for _, h := range m.history {
		if h.ID == id {
			return h, true
		}
	}
	return VersionInfo{}, false
}
