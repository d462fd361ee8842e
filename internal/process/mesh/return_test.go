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
