package window

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeService is a downstream service with a fixed number of slots, for which calls wait in order of arrival.
type fakeService struct {
	slots chan struct{}
	work  time.Duration
}

// call runs one call in a slot and returns the time for which it waited for the slot.
func (d *fakeService) call(rng *rand.Rand) time.Duration {
	start := time.Now()
	d.slots <- struct{}{}
	waited := time.Since(start)
	time.Sleep(time.Duration(2 * rng.Float64() * float64(d.work)))
	<-d.slots
	return waited
}

// surge starts chains of eight consecutive calls each, at the given rate per second for ten seconds. With a window w, it starts
// only those that the window allows. It returns the numbers of chains that ended within the deadline, that were started and that
// were sent.
func surge(rate float64, deadline time.Duration, w *Window, service *fakeService) (ended, started, sent int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 1))
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		sent++
		if w != nil && !w.TryStart() {
			continue
		}
		started++
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		wg.Go(func() {
			begin := time.Now()
			var r RunStats
			for calls := 0; calls < 8 && time.Since(begin) < deadline; calls++ {
				at := time.Now()
				waited := service.call(own)
				if w != nil {
					w.RecordCall(time.Since(at), waited, false)
				}
				r.CallQueueTime += waited
				r.CallServiceTime += time.Since(at) - waited
			}
			if w != nil {
				r.Elapsed, r.TimeAllowed = time.Since(begin), deadline
				r.Completed = r.Elapsed < deadline
				w.Finish(r)
			}
			mu.Lock()
			defer mu.Unlock()
			if time.Since(begin) < deadline {
				ended++
			}
		})
	}
	wg.Wait()
	return ended, started, sent
}

// Guards against a surge of chains that all call one service and then all exceed their deadline. At 1.5 times the capacity of the
// service, the chains that are started must end in time, and the service must stay busy.
func TestStartedChainsEndInTimeUnderOverload(t *testing.T) {
	const (
		slots         = 20
		work          = 50 * time.Millisecond
		capacity      = slots / (8 * 0.05) // chains per second
		deadline      = 800 * time.Millisecond
		surgeCapacity = 10 * capacity // chains in ten seconds
	)
	synctest.Test(t, func(t *testing.T) {
		ended, _, _ := surge(1.5*capacity, deadline, nil, &fakeService{make(chan struct{}, slots), work})
		require.Less(t, float64(ended), surgeCapacity/2, "without a window most chains exceed their deadline")
		ended, started, sent := surge(1.5*capacity, deadline, new(Window), &fakeService{make(chan struct{}, slots), work})
		require.Greater(t, float64(ended), 0.95*float64(started), "of the chains started")
		require.Greater(t, float64(ended), 0.8*surgeCapacity, "of the capacity of the service")
		t.Logf("%d sent, %d started, %d ended", sent, started, ended)
	})
}

// Guards against refusals without an overload: chains are never refused while the service that they call has free slots.
func TestNoChainIsRefusedWithoutAnOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, started, sent := surge(20, 800*time.Millisecond, new(Window), &fakeService{make(chan struct{}, 20), 50 * time.Millisecond})
		require.Equal(t, sent, started)
	})
}

// Guards against a limit that outlasts its overload: once calls no longer wait, as many runs as before must be allowed within the
// two seconds in which the system has to recover.
func TestLimitRisesAfterAnOverload(t *testing.T) {
	const runs = 40
	w := new(Window)
	for range runs {
		require.True(t, w.TryStart())
	}
	for range 20 * roundCalls {
		w.RecordCall(time.Second, 900*time.Millisecond, false)
	}
	require.False(t, w.TryStart())
	for range runs {
		w.Finish(RunStats{})
	}
	// Each run makes two calls and lasts 0.2 s, and more runs are offered than the limit allows. In each step all runs in progress
	// make their calls and end, so ten steps are two seconds.
	running := 0
	for range 10 {
		ending := running
		for range 2 * max(1, ending) {
			w.RecordCall(100*time.Millisecond, 0, false)
			for w.TryStart() {
				running++
			}
		}
		if running >= runs {
			return
		}
		for range ending {
			w.Finish(RunStats{})
			running--
		}
	}
	require.Fail(t, "the limit did not recover")
}

// Guards against ignoring calls that are refused at once: they have no queue time but must lower the limit.
func TestRefusedCallsLowerTheLimit(t *testing.T) {
	w := new(Window)
	for range 10 {
		require.True(t, w.TryStart())
	}
	for range roundCalls {
		w.RecordCall(time.Millisecond, 0, true)
	}
	require.False(t, w.TryStart())
	require.Less(t, w.limit, 10.0)
}

// Guards against refusing short chains that have time to wait: when their calls queue behind long requests of the service that
// they call, each call waits as long as it is processed, and the chains still end far within their deadline.
func TestWaitIsAllowedWhileRunsHaveSpareTime(t *testing.T) {
	const work, wait = 50 * time.Millisecond, 50 * time.Millisecond
	for _, c := range []struct {
		allowed time.Duration
		full    bool
	}{{3 * time.Second, false}, {700 * time.Millisecond, true}} {
		w := new(Window)
		w.TryStart()
		w.Finish(RunStats{Elapsed: 8 * (work + wait), TimeAllowed: c.allowed, CallQueueTime: 8 * wait, CallServiceTime: 8 * work, Completed: true})
		for range 10 {
			require.True(t, w.TryStart())
		}
		for range roundCalls {
			w.RecordCall(work+wait, wait, false)
		}
		require.Equal(t, c.full, !w.TryStart(), "allowed %v", c.allowed)
	}
}

// Guards against a limit that stays low for good when the runs of its route stop making calls, so that no call can show that the
// overload is over.
func TestLimitRisesWhenRunsStopMakingCalls(t *testing.T) {
	w := new(Window)
	for range 20 {
		require.True(t, w.TryStart())
	}
	for range 20 * roundCalls {
		w.RecordCall(time.Second, 900*time.Millisecond, false)
	}
	for range 20 {
		w.Finish(RunStats{})
	}
	for range 20 { // two seconds
		running := 0
		for running < 20 && w.TryStart() {
			running++
		}
		for range running {
			w.Finish(RunStats{Elapsed: 100 * time.Millisecond, TimeAllowed: time.Second, Completed: true})
		}
	}
	for range 20 {
		require.True(t, w.TryStart())
	}
}
