// Package client is the Go library for callers of wigeoncleat. Client.Do sends a request to a node near the caller, retries
// it where that is safe, and returns either a complete response of the target or an error that states whether the request
// ran: *NotRunError or *UnknownError.
//
// All attempts of one request have the same request ID. A request that must not run twice also has the same idempotency
// key in all attempts that may have been delivered. Nodes issue the keys. A request is sent to the node that issued its key
// for as long as that node can be reached, because only this node knows whether the key was used. docs/callers.md describes
// the protocol.
//
// The package uses the HTTP client of kratos with an error decoder that accepts every status, because the status is part of
// the target's response. Three features of net/http are disabled, because they would hide attempts or change responses
// without the caller's knowledge: redirects are returned instead of followed; request bodies cannot be rewound, so that
// net/http does not retry requests with an Idempotency-Key on its own; and compression is left to the caller.
//
// A Client is safe for concurrent use.
package client

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Zone is an availability zone with the addresses (host:port) of the nodes in it that accept callers.
type Zone struct {
	Name      string
	Addresses []string
}

// Options configure a Client.
type Options struct {
	// Zones are the entry nodes by availability zone, nearest first. A zone is used when no node of the zones before it can
	// be reached, or when those that can be reached are leaving or have no confirmed configuration. Required.
	Zones []Zone
	// Timeout bounds Do, including all attempts. A context that ends earlier takes precedence. Default: 5 s.
	Timeout time.Duration
	// AttemptTimeout bounds one attempt. A shorter time detects dead connections sooner, but abandons slow responses.
	// Default: 2 s.
	AttemptTimeout time.Duration
	// DialTimeout bounds the time to open a connection. Default: 500 ms.
	DialTimeout time.Duration
	// Attempts is the maximum number of attempts of one request. Attempts whose connection could not be opened do not count
	// while there are nodes left that were not tried. Default: 3.
	Attempts int
	// Backoff is the time before the first retry of an attempt that got no response. It doubles with each attempt and has a
	// jitter of ±50 %. Default: 50 ms.
	Backoff time.Duration
	// MaxRetryAfter is the longest retry-after time that Do waits for, apart from a jitter of up to a quarter that is added
	// to each. A longer one is returned in the error. Default: 2 s.
	MaxRetryAfter time.Duration
	// IgnoreRetryAfter makes Do retry immediately after every failed attempt, with or without a retry-after time. It exists
	// for load tests of overload. Default: false.
	IgnoreRetryAfter bool
	// KeyBatch is the number of idempotency keys that are fetched at once. Larger batches need fewer calls, but more keys
	// expire unused. Default: 16.
	KeyBatch int
	// MaxBody is the maximum size of a response body in bytes; a larger one is an unknown outcome. Default: 16 MiB.
	MaxBody int64
	// IdleConnections is the maximum number of idle connections kept for each node. Default: 64.
	IdleConnections int
	// DownTime is how long a node to which no connection could be opened is tried after all others. Default: 1 s.
	DownTime time.Duration
}

// Defaults of Options.
const (
	DefaultTimeout         = 5 * time.Second
	DefaultAttemptTimeout  = 2 * time.Second
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultAttempts        = 3
	DefaultBackoff         = 50 * time.Millisecond
	DefaultMaxRetryAfter   = 2 * time.Second
	DefaultKeyBatch        = 16
	DefaultMaxBody         = 16 << 20
	DefaultIdleConnections = 64
	DefaultDownTime        = time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.AttemptTimeout, DefaultAttemptTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.Attempts, DefaultAttempts)
	setDefault(&o.Backoff, DefaultBackoff)
	setDefault(&o.MaxRetryAfter, DefaultMaxRetryAfter)
	setDefault(&o.KeyBatch, DefaultKeyBatch)
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.IdleConnections, DefaultIdleConnections)
	setDefault(&o.DownTime, DefaultDownTime)
	return o
}

