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

// caller is the interface through which a target sends its calls to the node on its own VM.
type caller interface {
	ServeFromTarget(ctx context.Context, req *message.Request) *message.Response
}

// fakeTarget runs requests in a fixed number of slots, in order of arrival. A request holds its slot while it calls downstream
// services.
type fakeTarget struct {
	world             *World
	service           *Service
	node              caller
	slots             chan struct{}
	serviceTimeFactor atomic.Uint64 // factor on the service time, in units of 1/factorScale
	openConnections   atomic.Int64  // includes connections that wait for a slot
	refusing          atomic.Bool   // refuses all connections
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

// run does the work of a request and then its calls. It returns nil if the context ends first. If the first call was not run,
// the request has had no effects, and the response declares that with message.HeaderDeclined.
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

// serviceTime returns a random service time, uniform from 50 % to 150 % of the mean.
func (t *fakeTarget) serviceTime() time.Duration {
	mean := float64(t.service.MeanServiceTime) * float64(t.serviceTimeFactor.Load()) / factorScale
	return time.Duration(mean * (0.5 + t.world.random()))
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

// execution is one run of a request at a target.
type execution struct {
	service  string
	duration time.Duration
	ok       bool
	declined bool // the target declared that it had no effects
}

// ledger records the sends between nodes and what the targets executed.
type ledger struct {
	mu       sync.Mutex
	runs     map[message.ID][]*execution
	attempts map[message.ID]int     // sends between nodes, by root request
	keys     map[string]int         // executions by idempotency key
	spans    map[message.SpanID]int // executions by the caller's attempt
}

func newLedger() *ledger {
	return &ledger{runs: map[message.ID][]*execution{}, attempts: map[message.ID]int{}, keys: map[string]int{},
		spans: map[message.SpanID]int{}}
}

// begin records the start of an execution and returns a function that records its end. An execution that the target declined
// no longer counts for its key and span after its end.
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

// began reports whether a target began to run one of the attempts and did not decline it. Attempts are identified by their
// spans.
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

// random returns a random number in [0, 1).
func (w *World) random() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x77696765)) }
