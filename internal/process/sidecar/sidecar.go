// Package sidecar is the process that runs next to a target on VMs where requests are forwarded transparently: callers send
// plain HTTP requests to a sidecar, and the sidecars forward them to targets without a protocol that callers would have to
// know. A target is a process that serves the requests for one service; the sidecar on its VM is the node through which
// other nodes reach it. The target's own requests to other services go through the same sidecar.
//
// The package connects the listeners for callers, other nodes, readiness checks, reports of the target and metrics with
// the request path (package mesh), the links to other nodes, the directory of nodes and the active configuration.
//
// All exported methods are safe for concurrent use.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/mesh"
	"github.com/wigeoncleat/wigeoncleat/internal/process/metrics"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// Codec converts between HTTP messages and the internal requests and responses.
type Codec interface {
	// DecodeRequest decodes a request of a caller, or returns an *entry.RejectError.
	DecodeRequest(r *entry.Request) (*message.Request, error)
	// RemoveIdentity removes from the header of a request the credentials and what the caller says of its organisation, and sets
	// CredentialsHash if there were credentials.
	RemoveIdentity(req *message.Request)
	// EncodeResponse encodes the final response of a request.
	EncodeResponse(req *message.Request, r *message.Response) *entry.Response
	// EncodeRequest returns the request as it is written to the target at the given time, and the rest of its body.
	EncodeRequest(req *message.Request, now time.Time) (text, rest []byte)
	// Matches reports whether a response of the target with this header belongs to the request. A connection that is used
	// again can still deliver the response to an earlier request; the header names the attempt that a response answers.
	Matches(req *message.Request, h http.Header) bool
	// DecodeResponse decodes a complete response of a target.
	DecodeResponse(req *message.Request, a *targetconn.Response) *message.Response
}

// Store is the table through which nodes discover each other.
type Store interface {
	platform.Table
	// Delete removes a row if the condition holds. Without a condition, a row that does not exist is no error.
	Delete(ctx context.Context, key string, cond platform.Condition) error
}

// Operator is the table that contains the operator's configuration, with the feed of its changes.
type Operator interface {
	platform.Table
	platform.Feed
}

// Options are the dependencies of the process.
type Options struct {
	Settings         Settings
	Log              *slog.Logger
	Codec            Codec
	Nodes            Store
	Operator         Operator
	ConfigKey        string // key of the operator's row that holds the configuration
	DecodeConfig     func([]byte) (*routing.Table, error)
	CheckPeerAddress func(address string) error // returns an error if no node can have the address; nil: any can be one's
	// Reload reads the settings again.
	Reload func() (Settings, error)
}

// Sidecar is the process that runs next to a target.
type Sidecar struct {
	opts     Options
	settings Settings
	log      *slog.Logger
	started  time.Time

	routes     atomic.Pointer[routing.Table]
	path       *mesh.Proxy
	pool       *link.Pool
	pickers    *balance.Set
	directory  *directory.Directory
	tracker    *report.Tracker
	quarantine *quarantine.Table
	entry      *entry.Server
	memory     *memory.Budget // for all that the process holds for others
	metrics    *metrics.Metrics
	failures   *event.Limiter // rate limit of the log lines listed at failuresPerSecond
	samples    *event.Limiter // rate limit of the log lines for successful requests

	retryBurst        atomic.Pointer[float64]   // for all nodes together, see Settings
	leaving           atomic.Bool               // a graceful stop has begun
	handedOver        atomic.Bool               // the stop has reached the handover of the attached target's requests
	refusingSince     atomic.Pointer[time.Time] // from then on the stop refuses new requests; nil: it has not come so far
	targetUnreachable atomic.Bool               // connections to the target fail
	storeEpoch        platform.NewestEpoch
	registryEpoch     platform.NewestEpoch // in which this node has last seen the registry complete
	heardOfContact    atomic.Int64         // time from the start to the last StoreContact of a higher-ranked node, in nanoseconds
	following         atomic.Bool          // this node follows the store for its availability zone
	registered        atomic.Bool          // registered in the store; the nodes that started before are known and had time to answer
	ownStateRecovered atomic.Bool          // this node's state before a restart is known, see updateOwnState
	leavingsRead      atomic.Bool          // the store has told it
	toldOwnState      atomic.Bool          // a node that has run for long enough to know it has told it
	toldOwnEntry      atomic.Bool          // any node has told what it remembers of the earlier process
	inbox             chan inboundMessage
	puller            puller       // only accessed by the gossip loop
	pendingRelay      pendingRelay // only accessed by the gossip loop
	recentCallers     recentCallers
	absences          absences     // of targets of this node's service
	suspectNews       *suspectNews // records that the other nodes are to be told of
	confirmed         confirmedRevision
	confirmations     *confirmations
	quotas            *quotas
	// storedConfigRejected says that the configuration that the store had last could not be read.
	storedConfigRejected atomic.Bool
	leavings             *leavingsRecord
	ignoredWarmups       atomic.Int64  // warm-ups that the target has stated and that cannot be
	recordFailedAt       atomic.Int64  // time from the start to the last failure of recordFor, in nanoseconds; zero: none
	reconnectNow         chan struct{} // wakes the reconnect loop

	endCheckMu   sync.Mutex // held by checkTargetEnded
	endCheckedAt time.Time

	targetMu         sync.Mutex // held by applyTarget
	attachedInstance string     // instance and start time of the attached target; empty: none

	connectTarget  func(address string) exchanger // opens a pool of connections to a target; replaced by tests
	targetHasEnded func() bool                    // reports whether no process listens at the target's address; replaced by tests

	background sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
}

