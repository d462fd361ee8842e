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
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// calledWaitShare and enteredWaitShare are the parts of the time left that a request may wait for a slot. The rest of
	// its chain has to fit into what remains. A call that is refused loses the work of the hops above, so it waits longer
	// than a request that can still be refused at no cost.
	calledWaitShare  = 0.3
	enteredWaitShare = 0.2
)

// Deliver runs a request at the target beside this node. It is the only way to the target.
func (p *Path) Deliver(ctx context.Context, req *message.Request) *message.Response {
	g := p.gate.Load()
	if g == nil || g.service != req.Service || g.instance != req.Instance {
		return p.refuse(message.ReasonLeaving, message.StepAdmit, soonTime(), "instance %q of service %q does not take work here", req.Instance, req.Service)
	}
	r := p.deliver(ctx, g, req)
	r.Load = g.control.Load()
	// A threshold of zero is reported too: it ends the shedding at the nodes above sooner than their memory of a higher one.
	r.Thresholds = append(r.Thresholds, message.Threshold{Service: req.Service, Priority: g.control.Threshold()})
	return r
}

func (p *Path) deliver(ctx context.Context, g *gate, req *message.Request) *message.Response {
	var w *window.Window
	if req.Hop == 0 {
		if w = g.window(p.cfg.Routes.Load(), req); !w.Enter() {
			return p.refuse(message.ReasonOverload, message.StepAdmit, returnTime(), "as many runs as their calls find room for")
		}
		defer w.Leave()
	}
	arrived := time.Now()
	permit, err := g.control.Acquire(ctx, admission.Work{
		Priority: req.Priority,
		Deadline: req.Deadline,
		Worked:   req.Hop > 0,
		MaxWait:  maxWait(req),
	})
	if err != nil {
		return p.refused(err)
	}
	run := p.runs.begin(req, w)
	start := time.Now()
	r := g.target.Do(ctx, req)
	permit.Release(admission.Result{
		Latency:   time.Since(start),
		Failed:    r.Outcome != message.Answered && r.Reason != message.ReasonCancelled || r.Status >= http.StatusInternalServerError,
		Cancelled: r.Reason == message.ReasonCancelled || r.Reason == message.ReasonDeadline,
		Paused:    pause.Since(start),
	})
	p.runs.end(run)
	r.Thresholds = run.below.Thresholds()
	r.Waited = start.Sub(arrived) + time.Duration(run.waited.Load())
	r.BelowFailed = run.refused.Load() > 0 || run.failed.Load() > 0
	if seen := result(r); !seen.Cancelled {
		g.failing.Count(seen.Failed, time.Since(g.opened))
	}
	return r
}

// window returns the bound on the runs of the request's route at the target.
func (g *gate) window(table *routing.Table, req *message.Request) *window.Window {
	name := ""
	if table != nil {
		if route, ok := table.Match(req.Host, req.Path); ok {
			name = route.Name
		}
	}
	if w, ok := g.windows.Load(name); ok {
		return w.(*window.Window)
	}
	w, _ := g.windows.LoadOrStore(name, new(window.Window))
	return w.(*window.Window)
}

// refused returns the response for work that admission turned away.
func (p *Path) refused(err error) *message.Response {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return p.refuse(message.ReasonInternal, message.StepAdmit, returnTime(), "%v", err)
	}
	return p.refuse(refusal.Reason, message.StepAdmit, returnTime(), "not admitted: %s", refusal.Reason)
}

func maxWait(req *message.Request) time.Duration {
	share := enteredWaitShare
	if req.Hop > 0 {
		share = calledWaitShare
	}
	return time.Duration(share * float64(time.Until(req.Deadline)))
}
