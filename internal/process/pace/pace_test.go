package pace

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	slots   = 40
	service = 100 * time.Millisecond
)

// target answers requests in the order of their ends. Its time and failures are functions of the time since the start and of the
// requests in flight.
type target struct {
	took      func(since time.Duration, inFlight int) time.Duration
	fails     func(since time.Duration) bool
	reference time.Duration
	demand    int // requests that wait for a slot at any time
}

// play runs a paced target for a time and returns the limit at the end of each tenth of a second, and the causes of its changes.
func play(t *testing.T, p *Pacer, g target, length time.Duration) (limits []int, causes []Cause) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		var mu sync.Mutex
		var all sync.WaitGroup
		inFlight := 0
		for since := time.Duration(0); since < length; since = time.Since(begin) {
			mu.Lock()
			for ; inFlight < min(g.demand, p.Limit(slots)); inFlight++ {
				took := g.took(since, inFlight+1)
				all.Go(func() {
					sent := time.Since(begin)
					time.Sleep(took)
					mu.Lock()
					defer mu.Unlock()
					inFlight--
					now := time.Since(begin)
					a := Answer{Own: took, Usual: service, Reference: g.reference, Failed: g.fails != nil && g.fails(now)}
					if c := p.Answered(sent, now, a); c != None {
						causes = append(causes, c)
					}
				})
			}
			mu.Unlock()
			if since/time.Millisecond%100 == 99 {
				limits = append(limits, p.Limit(slots))
			}
			time.Sleep(time.Millisecond)
		}
		all.Wait()
	})
	return limits, causes
}

func steady(d time.Duration) func(time.Duration, int) time.Duration {
	return func(time.Duration, int) time.Duration { return d }
}

// cold answers in twice the time for three seconds.
func cold(since time.Duration, _ int) time.Duration {
	if since < 3*time.Second {
		return 2 * service
	}
	return service
}

// Case: one new target among many warm ones, at half of its speed for three seconds. Guards against a flood at first, against a ramp
// that takes longer than the answers need, and against one that ends while the target is cold.
func TestNewTargetAmongMany(t *testing.T) {
	p := New(Default())
	p.Start(0, 0, true)
	limits, causes := play(t, p, target{took: cold, reference: service, demand: slots}, 6*time.Second)
	require.LessOrEqual(t, limits[0], slots/2)
	require.Equal(t, slots, limits[9], "after a second")
	require.False(t, p.Ramping())
	require.Equal(t, []Cause{Level}, causes[len(causes)-1:])
	require.InDelta(t, 1, p.Share(), 0)
}

// Case: all targets restarted at once, or half of the targets replaced at once. Guards against capacity that lies idle while there is
// no warm target to take the requests, and against new targets that all start with all of their slots while there is.
func TestStartOfManyTargets(t *testing.T) {
	for warmPeers, least := range map[bool]int{false: slots, true: slots / 4} {
		p := New(Default())
		p.Start(0, 0, warmPeers)
		require.Equal(t, least, p.Limit(slots))
		limits, _ := play(t, p, target{took: cold, demand: slots}, 2*time.Second)
		require.Equal(t, slots, limits[9])
	}
}

// Case: a target that flaps, so that each of its processes lives for a second. Guards against a later start that inherits the pace of
// an earlier one.
func TestFlappingTargetStartsAnew(t *testing.T) {
	p := New(Default())
	for range 5 {
		p.Start(0, 0, true)
		require.Equal(t, slots/4, p.Limit(slots))
		limits, _ := play(t, p, target{took: steady(service), reference: service, demand: slots}, time.Second)
		require.Equal(t, slots, limits[len(limits)-1])
	}
}

// Case: a target that comes back at a third of its speed and stays so. Guards against a ramp that waits for ever to be level with the
// peers, and against a limit that stays low: its slots are as many as before.
func TestTargetThatStaysSlow(t *testing.T) {
	p := New(Default())
	p.Start(0, 0, true)
	limits, causes := play(t, p, target{took: steady(3 * service), reference: service, demand: slots}, 8*time.Second)
	require.Equal(t, slots, limits[len(limits)-1])
	require.False(t, p.Ramping())
	require.Equal(t, []Cause{Steady}, causes)
}

// Case: a target that is fast but fails four in ten requests for two seconds. Guards against a pace that grows with failures, stops
// the target, or does not recover.
func TestFastTargetThatFails(t *testing.T) {
	p := New(Default())
	p.Start(0, 0, true)
	rng := rand.New(rand.NewPCG(1, 1))
	failing := func(since time.Duration) bool { return since < 2*time.Second && rng.Float64() < 0.4 }
	limits, causes := play(t, p, target{took: steady(service / 10), fails: failing, reference: service, demand: slots}, 5*time.Second)
	sum := 0
	for _, l := range limits[:20] {
		require.GreaterOrEqual(t, l, slots/4)
		sum += l
	}
	require.Less(t, sum/20, slots*2/3)
	require.Contains(t, causes, Failures)
	require.Equal(t, slots, limits[len(limits)-1])
	require.False(t, p.Ramping())
}

// Case: a target that becomes three times as slow with more than half of its slots in use while it is cold. Guards against a limit
// that goes on growing, and against one that does not grow again.
func TestTargetThatSlowsDownUnderLoad(t *testing.T) {
	p := New(Default())
	p.Start(0, 0, true)
	took := func(since time.Duration, inFlight int) time.Duration {
		if since < 3*time.Second && inFlight > slots/2 {
			return 4 * service
		}
		return service
	}
	limits, causes := play(t, p, target{took: took, reference: service, demand: slots}, 8*time.Second)
	require.Contains(t, causes, Slower)
	require.Equal(t, slots, limits[len(limits)-1])
	require.False(t, p.Ramping())
}

// Case: a sole sender with one request at a time. Guards against a ramp that waits for proof that never comes.
func TestSoleSender(t *testing.T) {
	p := New(Default())
	p.Start(0, 0, true)
	_, causes := play(t, p, target{took: steady(service), reference: service, demand: 1}, 8*time.Second)
	require.False(t, p.Ramping())
	require.Equal(t, []Cause{Level}, causes)
}

// Case: a target that reports its warm-up, which may be false. Guards against a ramp that ends before the stated time, and against a
// false one that keeps the ramp for good.
func TestReportedWarmup(t *testing.T) {
	for warmup, ends := range map[time.Duration]bool{0: true, 3 * time.Second: false, -time.Second: true, 24 * time.Hour: true} {
		p := New(Default())
		p.Start(0, warmup, true)
		limits, _ := play(t, p, target{took: steady(service), reference: service, demand: slots}, 2*time.Second)
		require.Equal(t, !ends, p.Ramping(), "%v", warmup)
		require.Equal(t, slots, limits[9])
	}
}

// Guards against settings out of range, and against times that cannot be.
func TestBadInput(t *testing.T) {
	require.NoError(t, Default().Validate())
	err := Settings{StartShare: 1.5, FailureShare: -1, SlowFactor: 1}.Validate()
	require.ErrorIs(t, err, ErrSettings)
	for _, name := range []string{"start_share", "failure_share", "slow_factor"} {
		require.ErrorContains(t, err, name)
	}
	p := New(Default())
	require.Equal(t, 7, p.Limit(7), "no ramp")
	p.Start(0, 0, true)
	for _, n := range []int{1, 3} {
		require.Equal(t, n, p.Limit(n))
	}
	for range 100 {
		p.Answered(0, -time.Second, Answer{Own: -time.Second, Usual: -1, Reference: -1})
	}
	require.Positive(t, p.Limit(slots))
}
