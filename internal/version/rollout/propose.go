package rollout

import (
	"errors"
	"slices"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// readChange reads the row of the change, which tells whether it is settled, proposed or unknown to the platform.
func (c *change) readChange() {
	c.call(Call{Op: OpGet, Key: changePrefix + c.spec.ID}, func(r Reply) {
		if errors.Is(r.Err, platform.ErrNotFound) {
			c.changeNotFound()
			return
		}
		c.changeRow = r.Row.Version
		res, err := decodeResult(r.Row.Value)
		if r.Err != nil || err != nil {
			c.callFailed()
			return
		}
		switch {
		case res.Definite():
			c.settle(res)
		case c.takeoverBallot != 0:
			c.stage = stageTakeover
		case c.stage == stageStart:
			c.stage = stageFollow
			c.delayCall(followInterval)
		case c.m.now-max(c.startedAt, c.m.ballotSince) >= followTimeout:
			c.stage = stageTakeover
		default:
			c.delayCall(followInterval)
		}
	})
}

func (c *change) changeNotFound() {
	if h, ok := c.m.recall(c.spec.ID); ok {
		c.writeChange(acceptedResult(h)) // the platform has lost the row
		return
	}
	if c.m.repair.due {
		c.callFailed() // the change may be pending in the row that the platform has lost
		return
	}
	if !c.statusOnly {
		c.stage = stageStore
		return
	}
	res := Result{ID: c.spec.ID, State: StateRefused, Reason: ReasonNeverProposed}
	c.writeChange(res)
}

// settle ends the change with the result that the platform holds.
func (c *change) settle(res Result) {
	if !c.statusOnly && res.Hash != "" && res.Hash != c.hash {
		res = Result{ID: res.ID, State: StateRefused, Reason: ReasonIDReused, Other: &VersionInfo{
			Version: res.Version, Hash: res.Hash, ID: res.ID, Author: res.Author, Comment: res.Comment,
		}}
	}
	c.stage, c.settledAt, c.result, c.storedEpoch = stageSettled, c.m.now, res, c.m.storeEpoch
	c.m.emit(Event{Kind: EventSettled, Result: res})
}

// writeChange settles a change that was not proposed. The write fails if the change has a row by now.
func (c *change) writeChange(res Result) {
	w := platform.Write{
		Key: changePrefix + c.spec.ID, Value: must(cborEncMode.Marshal(res)), Cond: platform.Condition{Absent: true},
	}
	c.call(Call{Op: OpCommit, Writes: append([]platform.Write{w}, c.resultRows(res)...)}, func(r Reply) {
		if r.Err == nil {
			c.settle(res)
			return
		}
		c.stage = stageStart // read back
		c.callFailed()
	})
}

// storeObjects stores the body, and then the roster. Both writes are idempotent.
func (c *change) storeObjects() {
	if c.roster == nil {
		c.roster = slices.Clone(c.m.roster)
		body := encodeRoster(c.roster)
		c.rosterID = Hash(body)
		c.m.storeBody(c.rosterID, body)
	}
	body := c.spec.Body
	if c.bodyStored {
		body = encodeRoster(c.roster)
	}
	c.call(Call{Op: OpPutObject, Body: body}, func(r Reply) {
		switch {
		case r.Err == nil:
			c.objectStored()
		case errors.Is(r.Err, platform.ErrInDoubt):
			c.call(Call{Op: OpGetObject, Key: Hash(body)}, func(r Reply) {
				if r.Err != nil {
					c.callFailed()
					return
				}
				c.objectStored()
			})
		default:
			c.callFailed()
		}
	})
}

func (c *change) objectStored() {
	if c.bodyStored {
		c.stage = stagePropose
	}
	c.bodyStored = true
}

func (c *change) readHead(then func()) {
	start := c.m.now
	c.call(Call{Op: OpGet, Key: headKey}, func(r Reply) {
		read, err := c.m.headRead(r, start)
		if err != nil || read.lost {
			c.callFailed()
			return
		}
		c.row, c.cond, c.readEpoch = read.row, read.cond, read.epoch
		then()
	})
}

func (c *change) rowKey() string { return changePrefix + c.spec.ID }

// propose writes the proposal. If another change is pending, or the accepted version is not the base of this change any more,
// it writes the refusal.
func (c *change) propose() {
	res := Result{
		ID: c.spec.ID, State: StateRefused, Base: c.spec.Base, Hash: c.hash, Author: c.spec.Author, Comment: c.spec.Comment,
		Changed: c.changedFiles(),
	}
	if p := c.row.Pending; p != nil {
		if p.Head.ID == c.spec.ID {
			c.stage = stageStart
			if p.Coordinator == c.m.cfg.Address && p.Epoch == c.m.cfg.Epoch {
				c.coordinate(c.row)
			}
			return
		}
		res.Reason, res.Other = ReasonOtherChangePending, &p.Head
		c.writeChange(res)
		return
	}
	if c.row.Head.Version != c.spec.Base || c.spec.BaseHash != "" && c.spec.BaseHash != c.row.Head.Hash {
		other := c.row.Head
		res.Reason, res.Other = ReasonBaseChanged, &other
		c.writeChange(res)
		return
	}
	next := c.row
	next.Seq++
	next.StoreEpoch = c.readEpoch
	next.Pending = &Pending{
		Head: VersionInfo{
			Version: c.row.Head.Version + 1, Hash: c.hash, ID: c.spec.ID, StoreEpoch: c.readEpoch,
			Author: c.spec.Author, Comment: c.spec.Comment, Changed: res.Changed,
		},
		Ballot: 1, Coordinator: c.m.cfg.Address, Epoch: c.m.cfg.Epoch, FirstSeq: next.Seq, Roster: c.rosterID,
		Sizes: c.roster.sizes().next(c.row.Sizes, c.m.now-c.m.started),
	}
	res.State = StatePending
	c.proposalWritten = true
	c.commit(next, res, platform.Condition{Absent: true}, func(err error) {
		if err == nil {
			c.coordinate(next)
			return
		}
		c.readBackBallot(next)
	})
}

func (c *change) changedFiles() []string {
	old, err := DecodeBundle(c.m.bodies[c.m.decided.Hash])
	if err != nil && c.spec.Base > 0 {
		return nil
	}
	b, err := DecodeBundle(c.spec.Body)
	if err != nil {
		return nil
	}
	return old.ChangedFiles(b)
}

// commit writes the head row and the change row together.
func (c *change) commit(next HeadRow, res Result, cond platform.Condition, done func(error)) {
	writes := []platform.Write{
		{Key: headKey, Value: must(cborEncMode.Marshal(next)), Cond: c.cond},
		{Key: c.rowKey(), Value: must(cborEncMode.Marshal(res)), Cond: cond},
	}
	c.call(Call{Op: OpCommit, Writes: append(writes, c.resultRows(res)...)}, func(r Reply) {
		if r.Err == nil {
			c.cond = platform.Condition{Version: r.Versions[0]}
		}
		done(r.Err)
	})
}

// resultRows returns the rows that Config.Record adds to a definite result. The transaction takes effect once, so they are
// written once.
func (c *change) resultRows(res Result) []platform.Write {
	if c.m.cfg.Record == nil || !res.Definite() {
		return nil
	}
	return c.m.cfg.Record(res)
}

// readBackBallot reads the head row after the write of a ballot failed or its outcome stayed unknown, to find out whether
// this node holds the ballot.
func (c *change) readBackBallot(want HeadRow) {
	c.readHead(func() {
		p := c.row.Pending
		if p != nil && p.Head.ID == c.spec.ID && p.Ballot == want.Pending.Ballot && p.Epoch == c.m.cfg.Epoch &&
			p.Coordinator == c.m.cfg.Address {
			c.coordinate(c.row)
			return
		}
		c.stage, c.proposalWritten = stageStart, false
		c.delayCall(callRetryDelay)
	})
}

// coordinate begins to collect answers for the ballot in the row, which this node holds.
func (c *change) coordinate(row HeadRow) {
	c.row, c.takeover = row, row.Pending.Ballot > 1
	c.acceptanceWritten, c.locking, c.didRollForward, c.rosterLost = false, false, false, false // left by an earlier ballot
	c.hash, c.rosterID = row.Pending.Head.Hash, row.Pending.Roster
	c.spec.Base, c.spec.Author, c.spec.Comment = row.Head.Version, row.Pending.Head.Author, row.Pending.Head.Comment
	c.stage, c.collectingSince, c.askRounds, c.lastAskAt = stageCollect, c.m.now, 0, c.m.now-askInterval
	c.nextHoldAt = c.m.now + firstHoldDelay
	if c.takeover {
		c.nextHoldAt = c.m.now
	}
	clear(c.memberStates)
	c.m.updateRow(row, "")
	c.m.requestBody(c.hash, row.Pending.Coordinator)
	c.collect()
}

// writeTakeover writes the next ballot of a change that its coordinator does not settle.
func (c *change) writeTakeover() {
	p := c.row.Pending
	if p == nil || p.Head.ID != c.spec.ID {
		c.settleOrphan()
		return
	}
	if c.takeoverBallot != 0 && c.takeoverBallot != p.Ballot {
		c.takeoverBallot, c.stage = 0, stageFollow // another node was faster
		c.delayCall(followInterval)
		return
	}
	c.takeoverBallot = 0
	next := c.row
	taken := *p
	taken.Ballot++
	taken.Coordinator, taken.Epoch = c.m.cfg.Address, c.m.cfg.Epoch
	next.Seq++
	next.StoreEpoch = c.readEpoch
	next.Pending = &taken
	c.roster, c.rosterID = nil, p.Roster
	res := Result{ID: c.spec.ID, State: StatePending, Base: c.row.Head.Version, Hash: p.Head.Hash}
	c.commit(next, res, platform.Condition{}, func(err error) {
		if err == nil {
			c.m.emit(Event{Kind: EventTakenOver, Head: taken.Head})
			c.coordinate(next)
			return
		}
		c.readBackBallot(next)
	})
}
