package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/entry"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
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
		require.Less(t, s.arrival, s.calls)
		require.Less(t, s.calls, s.end)
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
		s.entry = entry.NewServer(h, entry.Config{MaxConnections: 1000})
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

// callCodec decodes requests whose attempt ID is in their path.
type callCodec struct{ noticeCodec }

func (callCodec) DecodeRequest(r *entry.Request) (*message.Request, error) {
	return &message.Request{Host: r.Host, Path: r.URL.Path, Attempt: path.Base(r.URL.Path), Arrived: r.Arrived}, nil
}

func (callCodec) EncodeResponse(_ *message.Request, r *message.Response) *entry.Response {
	if r.Outcome == message.NotRun {
		return &entry.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	}
	return &entry.Response{Status: r.Status, Header: http.Header{}}
}

// callingTarget makes a call through its node some time after it has begun to run a request.
type callingTarget struct {
	l     *callers
	after time.Duration
	calls chan int // statuses of the calls
}

func (g *callingTarget) Do(_ context.Context, x *targetconn.Exchange) (*targetconn.Response, error) {
	time.Sleep(g.after)
	g.calls <- g.l.order("/store/"+x.ID+".1", 0)
	return &targetconn.Response{Status: http.StatusOK}, nil
}

// Guards against requests that fail because the node beside their target stops and accepts no further connections, also not for their
// calls, and against new requests that are served in their wake.
func TestCallsOfRequestsInProgressAreServedDuringAStop(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		route := func(name string) *routing.Route {
			return &routing.Route{
				Name: name, Host: "x", Prefix: "/" + name + "/", Timeout: 10 * time.Second, MaxAttempts: 1,
				Split: []routing.WeightedService{{Service: name, Weight: 1}},
			}
		}
		table, err := routing.New(9, []*routing.Route{route("menu"), route("store")},
			[]routing.Service{{Name: "menu"}, {Name: "store"}}, routing.DefaultLimits())
		require.NoError(t, err)
		table.Source([]byte{9}, 1)
		l := &callers{waiting: make(chan net.Conn), done: make(chan struct{})}
		calling := &callingTarget{l: l, after: 4 * time.Second, calls: make(chan int, 1)}
		targets := map[string]exchanger{"a": calling, "m": &leavingTarget{}}
		c.configure = func(s *Sidecar) {
			s.routes.Store(table)
			s.opts.Codec = callCodec{}
			s.connectTarget = func(string) exchanger { return targets[s.settings.PeerAddress] }
		}
		a, m := c.start("a", "menu"), c.start("m", "store")
		time.Sleep(time.Second)
		require.NoError(t, a.reportReady(1))
		require.NoError(t, m.reportReady(1))
		time.Sleep(100 * time.Millisecond)
		go func() { _ = a.entry.Serve(l) }()
		answered := make(chan *message.Response, 1)
		go func() {
			answered <- m.path.Serve(t.Context(), &message.Request{Host: "x", Path: "/menu/r", Attempt: "r", Arrived: time.Now()})
		}()
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() {
			a.drain()
			a.entry.Close()
			close(stopped)
		}()
		time.Sleep(acceptPeriod / 2)
		require.NoError(t, m.reportReady(2))
		time.Sleep(acceptPeriod/2 + 100*time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, l.order("/store/new", 0))
		require.Equal(t, http.StatusOK, <-calling.calls)
		r := <-answered
		require.Equal(t, message.Answered, r.Outcome)
		require.Equal(t, http.StatusOK, r.Status)
		<-stopped
		time.Sleep(time.Second)
	})
}

// chainTarget makes a call through its node for each request, 200 ms after that for the request before.
type chainTarget struct {
	l     *callers
	start time.Time

	mu    sync.Mutex
	calls map[time.Duration]int // statuses of the calls by when they were sent, from start
}

func (g *chainTarget) Do(_ context.Context, x *targetconn.Exchange) (*targetconn.Response, error) {
	var n int
	_, _ = fmt.Sscanf(x.ID, "r%d", &n)
	time.Sleep(time.Until(g.start.Add(2400*time.Millisecond + time.Duration(n)*200*time.Millisecond)))
	sent := time.Since(g.start)
	status := g.l.order("/store/"+x.ID+".1", 0)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls[sent.Round(time.Millisecond)] = status
	return &targetconn.Response{Status: http.StatusOK}, nil
}

// workingTarget answers requests after a time and counts those that are broken off before.
type workingTarget struct {
	time      time.Duration
	ran, lost atomic.Int32
}

