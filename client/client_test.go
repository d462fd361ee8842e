package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/wigeoncleat/wigeoncleat/internal/process/once"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// fault is the behaviour of a fake node for one request.
type fault int

const (
	noFault            fault = iota
	refuse                   // "not run" with Retry-After
	refuseWithoutRetry       // "not run" without Retry-After
	refuseLeaving            // "not run, leaving"
	closeBeforeRun           // the connection closes, the request is not run
	closeAfterRun            // the request is run, the connection closes without a response
	truncate                 // the request is run, the response is truncated
	unknownOutcome           // the request is run, the response is "unknown"
	noOutcomeHeader          // the response is a 503 without the headers of a node
	wrongRequest             // the response has the ID of another request
	redirect                 // the target responds with 303, after which HTTP clients send a GET
	hang                     // no response
)

// fakeNode is a node with a real key store. The handler itself runs the requests, in place of a target.
type fakeNode struct {
	t      testing.TB
	server *httptest.Server
	next   func() fault

	mu       sync.Mutex
	store    *once.Store
	received []http.Header
	runs     map[string]int // by request ID
}

func startNode(t testing.TB, next func() fault) *fakeNode {
	n := &fakeNode{t: t, next: next, runs: map[string]int{}}
	n.server = httptest.NewServer(n)
	t.Cleanup(n.server.Close)
	n.restart(1)
	return n
}

// runCount returns how often the request with the ID was run.
func (n *fakeNode) runCount(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[id]
}

func (n *fakeNode) headers() []http.Header {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received
}

func (n *fakeNode) addr() string { return n.server.Listener.Addr().String() }

