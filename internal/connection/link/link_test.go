package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// pipe is one end of an in-memory connection that can be made to drop all messages.
type pipe struct {
	in, out chan []byte
	done    chan struct{}
	once    *sync.Once
	silent  *atomic.Bool // drops every message in both directions
}

func newPipe() (*pipe, *pipe) {
	a, b := make(chan []byte, 64), make(chan []byte, 64)
	done, once, silent := make(chan struct{}), new(sync.Once), new(atomic.Bool)
	return &pipe{a, b, done, once, silent}, &pipe{b, a, done, once, silent}
}

func (p *pipe) Read(ctx context.Context) ([]byte, error) {
	select {
	case b := <-p.in:
		return b, nil
	case <-p.done:
		return nil, errors.New("connection reset")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipe) Write(ctx context.Context, b []byte) error {
	if p.silent.Load() {
		return nil
	}
	select {
	case p.out <- b:
		return nil
	case <-p.done:
		return errors.New("connection reset")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pipe) Close() { p.once.Do(func() { close(p.done) }) }

// testHandler handles requests with a function and records their IDs.
type testHandler struct {
	fn   func(ctx context.Context, req *message.Request) *message.Response
	seen sync.Map
}

func (h *testHandler) HandleRequest(ctx context.Context, _ Peer, req *message.Request) *message.Response {
	h.seen.Store(req.ID, true)
	return h.fn(ctx, req)
}

func (h *testHandler) HandleControl(Peer, wire.Channel, []byte) {}

func echo(_ context.Context, req *message.Request) *message.Response {
	return &message.Response{Outcome: message.Answered, Status: 200, Body: req.Body, RetriesLeft: req.Retries}
}

// pair is a pool that dials and one that accepts, with the current connection between them.
type pair struct {
	dialer, acceptor *Pool
	mu               sync.Mutex
	conn             *pipe
	dials            int
	blocked          chan struct{} // no connection opens until it is closed; nil if connections open
	log              *slog.Logger
}

// restart replaces the accepting pool by one of another incarnation, as a restart of its process does.
func (pr *pair) restart(h Handler) {
	pr.mu.Lock()
	old := pr.acceptor
	pr.acceptor = NewPool(Config{Self: Peer{Address: "b", Incarnation: 2}}, nil, h, pr.log)
	pr.mu.Unlock()
	old.Close()
}

func newPair(h Handler) *pair {
	log := slog.New(slog.DiscardHandler)
	pr := &pair{log: log, acceptor: NewPool(Config{Self: Peer{Address: "b", Incarnation: 1}}, nil, h, log)}
	dial := func(context.Context, string) (Conn, error) {
		a, b := newPipe()
		pr.mu.Lock()
		defer pr.mu.Unlock()
		if pr.blocked != nil {
			select {
			case <-pr.blocked:
			default:
				return nil, errors.New("connection timed out")
			}
		}
		pr.conn = a
		pr.dials++
		acceptor := pr.acceptor
		go func() { _ = acceptor.Accept(context.Background(), b) }()
		return a, nil
	}
	pr.dialer = NewPool(Config{Self: Peer{Address: "a", Incarnation: 1}}, dial, h, log)
	return pr
}

func (pr *pair) close() {
	pr.dialer.Close()
	pr.acceptor.Close()
}

func (pr *pair) current() *pipe {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.conn
}

func newRequest(body []byte, timeout time.Duration) *message.Request {
	return &message.Request{ID: message.NewID(), Service: "s", Method: "GET", Path: "/", Body: body, Deadline: time.Now().Add(timeout), Retries: 2}
}

// Guards against responses that reach another request or are truncated when many large ones share a link.
func TestConcurrentRequestsGetTheirOwnWholeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr := newPair(&testHandler{fn: echo})
		defer pr.close()
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				body := bytes.Repeat([]byte{byte(i)}, i*7000)
				r := pr.dialer.Send(t.Context(), "b", newRequest(body, time.Second))
				require.Equal(t, message.Answered, r.Outcome)
				require.True(t, bytes.Equal(body, r.Body))
				require.Equal(t, 2, r.RetriesLeft)
			})
		}
		wg.Wait()
		require.Equal(t, 1, pr.dials)
	})
}

