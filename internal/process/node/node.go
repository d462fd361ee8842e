// Package node implements the node process, which runs beside a target: a process on the same VM that serves the requests
// for one service. The node connects its network interfaces with the request engine, the links to other nodes, membership
// and the configuration rollout.
//
// The interfaces are the listeners for requests of callers, for links from other nodes, for the target's announcements and
// its requests to other services, and for operators (admin). A slot is a request that a target runs at a time.
//
// All exported methods are safe for concurrent use.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/audit"
	"github.com/wigeoncleat/wigeoncleat/internal/process/engine"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/process/membership"
	"github.com/wigeoncleat/wigeoncleat/internal/process/metrics"
	"github.com/wigeoncleat/wigeoncleat/internal/process/once"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pause"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/process/settings"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

// Options configures a Node.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Table    platform.Table   // nil without a platform
	Objects  platform.Objects // nil without a platform
}

// Node routes requests between callers, its own target and other nodes.
type Node struct {
	settings    *settings.Settings
	log         *slog.Logger
	incarnation uint64
	opts        Options

	policy    atomic.Pointer[policy.Policy]
	keys      *once.Store
	pool      *link.Pool
	engine    *engine.Engine
	admission *admission.Controller
	balancers *engine.Balancers
	target    *targetClient
	metrics   *metrics.Metrics

	announcements  *membership.Announcements
	members        *membership.Runner
	rollout        *rollout.Runner // nil without a platform
	auditTrail     *audit.Trail    // nil without a platform
	binder         *once.Binder    // nil without a platform
	activeConfig   atomic.Pointer[activeConfig]
	configUnusable atomic.Bool  // this node could not apply the version that the rollout accepted
	targetReady    atomic.Bool  // the target announced that it accepts requests
	announcedSlots atomic.Int64 // requests that the target runs at once, as it announced; 0 without an announcement

	leaving        atomic.Bool
	drainRequested chan struct{} // closed when an operator requests a graceful stop
	drainOnce      sync.Once     // closes drainRequested
}

// New returns a node. Run starts it.
func New(opts Options) (*Node, error) {
	s := opts.Settings
	n := &Node{
		settings:       s,
		log:            opts.Log,
		opts:           opts,
		incarnation:    uint64(time.Now().UnixMilli()),
		announcements:  new(membership.Announcements),
		drainRequested: make(chan struct{}),
		admission:      admission.New(admission.Limits{Slots: 1, Connections: 1}),
	}
	keys, err := once.New(once.Options{Address: s.Node.PeerAddress, Incarnation: n.incarnation})
	if err != nil {
		return nil, fmt.Errorf("idempotency keys: %w", err)
	}
	n.keys = keys
	if n.target, err = newTargetClient(context.Background(), s.Target.Address, n.policy.Load); err != nil {
		return nil, err
	}
	if n.metrics, err = metrics.New(n.gauges, nil); err != nil {
		return nil, err
	}
	n.balancers = engine.NewBalancers(s.Node.AvailabilityZone, policy.New().Balance)
	n.pool = link.NewPool(link.Config{
		Self:              link.Peer{Address: s.Node.PeerAddress, Incarnation: n.incarnation, Zone: s.Node.AvailabilityZone},
		HeartbeatInterval: s.Link.HeartbeatInterval,
		HeartbeatTimeout:  s.Link.HeartbeatTimeout,
		IdleTimeout:       s.Link.IdleTimeout,
		MaxLinks:          s.Link.MaxLinks,
	}, link.WebSocketDialer(), n, n.log)
	n.binder = newBinder(keys, opts.Table)
	n.engine = engine.New(engine.Config{
		Address:   s.Node.PeerAddress,
		Service:   s.Target.Service,
		Policy:    &n.policy,
		Confirmed: n.confirmed, // whether the configuration allows new requests now
		Ready:     n.targetReady.Load,
		Peers:     n.pool,
		Target:    n.target,
		Admission: engine.NewAdmission(n.admission),
		Pickers:   n.balancers,
		Shedder:   shed.New(),
		Keys:      keys,
		Binder:    n.binder,
	})
	n.members = n.newMembers()
	n.rollout = n.newRollout()
	if opts.Table != nil {
		n.auditTrail = audit.New(opts.Table, s.Node.PeerAddress, 0, n.log)
	}
	return n, nil
}