// restart replaces the key store, like a restart of the node's process.
func (n *fakeNode) restart(incarnation uint64) {
	s, err := once.New(once.Options{Address: n.addr(), Incarnation: incarnation})
	require.NoError(n.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store = s
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	store := n.store
	n.mu.Unlock()
	if r.URL.Path == "/-/keys" {
		count, _ := strconv.Atoi(r.URL.Query().Get("n"))
		_ = json.NewEncoder(w).Encode(issuedKeys{Keys: store.Issue(count), ValidMS: store.Validity().Milliseconds()})
		return
	}
	body, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	n.received = append(n.received, r.Header)
	n.mu.Unlock()
	id, _, _ := message.ParseTraceparent(r.Header.Get(message.HeaderTraceparent))
	resp, f := n.process(store, r, id, body)
	n.write(w, r, id, resp, f)
}

// process runs the request, unless its key or the fault prevents it.
func (n *fakeNode) process(store *once.Store, r *http.Request, id message.ID, body []byte) (*message.Response, fault) {
	f := n.next()
	if f == closeBeforeRun || f == noOutcomeHeader || f == hang {
		return nil, f
	}
	run := func() *message.Response {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.runs[id.String()]++
		return &message.Response{Outcome: message.Answered, Status: 200, Body: append([]byte(id.String()), body...)}
	}
	refused := map[fault]*message.Response{
		refuse:             {Outcome: message.NotRun, Reason: message.ReasonOverload, RetryAfter: time.Millisecond},
		refuseWithoutRetry: {Outcome: message.NotRun, Reason: message.ReasonOverload},
		refuseLeaving:      {Outcome: message.NotRun, Reason: message.ReasonLeaving},
	}[f]
	text := r.Header.Get(message.HeaderIdempotencyKey)
	if text == "" {
		if refused != nil {
			return refused, f
		}
		return run(), f
	}
	key, err := once.Parse(text)
	require.NoError(n.t, err)
	res := store.Begin(key, once.FingerprintOf(&message.Request{Body: body}))
	switch {
	case res.Verdict != once.Run:
		return res.Response, f
	case refused != nil:
		res.Claim.NotRun()
		return refused, f
	}
	resp := run()
	res.Claim.Done(resp)
	return resp, f
}

func (n *fakeNode) write(w http.ResponseWriter, r *http.Request, id message.ID, resp *message.Response, f fault) {
	h := w.Header()
	h.Set(message.HeaderRequestID, id.String())
	switch f {
	case hang:
		<-r.Context().Done()
		return
	case closeBeforeRun, closeAfterRun:
		panic(http.ErrAbortHandler)
	case noOutcomeHeader:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case wrongRequest:
		h.Set(message.HeaderRequestID, message.NewID().String())
	case unknownOutcome:
		resp = message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepAwait, "10.9.9.9:7000", "link went silent"))
	case redirect:
		resp.Status = http.StatusSeeOther
		h.Set("Location", "/elsewhere")
	}
	h.Set(message.HeaderOutcome, resp.Outcome.String())
	h.Set(message.HeaderRetries, "2")
	body := resp.Body
	if resp.Outcome != message.Answered {
		h.Set(message.HeaderReason, resp.Reason.String())
		resp.Status = map[message.Outcome]int{message.NotRun: 503, message.Unknown: 504}[resp.Outcome]
		if resp.RetryAfter > 0 {
			h.Set(message.HeaderRetryAfter, fmt.Sprint(resp.RetryAfter.Seconds()))
		}
		if resp.Err != nil {
			body, _ = json.Marshal(errorBody{Step: string(resp.Err.Step), Peer: resp.Err.Peer, Detail: resp.Err.Detail})
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.Status)
	if f == truncate && len(body) > 0 {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}

func newClient(t testing.TB, o Options, nodes ...*fakeNode) *Client {
	for _, n := range nodes {
		o.Zones = append(o.Zones, Zone{Addresses: []string{n.addr()}})
	}
	o.Backoff = max(o.Backoff, time.Millisecond)
	c, err := New(o)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// faultSequence returns the faults one by one, and no faults after them.
func faultSequence(faults ...fault) func() fault {
	var mu sync.Mutex
	return func() fault {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 {
			return noFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

// closedAddr returns an address that refuses connections.
func closedAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

var order = Request{Method: http.MethodPost, Path: "/orders/new", Body: []byte("espresso")}

// Under random faults of two nodes, guards against the error "not run" for a request that ran or may still run, against
// an order that runs twice, and against the response of another request.
func TestOutcomesAreTruthful(t *testing.T) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(5, 20261204))
	next := func() fault {
		mu.Lock()
		defer mu.Unlock()
		if rng.IntN(3) > 0 {
			return noFault
		}
		return fault(rng.IntN(int(wrongRequest) + 1))
	}
	a, b := startNode(t, next), startNode(t, next)
	c := newClient(t, Options{}, a, b)
	counts := map[string]int{}
	for i := range 1500 {
		if i%100 == 99 {
			a.restart(uint64(i))
		}
		req := order
		if i%4 == 0 {
			req.Method = http.MethodGet
		}
		req.Body = fmt.Appendf(nil, "order %d", i)
		req.RequestID = message.NewID().String()
		resp, err := c.Do(t.Context(), req)
		runs := a.runCount(req.RequestID) + b.runCount(req.RequestID)
		var notRun *NotRunError
		var unknown *UnknownError
		switch {
		case err == nil:
			counts["answered"]++
			require.Equal(t, req.RequestID+string(req.Body), string(resp.Body))
			require.Positive(t, runs)
		case errors.As(err, &notRun):
			counts["not run"]++
			require.Zero(t, runs, "%v", err)
		case errors.As(err, &unknown):
			counts["unknown"]++
		default:
			t.Fatalf("unexpected error %v", err)
		}
		if req.Method == http.MethodPost {
			require.LessOrEqual(t, runs, 1, "%v", err)
		}
	}
	t.Log(counts)
	require.Len(t, counts, 3)
}

// Guards against a wrong outcome or reason of a single attempt, one fault at a time, above all "not run" for an attempt that
// may have run.
func TestOutcomeOfOneAttempt(t *testing.T) {
	for f, want := range map[fault]string{
		refuse: "overload", refuseWithoutRetry: "overload", refuseLeaving: "leaving",
		closeBeforeRun: "connection", closeAfterRun: "connection", truncate: "connection", unknownOutcome: "connection",
		noOutcomeHeader: "internal", wrongRequest: "internal", hang: "deadline",
	} {
		n := startNode(t, faultSequence(f))
		opts := Options{Attempts: 1, Timeout: 20 * time.Second, AttemptTimeout: 10 * time.Second}
		if f == hang {
			opts.AttemptTimeout = 200 * time.Millisecond
		}
		_, err := newClient(t, opts, n).Do(t.Context(), order)
		var unknown *UnknownError
		var notRun *NotRunError
		if f == refuse || f == refuseWithoutRetry || f == refuseLeaving {
			require.ErrorAs(t, err, &notRun, "fault %d", f)
			require.Equal(t, want, notRun.Reason)
			continue
		}
		require.ErrorAs(t, err, &unknown, "fault %d", f)
		require.Equal(t, want, unknown.Reason, "fault %d", f)
		if f == unknownOutcome {
			require.Equal(t, []string{"await", "10.9.9.9:7000"}, []string{unknown.Step, unknown.Peer})
		}
	}
}

// Guards against "not run" when an attempt is refused after a lost one, which may still reach the home node after the
// refusal.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	n := startNode(t, faultSequence(closeBeforeRun, refuseWithoutRetry))
	_, err := newClient(t, Options{}, n).Do(t.Context(), order)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, 2, unknown.Attempts)
}

// Guards against retries that change the request ID or key or omit the remaining retry budget, and against retries by
// net/http itself, which sends requests with an Idempotency-Key again when a reused connection fails.
func TestRetriesKeepIdentityAndBudget(t *testing.T) {
	n := startNode(t, faultSequence(noFault, refuse, closeBeforeRun))
	c := newClient(t, Options{}, n)
	_, err := c.Do(t.Context(), order)
	require.NoError(t, err)
	resp, err := c.Do(t.Context(), order)
	require.NoError(t, err)
	require.Equal(t, 3, resp.Attempts)
	require.Len(t, n.headers(), 4)
	for i, want := range []string{"", "2", "0"} {
		h := n.headers()[i+1]
		id, _, err := message.ParseTraceparent(h.Get(message.HeaderTraceparent))
		require.NoError(t, err)
		require.Equal(t, []string{resp.RequestID, resp.Key, want}, []string{id.String(), h.Get(message.HeaderIdempotencyKey), h.Get(message.HeaderRetries)})
	}
	require.Equal(t, 1, n.runCount(resp.RequestID))
}

// Guards against orders that fail because nodes are down or were restarted, although another node could take them: nothing
// was delivered, so a new key is safe.
func TestNewKeyFromAnotherNode(t *testing.T) {
	a, b := startNode(t, faultSequence()), startNode(t, faultSequence())
	c := newClient(t, Options{Attempts: 2}, a, b)
	c.zones[0] = append(c.zones[0], mustNode(t, c, closedAddr(t)), mustNode(t, c, closedAddr(t)), mustNode(t, c, closedAddr(t)))
	for range 5 {
		_, err := c.Do(t.Context(), order)
		require.NoError(t, err)
	}
	a.restart(2)
	b.restart(2)
	_, err := c.Do(t.Context(), order)
	require.NoError(t, err)
	a.server.Close()
	c.Close() // on an idle connection to the stopped node, the request would be lost with an unknown outcome
	resp, err := c.Do(t.Context(), order)
	require.NoError(t, err)
	require.Equal(t, 1, b.runCount(resp.RequestID))
	b.server.Close()
	c.Close()
	_, err = c.Do(t.Context(), order)
	var notRun *NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, "connection", notRun.Reason)
}

