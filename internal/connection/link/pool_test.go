package link

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// fleet is a pool that dials many peers, with the pools of these peers.
type fleet struct {
	dialer *Pool
	peers  map[string]*Pool
	dials  int
	mu     sync.Mutex
}

func newFleet(cfg Config, n int, h Handler) (*fleet, []string) {
	log := slog.New(slog.DiscardHandler)
	f := &fleet{peers: map[string]*Pool{}}
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = "10.0." + string(rune('a'+i/100)) + "." + string(rune('a'+i%100))
		f.peers[addresses[i]] = NewPool(Config{Self: Peer{Address: addresses[i]}}, nil, h, log)
	}
	f.dialer = NewPool(cfg, func(_ context.Context, address string) (Conn, error) {
		a, b := newPipe()
		f.mu.Lock()
		f.dials++
		f.mu.Unlock()
		go func() { _ = f.peers[address].Accept(context.Background(), b) }()
		return a, nil
	}, h, log)
	return f, addresses
}

func (f *fleet) close() {
	f.dialer.Close()
	for _, p := range f.peers {
		p.Close()
	}
}

// linkUse holds the highest number of open links seen at the dialer of a fleet, and its dials per second.
type linkUse struct {
	maxOpen int
	dials   float64
}

// run sends 20 requests a second to peers drawn at random, with bodies of up to three bytes. This is the load, at the planned
// size, of an entry node, which takes requests of outside callers. Dials during the warm-up are not counted.
func (f *fleet) run(t *testing.T, addresses []string, warmUp, d time.Duration) (seen linkUse) {
	const every = 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	for at := time.Duration(0); at < warmUp+d; at += every {
		if at == warmUp {
			f.mu.Lock()
			f.dials = 0
			f.mu.Unlock()
		}
		to, body := addresses[rnd.IntN(len(addresses))], make([]byte, rnd.IntN(4))
		wg.Go(func() {
			r := f.dialer.Send(t.Context(), to, newRequest(body, time.Minute))
			require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		})
		time.Sleep(every)
		if at%time.Second == 0 {
			n, _ := f.dialer.Links()
			seen.maxOpen = max(seen.maxOpen, n)
		}
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	seen.dials = float64(f.dials) / d.Seconds()
	return seen
}

// slow responds after one second for each byte of the body.
func slow(ctx context.Context, req *message.Request) *message.Response {
	time.Sleep(time.Duration(len(req.Body)) * time.Second)
	return echo(ctx, req)
}

// Guards against a number of links that grows with that of the peers beyond MaxLinks, and against requests that are cut off
// when links are closed to stay within it.
func TestLinksStayWithinMaxLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const links = 100
		f, addresses := newFleet(Config{Self: Peer{Address: "a"}, MaxLinks: links}, 300, &testHandler{fn: slow})
		defer f.close()
		seen := f.run(t, addresses, 0, 30*time.Second)
		// Only links in use, or used within minIdle (1 s), may not be closed: 80 at most, with 20 requests a second that take
		// up to 3 s each.
		require.LessOrEqual(t, seen.maxOpen, links)
		require.Less(t, seen.dials, 20.0)
	})
}

// Guards against links in use that are closed when all links above MaxLinks are in use.
func TestLinksInUseStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, addresses := newFleet(Config{Self: Peer{Address: "a"}, MaxLinks: 2}, 20, &testHandler{
			fn: func(ctx context.Context, req *message.Request) *message.Response {
				time.Sleep(5 * time.Second)
				return echo(ctx, req)
			},
		})
		defer f.close()
		var wg sync.WaitGroup
		for _, a := range addresses {
			wg.Go(func() {
				r := f.dialer.Send(t.Context(), a, newRequest(nil, time.Minute))
				require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
			})
			time.Sleep(200 * time.Millisecond)
		}
		n, _ := f.dialer.Links()
		require.Equal(t, len(addresses), n)
		wg.Wait()
		time.Sleep(2 * minIdle)
		r := f.dialer.Send(t.Context(), addresses[0], newRequest(nil, time.Minute))
		require.Equal(t, message.Answered, r.Outcome)
		f.dialer.closeSurplus()
		synctest.Wait()
		n, _ = f.dialer.Links()
		require.Equal(t, 2, n)
	})
}

