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

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

const (
	targetDialTimeout = 500 * time.Millisecond
	// targetIdleTimeout is shorter than the idle timeouts that servers usually have, so that a request rarely meets a
	// connection that its target has just closed.
	targetIdleTimeout = 15 * time.Second
)

// targetClient runs requests at the target beside the node.
type targetClient struct {
	conns   targetConns
	address atomic.Pointer[string] // as last announced
	policy  func() *policy.Policy
}

// newTargetClient returns a client. An empty address means that the target says where it serves when it announces itself.
func newTargetClient(address string, pol func() *policy.Policy) *targetClient {
	t := &targetClient{policy: pol}
	t.conns.dialer.Timeout = targetDialTimeout
	t.conns.idleTimeout = targetIdleTimeout
	t.address.Store(&address)
	return t
}

// Do implements engine.Target.
func (t *targetClient) Do(ctx context.Context, req *message.Request) *message.Response {
	address := *t.address.Load()
	hr, err := t.httpRequest(address, req)
	if err != nil {
		return message.Refuse(message.ReasonInvalid, message.Errorf(message.StepRun, address, "%v", err))
	}
	conn, err := t.conns.get(ctx, address)
	if err != nil {
		return targetFailure(ctx, address, err)
	}
	stop := context.AfterFunc(ctx, conn.interrupt)
	resp, reusable := t.exchange(ctx, conn, hr)
	if stop() && reusable {
		t.conns.put(conn)
	} else {
		_ = conn.Close()
	}
	return resp
}

// exchange runs a request on a connection and reports whether the connection can take another one.
func (t *targetClient) exchange(ctx context.Context, conn *targetConn, hr *http.Request) (*message.Response, bool) {
	resp, err := conn.roundTrip(hr)
	if err != nil {
		return targetFailure(ctx, conn.address, err), false
	}
	if resp.StatusCode < http.StatusOK {
		// An interim status is no answer: 101 ends HTTP on the connection, and one below 100 can't be passed on.
		return message.Doubt(message.ReasonConnection,
			message.Errorf(message.StepRun, conn.address, "status %d is not final", resp.StatusCode)), false
	}
	body, err := t.readBody(hr.Method, resp)
	if err != nil {
		return message.Doubt(message.ReasonConnection, message.Errorf(message.StepRun, conn.address, "read response: %v", err)), false
	}
	message.RemoveHopHeaders(resp.Header)
	answer := &message.Response{Outcome: message.Answered, Status: resp.StatusCode, Header: resp.Header, Body: body}
	return answer, !resp.Close && conn.written()
}

// httpRequest builds the request for the target.
func (t *targetClient) httpRequest(address string, req *message.Request) (*http.Request, error) {
	hr, err := http.NewRequest(req.Method, "http://"+address+req.Path, nil)
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
		hr.Header.Set(message.HeaderKey, req.Key)
	}
	if len(req.Body) > 0 {
		hr.Body = io.NopCloser(bytes.NewReader(req.Body))
		hr.ContentLength = int64(len(req.Body))
	}
	return hr, nil
}

// readBody returns the body if it is whole.
func (t *targetClient) readBody(method string, resp *http.Response) ([]byte, error) {
	if method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("response has neither a length nor an end marker")
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

// targetFailure classifies an error of the client. Only a connection that could not be opened proves that the request was not
// sent.
func targetFailure(ctx context.Context, address string, err error) *message.Response {
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
	return message.Doubt(reason, message.Errorf(message.StepRun, address, "%v", err))
}