const (
	// inboxSize bounds the queue of received control messages. A message that finds it full is dropped; the next
	// comparison of directory digests with another node makes up for it.
	inboxSize = 256
	// linkHeartbeatTimeout is the time without a frame after which a link with pending requests is closed. It has to be
	// well below the one to two seconds within which requests have to be completed.
	linkHeartbeatTimeout  = 600 * time.Millisecond
	linkHeartbeatInterval = 200 * time.Millisecond
	linkDialTimeout       = 400 * time.Millisecond
	linkDialBackoff       = 200 * time.Millisecond
	maxForwardedBytes     = 64 << 20 // body of one request or response between nodes
)

// New assembles the process; Run starts it.
func New(opts Options) (*Sidecar, error) {
	s := &Sidecar{
		opts:         opts,
		settings:     opts.Settings,
		log:          opts.Log,
		started:      time.Now(),
		tracker:      report.NewTracker(),
		quarantine:   quarantine.New(),
		inbox:        make(chan inboundMessage, inboxSize),
		reconnectNow: make(chan struct{}, 1),
		failures:     event.NewLimiter(failuresPerSecond),
		samples:      event.NewLimiter(samplesPerSecond),
	}
	s.confirmations = newConfirmations(opts.Settings.Revocation.Limit)
	s.quotas = newQuotas(s.settings.PeerAddress, s.settings.Quota)
	s.connectTarget = func(address string) exchanger { return targetconn.NewPool(address) }
	s.targetHasEnded = func() bool { return refusesConnections(opts.Settings.TargetAddress) }
	s.memory = memory.NewBudget(budgetBytes(s.settings.MemoryBytes))
	s.retryBurst.Store(&opts.Settings.RetryBurst)
	s.ctx, s.stop = context.WithCancel(context.Background())
	incarnation := uint64(s.started.UnixMilli())
	s.directory = directory.New(directory.Member{
		Address: s.settings.PeerAddress, Zone: s.settings.Zone, Service: s.settings.Service, Incarnation: incarnation,
	})
	s.pickers = balance.NewSet(s.settings.Zone, policy.New().Balance)
	s.pool = link.NewPool(s.linkConfig(), link.WebSocketDialer(), linkHandler{s}, s.log)
	s.quarantine.SetPlace(quarantine.Place{Self: s.settings.PeerAddress, Targets: s.absences.targets})
	s.suspectNews = &suspectNews{send: s.broadcastSuspects}
	s.leavings = newLeavingsRecord(opts.Nodes, s.settings.PeerAddress, s.log, s.restoreLeavings)
	s.path = s.newPath()
	s.entry = entry.NewServer(entryHandler{s}, entry.Config{
		MaxConnections: callerConnections(s.settings.Descriptors), Budget: s.memory, StallTime: s.settings.StallTime,
	})
	s.memory.MakeRoom = s.entry.CloseSlowest
	var err error
	if s.metrics, err = metrics.New(s.gauges, s.quotaSeries); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	s.refreshTargets()
	return s, nil
}

func (s *Sidecar) linkConfig() link.Config {
	return link.Config{
		Self: link.Peer{
			Address: s.settings.PeerAddress, Incarnation: uint64(s.started.UnixMilli()), Zone: s.settings.Zone,
		},
		HeartbeatInterval: linkHeartbeatInterval,
		HeartbeatTimeout:  linkHeartbeatTimeout,
		DialTimeout:       linkDialTimeout,
		DialBackoff:       linkDialBackoff,
		MaxBody:           maxForwardedBytes,
		Budget:            s.memory,
	}
}