// newBinder returns the binder that gives a caller's own idempotency key a home node, or nil without a platform.
func newBinder(keys *once.Store, table platform.Table) *once.Binder {
	if table == nil {
		return nil
	}
	return once.NewBinder(keys, table, once.BinderOptions{})
}

func (n *Node) newMembers() *membership.Runner {
	s := n.settings
	r := membership.NewRunner(membership.Options{
		Self: membership.Member{
			Address:     s.Node.PeerAddress,
			Caller:      s.Node.CallerAddress,
			Instance:    rand.Uint64(), // tells two processes apart; the incarnation grows while the process runs
			Incarnation: n.incarnation,
			Zone:        s.Node.AvailabilityZone,
			Region:      s.Node.Region,
		},
		Seed:          rand.Uint64(), // of the random number generator
		Seeds:         s.Seeds,       // addresses of nodes through which this one joins
		Transport:     gossipTransport{n.pool},
		Announcements: n.announcements,
		Table:         n.opts.Table,
		Logger:        n.log,
	})
	r.Subscribe(func(snap *membership.Snapshot, events []membership.Event) {
		n.updateBalancers()
		n.auditMembers(snap, events)
	})
	return r
}

// gossipTransport sends membership messages over links.
type gossipTransport struct{ pool *link.Pool }

func (t gossipTransport) Send(ctx context.Context, peer string, payload []byte) error {
	return t.pool.SendControl(ctx, peer, wire.ChannelGossip, payload)
}

// HandleRequest implements link.Handler.
func (n *Node) HandleRequest(ctx context.Context, _ link.Peer, req *message.Request) *message.Response {
	start := time.Now()
	r := n.engine.HandlePeer(ctx, req)
	n.metrics.Request("peer", r, time.Since(start))
	return r
}

// HandleControl implements link.Handler.
func (n *Node) HandleControl(from link.Peer, channel wire.Channel, payload []byte) {
	switch channel {
	case wire.ChannelGossip:
		n.members.Receive(from.Address, payload)
	case wire.ChannelConfig:
		n.receiveConfig(from.Address, payload)
	}
}

// requestLimits returns the limits on request sizes of the policy in force, or the defaults if there is none.
func (n *Node) requestLimits() policy.Limits {
	if pol := n.policy.Load(); pol != nil {
		return pol.Limits
	}
	return policy.New().Limits
}

// Apply makes pol the policy in force. A policy with a lower version than the current one is ignored and reported as an
// invariant violation.
func (n *Node) Apply(pol *policy.Policy) {
	old := n.policy.Load()
	if old != nil && pol.Version < old.Version {
		invariant.Check(invariant.VersionMonotonic, false, "version %d after %d", pol.Version, old.Version)
		return
	}
	n.policy.Store(pol)
	n.keys.SetValidity(pol.Once.KeyValidity)
	n.balancers.SetPolicy(pol.Balance)
	n.updateAdmissionLimits()
}

// rampDuration is the time over which the load of a target that has just become ready rises to its full share.
const rampDuration = 5 * time.Second

// updateAdmissionLimits sets the limits of admission control from the policy and the slots that the target announced, and
// how fast a target with idle slots readmits requests that were shed (the return step).
func (n *Node) updateAdmissionLimits() {
	pol := n.policy.Load()
	if pol == nil {
		return
	}
	svc, ok := pol.Services[n.settings.Target.Service]
	if !ok {
		return
	}
	own := *svc
	if announced := int(n.announcedSlots.Load()); announced > 0 {
		own.Slots = min(own.Slots, announced)
	}
	n.admission.SetReturnStep(pol.Shed.ReturnStep)
	n.admission.SetLimits(admission.LimitsOf(pol, &own, rampDuration))
}

// Listeners holds the listener of each network interface of a node.
type Listeners struct {
	Caller, Peer, Target, Admin net.Listener
}

// Listen opens listeners on the addresses in the settings.
func Listen(s *settings.Settings) (Listeners, error) {
	var listeners Listeners
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&listeners.Caller, s.Node.CallerAddress},
		{&listeners.Peer, s.Node.PeerAddress},
		{&listeners.Target, s.Node.TargetInterfaceAddress},
		{&listeners.Admin, s.Node.AdminAddress},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			listeners.Close()
			return Listeners{}, fmt.Errorf("listen: %w", err)
		}
		*l.into = opened
	}
	return listeners, nil
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Caller, l.Peer, l.Target, l.Admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// ErrRequestsAborted reports a graceful stop that ended with requests still in flight.
var ErrRequestsAborted = errors.New("requests in flight were aborted")

