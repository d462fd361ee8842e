package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/responsecheck"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	targetDialTimeout = 500 * time.Millisecond
	// targetIdleTimeout is shorter than the usual idle timeouts of servers, so that a request is rarely sent over a
	// connection that the target has just closed.
	targetIdleTimeout = 15 * time.Second
	// maxResponseHead is, in bytes, the same as maxHead of package targetconn, for the reason given there.
	maxResponseHead = 32 << 10

	locationHeader = "Location"
	// savedLocationHeader holds the value of locationHeader while a response passes through the kratos HTTP client.
	savedLocationHeader = "Wigeon-Held-Location"
)

var (
	errUnsolicitedResponse = errors.New("response received before the request was sent")
	errDeclinedTwice       = errors.New("second response on one connection that declines a request")
)

// targetTransport is a responsecheck.Transport with additional checks. It hides the Location header of redirects, because the
// client would follow them: each step would be an attempt that the retry budget of the request does not count, and the
// kratos client has no option to turn this off. It also rejects a response that was received before its request was sent:
// the target sent more than one response to the previous request, and http.Transport notices that only if it reads the
// extra response before the next request is sent. It closes a connection after a response that declines a request.
type targetTransport struct {
	transport *responsecheck.Transport
}

func newTargetTransport() *targetTransport {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &targetTransport{responsecheck.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &targetConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     targetIdleTimeout,
		DisableCompression:  true, // bodies pass unchanged
		// The default of http.Transport is 10 MiB for each response.
		MaxResponseHeaderBytes: maxResponseHead,
	})}
}

// closingBody closes the connection of a response with its body.
type closingBody struct {
	io.ReadCloser
	conn net.Conn
}

func (b closingBody) Close() error { return errors.Join(b.ReadCloser.Close(), b.conn.Close()) }

// RoundTrip implements http.RoundTripper. The caller must pass the header of the response to restoreLocation.
func (t *targetTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *targetConn
	var reads int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if checked, ok := info.Conn.(*responsecheck.Conn); ok {
			conn = checked.NetConn().(*targetConn)
			reads = conn.reads.Load()
		}
	}}
	resp, err := t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if conn != nil && conn.reads.Load() == reads {
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, errUnsolicitedResponse
	}
	if conn != nil && resp.Header.Get(message.HeaderDeclined) != "" {
		// A second copy of it could not be told from the response to the next request, and would claim that this one was not run.
		if conn.declined.Swap(true) {
			_ = conn.Close()
			_ = resp.Body.Close()
			return nil, errDeclinedTwice
		}
		resp.Body = closingBody{resp.Body, conn}
	}
	resp.Header.Del(savedLocationHeader)
	if location, ok := resp.Header[locationHeader]; ok {
		resp.Header[savedLocationHeader] = location
		resp.Header.Del(locationHeader)
	}
	return resp, nil
}

// restoreLocation undoes the hiding of the Location header by RoundTrip.
func restoreLocation(h http.Header) {
	if location, ok := h[savedLocationHeader]; ok {
		h[locationHeader] = location
		h.Del(savedLocationHeader)
	}
}

// targetConn counts the reads that returned data.
type targetConn struct {
	net.Conn
	reads    atomic.Int64
	declined atomic.Bool // it has carried a response that declines a request
}

func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}
