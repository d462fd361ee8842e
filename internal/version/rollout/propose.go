package rollout

import (
	"errors"
	"slices"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

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
	res := Result{ID: c.spec.ID, State: StateRefused, Reason: ReasonNeverProposed}
	c.writeChange(res)
}

// settleAs ends the change with the result that the platform holds.
func (c *change) settleAs(res Result) {
	if !c.status && res.Hash != "" && res.Hash != c.hash {
		res = Result{ID: res.ID, State: StateRefused, Reason: ReasonIDReused, Other: &VersionInfo{
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
		res.Reason, res.Other = ReasonOtherChangePending, &p.Head
		c.writeChange(res)
		return
	}
	if c.row.Head.Version != c.spec.Base {
		other := c.row.Head
		res.Reason, res.Other = ReasonBaseChanged, &other
		c.writeChange(res)
		return
	}
	next := c.row
	next.Seq++
	next.Pending = &Pending{
		Head: VersionInfo{
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
	return old.ChangedFiles(b)
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
