package sidecar

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
)

// memoryTable is a table of a platform in memory. It implements Store and Operator.
type memoryTable struct {
	*memory.Platform
	prefix string // of the keys of its rows
}

func (m memoryTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := m.Platform.Get(ctx, m.prefix+key)
	row.Key = key
	return row, err
}

func (m memoryTable) Put(ctx context.Context, key string, value []byte, c platform.Condition) (platform.Version, error) {
	return m.Platform.Put(ctx, m.prefix+key, value, c)
}

func (m memoryTable) List(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	rows, err := m.Platform.List(ctx, m.prefix+prefix, limit)
	return m.own(rows), err
}

func (m memoryTable) Commit(ctx context.Context, writes []platform.Write) ([]platform.Version, error) {
	prefixed := make([]platform.Write, len(writes))
	for i, w := range writes {
		w.Key = m.prefix + w.Key
		prefixed[i] = w
	}
	return m.Platform.Commit(ctx, prefixed)
}

func (m memoryTable) Delete(ctx context.Context, key string, c platform.Condition) error {
	return m.Platform.Delete(ctx, m.prefix+key, c)
}

func (m memoryTable) Follow(ctx context.Context, after platform.Version, wait time.Duration) ([]platform.Row, platform.Version, error) {
	rows, next, err := m.Platform.Follow(ctx, after, wait)
	return m.own(rows), next, err
}

// own returns the rows of the table, with their keys in it.
func (m memoryTable) own(rows []platform.Row) []platform.Row {
	var out []platform.Row
	for _, row := range rows {
		if key, ok := strings.CutPrefix(row.Key, m.prefix); ok {
			row.Key = key
			out = append(out, row)
		}
	}
	return out
}

// drillCluster is a cluster whose store can come back from an older copy.
type drillCluster struct {
	*cluster
	store *memory.Platform
}

func runDrill(t *testing.T, test func(t *testing.T, c *drillCluster)) {
	runCluster(t, func(t *testing.T, c *cluster) {
		d := &drillCluster{c, memory.New()}
		d.configure(t, 9, "first")
		time.Sleep(time.Second)
		test(t, d)
	})
}

// startNode starts a node that uses the store.
func (d *drillCluster) startNode(zone, address, service string) *Sidecar {
	log := slog.New(slog.NewTextHandler(testWriter{d.t}, nil)).With("node", address)
	return d.startIn(zone, address, service, memoryTable{d.store, "nodes/"}, memoryTable{d.store, "op/"}, log)
}

// startAll starts nodes, each in the zone that its address begins with, and waits until they know each other.
func (d *drillCluster) startAll(addresses ...string) {
	for _, address := range addresses {
		d.startNode(address[:1], address, "menu")
	}
	time.Sleep(5 * time.Second)
}

// copyNow returns a function that makes the store unavailable for a time, after which it comes back as it is now.
func (d *drillCluster) copyNow() (restore func(away time.Duration)) {
	copied := time.Now()
	time.Sleep(10 * time.Millisecond)
	return func(away time.Duration) { d.drill(copied, away) }
}

// configure writes a configuration, as the operator does: its version and any text.
func (d *drillCluster) configure(t *testing.T, version byte, text string) {
	_, err := d.store.Put(t.Context(), "op/config", append([]byte{version}, text...), platform.Condition{})
	require.NoError(t, err)
}

// drill makes the store unavailable for a time. It comes back as it was at the given moment.
func (d *drillCluster) drill(copied time.Time, away time.Duration) {
	d.store.SetFaults(memory.Faults{Down: true})
	time.Sleep(away)
	d.store.Restore(time.Since(copied))
	d.store.SetFaults(memory.Faults{})
}

// leave lets the target of a node leave, and then stops the node.
func (d *drillCluster) leave(t *testing.T, address string) {
	s := d.nodes[address]
	require.NoError(t, s.Leave("i-"+address, 100))
	s.drain()
	d.kill(address)
}

// registered returns the addresses in the table of nodes.
func (d *drillCluster) registered(t *testing.T) []string {
	rows, err := memoryTable{d.store, "nodes/"}.List(t.Context(), "", maxNodes)
	require.NoError(t, err)
	var out []string
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, leavingsPrefix) {
			out = append(out, row.Key)
		}
	}
	return out
}

// requireKnown requires that each of the nodes knows all of them.
func (d *drillCluster) requireKnown(t *testing.T, addresses ...string) {
	for _, address := range addresses {
		var known []string
		for _, m := range d.nodes[address].directory.All() {
			known = append(known, m.Address)
		}
		require.ElementsMatch(t, addresses, known, "node %s", address)
	}
}

