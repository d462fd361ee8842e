package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	rankOrder = 30
	rankRead  = 10
)

// target is a fake target. Requests in excess of its slots wait inside it.
type target struct {
	slots   chan struct{}
	service time.Duration
	spread  bool // exponential instead of constant service times
	hang    time.Duration
}

func newTarget(slots int, service time.Duration, spread bool) *target {
	return &target{slots: make(chan struct{}, slots), service: service, spread: spread}
}

func (tg *target) run(rng *rand.Rand) Result {
	start := time.Now()
	if tg.hang > 0 {
		time.Sleep(tg.hang)
		return Result{Latency: tg.hang, Cancelled: true}
	}
	d := tg.service
	if tg.spread {
		d = time.Duration(rng.ExpFloat64() * float64(d))
	}
	tg.slots <- struct{}{}
	time.Sleep(d)
	<-tg.slots
	return Result{Latency: time.Since(start)}
}

// load sends requests of several ranks at fixed average rates, with exponential gaps from a fixed seed.
type load struct {
	c       *Controller
	target  *target
	rates   map[uint8]float64 // requests a second per rank
	timeout time.Duration

	mu   sync.Mutex
	sent map[uint8]int
	good map[uint8]int // answered before the deadline
	late int           // answered after the deadline
}

// run sends for the given time and waits for all answers.
func (l *load) run(d time.Duration) {
	l.sent, l.good, l.late = map[uint8]int{}, map[uint8]int{}, 0
	var wg sync.WaitGroup
	for rank, rate := range l.rates {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(rank), 1))
			end := time.Now().Add(d)
			for {
				time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				if time.Now().After(end) {
					return
				}
				seed := rng.Uint64()
				wg.Go(func() { l.send(rank, rand.New(rand.NewPCG(seed, 2))) })
			}
		})
	}
	wg.Wait()
}

func (l *load) send(rank uint8, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	p, err := l.c.Acquire(ctx, Work{Priority: message.Priority(rank)<<8 | message.Priority(rng.IntN(256)), Deadline: deadline})
	ok := err == nil
	if ok {
		r := l.target.run(rng)
		p.Release(r)
		ok = !r.Cancelled
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[rank]++
	switch {
	case ok && time.Now().After(deadline):
		l.late++
	case ok:
		l.good[rank]++
	}
}

func (l *load) goodTotal() int {
	n := 0
	for _, g := range l.good {
		n += g
	}
	return n
}

func testLimits(slots int) Limits {
	return Limits{Slots: slots, Connections: 300, QueueLength: slots, QueueMaxWait: 200 * time.Millisecond, RampTime: 5 * time.Second}
}

// newController returns a Controller whose random source has a fixed seed.
func newController(l Limits) *Controller {
	c := New(l)
	c.random = rand.New(rand.NewPCG(1, 2)).Float64
	return c
}

// Guards against overload that fails requests of high rank along with those of low rank, leaves slots idle, or persists
// after the load has dropped.
func TestOverloadKeepsHighRankAndRecovers(t *testing.T) {
	for _, spread := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newController(testLimits(40))
			l := &load{c: c, target: newTarget(40, 50*time.Millisecond, spread), timeout: time.Second,
				rates: map[uint8]float64{rankOrder: 200, 20: 200, rankRead: 1600}}
			l.run(10 * time.Second) // 2.5 times the capacity of 800 a second
			require.GreaterOrEqual(t, float64(l.good[rankOrder]), 0.999*float64(l.sent[rankOrder]))
			require.GreaterOrEqual(t, float64(l.goodTotal()), 0.97*8000)
			require.Zero(t, l.late)
			require.Positive(t, c.Threshold())
			t.Logf("spread %v: orders %d of %d, middle %d of %d, total %d of 8000", spread,
				l.good[rankOrder], l.sent[rankOrder], l.good[20], l.sent[20], l.goodTotal())

			l.rates = map[uint8]float64{rankOrder: 100, rankRead: 100}
			l.run(2 * time.Second)
			require.Zero(t, c.Threshold())
			l.run(2 * time.Second)
			require.Equal(t, l.sent, l.good)
		})
	}
}

// Guards against an overload from the first request on that goes unnoticed because no latency has been measured yet,
// and against RetryAfter values that do not grow with the overload or are the same for all callers.
func TestOverloadBeforeFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(testLimits(40))
		l := &load{c: c, target: newTarget(40, 200*time.Millisecond, false), timeout: time.Second,
			rates: map[uint8]float64{rankOrder: 50, rankRead: 450}}
		unloaded := c.refusal(message.ReasonOverload).RetryAfter
		l.run(2 * time.Second)
		require.Positive(t, c.Threshold())
		require.Equal(t, l.sent[rankOrder], l.good[rankOrder])
		first, second := c.refusal(message.ReasonOverload).RetryAfter, c.refusal(message.ReasonOverload).RetryAfter
		require.Greater(t, min(first, second), unloaded)
		require.NotEqual(t, first, second)
	})
}

