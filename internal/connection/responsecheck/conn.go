package responsecheck

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Conn is the client's end of an HTTP/1.1 connection. Reads fail at the first byte of a response that is not valid, and at the end of a
// stream that does not complete its response. What was read before is valid.
//
// A read never continues beyond the end of a final response, so that what follows it is read only if someone waits for it.
//
// A Conn is safe for one reader and one writer at a time. Begin may be called while another goroutine reads.
type Conn struct {
	net.Conn
	request atomic.Pointer[request]

	// Used by the reader only.
	scanner scanner
	behind  []byte // bytes behind the last response that were received and not read
	err     error  // of all further reads

	writing  atomic.Int32          // writes in progress
	writeErr atomic.Pointer[error] // of the first write that has failed
}

// NewConn returns a connection over nc, from which nothing was read.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{Conn: nc}
	c.request.Store(&request{})
	return c
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin must be called before a request is written. The response that is read next belongs to it.
func (c *Conn) Begin(r *http.Request) {
	c.request.Store(&request{head: r.Method == http.MethodHead, upgrade: r.Header.Get("Upgrade") != ""})
}

// Behind returns the bytes behind the last response that were received already. Only the reader may call it.
func (c *Conn) Behind() []byte { return c.behind }

// StraysBehind reports whether bytes were received behind the last response that do not begin another one.
func (c *Conn) StraysBehind() bool { return !StartsResponse(c.behind) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	var n int
	var err error
	if len(c.behind) > 0 {
		n = copy(p, c.behind)
		c.behind = c.behind[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	valid, complete, invalid := c.scanner.scan(p[:n], *c.request.Load())
	switch {
	case invalid != nil:
		c.err = invalid
	case complete && valid < n:
		c.behind = append(bytes.Clone(p[valid:n]), c.behind...)
	case errors.Is(err, io.EOF) && c.scanner.state == bodyUntilEnd:
		c.err = c.awaitReset()
	default:
		return valid, err
	}
	if valid == 0 {
		return 0, c.err
	}
	return valid, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes the buffers with as few calls as the connection allows.
func (c *Conn) WriteBuffers(b net.Buffers) error {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	_, err := b.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

func (c *Conn) recordWrite(err error) {
	if err != nil {
		c.writeErr.CompareAndSwap(nil, &err)
	}
}

const (
	// resetWait is how long a reset is awaited that can follow the end of a stream. The other end sends it when it receives a part of a
	// request that it does not read, so that it takes a round trip.
	resetWait = 200 * time.Millisecond
	// firstResetCheck is the time between the first two checks for a reset, which then doubles.
	firstResetCheck = time.Millisecond
)

// awaitReset is called at the end of a stream that completes a response unless the connection was reset. A reset ends the stream like a
// close if the kernel has reported it to a write, or to nobody yet. awaitReset returns io.EOF, or ErrIncomplete after a reset. It waits
// while the request is being written or its bytes are on the way, at most for resetWait.
func (c *Conn) awaitReset() error {
	end := time.Now().Add(resetWait)
	for pause := firstResetCheck; ; pause *= 2 {
		writing := c.writing.Load() > 0 // before the error, which is recorded first
		if err := c.writeErr.Load(); err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, *err)
		}
		if err := socketError(c.Conn); err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if left := time.Until(end); left > 0 && (writing || unacknowledged(c.Conn) > 0) {
			time.Sleep(min(pause, left))
			continue
		}
		return io.EOF
	}
}
