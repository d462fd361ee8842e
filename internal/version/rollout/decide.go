package rollout

import (
	"errors"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

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
				r.Rejected = append(r.Rejected, Rejection{v.Address, a.nack})
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
	m.emit(Event{Kind: EventRolledForward, Version: m.chosen.Version, Head: m.chosen})
	m.decide(m.chosen, "")
	m.settleState()
}
