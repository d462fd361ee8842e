package retry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards, while a service refuses 0.55 of the calls of reads that need four of them, against retries that go to calls with much work
// left while calls with little left get none.
func TestScarceRetriesGoToRunsWithLeastLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRankedBucket(NewBucket(boundRatio / 2))
		r.SetCarryOver(boundRatio/4, boundWindow)
		rng := rand.New(rand.NewPCG(2, 1))
		var failed, got [4]float64
		for i := range 8000 {
			left := i % 4
			r.Earn(rankRead)
			if i%10 == 0 {
				r.Earn(rankOrder)
			}
			if rng.Float64() < 0.55 {
				failed[left]++
				if r.TakeFor(rankRead, float64(left)/4) {
					got[left]++
				}
			}
			time.Sleep(time.Millisecond)
		}
		require.Greater(t, got[0]/failed[0], 2*got[3]/failed[3])
	})
}

// Guards against calls of a lower rank that get retries before those of the highest one, however little they have left.
func TestRankGoesBeforeWhatIsLeft(t *testing.T) {
	r := NewRankedBucket(NewBucket(0.1))
	r.Earn(rankOrder)
	r.Earn(rankRead)
	for r.TakeFor(rankRead, 0) {
	}
	require.True(t, r.TakeFor(rankOrder, 0.75))
	require.True(t, r.TakeFor(rankOrder, 0))
}
