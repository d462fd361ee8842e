package engine

import (
	"context"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// HandlePeer answers a request of another node.
func (e *Engine) HandlePeer(ctx context.Context, req *message.Request) *message.Response {
	if req.Mode == message.ModeHome {
		return e.serveHome(ctx, req)
	}
	return e.Deliver(ctx, req)
}

// Deliver runs a request at the target beside this node. It is the only way to the target.
func (e *Engine) Deliver(ctx context.Context, req *message.Request) *message.Response {
	r := e.deliver(ctx, req)
	r.Load = e.cfg.Admission.Load()
	// A threshold of zero is reported too: it ends the shedding at the nodes above sooner than their memory of a higher one.
	r.Thresholds = append(r.Thresholds, message.Threshold{Service: req.Service, Priority: e.cfg.Admission.Threshold()})
	return r
}

func (e *Engine) deliver(ctx context.Context, req *message.Request) *message.Response {
	if r := e.closed(); r != nil {
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
		return e.named(refusal)
	}
	run := e.running.begin(req)
	start := time.Now()
	r := e.cfg.Target.Do(ctx, req)
	permit.Release(time.Since(start), r)
	unsent := r.Reason == message.ReasonInvalid || r.Err != nil && r.Err.Step == message.StepDial
	invariant.Check(invariant.NotRunTruthful, r.Outcome != message.NotRun || unsent,
		"request %s is reported as not run after it was sent to the target", req.ID)
	e.running.end(run)
	r.RetriesLeft = run.ledger.Close()
	invariant.CheckErr(invariant.RetryConservation, run.ledger.Check())
	r.Thresholds = run.thresholds()
	return r
}
