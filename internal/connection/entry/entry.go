// Package entry serves HTTP/1.1 connections of callers. It reads pipelined requests while earlier ones run, answers them in
// order, and notices a caller that leaves while its requests run; the server of the standard library does the first and the
// last only for the request at the front.
//
// A Server is safe for concurrent use. Each connection has one reading goroutine and one goroutine per request.
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

// Request is one request with its whole body.
type Request struct {
	*http.Request
	Payload []byte
	Arrived time.Time // when its first byte was read

	memory *memory.Reservation // counts the payload
}

// Response is the final response of a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Memory *memory.Reservation // released once the answer was written or dropped; may be nil
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without requests
}

// Handler answers requests.
type Handler interface {
	// Serve answers a request. Its context ends when the caller has left.
	Serve(ctx context.Context, r *Request) *Response
	// Reject makes the answer of a request that is not taken: a status from 400 to 499, or 503 for lack of memory.
	Reject(status int, detail string) *Response
	// Limits returns the limits in force.
	Limits() Limits
}

const (
	// maxPipelined bounds the requests of one connection that run at once. Further ones wait unread.
	maxPipelined = 64
	// bodyTimeout bounds the reading of a body; callers may send slowly, and a partial body holds memory.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the writing of one answer to a caller that reads slowly.
	writeTimeout = 20 * time.Second
	// acceptPause is the pause after a failed accept, which is mostly a lack of descriptors.
	acceptPause = 5 * time.Millisecond
	// CloseDelay is the time for which a server that stops still takes what has arrived: connections that the system has accepted
	// for it, and requests on connections that were idle. A close would reset them unread.
	CloseDelay = 50 * time.Millisecond
)

// Server serves the connections of one or more listeners.
type Server struct {
	handler  Handler
	maxConns int
	bodies   *memory.Budget // of requests that run

	active    atomic.Int64 // requests that were read and not answered
	closing   atomic.Bool
	closeTime atomic.Pointer[time.Time] // until then connections are taken; nil: no end is set

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	running   sync.WaitGroup
}

// NewServer returns a server that keeps at most maxConns connections, and at most maxHeld bytes of bodies at a time.
func NewServer(h Handler, maxConns int, maxBodyMemory int64) *Server {
	return &Server{handler: h, maxConns: maxConns, bodies: memory.NewBudget(maxBodyMemory), conns: map[*conn]struct{}{}}
}

// Serve accepts connections until the listener is closed.
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

// start serves a new connection. Above the limit an idle connection makes room for it.
func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	full := len(s.conns) >= s.maxConns
	if full {
		full = !s.evictLocked()
	}
	if !full {
		s.conns[c] = struct{}{}
		s.running.Add(1)
	}
	s.mu.Unlock()
	if full {
		_ = nc.Close() // nothing was read, so the caller can come back at once
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

// evictLocked closes an idle connection and reports whether there was one.
func (s *Server) evictLocked() bool {
	for c := range s.conns {
		if c.closeIdle() {
			delete(s.conns, c)
			return true
		}
	}
	return false
}

// Active returns the number of requests that were read and not answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// DisableKeepAlives makes every answer announce the end of its connection. New connections are still served.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// CloseIdle stops accepting and closes every connection without a request, both after CloseDelay.
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

// Close ends all connections and waits for their goroutines.
func (s *Server) Close() {
	s.DisableKeepAlives()
	s.mu.Lock()
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
	errServerClosed = errors.New("server closed")
	errCallerLeft   = errors.New("caller closed the connection")
)

// RejectError is a request that cannot be served as it was sent.
type RejectError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RejectError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }
