package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against control traffic for an unchanged condition, and against a change that is not sent.
func TestConditionIsSentWhenItChangesAndOnceASecond(t *testing.T) {
	var limiter conditionLimiter
	now := time.Unix(1000, 0)
	load := func(n int) balance.Condition { return balance.Condition{Load: message.Load{InFlight: n, Limit: 10}} }
	require.False(t, limiter.due(now, load(0)), "idle")
	require.True(t, limiter.due(now, load(2)))
	require.False(t, limiter.due(now.Add(conditionCheckInterval), load(3)))
	require.True(t, limiter.due(now.Add(maxConditionInterval), load(3)))
	require.True(t, limiter.due(now.Add(maxConditionInterval+conditionCheckInterval), load(9)))
	failing := load(9)
	failing.FailureRate = 0.3
	require.True(t, limiter.due(now.Add(maxConditionInterval+2*conditionCheckInterval), failing))
	require.True(t, limiter.due(now.Add(maxConditionInterval+3*conditionCheckInterval), load(0)), "the condition sent last no longer holds")
	require.False(t, limiter.due(now.Add(time.Minute), load(0)))
}

// Guards against a pause of the target that the callers learn of late, and against control traffic for the spread of the work of requests.
func TestConditionIsSentWhenTheTargetBecomesSlow(t *testing.T) {
	var limiter conditionLimiter
	now := time.Unix(1000, 0)
	at := func(slowdown float64) balance.Condition {
		return balance.Condition{Load: message.Load{InFlight: 5, Limit: 10}, Slowdown: slowdown}
	}
	require.True(t, limiter.due(now, at(1)))
	for i, c := range []struct {
		slowdown float64
		due      bool
	}{{1.5, false}, {1.7, true}, {2.5, false}, {1.4, false}, {1.2, true}, {1.5, false}, {1, false}} {
		now = now.Add(slowCheckInterval)
		require.Equal(t, c.due, limiter.due(now, at(c.slowdown)), "check %d", i)
	}
}

// Guards against control traffic that grows with the number of nodes of an availability zone: only callers are notified,
// the latest first.
func TestOnlyRecentCallersAreNotified(t *testing.T) {
	var c recentCallers
	now := time.Unix(1000, 0)
	c.record("old", now.Add(-callerRetention-time.Second))
	for i := range 2 * maxNotifiedCallers {
		c.record(fmt.Sprintf("n%03d", i), now.Add(time.Duration(i)*time.Millisecond-time.Second))
	}
	latest := c.latest(now)
	require.Len(t, latest, maxNotifiedCallers)
	require.Equal(t, fmt.Sprintf("n%03d", 2*maxNotifiedCallers-1), latest[0])
	require.NotContains(t, latest, "old")
	require.Empty(t, c.latest(now.Add(time.Hour)))
}