// configBound is the operators' limit on the time from the acknowledgement of a configuration until it is in force everywhere.
const configBound = 2 * time.Second

// returnBound is the operators' limit on the time from the return of the store until what it has lost of the nodes is back.
const returnBound = 2 * time.Second

// Guards against nodes that find nobody because the store has lost the rows of all others: they would serve on their own, unknown
// to the rest.
func TestRowsOfNodesAreBackAfterTheStoreLostThem(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		restore := c.copyNow()
		c.startAll("a1", "a2", "b1")
		restore(time.Second)
		c.configure(t, 9, "first") // the operator writes again what was lost
		require.Empty(t, c.registered(t))
		time.Sleep(returnBound)
		require.ElementsMatch(t, []string{"a1", "a2", "b1"}, c.registered(t))
		c.startNode("b", "b2", "menu")
		time.Sleep(returnBound)
		c.requireKnown(t, "a1", "a2", "b1", "b2")
	})
}

// Guards against a node that stays unknown because it read the table of nodes after the store had lost the rows of the others and
// before they were back.
func TestNodeThatStartsInTheGapIsFound(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		restore := c.copyNow()
		c.startAll("a1", "a2")
		restore(time.Second)
		c.configure(t, 9, "first")
		c.startNode("a", "a3", "menu")
		c.startNode("b", "b1", "menu")
		time.Sleep(returnBound)
		c.requireKnown(t, "a1", "a2", "a3", "b1")
	})
}

// Guards against the row of a node that has left, and that is back with the store: nodes that start later would try to reach it.
func TestRemovedRowThatIsBackIsRemovedAgain(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startAll("a1", "a2", "a3")
		require.NoError(t, c.nodes["a3"].reportReady(1))
		restore := c.copyNow()
		c.leave(t, "a3")
		require.ElementsMatch(t, []string{"a1", "a2"}, c.registered(t))
		restore(time.Second)
		require.ElementsMatch(t, []string{"a1", "a2", "a3"}, c.registered(t))
		time.Sleep(returnBound)
		require.ElementsMatch(t, []string{"a1", "a2"}, c.registered(t))
	})
}

// Guards against a node whose row is removed because an earlier process at its address has left.
func TestRowOfANodeThatHasReturnedStays(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startAll("a1", "a2")
		require.NoError(t, c.nodes["a2"].reportReady(1))
		c.leave(t, "a2")
		restore := c.copyNow()
		c.startAll("a2")
		restore(time.Second)
		time.Sleep(returnBound)
		require.ElementsMatch(t, []string{"a1", "a2"}, c.registered(t))
		c.requireKnown(t, "a1", "a2")
	})
}

// Guards against a change that is not in force in time because all nodes of an availability zone have turned away from a store that
// was away for a moment.
func TestChangeRightAfterAShortAbsenceIsInForceInTime(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startAll("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4")
		for _, away := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
			version := byte(10 + away/time.Second)
			c.drill(time.Now(), away)
			time.Sleep(50 * time.Millisecond)
			c.configure(t, version, "next")
			time.Sleep(configBound)
			for address, s := range c.nodes {
				require.EqualValues(t, version, s.version(), "node %s after an absence of %s", address, away)
			}
		}
	})
}

// requireInForce requires that all nodes run the version of the configuration with the given text.
func (d *drillCluster) requireInForce(t *testing.T, version byte, text string) {
	for address, s := range d.nodes {
		require.Equal(t, string(append([]byte{version}, text...)), string(s.routes.Load().Raw), "node %s", address)
	}
}

// Guards against nodes that stay with a configuration which the store has lost, and whose number the operator has given to another
// one since; and against a running node that returns to an older version.
func TestConfigurationWhoseNumberIsGivenOutTwice(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startAll("a1", "a2", "a3", "a4", "b1")
		restore := c.copyNow()
		c.configure(t, 10, "lost")
		time.Sleep(configBound)
		c.requireInForce(t, 10, "lost")
		restore(time.Second)
		time.Sleep(configBound)
		c.requireInForce(t, 10, "lost") // the store has version 9, and the operator has not written since
		c.configure(t, 10, "written after the restore")
		time.Sleep(configBound)
		c.requireInForce(t, 10, "written after the restore")
		c.startNode("b", "b2", "menu")
		time.Sleep(configBound)
		c.requireInForce(t, 10, "written after the restore")
		c.configure(t, 9, "older")
		time.Sleep(configBound)
		c.requireInForce(t, 10, "written after the restore")
	})
}

