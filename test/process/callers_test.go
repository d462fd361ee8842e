package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/client"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/target"
)

const (
	readsPerOrder = 2
	requestRate   = 200 // requests per second of all callers of a site

	// Goals of docs/design.md.
	goodputGoal      = 0.95
	orderSuccessGoal = 0.999
)

// outcome is the result of one request as its caller received it.
type outcome struct {
	order      bool
	path       string // below the service; unique
	body       []byte
	start, end time.Time
	resp       *client.Response
	err        error
}

func (o *outcome) service() string {
	if o.order {
		return "ordering"
	}
	return "menu"
}

func (o *outcome) method() string {
	if o.order {
		return http.MethodPost
	}
	return http.MethodGet
}

// succeeded reports whether the caller got a complete response from a target that ran the request successfully.
func (o *outcome) succeeded() bool { return o.err == nil && o.resp.Status == http.StatusOK }

func (o *outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s %s after %v: %v", o.method(), o.path, o.end.Sub(o.start), o.err)
	}
	return fmt.Sprintf("%s %s after %v: status %d %s", o.method(), o.path, o.end.Sub(o.start), o.resp.Status, o.resp.Body)
}

// loadGenerator sends orders and reads at a fixed rate until it is stopped.
type loadGenerator struct {
	s           *site
	clients     []*client.Client
	stop        context.CancelFunc
	sendingDone chan struct{} // closed once no more requests are sent
	running     sync.WaitGroup

	mu       sync.Mutex
	outcomes []*outcome
}

