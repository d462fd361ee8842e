package mesh

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/responsetime"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// observe records requests of the kind that took the given time.
func observe(t *responsetime.Tracker, kind string, took time.Duration, n int) {
	requests := make([]responsetime.Request, n)
	for i := range requests {
		t.Begin(kind, &requests[i])
	}
	time.Sleep(took)
	for i := range requests {
		requests[i].Answered()
	}
}

// Guards against requests that a stopping node accepts and breaks off when it exits, and against calls that it refuses although they
// would have ended before.
func TestStoppingNodeForwardsWhatCanStillEnd(t *testing.T) {
	for name, c := range map[string]struct {
		path, attempt string
		took          time.Duration // of earlier requests; zero: there were none
		left          time.Duration // until the exit
		sent          bool
	}{
		"read that usually ends in time":      {"/profile/1", "a", 200 * time.Millisecond, time.Second, true},
		"read that usually takes longer":      {"/profile/1", "a", 1200 * time.Millisecond, time.Second, false},
		"unknown read within its objective":   {"/menu/1", "a", 0, 1500 * time.Millisecond, true},
		"unknown read without an objective":   {"/profile/1", "a", 0, 4900 * time.Millisecond, false},
		"order that usually ends in time":     {"/order/1", "a", 200 * time.Millisecond, time.Second, true},
		"order that usually takes longer":     {"/order/1", "a", 1200 * time.Millisecond, time.Second, false},
		"unknown order within its time limit": {"/order/1", "a", 0, 1600 * time.Millisecond, true},
		"unknown order":                       {"/order/1", "a", 0, 1400 * time.Millisecond, false},
		"short call at the end":               {"/profile/1", "run.1", 15 * time.Millisecond, 50 * time.Millisecond, true},
		"long call":                           {"/profile/1", "run.1", 1200 * time.Millisecond, time.Second, false},
		"unknown call":                        {"/profile/1", "run.1", 0, assumedCallTime + 100*time.Millisecond, true},
		"unknown call at the end":             {"/profile/1", "run.1", 0, 100 * time.Millisecond, false},
		"unknown call within its objective":   {"/menu/1", "run.1", 0, 1300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNode(t, 1)
				run := delivered("run", 0, 100)
				run.Deadline = time.Now().Add(10 * time.Second)
				n.proxy.activeRuns.begin(&attachedTarget{}, run, nil)
				if c.took > 0 {
					route, ok := n.proxy.cfg.Routes.Load().Match("h", c.path)
					require.True(t, ok)
					observe(&n.proxy.requestTimes, route.Name, c.took, 1)
				}
				n.proxy.StopAt(time.Now().Add(c.left))
				r := n.proxy.Serve(t.Context(), request(c.path, c.attempt))
				if c.sent {
					require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
					return
				}
				require.Equal(t, message.NotRun, r.Outcome)
				require.Equal(t, message.ReasonLeaving, r.Reason)
				require.Positive(t, r.RetryAfter)
				require.Empty(t, n.sent)
			})
		})
	}
}

// Guards against new requests that are refused because one of many takes long, and against calls and requests for the own target that are
// accepted although one of the latest would have been broken off.
func TestStoppingNodeJudgesByWhatARefusalCosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 1)
		for _, route := range []string{"profile", "order"} {
			observe(&n.proxy.requestTimes, route, 1100*time.Millisecond, 1)
			observe(&n.proxy.requestTimes, route, 200*time.Millisecond, 20)
		}
		run := delivered("run", 0, 100)
		run.Deadline = time.Now().Add(10 * time.Second)
		n.proxy.activeRuns.begin(&attachedTarget{}, run, nil)
		n.proxy.StopAt(time.Now().Add(time.Second))
		require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), request("/profile/1", "a")).Outcome)
		require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), request("/order/1", "b")).Outcome)
		require.Equal(t, message.NotRun, n.proxy.Serve(t.Context(), request("/profile/1", "run.1")).Outcome)
		n.attach(1, &slowTarget{})
		observe(&n.proxy.runTimes, "profile", 900*time.Millisecond, 1)
		observe(&n.proxy.runTimes, "profile", 10*time.Millisecond, 20)
		n.proxy.StopAt(time.Now().Add(800 * time.Millisecond))
		req := delivered("c", 0, 100)
		req.Host, req.Path = "h", "/profile/1"
		require.Equal(t, message.NotRun, n.proxy.Deliver(t.Context(), req).Outcome)
	})
}

