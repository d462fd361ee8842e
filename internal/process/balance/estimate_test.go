package balance

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// answer lets a picker learn that requests of a kind take the given time at each target.
func answer(p *Picker, kind string, took map[string]time.Duration) {
	n := p.kindNumber(kind)
	for _, m := range p.snapshot.Load().all {
		p.recordTiming(m, n, message.Timing{Own: took[m.Address], Slowdown: 1}, 0, p.now())
	}
}

// share returns the share of n requests that each target gets.
func share(p *Picker, w Request, n int) map[string]float64 {
	out := map[string]float64{}
	for range n {
		if target, done, ok := p.Pick(w); ok {
			out[target.Address] += 1 / float64(n)
			done(Result{Cancelled: true})
		}
	}
	return out
}

// Guards against requests with a near objective at targets that cannot meet it, and against estimates that change the choice where the
// objective is far, has passed, or does not exist.
func TestNearObjectiveAvoidsSlowTargets(t *testing.T) {
	p := newPicker("a", 1)
	p.Update(newTargets(4, 40, "a"))
	const ms = time.Millisecond
	answer(p, "read", map[string]time.Duration{"t0": 250 * ms, "t1": 60 * ms, "t2": 60 * ms, "t3": 60 * ms})
	require.Less(t, share(p, Request{"read", 300 * ms}, 4000)["t0"], 0.05)
	for _, w := range []Request{{}, {"read", 0}, {"read", -time.Second}, {"read", 2 * time.Second}, {"other", 300 * ms}, {"read", 10 * ms}} {
		require.InDelta(t, 0.25, share(p, w, 4000)["t0"], 0.03, "%v", w)
	}
}

// Guards against requests that stay with the only target of their zone while it pauses, that leave the zone for a target that is full
// or just as slow, and against a pause that counts for long after its last report.
func TestPausingLocalTargetIsLeftForATime(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		slowdown, remoteSlowdown float64
		remoteLoad               int
		low, high                float64 // expected local share
	}{
		"pauses":                  {2.5, 1, 10, 0, 0.01},
		"as usual":                {1, 1, 10, 0.97, 1},
		"pauses, others are full": {2.5, 1, 39, 0.97, 1},
		"all pause":               {2.5, 2.5, 10, 0.97, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPicker("a", 1)
				p.Update(newTargets(3, 40, "a", "b", "c"))
				answer(p, "read", map[string]time.Duration{"t0": 107 * ms, "t1": 107 * ms, "t2": 107 * ms})
				for i, s := range []float64{c.slowdown, c.remoteSlowdown, c.remoteSlowdown} {
					load := message.Load{InFlight: 10, Limit: 40}
					if i > 0 {
						load.InFlight = c.remoteLoad
					}
					p.SetCondition(fmt.Sprint("t", i), Condition{Load: load, Slowdown: s})
				}
				got := share(p, Request{"read", 300 * ms}, 1000)["t0"]
				require.GreaterOrEqual(t, got, c.low)
				require.LessOrEqual(t, got, c.high)
				time.Sleep(2 * time.Second)
				require.Greater(t, share(p, Request{"read", 300 * ms}, 1000)["t0"], 0.9)
			})
		})
	}
}

// Guards against ejecting a target that got the longer kind of request by chance, and against keeping one whose times confirm that it is
// far slower than the others.
func TestEstimatesConfirmOutliers(t *testing.T) {
	for slow, ejected := range map[time.Duration]bool{10 * time.Millisecond: false, 200 * time.Millisecond: true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPicker("a", 1)
			p.Update(newTargets(4, 40, "a"))
			const ms = time.Millisecond
			answer(p, "short", map[string]time.Duration{"t0": slow, "t1": 10 * ms, "t2": 10 * ms, "t3": 10 * ms})
			for range 400 {
				target, done, _ := p.Pick(Request{Kind: "short"})
				if target.Address == "t0" {
					time.Sleep(200 * ms)
				}
				done(Result{})
			}
			require.Equal(t, ejected, len(p.Ejected()) > 0 || p.snapshot.Load().all[0].returning.Load())
		})
	}
}

