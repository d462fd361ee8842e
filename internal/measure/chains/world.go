package chains

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/mesh"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// World is a simulated deployment with its nodes and targets.
type World struct {
	site      Site
	kinds     map[string]*Kind
	nodes     []*node
	byAddress map[string]*node

	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string]int // number of runs by attempt
	ids  atomic.Int64
}

// node is a VM with its request path and target.
type node struct {
	world     *World
	address   string
	zone      int
	service   *Service
	speed     float64
	path      *mesh.Proxy
	balancers *balance.Set

	busy       atomic.Int64
	workFactor atomic.Uint64 // factor on the time of work, in units of 1/factorScale
	shedShare  atomic.Uint64 // share of requests that the target refuses, in units of 1/factorScale
	abortShare atomic.Uint64 // share of requests that the target starts and then breaks off, in units of 1/factorScale
}

const factorScale = 1000

// localShare is the ratio of the latency within an availability zone to the latency between zones.
const localShare = 0.2

// NewWorld creates a deployment of the site. The function limits returns the admission limits of a target with the given
// number of slots, as nodes set them in production.
func NewWorld(site Site, seed uint64, limits func(slots int) admission.Limits) (*World, error) {
	w := &World{site: site, kinds: map[string]*Kind{}, byAddress: map[string]*node{}, rng: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
	var routes []*routing.Route
	for i := range site.Kinds {
		k := &site.Kinds[i]
		w.kinds[k.Name] = k
		routes = append(routes, &routing.Route{
			Name: k.Name, Host: "site", Prefix: "/" + k.Name + "/", Idempotent: !k.Once, Timeout: k.Timeout, Objective: k.Objective,
			Priority: k.Priority, MaxAttempts: 2, Split: []routing.WeightedService{{Service: k.Service, Weight: 1}},
		})
	}
	var services []routing.Service
	for _, s := range site.Services {
		services = append(services, routing.Service{Name: s.Name})
	}
	table, err := routing.New(1, routes, services, routing.DefaultLimits())
	if err != nil {
		return nil, fmt.Errorf("routes of %s: %w", site.Name, err)
	}
	current := new(atomic.Pointer[routing.Table])
	current.Store(table)
	targets := map[string][]balance.Target{}
	for i := range site.Services {
		s := &site.Services[i]
		for j, speed := range s.Speeds {
			n := &node{world: w, address: s.Name + "-" + strconv.Itoa(j), zone: (i + j) % site.Zones, service: s, speed: speed}
			n.workFactor.Store(factorScale)
			w.nodes = append(w.nodes, n)
			w.byAddress[n.address] = n
			targets[s.Name] = append(targets[s.Name], balance.Target{Address: n.address, Zone: zoneName(n.zone), Slots: s.Slots})
		}
	}
	for _, n := range w.nodes {
		n.start(current, limits(n.service.Slots))
		n.balancers.Update(targets)
		if site.RetrySlack > 0 {
			n.path.SetRetryBurst(retryBurstShare * site.RetrySlack / float64(len(w.nodes)))
		}
	}
	return w, nil
}

// retryBurstShare is the share of the operators' bound that production divides among the nodes (package sidecar).
const retryBurstShare = 0.8

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

func (n *node) start(routes *atomic.Pointer[routing.Table], limits admission.Limits) {
	n.balancers = balance.NewSet(zoneName(n.zone), policy.New().Balance)
	n.path = mesh.New(mesh.Config{
		Address: n.address, Service: n.service.Name, Routes: routes, Peers: n, Pickers: n.balancers, Shed: shed.New(),
		Instance:    func(address string) string { return address },
		Unreachable: func(string, error) {},
		Log:         slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})),
		Limiter:     event.NewLimiter(0),
	})
	n.path.AttachTarget(n.service.Name, n.address, 0, admission.New(limits), n)
}

