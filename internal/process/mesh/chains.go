package mesh

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/chain"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
)

func (f *forwardedRequest) chainRoute() chain.Route {
	return chain.Route{Service: f.service, Name: f.route.Name}
}

// refuseUnlikely refuses a new request whose chain is unlikely to complete, see package chain, and returns nil if it may proceed.
func (p *Proxy) refuseUnlikely(f *forwardedRequest) *message.Response {
	if f.parent != nil {
		return nil
	}
	left := f.callerLeft
	if left <= 0 {
		left = time.Until(f.req.Deadline)
	}
	d := p.cfg.Chains.Admit(f.chainRoute(), chain.Request{
		Idempotent: f.route.Idempotent, Returned: f.returned, Objective: f.route.Objective, Left: left,
	})
	if d.Recovered != "" {
		event.Log(p.cfg.Log, event.ChainsAdmitted, slog.String("service", d.Recovered))
	}
	if d.First {
		event.Log(p.cfg.Log, event.ChainsRefused, slog.String("service", d.Blocking), slog.String("route", f.route.Name), slog.Float64("chance", d.Chance))
	}
	if !d.Refuse {
		return nil
	}
	f.unlikely = true
	return p.refuse(message.ReasonOverload, message.StepShed, d.RetryAfter,
		"service %q refuses or fails calls, chance of completion %.2f", d.Blocking, d.Chance)
}

// observeRequest records how long a new request took that completed, for the retry-after time of those that are refused.
func (p *Proxy) observeRequest(f *forwardedRequest, r *message.Response, took time.Duration) {
	if f.parent == nil && !f.route.Idempotent && r.Outcome == message.Answered && r.Status < http.StatusInternalServerError {
		p.cfg.Chains.RecordRequest(f.chainRoute(), took)
	}
}

// observeChain records whether an attempt passed at the called service, and the figures of the response. Refusals for want of a
// slot and failures of further calls say nothing about the service itself.
func (p *Proxy) observeChain(f *forwardedRequest, r *message.Response) {
	switch {
	case r.Outcome == message.Answered && !failedByItself(r):
		p.cfg.Chains.RecordAttempt(f.service, true)
	case failedByItself(r) || r.Reason == message.ReasonTargetUnable || r.Outcome == message.Unknown && r.Reason == message.ReasonConnection:
		p.cfg.Chains.RecordAttempt(f.service, false)
	}
	p.cfg.Chains.Learn(f.chainRoute(), r.Needs)
}

// finishChain records the calls of a run that has ended and returns the figures for its response.
func (p *Proxy) finishChain(run *run, r *message.Response) []message.Need {
	if run.calls.Empty() {
		return nil
	}
	return p.cfg.Chains.Finish(p.chainRouteOf(run), &run.calls, r.Outcome == message.Answered && r.Status < http.StatusInternalServerError)
}

// chainRouteOf returns the route of a run.
func (p *Proxy) chainRouteOf(r *run) chain.Route {
	name, _ := p.routeOf(r.req)
	return chain.Route{Service: r.target.service, Name: name}
}

// takeRetry takes a retry for the next attempt from the budget. While the service is in trouble, calls of runs with the least calls
// left go first.
func (p *Proxy) takeRetry(bucket *retry.RankedBucket, f *forwardedRequest) bool {
	rank, ok := f.req.Priority.Rank(), false
	if f.parent != nil && p.cfg.Chains.InTrouble(f.service) {
		ok = bucket.TakeFor(rank, p.cfg.Chains.ShareLeft(p.chainRouteOf(f.parent), f.chainRoute(), f.callsBefore+1))
	} else {
		ok = bucket.Take(rank)
	}
	if !ok {
		return false
	}
	p.cfg.Chains.RecordRetry(f.service)
	return true
}

// ChainCounts returns the numbers of requests refused and figures ignored since the start.
func (p *Proxy) ChainCounts() chain.Counts { return p.cfg.Chains.Counts() }
