// Package targetconn is an HTTP/1.1 client with a pool of connections to one target. A connection carries one request at a
// time. An error says whether the target may have received the request. A faulty target can respond twice to one request, and the
// second response can arrive when the connection carries the next request. Such responses to earlier requests are skipped, and a
// connection that received unexpected bytes is not reused.
//
// A Pool is safe for concurrent use.
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/responsecheck"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// Exchange is one request with the rules for its response.
type Exchange struct {
	// ID identifies the request on its connection. Two requests with the same ID do not share a connection if the first was answered
	// with a failure: a second copy of that response could not be told from the response to the second request. Empty: no ID.
	ID     string
	Method string
	Bytes  []byte // the encoded request
	Body   []byte // rest of the body that Bytes does not contain
	// Fresh excludes connections that were idle for maxFreshIdle or longer. The target may have closed such a connection
	// unnoticed, and a request that was written to it has an unknown outcome and may not be retried.
	Fresh bool
	// Matches reports whether a response with this header belongs to the request.
	Matches func(http.Header) bool
	// MaxBody bounds the body of the response, in bytes.
	MaxBody int
	// Memory reserves memory for the body of the response; nil: memory is not accounted.
	Memory *memory.Reservation
}

// Response is a complete response of the target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is a failed exchange.
type Error struct {
	Sent bool // the target may have received the request
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	dialTimeout = 500 * time.Millisecond
	// maxIdle is shorter than the idle timeout of targets, so that a target does not close a connection at the moment it is reused.
	// All targets whose idle timeout the developers of this package know have one of 10 s.
	maxIdle = 7 * time.Second
	// maxFreshIdle bounds the idle time of connections for requests that must not be retried.
	maxFreshIdle = 700 * time.Millisecond
	// keepAliveShare is the fraction of the target's advertised idle timeout after which a connection is not reused.
	keepAliveShare = 0.7
	// maxSkipped bounds the responses to earlier requests that are skipped in one exchange.
	maxSkipped = 2
	// maxInformational bounds the heads that are read until one is not informational (1xx).
	maxInformational = 5
	// inlineWrite is the size up to which a request is written before the response is read. A larger request is written
	// concurrently, because the target may respond before it has read all of it.
	inlineWrite = 2 << 10
	readBuffer  = 4 << 10
	// maxHeadBytes bounds the bytes of all heads and trailers of one exchange, including informational and skipped responses.
	// HTTP servers commonly accept heads of 8 to 32 KiB, so 32 KiB suffices for common heads. It is not larger because a head of
	// short lines takes ten times its encoded size in memory once it is parsed.
	maxHeadBytes = 32 << 10
	// strayTime is the time in which connections are not used again after the target has sent bytes that are no response. A request on a
	// connection that is used again at once is sent before they arrive, and gets them for its response. A new connection costs about 1 ms.
	strayTime = 10 * time.Second
	// socketBuffer is the size in bytes of the kernel's receive buffer, of which the kernel takes twice as much. A target can fill those of
	// idle connections.
	socketBuffer = 64 << 10
)

// Causes of failed exchanges.
var (
	ErrResponseSize      = errors.New("response exceeds its limit")
	ErrUnmatchedResponse = errors.New("received only responses to other requests")

	errInformational = errors.New("too many informational responses")
)

// Pool is a pool of connections to one target.
type Pool struct {
	address string
	dial    func(ctx context.Context) (net.Conn, error)

	mu      sync.Mutex
	idle    []*conn // most recently used last
	closed  bool
	opened  int
	strayAt time.Time // when the target last sent bytes that are no response; zero: never
}

// NewPool returns a pool for the target at the address.
func NewPool(address string) *Pool {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Pool{address: address, dial: func(ctx context.Context) (net.Conn, error) {
		nc, err := d.DialContext(ctx, "tcp", address)
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(socketBuffer)
		}
		return nc, err
	}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections. Exchanges in progress continue, and their connections are closed afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.nc.Close()
	}
	p.idle = nil
}

type conn struct {
	nc        *responsecheck.Conn
	in        limitedReader
	br        *bufio.Reader
	failed    []string      // IDs of the requests that were answered with a failure
	idleSince time.Time     // when the connection became idle
	idleLimit time.Duration // idle time after which it is not reused
}

// Do sends the request and returns the response. Its errors are of type *Error.
func (p *Pool) Do(ctx context.Context, x *Exchange) (*Response, error) {
	c, err := p.get(ctx, x)
	if err != nil {
		return nil, &Error{Err: fmt.Errorf("connect to target %s: %w", p.address, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	a, reusable, err := c.exchange(ctx, x)
	if errors.Is(err, responsecheck.ErrNoResponse) || a != nil && c.nc.StraysBehind() {
		p.recordStray()
	}
	if !stop() {
		err = errors.Join(ctx.Err(), err)
		reusable = false
	}
	if reusable && c.record(x, a) {
		p.put(c)
	} else {
		_ = c.nc.Close()
	}
	if a != nil {
		return a, nil
	}
	return nil, &Error{Sent: true, Err: fmt.Errorf("exchange with target %s: %w", p.address, err)}
}

// maxFailedIDs bounds the failures that are remembered for a connection. A connection with more is closed.
const maxFailedIDs = 64

// record remembers the ID of a request that was answered with a failure. It reports whether the connection may be used again.
func (c *conn) record(x *Exchange, a *Response) bool {
	if a == nil || x.ID == "" || a.Status < http.StatusBadRequest {
		return true
	}
	c.failed = append(c.failed, x.ID)
	return len(c.failed) <= maxFailedIDs
}

// get returns a usable idle connection, or a new one.
func (p *Pool) get(ctx context.Context, x *Exchange) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(x.ID)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle < c.idleLimit && (!x.Fresh || idle < maxFreshIdle) {
			usable, stray := c.check()
			if usable {
				return c, nil
			}
			if stray {
				p.recordStray()
			}
		}
		_ = c.nc.Close()
	}
	nc, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(nc), nil
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: responsecheck.NewConn(nc), idleLimit: maxIdle}
	c.in = limitedReader{r: c.nc}
	c.br = bufio.NewReaderSize(&c.in, readBuffer)
	return c
}

