package link

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// newBoundedPair is newPair with a budget at the accepting node.
func newBoundedPair(h Handler, b *memory.Budget) *pair {
	pr := newPair(h)
	pr.acceptor.cfg.Budget = b
	return pr
}

// Guards against bodies from other nodes that exceed the memory together, against a request that is refused for lack of room and runs,
// and against memory that is not returned.
func TestBodiesOfPeersStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(10 << 20)
		var ran, answered, refused atomic.Int64
		pr := newBoundedPair(&testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
			ran.Add(1)
			if b.Used() > b.Limit() {
				t.Errorf("%d of %d bytes used", b.Used(), b.Limit())
			}
			time.Sleep(time.Second)
			return echo(ctx, req)
		}}, b)
		defer pr.close()
		var all sync.WaitGroup
		for i := range 20 {
			all.Go(func() {
				body := bytes.Repeat([]byte{byte(i)}, 4<<20)
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
				defer cancel()
				switch r := pr.dialer.Send(ctx, "b", newRequest(body, 6*time.Second)); r.Outcome {
				case message.Answered:
					answered.Add(1)
					require.Equal(t, body, r.Body)
				case message.NotRun:
					refused.Add(1)
				default:
					t.Errorf("outcome unknown: %v", r.Err)
				}
			})
		}
		all.Wait()
		require.Equal(t, answered.Load(), ran.Load())
		require.Greater(t, answered.Load(), int64(3))
		require.Positive(t, refused.Load())
		synctest.Wait()
		require.Zero(t, b.Used())
	})
}

// Guards against a response that is lost, or held for ever, because the node that waits for it has no room at first or gives up.
func TestResponseWaitsForRoomAtItsReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at, there := memory.NewBudget(4<<20), memory.NewBudget(64<<20)
		pr := newBoundedPair(&testHandler{fn: func(_ context.Context, req *message.Request) *message.Response {
			if !req.Memory.Reserve(3 << 20) {
				return message.Refuse(message.ReasonOverload, nil)
			}
			return &message.Response{Outcome: message.Answered, Status: 200, Body: make([]byte, 3<<20)}
		}}, there)
		defer pr.close()
		holder := at.NewReservation(memory.Responses)
		require.True(t, holder.Reserve(2<<20))
		send := func(wait time.Duration) *message.Response {
			req := newRequest(nil, wait)
			req.Memory = at.NewReservation(memory.Responses)
			defer req.Memory.Release()
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			return pr.dialer.Send(ctx, "b", req)
		}
		require.Equal(t, message.Unknown, send(time.Second).Outcome)
		time.AfterFunc(time.Second, holder.Release)
		r := send(3 * time.Second)
		require.Equal(t, message.Answered, r.Outcome)
		require.Len(t, r.Body, 3<<20)
		time.Sleep(5 * time.Second)
		require.Zero(t, at.Used())
		require.Zero(t, there.Used())
	})
}

// slowConn takes some time for each frame.
type slowConn struct {
	Conn
	perFrame time.Duration
}

func (c slowConn) Write(ctx context.Context, b []byte) error {
	time.Sleep(c.perFrame)
	return c.Conn.Write(ctx, b)
}

// Guards against a large body that blocks small requests on the same link, or that makes the link look stalled.
func TestSmallRequestsPassBetweenThePartsOfALargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		acceptor := NewPool(Config{Self: Peer{Address: "b", Incarnation: 1}}, nil, &testHandler{fn: echo}, log)
		defer acceptor.Close()
		dials := 0
		dialer := NewPool(Config{Self: Peer{Address: "a", Incarnation: 1}}, func(context.Context, string) (Conn, error) {
			a, b := newPipe()
			dials++
			go func() { _ = acceptor.Accept(context.Background(), b) }()
			return slowConn{a, 20 * time.Millisecond}, nil
		}, nil, log)
		defer dialer.Close()
		var large sync.WaitGroup
		large.Go(func() {
			r := dialer.Send(t.Context(), "b", newRequest(make([]byte, 10<<20), time.Minute)) // 160 parts of 20 ms
			require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		})
		time.Sleep(time.Second)
		for range 10 {
			start := time.Now()
			require.Equal(t, message.Answered, dialer.Send(t.Context(), "b", newRequest([]byte("x"), time.Minute)).Outcome)
			require.LessOrEqual(t, time.Since(start), 100*time.Millisecond)
		}
		large.Wait()
		require.Equal(t, 1, dials)
	})
}

