package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

var start = time.Unix(1000, 0)

func named(perSecond float64) message.Notice {
	return message.Notice{RateLimited: true, RateLimit: perSecond}
}

// Guards against a limit that ends because of a response that was overtaken by the first one that named the limit, and against
// one that never ends.
func TestOvertakenResponseDoesNotEndTheLimit(t *testing.T) {
	l := New()
	require.True(t, l.Observe(start, start.Add(2*time.Second), named(20)))
	require.False(t, l.Observe(start.Add(time.Second), start.Add(3*time.Second), message.Notice{}))
	require.Equal(t, 20.0, l.Rate())
	require.True(t, l.Observe(start.Add(3*time.Second), start.Add(4*time.Second), message.Notice{}))
	require.Zero(t, l.Rate())
	require.True(t, l.Take(start), "no limit, no wait")
}

// Guards against a limit that ends, or is set to a senseless value, because of a number that cannot be read.
func TestUnreadableLimitKeepsTheOneBefore(t *testing.T) {
	l := New()
	l.Observe(start, start, named(20))
	require.False(t, l.Observe(start.Add(time.Second), start.Add(2*time.Second), named(math.NaN())))
	require.Equal(t, 20.0, l.Rate())
}

// Guards against a limit of long ago, sent by another node, in place of what the target has said since.
func TestTargetsOwnResponseOverridesWhatOthersRemember(t *testing.T) {
	l := New()
	for _, senseless := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		require.False(t, l.Restore(senseless, start))
	}
	require.True(t, l.Restore(20, start))
	require.True(t, l.Observe(start, start, message.Notice{}))
	require.False(t, l.Restore(20, start))
	require.Zero(t, l.Rate())
}

// Guards against a burst of all that a long pause has saved up, and against a limit that restarts with a full burst.
func TestPauseSavesUpNoMoreThanABurst(t *testing.T) {
	l := New()
	l.Observe(start, start, named(40))
	require.False(t, l.Take(start))
	later := start.Add(time.Hour)
	taken := 0
	for l.Take(later) {
		taken++
	}
	require.Equal(t, 10, taken)
	require.Equal(t, 25*time.Millisecond, l.Wait(later))
	require.True(t, l.Take(later.Add(25*time.Millisecond)))
}

// Guards against a target that named zero for a moment and never gets a request again that could end the limit.
func TestLimitOfZeroStillLetsRequestsThrough(t *testing.T) {
	l := New()
	l.Observe(start, start, named(0))
	require.Equal(t, 2*time.Second, l.Wait(start))
	require.True(t, l.Take(start.Add(2*time.Second)))
}
