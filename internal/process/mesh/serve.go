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
	"github.com/wigeoncleat/wigeoncleat/internal/process/responsetime"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/organisation"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// maxOffers bounds the number of nodes to which one request is offered. A refusal by a node costs a hop but no work of a
	// target.
	maxOffers = 4
	// maxOverloadRefusals is the number of targets without a free slot after whose refusals the request itself is refused:
	// further offers would add to the overload. Targets that name a limit on requests per second are not counted: their refusal
	// says nothing about the others.
	maxOverloadRefusals = 2
	// minRetryAfter and retryAfterSpread determine the retry-after time of a refused request, which is random between the minimum
	// and their sum, so that refused requests do not return together. It is long enough for a queue to advance and for a starting
	// node to find targets, which takes about a second, and short compared with the callers' time-outs. Most callers retry once.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterSpread = 900 * time.Millisecond
	// minShortRetryAfter and shortRetryAfterSpread apply if the addressed target is not attached or no longer admits requests:
	// the caller then only has to wait until its node knows the change of targets.
	minShortRetryAfter    = 100 * time.Millisecond
	shortRetryAfterSpread = 200 * time.Millisecond
)

const (
	// minRetryAfterShare and maxRetryAfterShare bound the retry-after time of a caller that was refused in an overload or by a target itself, as shares
	// of the objective of its route: a response after the objective is worth little, and the run itself takes time too.
	minRetryAfterShare = 0.1
	maxRetryAfterShare = 0.4
)

// retryAfterWithinObjective returns a random retry-after time that leaves time for a response within the objective of the route.
// If the route has none, it returns the given time.
func (f *forwardedRequest) retryAfterWithinObjective(after time.Duration) time.Duration {
	if f.route.Objective <= 0 {
		return after
	}
	return time.Duration((minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*rand.Float64()) * float64(f.route.Objective))
}

// returnsWithinObjective reports whether a caller that was refused for the reason should return within the objective of its route. A target
// that refuses a request itself may take the next one at once: it refuses a part of them, or another target has a share of the load.
func returnsWithinObjective(r message.Reason) bool {
	return r == message.ReasonOverload || r == message.ReasonTargetUnable
}

func randomRetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterSpread) }

func shortRetryAfter() time.Duration { return minShortRetryAfter + rand.N(shortRetryAfterSpread) }

// forwardedRequest is a request that this node forwards, new or a call of the attached target, with all attempts to forward it.
// An attempt is one offer of the request to one target.
type forwardedRequest struct {
	req              *message.Request
	route            *routing.Route
	parent           *run                       // run that made the call; nil for a new request
	organisation     *organisation.Organisation // of a new request with a key; nil: none
	service          string
	quotaTaken       bool          // it counts against the quota of the organisation
	arrivals         int           // attempts that reached a target, or may have
	overloadRefusals int           // attempts that were refused because of overload, see maxOverloadRefusals
	tried            []string      // addresses of the nodes to which it was offered
	returned         bool          // the caller has made an earlier attempt
	callerLeft       time.Duration // until the caller's own deadline
	callsBefore      int           // calls of the same route that the parent has made before
	unlikely         bool          // refused because its chain is unlikely to complete
	duration         responsetime.Request
	trialKey         uint64 // of a request that was held and may run once, see Picker.PickStable; zero for all others

	last          *message.Response // of the latest attempt
	targetFailure *message.Response // latest response for which failedByItself is true
	mayHaveRun    bool              // an attempt has an unknown outcome
	queueTime     time.Duration     // time for which all attempts and their calls waited for slots
}

// record adds the response of an attempt.
func (f *forwardedRequest) record(r *message.Response) {
	f.last = r
	f.queueTime += r.Waited
	f.mayHaveRun = f.mayHaveRun || r.Outcome == message.Unknown
	if mayHaveArrived(r) {
		f.arrivals++
	}
	if r.Reason == message.ReasonOverload && !r.RateLimited() {
		f.overloadRefusals++
	}
	if failedByItself(r) {
		f.targetFailure = r
	}
}