var fleetLinks = flag.Int("max-links", 0, "simulate an entry node of 2,300 targets with this bound")

// TestLinksOfEntryNode prints the links of an entry node at the planned size. It runs on demand only; its figures are in
// docs/CAPACITY.md.
func TestLinksOfEntryNode(t *testing.T) {
	if *fleetLinks == 0 {
		t.Log("run with -max-links N")
		return
	}
	synctest.Test(t, func(t *testing.T) {
		f, addresses := newFleet(Config{Self: Peer{Address: "a"}, MaxLinks: *fleetLinks, IdleTimeout: 2 * time.Minute}, 2300, &testHandler{fn: echo})
		defer f.close()
		seen := f.run(t, addresses, 3*time.Minute, 2*time.Minute)
		t.Logf("at most %d links: %d open, %.1f dials a second", *fleetLinks, seen.maxOpen, seen.dials)
	})
}

// Guards against a second dial by a request that looked for a link just before the dial for another one ended: the peer closes the
// first link then, and requests on it end as not run.
func TestDialThatHasJustEndedIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr := newPair(&testHandler{fn: echo})
		defer pr.close()
		require.Equal(t, message.Answered, pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Second)).Outcome)
		entry, ok := pr.dialer.peers.Load("b")
		require.True(t, ok)
		dialing, err := pr.dialer.startDial(entry.(*peerEntry), "b")
		require.NoError(t, err)
		if dialing != nil {
			<-dialing
		}
		require.Equal(t, 1, pr.dials)
	})
}

// hookedContext calls a function after its error was read, as if another goroutine ran there.
type hookedContext struct {
	context.Context
	afterErr func()
}

func (c hookedContext) Err() error {
	err := c.Context.Err()
	c.afterErr()
	return err
}

// Guards against a dial that starts while the pool closes and outlives it: Close waits for a group that grows meanwhile.
func TestNoDialStartsAfterThePoolIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr := newPair(&testHandler{fn: echo})
		defer pr.close()
		p := pr.dialer
		var closed atomic.Bool
		closePool := sync.OnceFunc(func() {
			p.Close()
			closed.Store(true)
		})
		p.ctx = hookedContext{p.ctx, func() {
			go closePool()
			time.Sleep(time.Second)
		}}
		late, dial := 0, p.dial
		p.dial = func(ctx context.Context, address string) (Conn, error) {
			if closed.Load() {
				late++
			}
			return dial(ctx, address)
		}
		p.Send(t.Context(), "b", newRequest(nil, time.Minute))
		closePool()
		require.Zero(t, late, "dials after Close has returned")
	})
}

// Guards against answers to a restarted node that are dropped because a dial to it, begun while it was down, has failed.
func TestNodeThatOpensALinkIsDialedAtOnce(t *testing.T) {
	for name, dialTime := range map[string]time.Duration{"dial has failed": 0, "dial is about to fail": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var running, restarted *Pool
				down := true
				log := slog.New(slog.DiscardHandler)
				connect := func(to **Pool) Dialer {
					return func(context.Context, string) (Conn, error) {
						if down && to == &restarted {
							time.Sleep(dialTime)
							return nil, errors.New("connection refused")
						}
						ours, theirs := newPipe()
						go func() { _ = (*to).Accept(context.Background(), theirs) }()
						return ours, nil
					}
				}
				h := &testHandler{fn: echo}
				running = NewPool(Config{Self: Peer{Address: "a", Incarnation: 1}}, connect(&restarted), h, log)
				defer running.Close()
				restarted = NewPool(Config{Self: Peer{Address: "b", Incarnation: 1}}, connect(&running), h, log)
				defer restarted.Close()
				early := make(chan error, 1)
				go func() { early <- running.SendControl(t.Context(), "b", 1, nil) }()
				synctest.Wait()
				down = false
				require.NoError(t, restarted.SendControl(t.Context(), "a", 1, nil))
				synctest.Wait()
				start := time.Now()
				require.NoError(t, running.SendControl(t.Context(), "b", 1, nil))
				require.Equal(t, dialTime, time.Since(start))
				<-early
			})
		})
	}
}