// newPath returns the request path, which uses the node's links and what it knows of targets.
func (s *Sidecar) newPath() *mesh.Proxy {
	return mesh.New(mesh.Config{
		Address:               s.settings.PeerAddress,
		Service:               s.settings.Service,
		Routes:                &s.routes,
		Peers:                 s.pool,
		Pickers:               s.pickers,
		Shed:                  shed.New(),
		Instance:              s.instanceAt,
		Unreachable:           s.markUnreachable,
		TargetLeaving:         s.leaveOutTarget,
		AttachedTargetLeaving: s.drainAttachedTarget,
		Quarantine:            s.quarantine,
		Suspected:             s.suspectNews.add,
		Log:                   s.log,
		Limiter:               s.failures,
		Retries:               s.settings.Retries,
		RemoveIdentity:        func(req *message.Request) { s.opts.Codec.RemoveIdentity(req) },
		Revocation:            s.revocation(),
		Quota:                 s.quotas,
		Pace:                  mesh.Pace{Settings: s.settings.Pace, Warmup: s.reportedWarmup, WarmPeers: s.hasWarmPeers},
	})
}

// revocation returns the check of withdrawn keys that the settings require.
func (s *Sidecar) revocation() mesh.Revocation {
	if !s.settings.Revocation.Strict {
		return mesh.Revocation{}
	}
	return mesh.Revocation{Confirmed: s.keysConfirmed}
}

// instanceAt returns the instance ID of the target that is attached to the node at the address.
func (s *Sidecar) instanceAt(address string) string {
	m, _ := s.directory.Member(address)
	return m.Instance
}

// markUnreachable removes the node's target from load balancing until the node is reached again.
func (s *Sidecar) markUnreachable(address string, cause error) {
	if !s.directory.SetDown(address, time.Now()) {
		return
	}
	event.Log(s.log, event.PeerUnreachable, slog.String("peer", address), slog.String("cause", cause.Error()))
	s.refreshTargets()
	select {
	case s.reconnectNow <- struct{}{}:
	default:
	}
}

// leaveOutTarget removes a target from load balancing that has said in a response to this node that it leaves.
func (s *Sidecar) leaveOutTarget(instance string, born int64) {
	if s.directory.SetTargetLeaving(instance, born, time.Now()) {
		event.Log(s.log, event.TargetLeftOut, slog.String("instance", instance), slog.Int64("born", born))
		s.refreshTargets()
	}
}

// markReachable makes the node's target available to load balancing again.
func (s *Sidecar) markReachable(address string) {
	if s.directory.SetUp(address) {
		event.Log(s.log, event.PeerReachable, slog.String("peer", address))
		s.refreshTargets()
	}
}

// retryBurstShare is the share of the burst of all nodes that is divided among them. A node that does not know all others
// takes too large a part; the rest of the burst is a margin for that.
const retryBurstShare = 0.8

// refreshTargets passes the targets of the directory to load balancing and to the choice of trials, and updates this node's part of the retry
// burst.
func (s *Sidecar) refreshTargets() {
	s.pickers.Refresh(s.servingTargets)
	s.refreshTrialTargets(time.Now())
	s.quotas.membersChanged.Store(true)
	s.path.SetRetryBurst(retryBurstShare * *s.retryBurst.Load() / float64(max(1, s.directory.Size())))
}

func (s *Sidecar) servingTargets() map[string][]balance.Target {
	targets := map[string][]balance.Target{}
	for service, members := range s.directory.Targets() {
		for _, m := range members {
			// Load balancing keeps no statistics across a restart of the target, so its incarnation is the target's start.
			targets[service] = append(targets[service], balance.Target{
				Address: m.Address, Incarnation: uint64(m.Born), Zone: m.Zone, Slots: m.Slots,
			})
		}
	}
	return targets
}

// Ready reports whether callers may connect to this node.
func (s *Sidecar) Ready() bool { return !s.leaving.Load() && s.routes.Load() != nil }

// gauges returns the current values of the metrics' gauges.
func (s *Sidecar) gauges() metrics.Gauges {
	load := s.path.Load() // requests at the attached target; Active counts all unanswered requests, also those for other nodes
	dialed, accepted := s.pool.Links()
	chains := s.path.ChainCounts()
	g := metrics.Gauges{
		Active:   int64(s.entry.Active() + s.pool.Active()),
		InFlight: int64(load.InFlight), Limit: int64(load.Limit),
		Members: int64(s.directory.Size()), Links: int64(dialed + accepted),
		RateLimit: s.path.RateLimit(),
		Epoch:     int64(s.storeEpoch.Load()),
		Held:      int64(s.quarantine.HeldCount()),
		Memory:    s.memoryGauges(),

		UnlikelyRefused: chains.Refused, IgnoredChainFigures: chains.Ignored,
		IgnoredTargetFigures: s.pickers.IgnoredFigures() + s.ignoredWarmups.Load(),
	}
	if c, ok := s.path.Condition(); ok {
		g.Slowdown, g.Pace = c.Slowdown, c.Load.Pace
	}
	if t := s.routes.Load(); t != nil {
		g.Version = int64(t.Version)
	}
	g.ConfirmationAge, g.Confirmed = s.confirmationAge()
	g.InvalidConfirmations = s.confirmations.tracker.Invalid()
	return g
}
