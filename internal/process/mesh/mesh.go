// Package mesh implements the transparent proxy, one of which runs beside each target. It routes a request by host and path,
// chooses a target of the service, sends the request to the node of that target and retries at another target where that is
// safe. It also admits the requests that other nodes and its own node send to its own target, forwards them to the target and
// returns the target's response. HTTP connections and the links between nodes are behind interfaces.
//
// The attached target is the target on the VM of this node. A run is a request in progress at the attached target, in one of
// its slots. The requests that a target makes for a run are its calls; they pass through the proxy of the same VM. A request
// from outside with all calls that result from it is a chain. The hop of a request is the number of calls that lead to it: 0
// for a new request, which is not a call, at the entry node, where it enters the mesh. The services upstream and downstream of
// a service are its callers and those that it calls.
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
	"github.com/wigeoncleat/wigeoncleat/internal/process/chain"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pace"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/process/ratelimit"
	"github.com/wigeoncleat/wigeoncleat/internal/process/responsetime"
	"github.com/wigeoncleat/wigeoncleat/internal/process/servicetime"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/process/window"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// PeerSender sends requests to other nodes.
type PeerSender interface {
	// Send sends req to the node at the address and waits for its response or for ctx to end. The outcome is NotRun only
	// if the request provably was not run.
	Send(ctx context.Context, address string, req *message.Request) *message.Response
}

// Target is a connection to the attached target.
type Target interface {
	// Do sends req to the target and waits for its response or for ctx to end.
	Do(ctx context.Context, req *message.Request) *message.Response
}

// Pickers finds the picker of a service.
type Pickers interface {
	Picker(service string) *balance.Picker // nil if the service never had a target
}

// Config holds the dependencies and settings of a Proxy. Fields are required unless their comment says what zero means.
type Config struct {
	Address string // of this node's peer interface
	Service string // service of this VM; sent as Request.Caller with each request that Serve forwards, also for outside callers
	Routes  *atomic.Pointer[routing.Table]
	Peers   PeerSender
	Pickers Pickers
	Shed    *shed.Table
	// Instance returns the instance ID of the target attached to the node at the address. A target process that replaces
	// another one at the same address has another instance ID; Deliver refuses requests for any but the attached one.
	Instance func(address string) string
	// Unreachable is called for each node that could not be reached.
	Unreachable func(address string, cause error)
	// TargetLeaving is called for each response that shows that the target process leaves, before the response is passed on. The
	// process is named by its instance ID and its start time in Unix milliseconds.
	TargetLeaving func(instance string, born int64)
	// AttachedTargetLeaving is called once when the attached target has said in a response that it leaves.
	AttachedTargetLeaving func(instance string, born int64)
	Quarantine            *quarantine.Table // suspects that this node knows of; nil: a table of its own
	// Suspected is called with what this node has learned of suspects, for other nodes; nil: it is not passed on.
	Suspected func([]quarantine.Record)
	Log       *slog.Logger
	// Chains holds what chains need of services that refuse or fail requests; nil: a table of its own.
	Chains  *chain.Table
	Limiter *event.Limiter // limits the rate of log lines about single requests
	Retries RetryBounds    // zero: defaultRetries
	// RemoveIdentity removes from the header of a request the credentials and what the caller says of its organisation, and sets
	// CredentialsHash. It is called if the configuration has organisations.
	RemoveIdentity func(*message.Request)
	Revocation     Revocation
	Quota          Quota // nil: organisations have no quotas
	Pace           Pace  // of the attached target after a start; zero: it uses all of its slots at once
}

// RetryBounds are the operators' limits on the retries to one service, summed over all nodes.
type RetryBounds struct {
	Ratio  float64       // of retries to first attempts
	Window time.Duration // over which both are counted
}

// defaultRetries apply to deployments that set no bounds. Both organisations that run the system use these values.
var defaultRetries = RetryBounds{Ratio: 0.2, Window: 10 * time.Second}

