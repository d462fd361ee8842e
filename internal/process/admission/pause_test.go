package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that refuses orders for overload just after its process was resumed from a pause. Its target
// counts as cold then, so that few requests run at once. The requests that were in flight during the pause end with the
// length of the pause as their latency. When that was taken for the service time, the expected wait behind two queued
// orders exceeded the longest wait allowed for an order.
func TestPauseIsNotCountedAsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, usual = 3 * time.Second, 20 * time.Millisecond
		l := testLimits(40)
		l.QueueMaxWait, l.LongWaitRank = 2*time.Second, rankOrder
		c := newController(l)
		running, err := c.Acquire(t.Context(), Work{Priority: rankOrder << 8})
		require.NoError(t, err)
		time.Sleep(pause)
		c.StartRamp()
		running.Release(Result{Latency: pause, Paused: true})

		burst := make([]*outcome, 4*c.Load().Limit) // requests sent by callers during the pause
		for i := range burst {
			burst[i] = queueUp(t.Context(), c, Work{Priority: rankOrder << 8, Deadline: time.Now().Add(8 * time.Second)})
		}
		for i, o := range burst {
			time.Sleep(usual)
			synctest.Wait()
			require.NoError(t, o.err, "order %d of %d", i, len(burst))
			require.NotNil(t, o.permit, "order %d of %d", i, len(burst))
			o.permit.Release(Result{Latency: usual})
		}
	})
}