// Guards against lowering the limit because a target with all its slots became slower.
func TestSlowTargetKeepsItsSlots(t *testing.T) {
	for _, spread := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newController(testLimits(40))
			l := &load{c: c, target: newTarget(40, 50*time.Millisecond, spread), timeout: 2 * time.Second,
				rates: map[uint8]float64{rankOrder: 400, rankRead: 600}}
			l.run(5 * time.Second)
			l.target.service *= 4
			l.run(30 * time.Second)
			t.Logf("spread %v: %d of 6000 at quarter speed, limit %d", spread, l.goodTotal(), c.Load().Limit)
			require.GreaterOrEqual(t, float64(l.goodTotal()), 0.95*6000)
			require.GreaterOrEqual(t, c.tuner.learned, 40)
		})
	}
}

// Guards against requests that wait inside a target with fewer slots than configured, where they cannot be ordered or
// refused, and against a limit that stays low after the target has recovered.
func TestFewerSlotsThanConfigured(t *testing.T) {
	for _, spread := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newController(testLimits(40))
			l := &load{c: c, target: newTarget(10, 50*time.Millisecond, spread), timeout: 2 * time.Second,
				rates: map[uint8]float64{rankOrder: 100, rankRead: 400}}
			l.run(30 * time.Second)
			t.Logf("spread %v: %d of 6000, learned limit %d", spread, l.goodTotal(), c.tuner.learned)
			require.GreaterOrEqual(t, float64(l.goodTotal()), 0.95*6000)
			require.GreaterOrEqual(t, float64(l.good[rankOrder]), 0.995*float64(l.sent[rankOrder]))
			require.LessOrEqual(t, c.tuner.learned, 20)
			require.GreaterOrEqual(t, c.tuner.learned, 9)

			// The limit must rise again: the target has all its slots back and capacity for all of the load.
			l.target = newTarget(40, 50*time.Millisecond, spread)
			l.run(10 * time.Second)
			t.Logf("spread %v: %d of %d with all slots, learned limit %d", spread, l.goodTotal(), l.sent[rankOrder]+l.sent[rankRead], c.tuner.learned)
			require.Equal(t, 40, c.tuner.learned)
			l.run(time.Second)
			require.Equal(t, l.sent, l.good)
		})
	}
}

// Guards against a limit that stays low because demand needs only two of the twenty slots between the learned and the
// highest limit, and against a limit that rises although the target has none of these slots.
func TestTrialOfTheHighestLimit(t *testing.T) {
	const latency = tickInterval / 2
	for _, x := range []struct{ slots, demand, most, least int }{{40, 22, 40, 40}, {10, 100, 20, 10}} {
		tr := tuner{maxLimit: 40, learned: 20}
		for now := tickInterval; now <= 10*time.Second; now += tickInterval {
			inFlight := min(tr.limit(), x.demand)
			m := &meter{start: now - tickInterval, departures: 2 * min(inFlight, x.slots)}
			m.integrate(tickInterval, inFlight, inFlight, tr.limit(), x.demand-inFlight)
			tr.observe(now, m, &latencyEstimate{mean: latency, variance: 1}, 0)
		}
		require.LessOrEqual(t, tr.learned, x.most)
		require.GreaterOrEqual(t, tr.learned, x.least)
	}
}

// Guards against full load on a target that has just started.
func TestColdStartRampsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(testLimits(40))
		c.StartRamp()
		require.Equal(t, 4, c.Load().Limit)
		time.Sleep(2500 * time.Millisecond)
		require.InDelta(t, 22, c.Load().Limit, 1)
		time.Sleep(2600 * time.Millisecond)
		require.Equal(t, 40, c.Load().Limit)
	})
}

// fillSlots takes all slots, so that further requests are queued.
func fillSlots(t *testing.T, c *Controller) []*Permit {
	t.Helper()
	permits := make([]*Permit, c.Load().Limit)
	for i := range permits {
		var err error
		permits[i], err = c.Acquire(t.Context(), Work{Priority: 0xffff})
		require.NoError(t, err)
	}
	return permits
}

// outcome is the result of an Acquire in the background.
type outcome struct {
	permit *Permit
	err    error
}

func (o *outcome) reason() message.Reason {
	var r *Refusal
	if errors.As(o.err, &r) {
		return r.Reason
	}
	return message.ReasonNone
}

// queueUp starts an Acquire and waits until it is queued or refused.
func queueUp(ctx context.Context, c *Controller, w Work) *outcome {
	o := new(outcome)
	go func() { o.permit, o.err = c.Acquire(ctx, w) }()
	synctest.Wait()
	return o
}

