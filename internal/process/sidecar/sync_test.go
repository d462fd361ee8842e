package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// pipe is one end of an in-memory connection.
type pipe struct {
	in, out chan []byte
	done    chan struct{}
	once    *sync.Once
}

func newPipe() (*pipe, *pipe) {
	a, b, done, once := make(chan []byte, 1024), make(chan []byte, 1024), make(chan struct{}), new(sync.Once)
	return &pipe{a, b, done, once}, &pipe{b, a, done, once}
}

func (p *pipe) Read(ctx context.Context) ([]byte, error) {
	select {
	case b := <-p.in:
		return b, nil
	case <-p.done:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipe) Write(_ context.Context, b []byte) error {
	select {
	case p.out <- append([]byte(nil), b...):
		return nil
	case <-p.done:
		return io.ErrClosedPipe
	}
}

func (p *pipe) Close() { p.once.Do(func() { close(p.done) }) }

// cluster is a set of nodes with in-memory links and an in-memory store.
type cluster struct {
	t *testing.T

	mu        sync.Mutex
	nodes     map[string]*Sidecar // by peer address; nodes that are down are absent
	rows      map[string][]byte
	config    []byte
	storeDown bool           // all calls of the store fail
	configure func(*Sidecar) // called before a node starts its loops; nil: nothing

	latency    time.Duration   // of each message
	poweredOff map[string]bool // nodes without power: messages that they wrote and that have not arrived are lost
	frozen     map[string]bool // nodes that stand still: messages to and from them are lost, and dials hang
}

// delayedConn is one node's end of a connection, with latency and loss.
type delayedConn struct {
	*pipe
	c          *cluster
	node, peer string
}

func (w delayedConn) Write(ctx context.Context, b []byte) error {
	time.Sleep(w.c.latency)
	w.c.mu.Lock()
	lost := w.c.poweredOff[w.node] || w.c.frozen[w.node] || w.c.frozen[w.peer]
	w.c.mu.Unlock()
	if lost {
		return nil
	}
	return w.pipe.Write(ctx, b)
}

var errStoreDown = errors.Join(platform.ErrUnavailable, errors.New("test"))

// The cluster implements both tables of the store.
func (c *cluster) Get(_ context.Context, key string) (platform.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return platform.Row{}, errStoreDown
	}
	row := platform.Row{Key: key, Value: c.config, Version: platform.Version{Text: "1"}}
	if key != "config" {
		var ok bool
		if row.Value, ok = c.rows[key]; !ok {
			return platform.Row{}, platform.ErrNotFound
		}
	}
	return row, nil
}

func (c *cluster) Put(_ context.Context, key string, value []byte, _ platform.Condition) (platform.Version, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return platform.Version{}, errStoreDown
	}
	c.rows[key] = value
	return platform.Version{Text: "1"}, nil
}

func (c *cluster) List(context.Context, string, int) ([]platform.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return nil, errStoreDown
	}
	var rows []platform.Row
	for key := range c.rows {
		rows = append(rows, platform.Row{Key: key, Value: c.rows[key], Version: platform.Version{Text: "1"}})
	}
	return rows, nil
}

func (c *cluster) Commit(context.Context, []platform.Write) ([]platform.Version, error) {
	return nil, errStoreDown
}
func (c *cluster) Delete(context.Context, string, platform.Condition) error { return nil }

func (c *cluster) Epoch() platform.Epoch { return 0 }

func (c *cluster) Observe(platform.Epoch) {}

// Follow never returns a change, like a feed whose connection has silently broken.
func (c *cluster) Follow(ctx context.Context, after platform.Version, wait time.Duration) ([]platform.Row, platform.Version, error) {
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

func (c *cluster) setStoreDown(storeDown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDown = storeDown
}

// start starts a node with all its loops.
func (c *cluster) start(address, service string) *Sidecar {
	return c.startIn("a", address, service, c, c, slog.New(slog.NewTextHandler(testWriter{c.t}, nil)).With("node", address))
}

// startIn starts a node in the given availability zone with its own access to the store.
func (c *cluster) startIn(zone, address, service string, nodes Store, operator Operator, log *slog.Logger) *Sidecar {
	c.t.Helper()
	s, err := New(Options{
		Settings: Settings{PeerAddress: address, Zone: zone, Service: service, TargetAddress: "target-" + address, RetryBurst: 48},
		Log:      log,
		Nodes:    nodes, Operator: operator, ConfigKey: "config",
		DecodeConfig: func(body []byte) (*routing.Table, error) {
			return routing.New(routing.Version(body[0]), nil, nil, routing.DefaultLimits())
		},
	})
	require.NoError(c.t, err)
	s.pool = link.NewPool(s.linkConfig(), func(ctx context.Context, to string) (link.Conn, error) {
		c.mu.Lock()
		peer, hangs := c.nodes[to], c.frozen[to] || c.frozen[address]
		c.mu.Unlock()
		switch {
		case hangs:
			<-ctx.Done()
			return nil, ctx.Err()
		case peer == nil:
			return nil, errors.New("connection refused")
		}
		ours, theirs := newPipe()
		go func() { _ = peer.pool.Accept(context.Background(), delayedConn{theirs, c, to, address}) }()
		return delayedConn{ours, c, address, to}, nil
	}, linkHandler{s}, s.log)
	s.path = s.newPath()
	if c.configure != nil {
		c.configure(s)
	}
	c.mu.Lock()
	c.nodes[address] = s
	c.mu.Unlock()
	for _, loop := range []func(){s.recordLeavings, s.register, s.maintainRegistry, s.followConfig, s.gossip, s.reconnect, s.watchTarget} {
		s.background.Go(loop)
	}
	return s
}

// kill ends a node without a graceful stop.
func (c *cluster) kill(address string) {
	c.mu.Lock()
	s := c.nodes[address]
	delete(c.nodes, address)
	c.mu.Unlock()
	s.stop()
	s.pool.Close()
	s.background.Wait()
}

func runCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, nodes: map[string]*Sidecar{}, rows: map[string][]byte{}, config: []byte{4}}
		defer func() {
			for address := range c.nodes {
				c.kill(address)
			}
			time.Sleep(time.Minute) // lets the timers of the last links expire
		}()
		test(t, c)
	})
}

