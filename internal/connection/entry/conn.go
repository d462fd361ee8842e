package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// conn is a connection of a caller.
type conn struct {
	srv    *Server
	nc     net.Conn
	in     limitedReader
	br     *bufio.Reader
	ctx    context.Context // ends when the caller has left or the connection is closed
	cancel context.CancelCauseFunc
	// requestsCtx is the context of the requests. It ends before ctx if the server gives them up; they are still answered then.
	requestsCtx context.Context
	giveUp      context.CancelCauseFunc

	held     *memory.Reservation                // for the connection and the header that arrives
	arriving atomic.Pointer[memory.Reservation] // of the request that arrives; nil if there is none
	arrival  transfer                           // of that request
	out      transfer                           // of the response that is being written
	unread   atomic.Int64                       // bytes of finished responses that were not written
	reason   atomic.Int32                       // 1 + CloseReason; zero: not closed for one

	writing   sync.Mutex // held while a response or a part of it is written
	sentAhead int        // bytes of statusLineStart that were sent ahead of the next response; guarded by writing

	mu        sync.Mutex
	pending   int           // requests that were read and not answered yet
	waiting   int           // pending requests whose response is not being written yet
	reading   bool          // a request has started to arrive
	closed    bool          // no further request is accepted
	closeSent bool          // a response has announced the end of the connection
	late      bool          // the request that arrives is rejected because the server stops
	lastDone  chan struct{} // closed when the newest request is answered; nil if there was none
}

// readBuffer is the size of a connection's read buffer. Typical requests without a body fit into it.
const readBuffer = 2 << 10

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{srv: s, nc: nc, held: s.budget.NewReservation(memory.Connections)}
	c.in = limitedReader{r: nc, held: c.held, moved: &c.arrival.moved}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.requestsCtx, c.giveUp = context.WithCancelCause(c.ctx)
	c.br = bufio.NewReaderSize(&c.in, readBuffer)
	return c
}

// run reads requests until the caller or the server ends the connection, then waits for the pending requests.
func (c *conn) run() {
	cause := c.read()
	c.mu.Lock()
	c.closed = true
	lastDone, closeSent := c.lastDone, c.closeSent
	c.mu.Unlock()
	if cause != nil && !closeSent {
		c.cancel(cause)
	}
	if lastDone != nil {
		<-lastDone
	}
	if closeSent {
		c.linger()
	}
	c.cancel(errCallerLeft)
	_ = c.nc.Close()
	c.held.Release()
}

// read reads and dispatches requests. It returns nil if pending requests are still to be answered, else the cause with which
// they are cancelled.
func (c *conn) read() error {
	for {
		limits := c.srv.handler.Limits()
		if err := c.awaitRequest(limits); errors.Is(err, errServerClosed) {
			return c.awaitAnswered()
		} else if err != nil {
			return c.readFailed()
		}
		c.arrival.begin(c.srv)
		r, err := c.readRequest(limits)
		c.arriving.Store(nil)
		c.arrival.end()
		var reject *RejectError
		switch {
		case errors.As(err, &reject):
			c.held.Shrink(connectionBytes)
			return c.reject(reject)
		case err != nil:
			return c.readFailed()
		}
		last := r.Close
		if !c.dispatch(r) || last {
			return c.awaitAnswered()
		}
		if err := c.throttle(); err != nil {
			return err
		}
	}
}

// awaitRequest waits for the first byte of the next request. It returns errServerClosed if the connection accepts no further
// request: a response has announced its end, or it was closed because it was idle. Otherwise an error is that of the connection.
func (c *conn) awaitRequest(limits Limits) error {
	c.in.remaining = -1
	c.mu.Lock()
	c.reading = false
	if c.closed {
		c.mu.Unlock()
		return errServerClosed
	}
	c.setIdleDeadline(limits.IdleTimeout)
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errServerClosed
	}
	c.reading = true
	c.setArrivalDeadlineLocked(limits.HeaderTimeout)
	return nil
}

// setArrivalDeadline limits the time for the rest of a request to arrive. None is left for one that is late.
func (c *conn) setArrivalDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setArrivalDeadlineLocked(d)
}

// setArrivalDeadlineLocked is setArrivalDeadline for callers that hold the mutex.
func (c *conn) setArrivalDeadlineLocked(d time.Duration) {
	if c.late {
		d = 0
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(d))
}

// setIdleDeadline sets the deadline for the next request to arrive while none is pending. When connections are closed, it leaves at
// least CloseDelay for a request that was sent before the caller could know. The caller holds the mutex.
func (c *conn) setIdleDeadline(idle time.Duration) {
	deadline := time.Time{}
	if c.pending == 0 && idle > 0 {
		deadline = time.Now().Add(idle)
	}
	if closeTime := c.srv.closeTime.Load(); c.pending == 0 && closeTime != nil {
		deadline = *closeTime
		if earliest := time.Now().Add(CloseDelay); deadline.Before(earliest) {
			deadline = earliest
		}
	}
	_ = c.nc.SetReadDeadline(deadline)
}

// throttle waits if the connection has maxPipelined pending requests, or more than maxUnread bytes of responses to write, or if it has
// any while memory is short. Since it waits for the newest of them and responses are sent
// in order, all of them are answered before the next request is read.
func (c *conn) throttle() error {
	for {
		c.mu.Lock()
		full := c.pending >= maxPipelined || c.pending > 0 && (c.unread.Load() > maxUnread || c.srv.budget.Short())
		c.mu.Unlock()
		if !full {
			return nil
		}
		if err := c.awaitAnsweredUnread(); err != nil {
			return err
		}
	}
}

// sendContinue sends 100 Continue after the responses to earlier requests, unless the caller sends the body before.
func (c *conn) sendContinue() error {
	answered, err := c.awaitInput()
	c.in.expired = false
	if !answered || err != nil || c.in.failure != nil || c.isLate() {
		return err
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(c.srv.stallTime)) // a probe may have left one that has passed
	_, err = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// dispatch starts a goroutine that serves the request. It returns false if the connection accepts no more requests.
func (c *conn) dispatch(r *Request) bool {
	done := make(chan struct{})
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		r.memory.Release()
		return false
	}
	previous := c.lastDone
	c.lastDone = done
	var kept int64 // what the request takes until its response is written
	if c.pending > 0 {
		kept = requestBytes
		r.memory.ReserveOver(kept)
	}
	c.pending++
	c.waiting++
	c.reading = false
	c.closed = c.srv.closing.Load() // the last one: its response announces the end of the connection
	c.mu.Unlock()
	c.srv.active.Add(1)
	go func() {
		defer close(done)
		defer c.srv.active.Add(-1)
		a := c.srv.handler.Serve(c.requestsCtx, r)
		res, method, last := r.memory, r.Method, r.Close
		r = nil // its header and body are not needed while the response waits
		res.Shrink(kept)
		defer res.Release()
		c.unread.Add(int64(len(a.Body)))
		defer c.unread.Add(-int64(len(a.Body)))
		if previous != nil {
			<-previous
		}
		c.respond(method, last, a)
		a.Memory.Release()
	}()
	return true
}

// respond writes a response. The response ends the connection if the caller asked for that, or if keep-alives are disabled
// and no other request has been read or is arriving: those must still be answered.
func (c *conn) respond(method string, last bool, a *Response) {
	c.mu.Lock()
	c.waiting--
	if c.ctx.Err() != nil {
		c.mu.Unlock()
		c.reportCut(a, c.ctx.Err())
		c.finish(nil)
		return
	}
	last = last || c.srv.closing.Load() && c.pending == 1 && !c.reading
	if last {
		c.closed, c.closeSent = true, true
	}
	c.mu.Unlock()
	c.out.begin(c.srv)
	err := c.writeResponse(method, a, last)
	c.out.end()
	if err != nil {
		c.reportCut(a, err)
	}
	c.finish(err)
	if last {
		_ = c.nc.SetReadDeadline(time.Now()) // interrupts the wait for the next request
	}
}

// finish counts a request as answered and starts the idle timeout if no other is pending. An error closes the connection.
func (c *conn) finish(err error) {
	if err != nil {
		c.cancel(err)
		_ = c.nc.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && !c.reading && !c.closed {
		c.setIdleDeadline(c.srv.handler.Limits().IdleTimeout)
	}
}

// reject responds to a request that cannot be served, after the responses to earlier ones, and ends the connection. It returns
// errCallerLeft if the caller leaves before.
func (c *conn) reject(e *RejectError) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if err := c.awaitAnswered(); err != nil {
		return err
	}
	_ = c.writeResponse(http.MethodGet, c.srv.handler.Reject(e.Status, e.Detail), true)
	c.linger()
	return nil
}

// lingerTime is how long the connection is read after its last response. Closing a connection with unread bytes resets it, and
// the caller may lose the response.
const lingerTime = 500 * time.Millisecond

func (c *conn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.nc)
}

// endAfterPending reads no request after those that are pending or arriving. Responses cannot announce the end of the connection
// while a caller always has further requests on it. If the last response is being written already, the next one announces the end.
func (c *conn) endAfterPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || c.waiting > 0 && !c.reading // a request that is arriving ends the connection in dispatch
}

// refuseArriving ends the wait for the rest of a request that has been arriving for at least the given time.
func (c *conn) refuseArriving(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && c.arrival.duration(c.srv) >= age {
		c.late = true
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// closeIdle ends the connection if no request is pending or arriving, and reports whether it did.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.reading {
		return false
	}
	c.closed = true
	_ = c.nc.SetReadDeadline(time.Now())
	return true
}

// closeAt ends an idle connection at the given time unless a request arrives before.
func (c *conn) closeAt(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.reading {
		_ = c.nc.SetReadDeadline(end)
	}
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort(cause error) {
	c.cancel(cause)
	_ = c.nc.Close()
}
