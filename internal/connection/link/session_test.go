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

// slowHandler responds after the given time and counts the requests that it ran and those that were cancelled.
func slowHandler(delay time.Duration, ran, cancelled *atomic.Int64) *testHandler {
	h := &testHandler{}
	h.fn = func(ctx context.Context, req *message.Request) *message.Response {
		ran.Add(1)
		select {
		case <-time.After(delay):
			return echo(ctx, req)
		case <-ctx.Done():
			cancelled.Add(1)
			return message.UnknownOutcome(message.ReasonCancelled, nil)
		}
	}
	return h
}

// Guards against requests that are not idempotent and are abandoned or run again because a node was silent for a while (it was
// frozen, the network was cut, or a device in between dropped the connection's state): the request goes on, and its response
// arrives over the next link.
func TestNonIdempotentRequestSurvivesItsLink(t *testing.T) {
	for name, fail := range map[string]func(*pipe){
		"silent": func(p *pipe) { p.silent.Store(true) },
		"reset":  func(p *pipe) { p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran, cancelled atomic.Int64
				pr := newPair(slowHandler(2*time.Second, &ran, &cancelled))
				defer pr.close()
				for _, after := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond} { // twice
					time.AfterFunc(after, func() { fail(pr.current()) })
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

// Guards against requests that are abandoned because a node is frozen: for three seconds no message arrives and no connection
// opens, then the response does arrive.
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

// Guards against a request that is reported as not run, or runs again, after its response was written and lost.
func TestLostResponseIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, cancelled atomic.Int64
		pr := newPair(slowHandler(50*time.Millisecond, &ran, &cancelled))
		defer pr.close()
		time.AfterFunc(40*time.Millisecond, func() { pr.current().silent.Store(true) }) // the response is written, then dropped
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r := pr.dialer.Send(ctx, "b", newRequest([]byte("order"), 5*time.Second))
		require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		require.Equal(t, int64(1), ran.Load())
	})
}

// Guards against an unknown outcome of a request that was lost before it arrived, and against a request that arrives after it
// was reported as not run.
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

// Guards against a request whose sender keeps waiting after the process that ran it has ended, or that the process started after
// it at the same address reports as not run.
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
		require.Less(t, time.Since(start), time.Second, "waiting cannot bring a response")
	})
}

// Guards against requests that run twice, get another's response or are falsely reported as not run while links are closed or go
// silent at random, and against unknown outcomes although the peer is alive: nearly all requests get a certain outcome.
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
		require.False(t, again, "a request ran twice")
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
				time.Sleep(10 * time.Second) // a delayed copy would have run by now
				_, ran := runs.Load(req.ID)
				require.False(t, ran, "%v", r.Err)
				answered.Add(1) // the caller can safely retry
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

// faultyConn is the dialer's end of a connection. The other end does not notice its faults or its closing.
type faultyConn struct {
	*pipe
	mu         sync.Mutex
	delayed    [][]byte // written but not yet delivered; nil unless delay was called
	delaying   bool
	writesLeft int // 1: each write blocks until Close; n > 1: n-1 writes pass before that; 0: none blocks
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

// Close closes this end only; the other end does not notice.
func (c *faultyConn) Close() { c.once.Do(func() { close(c.ended) }) }

// delay holds back all messages that are written from now on.
func (c *faultyConn) delay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delaying = true
}

// deliver delivers the delayed messages, unless the other end has closed the connection.
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

// newFaultyPair returns a pair whose connections are faultyConns, and a function that returns the n-th of them.
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

// Guards against a request that runs after it was reported as not run: it was only delayed, on a connection that its sender had
// closed as silent.
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

// Guards against a request that ran and is reported as not run because the Attach frame that asks for its response was never
// written.
func TestUnwrittenAttachProvesNothing(t *testing.T) {
	for name, timeout := range map[string]time.Duration{
		// What ends the wait of the blocked or queued Attach frames: the context of Send, or the link, which the heartbeat
		// closes because its write is blocked.
		"until its caller gives up": 1900 * time.Millisecond, "until its link ends": 4 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { blockedAttach(t, timeout) })
		})
	}
}

func blockedAttach(t *testing.T, timeout time.Duration) {
	var ran, cancelled atomic.Int64
	pr, conn := newFaultyPair(slowHandler(2*time.Second, &ran, &cancelled), func(n int, c *faultyConn) {
		if n > 0 {
			c.writesLeft = 2 // the handshake passes, the first Attach blocks, the others are queued behind it
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

// Guards against kept requests that hold their bodies until the deadline after they have ended: a surge of requests would fill
// the memory.
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
