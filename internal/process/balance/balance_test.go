package balance

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

var testBalance = policy.New().Balance // ejects after 5 consecutive failures, at first for 1 s, at most half of the targets

// newTargets returns n targets with addresses t0, t1, and so on, spread over the given zones.
func newTargets(n, slots int, zones ...string) []Target {
	var out []Target
	for i := range n {
		out = append(out, Target{Address: fmt.Sprint("t", i), Zone: zones[i%len(zones)], Slots: slots})
	}
	return out
}

// fakeTarget is a target with slots that all nodes share; requests beyond the slots wait.
type fakeTarget struct {
	slots         chan struct{}
	service       time.Duration
	reportsNoLoad bool // always reports no load
	mu            sync.Mutex
	load          int
	served        int
}

func (f *fakeTarget) run() message.Load {
	f.mu.Lock()
	f.load++
	f.mu.Unlock()
	f.slots <- struct{}{}
	time.Sleep(f.service)
	<-f.slots
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load--
	f.served++
	if f.reportsNoLoad {
		return message.Load{Limit: cap(f.slots)}
	}
	return message.Load{InFlight: f.load, Limit: cap(f.slots)}
}

// newPicker returns a Picker with a fixed seed.
func newPicker(zone string, seed uint64) *Picker {
	p := New(zone, testBalance, DefaultRampTime)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 6))
	p.random = func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	return p
}

// sendRequests sends requests at a fixed rate from several nodes and returns the number of served requests per target.
func sendRequests(pickers []*Picker, fakes map[string]*fakeTarget, rate float64, d time.Duration) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		p := pickers[rng.IntN(len(pickers))]
		wg.Go(func() {
			if target, done, ok := p.Pick(Request{}); ok {
				done(Result{Load: fakes[target.Address].run()})
			}
		})
	}
	wg.Wait()
	served := map[string]int{}
	for a, f := range fakes {
		served[a] = f.served
	}
	return served
}

// newCluster returns a Picker per node and a fakeTarget per target.
func newCluster(nodes int, targets []Target) ([]*Picker, map[string]*fakeTarget) {
	fakes := map[string]*fakeTarget{}
	for _, t := range targets {
		fakes[t.Address] = &fakeTarget{slots: make(chan struct{}, t.Slots), service: 50 * time.Millisecond}
	}
	var pickers []*Picker
	for i := range nodes {
		p := newPicker("a", uint64(i))
		p.Update(targets)
		pickers = append(pickers, p)
	}
	return pickers, fakes
}

func total(served map[string]int) int {
	n := 0
	for _, s := range served {
		n += s
	}
	return n
}

// Guards against a target that attracts the traffic of a service by always reporting no load.
func TestMisleadingReportAttractsBoundedExcess(t *testing.T) {
	for _, nodes := range []int{1, 20} {
		synctest.Test(t, func(t *testing.T) {
			pickers, fakes := newCluster(nodes, newTargets(4, 40, "a"))
			fakes["t0"].reportsNoLoad = true
			served := sendRequests(pickers, fakes, 1600, 10*time.Second)
			t.Logf("%d nodes: %v", nodes, served)
			require.LessOrEqual(t, served["t0"], 2*16000/4)
		})
	}
}

// Guards against equal shares for targets of unequal size, which would overload the small ones.
func TestTrafficFollowsSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newTargets(4, 40, "a")
		targets[0].Slots = 10
		pickers, fakes := newCluster(4, targets)
		served := sendRequests(pickers, fakes, 2000, 10*time.Second) // 77 % of the capacity of 2600 a second
		t.Logf("%v", served)
		require.InDelta(t, 20000*10/130, served["t0"], 400)
	})
}

// Guards against requests that leave their zone without need, and against a zone that queues requests while others idle.
func TestLocalZoneFirstUntilWorse(t *testing.T) {
	for rate, share := range map[float64][2]float64{270: {0.95, 1}, 1440: {0.4, 0.65}} {
		synctest.Test(t, func(t *testing.T) {
			pickers, fakes := newCluster(2, newTargets(4, 20, "a", "b")) // 800 a second in each zone
			served := sendRequests(pickers, fakes, rate, 10*time.Second)
			local := float64(served["t0"]+served["t2"]) / float64(total(served))
			t.Logf("rate %v: %v, local share %.3f", rate, served, local)
			require.GreaterOrEqual(t, local, share[0])
			require.LessOrEqual(t, local, share[1])
		})
	}
}

