// Package engine processes the requests of a node: load shedding, idempotency keys, target selection, retries, admission
// and the call to the target. It depends on neither HTTP nor WebSocket; transports and targets are behind interfaces.
//
// All exported methods are safe for concurrent use. Policy and pickers are read from atomic pointers, and no lock is
// shared between all requests.
package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/process/once"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// PeerSender sends requests to other nodes.
type PeerSender interface {
	// Send sends req to the node at the address and waits for its response or the end of ctx. The outcome is NotRun only if
	// the request provably was not run.
	Send(ctx context.Context, address string, req *message.Request) *message.Response
}

// Target runs requests at the local target, the service process on this node's VM.
type Target interface {
	Do(ctx context.Context, req *message.Request) *message.Response
}

// Admission limits the requests that run at the local target.
type Admission interface {
	// Acquire waits for a slot. It returns either a permit or a response with the reason why the request was not run.
	Acquire(ctx context.Context, req *message.Request) (Permit, *message.Response)
	// Threshold returns the lowest priority that is currently admitted.
	Threshold() message.Priority
	Load() message.Load
}

// Permit is a slot at the target.
type Permit interface {
	// Release frees the slot. It must be called exactly once, with the response of the target and its latency, by which the
	// admission controller adapts its limit on requests in flight.
	Release(latency time.Duration, r *message.Response)
}

// Picker chooses targets of one service.
type Picker interface {
	// Pick returns the address of a node whose target can take the call and that is not excluded. The caller reports the
	// result of the call to done.
	Pick(exclude []string) (address string, done func(latency time.Duration, r *message.Response), ok bool)
}

// Pickers looks up the picker of a service.
type Pickers interface {
	Picker(service string) (Picker, bool)
}

// Shedder refuses requests that a downstream service would refuse.
type Shedder interface {
	// Admit reports whether the request may proceed. If not, it returns the service that would refuse it and the retry-after
	// time.
	Admit(service, route string, p message.Priority) (ok bool, blocking string, retryAfter time.Duration)
	// Learn records the thresholds that a response carried.
	Learn(service, route string, thresholds []message.Threshold)
}

// Config holds the dependencies of an Engine. All fields but Binder are required.
type Config struct {
	Address   string // of this node's peer interface
	Service   string // of the local target; empty if there is none
	Policy    *atomic.Pointer[policy.Policy]
	Confirmed func() bool // whether there is recent proof that the configuration version is the newest
	Ready     func() bool // whether the local target accepts requests
	Peers     PeerSender
	Target    Target
	Admission Admission
	Pickers   Pickers
	Shedder   Shedder
	Keys      *once.Store
	Binder    *once.Binder // if nil, caller-supplied keys are refused
}

// Engine serves requests.
type Engine struct {
	cfg     Config
	roots   *roots
	running *runningTable
	buckets *buckets
	leaving atomic.Bool
	active  atomic.Int64 // requests from callers and calls by the local target that are not answered yet
}

// New returns an engine.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, roots: newRoots(), running: newRunningTable(), buckets: newBuckets()}
}

// Leave makes the engine refuse new requests. Requests that it has accepted continue.
func (e *Engine) Leave() { e.leaving.Store(true) }

// Active returns the number of requests from callers and of calls by the local target that are not answered yet.
func (e *Engine) Active() int { return int(e.active.Load()) }

// refuse returns a response with the outcome NotRun whose error names this node.
func (e *Engine) refuse(reason message.Reason, step message.Step, format string, args ...any) *message.Response {
	return message.Refuse(reason, message.Errorf(step, e.cfg.Address, format, args...))
}

// notAccepting returns a refusal if the node currently accepts no new requests, or nil.
func (e *Engine) notAccepting() *message.Response {
	if e.leaving.Load() {
		return e.refuse(message.ReasonLeaving, message.StepAccept, "node is leaving")
	}
	if !e.cfg.Confirmed() {
		return e.refuse(message.ReasonUnconfirmed, message.StepAccept, "configuration is not confirmed")
	}
	return nil
}

