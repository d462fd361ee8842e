package responsetime

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// run answers a request of the kind after a time.
func run(t *Tracker, kind string, took time.Duration) {
	var r Request
	t.Begin(kind, &r)
	time.Sleep(took)
	r.Answered()
}

// Guards against requests that are refused because of their time limit although the latest ones took a small part of it, and against an
// estimate by the mean, which half of them exceed.
func TestEstimateCoversTheShareOfTheLatestRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker Tracker
		for range 3 * sampleSize {
			run(&tracker, "read", 4*time.Second) // no longer among the latest
		}
		for i := range sampleSize {
			run(&tracker, "read", time.Duration(i+1)*10*time.Millisecond)
		}
		require.Equal(t, 640*time.Millisecond, tracker.Estimate("read", Conditions{Limit: 5 * time.Second, Share: 1}))
		require.Equal(t, 580*time.Millisecond, tracker.Estimate("read", Conditions{Limit: 5 * time.Second, Share: 0.9}))
		require.Equal(t, 300*time.Millisecond, tracker.Estimate("read", Conditions{Limit: 300 * time.Millisecond, Share: 1}))
	})
}

// Guards against requests of which nothing is known and that are taken for short ones.
func TestUnknownKindTakesItsLimitUnlessATimeIsAssumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker Tracker
		run(&tracker, "read", time.Millisecond)
		c := Conditions{Limit: 5 * time.Second, Share: 1}
		require.Equal(t, 5*time.Second, tracker.Estimate("order", c))
		c.Assumed = time.Second
		require.Equal(t, time.Second, tracker.Estimate("order", c))
		require.Equal(t, time.Millisecond, tracker.Estimate("read", c))
	})
}

// Guards against an estimate from before a service slowed down: it must not hold while the requests that began since take longer.
func TestEstimateEndsWhenTheLatestRequestsTakeLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker Tracker
		run(&tracker, "read", 200*time.Millisecond)
		c := Conditions{Limit: 5 * time.Second, Share: 1}
		var slow, dropped Request
		tracker.Begin("read", &dropped)
		time.Sleep(100 * time.Millisecond)
		tracker.Begin("read", &slow)
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 5*time.Second, tracker.Estimate("read", c))
		dropped.Dropped()
		require.Equal(t, 200*time.Millisecond, tracker.Estimate("read", c))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 5*time.Second, tracker.Estimate("read", c))
		run(&tracker, "read", 10*time.Millisecond) // overtakes it, so that it alone is slow
		require.Equal(t, 200*time.Millisecond, tracker.Estimate("read", c))
		slow.Answered()
		require.Equal(t, 260*time.Millisecond, tracker.Estimate("read", c))
	})
}

// Guards against data races, and against requests that stay listed after their end.
func TestConcurrentUse(t *testing.T) {
	var tracker Tracker
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for j := range 1000 {
				var r Request
				tracker.Begin(fmt.Sprint(j%3), &r)
				_ = tracker.Estimate("1", Conditions{Limit: time.Second, Share: 0.9})
				if (i+j)%5 == 0 {
					r.Dropped()
				} else {
					r.Answered()
				}
			}
		})
	}
	all.Wait()
	for _, k := range tracker.kinds {
		require.Nil(t, k.first)
		require.Nil(t, k.last)
	}
}

// Guards against names of routes that fill the memory.
func TestKindsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker Tracker
		for i := range 2 * maxKinds {
			run(&tracker, fmt.Sprint(i), time.Millisecond)
		}
		require.Len(t, tracker.kinds, maxKinds)
		require.Equal(t, time.Second, tracker.Estimate(fmt.Sprint(2*maxKinds-1), Conditions{Limit: time.Second, Share: 1}))
	})
}