func (s *Sidecar) reportReady(sequence int64) error {
	return s.Report(report.Report{Instance: "i-" + s.settings.PeerAddress, Born: 100, Sequence: sequence,
		Service: s.settings.Service, Address: s.settings.TargetAddress, Phase: report.PhaseReady, Slots: 10})
}

// Guards against nodes that start at the same time and do not discover each other, or learn of targets only by chance.
func TestNodesFindEachOtherAndTheirTargets(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		for _, address := range []string{"a", "b", "c", "d"} {
			c.start(address, "menu")
		}
		time.Sleep(recoveryTimeout + time.Second)
		for _, s := range c.nodes {
			require.NoError(t, s.reportReady(1))
		}
		time.Sleep(50 * time.Millisecond)
		for address, s := range c.nodes {
			require.Len(t, s.directory.Targets()["menu"], 4, "node %s", address)
		}
	})
}

// Guards against requests that other nodes send to a target long after its drain was acknowledged.
func TestDrainIsAnnouncedAtOnce(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		require.NoError(t, a.reportReady(1))
		require.NoError(t, b.reportReady(1))
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, a.Leave("i-a", 100))
		time.Sleep(10 * time.Millisecond)
		require.Len(t, b.directory.Targets()["menu"], 1)
	})
}

// Guards against an acknowledged drain that is lost when the node is killed: an old report that arrives after the
// restart must not cause requests to the target.
func TestRestartedNodeLearnsOfItsOwnDrain(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		require.NoError(t, a.reportReady(5))
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, a.Leave("i-a", 100))
		time.Sleep(10 * time.Millisecond)
		c.kill("a")
		time.Sleep(time.Second)
		a = c.start("a", "menu")
		require.NoError(t, a.reportReady(4), "sent before the drain")
		time.Sleep(3 * time.Second)
		require.Empty(t, a.directory.Targets()["menu"])
		require.Empty(t, b.directory.Targets()["menu"])
	})
}

// Guards against a node that starts while the store is unavailable and does not serve until the store is back.
func TestNodeStartsWhileTheStoreIsUnavailable(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, _ := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		require.True(t, a.Ready())
		c.kill("b")
		c.setStoreDown(true)
		time.Sleep(time.Second)
		b := c.start("b", "menu")
		require.False(t, b.Ready())
		require.NoError(t, b.reportReady(1))
		time.Sleep(2 * time.Second)
		require.True(t, b.Ready(), "the other node sends the configuration")
		require.Len(t, a.directory.Targets()["menu"], 1)
		require.Len(t, b.directory.Targets()["menu"], 1)
	})
}

// Guards against a node whose feed has silently broken and that keeps an old configuration, and against a version that
// decreases.
func TestOtherNodesMakeUpForABrokenFeed(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		a.applyConfig([]byte{8}, 1, "store") // a's feed works, b's is silent
		time.Sleep(4 * time.Second)
		require.Equal(t, routing.Version(8), b.version())
		b.applyConfig([]byte{6}, 1, "store")
		require.Equal(t, routing.Version(8), b.version())
	})
}

// Guards against a node that comes back from a partition with a broken feed, learns once of a newer configuration, and
// requests it only at the next message: in a large deployment that can take seconds.
func TestNewerConfigurationIsAskedForWithoutAnotherMessage(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		for range 20 {
			next := a.version() + 1
			a.applyConfig([]byte{byte(next)}, 1, "store")
			b.inbox <- inboundMessage{"a", mustMarshal(t, viewMessage{Digest: b.directory.Digest(), Version: uint64(next)})}
			time.Sleep(pullDelay + pullRetryInterval)
			require.Equal(t, next, b.version())
		}
	})
}

func mustMarshal(t *testing.T, msg viewMessage) []byte {
	b, err := cbor.Marshal(msg)
	require.NoError(t, err)
	return b
}

// Guards against requests to a node that has crashed, and against one that gets none after it is back.
func TestLostNodeIsLeftOutUntilItIsBack(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		require.NoError(t, b.reportReady(1))
		time.Sleep(10 * time.Millisecond)
		require.Len(t, a.directory.Targets()["menu"], 1)
		c.kill("b")
		time.Sleep(4 * time.Second)
		require.Empty(t, a.directory.Targets()["menu"])
		b = c.start("b", "menu")
		require.NoError(t, b.reportReady(2))
		time.Sleep(2 * time.Second)
		require.Len(t, a.directory.Targets()["menu"], 1)
	})
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) { w.t.Logf("%s", p); return len(p), nil }
