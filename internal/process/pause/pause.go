// Package pause detects that the process did not run for some time: it was stopped, or its VM was frozen or got no
// processor time. A duration that was measured across a pause includes the pause, so it must not be taken for the latency
// of a target or of the network.
//
// All functions are safe for concurrent use; Since takes no lock.
package pause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is the time between two checks of the clock.
	checkInterval = 50 * time.Millisecond
	// minPause is the time between two checks from which the process counts as paused. A busy processor delays a check
	// by less.
	minPause = 500 * time.Millisecond
)

var (
	origin       = time.Now() // start of the process; all other times are in nanoseconds since then
	lastCheck    atomic.Int64 // time of the last check; zero while Watch does not run
	lastPauseEnd atomic.Int64 // time of the first check after the last pause; zero: no pause so far
)

// Watch checks the clock until ctx ends. Only one goroutine of the process may run it.
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

// check notes the end of a pause if the last check was too long ago.
func check(now int64) {
	if last := lastCheck.Swap(now); isPause(last, now) {
		lastPauseEnd.Store(now)
	}
}

func isPause(last, now int64) bool { return last != 0 && now-last >= int64(minPause) }

// Since reports whether the process was paused at some moment since start. It detects a pause even before the next
// check has run. While Watch does not run, no new pause is detected.
func Since(start time.Time) bool {
	if isPause(lastCheck.Load(), int64(time.Since(origin))) {
		return true
	}
	end := lastPauseEnd.Load()
	return end != 0 && end >= int64(start.Sub(origin))
}
