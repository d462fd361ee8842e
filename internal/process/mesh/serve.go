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
	// maxPicks bounds the nodes that one request is offered to. Refusals of nodes cost a hop and no work of a target.
	maxPicks = 4
	// maxOverloads is the number of full targets after which a request is refused: more offers would add to the load.
	maxOverloads = 2
	// minReturn and returnSpread give the time after which a refused request may come back: long enough for a queue to
	// move and for a node that starts to find targets, which takes about a second, short against the time that callers have, and
	// spread so that refused requests do not return together. Most callers come back once.
	minReturn    = 300 * time.Millisecond
	returnSpread = 900 * time.Millisecond
	// soonReturn and soonSpread are the same where a request only has to find the next state of the system.
	soonReturn = 100 * time.Millisecond
	soonSpread = 200 * time.Millisecond
)

const (
	// soonestReturn and latestReturn bound the time after which a caller that was refused in an overload may come back, as
	// shares of the objective of its route: an answer after the objective is worth little, and the run takes its time too.
	soonestReturn = 0.1
	latestReturn  = 0.4
)

// inTime returns the time after which a refused caller may come back and still be answered within the objective of the route.
func (c *call) inTime(after time.Duration) time.Duration {
	if c.route.Objective <= 0 {
		return after
	}
	return time.Duration((soonestReturn + (latestReturn-soonestReturn)*rand.Float64()) * float64(c.route.Objective))
}

func returnTime() time.Duration { return minReturn + rand.N(returnSpread) }

func soonTime() time.Duration { return soonReturn + rand.N(soonSpread) }

// call is one request at its entry node, with all its attempts.
type call struct {
	req     *message.Request
	route   *routing.Route
	parent  *run // nil for a caller's request
	service string
	sent    int // attempts that reached a target, or may have
	full    int // attempts that a full target refused
	tried   []string

	last    *message.Response // of the last target that was asked
	failure *message.Response // an answer in which a target reports its own failure
	doubt   bool              // an attempt may have run without an answer
	waited  time.Duration     // of all attempts, for slots
}

// record takes the response of an attempt.
func (c *call) record(r *message.Response) {
	c.last = r
	c.waited += r.Waited
	c.doubt = c.doubt || r.Outcome == message.Unknown
	if arrived(r) {
		c.sent++
	}
	if r.Reason == message.ReasonOverload {
		c.full++
	}
	if ownFailure(r) {
		c.failure = r
	}
}

// result is the final response. A target's answer says more than a later attempt that did not work out, and if an attempt
// may have run, so may the request.
func (c *call) result() *message.Response {
	if c.failure != nil && c.last.Outcome != message.Answered {
		return c.failure
	}
	if c.doubt && c.last.Outcome == message.NotRun {
		c.last.Outcome = message.Unknown
	}
	return c.last
}

// arrived reports whether an attempt reached a target, or may have. Such attempts count against the operators' bounds.
func arrived(r *message.Response) bool {
	return r.Outcome != message.NotRun || r.Reason == message.ReasonTargetUnable
}

// Serve answers a request of a caller or of the target beside this node.
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
		r = p.attempts(ctx, c)
	}
	if c.parent == nil && r.Outcome == message.NotRun && r.Reason == message.ReasonOverload {
		r.RetryAfter = c.inTime(r.RetryAfter)
	}
	if c.parent != nil {
		c.parent.note(r, time.Since(start), c.waited)
	}
	return r
}

// shed refuses a request that a service of its chain would refuse, before any work is done for it. Behind the entry node a
// threshold sheds whole ranks only: within a rank it is an estimate for new requests, and a call that is shed after the hops
// above have worked loses their work.
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

// learn takes the thresholds of the services below and passes them on to the hop above.
func (p *Proxy) learn(c *call, r *message.Response) {
	if len(r.Thresholds) == 0 {
		return
	}
	p.cfg.Shed.Learn(c.service, c.route.Name, r.Thresholds)
	if c.parent != nil {
		c.parent.below.Learn(r.Thresholds)
	}
}

// note records the end of a call that the run has made.
func (r *run) note(resp *message.Response, took, waited time.Duration) {
	switch {
	case resp.Outcome == message.NotRun:
		r.refused.Add(1)
	case resp.Outcome != message.Answered || resp.Status >= http.StatusInternalServerError:
		r.failed.Add(1)
	}
	r.waited.Add(int64(waited))
	r.worked.Add(int64(max(0, took-waited)))
	if r.window != nil {
		r.window.RecordCall(took, waited, wantsSlot(resp))
	}
}

// wantsSlot reports whether a call was refused because no slot was free. A target that turns requests away although it has
// free slots is not served better by fewer of them.
func wantsSlot(r *message.Response) bool {
	return r.Outcome == message.NotRun && (r.Reason == message.ReasonOverload || r.Reason == message.ReasonDeadline)
}