// Guards against requests that hang on a connection that drops everything without closing, and against requests that go on
// occupying slots at the other node.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan time.Time, 1)
		h := &testHandler{}
		h.fn = func(ctx context.Context, req *message.Request) *message.Response {
			if req.Path == "/" {
				return echo(ctx, req)
			}
			<-ctx.Done()
			cancelled <- time.Now()
			return message.UnknownOutcome(message.ReasonCancelled, nil)
		}
		pr := newPair(h)
		defer pr.close()
		require.Equal(t, message.Answered, pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Second)).Outcome)

		start := time.Now()
		slow := newRequest(nil, time.Minute)
		slow.Path = "/slow"
		slow.Idempotent = true // requests that are not idempotent survive their link, see TestNonIdempotentRequestSurvivesItsLink
		time.AfterFunc(10*time.Millisecond, func() { pr.current().silent.Store(true) })
		r := pr.dialer.Send(t.Context(), "b", slow)
		require.Equal(t, message.Unknown, r.Outcome)
		require.Equal(t, message.StepAwait, r.Err.Step)
		require.LessOrEqual(t, time.Since(start), 1500*time.Millisecond)
		require.LessOrEqual(t, (<-cancelled).Sub(start), 1600*time.Millisecond)

		require.Equal(t, message.Answered, pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Second)).Outcome)
		require.Equal(t, 2, pr.dials)
	})
}

// Guards against a link that is closed as silent while it is idle or while a long request runs on it.
func TestWorkingLinkIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
			time.Sleep(20 * time.Second)
			return echo(ctx, req)
		}}
		pr := newPair(h)
		defer pr.close()
		for range 3 {
			require.Equal(t, message.Answered, pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Minute)).Outcome)
			time.Sleep(time.Minute)
		}
		require.Equal(t, 1, pr.dials)
	})
}

// Guards against requests that are lost at the end of a graceful stop: there are no new requests, but responses arrive all the
// time. A dialer that pings only when it receives nothing then sends nothing either, and the other node closes the link as
// silent.
func TestDialerPingsWhileResponsesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
			select {
			case <-time.After(time.Until(req.Deadline) - time.Minute):
				return echo(ctx, req)
			case <-ctx.Done():
				return message.UnknownOutcome(message.ReasonCancelled, nil)
			}
		}}
		pr := newPair(h)
		defer pr.close()
		var all sync.WaitGroup
		for i := range 20 { // responses every 200 ms for 4 s
			all.Go(func() {
				r := pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Minute+time.Duration(i)*200*time.Millisecond))
				require.Equal(t, message.Answered, r.Outcome, "request %d: %v", i, r.Err)
			})
		}
		all.Wait()
		require.Equal(t, 1, pr.dials)
	})
}

// Guards against links that are wrongly closed as silent, or never, after the wall clock has jumped: a time without a monotonic
// reading follows the wall clock.
func TestLinkTimesAreMonotonic(t *testing.T) {
	r, w := newReader(nil, Peer{}, nil), newWriter(nil)
	r.lastFrame.setNow()
	w.lastWrite.setNow()
	for _, at := range []time.Time{r.lastFrameTime(), w.lastWrite.load()} {
		require.NotEqual(t, at.Round(0), at, "%v has no monotonic clock reading", at)
	}
}

// Guards against work that goes on after the caller has cancelled.
func TestCancelReachesTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		h := &testHandler{fn: func(ctx context.Context, _ *message.Request) *message.Response {
			<-ctx.Done()
			ended <- ctx.Err()
			return message.UnknownOutcome(message.ReasonCancelled, nil)
		}}
		pr := newPair(h)
		defer pr.close()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		start := time.Now()
		r := pr.dialer.Send(ctx, "b", newRequest(nil, time.Minute))
		require.Equal(t, message.Unknown, r.Outcome)
		require.Equal(t, message.ReasonCancelled, r.Reason)
		require.ErrorIs(t, <-ended, context.Canceled)
		require.LessOrEqual(t, time.Since(start), 60*time.Millisecond)
	})
}