// Guards against a lost order that is run again with a new key at another node after its home node went down.
func TestLostOrderIsNotRunElsewhere(t *testing.T) {
	var a *fakeNode
	a = startNode(t, func() fault {
		_ = a.server.Listener.Close()
		return closeAfterRun
	})
	b := startNode(t, faultSequence())
	req := order
	req.RequestID = message.NewID().String()
	_, err := newClient(t, Options{}, a, b).Do(t.Context(), req)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, []int{1, 0}, []int{a.runCount(req.RequestID), b.runCount(req.RequestID)})
}

func mustNode(t testing.TB, c *Client, addr string) *node {
	n, err := newNode(addr, c.opts)
	require.NoError(t, err)
	return n
}

// Guards against a redirect of a target that the client follows with a second request, and against waiting for a Retry-After
// above the limit.
func TestStatusPassesAndWaitsAreBounded(t *testing.T) {
	n := startNode(t, faultSequence(redirect))
	resp, err := newClient(t, Options{}, n).Do(t.Context(), order)
	require.NoError(t, err)
	require.Equal(t, []any{303, "/elsewhere"}, []any{resp.Status, resp.Header.Get("Location")})
	require.Len(t, n.headers(), 1)
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(message.HeaderOutcome, message.NotRun.String())
		w.Header().Set(message.HeaderRetryAfter, "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer slow.Close()
	c, err := New(Options{Zones: []Zone{{Addresses: []string{slow.Listener.Addr().String()}}}})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err = c.Do(ctx, Request{Method: http.MethodGet, Path: "/menu/1"})
	var notRun *NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, time.Minute, notRun.RetryAfter)
	require.NoError(t, ctx.Err())
}

// Guards against a request that cannot be sent and marks healthy nodes as down or is retried.
func TestInvalidRequestsDoNotMarkNodesDown(t *testing.T) {
	n := startNode(t, faultSequence())
	c := newClient(t, Options{}, n)
	for _, req := range []Request{
		{Method: "GET", Path: "menu"}, {Path: "/menu"}, {Method: "G T", Path: "/menu"}, {Method: "GET", Path: "/%zz"},
		{Method: "GET", Path: "/menu", Header: http.Header{"X": {"a\nb"}}}, {Method: "GET", Path: "/menu", RequestID: "12"},
	} {
		_, err := c.Do(t.Context(), req)
		var notRun *NotRunError
		require.ErrorAs(t, err, &notRun)
		require.Equal(t, "invalid", notRun.Reason)
	}
	require.False(t, c.zones[0][0].isDown(time.Now()))
	require.Empty(t, n.headers())
}

// Guards against accepting a response that has no length or no final chunk and may be truncated, or one that exceeds the
// size limit.
func TestIncompleteAnswersAreUnknown(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nWigeon-Outcome: answered\r\nConnection: close\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nWigeon-Outcome: answered\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nWigeon-Outcome: answered\r\nContent-Length: 100\r\n\r\n" + string(bytes.Repeat([]byte("x"), 100)),
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte(raw))
				_ = conn.Close()
			}
		}()
		c, err := New(Options{Zones: []Zone{{Addresses: []string{l.Addr().String()}}}, MaxBody: 99, Backoff: time.Millisecond})
		require.NoError(t, err)
		_, err = c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/menu/1"})
		var unknown *UnknownError
		require.ErrorAs(t, err, &unknown, raw)
	}
}
