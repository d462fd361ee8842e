package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// stream is one end of a connection in memory. Like those of TCP, its two directions end separately, and a write after the other end
// was closed fails only once the reset that answers it has arrived.
type stream struct {
	net.Conn          // incoming bytes
	out      net.Conn // outgoing bytes
	peer     *stream

	mu     sync.Mutex
	closed bool
	reset  bool // it was closed with a reset
	warned bool // a write has been answered with a reset
}

func newStreams() (caller, served *stream) {
	up, upServed := net.Pipe()
	down, downServed := net.Pipe()
	caller, served = &stream{Conn: down, out: up}, &stream{Conn: upServed, out: downServed}
	caller.peer, served.peer = served, caller
	return caller, served
}

func (s *stream) state() (closed, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed, s.reset
}

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if _, reset := s.peer.state(); reset && errors.Is(err, io.EOF) {
		return n, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	}
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	n, err := s.out.Write(p)
	if closed, reset := s.peer.state(); !closed || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	} else if s.warned || reset {
		return n, &net.OpError{Op: "write", Err: syscall.EPIPE}
	}
	s.warned = true
	return len(p), nil
}

func (s *stream) SetWriteDeadline(t time.Time) error { return s.out.SetWriteDeadline(t) }

func (s *stream) CloseWrite() error { return s.out.Close() }

func (s *stream) Close() error { return s.close(false) }

func (s *stream) close(reset bool) error {
	s.mu.Lock()
	s.closed, s.reset = true, reset
	s.mu.Unlock()
	_ = s.out.Close()
	return s.Conn.Close()
}

func connectStreams(t *testing.T) (*stream, *bufio.Reader, *handler, *Server) {
	t.Helper()
	h := &handler{}
	s := newTestServer(h, 10)
	caller, served := newStreams()
	s.start(served)
	t.Cleanup(func() {
		_ = caller.Close()
		s.Close()
	})
	return caller, bufio.NewReader(caller), h, s
}

// lastBytes are what callers have sent last when they leave.
var lastBytes = map[string]string{
	"nothing":                 "",
	"method":                  "GE",
	"first line":              "GET /c HTTP",
	"version":                 "GET /c HTTP/1.1",
	"field name":              "GET /c HTTP/1.1\r\nHos",
	"field value":             "GET /c HTTP/1.1\r\nHost: x",
	"end of header":           "GET /c HTTP/1.1\r\nHost: x\r\n\r",
	"body not begun":          "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n",
	"half body":               "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
	"expected body":           "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n",
	"half of expected body":   "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\nhalf",
	"chunk size":              chunked + "1",
	"half chunk":              chunked + "9\r\nhalf",
	"end of chunk":            chunked + "4\r\nhalf\r",
	"trailer":                 chunked + "4\r\nhalf\r\n0\r\nX-Che",
	"malformed first line":    "what is this\r\n\r\n",
	"malformed field":         "GET /c HTTP/1.1\r\nHost x\r\n\r\n",
	"malformed chunk":         chunked + "zz\r\n",
	"header too large":        "GET /c HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
	"cut header too large":    "GET /c HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 8<<10),
	"body too large":          "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\nhalf",
	"chunks too large":        chunked + "600\r\n" + strings.Repeat("x", 0x600) + "\r\n",
	"last request":            "GET /5s/c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
	"bytes behind last":       "GET /5s/c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\nGET /d HT",
	"request behind expected": "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n123456789" + get("/5s/d"),
}

const chunked = "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against requests that run to their end for a caller that has left, because the server does not read the connection while it
// waits for them, or takes what the caller had not sent completely for malformed.
func TestRequestsOfACallerThatLeavesInsideARequestAreCancelled(t *testing.T) {
	for name, last := range lastBytes {
		for how, reset := range map[string]bool{"closed": false, "reset": true} {
			for _, wait := range []time.Duration{0, 3500 * time.Millisecond} { // longer than the time-out of headers
				t.Run(fmt.Sprintf("%s, %s after %v", name, how, wait), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c, _, h, _ := connectStreams(t)
						go func() { _, _ = io.WriteString(c, get("/5s/a")+get("/5s/b")+last) }()
						synctest.Wait()
						time.Sleep(wait)
						require.Empty(t, h.cancelled)
						_ = c.close(reset)
						time.Sleep(100 * time.Millisecond)
						synctest.Wait()
						require.Subset(t, h.cancelled, []string{"/5s/a", "/5s/b"})
						require.Len(t, h.cancelled, strings.Count(strings.Join(h.seen, ""), "/5s"), "all that were passed on")
					})
				})
			}
		}
	}
}

