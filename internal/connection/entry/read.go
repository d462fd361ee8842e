package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// limitedReader reads up to a number of bytes from r and then returns errHeaderSize.
type limitedReader struct {
	r         io.Reader
	remaining int  // bytes that may still be read; negative: no limit
	exceeded  bool // a read failed with errHeaderSize
	expired   bool // a read failed because of its deadline; a parser can report that as malformed input
	header    int  // bytes of the header that were read
	lines     int  // lines of the header that were read
	full      bool // a read failed with errHeaderMemory
	// failure is the error after which nothing more can be read, io.EOF if the caller has ended the stream. A parser can report that as
	// malformed input too.
	failure error
	held    *memory.Reservation
	moved   *atomic.Int64
}

var (
	errHeaderSize   = errors.New("header exceeds its limit")
	errHeaderMemory = errors.New("no memory for the header at present")
)

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		l.exceeded = true
		return 0, errHeaderSize
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.moved.Add(int64(n))
	if l.remaining > 0 {
		l.remaining -= n
		if !l.reserveArriving(p[:n]) {
			l.full = true
			return 0, errHeaderMemory
		}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.expired = true
	case err != nil && l.failure == nil:
		l.failure = err
	}
	return n, err
}

func (c *conn) readRequest(limits Limits) (*Request, error) {
	arrived := time.Now()
	c.in.remaining, c.in.exceeded = max(0, limits.HeaderBytes-c.br.Buffered())+readBuffer, false
	c.in.expired, c.in.full, c.in.header, c.in.lines = false, false, 0, 0
	if buffered, _ := c.br.Peek(c.br.Buffered()); !c.in.reserveArriving(buffered) {
		return nil, errMemory
	}
	hr, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, c.headerError(err)
	}
	size := headerSize(hr)
	if size > limits.HeaderBytes {
		return nil, &RejectError{http.StatusRequestHeaderFieldsTooLarge, errHeaderSize.Error()}
	}
	c.in.remaining = -1
	if hr.ContentLength > int64(limits.BodyBytes) {
		return nil, &RejectError{http.StatusRequestEntityTooLarge, "body exceeds its limit"}
	}
	r := &Request{Request: hr, Arrived: arrived, memory: c.srv.budget.NewReservation(memory.Requests)}
	if !c.countHeader(r, size) {
		r.memory.Release()
		return nil, errMemory
	}
	c.arriving.Store(r.memory)
	if hr.ContentLength != 0 {
		if err = c.readBody(r, limits); err != nil {
			r.memory.Release()
			return nil, err
		}
	}
	if c.isLate() {
		r.memory.Release()
		return nil, errStopping
	}
	return r, nil
}

func (c *conn) isLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// errStopping rejects a request that has not arrived before the server stops.
var errStopping = &RejectError{http.StatusServiceUnavailable, "the node stops and takes no further requests"}

// headerError returns a RejectError for a header that cannot be read, or err if the connection itself has failed.
func (c *conn) headerError(err error) error {
	switch {
	case c.in.exceeded:
		return &RejectError{http.StatusRequestHeaderFieldsTooLarge, errHeaderSize.Error()}
	case c.in.full:
		return &RejectError{http.StatusServiceUnavailable, errHeaderMemory.Error()}
	case c.in.expired:
		return c.lateError("header did not arrive in time")
	case c.in.failure != nil:
		return err
	default:
		return errHeaderMalformed
	}
}

// errHeaderMalformed rejects a header that cannot be read, and errBodyMalformed a body. The errors of the library are not passed on:
// they quote lines of the header or trailer, which may contain credentials, and the text is logged.
var (
	errHeaderMalformed = &RejectError{http.StatusBadRequest, "malformed request header"}
	errBodyMalformed   = &RejectError{http.StatusBadRequest, "malformed request body"}
)

// lateError returns the error for a request that did not arrive in time.
func (c *conn) lateError(detail string) error {
	if c.isLate() {
		return errStopping
	}
	return &RejectError{http.StatusRequestTimeout, detail}
}

// headerSize returns the size of a request header as it was sent, apart from optional white space.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("Host: ")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (c *conn) readBody(r *Request, limits Limits) error {
	hr := r.Request
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") {
		if err := c.sendContinue(); err != nil {
			return err
		}
	}
	c.setArrivalDeadline(bodyTimeout)
	body, err := r.memory.ReadAll(&bodyReader{Reader: hr.Body, c: c, armed: time.Now()}, hr.ContentLength, limits.BodyBytes)
	switch {
	case err == nil:
		r.Payload = body
		return nil
	case errors.Is(err, memory.ErrBudget):
		return errMemory
	case errors.Is(err, memory.ErrSize):
		return &RejectError{http.StatusRequestEntityTooLarge, "body exceeds its limit"}
	case c.in.expired:
		return c.lateError("body did not arrive in time")
	case c.in.failure != nil:
		return err
	default:
		return errBodyMalformed
	}
}

// bodyReader extends the deadline of a body while it arrives.
type bodyReader struct {
	io.Reader
	c     *conn
	armed time.Time // when the deadline was set
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if now := time.Now(); n > 0 && now.Sub(b.armed) > bodyTimeout/4 {
		b.armed = now
		b.c.setArrivalDeadline(bodyTimeout)
	}
	return n, err
}

// errMemory rejects a request that does not fit into the memory budget at present.
var errMemory = &RejectError{http.StatusServiceUnavailable, "no memory for the request at present"}