// Guards against figures that no target can have: they must count as absent, be counted, and leave earlier ones in force.
func TestFiguresOutOfRangeCountAsAbsent(t *testing.T) {
	p := newPicker("a", 1)
	p.Update(newTargets(2, 40, "a"))
	answer(p, "read", map[string]time.Duration{"t0": 50 * time.Millisecond, "t1": 50 * time.Millisecond})
	m := p.snapshot.Load().all[0]
	bad := []message.Timing{
		{Own: -1, Slowdown: 1}, {Own: math.MaxInt64, Slowdown: 1}, {Own: time.Second}, {Own: time.Second, Slowdown: math.NaN()},
		{Own: time.Second, Slowdown: math.Inf(1)}, {Own: time.Second, Slowdown: -1}, {Own: time.Second, Slowdown: 1, Calls: -1},
		{Own: time.Second, Slowdown: 1, Spent: math.MinInt64},
	}
	for _, b := range bad {
		p.recordTiming(m, p.kindNumber("read"), b, 0, p.now())
	}
	p.SetCondition("t0", Condition{Slowdown: math.NaN()})
	require.EqualValues(t, len(bad)+1, p.IgnoredFigures())
	own, _ := m.estimate(p.kindNumber("read"), p.now())
	require.InDelta(t, 50e6, own, 1)
	p.SetCondition("t0", Condition{}) // of a node that does not report it
	require.EqualValues(t, len(bad)+1, p.IgnoredFigures())
}

// Guards against memory that grows with the names of routes.
func TestKindsAreBounded(t *testing.T) {
	p := newPicker("a", 1)
	p.Update(newTargets(1, 40, "a"))
	for i := range 3 * maxKinds {
		p.Pick(Request{Kind: fmt.Sprint(i)})
	}
	require.Len(t, *p.kinds.numbers.Load(), maxKinds)
	require.Zero(t, p.kindNumber("one more"))
}

// highestInFlight returns the most requests that are in flight at once at each target. The nodes send requests that take the given
// time for four seconds, at half of the rate that all targets can carry, on load figures that are up to half a second old.
func highestInFlight(t *testing.T, nodes int, work map[string]time.Duration, slots int, w Request) map[string]int {
	t.Helper()
	highest := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		const refresh = 500 * time.Millisecond
		var mu sync.Mutex
		inFlight := map[string]int{}
		var pickers []*Picker
		for i := range nodes {
			p := newPicker("a", uint64(i))
			p.Update(newTargets(len(work), slots, "a"))
			pickers = append(pickers, p)
			answer(p, "read", work)
		}
		rate := 0.0
		for _, d := range work {
			rate += 0.5 * float64(slots) / d.Seconds()
		}
		rng := rand.New(rand.NewPCG(1, 3))
		var all sync.WaitGroup
		for at := time.Duration(0); at < 4*time.Second; at += time.Millisecond {
			mu.Lock()
			for i := 0; i < len(pickers) && at%refresh == 0; i++ {
				for address, n := range inFlight {
					pickers[i].SetCondition(address, Condition{Load: message.Load{InFlight: n, Limit: slots}, Slowdown: 1})
				}
			}
			mu.Unlock()
			for range int(rate/1000 + rng.Float64()) {
				target, done, _ := pickers[rng.IntN(nodes)].Pick(w)
				all.Go(func() {
					mu.Lock()
					inFlight[target.Address]++
					highest[target.Address] = max(highest[target.Address], inFlight[target.Address])
					mu.Unlock()
					time.Sleep(work[target.Address])
					mu.Lock()
					inFlight[target.Address]--
					mu.Unlock()
					done(Result{}) // without figures, so that those of the conditions stay as old as they are
				})
			}
			time.Sleep(time.Millisecond)
		}
		all.Wait()
	})
	return highest
}

// Guards against nodes that all turn to the fastest target because they decide on the same old figures. Five targets serve requests of
// 75 ms with an objective of 300 ms, and four of them are at 0.3 of their speed. The fastest one must not run out of slots, and no
// target may be fuller than without the objective by more than the noise of arrivals.
func TestNodesDoNotHerdOnTheFastestTarget(t *testing.T) {
	const slots, noise = 90, 10
	work := map[string]time.Duration{}
	for i := range 5 {
		work[fmt.Sprint("t", i)] = 250 * time.Millisecond
	}
	work["t4"] = 75 * time.Millisecond
	for _, nodes := range []int{2, 60, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			with := highestInFlight(t, nodes, work, slots, Request{"read", 300 * time.Millisecond})
			without := highestInFlight(t, nodes, work, slots, Request{"read", 0})
			t.Logf("highest in flight with an objective %v, without %v", with, without)
			require.Less(t, with["t4"], slots)
			require.LessOrEqual(t, slices.Max(slices.Collect(maps.Values(with))), slices.Max(slices.Collect(maps.Values(without)))+noise)
		})
	}
}

func BenchmarkPickWithObjective(b *testing.B) {
	noEjection := testBalance
	noEjection.EjectShare = 0
	p := New("a", noEjection, DefaultRampTime)
	p.Update(newTargets(40, 40, "a", "b", "c"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, done, _ := p.Pick(Request{"read", 300 * time.Millisecond})
			done(Result{
				Load:   message.Load{InFlight: 1, Limit: 40},
				Timing: message.Timing{Own: 75 * time.Millisecond, Slowdown: 1.1, Spent: time.Microsecond},
			})
		}
	})
}
