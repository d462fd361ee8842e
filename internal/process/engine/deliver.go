package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// HandlePeer answers a request that another node sent.
func (e *Engine) HandlePeer(ctx context.Context, req *message.Request) *message.Response {
	if req.Mode == message.ModeHome {
		return e.serveHome(ctx, req)
	}
	return e.Deliver(ctx, req)
}

// Deliver runs a request at the local target. All requests to the target pass through it.
func (e *Engine) Deliver(ctx context.Context, req *message.Request) *message.Response {
	r := e.deliver(ctx, req)
	r.Load = e.cfg.Admission.Load()
	// A threshold of zero is reported too: it ends shedding at upstream nodes before the higher threshold that they remember
	// expires.
	r.Thresholds = append(r.Thresholds, message.Threshold{Service: req.Service, Priority: e.cfg.Admission.Threshold()})
	return r
}

func (e *Engine) deliver(ctx context.Context, req *message.Request) *message.Response {
	if r := e.notAccepting(); r != nil {
		return r
	}
	if req.Service != e.cfg.Service {
		return e.refuse(message.ReasonNoTarget, message.StepAdmit, "this node's target serves %q, not %q", e.cfg.Service, req.Service)
	}
	if !e.cfg.Ready() {
		return e.refuse(message.ReasonLeaving, message.StepAdmit, "target takes no work")
	}
	permit, refusal := e.cfg.Admission.Acquire(ctx, req)
	if refusal != nil {
		if refusal.Err == nil {
			refusal.Err = message.Errorf(message.StepAdmit, "", "%s", refusal.Reason)
		}
		return e.withPeer(refusal)
	}
	run := e.running.begin(req)
	start := time.Now()
	r := e.cfg.Target.Do(ctx, req)
	unsent := r.Reason == message.ReasonInvalid || r.Err != nil && r.Err.Step == message.StepDial
	invariant.Check(invariant.NotRunTruthful, r.Outcome != message.NotRun || unsent,
		"request %s is reported as not run after it was sent to the target", req.ID)
	r = e.checkDeclined(r, run)
	permit.Release(time.Since(start), r)
	e.running.end(run)
	r.RetriesLeft = run.ledger.Close()
	invariant.CheckErr(invariant.RetryConservation, run.ledger.Check())
	r.Thresholds = run.downstream.Thresholds()
	return r
}

// checkDeclined turns an answer with the declined header, by which the target declares that the request had no effect, into a
// response with the outcome NotRun. It ignores the declaration if a call that the target made while it ran the request is still
// open or may have had effects, and with a status below 500, because such an answer reports a success or a fault of the request.
func (e *Engine) checkDeclined(r *message.Response, run *running) *message.Response {
	if r.Outcome != message.Answered {
		return r
	}
	declared := r.Header.Get(message.HeaderDeclined) == message.Declined
	r.Header.Del(message.HeaderDeclined)
	r.Header.Del(message.HeaderOutcome)
	if !declared || r.Status < http.StatusInternalServerError {
		return r
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.openCalls > 0 || run.mayHaveEffects {
		return r
	}
	reason, detail := message.ReasonTargetUnable, fmt.Sprintf("target declares with status %d that it did nothing", r.Status)
	if run.lastRefusal != nil {
		reason, detail = message.ReasonDeclined, detail+", because a call was not run: "+run.lastRefusal.Error()
	}
	refusal := e.refuse(reason, message.StepRun, "%s", detail)
	refusal.RetryAfter = max(run.retryAfter, targetRetryAfter(r.Header))
	return refusal
}

const (
	// maxTargetRetryAfter bounds the Retry-After of a target, before the random addition.
	maxTargetRetryAfter = time.Hour
	// retryAfterSpread is the largest random addition to a target's Retry-After, as a fraction of it. A target gives all
	// callers the same time; the jitter keeps them from retrying at once.
	retryAfterSpread = 0.5
)

// targetRetryAfter parses a target's Retry-After header, which must be in whole seconds, and adds jitter. It returns zero if
// the header is missing or malformed.
func targetRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get(message.HeaderRetryAfter), 10, 31)
	if err != nil {
		return 0
	}
	after := min(time.Duration(seconds)*time.Second, maxTargetRetryAfter)
	return after + time.Duration(retryAfterSpread*rand.Float64()*float64(after))
}
