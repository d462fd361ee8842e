package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// handler responds with the path and body of the request. If the path starts with a duration, as in /500ms/x, it waits for that
// time first.
type handler struct {
	mu        sync.Mutex
	seen      []string
	cancelled []string
}

func (h *handler) Serve(ctx context.Context, r *Request) *Response {
	h.mu.Lock()
	h.seen = append(h.seen, r.URL.Path)
	h.mu.Unlock()
	if d, err := time.ParseDuration(strings.Split(r.URL.Path, "/")[1]); err == nil {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			h.mu.Lock()
			h.cancelled = append(h.cancelled, r.URL.Path)
			h.mu.Unlock()
		}
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: append([]byte(r.URL.Path+" "), r.Payload...)}
}

func (h *handler) Reject(status int, detail string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(detail)}
}

func (h *handler) Limits() Limits {
	return Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

func newTestServer(h Handler, maxConns int) *Server {
	return NewServer(h, Config{MaxConnections: maxConns, Budget: memory.NewBudget(4 << 20)})
}

// connect starts a server and returns the caller's end of a connection to it.
func connect(t *testing.T) (net.Conn, *bufio.Reader, *handler, *Server) {
	t.Helper()
	h := &handler{}
	s := newTestServer(h, 10)
	caller, served := net.Pipe()
	s.start(served)
	t.Cleanup(func() {
		_ = caller.Close()
		s.Close()
	})
	return caller, bufio.NewReader(caller), h, s
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func read(t *testing.T, br *bufio.Reader) (int, string, bool) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body), resp.Close
}

// Guards against a slow request that delays the start of pipelined requests behind it, and against responses in the order of
// completion.
func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, _, _ := connect(t)
		start := time.Now()
		write(t, c, get("/500ms/a")+get("/1ms/b")+get("/400ms/c"))
		for _, want := range []string{"/500ms/a ", "/1ms/b ", "/400ms/c "} {
			_, body, _ := read(t, br)
			require.Equal(t, want, body)
		}
		require.Equal(t, 500*time.Millisecond, time.Since(start))
	})
}

// Guards against requests that keep running after their caller has disconnected, also when several are pipelined.
func TestRequestsOfACallerThatLeftAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, h, _ := connect(t)
		write(t, c, get("/5s/a")+get("/5s/b"))
		synctest.Wait()
		require.NoError(t, c.Close())
		synctest.Wait()
		require.ElementsMatch(t, []string{"/5s/a", "/5s/b"}, h.cancelled)
	})
}

// Guards against keep-alive connections that are closed while in use, and against idle ones that are never closed.
func TestIdleConnectionIsClosedAfterIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, _, _ := connect(t)
		write(t, c, get("/a"))
		read(t, br)
		time.Sleep(12 * time.Second) // four fifths of the idle timeout
		write(t, c, get("/20s/b"))
		_, body, _ := read(t, br) // the idle timeout does not run while a request does
		require.Equal(t, "/20s/b ", body)
		start := time.Now()
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 15*time.Second, time.Since(start))
	})
}

// Guards against requests that are interrupted by a graceful stop. Every request that was read is answered, and the last response
// announces the end of the connection.
func TestCloseIdleAnswersRequestsAlreadyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, h, s := connect(t)
		write(t, c, get("/500ms/a")+get("/600ms/b"))
		synctest.Wait()
		s.CloseIdle()
		_, body, last := read(t, br)
		require.Equal(t, "/500ms/a ", body)
		require.False(t, last, "another request is running")
		_, body, last = read(t, br)
		require.Equal(t, "/600ms/b ", body)
		require.True(t, last)
		_, _ = io.WriteString(c, get("/c"))
		_, err := br.ReadByte()
		require.Error(t, err)
		require.ElementsMatch(t, []string{"/500ms/a", "/600ms/b"}, h.seen)
	})
}

// Guards against body bytes that are parsed as the next request.
func TestBodiesWithLengthAndChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, _, _ := connect(t)
		write(t, c, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"+
			"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+get("/c"))
		for _, want := range []string{"/a body", "/b abcde", "/c "} {
			_, body, _ := read(t, br)
			require.Equal(t, want, body)
		}
	})
}

