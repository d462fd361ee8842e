package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// System names an implementation in the comparison.
type System string

// The systems of the comparison.
const (
	Real  System = "wigeoncleat"
	Naive System = "naive"
)

// server is the interface of a node of either system.
type server interface {
	caller
	Serve(ctx context.Context, req *message.Request) *message.Response
	HandlePeer(ctx context.Context, req *message.Request) *message.Response
	// IssueKey returns an idempotency key for a request to this node.
	IssueKey() string
	// SetTargets replaces the node's list of targets, by service.
	SetTargets(targets map[string][]*member)
	Leave()
}

// member is a node with its local target.
type member struct {
	address string
	zone    int
	slots   int
	service string
	server  server
	target  *fakeTarget
	leaving atomic.Bool
}

// World is a simulated deployment.
type World struct {
	site            Site
	system          System
	policy          *atomic.Pointer[policy.Policy]
	members         []*member
	byAddr          map[string]*member
	partitionedZone atomic.Int64 // availability zone that is cut off from the others, or -1
	hadPartition    atomic.Bool  // whether an availability zone was ever cut off
	ledger          *ledger

	platform       *memory.Platform
	platformDown   atomic.Bool
	callerKeyShare float64 // share of the orders with idempotency keys chosen by their callers

	rngMu sync.Mutex
	rng   *rand.Rand
}

// detectionDelay is the time until all nodes have removed a failed member from their lists, or added one that is back: the
// probes, suspicion and dissemination of the membership protocol.
const detectionDelay = 4 * time.Second

// Timeouts for requests on a connection that went silent, and for dialing.
const (
	silentTimeout = time.Second
	dialTimeout   = 500 * time.Millisecond
)

// platformDelay is the latency of a call to the platform.
const platformDelay = 5 * time.Millisecond

// SetPlatformDown starts or ends an outage of the platform, in which every call fails.
func (w *World) SetPlatformDown(down bool) {
	w.platformDown.Store(down)
	w.platform.SetFaults(memory.Faults{Delay: platformDelay, Down: down})
}

// Options are the parameters of a simulated deployment.
type Options struct {
	Seed uint64
	// SlotFactors scales the number of slots of the targets of each service in turn, for example 1, 2, 4. If it is empty,
	// all targets have the nominal number.
	SlotFactors []float64
	// ReportIdle holds the addresses of nodes that always report no requests in flight.
	ReportIdle map[string]bool
	// CallerKeyShare is the share of the orders with idempotency keys chosen by their callers. Nodes issue the other keys.
	CallerKeyShare float64
}

// NewWorld creates a deployment of the site with the given system.
func NewWorld(site Site, system System, opts Options) *World {
	w := &World{
		site: site, system: system, policy: new(atomic.Pointer[policy.Policy]), byAddr: map[string]*member{},
		ledger: newLedger(), rng: newRNG(opts.Seed), platform: memory.New(), callerKeyShare: opts.CallerKeyShare,
	}
	w.platform.SetFaults(memory.Faults{Delay: platformDelay})
	w.partitionedZone.Store(-1)
	w.policy.Store(site.policy())
	for i := range site.Services {
		w.addService(&site.Services[i], i, opts)
	}
	w.announce(w.members)
	return w
}

func (w *World) addService(svc *Service, index int, opts Options) {
	for n := range svc.Targets {
		factor := 1.0
		if len(opts.SlotFactors) > 0 {
			factor = opts.SlotFactors[n%len(opts.SlotFactors)]
		}
		m := &member{
			address: fmt.Sprintf("%s-%d", svc.Name, n),
			zone:    (n + index) % w.site.Zones,
			slots:   max(1, int(float64(svc.Slots)*factor)),
			service: svc.Name,
		}
		m.target = newFakeTarget(w, svc, m.slots)
		if w.system == Naive {
			m.server = newNaive(w, m)
		} else {
			m.server = newReal(w, m, opts.ReportIdle[m.address])
		}
		m.target.node = m.server
		w.members = append(w.members, m)
		w.byAddr[m.address] = m
	}
}

// announce sets the list of targets of every node, including nodes that have left, to the given members.
func (w *World) announce(members []*member) {
	targets := map[string][]*member{}
	for _, m := range members {
		targets[m.service] = append(targets[m.service], m)
	}
	for _, m := range w.members {
		m.server.SetTargets(targets)
	}
}

