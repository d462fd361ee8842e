package engine

import (
	"context"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// call is one call from this node to a service, with all its attempts.
type call struct {
	req    *message.Request
	policy *policy.Policy
	svc    *policy.Service
	route  *policy.Route
	parent *running      // the request running at the local target that makes the call; nil for a caller's request
	ledger *retry.Ledger // set before processCall
}

// Each hop forwards a slightly earlier deadline, so that the response of the next hop arrives before this hop's own
// deadline.
const (
	deadlineMargin      = 10 * time.Millisecond
	deadlineMarginShare = 20 // the margin is at most 1/20 of the time left
)

// processCall answers the call from a recorded response, sheds it, or executes it.
func (e *Engine) processCall(ctx context.Context, c *call) *message.Response {
	ctx, cancel := context.WithDeadline(ctx, c.req.Deadline)
	defer cancel()
	if r := e.recordedResponse(ctx, c.req); r != nil {
		return r
	}
	if ok, blocking, after := e.cfg.Shedder.Admit(c.req.Service, c.route.Name, c.shedPriority()); !ok {
		r := e.refuse(message.ReasonOverload, message.StepShed, "service %q sheds priority %d", blocking, c.req.Priority)
		r.RetryAfter = after
		return r
	}
	if c.route.Idempotent {
		return e.attempts(ctx, c)
	}
	return e.processKeyedCall(ctx, c)
}

// shedPriority returns the priority that is compared with shedding thresholds. At the entry node, the first node on a request's
// path, a threshold may shed a part of the requests of a rank (see message.Priority). That part is an estimate: the targets of
// the next hop often have room in their queues for the requests that are shed. Behind the entry node, a target has already worked
// on the root request and its work would be lost, so there a threshold sheds whole ranks only.
func (c *call) shedPriority() message.Priority {
	if c.req.Hop > 0 {
		return c.req.Priority.TopOfRank()
	}
	return c.req.Priority
}

// attempts tries targets until one answers, the retries are used up, or a retry is of no use or could run a request twice that
// must not run twice.
func (e *Engine) attempts(ctx context.Context, c *call) *message.Response {
	bucket := e.buckets.get(c.svc.Name, c.policy.Retry.Ratio)
	bucket.Earn()
	var exclude []string
	mayHaveRun := false
	var last *message.Response
	for {
		invariant.Check(invariant.SingleExecution, c.route.Idempotent || !mayHaveRun,
			"request %s of route %q may have run and is tried again", c.req.ID, c.route.Name)
		r, address := e.attempt(ctx, c, exclude)
		if address == "" && last != nil {
			c.ledger.GiveBack()
			bucket.GiveBack()
			return finalResponse(last, mayHaveRun) // more specific than "no target left"
		}
		mayHaveRun = mayHaveRun || r.Outcome == message.Unknown
		if r.Outcome == message.Answered || !retryable(ctx, c, r) || !takeRetry(c.ledger, bucket) {
			return finalResponse(r, mayHaveRun)
		}
		exclude = append(exclude, address)
		last = r
	}
}

// takeRetry takes one retry from the request's ledger and one from the service's bucket, or neither.
func takeRetry(l *retry.Ledger, b *retry.Bucket) bool {
	if !l.Take() {
		return false
	}
	if !b.Take() {
		l.GiveBack()
		return false
	}
	return true
}

// retryable reports whether another attempt could succeed and cannot run the request twice.
func retryable(ctx context.Context, c *call, r *message.Response) bool {
	if ctx.Err() != nil {
		return false
	}
	switch r.Outcome {
	case message.NotRun:
		return r.Reason == message.ReasonConnection || r.Reason == message.ReasonLeaving ||
			r.Reason == message.ReasonUnconfirmed || r.Reason == message.ReasonOverload ||
			r.Reason == message.ReasonTargetUnable
	case message.Unknown:
		return c.route.Idempotent && r.Reason == message.ReasonConnection
	default:
		return false
	}
}

// finalResponse corrects the last response by the earlier attempts: if one of them may have run, the outcome is Unknown
// instead of NotRun.
func finalResponse(r *message.Response, mayHaveRun bool) *message.Response {
	if mayHaveRun && r.Outcome == message.NotRun {
		r.Outcome = message.Unknown
	}
	return r
}

// attempt makes one attempt and returns its response and the address it was sent to, which is empty if no target was
// available.
func (e *Engine) attempt(ctx context.Context, c *call, exclude []string) (*message.Response, string) {
	picker, ok := e.cfg.Pickers.Picker(c.svc.Name)
	if !ok {
		return e.refuse(message.ReasonNoTarget, message.StepPick, "service %q has no target", c.svc.Name), ""
	}
	address, done, ok := picker.Pick(exclude)
	if !ok {
		return e.refuse(message.ReasonNoTarget, message.StepPick, "service %q has no target left", c.svc.Name), ""
	}
	share := c.ledger.HandDown()
	down := *c.req
	down.Retries = share.Size()
	down.Mode = message.ModeDeliver
	if left := time.Until(down.Deadline); left > 0 {
		down.Deadline = down.Deadline.Add(-min(deadlineMargin, left/deadlineMarginShare))
	}
	start := time.Now()
	r := e.send(ctx, address, &down)
	done(time.Since(start), r)
	settleShare(share, r)
	invariant.CheckErr(invariant.RetryConservation, c.ledger.Check())
	e.learnThresholds(c, r)
	return r, address
}

// send forwards the request to the target's node, which may be this node.
func (e *Engine) send(ctx context.Context, address string, req *message.Request) *message.Response {
	if address == e.cfg.Address {
		return e.Deliver(ctx, req)
	}
	return e.cfg.Peers.Send(ctx, address, req)
}

// settleShare returns the unused retries of an attempt to the ledger. A response that this node generated because the real
// one was lost carries no count, so its share counts as used. A request that was not run has used no retries, unless its
// target made calls before it declined the request.
func settleShare(share *retry.Share, r *message.Response) {
	switch {
	case r.Outcome == message.NotRun && r.Reason != message.ReasonDeclined:
		share.Return(share.Size())
	case r.Outcome == message.Answered, r.Outcome == message.NotRun:
		share.Return(r.RetriesLeft)
	default:
		share.Forfeit()
	}
}

// learnThresholds records the thresholds of downstream services, and adds them to those that are reported upstream with the
// response of the parent request.
func (e *Engine) learnThresholds(c *call, r *message.Response) {
	if len(r.Thresholds) == 0 {
		return
	}
	e.cfg.Shedder.Learn(c.svc.Name, c.route.Name, r.Thresholds)
	if c.parent != nil {
		c.parent.downstream.Learn(r.Thresholds)
	}
}
