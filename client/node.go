package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/responsecheck"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	headerLocation = "Location"
	idleTimeout    = 90 * time.Second
	// answerMargin is the time allowed for a node's final response to arrive. The timeout sent to the node is shorter than
	// the client's own by this margin, so that the client is still waiting when the response arrives.
	answerMargin = 50 * time.Millisecond
	maxKeyBody   = 1 << 20
)

// node is a client of one entry node.
type node struct {
	address   string
	opts      Options
	transport *responsecheck.Transport
	http      *khttp.Client
	downUntil atomic.Int64 // Unix time in nanoseconds
	keys      keyPool
}

func newNode(address string, opts Options) (*node, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	n := &node{
		address: address, opts: opts, keys: newKeyPool(),
		transport: responsecheck.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true,
			MaxIdleConns: opts.IdleConnections, MaxIdleConnsPerHost: opts.IdleConnections, IdleConnTimeout: idleTimeout,
		}),
	}
	var err error
	n.http, err = khttp.NewClient(context.Background(),
		khttp.WithEndpoint("http://"+address), khttp.WithTransport(noRedirects{n.transport}), khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	return n, err
}

func (n *node) isDown(now time.Time) bool { return n.downUntil.Load() > now.UnixNano() }

// markDown records that no connection could be opened. The node's keys are dropped, because a restarted node refuses them.
func (n *node) markDown() {
	n.downUntil.Store(time.Now().Add(n.opts.DownTime).UnixNano())
	n.keys.clear()
}

// noRedirects hides the Location header from the HTTP client, which would follow the redirect. roundTrip restores it.
type noRedirects struct{ http.RoundTripper }

type locationKey struct{}

// RoundTrip implements http.RoundTripper.
func (t noRedirects) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if hidden, ok := r.Context().Value(locationKey{}).(*[]string); ok && err == nil {
		*hidden = resp.Header[headerLocation]
		resp.Header.Del(headerLocation)
	}
	return resp, err
}

// result is the result of one attempt.
type result struct {
	outcome message.Outcome
	node    *node
	sent    bool // the request may have reached the node
	// answered says that the node sent a complete response.
	answered bool

	status int
	header http.Header
	body   []byte

	reason      string
	step        message.Step
	peer        string
	detail      string
	retryAfter  time.Duration
	retryBudget string
	err         error
}

// failedResult returns the result of an attempt without a valid response. Its retry budget is zero, because the remaining
// budget would have been in the response.
func (n *node) failedResult(sent bool, step message.Step, reason message.Reason, err error) result {
	r := result{
		outcome: message.NotRun, node: n, sent: sent, step: step, peer: n.address,
		reason: reason.String(), detail: err.Error(), err: err, retryBudget: "0",
	}
	if sent {
		r.outcome = message.Unknown
	}
	return r
}

// reasonOf distinguishes a cancelled or expired context from a failed connection.
func reasonOf(ctx context.Context, err error) message.Reason {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return message.ReasonCancelled
	case errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
		return message.ReasonDeadline
	default:
		return message.ReasonConnection
	}
}

// send makes one attempt.
func (n *node) send(ctx context.Context, x *exchange) result {
	attempt, cancel := context.WithTimeout(ctx, n.opts.AttemptTimeout)
	defer cancel()
	req, err := n.newRequest(attempt, x)
	if err != nil {
		return n.failedResult(false, message.StepAccept, message.ReasonInvalid, err)
	}
	resp, sent, err := n.roundTrip(attempt, req)
	if err != nil {
		return n.transportFailure(ctx, sent, err)
	}
	defer resp.Body.Close()
	body, err := readComplete(req, resp, n.opts.MaxBody)
	if err != nil {
		return n.transportFailure(ctx, true, err)
	}
	return n.parseResponse(x, resp, body)
}

// transportFailure returns the result of an attempt whose round trip failed.
func (n *node) transportFailure(ctx context.Context, sent bool, err error) result {
	reason := reasonOf(ctx, err)
	if !sent {
		return n.unsentResult(ctx, reason, err)
	}
	if reason == message.ReasonDeadline {
		// The connection may be dead, and the idle ones with it. New connections may work.
		n.transport.CloseIdleConnections()
	}
	return n.failedResult(true, message.StepAwait, reason, err)
}

// unsentResult distinguishes a node that cannot be reached, which it marks as down, from a request that net/http refuses to
// send, for example because of an invalid header, which says nothing about the node.
func (n *node) unsentResult(ctx context.Context, reason message.Reason, err error) result {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		return n.failedResult(false, message.StepDial, reason, err)
	case errors.As(err, &op) && op.Op == "dial", errors.Is(err, context.DeadlineExceeded):
		n.markDown()
		return n.failedResult(false, message.StepDial, message.ReasonConnection, err)
	default:
		return n.failedResult(false, message.StepSend, message.ReasonInvalid, err)
	}
}

