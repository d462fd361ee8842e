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
	requestRate   = 200 // requests a second of all callers of a site

	// Goals of docs/design.md.
	goodputGoal      = 0.95
	orderSuccessGoal = 0.999
)

// outcome is what the caller of one request was told.
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

// succeeded reports whether the caller got a complete answer of a target that did its work.
func (o *outcome) succeeded() bool { return o.err == nil && o.resp.Status == http.StatusOK }

func (o *outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s %s after %v: %v", o.method(), o.path, o.end.Sub(o.start), o.err)
	}
	return fmt.Sprintf("%s %s after %v: status %d %s", o.method(), o.path, o.end.Sub(o.start), o.resp.Status, o.resp.Body)
}

// load sends orders and reads at a fixed rate until it is stopped.
type load struct {
	s       *site
	clients []*client.Client
	stop    context.CancelFunc
	sender  chan struct{} // closed when no request is sent any more
	running sync.WaitGroup

	mu       sync.Mutex
	outcomes []*outcome
}

// newClient returns a caller in a zone, with the nodes of both zones as entry nodes.
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
		// Long enough for three attempts on a busy machine and for a node that pauses for 3 s.
		Timeout: 20 * time.Second, AttemptTimeout: 4 * time.Second,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	return c
}

// startLoad starts callers in both zones.
func (s *site) startLoad() *load {
	s.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := &load{s: s, stop: stop, sender: make(chan struct{})}
	for _, zone := range zones {
		l.clients = append(l.clients, s.newClient(zone))
	}
	go l.send(ctx)
	s.t.Cleanup(func() { l.finish() })
	return l
}

func (l *load) send(ctx context.Context) {
	defer close(l.sender)
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

// request sends one request and records its outcome. Its context does not end with the load: every request gets its
// final response.
func (l *load) request(c *client.Client, o *outcome) {
	o.start = time.Now()
	o.resp, o.err = c.Do(context.Background(), client.Request{Method: o.method(), Path: "/" + o.service() + o.path, Body: o.body})
	o.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// finish stops sending and returns all outcomes.
func (l *load) finish() []*outcome {
	l.stop()
	<-l.sender
	l.running.Wait()
	return l.outcomes
}

// orders returns the number of successful orders so far.
func (l *load) orders() int {
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
func (l *load) awaitOrders(more int) {
	l.s.t.Helper()
	want := l.orders() + more
	l.s.await(fmt.Sprintf("%d orders", want), func() bool { return l.orders() >= want })
}

// ledger holds what the targets of a site ran, by service, method and path, and by request ID. Executions that the target
// declined had no effects: their requests may be reported as not run, and may run again.
type ledger struct {
	byPath, byRequest map[string][]target.Execution
}

// verify compares the outcomes with the records of the targets. These rules hold whatever failed.
func (s *site) verify(outcomes []*outcome) ledger {
	s.t.Helper()
	s.awaitIdle()
	l := ledger{byPath: map[string][]target.Execution{}, byRequest: map[string][]target.Execution{}}
	for _, v := range s.vms {
		all := v.executions()
		if v.target.running() {
			reported, ok := v.reported()
			require.True(s.t, ok)
			recorded := v.recorded(v.records[len(v.records)-1])
			require.Equal(s.t, len(recorded), len(reported), "%s: the record file and the target differ", v.name())
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
		s.verifyOne(o, l)
	}
	s.verifyInvariants()
	return l
}

// verifyInvariants checks that no node has counted a violation, and that none has logged one before it was stopped.
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

// verifyKeys checks that no key was executed twice, whichever request sent it.
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

func (s *site) verifyOne(o *outcome, l ledger) {
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
		assert.Empty(t, l.byRequest[notRun.RequestID], "reported as not run, but a call of it was run: %s", o)
	case o.err != nil:
		assert.ErrorAs(t, o.err, &unknown, "neither an answer nor an outcome: %s", o)
	default:
		assert.NotEmpty(t, ran, "answered, but not run: %s", o)
		s.verifyAnswer(o)
	}
}

// verifyAnswer checks that an answer is whole and belongs to its request.
func (s *site) verifyAnswer(o *outcome) {
	t := s.t
	t.Helper()
	var a target.Answer
	if !assert.NoError(t, json.Unmarshal(o.resp.Body, &a), "answer is not whole: %s", o) {
		return
	}
	sum := sha256.Sum256(o.body)
	a.Error = ""
	assert.Equal(t, target.Answer{
		Service: o.service(), RequestID: o.resp.RequestID, Method: o.method(), Path: o.path, BodyHash: hex.EncodeToString(sum[:]),
	}, a, "answer of another request: %s", o)
}

// verifyGoals checks the goals of the design page: goodput over the whole run, and the success of orders, except of those
// that excluded says could not succeed by the page's own failure table.
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

// inFlight returns a function that reports whether a request was in flight at some moment from one time to another.
func inFlight(from, to time.Time) func(o *outcome) bool {
	return func(o *outcome) bool { return !o.start.After(to) && !o.end.Before(from) }
}