// finalResponse returns the response to the request. A failure that a target has answered is preferred to a later attempt
// without an answer. If any attempt may have run, the outcome is not NotRun.
func (f *forwardedRequest) finalResponse() *message.Response {
	if f.targetFailure != nil && f.last.Outcome != message.Answered {
		return f.targetFailure
	}
	if f.mayHaveRun && f.last.Outcome == message.NotRun {
		f.last.Outcome = message.Unknown
	}
	return f.last
}

// mayHaveArrived reports whether an attempt reached a target, or may have. Such attempts count against the operators' retry
// bounds, which limit what targets receive. They include those with ReasonTargetUnable: the target, or another instance at its
// address, has answered that it did nothing. All other refusals come from nodes, before their target receives the request.
func mayHaveArrived(r *message.Response) bool {
	return r.Outcome != message.NotRun || r.Reason == message.ReasonTargetUnable
}

// Serve answers a request of an outside caller or of the attached target, usually by forwarding it to a target of its service.
func (p *Proxy) Serve(ctx context.Context, req *message.Request) *message.Response {
	f, refusal := p.prepare(req)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	start := time.Now()
	if f.parent != nil {
		f.parent.callClock.start()
		defer f.parent.callClock.stop()
	}
	r := p.refuseUnforwardable(f)
	if r == nil {
		r = p.refuseHeld(f)
	}
	if r == nil {
		r = p.admitQuota(f)
	}
	if r == nil {
		r = p.shed(f)
	}
	if r == nil {
		r = p.refuseUnlikely(f)
	}
	if r == nil {
		p.requestTimes.Begin(f.route.Name, &f.duration)
		r = p.tryTargets(ctx, f)
		observeDuration(&f.duration, r)
		if refusedByLimit(r) {
			p.learnThresholds(f, r) // no other target had room either
		}
	}
	p.returnQuota(f, r)
	p.observeRequest(f, r, time.Since(start))
	if f.parent == nil && !f.unlikely && r.Outcome == message.NotRun && returnsWithinObjective(r.Reason) {
		r.RetryAfter = f.retryAfterWithinObjective(r.RetryAfter)
	}
	if f.parent != nil {
		f.parent.recordCall(r, time.Since(start), f.queueTime)
	}
	return r
}

// shed refuses a request that a service of its chain would refuse, before any work is done for it, and returns nil if it may
// proceed. Calls are shed by whole ranks only. Within a rank, a service sets its threshold for the demand that entry nodes send
// it, and the threshold reaches them late; shedding a call by it would waste the work of the upstream hops, although the target
// often has room for the call in its queue.
func (p *Proxy) shed(f *forwardedRequest) *message.Response {
	priority := f.req.Priority
	if f.parent != nil {
		priority = priority.TopOfRank()
	}
	ok, blocking, after := p.cfg.Shed.Admit(f.service, f.route.Name, priority)
	if ok {
		return nil
	}
	return p.refuse(message.ReasonOverload, message.StepShed, after, "service %q sheds priority %d", blocking, priority)
}

// learnThresholds records the shedding thresholds of downstream services that a response carries. For a call, it also adds them
// to the response of the run that made it, which carries them to the upstream hop.
func (p *Proxy) learnThresholds(f *forwardedRequest, r *message.Response) {
	if len(r.Thresholds) == 0 {
		return
	}
	p.cfg.Shed.Learn(f.service, f.route.Name, r.Thresholds)
	if f.parent != nil {
		f.parent.thresholds.Learn(r.Thresholds)
	}
}

// recordCall adds a finished call to the measurements of the run that made it and of the window of that run.
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

// refusedForSlot reports whether a call was refused because no slot was free in time. This includes ReasonDeadline: the call would
// have waited for a slot beyond its deadline. Other refusals do not count against the window: a target that refuses requests
// although it has free slots does not recover by receiving fewer.
func refusedForSlot(r *message.Response) bool {
	return r.Outcome == message.NotRun && (r.Reason == message.ReasonOverload || r.Reason == message.ReasonDeadline)
}

