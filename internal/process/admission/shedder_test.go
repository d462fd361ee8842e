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
		sh.lower(0, &m, use)
	}
	require.Less(t, sh.threshold, before)
	spare := perInterval * (1 - use) / use
	require.LessOrEqual(t, float64(before-sh.threshold)*perPriority, spare)
}