// prepare finds the route of a request and sets what it decides.
func (p *Proxy) prepare(req *message.Request) (*call, *message.Response) {
	table := p.cfg.Routes.Load()
	if table == nil {
		return nil, p.refuse(message.ReasonUnconfirmed, message.StepConfigure, returnTime(), "no configuration yet")
	}
	route, ok := table.Match(req.Host, req.Path)
	if !ok {
		return nil, p.refuse(message.ReasonNoService, message.StepConfigure, 0, "version %d has no route for %s %s", table.Version, req.Host, req.Path)
	}
	now := time.Now()
	returned := !req.Deadline.IsZero() && route.Returned(req.Deadline.Sub(req.Arrived))
	c := &call{req: req, route: route, service: route.Next()}
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
	c.parent = p.runs.parent(req.Attempt)
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

// defaultTimeout bounds a request for which neither caller nor route states a time.
const defaultTimeout = 30 * time.Second

// attempts offers the request to targets until one takes it, or going on could run it too often.
func (p *Proxy) attempts(ctx context.Context, c *call) *message.Response {
	bucket := p.bucket(c.service)
	rank := c.req.Priority.Rank()
	bucket.Earn(rank)
	repeating := false // the attempt uses a retry of the budget
	for {
		r, offered := p.attempt(ctx, c)
		if !offered {
			if repeating {
				bucket.GiveBack()
			}
			if c.last == nil {
				return r
			}
			return c.result()
		}
		c.record(r)
		if ctx.Err() != nil || !c.again(r) {
			return c.result()
		}
		if repeating = arrived(r); repeating && !bucket.Take(rank) {
			return c.result()
		}
		p.logRepeat(c, r)
		invariant.Check(invariant.SingleExecution, c.route.Idempotent || !c.doubt,
			"request %s may have run and is tried again", c.req.Attempt)
	}
}

// again reports whether another attempt can help and is safe.
func (c *call) again(r *message.Response) bool {
	if len(c.tried) >= maxPicks || c.sent >= c.route.MaxAttempts {
		return false
	}
	switch {
	case r.Outcome == message.Unknown:
		return c.route.Idempotent && r.Reason == message.ReasonConnection
	case r.Outcome == message.Answered:
		return c.route.Idempotent && ownFailure(r)
	case r.Reason == message.ReasonOverload:
		return c.full < maxOverloads
	default:
		return r.Reason == message.ReasonConnection || r.Reason == message.ReasonLeaving || r.Reason == message.ReasonTargetUnable
	}
}

// ownFailure reports whether an answer is a failure of its target alone. Targets can fail a part of their requests while
// they say that they are healthy.
func ownFailure(r *message.Response) bool {
	return r.Outcome == message.Answered && r.Status == http.StatusInternalServerError && !r.DownstreamFailed
}

// logRepeat logs that a request goes to another target.
func (p *Proxy) logRepeat(c *call, r *message.Response) {
	if !p.cfg.Log.Enabled(context.Background(), event.RequestRepeated.Level) {
		return
	}
	attrs := []slog.Attr{
		slog.String("id", c.req.Attempt), slog.String("service", c.service), slog.Int("sent", c.sent),
		slog.String("tried", c.tried[len(c.tried)-1]), slog.String("reason", r.Reason.String()), slog.Int("status", r.Status),
	}
	p.cfg.Limiter.Log(p.cfg.Log, event.RequestRepeated, attrs...)
}

// attempt makes one attempt. It reports false if there is no target to offer the request to.
func (p *Proxy) attempt(ctx context.Context, c *call) (r *message.Response, offered bool) {
	picker := p.cfg.Pickers.Picker(c.service)
	if picker == nil {
		return p.refuse(message.ReasonNoTarget, message.StepPick, returnTime(), "service %q has no target", c.service), false
	}
	target, done, ok := picker.Pick(c.tried...)
	if !ok {
		return p.refuse(message.ReasonNoTarget, message.StepPick, returnTime(), "service %q has no target left", c.service), false
	}
	c.tried = append(c.tried, target.Address)
	down := *c.req
	down.Instance = p.cfg.Instance(target.Address)
	r = p.send(ctx, target.Address, &down)
	done(result(r))
	p.learn(c, r)
	if r.Reason == message.ReasonConnection && r.Err != nil && r.Err.Peer == target.Address && target.Address != p.cfg.Address {
		p.cfg.Unreachable(target.Address, r.Err)
	}
	if r.Outcome == message.NotRun && r.RetryAfter == 0 {
		r.RetryAfter = returnTime()
	}
	return r, true
}

func (p *Proxy) send(ctx context.Context, address string, req *message.Request) *message.Response {
	if address == p.cfg.Address {
		return p.Deliver(ctx, req)
	}
	return p.cfg.Peers.Send(ctx, address, req)
}

// result says what a response tells about its target.
func result(r *message.Response) balance.Result {
	return balance.Result{
		Failed: r.Reason == message.ReasonConnection || r.Reason == message.ReasonTargetUnable ||
			r.Outcome == message.Unknown && r.Reason == message.ReasonDeadline || ownFailure(r),
		Refused:   r.Outcome == message.NotRun && r.Reason == message.ReasonOverload,
		Leaving:   r.Outcome == message.NotRun && r.Reason == message.ReasonLeaving,
		Cancelled: r.Reason == message.ReasonCancelled,
		Load:      r.Load,
	}
}
