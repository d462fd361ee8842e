package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// countedStore is the store as seen by one node. It counts the calls of all nodes.
type countedStore struct {
	*cluster
	shared      *sharedStore
	unreachable atomic.Bool // calls of this node fail
	silent      atomic.Bool // calls of this node, also those in progress, are not answered
}

// sharedStore is the state that is common to the countedStores of all nodes.
type sharedStore struct {
	mu      sync.Mutex
	version int
	changed chan struct{}
	calls   atomic.Int64
}

func (s *countedStore) call() error {
	s.shared.calls.Add(1)
	if s.unreachable.Load() {
		return errStoreDown
	}
	if s.silent.Load() {
		time.Sleep(StoreTimeout)
		return errStoreDown
	}
	return nil
}

func (s *countedStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.call(); err != nil {
		return platform.Row{}, err
	}
	if key != "config" {
		return s.cluster.Get(ctx, key)
	}
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return platform.Row{Key: key, Value: []byte{byte(s.shared.version)}, Version: platform.Version{Text: strconv.Itoa(s.shared.version)}}, nil
}

func (s *countedStore) Put(ctx context.Context, key string, value []byte, c platform.Condition) (platform.Version, error) {
	if err := s.call(); err != nil {
		return platform.Version{}, err
	}
	return s.cluster.Put(ctx, key, value, c)
}

func (s *countedStore) List(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	if err := s.call(); err != nil {
		return nil, err
	}
	return s.cluster.List(ctx, prefix, limit)
}

func (s *countedStore) Follow(ctx context.Context, after platform.Version, wait time.Duration) ([]platform.Row, platform.Version, error) {
	if err := s.call(); err != nil {
		return nil, after, err
	}
	s.shared.mu.Lock()
	changed := s.shared.changed
	if strconv.Itoa(s.shared.version) != after.Text { // changed between two calls
		done := make(chan struct{})
		close(done)
		changed = done
	}
	s.shared.mu.Unlock()
	select {
	case <-changed:
		if s.silent.Load() {
			time.Sleep(wait + time.Second) // the response is lost
			return nil, after, errStoreDown
		}
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
	row, err := s.Get(ctx, "config")
	s.shared.calls.Add(-1) // the row is part of the feed's response
	return []platform.Row{row}, row.Version, err
}

// change writes the next version of the configuration and returns its number.
func (s *sharedStore) change() routing.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return routing.Version(s.version)
}

// fleet is a cluster of fleetSize nodes in three availability zones.
type fleet struct {
	*cluster
	store  *sharedStore
	stores map[string]*countedStore
}

const (
	fleetZones = 3
	fleetSize  = 60
)

func runFleet(t *testing.T, test func(t *testing.T, f *fleet)) { configureFleet(t, nil, test) }

// configureFleet is runFleet with a function that is called before each node starts its loops.
func configureFleet(t *testing.T, configure func(*Sidecar), test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			cluster: &cluster{t: t, nodes: map[string]*Sidecar{}, rows: map[string][]byte{}, latency: time.Millisecond, poweredOff: map[string]bool{}, frozen: map[string]bool{}, configure: configure},
			store:   &sharedStore{version: 4, changed: make(chan struct{})},
			stores:  map[string]*countedStore{},
		}
		for i := range fleetSize {
			f.start(i)
		}
		defer func() {
			for address := range f.nodes {
				f.kill(address)
			}
			time.Sleep(time.Minute) // lets the timers of the last links expire
		}()
		time.Sleep(recoveryTimeout + 2*time.Second)
		test(t, f)
	})
}

func (f *fleet) start(i int) *Sidecar {
	address := fmt.Sprintf("n%02d", i)
	f.stores[address] = &countedStore{cluster: f.cluster, shared: f.store}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return f.startIn(fmt.Sprintf("zone-%d", i%fleetZones), address, "menu", f.stores[address], f.stores[address], log)
}

// powerOff ends a node as a loss of power does: messages that it wrote and that have not arrived are lost.
func (f *fleet) powerOff(address string) {
	f.mu.Lock()
	f.poweredOff[address] = true
	f.mu.Unlock()
	f.kill(address)
	time.Sleep(300 * time.Millisecond)
	f.mu.Lock()
	delete(f.poweredOff, address)
	f.mu.Unlock()
}

func (f *fleet) report(sequence int64) {
	for _, s := range f.nodes {
		require.NoError(f.t, s.reportReady(sequence))
	}
}

func (f *fleet) requireTargets(n int) {
	f.t.Helper()
	for address, s := range f.nodes {
		require.Len(f.t, s.directory.Targets()["menu"], n, "node %s", address)
	}
}

// requireNotServing checks for six seconds that no node regards the targets of the given nodes as serving.
func (f *fleet) requireNotServing(left ...string) {
	f.t.Helper()
	for range 24 {
		time.Sleep(250 * time.Millisecond)
		for address, s := range f.nodes {
			for _, node := range left {
				m, _ := s.directory.Member(node)
				require.False(f.t, m.Serving(), "node %s, target of %s", address, node)
			}
		}
	}
}

func (f *fleet) requireVersion(v routing.Version) {
	f.t.Helper()
	for address, s := range f.nodes {
		require.Equal(f.t, v, s.version(), "node %s", address)
	}
}

