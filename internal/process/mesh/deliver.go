package mesh

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pause"
	"github.com/wigeoncleat/wigeoncleat/internal/process/window"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// callWaitShare and entryWaitShare are the shares of the time left until the deadline for which a call or a new request may
	// wait for a slot. The rest of the chain has to fit into the remaining time. Refusing a call wastes the work of the upstream
	// hops, so it may wait longer than a new request, which can be refused at no cost.
	callWaitShare  = 0.3
	entryWaitShare = 0.2
)

// RefuseBeforeBody returns the refusal of a request for the attached target whose body has not arrived, or nil if nothing is known
// against it yet.
func (p *Proxy) RefuseBeforeBody(req *message.Request) *message.Response {
	if g := p.attachedTarget.Load(); g == nil || g.service != req.Service || g.instance != req.Instance {
		return p.refuseUnattached(req)
	}
	kind, _ := p.routeOf(req)
	return p.refuseUndeliverable(req, kind)
}

func (p *Proxy) refuseUnattached(req *message.Request) *message.Response {
	return p.refuse(message.ReasonLeaving, message.StepAdmit, shortRetryAfter(), "instance %q of service %q does not take work here", req.Instance, req.Service)
}

// Deliver runs a request at the attached target. Every request to that target, from this node or another, passes through it.
func (p *Proxy) Deliver(ctx context.Context, req *message.Request) *message.Response {
	g := p.attachedTarget.Load()
	if g == nil || g.service != req.Service || g.instance != req.Instance {
		return p.refuseUnattached(req)
	}
	p.removeIdentity(req)
	p.restoreRate(g, req.RateLimit)
	arrived := time.Now()
	kind, objective := p.routeOf(req)
	r := p.deliverWithinWindow(ctx, g, req, kind, objective)
	r.Load = g.load()
	now := time.Now()
	if r.Timing = g.times.Timing(kind, now.Sub(g.attachedAt)); r.Timing.Own > 0 && r.Outcome == message.Answered {
		r.Timing.Spent = now.Sub(arrived)
	}
	r.Notice = g.notice()
	// The response reports the shedding threshold of this service, the lowest priority that its target admits. Upstream nodes
	// shed requests below it, see package shed. A threshold of zero is reported too: it ends that shedding before the last
	// higher threshold expires there.
	// A target that limits its requests per second speaks for itself only, so its answers carry no threshold of the service.
	if r.Outcome == message.NotRun || !r.RateLimited() {
		r.Thresholds = append(r.Thresholds, message.Threshold{Service: req.Service, Priority: g.control.Threshold()})
	}
	return r
}

// deliverWithinWindow runs a request within the limit on the runs in progress of its route, see package window. While the calls
// of these runs wait too long for slots at downstream services, it refuses new requests above the limit. The limit does not
// apply to calls: they are part of a chain whose first run was counted.
func (p *Proxy) deliverWithinWindow(ctx context.Context, g *attachedTarget, req *message.Request, kind string, objective time.Duration) *message.Response {
	if req.Hop > 0 {
		r, _ := p.admitAndRun(ctx, g, req, kind, nil, 0)
		return r
	}
	w := g.windows.Get(kind)
	if !w.TryStart() {
		return p.refuse(message.ReasonOverload, message.StepAdmit, randomRetryAfter(), "calls of route %q wait too long for more runs", kind)
	}
	r, ended := p.admitAndRun(ctx, g, req, kind, w, objective)
	w.Finish(ended)
	return r
}

// admitAndRun waits for a slot, sends the request to the target and returns its response with the measurements of the run. The
// kind is the name of the request's route. The window is nil for a call. The objective is the response time within which a response on the route is worth most, or zero;
// unlike the time-out, it does not end the request.
func (p *Proxy) admitAndRun(ctx context.Context, g *attachedTarget, req *message.Request, kind string, w *window.Window, objective time.Duration) (*message.Response, window.RunStats) {
	arrived := time.Now()
	if refusal := p.refuseUndeliverable(req, kind); refusal != nil {
		return refusal, window.RunStats{}
	}
	permit, err := g.control.Acquire(ctx, admission.Work{
		Priority:   req.Priority,
		Deadline:   req.Deadline,
		Subrequest: req.Hop > 0,
		MaxWait:    maxWait(req),
	})
	if err != nil {
		return p.refuseUnadmitted(err), window.RunStats{}
	}
	refusal := p.refuseUndeliverable(req, kind) // the wait has used up some of the time
	if refusal == nil {
		refusal = p.refuseHeldAtTarget(req)
	}
	if refusal != nil {
		permit.Release(admission.Result{Cancelled: true})
		return refusal, window.RunStats{}
	}
	run := p.activeRuns.begin(g, req, w)
	p.runTimes.Begin(kind, &run.duration)
	start := time.Now()
	r := g.target.Do(ctx, req)
	took := time.Since(start)
	p.observeSuspect(g, req, r)
	p.observeNotice(g, start, r.Notice)
	calls := run.callClock.elapsed()
	r.DownstreamFailed = run.refusedCalls.Load() > 0 || run.failedCalls.Load() > 0
	g.recordTime(kind, start, took, calls, r)
	p.observePace(g, kind, start, took-calls, r)
	permit.Release(admission.Result{
		Latency:   took,
		Failed:    r.Outcome != message.Answered && r.Reason != message.ReasonCancelled || r.Status >= http.StatusInternalServerError,
		Cancelled: r.Reason == message.ReasonCancelled || r.Reason == message.ReasonDeadline,
		Paused:    pause.Since(start),
	})
	p.activeRuns.end(run)
	observeDuration(&run.duration, r)
	r.Thresholds = run.thresholds.Thresholds()
	r.Needs = p.finishChain(run, r)
	callQueueTime := time.Duration(run.callQueueTime.Load())
	r.Waited = start.Sub(arrived) + callQueueTime
	if seen := targetResult(r); !seen.Cancelled {
		g.failures.Count(seen.Failed, time.Since(g.attachedAt))
	}
	return r, window.RunStats{
		Elapsed:         took,
		TimeAllowed:     timeAllowed(req.Deadline.Sub(start), objective),
		CallQueueTime:   callQueueTime,
		CallServiceTime: time.Duration(run.callServiceTime.Load()),
		Completed:       r.Outcome == message.Answered && r.Status < http.StatusInternalServerError,
	}
}

// recordTime adds a completed run to the measured times of its kind. The time of a failure says little about that of a response,
// and a run during which the process was paused measures the pause.
func (g *attachedTarget) recordTime(kind string, start time.Time, took, calls time.Duration, r *message.Response) {
	if r.Outcome == message.Answered && r.Status < http.StatusInternalServerError && !pause.Since(start) {
		g.times.Record(kind, took-calls, calls, time.Since(g.attachedAt))
	}
}

// timeAllowed returns the time within which a run should end: the objective of its route or, if that is zero or longer, the
// time left until its deadline.
func timeAllowed(left, objective time.Duration) time.Duration {
	if objective > 0 {
		return min(left, objective)
	}
	return left
}

// routeOf returns the name and the objective of the route of a request.
func (p *Proxy) routeOf(req *message.Request) (name string, objective time.Duration) {
	if table := p.cfg.Routes.Load(); table != nil {
		if route, ok := table.Match(req.Host, req.Path); ok {
			return route.Name, route.Objective
		}
	}
	return "", 0
}

// refuseUnadmitted returns the response for a request that admission control refused.
func (p *Proxy) refuseUnadmitted(err error) *message.Response {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return p.refuse(message.ReasonInternal, message.StepAdmit, randomRetryAfter(), "%v", err)
	}
	return p.refuse(refusal.Reason, message.StepAdmit, randomRetryAfter(), "not admitted: %s", refusal.Reason)
}

// maxWait returns the longest time for which a request may wait for a slot.
func maxWait(req *message.Request) time.Duration {
	share := entryWaitShare
	if req.Hop > 0 {
		share = callWaitShare
	}
	return time.Duration(share * float64(time.Until(req.Deadline)))
}
