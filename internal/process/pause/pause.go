// Package pause notices that the process has stood still: it was stopped, or its VM was frozen or starved. What was measured
// across such a time says nothing about anything else.
//
// All functions are safe for concurrent use; Since takes no lock.
package pause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is the time between two looks at the clock.
	checkInterval = 50 * time.Millisecond
	// minPause is the time without a look from which the process counts as paused. A busy processor delays a look by less.
	minPause = 500 * time.Millisecond
)

// origin is the start of the process; times below are nanoseconds since then.
var (
	origin       = time.Now()
	lastCheck    atomic.Int64 // time of the last look; zero while nobody watches
	lastPauseEnd atomic.Int64 // end of the last pause; zero: none
)

// Watch looks at the clock until ctx ends. One goroutine of the process calls it.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	defer lastCheck.Store(0)
	for {
		check(int64(time.Since(origin)))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func check(now int64) {
	if last := lastCheck.Swap(now); isPause(last, now) {
		lastPauseEnd.Store(now)
	}
}

func isPause(last, now int64) bool { return last != 0 && now-last >= int64(minPause) }

// Since reports whether the process was paused at some moment from the given time on. It may be asked before the pause was
// looked at. Without Watch it reports false.
func Since(start time.Time) bool {
	if isPause(lastCheck.Load(), int64(time.Since(origin))) {
		return true
	}
	end := lastPauseEnd.Load()
	return end != 0 && end >= int64(start.Sub(origin))
}
