// Package targetconn keeps HTTP/1.1 connections to one target and exchanges one request at a time on each. It tells for
// every failure whether the target can have seen the request, skips answers that belong to earlier requests, and uses no
// connection again on which anything unexpected arrived.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// Exchange is one request with the rules for its answer.
type Exchange struct {
	Method string
	Bytes  []byte // the whole request as it is written
	// Fresh refuses connections that were idle for more than freshIdle: a target may have closed them unnoticed, and a
	// request that was written to such a connection may not be repeated.
	Fresh bool
	// Matches reports whether an answer belongs to this request.
	Matches func(http.Header) bool
	// MaxBody bounds the body of the answer, in bytes.
	MaxBody int
	// Memory counts the body of the answer; nil: not counted.
	Memory *memory.Reservation
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is a failed exchange.
type Error struct {
	Sent bool // the target may have seen the request
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	dialTimeout = 500 * time.Millisecond
	// maxIdle is shorter than the idle timeout of targets, which is 10 s where it is known.
	maxIdle = 7 * time.Second
	// maxFreshIdle bounds the idle time of connections for requests that must not be repeated.
	maxFreshIdle = 700 * time.Millisecond
	// keepAliveShare is the part of an idle timeout that the target states after which a connection is not used again.
	keepAliveShare = 0.7
	// maxSkipped bounds the answers to earlier requests that are skipped on one connection.
	maxSkipped = 2
	// maxInformational bounds the 1xx responses before an answer.
	maxInformational = 5
	// inlineWrite is the size up to which a request is written before its answer is read; a larger one is written
	// meanwhile, because the target may answer before it has read everything.
	inlineWrite = 2 << 10
	readBuffer  = 4 << 10
	// maxHeadBytes bounds the bytes of all heads and trailers that arrive for one exchange, those of informational responses and of
	// skipped answers included. HTTP servers commonly accept heads of 8 to 32 KiB; parsed, short lines take ten times as much.
	maxHeadBytes = 32 << 10
)

// Errors of exchanges.
var (
	ErrResponseSize      = errors.New("answer exceeds its limit")
	ErrUnmatchedResponse = errors.New("only answers to other requests arrived")

	errInformational = errors.New("too many informational responses")
)

// Pool keeps the connections to one target.
type Pool struct {
	address string
	dial    func(ctx context.Context) (net.Conn, error)

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool
	opened int
}

// NewPool returns a pool for the target at the address.
func NewPool(address string) *Pool {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Pool{address: address, dial: func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes idle connections. Exchanges that run go on.
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
	nc        net.Conn
	in        limitedReader
	br        *bufio.Reader
	idleSince time.Time     // start of the present idle time
	idleLimit time.Duration // longest idle time
}

// Do sends the request and returns its answer, or an *Error.
func (p *Pool) Do(ctx context.Context, x *Exchange) (*Response, error) {
	c, err := p.get(ctx, x.Fresh)
	if err != nil {
		return nil, &Error{Err: fmt.Errorf("connect to target %s: %w", p.address, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	a, reusable, err := c.exchange(x)
	if !stop() {
		err = errors.Join(ctx.Err(), err)
		reusable = false
	}
	if reusable {
		p.put(c)
	} else {
		_ = c.nc.Close()
	}
	if a != nil {
		return a, nil
	}
	return nil, &Error{Sent: true, Err: fmt.Errorf("exchange with target %s: %w", p.address, err)}
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle < c.idleLimit && (!fresh || idle < maxFreshIdle) && c.usable() {
			return c, nil
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
	c := &conn{nc: nc, in: limitedReader{r: nc}, idleLimit: maxIdle}
	c.br = bufio.NewReaderSize(&c.in, readBuffer)
	return c, nil
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.nc.Close()
		return
	}
	for len(p.idle) > 0 && c.idleSince.Sub(p.idle[0].idleSince) >= p.idle[0].idleLimit {
		_ = p.idle[0].nc.Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

// usable reports whether nothing has arrived on an idle connection, neither bytes nor its end.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// exchange writes the request and reads its answer. The connection is reusable if nothing is left of either.
func (c *conn) exchange(x *Exchange) (*Response, bool, error) {
	written := make(chan error, 1)
	if len(x.Bytes) <= inlineWrite {
		_, err := c.nc.Write(x.Bytes)
		written <- err
	} else {
		go func() {
			_, err := c.nc.Write(x.Bytes)
			written <- err
		}()
	}
	a, reusable, err := c.readResponse(x)
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		return a, reusable && err == nil && c.br.Buffered() == 0, nil
	default:
		return a, false, nil // the target answered before it read everything
	}
}

// readResponse reads the answer to the request and skips those to earlier ones.
func (c *conn) readResponse(x *Exchange) (a *Response, reusable bool, err error) {
	req := &http.Request{Method: x.Method}
	headBytes := maxHeadBytes // bytes that heads and trailers may still take
	for skipped := 0; skipped <= maxSkipped; {
		resp, err := c.readFinal(req, &headBytes)
		if err != nil {
			return nil, false, err
		}
		c.in.remaining = bodyAllowance(x.MaxBody) + headBytes
		matches := x.Matches(resp.Header)
		body, err := readBody(resp, x, matches)
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

// bodyAllowance returns the bytes on the connection that a body may take. The library bounds the framing of chunks to less than
// the chunks themselves, beyond a constant.
func bodyAllowance(limit int) int { return 2*limit + maxHeadBytes }

// readFinal reads the next head that is not informational. What it reads is taken from the allowance for heads.
func (c *conn) readFinal(req *http.Request, headBytes *int) (*http.Response, error) {
	for range maxInformational {
		c.in.remaining = max(0, *headBytes-c.br.Buffered()) // what is in the buffer may hold the whole head
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		*headBytes = c.in.remaining // without what the buffer holds of the body, which is little
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInformational
}

// limitedReader fails once the allowed number of bytes was read, so that nothing is read without end.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (m *limitedReader) Read(p []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, ErrResponseSize
	}
	n, err := m.r.Read(p[:min(len(p), m.remaining)])
	m.remaining -= n
	return n, err
}

// readBody reads the body of an answer. The body of an answer to another request is dropped as it arrives.
func readBody(resp *http.Response, x *Exchange, matches bool) ([]byte, error) {
	defer resp.Body.Close()
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if matches {
		return x.Memory.ReadAll(resp.Body, resp.ContentLength, x.MaxBody)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, int64(x.MaxBody)+1))
	if err == nil && n > int64(x.MaxBody) {
		err = memory.ErrSize
	}
	return nil, err
}

// selfDelimited reports whether the end of the answer was marked by something other than the end of the connection.
func selfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead
}

// applyKeepAlive takes the idle timeout that the target states.
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
