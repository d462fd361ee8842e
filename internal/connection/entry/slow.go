package entry

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// A connection is slow if its caller has sent a request, or read a response, for slowAfter at less than slowRate. Slow connections are
// closed only to make room: the one that has held most for longest when memory is short, the slowest one of those that hold least when a
// new connection finds no descriptor. Faster callers, and slow ones while there is room, are served.
const (
	slowAfter = time.Second
	slowRate  = 64 << 10 // bytes per second
	// closeInterval bounds how often a connection is closed to make room, because what it held is returned only when its goroutines
	// have noticed.
	closeInterval = 10 * time.Millisecond
	// connectionBytes is what an open connection takes: two goroutines, its read buffer and a small header.
	connectionBytes = 16 << 10
	// requestBytes is what a pipelined request takes behind an earlier one besides its header, body and response: its goroutine. That of
	// the first one is part of connectionBytes.
	requestBytes = 8 << 10
	// socketBuffer is the size of the kernel's buffers of a connection in bytes, of which the kernel takes twice as much. The kernel
	// would let them grow to some MiB for callers that do not read. It suffices for 30 MB/s at a round trip of 4 ms.
	socketBuffer = 64 << 10
	// maxUnread bounds the bytes of finished responses that wait on a connection behind unread ones. Above it no further pipelined
	// request is read.
	maxUnread = 256 << 10
	// fieldBytes is the memory that a header field takes besides its bytes: an entry of a map that grows by doubling, and a slice.
	fieldBytes = 160
	// freeFields is the number of header fields that are part of connectionBytes.
	freeFields = 32
)

// CloseReason says why the server has closed a connection that its caller was still using.
type CloseReason uint8

// Reasons.
const (
	ClosedForConnections CloseReason = iota // to make room for a new connection
	ClosedForMemory                         // to make room in the memory budget
	ClosedStalled                           // its caller took nothing of a response for the stall time
	RefusedConnection                       // a new connection for which there was no room
	closeReasons
)

// String returns the label of the reason in metrics.
func (r CloseReason) String() string {
	return [...]string{"connections", "memory", "stalled", "no-room"}[r]
}

// Closed returns how many connections were closed for each reason.
func (s *Server) Closed() map[string]int64 {
	counts := make(map[string]int64, closeReasons)
	for r := range closeReasons {
		counts[r.String()] = s.closedFor[r].Load()
	}
	return counts
}

var errNoRoom = errors.New("connection closed to make room")

// transfer measures a request that arrives or a response that is read.
type transfer struct {
	began atomic.Int64 // time from the start of the server in nanoseconds; zero: nothing is transferred
	moved atomic.Int64 // bytes since then
}

func (x *transfer) begin(s *Server) {
	x.moved.Store(0)
	x.began.Store(max(1, int64(time.Since(s.started))))
}

func (x *transfer) end() { x.began.Store(0) }

// duration returns how long the transfer has taken, zero if there is none.
func (x *transfer) duration(s *Server) time.Duration {
	began := x.began.Load()
	if began == 0 {
		return 0
	}
	return max(0, time.Since(s.started)-time.Duration(began))
}

// slow returns how long a slow transfer has taken, zero if it is none.
func (x *transfer) slow(s *Server) time.Duration {
	d := x.duration(s)
	if d < slowAfter || float64(x.moved.Load()) >= slowRate*d.Seconds() {
		return 0
	}
	return d
}

// slowness returns how long the connection has been slow, and the bytes that it holds.
func (c *conn) slowness() (d time.Duration, held int64) {
	d = c.out.slow(c.srv)
	// While responses are due, the connection is judged by them: closing it for its next request would lose them.
	if d == 0 && c.out.began.Load() == 0 && c.inFlight() == 0 {
		d = c.arrival.slow(c.srv)
	}
	return d, c.held.Reserved() + c.arriving.Load().Reserved() + c.unread.Load()
}

