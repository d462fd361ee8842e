package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
)

// attached returns the instance and start time of the target that gets requests from this node; empty: none.
func (s *Sidecar) attached() string {
	s.targetMu.Lock()
	defer s.targetMu.Unlock()
	return s.attachedInstance
}

// reportOf returns a report of an instance at a node.
func (s *Sidecar) reportOf(instance string, born, sequence int64, phase report.Phase) report.Report {
	return report.Report{Instance: instance, Born: born, Sequence: sequence, Service: s.settings.Service,
		Address: s.settings.TargetAddress, Phase: phase, Slots: 10}
}

// restart kills nodes at the same time and starts them again.
func (d *drillCluster) restart(addresses ...string) {
	for _, address := range addresses {
		d.kill(address)
	}
	time.Sleep(300 * time.Millisecond)
	for _, address := range addresses {
		d.startNode(address[:1], address, "menu")
	}
}

// requireUnused requires for a time that the target of a node gets no requests.
func (d *drillCluster) requireUnused(t *testing.T, address string, until time.Duration) {
	t.Helper()
	for end := time.Now().Add(until); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.Empty(t, d.nodes[address].attached())
	}
}

// startReady starts nodes whose targets are ready.
func (d *drillCluster) startReady(t *testing.T, addresses ...string) {
	d.startAll(addresses...)
	for _, address := range addresses {
		require.NoError(t, d.nodes[address].reportReady(5))
		require.NotEmpty(t, d.nodes[address].attached())
	}
}

// Guards against a restarted node that acknowledges a leave without remembering it, because it has heard nothing else of the target,
// and that then takes late reports of the target for news.
func TestRestartedNodeKeepsALeaveThatItHearsFirst(t *testing.T) {
	for name, born := range map[string]int64{"start time stated": 100, "start time not stated": 0} {
		t.Run(name, func(t *testing.T) {
			runDrill(t, func(t *testing.T, c *drillCluster) {
				c.startReady(t, "a1", "a2")
				c.restart("a1")
				require.NoError(t, c.nodes["a1"].Leave("i-a1", born))
				require.NoError(t, c.nodes["a1"].reportReady(6), "sent before the leave")
				c.requireUnused(t, "a1", time.Second)
				require.NoError(t, c.nodes["a1"].reportReady(7), "sent before the leave")
				c.requireUnused(t, "a1", time.Second)
				c.restart("a1")
				require.NoError(t, c.nodes["a1"].reportReady(7), "sent before the leave")
				c.requireUnused(t, "a1", 6*time.Second)
			})
		})
	}
}

// Guards against a leave or a drain that is forgotten when all nodes are killed at the same time, once or again, and against sound
// targets that get requests later than before after that.
func TestLeaveOutlivesTheKillOfAllNodes(t *testing.T) {
	for name, leave := range map[string]func(*Sidecar) error{
		"leave": func(s *Sidecar) error { return s.Leave("i-a1", 100) },
		"drain": func(s *Sidecar) error { return s.Report(s.reportOf("i-a1", 100, 9, report.PhaseDraining)) },
	} {
		t.Run(name, func(t *testing.T) {
			runDrill(t, func(t *testing.T, c *drillCluster) {
				c.startReady(t, "a1", "a2", "b1")
				require.NoError(t, leave(c.nodes["a1"]))
				for range 3 {
					c.restart("a1", "a2", "b1")
					for sequence := int64(8); sequence > 6; sequence-- {
						require.NoError(t, c.nodes["a1"].reportReady(sequence), "sent before it left")
					}
					for _, address := range []string{"a2", "b1"} {
						require.NoError(t, c.nodes[address].reportReady(6))
					}
					time.Sleep(recoveryTimeout)
					for _, address := range []string{"a2", "b1"} {
						require.NotEmpty(t, c.nodes[address].attached())
					}
					c.requireUnused(t, "a1", time.Second)
				}
				c.requireUnused(t, "a1", 9*time.Second)
			})
		})
	}
}

// Guards against a target that is out of use because an earlier process at its address, or with its instance ID, has left.
func TestLeaveDoesNotBindLaterTargets(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startReady(t, "a1", "a2")
		a1 := c.nodes["a1"]
		require.NoError(t, a1.Leave("i-a1", 100))
		require.NoError(t, a1.Report(a1.reportOf("i-next", 200, 1, report.PhaseReady)))
		require.NoError(t, a1.reportReady(6), "late")
		require.Equal(t, "i-next/200", a1.attached())
		c.restart("a1", "a2")
		a1 = c.nodes["a1"]
		require.NoError(t, a1.reportReady(6), "late")
		require.NoError(t, a1.Report(a1.reportOf("i-next", 200, 2, report.PhaseReady)))
		time.Sleep(recoveryTimeout)
		require.Equal(t, "i-next/200", a1.attached())

		require.NoError(t, a1.Leave("i-next", 200))
		require.NoError(t, a1.Report(a1.reportOf("i-next", 300, 1, report.PhaseReady)), "a later process with the same ID")
		require.NoError(t, a1.Leave("i-next", 200), "late")
		require.Equal(t, "i-next/300", a1.attached())
		require.NoError(t, a1.Leave("i-a1", 100), "late")
		require.Equal(t, "i-next/300", a1.attached())
	})
}

