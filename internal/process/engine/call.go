package engine

import (
	"context"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// call is one call of a service by this node, with all its attempts.
type call struct {
	req    *message.Request
	policy *policy.Policy
	svc    *policy.Service
	route  *policy.Route
	parent *running      // the request at the own target that makes the call; nil for a caller's request
	ledger *retry.Ledger // set before route
}

// A hop passes on a slightly earlier deadline, so that the response of the hop below arrives before its own deadline.
const (
	deadlineMargin      = 10 * time.Millisecond
	deadlineMarginShare = 20 // at most one part in 20 of the time left
)

// route sheds the call or sends it on its way.
func (e *Engine) route(ctx context.Context, c *call) *message.Response {
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
	return e.routeKeyed(ctx, c)
}

// shedPriority returns the priority that counts for shedding. Behind the entry node a threshold sheds whole ranks only:
// within a rank it is an estimate for entry nodes, and a request that this node sheds after its target has worked is lost,
// although the targets of the next hop often have room for it in their queues.
func (c *call) shedPriority() message.Priority {
	if c.req.Hop > 0 {
		return c.req.Priority.TopOfRank()
	}
	return c.req.Priority
}

// attempts tries targets until one answers, the retries are used up, or going on could run the request twice.
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
			return finalResponse(last, mayHaveRun) // says more than that no target is left
		}
		mayHaveRun = mayHaveRun || r.Outcome == message.Unknown
		if r.Outcome == message.Answered || !retryable(ctx, c, r) || !takeRetry(c.ledger, bucket) {
			return finalResponse(r, mayHaveRun)
		}
		exclude = append(exclude, address)
		last = r
	}
}

// takeRetry takes a retry of the request and of its service, or neither.
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

// retryable reports whether another attempt can help and is safe.
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

// final makes the last response truthful for all attempts: if an earlier attempt may have run, so may the request.
func finalResponse(r *message.Response, mayHaveRun bool) *message.Response {
	if mayHaveRun && r.Outcome == message.NotRun {
		r.Outcome = message.Unknown
	}
	return r
}

// attempt makes one attempt and returns its response with the address that it went to.
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

// send passes the request to the target's node, which may be this one.
func (e *Engine) send(ctx context.Context, address string, req *message.Request) *message.Response {
	if address == e.cfg.Address {
		return e.Deliver(ctx, req)
	}
	return e.cfg.Peers.Send(ctx, address, req)
}

// settle takes back what a call left of its retries. A response that this node made up itself for a lost one carries
// nothing back; a request that was not run has used nothing, unless its target made calls before it declined.
func settleShare(share *retry.Share, r *message.Response) {
	switch {
	case r.Outcome == message.NotRun && r.Reason != message.ReasonDeclined:
		share.Return(share.Size())
	case r.Outcome == message.Answered, r.Outcome == message.NotRun:
		share.Return(r.RetriesLeft)
	default:
		share.Lose()
	}
}

// learn takes the thresholds of the services below and passes them on to the hop above.
func (e *Engine) learnThresholds(c *call, r *message.Response) {
	if len(r.Thresholds) == 0 {
		return
	}
	e.cfg.Shedder.Learn(c.svc.Name, c.route.Name, r.Thresholds)
	if c.parent != nil {
		c.parent.downstream.Learn(r.Thresholds)
	}
}