func setDefault[T int | int64 | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// Request is a request to a service.
type Request struct {
	Method string
	Path   string // the service and the path below it, with the query: "/orders/new?table=4"
	Header http.Header
	Body   []byte
	// Idempotent says that the request may run more than once and therefore needs no key. GET, HEAD and OPTIONS requests
	// are always idempotent.
	Idempotent bool
	// Key is the idempotency key of the caller. If empty, a key issued by a node is used. A request that is sent again in a
	// later call of Do, for example after a restart of the caller, needs the key of the first call.
	Key string
	// RequestID identifies the request in logs, 32 hexadecimal digits. If empty, a new one is generated.
	RequestID string
}

// Response is a complete response of a target.
type Response struct {
	Status    int // of the target
	Header    http.Header
	Body      []byte
	RequestID string
	Key       string // idempotency key; empty for idempotent requests for which the caller chose none
	Attempts  int    // attempts that may have reached a node
}

// Client sends requests to the nodes of a site.
type Client struct {
	opts  Options
	zones [][]*node
	next  atomic.Uint64 // rotates the nodes of a zone
}

// New returns a client. It opens no connection.
func New(opts Options) (*Client, error) {
	c := &Client{opts: opts.withDefaults()}
	for _, z := range c.opts.Zones {
		var nodes []*node
		for _, a := range z.Addresses {
			n, err := newNode(a, c.opts)
			if err != nil {
				return nil, fmt.Errorf("client: zone %q, address %q: %w", z.Name, a, err)
			}
			nodes = append(nodes, n)
		}
		if len(nodes) > 0 {
			c.zones = append(c.zones, nodes)
		}
	}
	if len(c.zones) == 0 {
		return nil, errors.New("client: no addresses")
	}
	c.next.Store(rand.Uint64N(1 << 32))
	return c, nil
}

// Close closes idle connections. Calls of Do in progress are not affected.
func (c *Client) Close() {
	for _, zone := range c.zones {
		for _, n := range zone {
			n.transport.CloseIdleConnections()
		}
	}
}

// Do sends the request and retries it where that is safe. The error is a *NotRunError if the request certainly did not run
// and will not run, and an *UnknownError otherwise.
func (c *Client) Do(ctx context.Context, req Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	x, err := c.newExchange(req)
	if err != nil {
		return nil, &NotRunError{Failure{
			Reason: message.ReasonInvalid.String(), Step: string(message.StepAccept), Detail: err.Error(), RequestID: req.RequestID,
		}}
	}
	for {
		r := x.attempt(ctx)
		if r.outcome == message.Answered {
			return x.response(r), nil
		}
		x.recordFailure(r)
		if !x.awaitRetry(ctx, r) {
			return nil, x.failure(r)
		}
	}
}

func idempotent(req Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return req.Idempotent
}

// candidates returns all nodes in the order in which to try them: zone by zone and rotated within the zone, with the nodes
// that are marked as down at the end.
func (c *Client) candidates() []*node {
	var up, down []*node
	offset := c.next.Add(1)
	now := time.Now()
	for _, zone := range c.zones {
		for i := range zone {
			n := zone[(uint64(i)+offset)%uint64(len(zone))]
			if n.isDown(now) {
				down = append(down, n)
			} else {
				up = append(up, n)
			}
		}
	}
	return append(up, down...)
}

// exchange is the state of one call of Do.
type exchange struct {
	c               *Client
	req             Request
	id              message.ID
	usesKey         bool // the request is sent with an idempotency key
	key             string
	issuer          *node // node that issued the key; nil without a key and for the caller's own key
	avoided         map[*node]bool
	retryBudget     string // remaining retry budget according to the last response; empty before an attempt was sent
	countedAttempts int    // attempts that count towards Options.Attempts
	sent            int    // attempts that may have reached a node
	mayHaveRun      bool   // the request may have run or may still run
}

// newExchange validates a request. The headers Idempotency-Key and Traceparent stand in for the fields Key and RequestID
// where those are empty.
func (c *Client) newExchange(req Request) (*exchange, error) {
	req.Key = cmp.Or(req.Key, req.Header.Get(message.HeaderIdempotencyKey))
	if !strings.HasPrefix(req.Path, "/") {
		return nil, fmt.Errorf("path %q does not start with /", req.Path)
	}
	if req.Method == "" {
		return nil, errors.New("no method")
	}
	x := &exchange{c: c, req: req, id: message.NewID(), key: req.Key, usesKey: req.Key != "" || !idempotent(req), avoided: map[*node]bool{}}
	var err error
	if trace := req.Header.Get(message.HeaderTraceparent); req.RequestID != "" {
		x.id, err = parseID(req.RequestID)
	} else if trace != "" {
		x.id, _, err = message.ParseTraceparent(trace)
	}
	return x, err
}

func parseID(s string) (message.ID, error) {
	id, _, err := message.ParseTraceparent("00-" + s + "-0000000000000001-01")
	if err != nil {
		return id, fmt.Errorf("request ID %q is not 32 hexadecimal digits", s)
	}
	return id, nil
}

// attempt sends the request once, after obtaining a key if it needs one.
func (x *exchange) attempt(ctx context.Context) result {
	if x.issuer != nil && (!x.avoided[x.issuer] || x.mayHaveRun) && !x.issuer.isDown(time.Now()) {
		return x.issuer.send(ctx, x)
	}
	needsNewKey := x.usesKey && x.req.Key == "" && !x.mayHaveRun
	if needsNewKey {
		// The request did not run with the old key, so a new key cannot cause a second execution.
		x.key, x.issuer = "", nil
	}
	last := result{outcome: message.NotRun, reason: message.ReasonConnection.String(), step: message.StepDial, detail: "no node can be reached"}
	for _, n := range x.c.candidates() {
		if x.avoided[n] {
			continue
		}
		if needsNewKey {
			key, r, ok := n.takeKey(ctx)
			if !ok {
				last = r
				x.avoided[n] = true
				continue
			}
			x.key, x.issuer = key, n
		}
		return n.send(ctx, x)
	}
	return last
}

// recordFailure updates the state that later attempts depend on after an attempt without a response of the target.
func (x *exchange) recordFailure(r result) {
	if r.sent {
		x.sent++
		x.retryBudget = r.retryBudget
	}
	if r.outcome == message.Unknown && !x.unusedKeyRefused(r) {
		x.mayHaveRun = true
	}
	if x.unusedKeyRefused(r) {
		r.node.keys.clear() // the node refuses the other keys of the batch too
	}
	if r.node != nil && (!r.sent || x.unusedKeyRefused(r) || retryElsewhere[r.reason]) {
		x.avoided[r.node] = true
	}
}

// unusedKeyRefused reports whether a node refused a key that it issued and that this exchange has not used before, for
// example because the node was restarted after it had issued the key. The node reports an unknown outcome, because it cannot
// tell whether the key was used; the client can.
func (x *exchange) unusedKeyRefused(r result) bool {
	return r.reason == message.ReasonKeyExpired.String() && r.answered && x.issuer != nil && !x.mayHaveRun
}

// retryElsewhere holds the reasons for which another node may accept the request.
var retryElsewhere = map[string]bool{
	message.ReasonLeaving.String():     true,
	message.ReasonUnconfirmed.String(): true,
}

// awaitRetry waits until the next attempt is due and reports whether there is one.
func (x *exchange) awaitRetry(ctx context.Context, r result) bool {
	switch {
	case ctx.Err() != nil, !r.sent && r.reason == message.ReasonInvalid.String():
		return false
	case r.node != nil && !r.sent && x.hasUntriedNode():
		return true // the request was not sent: try the next node immediately
	}
	x.countedAttempts++
	if x.countedAttempts >= x.c.opts.Attempts {
		return false
	}
	if x.unusedKeyRefused(r) {
		x.ensureUntriedNode()
		return true
	}
	if r.answered && r.retryAfter == 0 && !x.c.opts.IgnoreRetryAfter && !(retryElsewhere[r.reason] && x.hasUntriedNode()) {
		return false // no retry-after time: the node reports that a retry is of no use
	}
	x.ensureUntriedNode()
	return x.wait(ctx, x.retryDelay(r))
}

func (x *exchange) hasUntriedNode() bool {
	for _, zone := range x.c.zones {
		for _, n := range zone {
			if !x.avoided[n] {
				return true
			}
		}
	}
	return false
}

// ensureUntriedNode allows all nodes again once every one of them is avoided.
func (x *exchange) ensureUntriedNode() {
	if !x.hasUntriedNode() {
		clear(x.avoided)
	}
}

// retryDelay returns the time until the next attempt. It is negative if the node's retry-after time exceeds the limit.
func (x *exchange) retryDelay(r result) time.Duration {
	o := x.c.opts
	switch {
	case o.IgnoreRetryAfter:
		return 0
	case r.answered && retryElsewhere[r.reason] && x.hasUntriedNode():
		return 0
	case r.answered && r.retryAfter > o.MaxRetryAfter:
		return -1
	case r.answered:
		// The jitter keeps callers that were refused at the same time from retrying at the same time.
		return r.retryAfter + rand.N(r.retryAfter/4+1)
	default:
		base := o.Backoff << (x.countedAttempts - 1)
		return base/2 + rand.N(base)
	}
}

// wait waits for d and reports whether ctx allows another attempt after it.
func (x *exchange) wait(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); d < 0 || (ok && time.Until(deadline) <= d) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (x *exchange) response(r result) *Response {
	return &Response{
		Status: r.status, Header: r.header, Body: r.body,
		RequestID: x.id.String(), Key: x.key, Attempts: x.sent + 1,
	}
}

func (x *exchange) failure(r result) error {
	f := Failure{
		Reason: r.reason, Step: string(r.step), Peer: r.peer, Detail: r.detail, RetryAfter: r.retryAfter,
		RequestID: x.id.String(), Key: x.key, Attempts: x.sent, Cause: r.err,
	}
	if x.mayHaveRun {
		return &UnknownError{f}
	}
	return &NotRunError{f}
}
