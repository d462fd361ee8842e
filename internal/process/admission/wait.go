package admission

import (
	"context"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// enqueue adds a request to the queue, unless its expected wait is too long or makes it miss its deadline. If the queue
// is full, the request displaces the least important waiter or is refused.
func (c *Controller) enqueue(ctx context.Context, now time.Duration, w Work) (*waiter, message.Reason) {
	wt := &waiter{ctx: ctx, work: w, ready: make(chan struct{})}
	at := c.queue.position(wt)
	wait := c.expectedWait(at, w)
	if wait > c.maxWait(now, w) {
		c.meter.queueRefusals++
		return nil, message.ReasonOverload
	}
	if !c.meetsDeadline(now, wait, w) {
		c.meter.queueRefusals++
		return nil, message.ReasonDeadline
	}
	if c.queue.competing(w) >= c.maxLength(w) {
		c.meter.queueRefusals++
		leastImportant := c.queue.leastImportant(w)
		if leastImportant < 0 || !c.queue.displaces(w, c.queue.items[leastImportant]) {
			return nil, message.ReasonOverload
		}
		displaced := c.queue.remove(leastImportant)
		invariant.Check(invariant.ShedOrder, c.queue.displaces(w, displaced),
			"work of priority %d was displaced by work of %d", displaced.work.Priority, w.Priority)
		c.refuseWaiter(displaced, message.ReasonOverload)
		at = c.queue.position(wt)
	}
	c.queue.insert(at, wt)
	return wt, message.ReasonNone
}

// expectedWait estimates the wait of a request at a position of the queue. New requests behind sub-requests have a
// share of the slots to themselves.
func (c *Controller) expectedWait(at int, w Work) time.Duration {
	wait := time.Duration(at+1) * c.latency.mean / time.Duration(c.sustained())
	if c.rateLimited() {
		wait = max(wait, time.Duration(float64(at+1)/c.rate.Rate()*float64(time.Second)))
	}
	if newSlots := c.limits.NewRequestShare * float64(c.sustained()); c.limits.SubrequestsFirst && !w.Subrequest && newSlots > 0 {
		ahead := at - c.queue.leadingSubrequests()
		wait = min(wait, time.Duration(float64(ahead+1)/newSlots*float64(c.latency.mean)))
	}
	return wait
}

// mayWaitLonger reports whether the rank of the request is at least LongWaitRank.
func (c *Controller) mayWaitLonger(w Work) bool {
	return c.limits.LongWaitRank > 0 && w.Priority.Rank() >= c.limits.LongWaitRank
}

// maxWait returns the longest time that the request may wait in the queue.
func (c *Controller) maxWait(now time.Duration, w Work) time.Duration {
	if w.MaxWait > 0 {
		return w.MaxWait
	}
	if !c.mayWaitLonger(w) || w.Deadline.IsZero() {
		return c.limits.QueueMaxWait
	}
	remaining := w.Deadline.Sub(c.origin) - now - c.latency.mean
	return max(c.limits.QueueMaxWait, remaining/2)
}

// maxLength returns the length of the queue from which the request is refused or displaces a waiter.
func (c *Controller) maxLength(w Work) int {
	if c.mayWaitLonger(w) || c.limits.SubrequestsFirst && w.Subrequest {
		return longQueueFactor * c.queueLength()
	}
	return c.queueLength()
}

// await blocks until the waiter is granted a permit or refused, its context ends or the longest wait has passed.
func (c *Controller) await(ctx context.Context, wt *waiter, wait time.Duration) (*Permit, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-wt.ready:
	case <-ctx.Done():
		c.abandon(wt, contextReason(ctx))
	case <-timer.C:
		c.abandon(wt, message.ReasonOverload)
	}
	if wt.refusal != nil {
		return nil, wt.refusal
	}
	return wt.permit, nil
}

// abandon takes a waiter out of the queue. If a permit was granted at the same moment and the context has ended, the
// permit is returned, because nobody would run the request. A permit granted as the longest wait passes is kept.
func (c *Controller) abandon(wt *waiter, reason message.Reason) {
	c.mu.Lock()
	now := c.advance()
	if at := c.queue.index(wt); at >= 0 {
		if reason == message.ReasonOverload {
			c.meter.queueRefusals++
		}
		c.refuseWaiter(c.queue.remove(at), reason)
	} else if wt.permit != nil && reason != message.ReasonOverload {
		wt.permit.released.Store(true)
		c.releaseSlot(wt.permit)
		wt.permit, wt.refusal = nil, c.refusal(reason)
		c.dispatch(now)
	}
	c.publish()
	c.mu.Unlock()
}

func (c *Controller) refuseWaiter(wt *waiter, reason message.Reason) {
	wt.refusal = c.refusal(reason)
	close(wt.ready)
}

// grant takes a slot for the request.
func (c *Controller) grant(w Work) *Permit {
	c.inFlight++
	if !w.Subrequest {
		c.newInFlight++
	}
	invariant.Check(invariant.InFlightBounded, c.inFlight <= c.limits.maxInFlight(),
		"%d requests in flight, %d allowed", c.inFlight, c.limits.maxInFlight())
	invariant.Check(invariant.LeavingRefuses, !c.leaving, "work admitted after leaving")
	return &Permit{c: c, subrequest: w.Subrequest}
}

// releaseSlot frees the slot of a permit.
func (c *Controller) releaseSlot(p *Permit) {
	c.inFlight--
	if !p.subrequest {
		c.newInFlight--
	}
}

// nextToDispatch returns the position of the waiter that gets the next free slot: the first one, or the first new
// request while new requests have less than their share of the slots.
func (c *Controller) nextToDispatch() int {
	if !c.limits.SubrequestsFirst || float64(c.newInFlight) >= c.limits.NewRequestShare*float64(c.sustained()) {
		return 0
	}
	return max(0, c.queue.firstNewRequest())
}

// dispatch grants free slots to waiters.
func (c *Controller) dispatch(now time.Duration) {
	for c.inFlight < c.limit && c.queue.len() > 0 && c.rateWait() == 0 {
		wt := c.queue.remove(c.nextToDispatch())
		if reason := contextReason(wt.ctx); reason != message.ReasonNone {
			c.refuseWaiter(wt, reason)
			continue
		}
		if !c.meetsDeadline(now, 0, wt.work) {
			c.meter.queueRefusals++
			c.refuseWaiter(wt, message.ReasonDeadline)
			continue
		}
		if !c.takeRate() { // the limit was lowered just now
			c.queue.insert(c.queue.position(wt), wt)
			break
		}
		wt.permit = c.grant(wt.work)
		close(wt.ready)
	}
	c.scheduleRate()
}