// Guards against requests that stay in their zone, whose only target has a queue, while a target of another zone has one of its
// twenty slots free. In the first case that target is the only one in the other zone, in the second there is another, which has
// a queue too.
func TestQueueOfLocalTargetCounts(t *testing.T) {
	for _, inFlight := range [][]int{{28, 19}, {28, 28, 19}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPicker("a", 1)
			targets, loads := newTargets(len(inFlight), 20, "b"), map[string]message.Load{}
			targets[0].Zone = "a"
			p.Update(targets)
			for i, n := range inFlight {
				loads[targets[i].Address] = message.Load{InFlight: n, Limit: 20}
			}
			counts := map[string]int{}
			for range 100 {
				target, done, ok := p.Pick(Request{})
				require.True(t, ok)
				counts[target.Address]++
				done(Result{Load: loads[target.Address]})
			}
			require.Greater(t, counts[targets[len(inFlight)-1].Address], 90)
		})
	}
}

// failPicks picks and reports failures of the target until it has failed n times. It gives up after 10,000 picks.
func failPicks(p *Picker, address string, n int) {
	for range 10_000 {
		target, done, _ := p.Pick(Request{})
		done(Result{Failed: target.Address == address && n > 0, Cancelled: target.Address != address})
		if target.Address == address {
			n--
		}
		if n <= 0 {
			return
		}
	}
}

// countPicks makes n picks and counts them per target.
func countPicks(p *Picker, n int) map[string]int {
	out := map[string]int{}
	for range n {
		target, done, ok := p.Pick(Request{})
		if ok {
			out[target.Address]++
			done(Result{Cancelled: true})
		}
	}
	return out
}

// Guards against ejecting so many targets that the rest is overloaded, and against a failing target that repeatedly gets its
// full share of traffic back.
func TestEjectionIsBoundedAndDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker("a", 1)
		p.Update(newTargets(4, 40, "a"))
		for i := range 4 {
			failPicks(p, fmt.Sprint("t", i), 5)
		}
		require.Equal(t, []string{"t0", "t1"}, p.Ejected())
		require.Zero(t, countPicks(p, 1000)["t0"])
		time.Sleep(time.Second + time.Millisecond)
		require.Empty(t, p.Ejected())
		got := countPicks(p, 4000)
		require.Less(t, got["t0"], 300, "a returning target starts with a small share")
		require.Positive(t, got["t0"])
		failPicks(p, "t0", 1)
		time.Sleep(1900 * time.Millisecond)
		require.Equal(t, []string{"t0"}, p.Ejected(), "one failure after the return ejects for twice the time")
		time.Sleep(200 * time.Millisecond)
		require.Empty(t, p.Ejected())
		time.Sleep(DefaultRampTime)
		require.Greater(t, countPicks(p, 4000)["t0"], 800)
	})
}

// Guards against targets that keep their full share of requests while they fail some of them: their health checks pass, and too
// few failures are consecutive for an ejection. This must hold among targets of one zone, and for the only target of the node's
// own zone, which is preferred otherwise. Also guards against avoiding such targets forever.
func TestPartlyFailingTargetGetsLess(t *testing.T) {
	for _, zones := range [][]string{{"a"}, {"a", "b", "c", "d"}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPicker("a", 1)
			p.Update(newTargets(4, 40, zones...))
			rng := rand.New(rand.NewPCG(1, 2))
			run := func(n int, failing float64) (share float64) {
				for range n {
					target, done, _ := p.Pick(Request{})
					time.Sleep(5 * time.Millisecond)
					failed := target.Address == "t0" && rng.Float64() < failing
					if target.Address == "t0" {
						share += 1 / float64(n)
					}
					done(Result{Failed: failed, Load: message.Load{InFlight: 5, Limit: 40}})
				}
				return share
			}
			baseline := run(1000, 0)
			require.Greater(t, baseline, 0.2)
			require.Less(t, run(1000, 0.3), baseline/3)
			require.Empty(t, p.Ejected())
			run(2000, 0) // 10 s without failures
			require.Greater(t, run(1000, 0), 0.8*baseline)
		})
	}
}

