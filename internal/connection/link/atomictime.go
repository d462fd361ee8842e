package link

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that goroutines share. It follows the monotonic clock, because the wall clock can jump by seconds.
type atomicTime struct {
	base    time.Time
	elapsed atomic.Int64 // nanoseconds after base
}

// setNow sets the time to the current time.
func (t *atomicTime) setNow() { t.elapsed.Store(int64(time.Since(t.base))) }

func (t *atomicTime) load() time.Time { return t.base.Add(time.Duration(t.elapsed.Load())) }
