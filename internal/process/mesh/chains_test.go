package mesh

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against an order that is sent to a target although the response to an earlier one showed that its calls do not get through,
// against a refusal of a caller that comes back after it or at once, and against refusals that last after the trouble.
func TestUnlikelyOrderIsRefusedBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 2)
		n.answers = []*message.Response{{
			Outcome: message.Answered, Status: http.StatusInternalServerError, DownstreamFailed: true,
			Needs: []message.Need{{Service: "stock", Calls: 8, Passed: 0.45}},
		}}
		require.Equal(t, http.StatusInternalServerError, n.proxy.Serve(t.Context(), request("/order/1", "a")).Status)
		r := n.proxy.Serve(t.Context(), request("/order/2", "b"))
		require.Equal(t, message.NotRun, r.Outcome)
		require.Equal(t, message.ReasonOverload, r.Reason)
		require.Positive(t, r.RetryAfter)
		require.Len(t, n.sent, 1)
		for _, passed := range []time.Duration{5 * time.Millisecond, time.Second} { // at once, or as it was told
			again := request("/order/2", "c")
			again.Deadline = again.Deadline.Add(-passed)
			require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), again).Outcome)
		}
		require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), request("/menu/1", "d")).Outcome)
		time.Sleep(time.Second)
		require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), request("/order/3", "e")).Outcome)
		require.EqualValues(t, 1, n.proxy.ChainCounts().Refused)
	})
}

// Guards against figures of a chain that do not reach the response of the run whose calls are refused.
func TestRefusedCallsAreReportedWithTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 2)
		for range 40 {
			n.answers = append(n.answers, refusedBy(message.ReasonTargetUnable))
		}
		n.attach(4, &slowTarget{onRequest: func(req *message.Request) {
			for range 4 {
				n.proxy.Serve(t.Context(), request("/menu/1", req.Attempt+".1"))
			}
		}})
		var r *message.Response
		for range 3 {
			r = n.proxy.Deliver(t.Context(), delivered("a", 0, 0x6400))
		}
		require.True(t, r.DownstreamFailed)
		require.Len(t, r.Needs, 1)
		require.InDelta(t, 4, r.Needs[0].Calls, 0.01)
		require.Zero(t, r.Needs[0].Passed)
		n.proxy.DetachTarget()
	})
}

// Guards against callers that are told to return after the objective of their route when targets refuse a part of the requests
// themselves: the next attempt may succeed at once, and a late response is worth little.
func TestRefusalByATargetLeavesTimeForTheObjective(t *testing.T) {
	n := newNode(t, 2)
	for range 30 {
		n.answers = []*message.Response{refusedBy(message.ReasonTargetUnable), refusedBy(message.ReasonTargetUnable)}
		r := n.proxy.Serve(t.Context(), request("/menu/1", "a"))
		require.Equal(t, message.NotRun, r.Outcome)
		require.GreaterOrEqual(t, r.RetryAfter, testRoutes[0].Objective/10)
		require.Less(t, r.RetryAfter, testRoutes[0].Objective/2)
	}
}