// Proxy forwards requests of callers and of the attached target, and delivers requests of other nodes to the attached target.
type Proxy struct {
	cfg        Config
	activeRuns *activeRuns

	attachedTarget atomic.Pointer[attachedTarget] // nil while no target is attached
	latestTarget   atomic.Pointer[attachedTarget] // the last one that was attached
	knownRates     knownRates
	buckets        sync.Map     // map of service to *retry.RankedBucket
	burst          atomic.Value // float64; set by SetRetryBurst

	stopAt       atomic.Pointer[time.Time] // see StopAt; nil: the node does not stop
	requestTimes responsetime.Tracker      // of the requests that this node forwards, by route
	runTimes     responsetime.Tracker      // of the runs at the attached target, by route
}

// attachedTarget is the target of this node with its admission control and its measurements.
type attachedTarget struct {
	service    string
	instance   string      // instance ID, see Config.Instance
	leaving    atomic.Bool // the target has said in a response that it leaves
	born       int64       // start of the target process, Unix milliseconds; an instance ID can be used again
	control    *admission.Controller
	target     Target
	attachedAt time.Time
	failures   balance.FailureRate // its clock starts at attachedAt
	times      *servicetime.Meter  // of its requests by route; its clock starts at attachedAt
	windows    window.Set          // limits on runs in progress, by route
	pace       *pace.Pacer
	past       *servicetime.Meter // of the target that was attached before; nil: none was
	rate       *ratelimit.Limiter // limit on requests per second that the target names
	cutOff     *cutOffRequests    // of the target process
	ended      atomic.Bool        // TargetEnded was called
}

// New returns a proxy without an attached target.
func New(cfg Config) *Proxy {
	if cfg.Retries == (RetryBounds{}) {
		cfg.Retries = defaultRetries
	}
	if cfg.Chains == nil {
		cfg.Chains = chain.New()
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New()
	}
	if cfg.Suspected == nil {
		cfg.Suspected = func([]quarantine.Record) {}
	}
	return &Proxy{cfg: cfg, activeRuns: newActiveRuns()}
}

// AttachTarget starts to accept requests for the target of this node that has the given instance ID and start time. A target that
// was attached before admits no more requests.
func (p *Proxy) AttachTarget(service, instance string, born int64, control *admission.Controller, target Target) {
	rate := ratelimit.New()
	control.SetRate(rate)
	g := &attachedTarget{
		service: service, instance: instance, born: born, control: control, target: target, attachedAt: time.Now(), rate: rate,
		cutOff: &cutOffRequests{}, times: new(servicetime.Meter), pace: pace.New(p.cfg.Pace.Settings),
	}
	before := p.latestTarget.Load()
	returned := before != nil && before.instance == instance && before.born == born // the process was only detached
	if returned {
		g.cutOff = before.cutOff
	}
	if before != nil {
		g.past = before.times
	}
	p.startPace(g, returned)
	p.latestTarget.Store(g)
	if old := p.attachedTarget.Swap(g); old != nil {
		old.control.StopAdmitting()
	}
}

// DetachTarget refuses all further requests for the attached target, and those that still wait for a slot. Requests that have
// started are not interrupted.
func (p *Proxy) DetachTarget() {
	if old := p.attachedTarget.Swap(nil); old != nil {
		old.control.StopAdmitting()
	}
}

// SetLimits changes the limits of the attached target, if there is one.
func (p *Proxy) SetLimits(l admission.Limits) {
	if g := p.attachedTarget.Load(); g != nil {
		g.control.SetLimits(l)
	}
}

// Load returns the load and the limit of the attached target, or zero if there is none.
func (p *Proxy) Load() message.Load {
	if g := p.attachedTarget.Load(); g != nil {
		return g.load()
	}
	return message.Load{}
}

// RateLimit returns the limit on requests per second that the attached target names, or zero if there is none.
func (p *Proxy) RateLimit() float64 {
	if g := p.attachedTarget.Load(); g != nil {
		return g.rate.Rate()
	}
	return 0
}