// slowPeer answers requests after a time.
type slowPeer struct{ time time.Duration }

func (s *slowPeer) Send(ctx context.Context, _ string, _ *message.Request) *message.Response {
	select {
	case <-time.After(s.time):
		return &message.Response{Outcome: message.Answered, Status: http.StatusOK}
	case <-ctx.Done():
		return mayHaveRun(message.ReasonDeadline)
	}
}

// Guards against calls that are accepted by the times from before a service slowed down, shortly before or during the stop.
func TestStoppingNodeNoticesThatCallsTakeLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 1)
		peer := &slowPeer{20 * time.Millisecond}
		n.proxy.cfg.Peers = peer
		run := delivered("run", 0, 100)
		run.Deadline = time.Now().Add(20 * time.Second)
		n.proxy.activeRuns.begin(&attachedTarget{}, run, nil)
		for range 10 {
			require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), request("/profile/1", "run.1")).Outcome)
		}
		peer.time = 4 * time.Second
		end := time.Now().Add(5 * time.Second)
		n.proxy.StopAt(end)
		outcomes := make(chan message.Outcome, 100)
		for range 20 {
			go func() {
				r := n.proxy.Serve(t.Context(), request("/profile/1", "run.1"))
				if r.Outcome == message.Answered {
					require.False(t, time.Now().After(end))
				}
				outcomes <- r.Outcome
			}()
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		counts := map[message.Outcome]int{}
		for range 20 {
			counts[<-outcomes]++
		}
		require.Zero(t, counts[message.Unknown])
		require.NotZero(t, counts[message.Answered])
		require.NotZero(t, counts[message.NotRun])
	})
}

// Guards against a second attempt at another target for which no time is left.
func TestStoppingNodeDoesNotRetryWhatCannotEnd(t *testing.T) {
	for left, sent := range map[time.Duration]int{2 * time.Second: 2, 500 * time.Millisecond: 1} {
		synctest.Test(t, func(t *testing.T) {
			n := newNode(t, 2)
			observe(&n.proxy.requestTimes, "profile", 600*time.Millisecond, 1)
			n.answers = []*message.Response{refusedBy(message.ReasonLeaving)}
			req := request("/profile/1", "a")
			f, refusal := n.proxy.prepare(req)
			require.Nil(t, refusal)
			n.proxy.StopAt(time.Now().Add(left))
			n.proxy.tryTargets(t.Context(), f)
			require.Len(t, n.sent, sent)
		})
	}
}

// Guards against requests of other nodes that a stopping node accepts, lets wait for a slot and breaks off, instead of leaving them to
// another target at once.
func TestStoppingNodeRunsWhatCanStillEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 0)
		target := &slowTarget{time: 800 * time.Millisecond}
		n.attach(1, target)
		deliver := func(attempt, path string, limit time.Duration) *message.Response {
			req := delivered(attempt, 0, 100)
			req.Host, req.Path, req.Idempotent, req.Deadline = "h", path, false, time.Now().Add(limit)
			return n.proxy.Deliver(t.Context(), req)
		}
		require.Equal(t, message.Answered, deliver("before", "/order/1", 5*time.Second).Outcome)
		n.proxy.StopAt(time.Now().Add(1700 * time.Millisecond))
		require.Equal(t, message.ReasonLeaving, deliver("unknown", "/other/1", 5*time.Second).Reason)
		done := make(chan *message.Response, 2)
		go func() { done <- deliver("first", "/order/1", 5*time.Second) }()
		synctest.Wait()
		go func() { done <- deliver("waits", "/order/1", 5*time.Second) }()
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, message.Answered, (<-done).Outcome)
		require.Equal(t, message.Answered, (<-done).Outcome)
		start := time.Now()
		r := deliver("late", "/order/1", 5*time.Second)
		require.Equal(t, message.ReasonLeaving, r.Reason)
		require.Zero(t, time.Since(start))
		require.NotNil(t, n.proxy.RefuseBeforeBody(&message.Request{Service: "menu", Instance: "i-1", Host: "h", Path: "/order/1",
			Deadline: time.Now().Add(5 * time.Second)}))
		require.Equal(t, []string{"before", "first", "waits"}, target.ran)
	})
}
