// Package mesh is the path of a transparently forwarded request: routing by host and path, choice of a target, retries,
// admission beside the target, and the exchange with it. It knows neither HTTP connections nor links; its surroundings are
// interfaces.
//
// All exported methods are safe for concurrent use. Routes and targets are read from atomic pointers.
package mesh

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/process/window"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// PeerSender sends requests to other nodes.
type PeerSender interface {
	// Send hands req to the node at the address and waits for its response or for ctx to end. The outcome is NotRun only
	// where that can be proved.
	Send(ctx context.Context, address string, req *message.Request) *message.Response
}

// Target exchanges requests with the target beside this node.
type Target interface {
	Do(ctx context.Context, req *message.Request) *message.Response
}

// Pickers finds the picker of a service.
type Pickers interface {
	Picker(service string) *balance.Picker // nil if the service never had a target
}

// Config holds the dependencies and settings of a Proxy. Fields are required unless they say what zero means.
type Config struct {
	Address string // of this node's peer interface
	Service string // of this machine; the origin of every request that begins here
	Routes  *atomic.Pointer[routing.Table]
	Peers   PeerSender
	Pickers Pickers
	Shed    *shed.Table
	// Instance returns the instance of the target beside the node at the address.
	Instance func(address string) string
	// Unreachable is told of nodes that cannot be reached.
	Unreachable func(address string, cause error)
	Log         *slog.Logger
	Limiter     *event.Limiter // bounds the lines on single requests
	Retries     RetryBounds    // zero: defaultRetries
}

// RetryBounds are the operators' bounds on the repeats to one service over all nodes.
type RetryBounds struct {
	Ratio  float64       // of repeats to requests
	Window time.Duration // over which both are counted
}

// defaultRetries are the bounds of deployments that state none: those of both users.
var defaultRetries = RetryBounds{Ratio: 0.2, Window: 10 * time.Second}

// Proxy forwards requests of callers and of the local target, and delivers those of other nodes to the local target.
type Proxy struct {
	cfg        Config
	activeRuns *activeRuns

	attachedTarget atomic.Pointer[attachedTarget]
	buckets        sync.Map     // service to *retry.Ranked
	burst          atomic.Value // float64, see SetRetryBurst
}

// attachedTarget is the target beside this node with its admission.
type attachedTarget struct {
	service    string
	instance   string
	control    *admission.Controller
	target     Target
	attachedAt time.Time
	failures   balance.FailureShare // times since opened
	windows    window.Set           // of the runs in progress
}

// New returns a proxy without a local target.
func New(cfg Config) *Proxy {
	if cfg.Retries == (RetryBounds{}) {
		cfg.Retries = defaultRetries
	}
	return &Proxy{cfg: cfg, activeRuns: newActiveRuns()}
}

// AttachTarget starts to accept requests for an instance of the local target. A previous one is replaced and admits no more
// work.
func (p *Proxy) AttachTarget(service, instance string, control *admission.Controller, target Target) {
	if old := p.attachedTarget.Swap(&attachedTarget{service: service, instance: instance, control: control, target: target, attachedAt: time.Now()}); old != nil {
		old.control.StopAdmitting()
	}
}

// DetachTarget refuses all further requests for the target beside this node, and those that still wait for a slot.
func (p *Proxy) DetachTarget() {
	if old := p.attachedTarget.Swap(nil); old != nil {
		old.control.StopAdmitting()
	}
}

// SetLimits changes the limits of the target beside this node, if it takes work.
func (p *Proxy) SetLimits(l admission.Limits) {
	if g := p.attachedTarget.Load(); g != nil {
		g.control.SetLimits(l)
	}
}

// Load returns the load and the limit of the target beside this node.
func (p *Proxy) Load() message.Load {
	if g := p.attachedTarget.Load(); g != nil {
		return g.control.Load()
	}
	return message.Load{}
}

// Condition returns what this node sees of the target beside it. It reports false if the target takes no work.
func (p *Proxy) Condition() (c balance.Condition, ok bool) {
	g := p.attachedTarget.Load()
	if g == nil {
		return balance.Condition{}, false
	}
	return balance.Condition{Load: g.control.Load(), Failing: g.failures.Share(time.Since(g.attachedAt))}, true
}

const (
	// retryBudgetShare is the part of the operators' bound on repeats that this node uses. The bound holds over all nodes, and repeated
	// runs repeat their calls.
	retryBudgetShare = 0.5
	// savedRetryShare is the part of the same bound that is kept for a burst. A node that is lost takes up to 0.6 s of the requests of
	// one target with it, a few in 100 of those of the operators' window.
	savedRetryShare = 0.25
)

// bucket returns the retry budget of a service.
func (p *Proxy) bucket(service string) *retry.Ranked {
	if b, ok := p.buckets.Load(service); ok {
		return b.(*retry.Ranked)
	}
	fresh := retry.NewRanked(retry.NewBucket(retryBudgetShare * p.cfg.Retries.Ratio))
	fresh.Save(savedRetryShare*p.cfg.Retries.Ratio, p.cfg.Retries.Window)
	if burst, ok := p.burst.Load().(float64); ok {
		fresh.SetBurst(burst)
	}
	b, _ := p.buckets.LoadOrStore(service, fresh)
	return b.(*retry.Ranked)
}

// SetRetryBurst sets the retries that this node may make for a service beyond the share of its requests.
func (p *Proxy) SetRetryBurst(retries float64) {
	p.burst.Store(retries)
	p.buckets.Range(func(_, b any) bool {
		b.(*retry.Ranked).SetBurst(retries)
		return true
	})
}

// Ranks of chains by the priority of the route on which they began.
const (
	topRank  = 100
	rankStep = 10
)

// priorityOf returns the priority of a request on a route. It is kept on the whole chain. Within its rank, a caller that
// comes back goes before those that come for the first time: it has waited already, and is lost if it is refused again.
func priorityOf(r *routing.Route, attempt string, returned bool) message.Priority {
	p := message.NewPriority(uint8(max(1, topRank-rankStep*r.Priority)), requestID(attempt))
	const half = 1 << 7
	low := p & (1<<8 - 1) / 2
	if returned {
		low += half
	}
	return p&^(1<<8-1) | low
}

// requestID derives the ID of a request from the caller's name of the attempt.
func requestID(attempt string) message.ID {
	var id message.ID
	h := xxhash.Sum64String(attempt)
	for i := range 8 {
		id[i] = byte(h >> (8 * i))
		id[i+8] = ^id[i]
	}
	return id
}

// refuse says that a request was not run.
func (p *Proxy) refuse(reason message.Reason, step message.Step, after time.Duration, format string, args ...any) *message.Response {
	r := message.Refuse(reason, message.Errorf(step, p.cfg.Address, format, args...))
	r.RetryAfter = after
	return r
}
