package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/ratelimit"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against a target in need, which names a limit on requests per second, that serves reads while orders are refused, that
// gets less than it takes, and that keeps a lower limit on requests in flight once it is well again.
func TestTargetThatNamesItsRateServesOrdersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 40
		c := newController(testLimits(100))
		rate := ratelimit.New()
		c.SetRate(rate)
		tg := newTarget(100, 100*time.Millisecond, true)
		rate.Observe(time.Now(), time.Now(), message.Notice{RateLimited: true, RateLimit: perSecond})
		c.RateChanged()
		l := &load{c: c, target: tg, rates: map[uint8]float64{rankOrder: 20, rankRead: 200}, timeout: time.Second}
		l.run(20 * time.Second)
		require.Greater(t, float64(l.good[rankOrder])/float64(l.sent[rankOrder]), 0.97, "orders need half of the limit")
		require.Greater(t, l.good[rankOrder]+l.good[rankRead], int(0.9*perSecond*20))
		require.Less(t, l.good[rankOrder]+l.good[rankRead], int(1.1*perSecond*20))

		rate.Observe(time.Now(), time.Now().Add(time.Second), message.Notice{})
		c.RateChanged()
		require.Equal(t, 100, c.Load().Limit)
		l.run(10 * time.Second)
		require.Greater(t, float64(l.good[rankRead])/float64(l.sent[rankRead]), 0.97, "reads after the limit")
	})
}