// Guards against a node that serves an older version after its restart because it has read it from a restored store: the other
// nodes have the version in force, and nobody sends it unasked.
func TestRestartedNodeLeavesAnOlderConfigurationSoon(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startAll("a1", "a2", "b1")
		restore := c.copyNow()
		c.configure(t, 10, "lost")
		time.Sleep(configBound)
		restore(100 * time.Millisecond)
		time.Sleep(returnBound)
		for _, address := range []string{"a1", "a2", "b1"} {
			c.kill(address)
			time.Sleep(100 * time.Millisecond)
			c.startNode(address[:1], address, "menu")
			time.Sleep(400 * time.Millisecond)
			c.requireInForce(t, 10, "lost")
			time.Sleep(time.Second)
		}
	})
}

// Guards against a restarted node that reads the older version before the answers of the others arrive, because it decides on its role
// as a follower at the moment of its registration.
func TestRestartedNodeHearsTheOthersBeforeItReadsTheStore(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.latency = 10 * time.Millisecond
		c.startAll("a1", "b1")
		restore := c.copyNow()
		c.configure(t, 10, "lost")
		time.Sleep(configBound)
		restore(100 * time.Millisecond)
		time.Sleep(returnBound)
		c.kill("a1")
		time.Sleep(100 * time.Millisecond)
		nodes := slowPut{memoryTable{c.store, "nodes/"}, followerCheckInterval - time.Millisecond}
		restarted := c.startIn("a", "a1", "menu", nodes, memoryTable{c.store, "op/"}, slog.New(slog.DiscardHandler))
		for start := time.Now(); time.Since(start) < 3*followerCheckInterval; time.Sleep(time.Millisecond) {
			if table := restarted.routes.Load(); table != nil {
				require.EqualValues(t, 10, table.Version, "%s after the start", time.Since(start))
			}
		}
		c.requireInForce(t, 10, "lost")
	})
}

// slowPut is a table whose single writes take a time.
type slowPut struct {
	memoryTable
	delay time.Duration
}

func (p slowPut) Put(ctx context.Context, key string, value []byte, c platform.Condition) (platform.Version, error) {
	time.Sleep(p.delay)
	return p.memoryTable.Put(ctx, key, value, c)
}

// Guards against a node that no longer finds the others because its row was lost between writing it and reading the others.
func TestNodeRegistersAgainIfItsRowIsLostMeanwhile(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startNode("a", "a1", "menu")
		time.Sleep(time.Second)
		before := time.Now()
		time.Sleep(10 * time.Millisecond)
		nodes := &restoredBeforeList{memoryTable: memoryTable{c.store, "nodes/"}, copied: before}
		c.startIn("a", "a2", "menu", nodes, memoryTable{c.store, "op/"}, slog.New(slog.DiscardHandler))
		time.Sleep(returnBound)
		require.EqualValues(t, 2, nodes.lists.Load())
		require.ElementsMatch(t, []string{"a1", "a2"}, c.registered(t))
		c.requireKnown(t, "a1", "a2")
	})
}

// restoredBeforeList is a table of nodes that is restored before its first list.
type restoredBeforeList struct {
	memoryTable
	copied time.Time
	lists  atomic.Int32
}

func (r *restoredBeforeList) List(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	if r.lists.Add(1) == 1 {
		r.Restore(time.Since(r.copied))
	}
	return r.memoryTable.List(ctx, prefix, limit)
}

// Guards against the row of a node that is removed by the earlier process at its address, whose call the store performs late.
func TestLateDeregistrationDoesNotRemoveTheNextProcess(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		nodes := &lateDelete{memoryTable: memoryTable{c.store, "nodes/"}}
		left := c.startIn("a", "a1", "menu", nodes, memoryTable{c.store, "op/"}, slog.New(slog.DiscardHandler))
		time.Sleep(5 * time.Second)
		left.deregister()
		c.kill("a1")
		c.startNode("a", "a1", "menu")
		time.Sleep(time.Second)
		nodes.perform()
		require.Equal(t, []string{"a1"}, c.registered(t))
	})
}

// lateDelete is a table that performs removals only when told to, and answers none of them.
type lateDelete struct {
	memoryTable
	perform func()
}

func (l *lateDelete) Delete(_ context.Context, key string, cond platform.Condition) error {
	l.perform = func() { _ = l.memoryTable.Delete(context.Background(), key, cond) }
	return platform.ErrInDoubt
}
