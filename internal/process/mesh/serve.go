package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// maxOffers bounds the number of nodes to which one request is offered. A refusal by a node costs a hop but no work of a
	// target.
	maxOffers = 4
	// maxOverloadRefusals is the number of refusals by full targets after which a request is refused: further offers would add
	// to the overload.
	maxOverloadRefusals = 2
	// minRetryAfter and retryAfterSpread give the time after which a refused request may be retried: long enough for a queue to
	// advance and for a starting node to find targets, which takes about a second; short compared with the callers' time-outs;
	// and random, so that refused requests do not return together. Most callers retry once.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterSpread = 900 * time.Millisecond
	// minShortRetryAfter and shortRetryAfterSpread apply if the target takes no work: the request then only has to wait until
	// the change of targets is known.
	minShortRetryAfter    = 100 * time.Millisecond
	shortRetryAfterSpread = 200 * time.Millisecond
)

const (
	// minRetryAfterShare and maxRetryAfterShare bound the retry-after time of a caller that was refused in an overload, as shares
	// of the objective of its route: an answer after the objective is worth little, and the run itself takes time too.
	minRetryAfterShare = 0.1
	maxRetryAfterShare = 0.4
)

// retryAfterWithinObjective returns a random retry-after time that leaves time to answer within the objective of the route. If
// the route has none, it returns the given time.
func (c *call) retryAfterWithinObjective(after time.Duration) time.Duration {
	if c.route.Objective <= 0 {
		return after
	}
	return time.Duration((minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*rand.Float64()) * float64(c.route.Objective))
}

func randomRetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterSpread) }

func shortRetryAfter() time.Duration { return minShortRetryAfter + rand.N(shortRetryAfterSpread) }

// call is a request that this node forwards, with all its attempts.
type call struct {
	req              *message.Request
	route            *routing.Route
	parent           *run // run that made the call; nil for a new request
	service          string
	arrivals         int // attempts that reached a target, or may have
	overloadRefusals int // attempts that were refused because of overload
	tried            []string

	last          *message.Response // of the latest attempt
	targetFailure *message.Response // latest answer with a failure of the target itself
	mayHaveRun    bool              // an attempt may have run, but no answer came
	queueTime     time.Duration     // time for which all attempts and their calls waited for slots
}

// record adds the response of an attempt.
func (c *call) record(r *message.Response) {
	c.last = r
	c.queueTime += r.Waited
	c.mayHaveRun = c.mayHaveRun || r.Outcome == message.Unknown
	if mayHaveArrived(r) {
		c.arrivals++
	}
	if r.Reason == message.ReasonOverload {
		c.overloadRefusals++
	}
	if failedByItself(r) {
		c.targetFailure = r
	}
}

// finalResponse returns the response to the request. A target's answer is preferred to the failure of a later attempt. If any
// attempt may have run, the outcome is not NotRun.
func (c *call) finalResponse() *message.Response {
	if c.targetFailure != nil && c.last.Outcome != message.Answered {
		return c.targetFailure
	}
	if c.mayHaveRun && c.last.Outcome == message.NotRun {
		c.last.Outcome = message.Unknown
	}
	return c.last
}

// mayHaveArrived reports whether an attempt reached a target, or may have. Such attempts count against the operators' retry
// bounds.
func mayHaveArrived(r *message.Response) bool {
	return r.Outcome != message.NotRun || r.Reason == message.ReasonTargetUnable
}

// Serve answers a request of a caller or of the attached target.
func (p *Proxy) Serve(ctx context.Context, req *message.Request) *message.Response {
	c, refusal := p.prepare(req)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	start := time.Now()
	r := p.shed(c)
	if r == nil {
		r = p.tryTargets(ctx, c)
	}
	if c.parent == nil && r.Outcome == message.NotRun && r.Reason == message.ReasonOverload {
		r.RetryAfter = c.retryAfterWithinObjective(r.RetryAfter)
	}
	if c.parent != nil {
		c.parent.recordCall(r, time.Since(start), c.queueTime)
	}
	return r
}

