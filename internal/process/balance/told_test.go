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

// sparse are many nodes in front of many targets: each pair meets about once in half a minute, as in a deployment of some
// hundred VMs.
type sparse struct {
	rng     *rand.Rand
	pickers []*Picker
	load    map[string]int
	failing map[string]float64
}

const (
	sparseNodes   = 100
	sparseTargets = 40
	sparseSlots   = 10
)

func newSparse(seed uint64) *sparse {
	s := &sparse{rng: rand.New(rand.NewPCG(seed, 1)), load: map[string]int{}, failing: map[string]float64{}}
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

// tell lets the node beside each target tell all others what it sees.
func (s *sparse) tell() {
	for i := range sparseTargets {
		address := fmt.Sprint("t", i)
		c := Condition{Load: message.Load{InFlight: s.load[address], Limit: sparseSlots}, FailureRate: s.failing[address]}
		for _, p := range s.pickers {
			p.SetCondition(address, c)
		}
	}
}

// picks lets each node make one request and returns how many met each target.
func (s *sparse) picks() map[string]int {
	out := map[string]int{}
	for _, p := range s.pickers {
		t, done, _ := p.Pick()
		out[t.Address]++
		done(Result{Failed: s.rng.Float64() < s.failing[t.Address], Load: message.Load{InFlight: s.load[t.Address], Limit: sparseSlots}})
	}
	return out
}

// Guards against targets that fail, or are full, and keep their whole share of the requests because no node meets them often
// enough to find out: grey targets while each pair of node and target meets twice a minute.
func TestToldConditionSpreadsWhatSparsePairsCannotLearn(t *testing.T) {
	for name, harm := range map[string]func(s *sparse, address string){
		"failing": func(s *sparse, address string) { s.failing[address] = 0.45 },
		"full":    func(s *sparse, address string) { s.load[address] = sparseSlots },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSparse(1)
				const harmed = sparseTargets / 7
				for i := range harmed {
					harm(s, fmt.Sprint("t", i))
				}
				s.tell()
				met, all := 0, 0
				for range 20 {
					for address, n := range s.picks() {
						all += n
						if s.failing[address] > 0 || s.load[address] > 0 {
							met += n
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				fair := float64(all) * harmed / sparseTargets
				require.Less(t, float64(met), fair/3, "of %d requests", all)
			})
		})
	}
}

// Guards against a node beside a target that lies, or has fallen silent: what it told lapses, and own failures count more than
// its word.
func TestToldConditionLapsesAndOwnFailuresOutweighIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("a", policy.New().Balance, DefaultRampTime)
		p.Update([]Target{{Address: "x", Zone: "a", Slots: 10}, {Address: "y", Zone: "a", Slots: 10}})
		m := p.snapshot.Load().all[0]
		p.SetCondition("x", Condition{Load: message.Load{InFlight: 9, Limit: 10}, FailureRate: 0.5})
		require.InDelta(t, 0.5, m.failureShare(p.now()), 0.01)
		require.InDelta(t, 0.9, m.utilisation(p.now()), 0.01)
		time.Sleep(toldValid)
		require.Zero(t, m.failureShare(p.now()))
		require.InDelta(t, unknownLoad, m.utilisation(p.now()), 0.01)

		p.SetCondition("x", Condition{Load: message.Load{InFlight: 0, Limit: 10}})
		for range 20 {
			m.failing.count(true, p.now())
		}
		require.Greater(t, m.failureShare(p.now()), 0.3, "it claims that it fails nothing")
		require.NotPanics(t, func() { p.SetCondition("x", Condition{Load: message.Load{InFlight: -5, Limit: -1}, FailureRate: 7}) })
		require.LessOrEqual(t, m.failureShare(p.now()), 1.0)
	})
}

// Guards against a full availability zone that sends its requests to others, of which it knows nothing and which are as full:
// a surge everywhere would cross all zones.
func TestUnknownZonesCountAsFullAsTheOwn(t *testing.T) {
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
			target, done, _ := p.Pick()
			if target.Zone != "a" {
				far++
			}
			done(Result{})
		}
		require.Less(t, far, 50)
	})
}
