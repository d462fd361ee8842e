package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// slowHandler answers after a time and counts what it has run, and what was cancelled.
func slowHandler(took time.Duration, ran, cancelled *atomic.Int64) *testHandler {
	h := &testHandler{}
	h.fn = func(ctx context.Context, req *message.Request) *message.Response {
		ran.Add(1)
		select {
		case <-time.After(took):
			return echo(ctx, req)
		case <-ctx.Done():
			cancelled.Add(1)
			return message.UnknownOutcome(message.ReasonCancelled, nil)
		}
	}
	return h
}

// Guards against orders that are given up, or run again, because a node was only silent for a while (a freeze, a cut, a
// connection that something between lost track of): the order runs on, and its response arrives over the next link.
func TestNonIdempotentRequestSurvivesItsLink(t *testing.T) {
	for name, lose := range map[string]func(*pipe){
		"silent": func(p *pipe) { p.silent.Store(true) },
		"reset":  func(p *pipe) { p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran, cancelled atomic.Int64
				pr := newPair(slowHandler(2*time.Second, &ran, &cancelled))
				defer pr.close()
				for _, after := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond} { // twice
					time.AfterFunc(after, func() { lose(pr.current()) })
				}
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				r := pr.dialer.Send(ctx, "b", newRequest([]byte("order"), 5*time.Second))
				require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
				require.Equal(t, "order", string(r.Body))
				require.Less(t, time.Since(start), 4*time.Second)
				require.Equal(t, int64(1), ran.Load())
				require.Zero(t, cancelled.Load())
			})
		})
	}
}

// Guards against a frozen node whose orders are given up meanwhile: it reads nothing for three seconds and is answered when it
// wakes.
func TestNonIdempotentRequestSurvivesFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, cancelled atomic.Int64
		pr := newPair(slowHandler(500*time.Millisecond, &ran, &cancelled))
		defer pr.close()
		time.AfterFunc(100*time.Millisecond, func() {
			pr.current().silent.Store(true)
			pr.mu.Lock()
			defer pr.mu.Unlock()
			pr.blocked = make(chan struct{}) // no new connection opens
			time.AfterFunc(3*time.Second, func() { close(pr.blocked) })
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r := pr.dialer.Send(ctx, "b", newRequest([]byte("order"), 5*time.Second))
		require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		require.Equal(t, int64(1), ran.Load())
	})
}

// Guards against an order that is told not to have run, or runs again, after its answer was lost on the way.
func TestLostResponseIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, cancelled atomic.Int64
		pr := newPair(slowHandler(50*time.Millisecond, &ran, &cancelled))
		defer pr.close()
		time.AfterFunc(40*time.Millisecond, func() { pr.current().silent.Store(true) }) // the response is written into the void
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r := pr.dialer.Send(ctx, "b", newRequest([]byte("order"), 5*time.Second))
		require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		require.Equal(t, int64(1), ran.Load())
	})
}

// Guards against an order that is in doubt although it was lost before it arrived, and against one that arrives after its
// caller was told that it did not.
func TestRequestThatNeverArrivedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, cancelled atomic.Int64
		pr := newPair(slowHandler(50*time.Millisecond, &ran, &cancelled))
		defer pr.close()
		require.Equal(t, message.Answered, pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Second)).Outcome)
		pr.current().silent.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r := pr.dialer.Send(ctx, "b", newRequest([]byte("order"), 5*time.Second))
		require.Equal(t, message.NotRun, r.Outcome, "%v", r.Err)
		time.Sleep(10 * time.Second)
		require.Equal(t, int64(1), ran.Load(), "only the first request")
	})
}

