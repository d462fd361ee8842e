package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// targetClient sends requests to the node's own target.
type targetClient struct {
	client  *khttp.Client
	address atomic.Pointer[string] // from the settings, or as last announced
	policy  func() *policy.Policy
}

// newTargetClient returns a client. If the address is empty, the target's announcements provide it.
func newTargetClient(ctx context.Context, address string, pol func() *policy.Policy) (*targetClient, error) {
	client, err := khttp.NewClient(ctx,
		khttp.WithTransport(newTargetTransport()),
		khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }), // every status is a valid response
	)
	if err != nil {
		return nil, fmt.Errorf("target client: %w", err)
	}
	t := &targetClient{client: client, policy: pol}
	t.address.Store(&address)
	return t, nil
}

// Do implements engine.Target.
func (t *targetClient) Do(ctx context.Context, req *message.Request) *message.Response {
	address := *t.address.Load()
	hr, err := t.newHTTPRequest(ctx, address, req)
	if err != nil {
		return message.Refuse(message.ReasonInvalid, message.Errorf(message.StepRun, address, "%v", err))
	}
	resp, err := t.client.Do(hr)
	if err != nil {
		return errorResponse(ctx, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	restoreLocation(resp.Header)
	body, err := t.readBody(req.Method, resp)
	if err != nil {
		return message.UnknownOutcome(message.ReasonConnection, message.Errorf(message.StepRun, address, "read response: %v", err))
	}
	message.RemoveHopHeaders(resp.Header)
	return &message.Response{Outcome: message.Answered, Status: resp.StatusCode, Header: resp.Header, Body: body}
}

// newHTTPRequest returns the HTTP request to send to the target.
func (t *targetClient) newHTTPRequest(ctx context.Context, address string, req *message.Request) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, nil)
	if err != nil {
		return nil, err
	}
	hr.Header = req.Header.Clone()
	if hr.Header == nil {
		hr.Header = http.Header{}
	}
	if host := hr.Header.Get("Host"); host != "" {
		hr.Host = host
	}
	hr.Header.Set(message.HeaderTraceparent, message.Traceparent(req.ID, req.Span))
	hr.Header.Set(message.HeaderTimeout, strconv.FormatInt(max(time.Until(req.Deadline).Milliseconds(), 1), 10))
	if req.Key != "" {
		hr.Header.Set(message.HeaderIdempotencyKey, req.Key)
	}
	// http.Transport retries a GET or a request with an Idempotency-Key by itself if it has no body or a body that can be read
	// again. The retry budget of the request would not count such an attempt; a body without GetBody prevents it.
	hr.Body = io.NopCloser(bytes.NewReader(req.Body))
	hr.ContentLength = int64(len(req.Body))
	return hr, nil
}

// readBody returns the body of a response, or an error if it is incomplete or exceeds the limit of the policy.
func (t *targetClient) readBody(method string, resp *http.Response) ([]byte, error) {
	if method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("response has neither a Content-Length nor a chunked encoding")
	}
	limit := int64(policy.DefaultResponseBody)
	if pol := t.policy(); pol != nil {
		limit = int64(pol.Limits.ResponseBody)
	}
	if resp.ContentLength > limit {
		return nil, fmt.Errorf("body of %d bytes exceeds %d", resp.ContentLength, limit)
	}
	body, err := readAll(io.LimitReader(resp.Body, limit+1), resp.ContentLength)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("body exceeds %d bytes", limit)
	}
	return body, nil
}

// errorResponse maps an error of the HTTP client to a response. Only a failed dial proves that the request was not sent.
func errorResponse(ctx context.Context, address string, err error) *message.Response {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, address, "%v", err))
	}
	reason := message.ReasonConnection
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = message.ReasonDeadline
	case ctx.Err() != nil:
		reason = message.ReasonCancelled
	}
	return message.UnknownOutcome(reason, message.Errorf(message.StepRun, address, "%v", err))
}
