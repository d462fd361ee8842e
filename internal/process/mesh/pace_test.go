package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pace"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against a target that is paced although it is warm, for example because its node was restarted, against one that is not paced
// although it is cold, and against a pace that the other nodes are not told. Start times are of a clock that can jump.
func TestTargetIsPacedWhenItIsCold(t *testing.T) {
	for name, c := range map[string]struct {
		age       time.Duration
		again     bool // the same process is attached again
		warmPeers bool
		share     float64
	}{
		"just started":            {time.Second, false, true, 0.25},
		"node restarted, cold":    {10 * time.Second, false, true, 0.25},
		"node restarted, warm":    {time.Hour, false, true, 1},
		"clock was set back":      {-time.Hour, false, true, 0.25},
		"returns":                 {time.Hour, true, true, 0.25},
		"all targets have ended":  {time.Second, false, false, 1},
		"pace is not in settings": {time.Second, false, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNode(t, 0)
				if name != "pace is not in settings" {
					n.proxy.cfg.Pace = Pace{pace.Default(), func() time.Duration { return 0 }, func() bool { return c.warmPeers }}
				}
				attach := func() {
					n.proxy.AttachTarget("menu", "i-1", time.Now().Add(-c.age).UnixMilli(), admission.New(admission.Limits{Slots: 40, Connections: 40}), &slowTarget{})
				}
				attach()
				if c.again {
					n.proxy.DetachTarget()
					attach()
				}
				got, ok := n.proxy.Condition()
				require.True(t, ok)
				require.InDelta(t, c.share, got.Load.Pace, 0.001)
				require.Equal(t, int(40*c.share), got.Load.Limit)
				r := n.proxy.Deliver(t.Context(), delivered("a", 0, 100))
				require.Equal(t, message.Answered, r.Outcome)
				require.GreaterOrEqual(t, r.Load.Pace, c.share)
			})
		})
	}
}

// Guards against a limit that the answers of the target do not raise, and against failures of its calls that count as its own.
func TestAnswersRaiseThePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 0)
		n.proxy.cfg.Pace = Pace{pace.Default(), func() time.Duration { return 0 }, func() bool { return true }}
		n.proxy.AttachTarget("menu", "i-1", time.Now().UnixMilli(), admission.New(admission.Limits{Slots: 40, Connections: 40}),
			&slowTarget{time: 10 * time.Millisecond})
		for range 20 {
			require.Equal(t, message.Answered, n.proxy.Deliver(t.Context(), delivered("a", 0, 100)).Outcome)
		}
		require.Equal(t, 30, n.proxy.Load().Limit)
		g := n.proxy.attachedTarget.Load()
		failed := &message.Response{Outcome: message.Answered, Status: 500, DownstreamFailed: true}
		for range 20 {
			n.proxy.observePace(g, "menu", time.Now(), time.Millisecond, failed)
		}
		require.Equal(t, 30, n.proxy.Load().Limit)
		failed.DownstreamFailed = false
		for range 20 {
			n.proxy.observePace(g, "menu", time.Now(), time.Millisecond, failed)
		}
		require.Less(t, g.pace.Limit(40), 30)
	})
}