// Guards against a leave that is acknowledged while no process that is started later could know of it, and against one that is not
// acknowledged although the store has it, or another node can write it.
func TestLeaveIsAcknowledgedOnceItIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		faults       memory.Faults
		acknowledged bool
	}{
		"store down":     {memory.Faults{Down: true}, false},
		"store silent":   {memory.Faults{Hang: true}, false},
		"answers lost":   {memory.Faults{LoseAnswer: true}, true},
		"store slow":     {memory.Faults{Delay: 200 * time.Millisecond}, true},
		"store too slow": {memory.Faults{Delay: 2 * time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runDrill(t, func(t *testing.T, d *drillCluster) {
				d.startReady(t, "a1", "a2")
				d.store.SetFaults(c.faults)
				start := time.Now()
				err := d.nodes["a1"].Leave("i-a1", 100)
				require.Less(t, time.Since(start), time.Second, "the target waits a second")
				require.Empty(t, d.nodes["a1"].attached())
				if !c.acknowledged {
					require.ErrorIs(t, err, report.ErrUnavailable)
					time.Sleep(5 * time.Second)
					d.store.SetFaults(memory.Faults{})
					time.Sleep(2 * time.Second)
					err = d.nodes["a1"].Leave("i-a1", 100)
				}
				require.NoError(t, err)
				d.store.SetFaults(memory.Faults{})
				d.restart("a1", "a2")
				require.NoError(t, d.nodes["a1"].reportReady(6), "sent before it left")
				d.requireUnused(t, "a1", 2*time.Second)
			})
		})
	}
}

// Guards against a restarted node that uses a target before it knows what was acknowledged, because the store is away and only nodes
// that know nothing answer.
func TestNodeThatNobodyRemembersAwaitsTheStore(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startReady(t, "a1", "a2")
		require.NoError(t, c.nodes["a1"].Leave("i-a1", 100))
		c.kill("a1")
		c.restart("a2")
		time.Sleep(fullViewAge)
		c.store.SetFaults(memory.Faults{Down: true})
		c.startNode("a", "a1", "menu")
		require.NoError(t, c.nodes["a1"].reportReady(6), "sent before it left")
		c.requireUnused(t, "a1", 9*time.Second)
		c.store.SetFaults(memory.Faults{})
		require.NoError(t, c.nodes["a1"].reportReady(7), "sent before it left")
		c.requireUnused(t, "a1", 3*time.Second)
	})
}

// Guards against a leave that counts as recorded because a node has answered the request of an earlier process.
func TestLateAnswerToAnEarlierProcessRecordsNothing(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startReady(t, "a1", "a2")
		require.NoError(t, c.nodes["a1"].Leave("i-a1", 100))
		earlier := c.nodes["a1"].leavings.changes
		c.restart("a1")
		c.store.SetFaults(memory.Faults{Hang: true})
		a1 := c.nodes["a1"]
		time.AfterFunc(100*time.Millisecond, func() {
			a1.inbox <- inboundMessage{"a2", mustMarshal(t, viewMessage{Recorded: earlier})}
		})
		require.ErrorIs(t, a1.Leave("i-next", 200), report.ErrUnavailable)
	})
}

// Guards against a number of store calls that grows with the reports of a target that drains.
func TestDrainCostsOneStoreCall(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startReady(t, "a1", "a2")
		before := c.store.Counts().Writes
		a1 := c.nodes["a1"]
		for sequence := int64(6); sequence < 12; sequence++ {
			require.NoError(t, a1.Report(a1.reportOf("i-a1", 100, sequence, report.PhaseDraining)))
		}
		require.NoError(t, a1.Leave("i-a1", 100))
		require.Equal(t, 2, c.store.Counts().Writes-before, "the drain and the leave")
	})
}

// Guards against a leave that is forgotten because the store has come back from a copy without it.
func TestLeaveThatTheStoreHasLostIsRecordedAgain(t *testing.T) {
	runDrill(t, func(t *testing.T, c *drillCluster) {
		c.startReady(t, "a1", "a2", "a3")
		restore := c.copyNow()
		require.NoError(t, c.nodes["a1"].Leave("i-a1", 100))
		restore(time.Second)
		time.Sleep(returnBound)
		c.restart("a1", "a2", "a3")
		require.NoError(t, c.nodes["a1"].reportReady(6), "sent before it left")
		c.requireUnused(t, "a1", 2*time.Second)
	})
}

