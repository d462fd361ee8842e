package rollout

import (
	"errors"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// decide accepts or refuses the change, or leaves it open until more answers arrive.
func (c *change) decide() {
	var awaited, locked, rejected int
	for _, v := range c.askedMembers() {
		a := c.memberStates[v.Address]
		switch {
		case a != nil && a.locked:
			locked++
		case a != nil && a.rejection != "":
			rejected++
		}
		if c.unacknowledged(v.Address) && !c.silent(v.Address) {
			awaited++
		}
	}
	overdue := c.m.now-c.collectingSince > ackDeadline
	blocked := c.askedMembers().hasBlockingMajority(c.row.Pending.Sizes, true, c.unacknowledged)
	switch {
	case locked > 0 && !blocked:
		c.accept() // an earlier coordinator may have rolled forward
	case rejected > 0 && c.canRefuse():
		c.refuse(ReasonRejected)
	case !blocked && awaited == 0:
		c.accept()
	case overdue && c.canRefuse():
		c.refuse(ReasonUnreached)
	case c.takeover && overdue && !blocked:
		c.accept() // cannot be refused, as an earlier coordinator may have rolled forward
	}
}

// canRefuse reports whether no coordinator can have rolled the change forward, nor can do so later. In the first ballot,
// only this coordinator could, and it does so only after it tried to write the acceptance. After a takeover, an earlier
// coordinator could. A roll-forward needs the locks of so many members that those without a lock are no blocking majority.
// So it is excluded if a blocking majority has answered this ballot, and so ignores lower ones, and has not locked the
// change: the member has been up without a lock since before the proposal (clean), or rejects the body.
func (c *change) canRefuse() bool {
	if c.rosterLost {
		return false // locks of earlier ballots may come from other members
	}
	if !c.takeover {
		return !c.acceptanceWritten
	}
	return c.askedMembers().hasBlockingMajority(c.row.Pending.Sizes, false, func(address string) bool {
		a := c.memberStates[address]
		return a != nil && !a.locked && (a.clean || a.rejection != "")
	})
}

func (c *change) accept() {
	c.stage = stageAccept
	c.nextCallAt = c.m.now
	c.step()
}

func (c *change) refuse(why Reason) {
	c.result = Result{
		ID: c.spec.ID, State: StateRefused, Reason: why, Base: c.row.Head.Version, Hash: c.hash,
		Author: c.spec.Author, Comment: c.spec.Comment, Changed: c.row.Pending.Head.Changed,
	}
	c.listFailures(&c.result)
	c.stage = stageRefuse
	c.nextCallAt = c.m.now
	c.step()
}

func (c *change) listFailures(r *Result) {
	if !c.holdsBallot() {
		return
	}
	for _, v := range c.askedMembers() {
		a := c.memberStates[v.Address]
		switch {
		case a != nil && a.rejection != "":
			r.RejectedCount++
			if len(r.Rejected) < maxNamedNodes {
				r.Rejected = append(r.Rejected, Rejection{v.Address, a.rejection})
			}
		case a == nil || !a.ok:
			r.UnreachedCount++
			if len(r.Unreached) < maxNamedNodes {
				r.Unreached = append(r.Unreached, v.Address)
			}
		}
	}
}

// writeAccept writes the acceptance. While its outcome is unknown, the coordinator asks for locks to roll forward.
func (c *change) writeAccept() {
	next := HeadRow{Seq: c.row.Seq + 1, Head: c.row.Pending.Head, Sizes: c.row.Pending.Sizes, StoreEpoch: c.row.StoreEpoch}
	h := next.Head
	res := Result{
		ID: h.ID, State: StateAccepted, Base: c.row.Head.Version, Version: h.Version, Hash: h.Hash,
		Author: h.Author, Comment: h.Comment, Changed: h.Changed,
	}
	c.listFailures(&res)
	c.acceptanceWritten = true
	start := c.m.now
	c.commit(next, res, platform.Condition{}, func(err error) { c.decisionWritten(next, res, start, err) })
}

func (c *change) writeRefuse() {
	next := HeadRow{Seq: c.row.Seq + 1, Head: c.row.Head, Sizes: c.row.Sizes, StoreEpoch: c.row.StoreEpoch}
	res := c.result
	start := c.m.now
	c.commit(next, res, platform.Condition{}, func(err error) { c.decisionWritten(next, res, start, err) })
}

// decisionWritten handles the result of writing the acceptance or refusal.
func (c *change) decisionWritten(next HeadRow, res Result, start Time, err error) {
	if err == nil {
		c.m.updateRow(next, c.m.cfg.Address)
		c.m.updateFreshness(next.id(), start)
		c.settle(res)
		return
	}
	if c.stage == stageAccept && !c.locking && !errors.Is(err, platform.ErrConflict) {
		c.locking, c.lastAskAt = true, c.m.now-askInterval
	}
	c.readBackDecision()
}

// readBackDecision reads the head row after a failed write, to find out whether the write took effect or another
// coordinator was faster.
func (c *change) readBackDecision() {
	c.delayCall(callRetryDelay)
	if c.stage == stageFollow {
		return
	}
	start := c.m.now
	c.call(Call{Op: OpGet, Key: headKey}, func(r Reply) {
		read, err := c.m.headRead(r, start)
		if err != nil || read.lost { // a lost row is written again, with a higher ballot, by a node that polls
			c.delayCall(callRetryDelay)
			return
		}
		if !c.holdsBallot() {
			return
		}
		if !c.row.Pending.sameBallot(read.row.Pending) {
			c.superseded()
			return
		}
		c.row, c.cond = read.row, read.cond
		c.nextCallAt = c.m.now
	})
}

// rollForward decides for the proposed version without the platform. It waits until so many members hold locks that no
// later coordinator may refuse. It also waits until each member that was asked, and holds no lock, can no longer use
// platform evidence for the old version: Config.Bound after the last ask for an acknowledgement, and holdValidity after the
// last hold. The first also covers a member whose acknowledgement was lost on the way.
func (c *change) rollForward() {
	m := c.m
	unlocked := func(address string) bool { a := c.memberStates[address]; return a == nil || !a.locked }
	if c.roster.hasBlockingMajority(c.row.Pending.Sizes, true, unlocked) {
		return
	}
	for _, v := range c.askedMembers() {
		a := c.memberStates[v.Address]
		if a == nil || a.locked {
			continue
		}
		if m.now-a.askedAt <= m.cfg.Bound+holdMargin || a.heldAt > 0 && m.now-a.heldAt <= holdValidity+holdMargin {
			return
		}
	}
	c.didRollForward = true
	m.rolledForward = c.row.Pending.Head
	m.emit(Event{Kind: EventRolledForward, Version: m.rolledForward.Version, Head: m.rolledForward})
	m.recordDecided(m.rolledForward, "")
	m.applyDecided()
}
