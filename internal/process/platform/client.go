package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/responsecheck"
)

const (
	// maxResponse bounds the size of a response body, in bytes. It is well above the largest policy body.
	maxResponse     = 16 << 20
	maxResponseHead = 64 << 10 // bytes
	// maxIdleConnections covers the usual number of concurrent requests of one node: a few writes that bind idempotency keys
	// (package once), and the read of the row with the newest configuration version (the head row of package rollout).
	maxIdleConnections = 8
	idleTimeout        = 30 * time.Second
)

// Client sends requests to one service of the platform. It is safe for concurrent use.
type Client struct {
	base        string
	http        *khttp.Client
	transport   *responsecheck.Transport
	epochHeader string
	newest      *NewestEpoch
}

// NewClient returns a client for the service at baseURL. The timeout bounds each request and must be positive. The client
// records the epochs that responses state in the header of the given name.
func NewClient(baseURL string, timeout time.Duration, epochHeader string, newest *NewestEpoch) (*Client, error) {
	if timeout <= 0 {
		return nil, fmt.Errorf("platform client for %s: timeout must be positive", baseURL)
	}
	t := &http.Transport{
		// Connect to the platform directly, not through a proxy from the environment.
		Proxy: nil,
		// A gateway that compresses a response makes its ETag weak, and a weak ETag cannot be the precondition of a write.
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		// The default of http.Transport, 10 MiB, is too much for a node with a few hundred MB of memory.
		MaxResponseHeaderBytes: maxResponseHead,
		// HTTP/1.1 only: notSent relies on the rules by which the transport retries requests on its connections.
		Protocols: new(http.Protocols),
	}
	t.Protocols.SetHTTP1(true)
	transport := responsecheck.NewTransport(t)
	c, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(baseURL),
		khttp.WithTimeout(timeout),
		khttp.WithTransport(noRedirect{transport}),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, fmt.Errorf("platform client for %s: %w", baseURL, err)
	}
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"), http: c, transport: transport, epochHeader: epochHeader, newest: newest,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return c.http.Close()
}

// noRedirect removes the Location header, so that the client does not follow redirects. It would turn a redirected write into
// a read and return the response to the read as the result of the write.
type noRedirect struct{ next http.RoundTripper }

func (n noRedirect) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := n.next.RoundTrip(req)
	if err == nil {
		resp.Header.Del("Location")
	}
	return resp, err
}

// Request is an HTTP request to a service of the platform.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	Write  bool // the request changes data, so without a response its outcome is unknown (ErrInDoubt)
}

// Response is an HTTP response whose body has been read completely.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Epoch  Epoch // as stated, or else the newest one known
}

// Do sends a request and reads the complete response. It fails with ErrUnavailable or ErrInDoubt; a response with an error
// status is not an error.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, callError(r.Write && !notSent(err, connected.Load()), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err == nil && len(body) > maxResponse {
		err = fmt.Errorf("response exceeds %d bytes", maxResponse)
	}
	if err != nil {
		return nil, callError(r.Write, fmt.Errorf("status %d: %w", resp.StatusCode, err))
	}
	epoch, err := c.observeEpoch(resp.Header)
	if err != nil {
		return nil, callError(r.Write, fmt.Errorf("status %d: %w", resp.StatusCode, err))
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Epoch: epoch}, nil
}

// observeEpoch returns the epoch that the header of a response states, and records it. Without one, it returns the newest known.
func (c *Client) observeEpoch(h http.Header) (Epoch, error) {
	text := h.Get(c.epochHeader)
	if text == "" {
		return c.newest.Load(), nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("epoch of the store: %w", err)
	}
	c.newest.Observe(Epoch(n))
	return Epoch(n), nil
}

// notSent reports whether the request provably was not sent: no connection was obtained, or the last attempt failed to open
// one. The latter suffices because the transport retries a write by itself only after an attempt that wrote no bytes.
func notSent(err error, connected bool) bool {
	var op *net.OpError
	return !connected || (errors.As(err, &op) && op.Op == "dial")
}

// callError wraps the cause of a failed request in ErrInDoubt or ErrUnavailable.
func callError(inDoubt bool, err error) error {
	if inDoubt {
		return fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// rejectedStatuses are the statuses with which the platform reports that it did not perform a request. Other failures, above
// all 408, 500, 502 and 504, may come after a write that took effect.
var rejectedStatuses = map[int]bool{
	http.StatusBadRequest: true, http.StatusUnauthorized: true, http.StatusForbidden: true, http.StatusNotFound: true,
	http.StatusMethodNotAllowed: true, http.StatusLengthRequired: true, http.StatusRequestEntityTooLarge: true,
	http.StatusRequestURITooLong: true, http.StatusUnsupportedMediaType: true, http.StatusUnprocessableEntity: true,
	http.StatusTooManyRequests: true, http.StatusRequestHeaderFieldsTooLarge: true, http.StatusServiceUnavailable: true,
}

// CheckWriteStatus returns nil if the status of the response to a write is a success, and otherwise ErrConflict,
// ErrUnavailable or ErrInDoubt.
func CheckWriteStatus(status int) error {
	switch {
	case status == http.StatusOK || status == http.StatusCreated || status == http.StatusNoContent:
		return nil
	case status == http.StatusPreconditionFailed || status == http.StatusConflict:
		return fmt.Errorf("%w: status %d", ErrConflict, status)
	default:
		return callError(!rejectedStatuses[status], fmt.Errorf("status %d", status))
	}
}

// CheckReadStatus returns nil if the status of the response to a read is a success, and otherwise ErrNotFound or
// ErrUnavailable.
func CheckReadStatus(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}