// Guards against a row that stays in the store for each target that has ever left, and against one that is removed while its target
// still runs, so that a node which is stopped and started again forgets it.
func TestLeavingsAreRemovedWithTheirTarget(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprintf("target has ended: %v", ended), func(t *testing.T) {
			runDrill(t, func(t *testing.T, c *drillCluster) {
				c.startReady(t, "a1", "a2")
				a1 := c.nodes["a1"]
				require.NoError(t, a1.Leave("i-a1", 100))
				a1.targetHasEnded = func() bool { return ended }
				a1.drain()
				c.kill("a1")
				_, err := memoryTable{c.store, "nodes/"}.Get(t.Context(), leavingsPrefix+"a1")
				if ended {
					require.ErrorIs(t, err, platform.ErrNotFound)
				} else {
					require.NoError(t, err)
				}
			})
		})
	}
}

// leavingsModel plays targets that start, report, drain, leave and end at the nodes of a cluster, whose messages arrive late, twice or
// out of order, while nodes are restarted and the store is away, slow or loses responses.
type leavingsModel struct {
	*drillCluster
	t       *testing.T
	rng     *rand.Rand
	targets map[string]*modelTarget // by node
	bound   map[string]bool         // instances whose leave or drain was acknowledged, as in attachedInstance
	late    []func()
}

type modelTarget struct {
	instance string
	born     int64
	sequence int64
	phase    report.Phase
}

func (m *leavingsModel) next(address string) *modelTarget {
	born := time.Now().UnixMilli()
	instance := fmt.Sprintf("i-%s-%d", address, born)
	if old := m.targets[address]; old != nil && m.rng.IntN(3) == 0 {
		instance = old.instance
	}
	return &modelTarget{instance: instance, born: born, phase: report.PhaseReady}
}

// deliver sends a message of a target to its node, now or late, once or twice.
func (m *leavingsModel) deliver(address string, target *modelTarget, what string, send func(*Sidecar) error, leaving bool) {
	id := fmt.Sprintf("%s/%d", target.instance, target.born)
	arrive := func() {
		if s := m.nodes[address]; s != nil {
			err := send(s)
			m.bound[id] = m.bound[id] || err == nil && leaving
			m.t.Logf("%s of %s at %s: %v", what, id, address, err)
		}
	}
	if m.rng.IntN(4) > 0 {
		arrive()
	}
	for m.rng.IntN(3) == 0 {
		m.late = append(m.late, arrive)
	}
}

func (m *leavingsModel) step() {
	addresses := []string{"a1", "a2", "b1"}
	address := addresses[m.rng.IntN(len(addresses))]
	target := m.targets[address]
	switch m.rng.IntN(12) {
	case 0:
		m.targets[address] = m.next(address)
	case 1:
		target.phase = report.PhaseDraining
	case 2:
		target.phase = report.PhaseGone
		born := target.born * int64(m.rng.IntN(2)) // or not stated
		m.deliver(address, target, "leave", func(s *Sidecar) error { return s.Leave(target.instance, born) }, true)
	case 3:
		m.t.Logf("restart of %s", address)
		m.restart(address)
	case 4:
		m.t.Logf("restart of all nodes")
		m.restart(addresses...)
	case 5:
		m.store.SetFaults([]memory.Faults{{Down: true}, {Hang: true}, {Delay: 300 * time.Millisecond}, {LoseAnswer: true}}[m.rng.IntN(4)])
	case 6, 7:
		m.store.SetFaults(memory.Faults{})
	case 8:
		m.rng.Shuffle(len(m.late), func(i, j int) { m.late[i], m.late[j] = m.late[j], m.late[i] })
		n := m.rng.IntN(len(m.late) + 1)
		for _, arrive := range m.late[:n] {
			arrive()
		}
		m.late = m.late[n:]
	default:
		if target.phase == report.PhaseGone {
			return
		}
		target.sequence++
		sequence, phase := target.sequence, target.phase
		m.deliver(address, target, fmt.Sprintf("%v %d", phase, sequence), func(s *Sidecar) error { return s.Report(s.reportOf(target.instance, target.born, sequence, phase)) },
			phase == report.PhaseDraining)
	}
}

// Guards against a target that gets requests although some process at its node has acknowledged that it leaves, in any order of
// events.
func TestAcknowledgedLeavesBindAllLaterProcesses(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runDrill(t, func(t *testing.T, c *drillCluster) {
				m := &leavingsModel{drillCluster: c, t: t, rng: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*modelTarget{}, bound: map[string]bool{}}
				c.startAll("a1", "a2", "b1")
				for address := range c.nodes {
					m.targets[address] = m.next(address)
				}
				used := 0
				for range 150 {
					m.step()
					for range 1 + m.rng.IntN(20) {
						time.Sleep(20 * time.Millisecond)
						for address, s := range m.nodes {
							if id := s.attached(); id != "" {
								used++
								require.False(t, m.bound[id], "%s gets requests of node %s", id, address)
							}
						}
					}
				}
				require.NotZero(t, used)
				require.NotEmpty(t, m.bound)
			})
		})
	}
}
