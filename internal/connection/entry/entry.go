// Package entry is an HTTP/1.1 server for callers. It runs the pipelined requests of a connection concurrently, sends their
// responses in order, and cancels the requests of a caller that disconnects. The server of net/http does not read the next
// request before the current one is answered, and detects a disconnect only for the current one.
//
// A Server is safe for concurrent use. Each connection has one goroutine that reads and one per request.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// Request is a request with its complete body.
type Request struct {
	*http.Request
	Payload []byte
	Arrived time.Time // when its first byte was read

	memory *memory.Reservation // for the payload
}

// Response is the response that answers a request. The server itself sends 100 Continue before it, if the caller expects that.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	ID     string              // of the request, for logs
	Memory *memory.Reservation // released after the response was written or discarded; may be nil
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without pending requests
}

// Handler handles requests.
type Handler interface {
	// Serve returns the response to a request. The context is cancelled when the caller disconnects, or by Server.GiveUp.
	Serve(ctx context.Context, r *Request) *Response
	// Reject returns the response to a request that is rejected before Serve: a status from 400 to 499, or 503 for lack of
	// memory.
	Reject(status int, detail string) *Response
	// Limits returns the limits that currently apply.
	Limits() Limits
}

const (
	// maxPipelined bounds the concurrent requests of one connection. When there are that many, the next
	// request is read after all of them are answered.
	maxPipelined = 64
	// bodyTimeout bounds the time in which nothing of a body arrives. A body that arrives slowly is read while there is room.
	bodyTimeout = 30 * time.Second
	// DefaultStallTime is the stall time if none is given, see Config.StallTime. Within it, the slowest caller that is served takes
	// the third of its socket buffer that the kernel frees at a time: about 0.7 KiB/s.
	DefaultStallTime = 60 * time.Second
	// acceptPause is the delay after a failed accept, the usual cause of which is a lack of file descriptors.
	acceptPause = 5 * time.Millisecond
	// CloseDelay is how long CloseIdle continues to accept connections from the accept queue and requests on idle connections.
	// Closing at once would reset those that have arrived and were not read yet.
	CloseDelay = 50 * time.Millisecond
)

// Server serves the connections of one or more listeners.
type Server struct {
	handler   Handler
	maxConns  int
	budget    *memory.Budget // for connections and for the headers and bodies of pending requests
	stallTime time.Duration
	started   time.Time

	closedFor [closeReasons]atomic.Int64
	lastClose atomic.Int64 // when CloseSlowest last closed a connection, in nanoseconds from started

	active    atomic.Int64              // requests that were read and not answered yet
	closing   atomic.Bool               // each connection ends with the requests that have begun to arrive
	closeTime atomic.Pointer[time.Time] // when idle connections and listeners are closed; nil: not set

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	closed    bool
	running   sync.WaitGroup // of connections; grows only under mu while closed is not set
}

// Config configures a server.
type Config struct {
	MaxConnections int
	// Budget counts connections and the headers and bodies of pending requests.
	Budget *memory.Budget
	// StallTime is the time after which a connection is closed whose caller takes nothing of a response. Zero: DefaultStallTime.
	StallTime time.Duration
}

// NewServer returns a server.
func NewServer(h Handler, cfg Config) *Server {
	if cfg.StallTime <= 0 {
		cfg.StallTime = DefaultStallTime
	}
	return &Server{
		handler: h, maxConns: cfg.MaxConnections, budget: cfg.Budget, stallTime: cfg.StallTime, started: time.Now(), conns: map[*conn]struct{}{},
	}
}

// Serve accepts connections until the listener is closed, or until CloseDelay after CloseIdle was called.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if s.closeTime.Load() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			_ = l.Close()
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.start(nc)
	}
}

// start serves a new connection. If maxConns is reached or memory is short, it closes an idle connection to make room, or a slow one, or
// the new one if there is neither. It also closes the new one after Close.
func (s *Server) start(nc net.Conn) {
	limitSocket(nc)
	c := newConn(s, nc)
	s.mu.Lock()
	refused := s.closed || !s.admitLocked(c)
	if !refused {
		s.conns[c] = struct{}{}
		s.running.Add(1)
	}
	s.mu.Unlock()
	if refused {
		c.cancel(errServerClosed)
		c.held.Release()
		_ = nc.Close() // nothing was read, so the caller can retry immediately
		return
	}
	go func() {
		defer s.running.Done()
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// evictLocked closes one idle connection and reports whether there was one. The caller holds the mutex.
func (s *Server) evictLocked() bool {
	for c := range s.conns {
		if c.closeIdle() {
			_ = c.nc.Close() // at once: its goroutine may notice only after further connections were accepted
			delete(s.conns, c)
			return true
		}
	}
	return false
}

// Active returns the number of requests that were read and not answered yet.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns the number of open connections, also of those that wait for their callers to read the last response.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Arriving returns the number of requests that have begun to arrive and are not complete.
func (s *Server) Arriving() int {
	n := 0
	s.forEach(func(c *conn) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.reading {
			n++
		}
	})
	return n
}

// DisableKeepAlives ends each connection with the response to its last request that has begun to arrive, or to its next one if
// there is none. What callers send behind that is not read. New connections are still served.
func (s *Server) DisableKeepAlives() {
	s.closing.Store(true)
	s.forEach((*conn).endAfterPending)
}

// forEach calls the function for each connection.
func (s *Server) forEach(f func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		f(c)
	}
}

// RefuseArriving rejects the requests that have been arriving for CloseDelay and are not complete, with status 503. Those that began
// later may be complete in a moment.
func (s *Server) RefuseArriving() {
	s.forEach(func(c *conn) { c.refuseArriving(CloseDelay) })
}

// GiveUp cancels the context of all requests with the cause. Their responses are still written. Requests that have begun to arrive
// and are not complete are rejected with status 503.
func (s *Server) GiveUp(cause error) {
	s.forEach(func(c *conn) {
		c.giveUp(cause)
		c.refuseArriving(0)
	})
}

// CloseIdle disables keep-alives and, after CloseDelay, stops accepting and closes the connections without pending requests.
// It returns at once. A listener without SetDeadline is closed without delay.
func (s *Server) CloseIdle() {
	s.DisableKeepAlives()
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.Now().Add(CloseDelay)
	s.closeTime.Store(&end)
	for _, l := range s.listeners {
		if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(end) != nil {
			_ = l.Close()
		}
	}
	for c := range s.conns {
		c.closeAt(end)
	}
}

// Close closes the listeners and all connections, cancels the pending requests and waits until they have returned.
func (s *Server) Close() {
	s.DisableKeepAlives()
	s.mu.Lock()
	s.closed = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		c.abort(errServerClosed)
	}
	s.mu.Unlock()
	s.running.Wait()
}

var (
	errServerClosed = errors.New("server closed") // of the server, or of one connection by the server
	errCallerLeft   = errors.New("caller closed the connection")
)

// RejectError is the error of a request that is rejected with a status.
type RejectError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RejectError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }
