package entry

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request on a connection that was accepted while the server closes, which then runs although Close has returned.
func TestRequestOnAConnectionAcceptedDuringCloseIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &handler{}
		s := newTestServer(h, 10)
		s.Close()
		caller, served := net.Pipe()
		defer caller.Close()
		s.start(served)
		_, err := io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		require.ErrorIs(t, err, io.ErrClosedPipe)
		synctest.Wait()
		require.Empty(t, h.seen)
	})
}

// backlog is a listener with connections in its accept queue. Close closes those that were not accepted.
type backlog struct {
	waiting chan net.Conn

	mu       sync.Mutex
	deadline <-chan time.Time
	changed  chan struct{}
	closed   bool
}

func newBacklog() *backlog {
	return &backlog{waiting: make(chan net.Conn, 64), changed: make(chan struct{})}
}

func (b *backlog) Accept() (net.Conn, error) {
	for {
		b.mu.Lock()
		deadline, changed, closed := b.deadline, b.changed, b.closed
		b.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		select {
		case c := <-b.waiting:
			return c, nil
		case <-deadline:
			return nil, os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

func (b *backlog) change(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *backlog) SetDeadline(t time.Time) error {
	b.change(func() { b.deadline = time.After(time.Until(t)) })
	return nil
}

func (b *backlog) Close() error {
	b.change(func() { b.closed = true })
	for {
		select {
		case c := <-b.waiting:
			_ = c.Close()
		default:
			return nil
		}
	}
}

func (b *backlog) Addr() net.Addr { return nil }

// Guards against requests that are lost in a graceful stop under load: those on connections that are still in the accept queue,
// and those that are in transit on idle connections.
func TestStopAnswersWhatHasJustArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(&handler{}, 100)
		l := newBacklog()
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		var callers []net.Conn
		call := func() net.Conn {
			ours, theirs := net.Pipe()
			l.waiting <- theirs
			callers = append(callers, ours)
			return ours
		}
		idle := call()
		synctest.Wait()
		for range 20 {
			call()
		}
		s.CloseIdle()
		time.Sleep(10 * time.Millisecond) // requests arrive within CloseDelay
		var all sync.WaitGroup
		for _, c := range callers {
			all.Go(func() {
				_, err := c.Write([]byte(get("/500ms/x")))
				require.NoError(t, err)
				_, body, last := read(t, bufio.NewReader(c))
				require.Equal(t, "/500ms/x ", body)
				require.True(t, last)
			})
		}
		all.Wait()
		require.NoError(t, <-served)
		_ = idle.Close()
		s.Close()
	})
}
