package shed

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// newTable returns a Table whose random numbers have a fixed seed.
func newTable() *Table {
	t := New()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 2))
	t.random = func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	return t
}

// thresholds returns a list with the same threshold for each of the services.
func thresholds(p message.Priority, services ...string) []message.Threshold {
	var out []message.Threshold
	for _, s := range services {
		out = append(out, message.Threshold{Service: s, Priority: p})
	}
	return out
}

// admitted sends n requests at the same time and returns how many are admitted; at most one of them is a probe.
func admitted(t *Table, service, route string, p message.Priority, n int) int {
	count := 0
	for range n {
		if ok, _, _ := t.Admit(service, route, p); ok {
			count++
		}
	}
	return count
}

// Guards against shedding a recovered service for good: nothing is sent to it, so no response can report its recovery.
func TestThresholdExpiresWithoutResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		tb.Learn("menu", "list", thresholds(0x2000, "menu"))
		require.LessOrEqual(t, admitted(tb, "menu", "list", 0x1fff, 100), 1)
		require.Equal(t, 100, admitted(tb, "menu", "list", 0x2000, 100))
		time.Sleep(750 * time.Millisecond)
		require.LessOrEqual(t, admitted(tb, "menu", "list", 0x0800, 100), 1, "the lowest priorities are admitted last")
		require.Equal(t, 100, admitted(tb, "menu", "list", 0x1800, 100))
		time.Sleep(450 * time.Millisecond)
		require.Equal(t, 100, admitted(tb, "menu", "list", 0, 100))
	})
}

// Guards against a threshold under which no request reaches the service, so that its recovery goes unnoticed, and against probes
// so frequent that they cause an overload. Here all requests are below the threshold, and only the responses to probes renew it.
func TestProbesAreAdmittedAtALowRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		tb.Learn("menu", "list", thresholds(0x2000, "menu"))
		probes := 0
		for range 10_000 { // 10 s at 1000 requests per second
			if admitted(tb, "menu", "list", 0x1000, 1) > 0 {
				probes++
				tb.Learn("menu", "list", thresholds(0x2000, "menu"))
			}
			time.Sleep(time.Millisecond)
		}
		require.Greater(t, probes, 50)
		require.LessOrEqual(t, probes, 200)
	})
}

// Guards against probes, whose work is wasted, while admitted requests keep reporting the threshold.
func TestNoProbesWhileResponsesRenew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		for range 10_000 {
			tb.Learn("menu", "list", thresholds(0x2000, "menu"))
			require.Zero(t, admitted(tb, "menu", "list", 0x1000, 1))
			time.Sleep(time.Millisecond)
		}
	})
}

// Guards against shedding a route because of a service on which only another route of the same service depends.
func TestRouteIsShedForItsOwnDependenciesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		tb.Learn("menu", "order", append(thresholds(0, "menu"), thresholds(0x2000, "stock")...))
		tb.Learn("menu", "list", thresholds(0, "menu"))
		require.Equal(t, 100, admitted(tb, "menu", "list", 0x1000, 100))
		require.LessOrEqual(t, admitted(tb, "menu", "order", 0x1000, 100), 1)
		_, blocking, after := tb.Admit("menu", "order", 0x1000)
		require.Equal(t, "stock", blocking)
		require.Positive(t, after)
		require.Equal(t, thresholds(0x2000, "stock"), tb.Current("menu", "order"))
		time.Sleep(2 * freshPeriod)
		require.Empty(t, tb.Current("menu", "order"), "an old threshold would look new to the upstream hop")
		tb.Learn("menu", "order", thresholds(0, "stock"))
		require.Equal(t, thresholds(0, "stock"), tb.Current("menu", "order"))
	})
}

// Guards against a table that follows only the last response when the targets of a service have different thresholds.
func TestTargetsWithDifferentThresholds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		for i := range 1000 {
			tb.Learn("menu", "list", thresholds(message.Priority(i%2)*0x2000, "menu"))
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, admitted(tb, "menu", "list", 0x0800, 100), 1)
		require.Equal(t, 100, admitted(tb, "menu", "list", 0x1800, 100))
	})
}