// prepare finds the route of a request and sets its service, deadline, priority and the other fields that depend on the route
// or on the run that made it.
func (p *Proxy) prepare(req *message.Request) (*forwardedRequest, *message.Response) {
	key := req.OrganisationKey
	req.OrganisationKey = ""
	table := p.cfg.Routes.Load()
	if table == nil {
		return nil, p.refuse(message.ReasonUnconfirmed, message.StepConfigure, randomRetryAfter(), "no configuration yet")
	}
	route, ok := table.Match(req.Host, req.Path)
	if !ok {
		return nil, p.refuse(message.ReasonNoService, message.StepConfigure, 0, "version %d has no route for %s %s", table.Version, req.Host, req.Path)
	}
	f := &forwardedRequest{req: req, route: route}
	if refusal := p.identify(table, f, key); refusal != nil {
		return nil, refusal
	}
	now := time.Now()
	returned := !req.Deadline.IsZero() && route.WaitedBefore(req.Deadline.Sub(req.Arrived))
	f.service = route.NextService()
	f.returned = returned
	if !req.Deadline.IsZero() {
		f.callerLeft = req.Deadline.Sub(now)
		f.returned = returned || route.ReturnedAtOnce(req.Deadline.Sub(req.Arrived))
	}
	req.ID = requestID(req.Attempt)
	req.Service = f.service
	req.Idempotent = route.Idempotent
	req.Caller = p.cfg.Service
	if latest := now.Add(route.Timeout); route.Timeout > 0 && (req.Deadline.IsZero() || latest.Before(req.Deadline)) {
		req.Deadline = latest
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(defaultTimeout)
	}
	if f.parent == nil {
		req.Priority, req.Hop = priorityOf(p.rankOf(table, f), req.Attempt, returned), 0
		return f, nil
	}
	req.Priority, req.Hop = f.parent.priority, f.parent.hop+1
	f.callsBefore = f.parent.calls.Add(f.chainRoute())
	if f.parent.deadline.Before(req.Deadline) {
		req.Deadline = f.parent.deadline
	}
	return f, nil
}

// defaultTimeout applies if neither the caller nor the route sets a time-out.
const defaultTimeout = 30 * time.Second

// tryTargets offers the request to one target after another until one answers, until another attempt would be unsafe or of no
// use, or until the retry budget is used up. Only attempts that may have reached a target use the budget.
func (p *Proxy) tryTargets(ctx context.Context, f *forwardedRequest) *message.Response {
	bucket := p.bucket(f.service)
	rank := f.req.Priority.Rank()
	bucket.Earn(rank)
	tookRetry := false // a retry was taken from the budget for the next attempt
	for {
		r, offered := p.attempt(ctx, f)
		if !offered {
			if tookRetry {
				bucket.GiveBack()
			}
			if f.last == nil {
				return r
			}
			return f.finalResponse()
		}
		f.record(r)
		if ctx.Err() != nil || !f.shouldRetry(r) || f.mayHaveRun && !p.mayRetrySuspect(f.req) {
			return f.finalResponse()
		}
		if p.refuseUnforwardable(f) != nil {
			return f.finalResponse()
		}
		if tookRetry = mayHaveArrived(r); tookRetry && !p.takeRetry(bucket, f) {
			return f.finalResponse()
		}
		p.logRetry(f, r)
		invariant.Check(invariant.SingleExecution, f.route.Idempotent || !f.mayHaveRun,
			"request %s may have run and is tried again", f.req.Attempt)
	}
}

// shouldRetry reports whether another attempt is safe and may succeed.
func (f *forwardedRequest) shouldRetry(r *message.Response) bool {
	if len(f.tried) >= maxOffers || f.arrivals >= f.route.MaxAttempts {
		return false
	}
	switch {
	case r.Outcome == message.Unknown:
		return f.route.Idempotent && r.Reason == message.ReasonConnection
	case r.Outcome == message.Answered:
		return f.route.Idempotent && failedByItself(r)
	case r.Reason == message.ReasonOverload:
		return f.overloadRefusals < maxOverloadRefusals
	default:
		return r.Reason == message.ReasonConnection || r.Reason == message.ReasonLeaving || r.Reason == message.ReasonTargetUnable
	}
}

// failedByItself reports whether the target answered with a failure that no refused or failed call of its own explains. A target
// can fail a part of its requests while it reports itself healthy.
func failedByItself(r *message.Response) bool {
	return r.Outcome == message.Answered && r.Status == http.StatusInternalServerError && !r.DownstreamFailed
}