// pop removes the most recently used idle connection that has not answered a request of the given ID with a failure.
func (p *Pool) pop(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; id == "" || !slices.Contains(c.failed, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.strayLocked() {
		_ = c.nc.Close()
		return
	}
	for len(p.idle) > 0 && c.idleSince.Sub(p.idle[0].idleSince) >= p.idle[0].idleLimit {
		_ = p.idle[0].nc.Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

// recordStray closes the idle connections, because the target may have sent such bytes on all of them.
func (p *Pool) recordStray() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.strayAt = time.Now()
	for _, c := range p.idle {
		_ = c.nc.Close()
	}
	p.idle = nil
}

func (p *Pool) strayLocked() bool { return !p.strayAt.IsZero() && time.Since(p.strayAt) < strayTime }

// check reports whether an idle connection is usable, which it is if the target has neither sent bytes on it nor closed it, and whether
// such bytes are no response.
func (c *conn) check() (usable, stray bool) {
	sc, ok := c.nc.NetConn().(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		usable, stray = errors.Is(err, syscall.EAGAIN), n > 0 && !responsecheck.StartsResponse(b[:])
		return true
	})
	return err == nil && usable, stray
}

// exchange writes the request and reads the response. It reports whether the connection can be reused, which requires that
// both were transferred completely.
func (c *conn) exchange(ctx context.Context, x *Exchange) (*Response, bool, error) {
	req := &http.Request{Method: x.Method}
	c.nc.Begin(req)
	written := make(chan error, 1)
	if len(x.Bytes) <= inlineWrite && len(x.Body) == 0 {
		_, err := c.nc.Write(x.Bytes)
		written <- err
	} else {
		go func() {
			parts := net.Buffers{x.Bytes}
			if len(x.Body) > 0 {
				parts = append(parts, x.Body)
			}
			written <- c.nc.WriteBuffers(parts)
		}()
	}
	a, reusable, err := c.readResponse(ctx, req, x)
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		return a, reusable && err == nil && c.br.Buffered() == 0 && len(c.nc.Behind()) == 0, nil
	default:
		return a, false, nil // the target responded before it had read the request
	}
}

// readResponse reads the response to the request and skips responses to earlier ones.
func (c *conn) readResponse(ctx context.Context, req *http.Request, x *Exchange) (a *Response, reusable bool, err error) {
	headBytes := maxHeadBytes // bytes left for heads and trailers
	for skipped := 0; skipped <= maxSkipped; {
		resp, err := c.readFinal(req, &headBytes)
		if err != nil {
			return nil, false, err
		}
		c.in.remaining = bodyAllowance(x.MaxBody) + headBytes
		matches := x.Matches(resp.Header)
		body, err := readBody(ctx, resp, x, matches)
		if err != nil {
			return nil, false, err
		}
		if matches {
			c.applyKeepAlive(resp.Header)
			return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, !resp.Close && selfDelimited(resp), nil
		}
		if resp.Close {
			break
		}
		skipped++
	}
	return nil, false, ErrUnmatchedResponse
}

// bodyAllowance returns the number of bytes that may be read from the connection for a body of at most limit bytes. The second
// limit and maxHeadBytes are for the overhead of chunked encoding. The bound of net/http on that overhead is looser: twice the
// data, 16 bytes per chunk and a constant of 16 KiB.
func bodyAllowance(limit int) int { return 2*limit + maxHeadBytes }

// readFinal reads the next response head that is not informational. It subtracts what it reads from headBytes.
func (c *conn) readFinal(req *http.Request, headBytes *int) (*http.Response, error) {
	for range maxInformational {
		c.in.remaining = max(0, *headBytes-c.br.Buffered()) // the buffered bytes may already contain the whole head
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		*headBytes = c.in.remaining // less the body bytes that were buffered with the head, at most readBuffer
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInformational
}

// limitedReader returns ErrResponseSize when no bytes remain, so that an endless response is not read forever.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrResponseSize
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readBody reads the body of a response. It waits for memory before it reads, so that a response for which there is no room stays at the
// target. The body of a response to another request is discarded without being buffered.
func readBody(ctx context.Context, resp *http.Response, x *Exchange, matches bool) ([]byte, error) {
	defer resp.Body.Close()
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if matches {
		return x.Memory.ReadAllWaiting(ctx, resp.Body, resp.ContentLength, x.MaxBody)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, int64(x.MaxBody)+1))
	if err == nil && n > int64(x.MaxBody) {
		err = memory.ErrSize
	}
	return nil, err
}

// selfDelimited reports whether the response ends by its length or chunked encoding rather than with the connection.
func selfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead
}

// applyKeepAlive limits the idle time according to the Keep-Alive header of the target.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			timeout := time.Duration(float64(n) * keepAliveShare * float64(time.Second))
			c.idleLimit = min(maxIdle, timeout)
		}
	}
}