// Guards against retry-after times that are all the same or that do not grow while an overload lasts.
func TestRetryAfterGrowsAndSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		seen := map[time.Duration]bool{}
		var first, last time.Duration
		for i := range 100 {
			tb.Learn("menu", "list", thresholds(0x2000, "menu"))
			if ok, _, after := tb.Admit("menu", "list", 0); !ok {
				seen[after] = true
				if i < 10 {
					first = max(first, after)
				}
				last = after
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.Greater(t, len(seen), 50)
		require.Greater(t, last, first)
		require.LessOrEqual(t, last, 2*maxRetryAfter)
	})
}

// Guards against a feedback between the shedding at the entry node and the admission control of the target that prolongs an
// overload. At 2.5 times the capacity, orders must be admitted and the slots must stay busy; 2 s after this load ends, everything
// must be admitted.
func TestEntryAndTargetRecover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		c := admission.New(admission.Limits{Slots: 40, Connections: 300, QueueLength: 40, QueueMaxWait: 200 * time.Millisecond})
		var mu sync.Mutex
		one := func(rng *rand.Rand, rank int, good, sent *int) {
			p := message.Priority(rank<<8 | rng.IntN(256))
			ok, _, _ := tb.Admit("menu", "list", p)
			if ok {
				permit, err := c.Acquire(t.Context(), admission.Work{Priority: p, Deadline: time.Now().Add(time.Second)})
				if ok = err == nil; ok {
					time.Sleep(50 * time.Millisecond)
					permit.Release(admission.Result{Latency: 50 * time.Millisecond})
				}
				tb.Learn("menu", "list", thresholds(c.Threshold(), "menu"))
			}
			mu.Lock()
			defer mu.Unlock()
			*sent++
			if ok {
				*good++
			}
		}
		send := func(d time.Duration, orders, reads float64) (goodOrders, sentOrders, goodReads, sentReads int) {
			rng := rand.New(rand.NewPCG(3, 4))
			var wg sync.WaitGroup
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(time.Duration(rng.ExpFloat64() / (orders + reads) * float64(time.Second)))
				own := rand.New(rand.NewPCG(rng.Uint64(), 5))
				if rng.Float64() < orders/(orders+reads) {
					wg.Go(func() { one(own, 30, &goodOrders, &sentOrders) })
				} else {
					wg.Go(func() { one(own, 10, &goodReads, &sentReads) })
				}
			}
			wg.Wait()
			return
		}
		goodOrders, sentOrders, goodReads, sentReads := send(10*time.Second, 300, 1700)
		t.Logf("orders %d of %d, reads %d of %d, capacity 8000", goodOrders, sentOrders, goodReads, sentReads)
		require.GreaterOrEqual(t, float64(goodOrders), 0.999*float64(sentOrders))
		require.GreaterOrEqual(t, float64(goodOrders+goodReads), 0.95*8000)
		send(2*time.Second, 100, 300)
		require.Zero(t, c.Threshold())
		goodOrders, sentOrders, goodReads, sentReads = send(time.Second, 100, 300)
		require.Equal(t, sentOrders+sentReads, goodOrders+goodReads)
	})
}

// Guards against lost entries and data races when many requests see a route or service for the first time at once.
func TestConcurrentLearning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // virtual time: on a busy machine the thresholds would be stale at the end
		tb := newTable()
		var wg sync.WaitGroup
		for w := range 8 {
			wg.Go(func() {
				for i := range 200 {
					s := fmt.Sprint("s", i%20)
					tb.Learn("root", fmt.Sprint("r", w%2), thresholds(0x1000, s))
					tb.Admit("root", "r0", 0x0fff)
					tb.Current("root", "r1")
				}
			})
		}
		wg.Wait()
		require.Len(t, tb.Current("root", "r0"), 20)
		require.Len(t, tb.Current("root", "r1"), 20)
	})
}

func BenchmarkAdmit(b *testing.B) {
	tb := New()
	tb.Learn("menu", "order", thresholds(0x100, "menu", "stock", "accounts"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tb.Admit("menu", "order", 0x2000)
		}
	})
}

func BenchmarkLearn(b *testing.B) {
	tb := New()
	l := thresholds(0x100, "menu", "stock", "accounts")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tb.Learn("menu", "order", l)
		}
	})
}