// Guards against requests that a graceful stop cuts off, and against new requests on a link whose peer is leaving.
func TestGoAwayLetsRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
			time.Sleep(time.Second)
			return echo(ctx, req)
		}}
		pr := newPair(h)
		defer pr.close()
		var first *message.Response
		var wg sync.WaitGroup
		wg.Go(func() { first = pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Minute)) })
		time.Sleep(100 * time.Millisecond)
		pr.acceptor.GoAway()
		time.Sleep(100 * time.Millisecond)
		req := newRequest(nil, time.Minute)
		late := pr.dialer.Send(t.Context(), "b", req)
		wg.Wait()
		require.Equal(t, message.Answered, first.Outcome)
		require.Equal(t, message.NotRun, late.Outcome)
		_, ran := h.seen.Load(req.ID)
		require.False(t, ran)
	})
}

// Guards against a caller that is held up beyond its deadline by a connection that accepts no more bytes, against requests that
// are reported as not run after they may have been written, and against a write that stays blocked for ever.
func TestBlockedWriteDoesNotDelayCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newPipe()
		go func() {
			if _, err := readHello(t.Context(), b); err == nil {
				_ = writeHello(t.Context(), b, Peer{Address: "b"}, 1)
			}
		}()
		dial := func(context.Context, string) (Conn, error) { return a, nil }
		p := NewPool(Config{Self: Peer{Address: "a"}}, dial, &testHandler{fn: echo}, slog.New(slog.DiscardHandler))
		defer p.Close()
		room := cap(a.out)
		for i := range room + 3 {
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			r := p.Send(ctx, "b", newRequest(nil, time.Second))
			cancel()
			require.Equal(t, time.Millisecond, time.Since(start))
			require.Equal(t, message.ReasonDeadline, r.Reason)
			// Each request that was written is followed by its Cancel frame, so the pipe is full after half as many requests
			// as it has room for messages.
			want := message.Unknown
			if i > room/2 {
				want = message.NotRun
			}
			require.Equal(t, want, r.Outcome, "request %d", i)
		}
		time.Sleep(2 * time.Second)
		dialed, _ := p.Links()
		require.Zero(t, dialed)
	})
}

// Guards against a response that carries the ID of another request.
func TestResponseOfAnotherRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newPipe()
		peer := func() {
			if _, err := readHello(t.Context(), b); err != nil {
				return
			}
			_ = writeHello(t.Context(), b, Peer{Address: "b"}, 1)
			_, _ = b.Read(t.Context())
			frames, _ := wire.EncodeResponse(1, message.NewID(), &message.Response{Outcome: message.Answered})
			_ = b.Write(t.Context(), frames[0])
		}
		go peer()
		dial := func(context.Context, string) (Conn, error) { return a, nil }
		p := NewPool(Config{Self: Peer{Address: "a"}}, dial, &testHandler{fn: echo}, slog.New(slog.DiscardHandler))
		defer p.Close()
		r := p.Send(t.Context(), "b", newRequest(nil, time.Second))
		require.Equal(t, message.Unknown, r.Outcome)
	})
}

// Guards against a malformed response of a target that a node of an earlier release passes on, and against one that other requests on the
// link pay for.
func TestMalformedAnswerIsRefused(t *testing.T) {
	for name, answer := range map[string]message.Response{
		"no status":               {},
		"negative status":         {Status: -1},
		"interim status":          {Status: 103},
		"status of four digits":   {Status: 1000},
		"blank in a name":         {Status: 200, Header: http.Header{"Bad Name": {"x"}}},
		"empty name":              {Status: 200, Header: http.Header{"": {"x"}}},
		"line feed in a value":    {Status: 200, Header: http.Header{"X": {"x\r\nY: z"}}},
		"body that is announced":  {Status: 0, Body: make([]byte, 1<<20)},
		"control byte in a value": {Status: 200, Header: http.Header{"X": {"x", "\x01"}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer.Outcome = message.Answered
				pr := newPair(&testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
					if req.Path == "/malformed" {
						return &answer
					}
					time.Sleep(time.Second)
					return echo(ctx, req)
				}})
				defer pr.close()
				var other sync.WaitGroup
				other.Go(func() {
					r := pr.dialer.Send(t.Context(), "b", newRequest([]byte("x"), time.Minute))
					require.Equal(t, "x", string(r.Body))
				})
				req := newRequest(nil, time.Minute)
				req.Path = "/malformed"
				r := pr.dialer.Send(t.Context(), "b", req)
				require.Equal(t, []any{message.Unknown, message.ReasonConnection}, []any{r.Outcome, r.Reason})
				other.Wait()
				require.Equal(t, 1, pr.dials)
			})
		})
	}
}