// Send implements mesh.PeerSender.
func (n *node) Send(ctx context.Context, address string, req *message.Request) *message.Response {
	to, latency := n.world.byAddress[address], n.world.site.ZoneLatency
	if to.zone == n.zone {
		latency = time.Duration(localShare * float64(latency))
	}
	time.Sleep(latency)
	r := to.path.Deliver(ctx, req)
	time.Sleep(latency)
	if ctx.Err() != nil && r.Outcome != message.NotRun {
		return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepAwait, address, "%v", ctx.Err()))
	}
	return r
}

// Do implements mesh.Target. It does the work of the request and then makes its calls, all while it occupies one slot.
func (n *node) Do(ctx context.Context, req *message.Request) *message.Response {
	if n.world.random() < float64(n.shedShare.Load())/factorScale {
		return message.Refuse(message.ReasonTargetUnable, message.Errorf(message.StepRun, n.address, "target refused the request"))
	}
	busy := n.busy.Add(1)
	defer n.busy.Add(-1)
	n.world.recordRun(req.Attempt)
	if n.world.random() < float64(n.abortShare.Load())/factorScale {
		return message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepRun, n.address, "target broke off the response"))
	}
	kind := n.world.kinds[strings.Trim(req.Path, "/")]
	work := n.world.randomWork(kind) * float64(n.workFactor.Load()) / factorScale / n.speed
	if n.service.KneeFactor > 0 && float64(busy) > kneeShare*float64(n.service.Slots) {
		work *= n.service.KneeFactor
	}
	ok := sleep(ctx, time.Duration(work))
	for _, c := range kind.Calls {
		ok = ok && n.makeCalls(ctx, req, c)
	}
	switch {
	case ctx.Err() != nil:
		return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepRun, n.address, "%v", ctx.Err()))
	case !ok:
		return &message.Response{Outcome: message.Answered, Status: http.StatusInternalServerError}
	}
	return &message.Response{Outcome: message.Answered, Status: http.StatusOK}
}

// makeCalls makes the calls of a group and reports whether all succeeded. Calls in sequence stop after the first failure.
func (n *node) makeCalls(ctx context.Context, parent *message.Request, c CallGroup) bool {
	var failed atomic.Bool
	makeCall := func() {
		r := n.path.Serve(ctx, n.world.request(n.world.kinds[c.Kind], parent.Attempt+"."+n.world.nextID(), time.Now().Add(n.world.kinds[c.Kind].Deadline)))
		if r.Outcome != message.Answered || r.Status != http.StatusOK {
			failed.Store(true)
		}
	}
	var all sync.WaitGroup
	for range c.Count {
		if c.Parallel {
			all.Go(makeCall)
		} else if !failed.Load() {
			makeCall()
		}
	}
	all.Wait()
	return !failed.Load()
}

func (w *World) request(kind *Kind, attempt string, deadline time.Time) *message.Request {
	return &message.Request{
		Host: "site", Method: http.MethodGet, Path: "/" + kind.Name + "/", Attempt: attempt, Arrived: time.Now(), Deadline: deadline,
	}
}

func (w *World) nextID() string { return strconv.FormatInt(w.ids.Add(1), 36) }

func (w *World) random() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// randomWork returns a random time of work for the kind in nanoseconds, from a log-normal distribution with the mean of the
// kind.
func (w *World) randomWork(k *Kind) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(k.Work) * math.Exp(k.Spread*w.rng.NormFloat64()-k.Spread*k.Spread/2)
}

func (w *World) recordRun(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[attempt]++
}

// Runs returns how often targets have begun to run an attempt.
func (w *World) Runs(attempt string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[attempt]
}

// forEachTarget calls do for the node of each target of a service.
func (w *World) forEachTarget(service string, do func(n *node)) {
	for _, n := range w.nodes {
		if n.service.Name == service {
			do(n)
		}
	}
}

// sleep waits for d. It returns false if the context ends first.
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