// shed refuses a request that a service of its chain would refuse, before any work is done for it, and returns nil if it may
// proceed. Calls are shed by whole ranks only: within a rank the threshold is an estimate made for new requests, and shedding a
// call wastes the work of the hops above it.
func (p *Proxy) shed(c *call) *message.Response {
	priority := c.req.Priority
	if c.parent != nil {
		priority = priority.TopOfRank()
	}
	ok, blocking, after := p.cfg.Shed.Admit(c.service, c.route.Name, priority)
	if ok {
		return nil
	}
	return p.refuse(message.ReasonOverload, message.StepShed, after, "service %q sheds priority %d", blocking, priority)
}

// learnThresholds records the thresholds of the services below and, for a call, adds them to the response of its run, which
// carries them to the hop above.
func (p *Proxy) learnThresholds(c *call, r *message.Response) {
	if len(r.Thresholds) == 0 {
		return
	}
	p.cfg.Shed.Learn(c.service, c.route.Name, r.Thresholds)
	if c.parent != nil {
		c.parent.thresholds.Learn(r.Thresholds)
	}
}

// recordCall adds a finished call to the run and its window.
func (r *run) recordCall(resp *message.Response, took, callQueueTime time.Duration) {
	switch {
	case resp.Outcome == message.NotRun:
		r.refusedCalls.Add(1)
	case resp.Outcome != message.Answered || resp.Status >= http.StatusInternalServerError:
		r.failedCalls.Add(1)
	}
	r.callQueueTime.Add(int64(callQueueTime))
	r.callServiceTime.Add(int64(max(0, took-callQueueTime)))
	if r.window != nil {
		r.window.RecordCall(took, callQueueTime, refusedForSlot(resp))
	}
}

// refusedForSlot reports whether a call was refused because no slot was free. Other refusals do not count against the window: a
// target that refuses requests although it has free slots does not recover by receiving fewer.
func refusedForSlot(r *message.Response) bool {
	return r.Outcome == message.NotRun && (r.Reason == message.ReasonOverload || r.Reason == message.ReasonDeadline)
}

// prepare finds the route of a request and sets its service, deadline, priority and the other fields that depend on the route
// or on the run that made it.
func (p *Proxy) prepare(req *message.Request) (*call, *message.Response) {
	table := p.cfg.Routes.Load()
	if table == nil {
		return nil, p.refuse(message.ReasonUnconfirmed, message.StepConfigure, randomRetryAfter(), "no configuration yet")
	}
	route, ok := table.Match(req.Host, req.Path)
	if !ok {
		return nil, p.refuse(message.ReasonNoService, message.StepConfigure, 0, "version %d has no route for %s %s", table.Version, req.Host, req.Path)
	}
	now := time.Now()
	returned := !req.Deadline.IsZero() && route.WaitedBefore(req.Deadline.Sub(req.Arrived))
	c := &call{req: req, route: route, service: route.NextService()}
	req.ID = requestID(req.Attempt)
	req.Service = c.service
	req.Idempotent = route.Idempotent
	req.Caller = p.cfg.Service
	if latest := now.Add(route.Timeout); route.Timeout > 0 && (req.Deadline.IsZero() || latest.Before(req.Deadline)) {
		req.Deadline = latest
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(defaultTimeout)
	}
	c.parent = p.activeRuns.parent(req.Attempt)
	if c.parent == nil {
		req.Priority, req.Hop = priorityOf(route, req.Attempt, returned), 0
		return c, nil
	}
	req.Priority, req.Hop = c.parent.priority, c.parent.hop+1
	if c.parent.deadline.Before(req.Deadline) {
		req.Deadline = c.parent.deadline
	}
	return c, nil
}

// defaultTimeout applies if neither the caller nor the route sets a time-out.
const defaultTimeout = 30 * time.Second

// tryTargets offers the request to one target after another until one answers, until another attempt would be unsafe or of no
// use, or until the retry budget is used up.
func (p *Proxy) tryTargets(ctx context.Context, c *call) *message.Response {
	bucket := p.bucket(c.service)
	rank := c.req.Priority.Rank()
	bucket.Earn(rank)
	tookRetry := false // the attempt has taken a retry from the budget
	for {
		r, offered := p.attempt(ctx, c)
		if !offered {
			if tookRetry {
				bucket.GiveBack()
			}
			if c.last == nil {
				return r
			}
			return c.finalResponse()
		}
		c.record(r)
		if ctx.Err() != nil || !c.shouldRetry(r) {
			return c.finalResponse()
		}
		if tookRetry = mayHaveArrived(r); tookRetry && !bucket.Take(rank) {
			return c.finalResponse()
		}
		p.logRetry(c, r)
		invariant.Check(invariant.SingleExecution, c.route.Idempotent || !c.mayHaveRun,
			"request %s may have run and is tried again", c.req.Attempt)
	}
}

