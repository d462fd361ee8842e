package node

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxInlineBody is the size of a request body up to which the calling goroutine writes it before it reads the response,
	// in bytes. It fits into the buffers of a socket, so a target that answers without reading the body cannot block it.
	maxInlineBody = 32 << 10
	// maxResponseHeader bounds the memory for the headers of a response, in bytes.
	maxResponseHeader = 1 << 20
	// maxInterim bounds the interim (1xx) responses before the final one.
	maxInterim = 5
)

var (
	errHeaderTooLarge = errors.New("response headers are too large")
	errInterim        = errors.New("too many interim responses")
)

// targetConns keeps the idle connections to the target. http.Transport writes requests and reads responses in goroutines
// of each connection, which costs a call three changes of goroutines; here the calling goroutine does both. A request is
// never repeated. All methods are safe for concurrent use.
type targetConns struct {
	dialer      net.Dialer
	idleTimeout time.Duration

	mu    sync.Mutex
	idle  []*targetConn // the longest idle first
	timer *time.Timer   // closes connections that were idle for too long; nil while none is idle
}

// targetConn is a connection to the target. One goroutine uses it at a time.
type targetConn struct {
	net.Conn
	raw       syscall.RawConn
	address   string
	idleSince time.Time
	in        *bufio.Reader
	out       *bufio.Writer
	left      int64         // bytes that may still be read
	writing   chan struct{} // closed when a request that is written in a goroutine of its own is written; nil otherwise
	failed    error         // of that goroutine
}

// get returns the connection to the address that was used last, or opens one.
func (t *targetConns) get(ctx context.Context, address string) (*targetConn, error) {
	for c := t.takeIdle(address); c != nil; c = t.takeIdle(address) {
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := &targetConn{Conn: conn, raw: raw, address: address}
	c.in, c.out = bufio.NewReader(limited{c}), bufio.NewWriter(conn)
	return c, nil
}

func (t *targetConns) takeIdle(address string) *targetConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.idle) - 1; i >= 0; i-- {
		if c := t.idle[i]; c.address == address {
			t.idle = slices.Delete(t.idle, i, i+1)
			return c
		}
	}
	return nil
}

// put keeps an unused connection for later requests.
func (t *targetConns) put(c *targetConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.idleSince = time.Now()
	t.idle = append(t.idle, c)
	if t.timer == nil {
		t.timer = time.AfterFunc(t.idleTimeout, t.expire)
	}
}

// expire closes the connections that were idle for too long.
func (t *targetConns) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for len(t.idle) > 0 && now.Sub(t.idle[0].idleSince) >= t.idleTimeout {
		_ = t.idle[0].Close()
		t.idle = slices.Delete(t.idle, 0, 1)
	}
	t.timer = nil
	if len(t.idle) > 0 {
		t.timer = time.AfterFunc(t.idle[0].idleSince.Add(t.idleTimeout).Sub(now), t.expire)
	}
}

// quiet reports whether an idle connection is open and has nothing to read. Data that was not asked for would be taken for
// the response of the next request.
func (c *targetConn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// interrupt ends reads and writes of the connection, which is of no use after it.
func (c *targetConn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// roundTrip writes the request and reads the head of its response.
func (c *targetConn) roundTrip(r *http.Request) (*http.Response, error) {
	if err := c.write(r); err != nil {
		return nil, err
	}
	for range maxInterim {
		c.left = maxResponseHeader
		resp, err := http.ReadResponse(c.in, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.left = math.MaxInt64 // the caller bounds the body
			return resp, nil
		}
	}
	return nil, errInterim
}

// write writes the request. A large one is written in a goroutine of its own, because the target may answer before it has
// read it all.
func (c *targetConn) write(r *http.Request) error {
	if r.ContentLength <= maxInlineBody {
		return c.send(r)
	}
	c.writing = make(chan struct{})
	go func() {
		defer close(c.writing)
		c.failed = c.send(r)
	}()
	return nil
}

func (c *targetConn) send(r *http.Request) error {
	if err := r.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// written reports whether the whole request has been written, without waiting for it.
func (c *targetConn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case <-c.writing:
		c.writing = nil
		return c.failed == nil
	default:
		return false
	}
}

// limited reads from a connection up to its limit.
type limited struct{ c *targetConn }

func (l limited) Read(b []byte) (int, error) {
	if l.c.left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.c.Conn.Read(b[:min(int64(len(b)), l.c.left)])
	l.c.left -= int64(n)
	return n, err
}