// Serve answers a request from a caller.
func (e *Engine) Serve(ctx context.Context, req *message.Request) *message.Response {
	e.active.Add(1)
	defer e.active.Add(-1)
	c, refusal := e.prepare(req)
	if refusal != nil {
		return e.serveRefused(ctx, req, refusal)
	}
	req.Hop = 0
	req.Priority = message.NewPriority(c.route.Rank, req.ID)
	root := e.roots.get(req.ID, min(req.Retries, c.policy.Retry.Budget))
	root.ledger.Limit(req.Retries) // attempts at other nodes may have used some since the last attempt at this node
	c.ledger = root.ledger
	root.begin()
	r := root.end(e.processCall(ctx, c))
	r.RetriesLeft = root.ledger.Left()
	invariant.CheckErr(invariant.RetryConservation, root.ledger.Check())
	return r
}

// serveRefused answers a caller's request that this node does not accept. The response takes earlier attempts that this
// node remembers into account, and leaves the caller its retries.
func (e *Engine) serveRefused(ctx context.Context, req *message.Request, refusal *message.Response) *message.Response {
	root := e.roots.lookup(req.ID)
	if root == nil {
		budget := policy.DefaultRetryBudget
		if pol := e.cfg.Policy.Load(); pol != nil {
			budget = pol.Retry.Budget
		}
		root = newRoot(min(req.Retries, budget))
	}
	root.begin()
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	if r := e.recordedResponse(ctx, req); r != nil {
		refusal = r
	}
	refusal = root.end(refusal)
	refusal.RetriesLeft = root.ledger.Left()
	return refusal
}

// ServeFromTarget answers a call that the local target makes. If it belongs to a request that runs at the target, it inherits
// that request's priority, deadline and retry budget. Otherwise there is no budget that it could draw on, and it gets no retries.
func (e *Engine) ServeFromTarget(ctx context.Context, req *message.Request) *message.Response {
	e.active.Add(1)
	defer e.active.Add(-1)
	parent, candidates := e.running.find(req.ID, req.Span)
	c, refusal := e.prepareFromTarget(req, parent)
	if refusal != nil {
		return refusal
	}
	if parent == nil {
		req.Priority = message.NewPriority(c.route.Rank, req.ID)
		c.ledger = retry.NewLedger(0)
	} else {
		req.Priority = parent.priority
		req.Hop = parent.hop + 1
		c.ledger = parent.ledger
	}
	req.Span = message.NewSpanID()
	for _, run := range candidates {
		run.beginCall()
	}
	r := e.processCall(ctx, c)
	for _, run := range candidates {
		run.endCall(r)
	}
	return r
}

// prepare refuses the request if the node accepts no new ones, and finds its route otherwise.
func (e *Engine) prepare(req *message.Request) (*call, *message.Response) {
	if r := e.notAccepting(); r != nil {
		return nil, r
	}
	return e.matchRoute(req)
}

// prepareFromTarget is prepare for a call that the local target makes. A node that is leaving or unconfirmed still serves
// the calls of requests that run at its target, so that these can complete.
func (e *Engine) prepareFromTarget(req *message.Request, parent *running) (*call, *message.Response) {
	if parent == nil {
		return e.prepare(req)
	}
	if req.Deadline.IsZero() || parent.deadline.Before(req.Deadline) {
		req.Deadline = parent.deadline
	}
	c, refusal := e.matchRoute(req)
	if refusal != nil {
		return nil, refusal
	}
	c.parent = parent
	return c, nil
}

// matchRoute finds the route of a request, sets the request's Idempotent and Deadline fields from it, and returns a call
// without a ledger.
func (e *Engine) matchRoute(req *message.Request) (*call, *message.Response) {
	pol := e.cfg.Policy.Load()
	if pol == nil {
		return nil, e.refuse(message.ReasonUnconfirmed, message.StepConfigure, "no configuration yet")
	}
	svc, ok := pol.Services[req.Service]
	if !ok {
		return nil, e.refuse(message.ReasonNoService, message.StepConfigure, "unknown service %q", req.Service)
	}
	route, ok := svc.Match(req.Method, req.Path)
	if !ok {
		return nil, e.refuse(message.ReasonNoService, message.StepConfigure,
			"service %q has no route for %s %s", req.Service, req.Method, req.Path)
	}
	req.Idempotent = route.Idempotent
	if latest := time.Now().Add(route.Timeout); req.Deadline.IsZero() || latest.Before(req.Deadline) {
		req.Deadline = latest
	}
	return &call{req: req, policy: pol, svc: svc, route: route}, nil
}
