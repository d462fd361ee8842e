package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against retries that multiply along a chain: whatever hops take, hand down, return or forfeit, and however they fan
// out, the attempts of one root request stay within its bound.
func TestLedgerBoundsRetriesOverChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(0, 8).Draw(t, "bound")
		used := 0
		var hop func(l *Ledger, depth int)
		hop = func(l *Ledger, depth int) {
			for range rapid.IntRange(0, 3).Draw(t, "calls") {
				if l.Take() {
					if rapid.Bool().Draw(t, "unsent") {
						l.GiveBack()
					} else {
						used++
					}
				}
				handDown := l.HandDown
				if rapid.Bool().Draw(t, "forwarded") {
					handDown = l.HandDownAll
				}
				share := handDown()
				below := NewLedger(share.Size())
				if depth < 4 {
					hop(below, depth+1)
				}
				if rapid.Bool().Draw(t, "lost") {
					share.Forfeit()
				} else {
					share.Return(below.Close())
				}
				share.Return(share.Size()) // settling twice has no effect
				require.NoError(t, l.Check())
			}
		}
		root := NewLedger(bound)
		hop(root, 0)
		require.NoError(t, root.Check())
		require.LessOrEqual(t, used, bound)
	})
}

// Guards against a faulty peer that returns more retries than it was handed.
func TestLedgerClampsReturnedShare(t *testing.T) {
	l := NewLedger(4)
	share := l.HandDown()
	share.Return(100)
	require.Equal(t, 4, l.Left())
	share = l.HandDown()
	share.Return(-1)
	require.Equal(t, 4-share.Size(), l.Left())
	require.NoError(t, l.Check())
}

// Guards against a chain of three hops whose last one has no retry to avoid a target that refuses, and against a node that
// keeps retries although it only forwards the request to a home node.
func TestDefaultBudgetReachesThirdHop(t *testing.T) {
	entry := NewLedger(3)
	home := NewLedger(entry.HandDownAll().Size())
	require.Zero(t, entry.Left())
	second := NewLedger(home.HandDown().Size())
	third := NewLedger(second.HandDown().Size())
	require.True(t, third.Take())
	require.Equal(t, []int{1, 1, 0}, []int{home.Left(), second.Left(), third.Left()})
}

// Guards against a retry storm: if every first attempt fails, retries stay within the ratio plus the initial burst.
func TestBucketCapsRetryRatio(t *testing.T) {
	b := NewBucket(0.1)
	retries := 0
	for range 1000 {
		b.Earn()
		for b.Take() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 1000/10+maxBucketRetries)
	require.GreaterOrEqual(t, retries, 1000/10)
}

// Guards against retries that were not made but count against the ratio of a service, and against a bucket that holds more
// than its burst after they are given back.
func TestBucketTakesBackUnsentRetries(t *testing.T) {
	b := NewBucket(0.1)
	b.GiveBack()
	for range 10 * maxBucketRetries {
		require.True(t, b.Take())
		b.GiveBack()
	}
	for range maxBucketRetries {
		require.True(t, b.Take())
	}
	require.False(t, b.Take())
}
