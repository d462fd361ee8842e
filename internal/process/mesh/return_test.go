package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against the seconds after a loss of power of all nodes, in which callers that were refused for want of a configuration
// came back after 0.1 to 0.3 s to find the node as before. They come back once, so that was their end.
func TestCallersOfANodeThatStartsDoNotComeBackAtOnce(t *testing.T) {
	for _, configured := range []bool{false, true} { // without a configuration, then without a target
		n := newNode(t, 0)
		if !configured {
			n.proxy.cfg.Routes.Store(nil)
		}
		late := 0
		for range 100 {
			r := n.proxy.Serve(t.Context(), request("/menu/1", "a"))
			require.Equal(t, message.NotRun, r.Outcome)
			require.GreaterOrEqual(t, r.RetryAfter, minRetryAfter)
			require.LessOrEqual(t, r.RetryAfter, minRetryAfter+retryAfterSpread)
			if r.RetryAfter > 600*time.Millisecond { // the time for which a node that has started takes no work for its target
				late++
			}
		}
		require.Greater(t, late, 50)
	}
}

// Guards against an overload of many seconds in which callers are told to come back so late that no answer can meet the
// objective of their route any more, and against times that are all the same.
func TestRefusedCallersComeBackInTimeForTheObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 2)
		seen := map[time.Duration]bool{}
		for range 30 {
			full := refusedBy(message.ReasonOverload)
			full.RetryAfter = 4 * time.Second
			n.answers = []*message.Response{full, full}
			r := n.proxy.Serve(t.Context(), request("/menu/1", "a"))
			require.Equal(t, message.NotRun, r.Outcome)
			require.Greater(t, r.RetryAfter, 100*time.Millisecond)
			require.Less(t, r.RetryAfter, testRoutes[0].Objective/2)
			seen[r.RetryAfter] = true
			time.Sleep(time.Second)
		}
		require.Greater(t, len(seen), 20)
	})
}