func (g *workingTarget) Do(ctx context.Context, _ *targetconn.Exchange) (*targetconn.Response, error) {
	g.ran.Add(1)
	select {
	case <-time.After(g.time):
		return &targetconn.Response{Status: http.StatusOK}, nil
	case <-ctx.Done():
		g.lost.Add(1)
		return nil, &targetconn.Error{Sent: true, Err: ctx.Err()}
	}
}

// Guards against calls that a stopping node accepts for its target's requests, passes on, and breaks off when its grace period is over,
// and against calls that it refuses although calls like it were answered in the time that is left.
func TestStoppingNodeAnswersTheCallsThatItAccepts(t *testing.T) {
	for name, c := range map[string]struct {
		work  time.Duration // of a call
		known bool          // such calls were made before the stop
	}{
		"long":         {2200 * time.Millisecond, false},
		"long known":   {2200 * time.Millisecond, true},
		"medium":       {1200 * time.Millisecond, false},
		"medium known": {1200 * time.Millisecond, true},
		"short":        {15 * time.Millisecond, false},
		"short known":  {15 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(t *testing.T, cl *cluster) {
				calls, store := stopDuringCalls(t, cl, c.work, c.known)
				require.Len(t, calls, 8)
				answered := 0
				for sent, status := range calls {
					fits := sent+c.work < newStopSchedule(0).end
					if status == http.StatusOK {
						answered++
					} else {
						require.Equal(t, http.StatusServiceUnavailable, status, "call sent at %v", sent)
						require.False(t, fits && c.known, "call sent at %v was refused", sent)
					}
				}
				require.NotZero(t, answered)
				require.EqualValues(t, answered, store.ran.Load())
				require.Zero(t, store.lost.Load())
			})
		})
	}
}

// stopDuringCalls stops a node whose target runs eight requests, each of which makes a call 2.4 to 3.8 s after the start of the stop. It
// returns the statuses of the calls by when they were sent, and the target that they went to.
func stopDuringCalls(t *testing.T, cl *cluster, work time.Duration, known bool) (map[time.Duration]int, *workingTarget) {
	table, err := routing.New(9, []*routing.Route{
		{Name: "menu", Host: "x", Prefix: "/menu/", Idempotent: true, Timeout: 10 * time.Second, Objective: 4 * time.Second, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: "menu", Weight: 1}}},
		{Name: "store", Host: "x", Prefix: "/store/", Idempotent: true, Timeout: 2500 * time.Millisecond, Objective: 2400 * time.Millisecond,
			MaxAttempts: 1, Split: []routing.WeightedService{{Service: "store", Weight: 1}}},
	}, []routing.Service{{Name: "menu"}, {Name: "store"}}, routing.DefaultLimits())
	require.NoError(t, err)
	table.Source([]byte{9}, 1)
	l := &callers{waiting: make(chan net.Conn), done: make(chan struct{})}
	chain, store := &chainTarget{l: l, calls: map[time.Duration]int{}}, &workingTarget{time: work}
	targets := map[string]exchanger{"a": chain, "m": store}
	cl.configure = func(s *Sidecar) {
		s.routes.Store(table)
		s.opts.Codec = callCodec{}
		s.connectTarget = func(string) exchanger { return targets[s.settings.PeerAddress] }
	}
	a, m := cl.start("a", "menu"), cl.start("m", "store")
	time.Sleep(time.Second)
	require.NoError(t, a.reportReady(1))
	require.NoError(t, m.reportReady(1))
	time.Sleep(100 * time.Millisecond)
	go func() { _ = a.entry.Serve(l) }()
	request := func(service, id string) *message.Request {
		return &message.Request{Host: "x", Path: "/" + service + "/" + id, Attempt: id, Arrived: time.Now()}
	}
	if known {
		require.Equal(t, message.Answered, a.path.Serve(t.Context(), request("store", "before")).Outcome)
		store.ran.Store(0)
	}
	chain.start = time.Now().Add(100 * time.Millisecond)
	var runs sync.WaitGroup
	for i := range 8 {
		runs.Go(func() {
			_ = m.path.Serve(t.Context(), request("menu", fmt.Sprintf("r%d", i)))
		})
	}
	time.Sleep(time.Until(chain.start))
	stopped := make(chan struct{})
	go func() {
		a.drain()
		a.entry.Close()
		a.pool.Close()
		close(stopped)
	}()
	time.Sleep(2 * time.Second)
	require.NoError(t, m.reportReady(2))
	runs.Wait()
	<-stopped
	time.Sleep(time.Second)
	return chain.calls, store
}