// Guards against a queue that runs requests whose callers have cancelled them, keeps requests of low priority in place of
// those of high priority, or runs requests of one rank in another order than that of their deadlines.
func TestQueueSortsDisplacesAndDropsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits(1)
		l.QueueLength = 3
		c := newController(l)
		permits := fillSlots(t, c)
		ctx, leave := context.WithCancel(t.Context())
		now := time.Now()
		low := queueUp(t.Context(), c, Work{Priority: 0x0a10})
		left := queueUp(ctx, c, Work{Priority: 0x1410})
		late := queueUp(t.Context(), c, Work{Priority: 0x1e01, Deadline: now.Add(2 * time.Second)})
		early := queueUp(t.Context(), c, Work{Priority: 0x1e00, Deadline: now.Add(time.Second)})
		require.Equal(t, message.ReasonOverload, low.reason(), "the lowest priority is displaced by a higher one")
		require.Equal(t, message.ReasonOverload, queueUp(t.Context(), c, Work{Priority: 0x0a20}).reason())
		leave()
		synctest.Wait()
		require.Equal(t, message.ReasonCancelled, left.reason())
		permits[0].Release(Result{Latency: time.Millisecond})
		synctest.Wait()
		require.NotNil(t, early.permit)
		require.Nil(t, late.permit)
		early.permit.Release(Result{Latency: time.Millisecond})
		early.permit.Release(Result{Latency: time.Millisecond}) // a second release frees no second slot
		synctest.Wait()
		require.NotNil(t, late.permit)
		require.Equal(t, message.Load{InFlight: 1, Limit: 1}, c.Load())
		late.permit.Release(Result{})
	})
}

// Guards against running requests that cannot end before their deadline, and against a measured service time that makes
// the Controller refuse all requests from then on.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(testLimits(2))
		for _, p := range fillSlots(t, c) {
			time.Sleep(500 * time.Millisecond)
			p.Release(Result{Latency: 500 * time.Millisecond})
		}
		first, err := c.Acquire(t.Context(), Work{Deadline: time.Now().Add(100 * time.Millisecond)})
		require.NoError(t, err, "an idle target admits a request to measure again")
		_, err = c.Acquire(t.Context(), Work{Deadline: time.Now().Add(100 * time.Millisecond)})
		require.Equal(t, message.ReasonDeadline, (&outcome{err: err}).reason())
		first.Release(Result{Latency: 10 * time.Millisecond})
	})
}

// Guards against lower limits that new requests exceed, or that leave requests stuck in a queue that is now too long.
func TestSetLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(testLimits(2))
		permits := fillSlots(t, c)
		high := queueUp(t.Context(), c, Work{Priority: 0x1e00})
		low := queueUp(t.Context(), c, Work{Priority: 0x0a00})
		l := testLimits(1)
		c.SetLimits(l)
		synctest.Wait()
		require.Equal(t, message.ReasonOverload, low.reason())
		permits[0].Release(Result{Latency: time.Millisecond})
		synctest.Wait()
		require.Nil(t, high.permit, "one request is still in flight")
		c.SetLimits(testLimits(2))
		synctest.Wait()
		require.NotNil(t, high.permit)
	})
}

// Guards against a Controller that refuses all requests after the target hung, because of the latencies measured
// meanwhile.
func TestTargetHangsAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(testLimits(40))
		l := &load{c: c, target: newTarget(40, 50*time.Millisecond, false), timeout: 500 * time.Millisecond,
			rates: map[uint8]float64{rankOrder: 200, rankRead: 200}}
		l.run(time.Second)
		l.target.hang = 500 * time.Millisecond // every request ends as cancelled at its deadline
		l.run(3 * time.Second)
		l.target.hang = 0
		l.run(time.Second)
		t.Logf("first second: %d of %d", l.goodTotal(), l.sent[rankOrder]+l.sent[rankRead])
		l.run(time.Second)
		require.Equal(t, l.sent, l.good)
	})
}

// Guards against requests that are admitted after the node has told its peers that it leaves.
func TestStopAdmittingRefusesQueuedAndNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(testLimits(1))
		permits := fillSlots(t, c)
		queued := queueUp(t.Context(), c, Work{Priority: 0x1e00})
		c.StopAdmitting()
		synctest.Wait()
		require.Equal(t, message.ReasonLeaving, queued.reason())
		permits[0].Release(Result{})
		_, err := c.Acquire(t.Context(), Work{Priority: 0xffff})
		require.Equal(t, message.ReasonLeaving, (&outcome{err: err}).reason())
		require.Equal(t, message.NotRun, err.(*Refusal).Response().Outcome)
	})
}

func BenchmarkAcquireRelease(b *testing.B) {
	c := New(testLimits(160))
	w := Work{Priority: 0x1e00, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if p, err := c.Acquire(context.Background(), w); err == nil {
				p.Release(Result{Latency: time.Millisecond})
			}
		}
	})
}