// Run serves until ctx ends or an operator requests a graceful stop, and then waits for requests in flight. The wait ends
// early when abort ends; the remaining requests are then aborted. Run returns after every goroutine that it started has ended.
func (n *Node) Run(ctx context.Context, listeners Listeners, abort context.Context) error {
	servers := n.newServers(listeners)
	serverErrs := servers.start()
	runCtx, cancelRun := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { pause.Watch(runCtx) }) // detects when the process or its VM did not run for a time
	wg.Go(func() { n.members.Run(runCtx) })
	wg.Go(func() { n.pollTargetLease(runCtx) })
	if n.rollout != nil {
		wg.Go(func() { n.rollout.Run(runCtx) })
		wg.Go(func() { n.auditTrail.Run(runCtx) })
		wg.Go(func() { n.binder.Run(runCtx) })
	}
	event.Log(n.log, event.ProcessStarted, slog.String("peer_address", n.settings.Node.PeerAddress),
		slog.String("caller_address", n.settings.Node.CallerAddress), slog.Uint64("incarnation", n.incarnation))
	var err error
	select {
	case err = <-serverErrs:
	case <-ctx.Done():
		n.auditDrain("signal")
		err = n.shutdown(abort, servers)
	case <-n.drainRequested:
		n.auditDrain("operator")
		err = n.shutdown(abort, servers)
	}
	cancelRun()
	servers.close()
	n.pool.Close()
	wg.Wait()
	event.Log(n.log, event.ProcessStopped)
	return err
}

// refusalPeriod is how long a leaving node keeps its listeners open and refuses new requests, so that callers and peers
// learn that it is leaving from a response and not from a closed connection.
const refusalPeriod = time.Second

// shutdown waits for requests in flight until the drain limit or the end of abort, and then stops the servers. Before the
// wait, the engine refuses new requests of callers, admission refuses those that are queued for the target, and membership
// announces the node as draining, so that other nodes send it none. After the wait, membership announces that it has left.
func (n *Node) shutdown(abort context.Context, servers *servers) error {
	event.Log(n.log, event.DrainStarted, slog.Int("active", n.engine.Active()))
	n.leaving.Store(true)
	n.engine.Leave()
	n.admission.StopAdmitting()
	n.members.Drain()
	ctx, cancel := context.WithTimeout(abort, n.settings.Drain.Limit)
	defer cancel()
	aborted := n.pool.Drain(ctx) + n.awaitIdle(ctx) // requests of other nodes, and of callers and the own target
	if err := n.members.Leave(ctx); err != nil {
		event.Log(n.log, event.LeaveUnsent, slog.String("error", err.Error()))
	}
	if aborted == 0 {
		sleep(ctx, refusalPeriod)
		servers.shutdown(ctx)
		active := n.engine.Active() + n.pool.Active()
		invariant.Check(invariant.DrainComplete, ctx.Err() != nil || active == 0, "%d requests after the graceful stop", active)
	}
	if aborted > 0 {
		n.giveUp(servers)
		event.Log(n.log, event.DrainIncomplete, slog.Int("cut", aborted))
		return fmt.Errorf("graceful stop: %w: %d", ErrRequestsAborted, aborted)
	}
	return nil
}

// giveUpTimeout bounds the time to answer the requests that are given up at the end of a graceful stop.
const giveUpTimeout = 150 * time.Millisecond

// giveUp answers the requests that are still in flight, so that their callers need not wait for nothing.
func (n *Node) giveUp(servers *servers) {
	ctx, cancel := context.WithTimeout(context.Background(), giveUpTimeout)
	defer cancel()
	servers.giveUp(message.ErrStopping)
	n.pool.GiveUp(message.ErrStopping)
	n.pool.Drain(ctx)
	n.awaitIdle(ctx)
	servers.shutdown(ctx) // writes the responses
}

// drainPollInterval is the interval at which a graceful stop checks for requests in flight.
const drainPollInterval = 10 * time.Millisecond

// awaitIdle waits until no request is in flight or ctx ends, and returns the number of requests still in flight.
func (n *Node) awaitIdle(ctx context.Context) int {
	for n.engine.Active() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return n.engine.Active()
		}
	}
	return 0
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