// Guards against an order that waits for a process that is gone, or is said not to have run by the process after it.
func TestRequestOfRestartedNodeHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, cancelled atomic.Int64
		h := slowHandler(2*time.Second, &ran, &cancelled)
		pr := newPair(h)
		defer pr.close()
		time.AfterFunc(100*time.Millisecond, func() { pr.restart(h) })
		start := time.Now()
		r := pr.dialer.Send(t.Context(), "b", newRequest([]byte("order"), 5*time.Second))
		require.Equal(t, message.Unknown, r.Outcome)
		require.Less(t, time.Since(start), time.Second, "nothing is gained by waiting")
	})
}

// Guards against orders that run twice, are answered with another's response, or are falsely told not to have run, while links
// are cut and go silent at random; and against a node that gives up where the peer lives: nearly all are answered.
func TestRandomFaultsLoseNoNonIdempotentRequests(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaultsNonIdempotent(t, rand.New(rand.NewPCG(seed, 2))) })
		})
	}
}

func randomFaultsNonIdempotent(t *testing.T, rng *rand.Rand) {
	var runs sync.Map
	h := &testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
		_, again := runs.LoadOrStore(req.ID, true)
		require.False(t, again, "an order ran twice")
		select {
		case <-time.After(time.Duration(req.Body[0]) * time.Millisecond):
			return echo(ctx, req)
		case <-ctx.Done():
			return message.UnknownOutcome(message.ReasonCancelled, nil)
		}
	}}
	pr := newPair(h)
	defer pr.close()
	const requests = 200
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range requests {
		body := []byte{byte(rng.IntN(250)), byte(rng.IntN(250))}
		start := time.Duration(rng.IntN(5000)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(start)
			ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
			defer cancel()
			req := newRequest(body, 6*time.Second)
			r := pr.dialer.Send(ctx, "b", req)
			switch r.Outcome {
			case message.Answered:
				require.Equal(t, body, r.Body)
				answered.Add(1)
			case message.NotRun:
				time.Sleep(10 * time.Second) // a late copy would have run by now
				_, ran := runs.Load(req.ID)
				require.False(t, ran, "%v", r.Err)
				answered.Add(1) // the caller can come back
			default:
				require.False(t, errors.Is(r.Err, context.Canceled))
			}
		})
	}
	for range 10 {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		if conn := pr.current(); conn != nil {
			if rng.IntN(2) == 0 {
				conn.silent.Store(true)
			} else {
				conn.Close()
			}
		}
	}
	wg.Wait()
	require.GreaterOrEqual(t, answered.Load(), int64(requests*99/100))
}

// faultyConn is the dialer's end of a connection whose faults the other end does not see.
type faultyConn struct {
	*pipe
	mu         sync.Mutex
	delayed    [][]byte // written and under way; nil unless delay was called
	delaying   bool
	writesLeft int // after which further ones block until the end; zero: none do
	ended      chan struct{}
	once       sync.Once
}

func (c *faultyConn) Read(ctx context.Context) ([]byte, error) {
	select {
	case <-c.ended:
		return nil, errors.New("closed")
	case b := <-c.in:
		return b, nil
	case <-c.done:
		return nil, errors.New("connection reset")
	}
}

func (c *faultyConn) Write(ctx context.Context, b []byte) error {
	c.mu.Lock()
	delaying, stalled := c.delaying, c.writesLeft == 1
	if delaying {
		c.delayed = append(c.delayed, b)
	}
	if c.writesLeft > 1 {
		c.writesLeft--
	}
	c.mu.Unlock()
	switch {
	case delaying:
		return nil
	case stalled:
		<-c.ended
		return errors.New("closed")
	}
	return c.pipe.Write(ctx, b)
}

// Close is not seen by the other end.
func (c *faultyConn) Close() { c.once.Do(func() { close(c.ended) }) }

// delay keeps what is written from now on under way.
func (c *faultyConn) delay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delaying = true
}

// deliver lets what is under way arrive, unless the other end has closed the connection.
func (c *faultyConn) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.delayed {
		select {
		case <-c.done:
			return
		default:
			c.out <- b
		}
	}
}