// Condition returns the load and the share of failures of the attached target. It reports false if there is none.
func (p *Proxy) Condition() (c balance.Condition, ok bool) {
	g := p.attachedTarget.Load()
	if g == nil {
		return balance.Condition{}, false
	}
	return balance.Condition{Load: g.load(), FailureRate: g.failures.Rate(time.Since(g.attachedAt)),
		Slowdown: g.times.Slowdown(time.Since(g.attachedAt))}, true
}

const (
	// retryBudgetShare is the part of the operators' retry ratio that this node uses for the requests that it forwards itself.
	// The rest is a margin: the ratio limits the sum over all nodes, and a request that is retried makes its calls again, which
	// adds retries at downstream services.
	retryBudgetShare = 0.5
	// savedRetryShare is the part of the same ratio that unused retries may add to the burst. They cover the failure of a node,
	// which is detected after up to 0.6 s (the heartbeat time-out of links). The requests sent to its target in that time are
	// lost; they are a few per cent of the requests in the operators' window.
	savedRetryShare = 0.25
)

// bucket returns the retry budget of a service.
func (p *Proxy) bucket(service string) *retry.RankedBucket {
	if b, ok := p.buckets.Load(service); ok {
		return b.(*retry.RankedBucket)
	}
	fresh := retry.NewRankedBucket(retry.NewBucket(retryBudgetShare * p.cfg.Retries.Ratio))
	fresh.SetCarryOver(savedRetryShare*p.cfg.Retries.Ratio, p.cfg.Retries.Window)
	if burst, ok := p.burst.Load().(float64); ok {
		fresh.SetBurst(burst)
	}
	b, _ := p.buckets.LoadOrStore(service, fresh)
	return b.(*retry.RankedBucket)
}

// SetRetryBurst sets the number of retries to a service that this node keeps for a burst. Each first attempt earns a fraction of
// a retry up to that number, or more if savedRetryShare adds to it.
func (p *Proxy) SetRetryBurst(retries float64) {
	p.burst.Store(retries)
	p.buckets.Range(func(_, b any) bool {
		b.(*retry.RankedBucket).SetBurst(retries)
		return true
	})
}

// The rank of a chain is topRank less rankStep for each step by which the priority of its first route is below the highest, 0.
// Requests of a lower rank are shed first. If the configuration has organisations, rankStep counts the priority of the organisation,
// and the priority of the route one for each step, see rankOf.
const (
	topRank  = 100
	rankStep = 10
)

// priorityOf returns the priority of a new request of a rank, which its whole chain inherits. Within a rank, the retry of a
// caller that was refused (returned) has precedence over first attempts: the caller has waited already, and most callers retry
// only once, so that a second refusal loses the request.
func priorityOf(rank uint8, attempt string, returned bool) message.Priority {
	p := message.NewPriority(rank, requestID(attempt))
	const half = 1 << 7
	low := p & (1<<8 - 1) / 2
	if returned {
		low += half
	}
	return p&^(1<<8-1) | low
}

// requestID derives the ID that the nodes use for a request from the attempt ID that its caller has set. The caller sets another
// attempt ID for each of its own attempts; the attempts that this proxy makes at several targets all carry the same one.
func requestID(attempt string) message.ID {
	var id message.ID
	h := xxhash.Sum64String(attempt)
	for i := range 8 {
		id[i] = byte(h >> (8 * i))
		id[i+8] = ^id[i]
	}
	return id
}

// refuse returns a response saying that the request was not run, with the given retry-after time; zero means that a retry is of
// no use.
func (p *Proxy) refuse(reason message.Reason, step message.Step, after time.Duration, format string, args ...any) *message.Response {
	r := message.Refuse(reason, message.Errorf(step, p.cfg.Address, format, args...))
	r.RetryAfter = after
	return r
}
