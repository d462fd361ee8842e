package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against the seconds after a loss of power of all nodes, in which callers that were refused by a node without targets
// came back to find it as before. They come back once, so that was their end.
func TestCallersOfANodeThatStartsComeBackWhenItHasTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 0)
		for _, age := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond} {
			time.Sleep(age - time.Since(n.path.started))
			for range 20 {
				r := n.path.Serve(t.Context(), request("/menu/1", "a"))
				require.Equal(t, message.NotRun, r.Outcome)
				require.GreaterOrEqual(t, age+r.RetryAfter, settleTime, "age %v", age)
				require.LessOrEqual(t, age+r.RetryAfter, settleTime+settleSpread, "age %v", age)
			}
		}
		time.Sleep(settleTime)
		r := n.path.Serve(t.Context(), request("/menu/1", "b"))
		require.LessOrEqual(t, r.RetryAfter, minReturn+returnSpread)
	})
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
			r := n.path.Serve(t.Context(), request("/menu/1", "a"))
			require.Equal(t, message.NotRun, r.Outcome)
			require.Greater(t, r.RetryAfter, 100*time.Millisecond)
			require.Less(t, r.RetryAfter, testRoutes[0].Objective/2)
			seen[r.RetryAfter] = true
			time.Sleep(time.Second)
		}
		require.Greater(t, len(seen), 20)
	})
}
