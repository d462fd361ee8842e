package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
)

// Guards against a stop in a short grace period whose steps come after its end, so that all requests in flight are cut off.
func TestStopFitsIntoTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 6 * time.Second, time.Minute} {
		s := newStopSchedule(grace)
		if grace == 0 {
			grace = defaultGrace
		}
		require.Less(t, s.handover, s.closing)
		require.Less(t, s.closing, s.arrival)
		require.LessOrEqual(t, s.arrival, grace/2, "a target may need the other half")
		require.Less(t, s.arrival, s.end)
		require.Less(t, s.end, grace)
	}
}

// Guards against a stopping node that gives up its target's slots long before other nodes are told to leave them out.
func TestStoppingNodeUsesItsTargetUntilTheHandover(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startReady(t, "a1", "a2")
		a1, a2 := c.nodes["a1"], c.nodes["a2"]
		time.Sleep(100 * time.Millisecond)
		go a1.drain()
		for at := time.Duration(0); at < handoverPeriod-2*drainPollInterval; at += drainPollInterval {
			require.NotEmpty(t, a1.attached(), "%v after the start of the stop", at)
			require.Len(t, a2.directory.Targets()["menu"], 2)
			time.Sleep(drainPollInterval)
		}
		time.Sleep(4 * drainPollInterval)
		require.Empty(t, a1.attached())
		require.Len(t, a2.directory.Targets()["menu"], 1)
		time.Sleep(defaultGrace)
	})
}

// runHandler runs each request for a time and records which were begun.
type runHandler struct {
	work time.Duration

	mu    sync.Mutex
	begun map[string]bool
}

func (h *runHandler) Serve(ctx context.Context, r *entry.Request) *entry.Response {
	h.mu.Lock()
	h.begun[r.URL.Path] = true
	h.mu.Unlock()
	select {
	case <-time.After(h.work):
		return &entry.Response{Status: http.StatusOK, Header: http.Header{}}
	case <-ctx.Done():
		return &entry.Response{Status: http.StatusBadGateway, Header: http.Header{}}
	}
}

func (h *runHandler) Reject(status int, detail string) *entry.Response {
	return &entry.Response{Status: status, Header: http.Header{}, Body: []byte(detail)}
}

func (h *runHandler) Limits() entry.Limits {
	return entry.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// callers is a listener whose callers connect in memory.
type callers struct {
	net.Listener
	waiting chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *callers) Accept() (net.Conn, error) {
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *callers) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *callers) connect() (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case l.waiting <- theirs:
		return ours, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// order sends an order whose body takes a time to arrive, and returns the status of the response, or zero if there is none.
func (l *callers) order(path string, arrival time.Duration) int {
	c, err := l.connect()
	if err != nil {
		return 0
	}
	defer c.Close()
	go func() {
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nha", path); err == nil {
			time.Sleep(arrival)
			_, _ = io.WriteString(c, "lf") // fails if the order is refused meanwhile
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against orders that arrive late in a stop, are passed on and then cut off without an answer when the grace period is over.
func TestOrdersThatArriveLateInAStopAreAnswered(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startReady(t, "a1")
		h := &runHandler{work: 2 * time.Second, begun: map[string]bool{}}
		s := c.nodes["a1"]
		s.entry = entry.NewServer(h, 1000, 1<<20)
		l := &callers{waiting: make(chan net.Conn), done: make(chan struct{})}
		go func() { _ = s.entry.Serve(l) }()
		statuses := map[string]int{}
		var mu sync.Mutex
		var all sync.WaitGroup
		stopped := make(chan struct{})
		go func() {
			time.Sleep(time.Second)
			s.drain()
			s.entry.Close()
			close(stopped)
		}()
		for n := 0; ; n++ {
			select {
			case <-stopped:
				all.Wait()
				for path := range h.begun {
					require.Equal(t, http.StatusOK, statuses[path], "order %s was passed on", path)
				}
				refused := 0
				for path, status := range statuses {
					if status == http.StatusServiceUnavailable {
						refused++
						require.False(t, h.begun[path])
					}
				}
				require.NotZero(t, refused)
				require.Greater(t, len(h.begun), 100)
				return
			case <-time.After(10 * time.Millisecond):
			}
			all.Go(func() {
				path := fmt.Sprintf("/%d", n)
				status := l.order(path, time.Duration(n%40)*100*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				statuses[path] = status
			})
		}
	})
}
