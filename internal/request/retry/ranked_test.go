package retry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	rankOrder = 100
	rankRead  = 80
)

// retriedShares makes orders and reads at the given rates per second for ten seconds, of which a fraction fails, and returns
// the fractions of the failed ones that were retried.
func retriedShares(orders, reads int, failing float64) (order, read float64) {
	r := NewRankedBucket(NewBucket(boundRatio / 2))
	r.SetCarryOver(boundRatio/4, boundWindow)
	rng := rand.New(rand.NewPCG(1, 1))
	var failed, got [256]float64
	for range 10 {
		for i := range orders + reads {
			rank := uint8(rankRead)
			if i%(orders+reads)*orders%(orders+reads) < orders {
				rank = rankOrder
			}
			r.Earn(rank)
			if rng.Float64() < failing {
				failed[rank]++
				if r.Take(rank) {
					got[rank]++
				}
			}
			time.Sleep(time.Second / time.Duration(orders+reads))
		}
	}
	return got[rankOrder] / failed[rankOrder], got[rankRead] / failed[rankRead]
}

// Guards against reads that use up the retries of orders while a deep service refuses half of its calls for seconds: the
// operators' bound allows enough retries for orders, but reads are six times as many.
func TestScarceRetriesGoToOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		order, read := retriedShares(40, 240, 0.55)
		require.Greater(t, order, 0.95)
		require.Greater(t, read, 0.0, "reads must get the retries that orders leave")
	})
}

// Guards against retries that are held back although there are enough for all requests, or although there are only reads.
func TestRanksMatterOnlyWhereRetriesAreScarce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		order, read := retriedShares(40, 240, 0.05)
		require.Greater(t, order, 0.99)
		require.Greater(t, read, 0.99)
	})
	synctest.Test(t, func(t *testing.T) {
		r := NewRankedBucket(NewBucket(0.1))
		r.Earn(rankOrder)
		time.Sleep(rankMemory + time.Millisecond)
		for range maxBucketRetries {
			r.Earn(rankRead)
			require.True(t, r.Take(rankRead))
		}
	})
}