// Guards against a number of store calls that grows with nodes times changes, and against nodes that discover others
// only by chance when all start at once.
func TestStartOfAllNodesCostsFewStoreCalls(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.requireVersion(4)
		f.report(1)
		time.Sleep(2 * time.Second)
		f.requireTargets(fleetSize)
		started := f.store.calls.Load()
		require.LessOrEqual(t, started, int64(3*fleetSize), "a write, a list, and the followers' reads of the configuration")
		for range 5 {
			f.store.change()
			time.Sleep(5 * time.Second)
		}
		perFollower := (f.store.calls.Load() - started) / (fleetZones * followersPerZone)
		require.LessOrEqual(t, perFollower, int64(16), "5 changes in 25 s of long polls")
	})
}

// Guards against a configuration that arrives late at nodes that do not follow the store themselves: the operators'
// limit is two seconds.
func TestConfigurationReachesAllNodesThroughFollowers(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		v := f.store.change()
		time.Sleep(100 * time.Millisecond)
		f.requireVersion(v)
	})
}

// Guards against an availability zone that keeps an old configuration because its followers cannot use the store, or
// because they crash.
func TestFollowersThatAreCutOffOrLostAreReplaced(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		for address, s := range f.nodes {
			if s.settings.Zone == "zone-0" && s.isFollower() {
				f.stores[address].unreachable.Store(true)
			}
		}
		v := f.store.change()
		time.Sleep(1900 * time.Millisecond)
		f.requireVersion(v)

		for address, s := range f.nodes {
			if s.isFollower() {
				f.kill(address)
			}
		}
		v = f.store.change()
		time.Sleep(10 * time.Second) // loss of the nodes is detected; no time limit is set for crashes
		f.requireVersion(v)
		v = f.store.change()
		time.Sleep(1900 * time.Millisecond)
		f.requireVersion(v)
	})
}

// Guards against a drain that takes effect late because nodes that pass it on die, while a third of the nodes cannot use
// the store.
func TestDrainReachesAllNodesThroughRelays(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.report(1)
		time.Sleep(2 * time.Second)
		f.requireTargets(fleetSize)
		i := 0
		for address := range f.nodes {
			if i%3 == 0 {
				f.stores[address].unreachable.Store(true)
			}
			i++
		}
		require.NoError(t, f.nodes["n07"].Leave("i-n07", 100))
		for _, address := range []string{"n00", "n10", "n20", "n30", "n40"} {
			f.kill(address)
		}
		time.Sleep(2 * time.Second) // the operators' limit drain_s for a drain to reach all nodes
		for address, s := range f.nodes {
			m, _ := s.directory.Member("n07")
			require.False(t, m.Serving(), "node %s", address)
		}
	})
}

// Guards against requests to a target that has left after most nodes were killed at once: the remaining nodes tell the
// restarted ones.
func TestDrainOutlivesTheKillOfMostNodes(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.report(5)
		time.Sleep(2 * time.Second)
		for _, address := range []string{"n03", "n04", "n05"} {
			require.NoError(t, f.nodes[address].Leave("i-"+address, 100))
		}
		time.Sleep(time.Second)
		for i := range fleetSize * 9 / 10 {
			f.kill(fmt.Sprintf("n%02d", i))
		}
		time.Sleep(300 * time.Millisecond)
		for i := range fleetSize * 9 / 10 {
			require.NoError(t, f.start(i).reportReady(4), "sent before the drain")
		}
		f.requireNotServing("n03", "n04", "n05")
	})
}

// Guards against a restarted node that accepts requests for a target which has left, because another node that has just
// started too answered that it knows nothing, before one that knows of the drain could answer.
func TestNodeThatHasJustStartedDoesNotEndTheRecoveryOfAnother(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		require.NoError(t, a.reportReady(5))
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, a.Leave("i-a", 100))
		time.Sleep(10 * time.Millisecond)
		c.kill("a")
		c.mu.Lock()
		delete(c.nodes, "b") // not reachable for a moment
		c.mu.Unlock()
		c.start("c", "menu")
		time.Sleep(50 * time.Millisecond)
		a = c.start("a", "menu")
		require.NoError(t, a.reportReady(4), "sent before the drain")
		time.Sleep(recoveryTimeout / 2)
		own := a.directory.Self()
		require.False(t, own.Serving())
		c.mu.Lock()
		c.nodes["b"] = b
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		own = a.directory.Self()
		require.False(t, own.Serving())
	})
}

// Guards against an acknowledged drain that no other node knows because the node lost power right after the
// acknowledgement.
func TestAcknowledgedDrainIsKnownToAnotherNode(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.report(1)
		time.Sleep(2 * time.Second)
		require.NoError(t, f.nodes["n09"].Leave("i-n09", 100))
		f.powerOff("n09")
		require.NoError(t, f.start(9).reportReady(4), "sent before the drain")
		f.requireNotServing("n09")
	})
}

// Guards against an acknowledgement that is never sent because no other node can be reached.
func TestDrainIsAcknowledgedWithoutOtherNodes(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.start("a", "menu")
		c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		require.NoError(t, a.reportReady(1))
		c.kill("b")
		start := time.Now()
		require.NoError(t, a.Leave("i-a", 100))
		require.LessOrEqual(t, time.Since(start), confirmTimeout)
	})
}
