package mesh

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against the time of calls, which run in part at once, that counts as that of the target, and against figures of a kind of
// request that are those of another.
func TestResponseCarriesTheTimesOfItsKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 0)
		n.attach(4, &slowTarget{time: 30 * time.Millisecond, onRequest: func(req *message.Request) {
			if req.Path != "/menu/1" {
				return
			}
			r := n.proxy.activeRuns.parent(req.Attempt + ".1")
			r.callClock.start()
			time.Sleep(20 * time.Millisecond)
			r.callClock.start()
			time.Sleep(20 * time.Millisecond)
			r.callClock.stop()
			r.callClock.stop()
		}})
		for _, path := range []string{"/menu/1", "/profile/1"} {
			req := delivered("a"+path, 0, 100)
			req.Host, req.Path, req.Method = "h", path, http.MethodGet
			r := n.proxy.Deliver(t.Context(), req)
			require.Equal(t, message.Answered, r.Outcome)
			want := message.Timing{Own: 30 * time.Millisecond, Slowdown: 1, Spent: 30 * time.Millisecond}
			if path == "/menu/1" {
				want.Calls, want.Spent = 40*time.Millisecond, 70*time.Millisecond
			}
			require.Equal(t, want, r.Timing, path)
		}
	})
}

// Guards against calls that compete with new requests for the targets that can meet a near objective.
func TestOnlyNewRequestsStateTheTimeToTheirObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 1)
		req := request("/menu/1", "root")
		time.Sleep(100 * time.Millisecond)
		f, refusal := n.proxy.prepare(req)
		require.Nil(t, refusal)
		require.Equal(t, "menu", f.requirements().Kind)
		require.Equal(t, 1400*time.Millisecond, f.requirements().TimeLeft)
		n.proxy.activeRuns.begin(&attachedTarget{}, delivered("root", 0, 100), nil)
		f, _ = n.proxy.prepare(request("/menu/1", "root.1"))
		require.Zero(t, f.requirements().TimeLeft)
		f, _ = n.proxy.prepare(request("/order/1", "b")) // its route has no objective
		require.Zero(t, f.requirements().TimeLeft)
	})
}
