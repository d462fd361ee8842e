package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against votes that cost a node more than 4 kB/s, sent and received, in an outage of the platform, or that become
// older than Config.Bound. One case has an availability zone of the planned size, the other the planned number of zones.
func TestOutageStaysWithinLimit(t *testing.T) {
	const limit = 4000 // bytes a second, sent and received
	for _, x := range []struct{ zones, perZone int }{{1, 256}, {9, 8}} {
		s := newSim(1, x.zones, x.perZone)
		s.latency = func(_, _ *simNode) time.Duration { return 500 * time.Microsecond }
		s.run(time.Second)
		s.submit(s.nodes[0], s.change("a", "ann", 0))
		s.run(time.Second)
		s.down = true
		s.run(3 * time.Second)
		s.messages, s.bytes = 0, 0
		const window = 3 * time.Second
		s.run(window)
		sent := float64(s.bytes) / float64(len(s.nodes)) / window.Seconds()
		t.Logf("%d zones of %d members: %.0f B/s sent, %.1f messages/s", x.zones, x.perZone, sent,
			float64(s.messages)/float64(len(s.nodes))/window.Seconds())
		require.LessOrEqual(t, 2*sent, float64(limit))
		for range 20 {
			s.run(50 * time.Millisecond)
			for _, n := range s.nodes {
				require.True(t, n.m.Confirmed(s.now+n.skew), n.address)
			}
		}
	}
}
