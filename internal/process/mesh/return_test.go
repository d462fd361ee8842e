package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against retry-after times that are too short for a starting node. After all nodes had lost power, callers refused for
// lack of a configuration got retry-after times of 0.1 to 0.3 s and were refused again. They retry only once, so their requests
// were lost.
func TestRetryAfterOutlastsTheStartOfANode(t *testing.T) {
	for _, configured := range []bool{false, true} { // first without a configuration, then without a target
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
			if r.RetryAfter > 600*time.Millisecond { // a node that has just started admits no requests to its target for this long
				late++
			}
		}
		require.Greater(t, late, 50)
	}
}

// Guards against retry-after times that, in an overload of many seconds, are too long for a response within the objective of the
// route, and against retry-after times that are all the same.
func TestRetryAfterLeavesTimeForTheObjective(t *testing.T) {
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