// newClient returns a client in a zone, with the nodes of both zones as entry nodes.
func (s *site) newClient(zone string) *client.Client {
	s.t.Helper()
	near, far := client.Zone{Name: "near"}, client.Zone{Name: "far"}
	for _, v := range s.vms {
		z := &far
		if v.zone == zone {
			z = &near
		}
		z.Addresses = append(z.Addresses, v.caller)
	}
	c, err := client.New(client.Options{
		Zones: []client.Zone{near, far},
		// Long enough for three attempts on a busy machine and for a node that is paused for 3 s.
		Timeout: 20 * time.Second, AttemptTimeout: 4 * time.Second,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	return c
}

// startLoad starts to send requests from clients in both zones.
func (s *site) startLoad() *loadGenerator {
	s.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := &loadGenerator{s: s, stop: stop, sendingDone: make(chan struct{})}
	for _, zone := range zones {
		l.clients = append(l.clients, s.newClient(zone))
	}
	go l.send(ctx)
	s.t.Cleanup(func() { l.finish() })
	return l
}

func (l *loadGenerator) send(ctx context.Context) {
	defer close(l.sendingDone)
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		o := &outcome{path: fmt.Sprintf("/boards/%d", i)}
		if i%(readsPerOrder+1) == 0 {
			o = &outcome{order: true, path: fmt.Sprintf("/orders/%d", i), body: fmt.Appendf(nil, `{"order": %d}`, i)}
		}
		c := l.clients[i%len(l.clients)]
		l.running.Go(func() { l.request(c, o) })
	}
}

// request sends one request and records its outcome. Its context does not end with the load generator, so that every
// request gets its final response.
func (l *loadGenerator) request(c *client.Client, o *outcome) {
	o.start = time.Now()
	o.resp, o.err = c.Do(context.Background(), client.Request{Method: o.method(), Path: "/" + o.service() + o.path, Body: o.body})
	o.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// finish stops sending and returns all outcomes.
func (l *loadGenerator) finish() []*outcome {
	l.stop()
	<-l.sendingDone
	l.running.Wait()
	return l.outcomes
}

// orders returns the number of successful orders so far.
func (l *loadGenerator) orders() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, o := range l.outcomes {
		if o.order && o.succeeded() {
			n++
		}
	}
	return n
}

// awaitOrders waits until more orders have succeeded.
func (l *loadGenerator) awaitOrders(more int) {
	l.s.t.Helper()
	want := l.orders() + more
	l.s.await(fmt.Sprintf("%d orders", want), func() bool { return l.orders() >= want })
}

// executionIndex holds the executions at the targets of a site, by service, method and path, and by request ID. It leaves out
// executions that the target declined: they had no effects, so their requests may be reported as not run and may run
// again.
type executionIndex struct {
	byPath, byRequest map[string][]target.Execution
}

// verify compares the outcomes with the targets' records of executions. The rules that it checks hold under every fault.
func (s *site) verify(outcomes []*outcome) executionIndex {
	s.t.Helper()
	s.awaitIdle()
	l := executionIndex{byPath: map[string][]target.Execution{}, byRequest: map[string][]target.Execution{}}
	for _, v := range s.vms {
		all := v.executions()
		if v.target.running() {
			reportedExecutions, ok := v.reportedExecutions()
			require.True(s.t, ok)
			recordedExecutions := v.recordedExecutions(v.recordFiles[len(v.recordFiles)-1])
			require.Equal(s.t, len(recordedExecutions), len(reportedExecutions), "%s: the record file and the target differ", v.name())
		}
		for _, e := range all {
			if e.Declined {
				continue
			}
			at := v.service + " " + e.Method + " " + e.Path
			l.byPath[at] = append(l.byPath[at], e)
			l.byRequest[e.RequestID] = append(l.byRequest[e.RequestID], e)
		}
	}
	for at, ran := range l.byPath {
		if strings.Contains(at, http.MethodPost) {
			s.verifyKeys(at, ran)
		}
	}
	for _, o := range outcomes {
		s.verifyOutcome(o, l)
	}
	s.verifyInvariants()
	return l
}

// verifyInvariants checks that no node, running or stopped, has logged an invariant violation, and that no running node
// has counted one.
func (s *site) verifyInvariants() {
	s.t.Helper()
	for _, v := range s.vms {
		log := s.output(v.node)
		assert.NotContains(s.t, log, event.InvariantViolated.Text, v.name())
		if !v.node.running() {
			continue
		}
		st, ok := v.status()
		require.True(s.t, ok, v.name())
		require.NotEmpty(s.t, st.Violations, v.name())
		for name, count := range st.Violations {
			assert.Zero(s.t, count, "%s: invariant %s", v.name(), name)
		}
	}
}

// verifyKeys checks that no idempotency key was executed twice, whichever request carried it.
func (s *site) verifyKeys(at string, ran []target.Execution) {
	s.t.Helper()
	byKey := map[string]int{}
	for _, e := range ran {
		byKey[e.Key]++
	}
	for key, n := range byKey {
		assert.Equal(s.t, 1, n, "%s: executions under key %q", at, key)
	}
}

func (s *site) verifyOutcome(o *outcome, l executionIndex) {
	t := s.t
	t.Helper()
	ran := l.byPath[o.service()+" "+o.method()+" "+o.path]
	if o.order {
		assert.LessOrEqual(t, len(ran), 1, "executed more than once: %s", o)
	}
	var notRun *client.NotRunError
	var unknown *client.UnknownError
	switch {
	case errors.As(o.err, &notRun):
		assert.Empty(t, ran, "reported as not run, but was run: %s", o)
		assert.Empty(t, l.byRequest[notRun.RequestID], "reported as not run, but one of its downstream calls was run: %s", o)
	case o.err != nil:
		assert.ErrorAs(t, o.err, &unknown, "neither a response nor a known kind of failure: %s", o)
	default:
		assert.NotEmpty(t, ran, "got a response, but was not run: %s", o)
		s.verifyResponse(o)
	}
}

// verifyResponse checks that a response is complete and belongs to its request.
func (s *site) verifyResponse(o *outcome) {
	t := s.t
	t.Helper()
	var a target.Answer
	if !assert.NoError(t, json.Unmarshal(o.resp.Body, &a), "incomplete response: %s", o) {
		return
	}
	sum := sha256.Sum256(o.body)
	a.Error = ""
	assert.Equal(t, target.Answer{
		Service: o.service(), RequestID: o.resp.RequestID, Method: o.method(), Path: o.path, BodyHash: hex.EncodeToString(sum[:]),
	}, a, "response to another request: %s", o)
}

// verifyGoals checks the goals of docs/design.md: the goodput ratio over the whole run, and the success rate of orders. It
// leaves out orders for which excluded returns true: those that may fail by the failure table of that page.
func (s *site) verifyGoals(outcomes []*outcome, excluded func(o *outcome) bool) {
	t := s.t
	t.Helper()
	good, orders, ordered := 0, 0, 0
	var failed []*outcome
	for _, o := range outcomes {
		if o.succeeded() {
			good++
		} else {
			failed = append(failed, o)
		}
		if o.order && !excluded(o) {
			orders++
			if o.succeeded() {
				ordered++
			}
		}
	}
	t.Logf("%d requests, %d good; %d orders counted, %d good", len(outcomes), good, orders, ordered)
	for _, o := range failed[:min(len(failed), 20)] {
		t.Logf("no success: %s", o)
	}
	require.NotZero(t, orders)
	assert.GreaterOrEqual(t, float64(good)/float64(len(outcomes)), goodputGoal, "goodput ratio")
	assert.GreaterOrEqual(t, float64(ordered)/float64(orders), orderSuccessGoal, "order success")
}

// inFlightDuring returns a function that reports whether a request was in flight at any time between from and to.
func inFlightDuring(from, to time.Time) func(o *outcome) bool {
	return func(o *outcome) bool { return !o.start.After(to) && !o.end.Before(from) }
}
