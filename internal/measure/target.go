package measure

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// caller is what a target needs from the node beside it.
type caller interface {
	ServeFromTarget(ctx context.Context, req *message.Request) *message.Response
}

// fakeTarget runs requests in a fixed number of slots, in the order of their arrival, and holds the slot while it calls
// the services below.
type fakeTarget struct {
	world             *World
	service           *Service
	node              caller
	slots             chan struct{}
	serviceTimeFactor atomic.Uint64 // of the service time, in thousandths
	openConnections   atomic.Int64  // connections
	refusing          atomic.Bool   // accepts no connection
}

const factorScale = 1000

func newFakeTarget(w *World, svc *Service, slots int) *fakeTarget {
	t := &fakeTarget{world: w, service: svc, slots: make(chan struct{}, slots)}
	t.serviceTimeFactor.Store(factorScale)
	return t
}

// setServiceTimeFactor sets the factor on the service time.
func (t *fakeTarget) setServiceTimeFactor(serviceTimeFactor float64) {
	t.serviceTimeFactor.Store(uint64(serviceTimeFactor * factorScale))
}

// Do implements engine.Target.
func (t *fakeTarget) Do(ctx context.Context, req *message.Request) *message.Response {
	if t.refusing.Load() {
		return t.refused()
	}
	if t.openConnections.Add(1) > int64(t.service.Connections) {
		t.openConnections.Add(-1)
		return t.refused()
	}
	defer t.openConnections.Add(-1)
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepRun, t.service.Name, "%v", ctx.Err()))
	}
	start := time.Now()
	end := t.world.ledger.begin(req, t.service.Name)
	defer func() { <-t.slots }()
	resp := t.run(ctx, req)
	end(time.Since(start), resp)
	if resp == nil {
		return message.UnknownOutcome(message.ReasonDeadline, message.Errorf(message.StepRun, t.service.Name, "%v", ctx.Err()))
	}
	return resp
}

// run does the work and the calls. It returns nil if the caller left. A request whose first call was not run has had no
// effects, and the answer declares so.
func (t *fakeTarget) run(ctx context.Context, req *message.Request) *message.Response {
	resp := &message.Response{Outcome: message.Answered, Status: http.StatusOK, Body: req.ID[:]}
	if !sleep(ctx, t.serviceTime()) {
		return nil
	}
	for i, callee := range t.service.Calls {
		r := t.node.ServeFromTarget(ctx, &message.Request{
			ID: req.ID, Span: req.Span, Service: callee, Method: http.MethodGet, Path: "/",
			Deadline: req.Deadline, Retries: 1 << 30,
		})
		if ctx.Err() != nil {
			return nil
		}
		if r.Outcome != message.Answered || r.Status != http.StatusOK {
			resp.Status = http.StatusBadGateway
			if i == 0 && r.Outcome == message.NotRun {
				resp.Header = http.Header{message.HeaderDeclined: {message.Declined}}
			}
			return resp
		}
	}
	return resp
}

// serviceTime draws from 50 % to 150 % of the mean.
func (t *fakeTarget) serviceTime() time.Duration {
	mean := float64(t.service.MeanServiceTime) * float64(t.serviceTimeFactor.Load()) / factorScale
	return time.Duration(mean * (0.5 + t.world.random()))
}

// sleep waits for d and reports false if the context ends before.
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

// execution is one run of a request at a target.
type execution struct {
	service  string
	duration time.Duration
	ok       bool
	declined bool // it had no effects, and the target declared so
}

// ledger records what the targets ran, by root request.
type ledger struct {
	mu       sync.Mutex
	runs     map[message.ID][]*execution
	attempts map[message.ID]int     // requests handed to a target's node
	keys     map[string]int         // executions by idempotency key
	spans    map[message.SpanID]int // executions by the caller's attempt
}

func newLedger() *ledger {
	return &ledger{runs: map[message.ID][]*execution{}, attempts: map[message.ID]int{}, keys: map[string]int{},
		spans: map[message.SpanID]int{}}
}

// begin records the start of an execution and returns the function that ends it. One that the target declined does not count
// as an execution of its key and its attempt.
func (l *ledger) begin(req *message.Request, service string) func(duration time.Duration, resp *message.Response) {
	x := &execution{service: service}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[req.ID] = append(l.runs[req.ID], x)
	l.spans[req.Span]++
	if req.Key != "" {
		l.keys[req.Key]++
	}
	return func(duration time.Duration, resp *message.Response) {
		l.mu.Lock()
		defer l.mu.Unlock()
		x.duration, x.ok = duration, resp != nil && resp.Status == http.StatusOK
		x.declined = resp != nil && resp.Header.Get(message.HeaderDeclined) != ""
		if !x.declined {
			return
		}
		l.spans[req.Span]--
		if req.Key != "" {
			l.keys[req.Key]--
		}
	}
}

func (l *ledger) attempt(id message.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id]++
}

// ran reports whether a target of any service began to run the root request and did not decline it.
func (l *ledger) ran(id message.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.runs[id], func(x *execution) bool { return !x.declined })
}

// began reports whether a target began to run one of the attempts, which their callers identify by spans.
func (l *ledger) began(attempts []message.SpanID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, span := range attempts {
		if l.spans[span] > 0 {
			return true
		}
	}
	return false
}

// random returns a number from 0 to 1.
func (w *World) random() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x77696765)) }