func (n *node) newRequest(ctx context.Context, x *exchange) (*http.Request, error) {
	// The body must not be nil and the request must not have GetBody, or net/http would retry the request on its own.
	req, err := http.NewRequestWithContext(ctx, x.req.Method, "http://"+n.address+x.req.Path, io.NopCloser(bytes.NewReader(x.req.Body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(x.req.Body))
	if x.req.Header != nil {
		req.Header = x.req.Header.Clone()
	}
	req.Header.Set(message.HeaderTraceparent, message.Traceparent(x.id, message.NewSpanID()))
	if x.usesKey {
		req.Header.Set(message.HeaderIdempotencyKey, x.key)
	}
	if x.retryBudget != "" {
		req.Header.Set(message.HeaderRetries, x.retryBudget)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		left -= min(left/10, answerMargin)
		req.Header.Set(message.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
	return req, nil
}

// roundTrip sends the request and reports whether it got a connection. Without one, nothing can have been sent.
func (n *node) roundTrip(ctx context.Context, req *http.Request) (*http.Response, bool, error) {
	var sent atomic.Bool
	var location []string
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	ctx = context.WithValue(ctx, locationKey{}, &location)
	resp, err := n.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, sent.Load(), err
	}
	if location != nil {
		resp.Header[headerLocation] = location
	}
	return resp, true, nil
}

var (
	errTooLong         = errors.New("response body exceeds the size limit")
	errUnknownLength   = errors.New("response has no length and may be truncated")
	errTruncated       = errors.New("response was truncated")
	errNoOutcomeHeader = errors.New("the answer has no " + message.HeaderOutcome + " header")
	errWrongRequest    = errors.New("response belongs to another request")
)

// readComplete reads the body of a response. It fails if the body exceeds the limit or cannot be shown to be complete.
func readComplete(req *http.Request, resp *http.Response, limit int64) ([]byte, error) {
	empty := req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !empty {
		return nil, errUnknownLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	case int64(len(body)) > limit:
		return nil, errTooLong
	}
	return body, nil
}

// errorBody is the body of a node's response when it has none of a target.
type errorBody struct {
	Step   string `json:"step"`
	Peer   string `json:"peer"`
	Detail string `json:"detail"`
}

// parseResponse returns the result of a complete response. A response without a valid outcome header does not come from a
// node, and one with another request ID belongs to another request; after either, the outcome is unknown.
func (n *node) parseResponse(x *exchange, resp *http.Response, body []byte) result {
	if id := resp.Header.Get(message.HeaderRequestID); id != "" && id != x.id.String() {
		return n.failedResult(true, message.StepAwait, message.ReasonInternal, fmt.Errorf("%w: %s", errWrongRequest, id))
	}
	r := result{
		node: n, sent: true, answered: true, status: resp.StatusCode, header: resp.Header, body: body, peer: n.address,
		reason: resp.Header.Get(message.HeaderReason), retryBudget: resp.Header.Get(message.HeaderRetries),
		retryAfter: parseRetryAfter(resp.Header.Get(message.HeaderRetryAfter)),
	}
	if ms, err := strconv.ParseInt(resp.Header.Get(message.HeaderRetryAfterMs), 10, 32); err == nil && ms >= 0 {
		r.retryAfter = time.Duration(ms) * time.Millisecond // more precise than Retry-After, which has whole seconds
	}
	if r.retryBudget == "" {
		r.retryBudget = "0"
	}
	switch resp.Header.Get(message.HeaderOutcome) {
	case message.Answered.String():
		r.outcome = message.Answered
		return r
	case message.NotRun.String():
		r.outcome = message.NotRun
	case message.Unknown.String():
		r.outcome = message.Unknown
	default:
		return n.failedResult(true, message.StepAwait, message.ReasonInternal, fmt.Errorf("%w, status %d", errNoOutcomeHeader, resp.StatusCode))
	}
	var f errorBody
	if json.Unmarshal(body, &f) == nil {
		r.step, r.detail = message.Step(f.Step), f.Detail
		if f.Peer != "" {
			r.peer = f.Peer
		}
	}
	return r
}

// parseRetryAfter parses a Retry-After header, in seconds or as a date. An invalid one counts as absent.
func parseRetryAfter(s string) time.Duration {
	if seconds, err := strconv.ParseFloat(s, 64); err == nil && seconds >= 0 && seconds < 1e9 {
		return time.Duration(seconds * float64(time.Second))
	}
	if date, err := http.ParseTime(s); err == nil {
		return max(time.Until(date), 0)
	}
	return 0
}
