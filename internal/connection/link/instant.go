package link

import (
	"sync/atomic"
	"time"
)

// instant is a time that goroutines share. It follows the steady clock, because the time of day can jump by seconds.
type instant struct {
	origin time.Time
	since  atomic.Int64 // nanoseconds after origin
}

// mark sets the instant to the present.
func (i *instant) mark() { i.since.Store(int64(time.Since(i.origin))) }

func (i *instant) time() time.Time { return i.origin.Add(time.Duration(i.since.Load())) }
