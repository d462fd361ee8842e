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
	// tick is the time between two looks at the clock.
	tick = 50 * time.Millisecond
	// noticed is the time without a look from which the process counts as paused. A busy processor delays a look by less.
	noticed = 500 * time.Millisecond
)

// origin is the start of the process; times below are nanoseconds since then.
var (
	origin = time.Now()
	looked atomic.Int64 // time of the last look; zero while nobody watches
	paused atomic.Int64 // end of the last pause; zero: none
)

// Watch looks at the clock until ctx ends. One goroutine of the process calls it.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer looked.Store(0)
	for {
		look(int64(time.Since(origin)))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func look(now int64) {
	if last := looked.Swap(now); gap(last, now) {
		paused.Store(now)
	}
}

func gap(last, now int64) bool { return last != 0 && now-last >= int64(noticed) }

// Since reports whether the process was paused at some moment from the given time on. It may be asked before the pause was
// looked at. Without Watch it reports false.
func Since(start time.Time) bool {
	if gap(looked.Load(), int64(time.Since(origin))) {
		return true
	}
	end := paused.Load()
	return end != 0 && end >= int64(start.Sub(origin))
}