// Guards against a node of another release whose protocol this node would misread: the request must fail as not run, with step
// and peer in the error, and later requests must fail in the same way.
func TestOtherProtocolVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint16(wire.ProtocolVersion + 1)
		dial := func(context.Context, string) (Conn, error) {
			a, b := newPipe()
			hello, err := wire.Encode(&wire.Hello{Version: version, Address: "b"})
			require.NoError(t, err)
			go func() { _ = b.Write(t.Context(), hello) }()
			return a, nil
		}
		p := NewPool(Config{Self: Peer{Address: "a"}}, dial, &testHandler{fn: echo}, slog.New(slog.DiscardHandler))
		defer p.Close()
		r := p.Send(t.Context(), "b", newRequest(nil, time.Second))
		require.Equal(t, message.NotRun, r.Outcome)
		require.Equal(t, message.StepDial, r.Err.Step)
		require.Equal(t, "b", r.Err.Peer)
		require.Contains(t, r.Err.Detail, fmt.Sprintf("protocol version %d, want %d", wire.ProtocolVersion+1, wire.ProtocolVersion))
		require.Equal(t, message.NotRun, p.Send(t.Context(), "b", newRequest(nil, time.Second)).Outcome)
	})
}

// Guards against a caller that waits beyond its deadline for a dial that hangs.
func TestHangingDialDoesNotDelayCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(ctx context.Context, _ string) (Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		p := NewPool(Config{Self: Peer{Address: "a"}}, dial, &testHandler{fn: echo}, slog.New(slog.DiscardHandler))
		defer p.Close()
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		r := p.Send(ctx, "b", newRequest(nil, time.Second))
		require.Equal(t, message.NotRun, r.Outcome)
		require.Equal(t, 50*time.Millisecond, time.Since(start))
	})
}

// Guards against outcomes that are falsely "not run", requests that never return and responses to the wrong request while, at
// random, connections are closed or go silent and callers time out.
func TestOutcomesAreCorrectUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func randomFaults(t *testing.T, rng *rand.Rand) {
	h := &testHandler{}
	h.fn = func(ctx context.Context, req *message.Request) *message.Response {
		select {
		case <-time.After(time.Duration(req.Body[0]) * time.Millisecond):
			return echo(ctx, req)
		case <-ctx.Done():
			return message.UnknownOutcome(message.ReasonCancelled, nil)
		}
	}
	pr := newPair(h)
	defer pr.close()
	var wg sync.WaitGroup
	for i := range 200 {
		body := bytes.Repeat([]byte{byte(rng.IntN(250))}, 1+rng.IntN(3*wire.MaxPart))
		start := time.Duration(rng.IntN(5000)) * time.Millisecond
		timeout := time.Duration(1+rng.IntN(3000)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(start)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			req := newRequest(body, timeout)
			r := pr.dialer.Send(ctx, "b", req)
			switch r.Outcome {
			case message.Answered:
				require.True(t, bytes.Equal(body, r.Body), "request %d", i)
			case message.NotRun:
				time.Sleep(10 * time.Second) // a delayed copy would have run by now
				_, ran := h.seen.Load(req.ID)
				require.False(t, ran, "request %d ran: %v", i, r.Err)
			}
		})
	}
	for range 10 {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		conn := pr.current()
		switch {
		case conn == nil:
		case rng.IntN(2) == 0:
			conn.silent.Store(true)
		default:
			conn.Close()
		}
	}
	wg.Wait()
}
