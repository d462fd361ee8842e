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

// System is one of the systems that are compared.
type System string

// Systems.
const (
	Real  System = "wigeoncleat"
	Naive System = "naive"
)

// server is what the world needs from a node of either system.
type server interface {
	caller
	Serve(ctx context.Context, req *message.Request) *message.Response
	HandlePeer(ctx context.Context, req *message.Request) *message.Response
	// IssueKey returns an idempotency key for a request that is sent to this node.
	IssueKey() string
	// SetTargets replaces the targets that the node knows, by service.
	SetTargets(targets map[string][]*member)
	Leave()
}

// member is a node with its target, as other nodes see it.
type member struct {
	address string
	zone    int
	slots   int
	service string
	server  server
	target  *fakeTarget
	leaving atomic.Bool
}

// World is a deployment with its callers.
type World struct {
	site            Site
	system          System
	policy          *atomic.Pointer[policy.Policy]
	members         []*member
	byAddr          map[string]*member
	partitionedZone atomic.Int64 // availability zone that is cut off; -1: none
	hadPartition    atomic.Bool  // an availability zone has been cut off
	ledger          *ledger

	platform       *memory.Platform
	platformDown   atomic.Bool
	callerKeyShare float64 // share of the orders that bring keys of their callers

	rngMu sync.Mutex
	rng   *rand.Rand
}

// detectionDelay is how long it takes until all nodes have a failed or returned member out of or in their list: the time of
// membership's probes, suspicion and spreading.
const detectionDelay = 4 * time.Second

// The time after which a request on a silent connection is given up, and after which a dial fails.
const (
	silentTimeout = time.Second
	dialTimeout   = 500 * time.Millisecond
)

// platformDelay is the latency of a call of the platform.
const platformDelay = 5 * time.Millisecond

// SetPlatformDown starts or ends an outage of the platform, in which every call fails.
func (w *World) SetPlatformDown(down bool) {
	w.platformDown.Store(down)
	w.platform.SetFaults(memory.Faults{Delay: platformDelay, Down: down})
}

// Options vary a deployment.
type Options struct {
	Seed uint64
	// SlotFactors scales the slots of the targets of a service in turn, for example 1, 2, 4. Empty: all are equal.
	SlotFactors []float64
	// ReportIdle lists addresses of nodes whose load reports always say that they are idle.
	ReportIdle map[string]bool
	// CallerKeyShare is the share of the orders that bring idempotency keys of their callers; nodes issue the others.
	CallerKeyShare float64
}

// NewWorld builds a deployment of the system.
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

// announce tells every node which members there are.
func (w *World) announce(members []*member) {
	targets := map[string][]*member{}
	for _, m := range members {
		targets[m.service] = append(targets[m.service], m)
	}
	for _, m := range w.members {
		m.server.SetTargets(targets)
	}
}

// PartitionZone cuts an availability zone off from all others and from the callers, and Heal ends the cut. The nodes learn of
// it after the time that membership takes.
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

// HealPartition ends a cut.
func (w *World) HealPartition() {
	w.partitionedZone.Store(-1)
	time.AfterFunc(detectionDelay, func() { w.announce(w.activeMembers()) })
}

// connected reports whether two availability zones reach each other.
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

// sender sends the requests of one node to others.
type sender struct {
	world *World
	from  *member
}

// Send implements engine.PeerSender.
func (s sender) Send(ctx context.Context, address string, req *message.Request) *message.Response {
	to, ok := s.world.byAddr[address]
	if !ok {
		return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, address, "no such node"))
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

// await waits for the response. On a connection that has gone silent it gives up as a link does.
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

// policy returns the site's policy.
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