// PartitionZone partitions an availability zone from all others and from the callers until HealPartition is called. All
// nodes remove its members from their lists after detectionDelay.
func (w *World) PartitionZone(zone int) {
	w.partitionedZone.Store(int64(zone))
	w.hadPartition.Store(true)
	time.AfterFunc(detectionDelay, func() {
		if w.partitionedZone.Load() != int64(zone) {
			return
		}
		var reachable []*member
		for _, m := range w.activeMembers() {
			if m.zone != zone {
				reachable = append(reachable, m)
			}
		}
		w.announce(reachable)
	})
}

// HealPartition ends the partition. All nodes add the members of the zone again after detectionDelay.
func (w *World) HealPartition() {
	w.partitionedZone.Store(-1)
	time.AfterFunc(detectionDelay, func() { w.announce(w.activeMembers()) })
}

// connected reports whether two availability zones can reach each other.
func (w *World) connected(a, b int) bool {
	partitionedZone := int(w.partitionedZone.Load())
	return a == b || (a != partitionedZone && b != partitionedZone)
}

// latency returns the one-way latency between two availability zones.
func (w *World) latency(a, b int) time.Duration {
	if a == b {
		return w.site.localLatency()
	}
	return w.site.ZoneLatency
}

// sender sends requests from one node to others.
type sender struct {
	world *World
	from  *member
}

// Send implements engine.PeerSender.
func (s sender) Send(ctx context.Context, address string, req *message.Request) *message.Response {
	to, ok := s.world.byAddr[address]
	if !ok {
		return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, address, "unknown address"))
	}
	s.world.ledger.attempt(req.ID)
	delay := s.world.latency(s.from.zone, to.zone)
	if !s.world.connected(s.from.zone, to.zone) {
		if !sleep(ctx, dialTimeout) {
			return message.Refuse(message.ReasonDeadline, message.Errorf(message.StepDial, address, "%v", ctx.Err()))
		}
		return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, address, "timeout"))
	}
	response := make(chan *message.Response, 1)
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	downstream := *req
	go func() {
		defer cancel()
		time.Sleep(delay)
		r := to.server.HandlePeer(runCtx, &downstream)
		time.Sleep(delay)
		if s.world.connected(s.from.zone, to.zone) {
			response <- r
		}
	}()
	return s.await(ctx, to, response, func() { time.AfterFunc(delay, cancel) })
}

// await waits for the response. Like a link, it gives up with an unknown outcome when the connection has gone silent; it then
// does not call abandon, which cancels the request at the peer.
func (s sender) await(ctx context.Context, to *member, response <-chan *message.Response, abandon func()) *message.Response {
	ticker := time.NewTicker(silentTimeout)
	defer ticker.Stop()
	for {
		select {
		case r := <-response:
			return r
		case <-ctx.Done():
			abandon()
			return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepAwait, to.address, "%v", ctx.Err()))
		case <-ticker.C:
			if !s.world.connected(s.from.zone, to.zone) {
				return message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepAwait, to.address, "silent"))
			}
		}
	}
}

// policy returns the policy of the site, with the settings of Settings if there are any.
func (s Site) policy() *policy.Policy {
	p := policy.New()
	p.Version = 1
	if own := s.Settings; own != nil {
		p.Retry, p.Queue, p.Shed, p.Limits, p.Balance, p.Once = own.Retry, own.Queue, own.Shed, own.Limits, own.Balance, own.Once
	}
	for _, svc := range s.Services {
		ps := &policy.Service{Name: svc.Name, Slots: svc.Slots, Connections: svc.Connections}
		for _, r := range s.Routes {
			if r.Service == svc.Name {
				ps.Routes = append(ps.Routes, policy.Route{
					Name: r.Name, Prefix: "/", Class: r.Class, Rank: r.Rank, Idempotent: !r.Once, Timeout: clientTimeout,
				})
			}
		}
		if len(ps.Routes) == 0 {
			ps.Routes = []policy.Route{{
				Name: svc.Name, Prefix: "/", Class: "browse", Rank: rankBrowse, Idempotent: true, Timeout: clientTimeout,
			}}
		}
		p.Services[svc.Name] = ps
	}
	return p
}