// newFaultyPair returns a pair whose connections have faults of their own, and the function that returns the n-th of them.
func newFaultyPair(h Handler, prepare func(n int, c *faultyConn)) (*pair, func(n int) *faultyConn) {
	pr := newPair(h)
	pr.dialer.Close()
	var mu sync.Mutex
	var conns []*faultyConn
	pr.dialer = NewPool(Config{Self: Peer{Address: "a", Incarnation: 9}}, func(context.Context, string) (Conn, error) {
		a, b := newPipe()
		c := &faultyConn{pipe: a, ended: make(chan struct{})}
		mu.Lock()
		defer mu.Unlock()
		prepare(len(conns), c)
		conns = append(conns, c)
		go func() { _ = pr.acceptor.Accept(context.Background(), b) }()
		return c, nil
	}, h, pr.log)
	return pr, func(n int) *faultyConn {
		mu.Lock()
		defer mu.Unlock()
		return conns[n]
	}
}

// Guards against an order that runs after its caller was told that it never arrived: it was only under way, on a connection
// that its sender had given up.
func TestDelayedRequestNeverRunsAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, cancelled atomic.Int64
		pr, conn := newFaultyPair(slowHandler(50*time.Millisecond, &ran, &cancelled), func(int, *faultyConn) {})
		defer pr.close()
		require.Equal(t, message.Answered, pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Second)).Outcome)
		conn(0).delay()
		r := pr.dialer.Send(t.Context(), "b", newRequest([]byte("order"), 5*time.Second))
		require.Equal(t, message.NotRun, r.Outcome, "%v", r.Err)
		conn(0).deliver()
		time.Sleep(10 * time.Second)
		require.Equal(t, int64(1), ran.Load(), "only the first request")
	})
}

// Guards against an order that ran and is told not to have run, because the question after it was never written.
func TestUnwrittenAttachProvesNothing(t *testing.T) {
	for name, left := range map[string]time.Duration{
		"until its caller gives up": 1900 * time.Millisecond, "until its link ends": 4 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { blockedAttach(t, left) })
		})
	}
}

func blockedAttach(t *testing.T, timeout time.Duration) {
	var ran, cancelled atomic.Int64
	pr, conn := newFaultyPair(slowHandler(2*time.Second, &ran, &cancelled), func(n int, c *faultyConn) {
		if n > 0 {
			c.writesLeft = 2 // the handshake passes, the first question blocks, the others wait behind it
		}
	})
	defer pr.close()
	time.AfterFunc(100*time.Millisecond, func() { conn(0).delay(); conn(0).silent.Store(true) })
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			r := pr.dialer.Send(ctx, "b", newRequest([]byte("order"), timeout+time.Second))
			require.NotEqual(t, message.NotRun, r.Outcome, "%v", r.Err)
		})
	}
	wg.Wait()
	require.Equal(t, int64(5), ran.Load())
}

// Guards against requests that hold their bodies until the deadline after they have ended: a surge of orders would fill the
// memory.
func TestKeptRequestsHoldNoBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr := newPair(&testHandler{fn: func(context.Context, *message.Request) *message.Response {
			return &message.Response{Outcome: message.Answered, Status: 200}
		}})
		defer pr.close()
		for range 10 {
			pr.dialer.Send(t.Context(), "b", newRequest(make([]byte, 3*wire.MaxPart), 5*time.Second))
		}
		synctest.Wait()
		ss := pr.acceptor.sessions
		ss.mu.Lock()
		kept := 0
		for _, s := range ss.byProcess {
			for _, st := range s.kept {
				kept++
				require.Nil(t, st.req.Body)
				require.Nil(t, st.body)
			}
		}
		ss.mu.Unlock()
		require.Equal(t, 10, kept)
		time.Sleep(6 * time.Second)
		ss.mu.Lock()
		defer ss.mu.Unlock()
		for _, s := range ss.byProcess {
			require.Empty(t, s.kept, "their deadline has passed")
		}
	})
}
