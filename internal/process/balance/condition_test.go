package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// sparseCluster has so many nodes and targets that a node sends few requests to each target, as in a deployment of some hundred
// VMs: with 20 requests of each node to 40 targets, most targets get at most one request from a given node.
type sparseCluster struct {
	rng         *rand.Rand
	pickers     []*Picker
	load        map[string]int
	failureRate map[string]float64
}

const (
	sparseNodes   = 100
	sparseTargets = 40
	sparseSlots   = 10
)

func newSparseCluster(seed uint64) *sparseCluster {
	s := &sparseCluster{rng: rand.New(rand.NewPCG(seed, 1)), load: map[string]int{}, failureRate: map[string]float64{}}
	var targets []Target
	for i := range sparseTargets {
		targets = append(targets, Target{Address: fmt.Sprint("t", i), Zone: "a", Slots: sparseSlots})
	}
	for range sparseNodes {
		p := New("a", policy.New().Balance, DefaultRampTime)
		p.random = s.rng.Float64
		p.Update(targets)
		s.pickers = append(s.pickers, p)
	}
	return s
}

// reportConditions reports the condition of each target to all nodes.
func (s *sparseCluster) reportConditions() {
	for i := range sparseTargets {
		address := fmt.Sprint("t", i)
		c := Condition{Load: message.Load{InFlight: s.load[address], Limit: sparseSlots}, FailureRate: s.failureRate[address]}
		for _, p := range s.pickers {
			p.SetCondition(address, c)
		}
	}
}

// pickOnce lets each node make one request and returns the number of requests per target.
func (s *sparseCluster) pickOnce() map[string]int {
	out := map[string]int{}
	for _, p := range s.pickers {
		t, done, _ := p.Pick(Request{})
		out[t.Address]++
		done(Result{Failed: s.rng.Float64() < s.failureRate[t.Address], Load: message.Load{InFlight: s.load[t.Address], Limit: sparseSlots}})
	}
	return out
}

// Guards against failing or full targets that keep their full share of requests because no single node sends them enough
// requests to notice, as with partial failures while each node sends a target about two requests a minute. Here, a node sends a
// target one request in two seconds on average, for one second.
func TestReportedConditionDivertsSparseTraffic(t *testing.T) {
	for name, impair := range map[string]func(s *sparseCluster, address string){
		"failing": func(s *sparseCluster, address string) { s.failureRate[address] = 0.45 },
		"full":    func(s *sparseCluster, address string) { s.load[address] = sparseSlots },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSparseCluster(1)
				const impaired = sparseTargets / 7
				for i := range impaired {
					impair(s, fmt.Sprint("t", i))
				}
				s.reportConditions()
				affected, all := 0, 0
				for range 20 {
					for address, n := range s.pickOnce() {
						all += n
						if s.failureRate[address] > 0 || s.load[address] > 0 {
							affected += n
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				fair := float64(all) * impaired / sparseTargets
				require.Less(t, float64(affected), fair/3, "of %d requests", all)
			})
		})
	}
}

// Guards against a node that reports false conditions of its target, or has stopped reporting: a report expires, and a larger
// failure rate that this node has seen itself takes precedence over it.
func TestReportedConditionExpiresAndOwnFailuresPrevail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("a", policy.New().Balance, DefaultRampTime)
		p.Update([]Target{{Address: "x", Zone: "a", Slots: 10}, {Address: "y", Zone: "a", Slots: 10}})
		m := p.snapshot.Load().all[0]
		p.SetCondition("x", Condition{Load: message.Load{InFlight: 9, Limit: 10}, FailureRate: 0.5})
		require.InDelta(t, 0.5, m.failureRate(p.now()), 0.01)
		require.InDelta(t, 0.9, m.utilisation(p.now()), 0.01)
		time.Sleep(conditionMaxAge)
		require.Zero(t, m.failureRate(p.now()))
		require.InDelta(t, unknownLoad, m.utilisation(p.now()), 0.01)

		p.SetCondition("x", Condition{Load: message.Load{InFlight: 0, Limit: 10}})
		for range 20 {
			m.ownFailures.count(true, p.now())
		}
		require.Greater(t, m.failureRate(p.now()), 0.3, "the reported failure rate is zero")
		require.NotPanics(t, func() { p.SetCondition("x", Condition{Load: message.Load{InFlight: -5, Limit: -1}, FailureRate: 7}) })
		require.LessOrEqual(t, m.failureRate(p.now()), 1.0)
	})
}

// Guards against a full availability zone that sends its requests to zones without a recent report, which may be just as full:
// a surge in all zones would then send requests across all of them.
func TestZonesWithoutReportsAreAssumedAsFullAsLocalZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("a", policy.New().Balance, DefaultRampTime)
		var targets []Target
		for i := range 10 {
			targets = append(targets, Target{Address: fmt.Sprint("near", i), Zone: "a", Slots: 10},
				Target{Address: fmt.Sprint("far", i), Zone: "b", Slots: 10})
		}
		p.Update(targets)
		for i := range 10 {
			p.SetCondition(fmt.Sprint("near", i), Condition{Load: message.Load{InFlight: 9, Limit: 10}})
		}
		far := 0
		for range 1000 {
			target, done, _ := p.Pick(Request{})
			if target.Zone != "a" {
				far++
			}
			done(Result{})
		}
		require.Less(t, far, 50)
	})
}