// shouldRetry reports whether another attempt is safe and may succeed.
func (c *call) shouldRetry(r *message.Response) bool {
	if len(c.tried) >= maxOffers || c.arrivals >= c.route.MaxAttempts {
		return false
	}
	switch {
	case r.Outcome == message.Unknown:
		return c.route.Idempotent && r.Reason == message.ReasonConnection
	case r.Outcome == message.Answered:
		return c.route.Idempotent && failedByItself(r)
	case r.Reason == message.ReasonOverload:
		return c.overloadRefusals < maxOverloadRefusals
	default:
		return r.Reason == message.ReasonConnection || r.Reason == message.ReasonLeaving || r.Reason == message.ReasonTargetUnable
	}
}

// failedByItself reports whether the target answered with a failure that no failed call explains. A target can fail a part of
// its requests while it reports itself healthy.
func failedByItself(r *message.Response) bool {
	return r.Outcome == message.Answered && r.Status == http.StatusInternalServerError && !r.DownstreamFailed
}

// logRetry logs that a request is retried at another target.
func (p *Proxy) logRetry(c *call, r *message.Response) {
	if !p.cfg.Log.Enabled(context.Background(), event.RequestRetried.Level) {
		return
	}
	attrs := []slog.Attr{
		slog.String("id", c.req.Attempt), slog.String("service", c.service), slog.Int("sent", c.arrivals),
		slog.String("tried", c.tried[len(c.tried)-1]), slog.String("reason", r.Reason.String()), slog.Int("status", r.Status),
	}
	p.cfg.Limiter.Log(p.cfg.Log, event.RequestRetried, attrs...)
}

// attempt offers the request to one target. It reports false if there is no target left.
func (p *Proxy) attempt(ctx context.Context, c *call) (r *message.Response, offered bool) {
	picker := p.cfg.Pickers.Picker(c.service)
	if picker == nil {
		return p.refuse(message.ReasonNoTarget, message.StepPick, randomRetryAfter(), "service %q has no target", c.service), false
	}
	target, done, ok := picker.Pick(c.tried...)
	if !ok {
		return p.refuse(message.ReasonNoTarget, message.StepPick, randomRetryAfter(), "service %q has no target left", c.service), false
	}
	c.tried = append(c.tried, target.Address)
	outgoing := *c.req
	outgoing.Instance = p.cfg.Instance(target.Address)
	r = p.send(ctx, target.Address, &outgoing)
	done(targetResult(r))
	p.learnThresholds(c, r)
	if r.Reason == message.ReasonConnection && r.Err != nil && r.Err.Peer == target.Address && target.Address != p.cfg.Address {
		p.cfg.Unreachable(target.Address, r.Err)
	}
	if r.Outcome == message.NotRun && r.RetryAfter == 0 {
		r.RetryAfter = randomRetryAfter()
	}
	return r, true
}

func (p *Proxy) send(ctx context.Context, address string, req *message.Request) *message.Response {
	if address == p.cfg.Address {
		return p.Deliver(ctx, req)
	}
	return p.cfg.Peers.Send(ctx, address, req)
}

// targetResult returns what a response says about its target.
func targetResult(r *message.Response) balance.Result {
	return balance.Result{
		Failed: r.Reason == message.ReasonConnection || r.Reason == message.ReasonTargetUnable ||
			r.Outcome == message.Unknown && r.Reason == message.ReasonDeadline || failedByItself(r),
		Refused:   r.Outcome == message.NotRun && r.Reason == message.ReasonOverload,
		Leaving:   r.Outcome == message.NotRun && r.Reason == message.ReasonLeaving,
		Cancelled: r.Reason == message.ReasonCancelled,
		Load:      r.Load,
	}
}
