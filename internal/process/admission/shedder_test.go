package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against refusing sub-requests, which wastes the work of upstream hops, because their priority is below the
// threshold within its rank, and against admitting sub-requests of a lower rank than that of the threshold.
func TestSubrequestIsShedByRankOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(testLimits(4))
		permits := fillSlots(t, c)
		c.shedder.threshold = rankRead<<8 | 200
		later := time.Now().Add(time.Second)
		_, err := c.Acquire(t.Context(), Work{Priority: rankRead<<8 | 100, Deadline: later})
		require.Error(t, err)
		_, err = c.Acquire(t.Context(), Work{Priority: (rankRead-1)<<8 | 255, Deadline: later, Subrequest: true})
		require.Error(t, err)
		waiting := queueUp(context.Background(), c, Work{Priority: rankRead<<8 | 100, Deadline: later, Subrequest: true})
		synctest.Wait()
		require.Equal(t, 1, c.queue.len())
		for _, p := range permits {
			p.Release(Result{Latency: time.Millisecond})
		}
		synctest.Wait()
		require.Equal(t, message.ReasonNone, waiting.reason())
	})
}

// Guards against a threshold that falls too far before its effect shows. Entry nodes shed the requests below it. Those that
// they admit after a decrease arrive here four intervals later, and the threshold falls in each of these. The requests
// admitted by all four decreases must not exceed the idle slots.
func TestThresholdStepsFitIdleSlots(t *testing.T) {
	const lowest, perInterval, use = 0xd0, 12, 0.8
	sh := shedder{threshold: rankRead<<8 | lowest, returnStep: 1}
	perPriority := float64(perInterval) / (256 - lowest)
	var m meter
	for i := range perInterval {
		m.recordArrival(message.Priority(rankRead<<8|lowest+4*i), sh.threshold)
	}
	m.departures = perInterval
	sh.recordRank(rankRead, 0)
	for range 500 { // until the averages have converged
		sh.updateDemand(&m, use, perInterval, tickInterval)
	}
	before := sh.threshold
	for range 4 {
		sh.lower(0, tickInterval, &m, use)
	}
	require.Less(t, sh.threshold, before)
	spare := perInterval * (1 - use) / use
	require.LessOrEqual(t, float64(before-sh.threshold)*perPriority, spare)
}

// Guards against a threshold that outlives an overload because few requests arrive at the target: as long as other nodes shed the
// requests below it, no more of them will.
func TestThresholdFallsInTimeWithFewRequests(t *testing.T) {
	for gap := 100 * time.Millisecond; gap <= thresholdExpiry; gap += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newController(testLimits(40))
			l := &load{c: c, target: newTarget(40, 50*time.Millisecond, false), timeout: time.Second,
				rates: map[uint8]float64{rankOrder: 200, 20: 200, rankRead: 1600}}
			l.run(5 * time.Second)
			require.Greater(t, c.Threshold(), message.Priority(rankRead<<8))
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(gap) {
				p, err := c.Acquire(t.Context(), Work{Priority: rankOrder << 8, Deadline: end})
				require.NoError(t, err)
				p.Release(Result{Latency: 50 * time.Millisecond})
			}
			require.Zero(t, c.Threshold(), "a request every %v", gap)
		})
	}
}