// refusedByLimit reports whether a target refused the request that limits its requests per second. Its threshold counts for the
// service only if no other target had room: a threshold makes the entry nodes shed for all targets.
func refusedByLimit(r *message.Response) bool { return r.Outcome == message.NotRun && r.RateLimited() }

// logRetry logs that a request is retried at another target after the response r. The attribute "sent" counts the attempts so far
// that reached a target, or may have.
func (p *Proxy) logRetry(f *forwardedRequest, r *message.Response) {
	if !p.cfg.Log.Enabled(context.Background(), event.RequestRetried.Level) {
		return
	}
	attrs := []slog.Attr{
		slog.String("id", f.req.Attempt), slog.String("service", f.service), slog.Int("sent", f.arrivals),
		slog.String("tried", f.tried[len(f.tried)-1]), slog.String("reason", r.Reason.String()), slog.Int("status", r.Status),
	}
	p.cfg.Limiter.Log(p.cfg.Log, event.RequestRetried, attrs...)
}

// attempt offers the request to one target. It reports false if there is no target left.
func (p *Proxy) attempt(ctx context.Context, f *forwardedRequest) (r *message.Response, offered bool) {
	picker := p.cfg.Pickers.Picker(f.service)
	if picker == nil {
		return p.refuse(message.ReasonNoTarget, message.StepPick, randomRetryAfter(), "service %q has no target", f.service), false
	}
	target, done, ok := f.pick(picker)
	if !ok {
		return p.refuse(message.ReasonNoTarget, message.StepPick, randomRetryAfter(), "service %q has no target left", f.service), false
	}
	f.tried = append(f.tried, target.Address)
	outgoing := *f.req
	outgoing.Instance = p.cfg.Instance(target.Address)
	outgoing.RateLimit = p.knownRates.get(outgoing.Instance)
	r = p.send(ctx, target.Address, &outgoing)
	done(targetResult(r))
	if !refusedByLimit(r) {
		p.learnThresholds(f, r)
	}
	p.learnNotice(outgoing.Instance, r)
	p.observeChain(f, r)
	// An error on the way to the node names the node's address as its peer; an error between that node and its target does not.
	if r.Reason == message.ReasonConnection && r.Err != nil && r.Err.Peer == target.Address && target.Address != p.cfg.Address {
		p.cfg.Unreachable(target.Address, r.Err)
	}
	if r.Outcome == message.NotRun && r.RetryAfter == 0 && r.Reason != message.ReasonQuarantined {
		r.RetryAfter = randomRetryAfter()
	}
	return r, true
}

// pick chooses the target for the next attempt.
func (f *forwardedRequest) pick(picker *balance.Picker) (balance.Target, func(balance.Result), bool) {
	if f.trialKey != 0 {
		return picker.PickStable(f.trialKey, f.tried...)
	}
	return picker.Pick(f.requirements(), f.tried...)
}

// requirements returns what the choice of a target depends on: the kind of request and the time left to its objective. A call has
// none: the caller waits for the whole chain, and calls that avoid a slow target fill those that can meet the objectives of new
// requests.
func (f *forwardedRequest) requirements() balance.Request {
	w := balance.Request{Kind: f.route.Name}
	if f.route.Objective > 0 && f.parent == nil {
		w.TimeLeft = f.route.Objective - time.Since(f.req.Arrived)
	}
	return w
}

func (p *Proxy) send(ctx context.Context, address string, req *message.Request) *message.Response {
	if address == p.cfg.Address {
		return p.Deliver(ctx, req)
	}
	return p.cfg.Peers.Send(ctx, address, req)
}

// targetResult returns what a response says about its target, for load balancing and for the target's failure rate.
func targetResult(r *message.Response) balance.Result {
	return balance.Result{
		Failed: r.Reason == message.ReasonConnection || r.Reason == message.ReasonTargetUnable ||
			r.Outcome == message.Unknown && r.Reason == message.ReasonDeadline || failedByItself(r),
		Refused:   r.Outcome == message.NotRun && r.Reason == message.ReasonOverload,
		Leaving:   r.Outcome == message.NotRun && r.Reason == message.ReasonLeaving,
		Cancelled: r.Reason == message.ReasonCancelled,
		Load:      r.Load,
		Timing:    r.Timing,
	}
}
