package mesh

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against a surge of chains that call a service with few slots, in which its full queue refuses a call of nearly every
// chain. A chain makes no other call while one of its calls waits, so calls may wait in a queue that is longer than that of new
// requests.
func TestCallsWaitInALongerQueueThanNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const chains, callsEach, slots = 16, 5, 4
		n := newNode(t, 0)
		n.attach(slots, &slowTarget{time: 30 * time.Millisecond})
		var lost atomic.Int32
		var done sync.WaitGroup
		for i := range chains {
			done.Go(func() {
				for j := range callsEach {
					call := delivered(strconv.Itoa(i)+"."+strconv.Itoa(j), 2, priorityOf(routeRank(testRoutes[0]), strconv.Itoa(i), false))
					call.Deadline = time.Now().Add(700 * time.Millisecond)
					if n.proxy.Deliver(t.Context(), call).Outcome != message.Answered {
						lost.Add(1)
						return
					}
				}
			})
		}
		done.Wait()
		require.Zero(t, lost.Load())
		require.Equal(t, message.ReasonOverload, func() message.Reason {
			for range 3 * slots {
				done.Go(func() { n.proxy.Deliver(t.Context(), delivered("new", 0, 100)) })
			}
			synctest.Wait()
			defer done.Wait()
			return n.proxy.Deliver(t.Context(), delivered("another", 0, 100)).Reason
		}(), "the queue is longer for calls only")
	})
}

// Guards against calls that wait for a slot for more than their share of the time left until the deadline.
func TestWaitIsAShareOfTheTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 0)
		n.attach(1, &slowTarget{time: 5 * time.Second})
		go n.proxy.Deliver(t.Context(), delivered("running", 0, 100))
		synctest.Wait()
		start := time.Now()
		r := n.proxy.Deliver(t.Context(), delivered("call", 1, 100))
		require.Equal(t, message.NotRun, r.Outcome)
		require.Equal(t, time.Duration(callWaitShare*float64(time.Second)), time.Since(start))
		time.Sleep(10 * time.Second)
	})
}