// Guards against requests that exceed a limit and are served, or that occupy a connection forever.
func TestRequestsBeyondTheLimitsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"header too large":       {"GET /a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 2<<10) + "\r\n\r\n", 431},
		"header much too large":  {"GET /a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", 431},
		"body too large":         {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n", 413},
		"chunked body too large": {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n600\r\n" + strings.Repeat("x", 0x600) + "\r\n0\r\n\r\n", 413},
		"invalid request line":   {"what is this\r\n\r\n", 400},
		"header does not end":    {"GET /a HTTP/1.1\r\nHost: x\r\n", 408},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn, br, h, _ := connect(t)
				go func() { _, _ = io.WriteString(conn, c.request) }()
				status, _, last := read(t, br)
				require.Equal(t, c.status, status)
				require.True(t, last)
				require.Empty(t, h.seen)
			})
		})
	}
}

// Guards against concurrent bodies that together exceed the memory for bodies. A request whose body does not fit is rejected at
// once, and the memory is available again after the other requests are answered.
func TestBodiesAreBoundedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &handler{}
		s := NewServer(h, Config{MaxConnections: 10, Budget: memory.NewBudget(2*connectionBytes + 1500)})
		open := func() (net.Conn, *bufio.Reader) {
			caller, served := net.Pipe()
			s.start(served)
			return caller, bufio.NewReader(caller)
		}
		post := "POST /1s/a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000)
		one, fromOne := open()
		write(t, one, post)
		synctest.Wait()
		two, fromTwo := open()
		go func() { _, _ = io.WriteString(two, post) }()
		status, _, _ := read(t, fromTwo)
		require.Equal(t, 503, status)
		require.Len(t, h.seen, 1)
		status, _, _ = read(t, fromOne)
		require.Equal(t, 200, status)
		three, fromThree := open()
		write(t, three, post)
		status, _, _ = read(t, fromThree)
		require.Equal(t, 200, status)
		for _, c := range []net.Conn{one, two, three} {
			_ = c.Close()
		}
		s.Close()
	})
}

// Guards against new connections that are refused at the connection limit although some of the others are idle.
func TestIdleConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &handler{}
		s := newTestServer(h, 2)
		var callers []net.Conn
		for i := range 3 {
			caller, served := net.Pipe()
			callers = append(callers, caller)
			s.start(served)
			go func() { _, _ = io.WriteString(caller, get(fmt.Sprintf("/%d", i))) }()
			_, err := http.ReadResponse(bufio.NewReader(caller), nil)
			require.NoError(t, err, "caller %d", i)
			synctest.Wait()
		}
		require.Equal(t, 2, s.Connections())
		for _, c := range callers {
			_ = c.Close()
		}
		s.Close()
	})
}

// Guards against a 408 response after the last response of a connection. The last response sets a read deadline in the past, to
// interrupt the wait for the next request. If that happens before the wait begins, the expired deadline must not be taken for that
// of a header that did not arrive in time.
func TestNoResponseAfterConnectionEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, served := net.Pipe()
		c := newConn(newTestServer(&handler{}, 10), served)
		c.closed = true
		require.NoError(t, served.SetReadDeadline(time.Now()))
		go c.run()
		rest, err := io.ReadAll(caller)
		require.NoError(t, err)
		require.Empty(t, rest)
	})
}

// Guards against credentials in the text of a rejection, which is logged: the errors of the HTTP library quote what they cannot read.
func TestRejectionsDoNotQuoteTheRequest(t *testing.T) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: x\r\nAuthorization Bearer secret-key\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\x01\r\n\r\n",
		"Authorization: Bearer secret-key\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: secret-key\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nAuthorization Bearer secret-key\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			c, br, h, _ := connect(t)
			write(t, c, text)
			status, body, _ := read(t, br)
			require.Equal(t, http.StatusBadRequest, status, text)
			require.NotContains(t, body, "secret-key")
			require.Empty(t, h.seen)
		})
	}
}