// Guards against uneven load among targets that all have the same failure rate.
func TestEquallyFailingTargetsShareTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker("a", 1)
		p.Update(newTargets(4, 40, "a"))
		rng := rand.New(rand.NewPCG(1, 2))
		got := map[string]int{}
		for range 4000 {
			target, done, _ := p.Pick(Request{})
			time.Sleep(5 * time.Millisecond)
			got[target.Address]++
			done(Result{Failed: rng.Float64() < 0.1, Load: message.Load{InFlight: 5, Limit: 40}})
		}
		for address, n := range got {
			require.InDelta(t, 1000, n, 1000.0/3, address)
		}
	})
}

// Guards against slow targets that keep their full share, and against ejecting a target that is only somewhat slower.
func TestOutlierLatency(t *testing.T) {
	for factor, ejected := range map[time.Duration]bool{4: false, 10: true} {
		synctest.Test(t, func(t *testing.T) {
			pickers, fakes := newCluster(1, newTargets(4, 40, "a"))
			fakes["t0"].service *= factor
			served := sendRequests(pickers, fakes, 800, time.Second)
			t.Logf("factor %d: %v, ejected %v", factor, served, pickers[0].Ejected())
			require.Equal(t, ejected, len(pickers[0].Ejected()) > 0)
			require.Less(t, served["t0"], 800/4)
		})
	}
}

// Guards against picks of excluded, removed or leaving targets, and against in-flight counts that are lost in an update.
func TestExcludeAndUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker("a", 1)
		_, _, ok := p.Pick(Request{})
		require.False(t, ok)
		p.Update(newTargets(2, 40, "a"))
		for range 100 {
			target, done, ok := p.Pick(Request{}, "t0")
			require.True(t, ok)
			require.Equal(t, "t1", target.Address)
			done(Result{Refused: true})
			done(Result{Refused: true}) // a second call must not count
		}
		_, _, ok = p.Pick(Request{}, "t0", "t1")
		require.False(t, ok)
		_, done, _ := p.Pick(Request{}, "t0")
		done(Result{Leaving: true})
		require.Equal(t, map[string]int{"t0": 100}, countPicks(p, 100), "a leaving target must get no work while another one is available")
		time.Sleep(leavingTime)
		_, done, _ = p.Pick(Request{}, "t1")
		p.Update(newTargets(3, 40, "b"))
		require.EqualValues(t, 1, p.snapshot.Load().all[0].inFlight.Load())
		done(Result{})
		require.Zero(t, p.snapshot.Load().all[0].inFlight.Load())
		got := countPicks(p, 4000)
		require.Less(t, got["t2"], 400, "a new target starts with a small share")
		p.Update(newTargets(1, 40, "b"))
		require.Equal(t, map[string]int{"t0": 100}, countPicks(p, 100))
	})
}

// Guards against data races between picks, results, ejections and updates.
func TestConcurrentUse(t *testing.T) {
	p := newPicker("a", 1)
	p.Update(newTargets(4, 40, "a", "b"))
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 2000 {
				if w == 0 && i%50 == 0 {
					p.Update(newTargets(3+i%3, 40, "a", "b"))
				}
				if _, done, ok := p.Pick(Request{}, "t1"); ok {
					done(Result{Failed: i%3 == 0, Load: message.Load{InFlight: i % 40, Limit: 40}})
				}
			}
		})
	}
	wg.Wait()
	for _, m := range p.snapshot.Load().all {
		require.Zero(t, m.inFlight.Load())
	}
}

func BenchmarkPick(b *testing.B) {
	noEjection := testBalance
	noEjection.EjectShare = 0 // a busy machine delays goroutines, which makes targets look slow
	for _, n := range []int{4, 40} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			p := New("a", noEjection, DefaultRampTime)
			p.Update(newTargets(n, 40, "a", "b", "c"))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_, done, _ := p.Pick(Request{})
					done(Result{Load: message.Load{InFlight: 1, Limit: 40}})
				}
			})
		})
	}
}