// Guards against a caller that has ended its sending, but still waits, and is taken for one that has left.
func TestCallerThatOnlyEndsItsSendingIsAnswered(t *testing.T) {
	for name, last := range lastBytes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, br, h, _ := connectStreams(t)
				go func() { _, _ = io.WriteString(c, get("/5s/a")+get("/7s/b")+last); _ = c.CloseWrite() }()
				for _, want := range []string{"/5s/a ", "/7s/b "} {
					status, body, _ := read(t, br)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, want, body)
				}
				for _, err := br.Peek(1); err == nil; _, err = br.Peek(1) {
					status, _, _ := read(t, br)
					require.Contains(t, []int{http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge,
						http.StatusRequestHeaderFieldsTooLarge}, status)
				}
				synctest.Wait()
				require.Empty(t, h.cancelled)
			})
		})
	}
}

// Guards against a caller that ends its sending, waits, and leaves without being noticed before its requests have run.
func TestCallerThatLeavesAfterItHasEndedItsSendingIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, h, _ := connectStreams(t)
		go func() { _, _ = io.Copy(io.Discard, br) }()
		write(t, c, get("/20s/a"))
		require.NoError(t, c.CloseWrite())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, h.cancelled)
		require.NoError(t, c.Close())
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{"/20s/a"}, h.cancelled)
	})
}

// Guards against rules for half-closed connections that hold for the streams of these tests, but not for those of the kernel.
func TestEndsOfConnectionsOverTCP(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
		"half-closed": (*net.TCPConn).CloseWrite,
	} {
		t.Run(name, func(t *testing.T) {
			h := &handler{}
			s := newTestServer(h, 10)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = s.Serve(l) }()
			nc, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer nc.Close()
			c := nc.(*net.TCPConn)
			write(t, c, get("/2s/a")+get("/2s/b")+"GET /c HT")
			require.Eventually(t, func() bool { return s.Active() == 2 }, time.Second, time.Millisecond)
			require.NoError(t, leave(c))
			if name == "half-closed" {
				br := bufio.NewReader(c)
				for _, want := range []string{"/2s/a ", "/2s/b "} {
					_, body, _ := read(t, br)
					require.Equal(t, want, body)
				}
			} else {
				require.Eventually(t, func() bool { return s.Active() == 0 }, time.Second, time.Millisecond)
			}
			s.Close()
		})
	}
}

// Guards against a caller that leaves unnoticed while the server reads no further request, because as many are in progress as a connection
// may have, or while memory is short: the end of its stream is behind bytes that were not read.
func TestCallerThatLeavesBehindUnreadRequestsIsNoticed(t *testing.T) {
	long := "/1ms/" + strings.Repeat("b", 500)
	for name, c := range map[string]struct {
		requests int
		budget   int64
	}{
		"many requests": {maxPipelined, 4 << 20},
		"shortage":      {1, connectionBytes * 5 / 4},
	} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, half-closed %v", name, half), func(t *testing.T) {
				s := NewServer(&handler{}, Config{MaxConnections: 10, Budget: memory.NewBudget(c.budget)})
				defer s.Close()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				go func() { _ = s.Serve(l) }()
				nc, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer nc.Close()
				write(t, nc, strings.Repeat(get("/2s/a"), c.requests))
				require.Eventually(t, func() bool { return s.Active() == c.requests }, time.Second, time.Millisecond)
				write(t, nc, strings.Repeat(get(long), 20)) // more than the read buffer holds
				if !half {
					require.NoError(t, nc.Close())
					require.Eventually(t, func() bool { return s.Active() == 0 }, time.Second, time.Millisecond)
					return
				}
				require.NoError(t, nc.(*net.TCPConn).CloseWrite())
				br := bufio.NewReader(nc)
				for range c.requests {
					_, body, _ := read(t, br)
					require.Equal(t, "/2s/a ", body)
				}
				for range 20 {
					_, body, _ := read(t, br)
					require.Equal(t, long+" ", body)
				}
			})
		}
	}
}