func (c *conn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// CloseSlowest closes the slow connection that has held most for longest, to make room in the memory budget. It is called while
// reservations wait and returns at once if it has just closed one.
func (s *Server) CloseSlowest() {
	now := int64(time.Since(s.started))
	last := s.lastClose.Load()
	if now-last < int64(closeInterval) && last != 0 || !s.lastClose.CompareAndSwap(last, now) {
		return
	}
	go s.closeSlow(ClosedForMemory, func(d time.Duration, held int64) float64 { return d.Seconds() * float64(held) })
}

// closeSlow closes the slow connection with the highest score and reports whether there was one.
func (s *Server) closeSlow(reason CloseReason, score func(d time.Duration, held int64) float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeSlowLocked(reason, score)
}

func (s *Server) closeSlowLocked(reason CloseReason, score func(d time.Duration, held int64) float64) bool {
	var slowest *conn
	var highest float64
	for c := range s.conns {
		if d, held := c.slowness(); d > 0 && c.ctx.Err() == nil {
			if x := score(d, held); x > highest {
				slowest, highest = c, x
			}
		}
	}
	if slowest == nil {
		return false
	}
	slowest.cut(reason, errNoRoom)
	delete(s.conns, slowest)
	return true
}

// cut closes the connection. A response that is being written does not arrive completely.
func (c *conn) cut(reason CloseReason, cause error) {
	c.srv.closedFor[reason].Add(1)
	c.reason.Store(int32(reason) + 1)
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // else the kernel keeps what the caller has not read
	}
	c.abort(cause)
}

// reportCut tells the handler of a complete response that was not written completely.
func (c *conn) reportCut(a *Response, err error) {
	reason := ""
	switch r := c.reason.Load(); {
	case r > 0:
		reason = CloseReason(r - 1).String()
	case isTimeout(err):
		c.srv.closedFor[ClosedStalled].Add(1)
		reason = ClosedStalled.String()
	default:
		return // the caller has closed it
	}
	if h, ok := c.srv.handler.(CutHandler); ok {
		h.ResponseCut(a, reason)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// CutHandler is implemented by handlers that want to know of responses that were cut off.
type CutHandler interface {
	// ResponseCut is called for a response that was complete and that its caller did not read completely, with the reason.
	ResponseCut(a *Response, reason string)
}

// OldestUnread returns for how long the response that has been written longest has been unread.
func (s *Server) OldestUnread() time.Duration {
	var oldest time.Duration
	s.forEach(func(c *conn) { oldest = max(oldest, c.out.duration(s)) })
	return oldest
}

// admitLocked makes room for a new connection and reports whether it is accepted. The caller holds the mutex.
func (s *Server) admitLocked(c *conn) bool {
	for {
		full := len(s.conns) >= s.maxConns
		if !full && c.held.Reserve(connectionBytes) {
			return true
		}
		if !s.evictLocked() && !s.closeSlowLocked(ClosedForConnections, func(d time.Duration, held int64) float64 {
			return d.Seconds() / float64(held+connectionBytes)
		}) {
			s.closedFor[RefusedConnection].Add(1)
			return false
		}
		if !full {
			c.held.ReserveOver(connectionBytes) // the connection that was closed returns as much when its goroutines end
			return true
		}
	}
}

// limitSocket bounds the kernel's buffers of a connection.
func limitSocket(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBuffer)
		_ = tcp.SetWriteBuffer(socketBuffer)
	}
}

// headerBytes returns the memory that a header takes beyond what is part of connectionBytes.
func headerBytes(size, fields int) int64 {
	return int64(max(0, size-readBuffer) + fieldBytes*max(0, fields-freeFields))
}

// countHeader reserves memory for the header of a request that was read.
func (c *conn) countHeader(r *Request, size int) bool {
	c.held.Shrink(connectionBytes)
	n := headerBytes(size, len(r.Header))
	return n == 0 || r.memory.Reserve(n)
}

// reserveArriving reserves memory for bytes of a header before they are parsed. A line is taken for a field.
func (l *limitedReader) reserveArriving(p []byte) bool {
	before := headerBytes(l.header, l.lines)
	l.header += len(p)
	l.lines += bytes.Count(p, newline)
	n := headerBytes(l.header, l.lines) - before
	return n == 0 || l.held.Reserve(n)
}

var newline = []byte{'\n'}
