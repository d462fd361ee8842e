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

// longHandler responds with as many bytes as the path states, which it counts, and records the responses that were cut off.
type longHandler struct {
	handler
	budget *memory.Budget

	mu  sync.Mutex
	cut []string
}

func (h *longHandler) Serve(ctx context.Context, r *Request) *Response {
	var n int64
	_, _ = fmt.Sscanf(r.URL.Path, "/%d", &n)
	res := h.budget.NewReservation(memory.Responses)
	if res.Acquire(ctx, n) != nil {
		return h.Reject(http.StatusServiceUnavailable, "no memory")
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, n), Memory: res, ID: r.URL.Path}
}

func (h *longHandler) ResponseCut(a *Response, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = append(h.cut, a.ID+" "+reason)
}

func newLongServer(t *testing.T, maxConns int, budget int64) (*longHandler, *Server, func() (net.Conn, *bufio.Reader)) {
	h := &longHandler{budget: memory.NewBudget(budget)}
	s := NewServer(h, Config{MaxConnections: maxConns, Budget: h.budget})
	h.budget.MakeRoom = s.CloseSlowest
	t.Cleanup(func() {
		s.Close()
		require.Zero(t, h.budget.Used())
	})
	return h, s, func() (net.Conn, *bufio.Reader) {
		caller, served := net.Pipe()
		s.start(served)
		t.Cleanup(func() { _ = caller.Close() })
		return caller, bufio.NewReader(caller)
	}
}

// Guards against unread responses that hold the memory for ever: the connection that has held most for longest is closed, others are
// not, and the cut is reported with the ID of the request.
func TestSlowReaderThatHoldsMostMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, s, open := newLongServer(t, 10, 1<<20)
		most, _ := open()
		write(t, most, get("/600000"))
		little, fromLittle := open()
		write(t, little, get("/100000"))
		time.Sleep(5 * time.Second)
		require.Empty(t, h.cut, "there is room")
		ordinary, fromOrdinary := open()
		write(t, ordinary, get("/500000"))
		status, body, _ := read(t, fromOrdinary)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, body, 500000)
		synctest.Wait()
		require.Equal(t, []string{"/600000 memory"}, h.cut)
		require.Equal(t, int64(1), s.Closed()["memory"])
		status, body, _ = read(t, fromLittle)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, body, 100000)
	})
}

// Guards against a caller with a slow line that is cut off although there is room, and against one that takes nothing and is not.
func TestSlowCallerIsServedWhileThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, open := newLongServer(t, 10, 4<<20)
		caller, _ := open()
		write(t, caller, get("/300000"))
		total, buffer := 0, make([]byte, 4<<10)
		for total < 300000 {
			time.Sleep(4 * time.Second) // 1 KiB/s
			n, err := caller.Read(buffer)
			require.NoError(t, err)
			total += n
		}
		stopped, _ := open()
		write(t, stopped, get("/300001"))
		time.Sleep(2 * DefaultStallTime)
		synctest.Wait()
		require.Equal(t, []string{"/300001 stalled"}, h.cut)
	})
}

// Guards against slow senders and readers that take all connections, so that new callers are refused.
func TestSlowConnectionMakesRoomForANewOne(t *testing.T) {
	for name, text := range map[string]string{
		"header": "GET /1 HTTP/1.1\r\nHost: x\r\n",
		"body":   "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nabc",
		"reader": get("/100000"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, s, open := newLongServer(t, 5, 4<<20)
				for range 5 {
					c, _ := open()
					write(t, c, text)
				}
				time.Sleep(2 * time.Second)
				c, br := open()
				write(t, c, get("/10"))
				status, _, _ := read(t, br)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, int64(1), s.Closed()["connections"])
			})
		})
	}
}

// Guards against headers of many short lines, which take many times their size once they are parsed.
func TestHeadersAreCountedBeforeTheyAreParsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, open := newLongServer(t, 100, 20*connectionBytes)
		var lines strings.Builder
		for i := 0; lines.Len() < 900; i++ { // the limit on headers is 1 KiB here
			fmt.Fprintf(&lines, "%x:\r\n", i)
		}
		for range 50 {
			c, _ := open()
			go func() { _, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: x\r\n"+lines.String()) }()
			synctest.Wait()
			require.LessOrEqual(t, h.budget.Used(), h.budget.Limit()+connectionBytes)
		}
	})
}
