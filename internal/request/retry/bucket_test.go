package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against carried-over retries that exceed the operators' bound: under any load, the retries of a window stay
// within the sum of the burst, the ratio of its requests, and the carry-over share of its requests and of those of the
// window before.
func TestCarriedOverRetriesStayWithinBound(t *testing.T) {
	const ratio, share, burst, window = 0.1, 0.05, 3, 10
	rapid.Check(t, func(rt *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 400), 20, 60).Draw(rt, "requests in each second")
		retryAll := rapid.SliceOfN(rapid.Bool(), len(loads), len(loads)).Draw(rt, "seconds in which every request is retried")
		synctest.Test(t, func(t *testing.T) {
			b := NewBucket(ratio)
			b.SetBurst(burst)
			b.SetCarryOver(share, window*time.Second)
			taken := make([]int, len(loads))
			for i, n := range loads {
				for range n {
					b.Earn()
				}
				for retryAll[i] && b.Take() {
					taken[i]++
				}
				time.Sleep(time.Second)
			}
			sum := func(list []int, from, to int) (total float64) {
				for i := max(0, from); i < min(to, len(list)); i++ {
					total += float64(list[i])
				}
				return total
			}
			for i := range loads {
				present, before := sum(loads, i, i+window), sum(loads, i-window, i)
				require.LessOrEqual(t, sum(taken, i, i+window), burst+ratio*present+share*(before+present)+1)
			}
		})
	})
}