// Guards against bad parts that end more than their own exchange: parts without a grant, twice, out of order, past the end, and a size
// above the limit.
func TestBadPartsEndOnlyTheirExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(64 << 20)
		var ran atomic.Int64
		h := &testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
			ran.Add(1)
			return echo(ctx, req)
		}}
		acceptor := NewPool(Config{Self: Peer{Address: "b", Incarnation: 1}, Budget: b}, nil, h, slog.New(slog.DiscardHandler))
		defer acceptor.Close()
		conn, theirs := newPipe()
		go func() { _ = acceptor.Accept(context.Background(), theirs) }()
		_, err := dialHandshake(t.Context(), conn, Config{Self: Peer{Address: "a", Incarnation: 1}}, 1)
		require.NoError(t, err)
		write := func(f wire.Frame) {
			encoded, err := wire.Encode(f)
			require.NoError(t, err)
			require.NoError(t, conn.Write(t.Context(), encoded))
		}
		request := func(stream, size uint64) {
			write(&wire.Request{Stream: stream, Service: "s", TimeLeft: 5e6, BodySize: size})
			synctest.Wait()
		}
		part := func(stream, offset uint64, n int) {
			write(&wire.Body{Stream: stream, Offset: offset, Part: make([]byte, n)})
		}
		request(1, 100<<10)
		part(1, 0, 50<<10)
		part(1, 0, 50<<10) // twice
		request(2, 100<<10)
		part(2, 60<<10, 40<<10) // out of order
		request(3, 100<<10)
		part(3, 0, 50<<10)
		part(3, 50<<10, 60<<10) // past the end
		request(4, 1<<40)       // above the limit
		part(4, 0, 1<<10)
		part(9, 0, 1<<10) // of no request
		request(5, 100<<10)
		part(5, 0, 60<<10)
		part(5, 60<<10, 40<<10) // good
		synctest.Wait()
		outcomes := map[uint64]message.Outcome{}
		for len(conn.in) > 0 {
			f, err := wire.Decode(<-conn.in)
			require.NoError(t, err)
			if r, ok := f.(*wire.Response); ok {
				outcomes[r.Stream] = message.Outcome(r.Outcome)
			}
		}
		require.Equal(t, map[uint64]message.Outcome{1: message.NotRun, 2: message.NotRun, 3: message.NotRun, 4: message.NotRun, 5: message.Answered}, outcomes)
		require.Equal(t, int64(1), ran.Load())
		conn.Close()
		time.Sleep(10 * time.Second)
		require.Zero(t, b.Used())
	})
}

// Guards against nodes of the previous release that do not understand grants and whose links fail.
func TestNodesWithoutGrantsExchangeLargeBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(64 << 20)
		pr := newBoundedPair(&testHandler{fn: echo}, b)
		defer pr.close()
		require.Equal(t, message.Answered, pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Minute)).Outcome)
		v, _ := pr.dialer.peers.Load("b")
		v.(*peerEntry).link.Load().peer.grants = false
		pr.acceptor.mu.Lock()
		for in := range pr.acceptor.accepted {
			in.peer.grants = false
		}
		pr.acceptor.mu.Unlock()
		body := bytes.Repeat([]byte("abc"), 1<<20)
		r := pr.dialer.Send(t.Context(), "b", newRequest(body, time.Minute))
		require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		require.Equal(t, body, r.Body)
	})
}

// Guards against an order that is reported as in doubt although its body was never asked for, when its link is lost or its caller gives up
// while it waits for room, and against room that is granted to it later.
func TestRequestThatWaitsForRoomHasNotRun(t *testing.T) {
	for name, end := range map[string]func(pr *pair, cancel func()){
		"link lost":      func(pr *pair, _ func()) { pr.current().Close() },
		"caller gone":    func(_ *pair, cancel func()) { cancel() },
		"waits too long": func(*pair, func()) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := memory.NewBudget(4 << 20)
				var ran atomic.Int64
				pr := newBoundedPair(&testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
					ran.Add(1)
					return echo(ctx, req)
				}}, b)
				defer pr.close()
				holder := b.NewReservation(memory.Forwarded)
				require.True(t, holder.Reserve(3<<20))
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				time.AfterFunc(time.Second, func() { end(pr, cancel) })
				r := pr.dialer.Send(ctx, "b", newRequest(make([]byte, 2<<20), 4*time.Second))
				require.Equal(t, message.NotRun, r.Outcome, "%v", r.Err)
				holder.Release()
				time.Sleep(10 * time.Second)
				require.Zero(t, ran.Load())
				require.Zero(t, b.Used())
				require.Zero(t, b.Waiting())
			})
		})
	}
}
