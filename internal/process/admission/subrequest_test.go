package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against a surge of sub-requests that starves the new requests for the same service: while sub-requests arrive
// faster than the target processes them, new requests still get their share of the slots, and no more.
func TestSubrequestsDoNotStarveNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, share = 10, 0.2
		c := New(Limits{Slots: slots, Connections: slots, QueueLength: 2 * slots, QueueMaxWait: 50 * time.Millisecond,
			SubrequestsFirst: true, NewRequestShare: share})
		var mu sync.Mutex
		ended := map[bool]int{}
		var done sync.WaitGroup
		arrive := func(subrequest bool) {
			done.Go(func() {
				p, err := c.Acquire(context.Background(), Work{Priority: 20000, Subrequest: subrequest, MaxWait: 50 * time.Millisecond})
				if err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
				p.Release(Result{Latency: 20 * time.Millisecond})
				mu.Lock()
				ended[subrequest]++
				mu.Unlock()
			})
		}
		// A sub-request per millisecond, twice what the target can serve, and a new request every second millisecond.
		for range 1000 {
			arrive(true)
			if time.Now().UnixMilli()%2 == 0 {
				arrive(false)
			}
			time.Sleep(time.Millisecond)
		}
		done.Wait()
		total := ended[true] + ended[false]
		require.Greater(t, total, 450, "the target is busy")
		require.InDelta(t, share, float64(ended[false])/float64(total), 0.05)
	})
}

// Guards against sub-requests that displace new requests one by one once their own part of the queue is full, and
// against SetLimits shortening the queue of sub-requests to that of new requests.
func TestSubrequestsAndNewRequestsHaveSeparateQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := Limits{Slots: 1, Connections: 1, QueueLength: 2, QueueMaxWait: time.Minute, SubrequestsFirst: true, NewRequestShare: 0.1}
		c := New(l)
		running := fillSlots(t, c)
		ctx, leave := context.WithCancel(t.Context())
		wait := func(subrequest bool, n int) []*outcome {
			var all []*outcome
			for range n {
				all = append(all, queueUp(ctx, c, Work{Priority: 20000, Subrequest: subrequest, MaxWait: time.Minute}))
			}
			return all
		}
		refused := func(all []*outcome) int {
			n := 0
			for _, o := range all {
				if o.reason() == message.ReasonOverload {
					n++
				}
			}
			return n
		}
		newRequests, subrequests := wait(false, 3), wait(true, 8)
		require.Equal(t, 1, refused(newRequests))
		require.Equal(t, 8-longQueueFactor*l.QueueLength, refused(subrequests))
		c.SetLimits(l)
		synctest.Wait()
		require.Equal(t, 1, refused(newRequests))
		require.Equal(t, 8-longQueueFactor*l.QueueLength, refused(subrequests))
		l.QueueLength = 1
		c.SetLimits(l)
		synctest.Wait()
		require.Equal(t, 2, refused(newRequests))
		require.Equal(t, 8-longQueueFactor, refused(subrequests))
		leave()
		running[0].Release(Result{Latency: time.Millisecond})
	})
}

// Guards against refusing short sub-requests for lack of time because the target mostly runs long requests, for example
// after all targets have started cold: upstream hops have worked on these sub-requests, and they can still meet their
// deadlines.
func TestShortSubrequestIsNotRefusedForLongRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Limits{Slots: 4, Connections: 4, QueueLength: 4, QueueMaxWait: 50 * time.Millisecond, MixedServiceTimes: true})
		for range 20 {
			p, err := c.Acquire(t.Context(), Work{Priority: 20000})
			require.NoError(t, err)
			time.Sleep(time.Second)
			p.Release(Result{Latency: time.Second})
		}
		running, err := c.Acquire(t.Context(), Work{Priority: 20000})
		require.NoError(t, err)
		p, err := c.Acquire(t.Context(), Work{Priority: 20000, Subrequest: true, Deadline: time.Now().Add(500 * time.Millisecond)})
		require.NoError(t, err)
		p.Release(Result{Latency: 20 * time.Millisecond})
		running.Release(Result{Latency: time.Second})
	})
}
